package fleet

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// Requests that are served by way of a peer while this instance reaches no target.
const (
	// maxRelays is the number of peers to which one request is sent.
	maxRelays = 4
	// relayRetryDelay is how long a peer is avoided that could not be reached or does
	// not reach the targets itself. For relayDoubtTime it comes after all others.
	relayRetryDelay = time.Second
	relayDoubtTime  = 5 * time.Second
	// relayPeerTimeout is how long a peer may have been silent; peers send at least one
	// message a second.
	relayPeerTimeout = 2500 * time.Millisecond
	// maxRelayed bounds the requests of peers that this instance serves at a time.
	maxRelayed = 256
)

// Relay names the peer that serves a request in place of a target.
type Relay struct {
	// Peer is the name of the peer, Address its host:port; empty for none.
	Peer, Address string
	// AttemptsLeft is the number of attempts that may still run at targets.
	AttemptsLeft int
}

// relayPeer returns the name of a peer that may serve the request, or an empty string: as
// long as the own path to the service's targets is sound, for requests that a peer has
// sent, where no peer is left, and while the whole service is evacuated.
func (c *Core) relayPeer(a *activeRequest) string {
	if c.pathTo(a.service).state == pathSound || a.arrival.Relayed || a.relays >= maxRelays || c.isServiceEvacuated(a.service) {
		return ""
	}
	var own, others, doubted []string
	for name, p := range c.peers {
		failedAt, failed := p.relayFailures[a.service]
		switch {
		case p.relayAddress == "" || c.now-p.lastMessageAt > relayPeerTimeout, slices.Contains(a.otherVersionPeers, name):
		case failed && c.now-failedAt < relayRetryDelay:
		case c.isRelayDoubted(name, a.service):
			doubted = append(doubted, name)
		case p.domain == c.opts.FailureDomain:
			own = append(own, name)
		default:
			others = append(others, name)
		}
	}
	for _, names := range [][]string{own, others, doubted} {
		if len(names) > 0 {
			slices.Sort(names)
			return names[c.rng.IntN(len(names))]
		}
	}
	return ""
}

// isRelayDoubted reports whether a peer may not serve a request to a service: it failed to
// lately, or its build is not known to do so.
func (c *Core) isRelayDoubted(name, service string) bool {
	p := c.peers[name]
	failedAt, failed := p.relayFailures[service]
	return p.relayUnproven || failed && c.now-failedAt < relayDoubtTime
}

// sendToPeer sends the request to a peer, which places it like one of its own callers'.
func (c *Core) sendToPeer(a *activeRequest, name string) {
	c.lastAttemptID++
	a.attempt, a.target, a.relayedBy = c.lastAttemptID, nil, name
	a.attemptStarted, a.attemptDeliveredEvent, a.hasFailureAnswer, a.callerBlocked = false, false, false, false
	a.relays++
	a.sentAt = c.now
	if !a.anyEventDelivered {
		a.lastEventAt = c.now
	}
	c.attempts[a.attempt] = a
	a.relayAttempts = a.maxAttempts() - a.attemptsRun
	if a.arrival.Route.Retryable() && a.relayAttempts > 1 {
		a.relayAttempts-- // kept for the time after a failure of the peer
	}
	relay := Relay{Peer: name, Address: c.peers[name].relayAddress, AttemptsLeft: a.relayAttempts}
	c.log("send-to-peer", "request", a.arrival.ID, "attempt", a.attempt, "peer", name, "attempts_left", relay.AttemptsLeft,
		"resume_after", a.lastEventID)
	c.incrementCounter("requests_relayed", "sent")
	c.emit(Send{
		Request: a.arrival.Request, Attempt: a.attempt, Deadline: a.deadline, ResumeAfter: a.lastEventID,
		FreshConnection: !a.arrival.Route.Retryable(), Relay: relay,
	})
}

// handleRelayEnd ends the request with the peer's answer, or tries it again if this peer
// can't have run it or if attempts are left that were not given to the peer.
func (c *Core) handleRelayEnd(a *activeRequest, ev AttemptEnd) {
	if ev.Outcome != OutcomeComplete {
		c.log("relay-ended", "request", a.arrival.ID, "attempt", ev.Attempt, "peer", a.relayedBy, "end", ev.Outcome.String(),
			"status", ev.Status, "refusal", ev.Refusal.String(), "cause", ev.Cause, "after_ms", int(toMS(c.now-a.sentAt)))
	}
	c.incrementCounter("relays_ended", ev.Outcome.String())
	name := a.relayedBy
	a.relayedBy = ""
	c.removeAttemptLoads(a)
	switch ev.Outcome {
	case OutcomeComplete:
		c.finishRequest(a, Finish{Code: result.Complete, ForwardAnswer: true})
	case OutcomeFailed:
		a.attemptsRun += a.relayAttempts
		a.hasFailureAnswer = true
		c.retryOrFail(a, "relay-failed")
	case OutcomeNotConnected:
		c.avoidRelay(name, a.service)
		c.dispatch(a)
	case OutcomeWithheld:
		c.dispatch(a)
	case OutcomeNotRun, OutcomeMisdirected, OutcomeOtherWeights:
		switch {
		case isRefusalByVersion(ev.Refusal):
			a.otherVersionPeers = append(a.otherVersionPeers, name)
			c.dispatch(a)
			return
		case isRefusalOfPeer(ev.Refusal):
			c.avoidRelay(name, a.service)
			c.dispatch(a)
			return
		}
		c.refuseOrFail(a, ev.Refusal, max(minRetryAfter, ev.RetryAfter))
	case OutcomeCallerGone:
		a.attemptsRun++
		c.finishRequest(a, Finish{Code: result.CallerGone})
	default: // the peer has ended, or has cut a stream that it could not resume
		a.attemptsRun += a.relayAttempts
		c.avoidRelay(name, a.service)
		c.retryOrFail(a, "relay-broken")
	}
}

// isRefusalOfPeer reports whether a refusal says something of the peer, so that another
// one may serve the request.
func isRefusalOfPeer(code result.Code) bool {
	switch code {
	case result.NoTarget, result.TargetsRefused, result.QueueFull, result.Stopping, result.HeaderTimeout,
		result.MemoryExhausted, result.ConnectionsFull, result.BodyStalled:
		return true
	}
	return code.Family() != result.FamilyRefused
}

// isRefusalByVersion reports whether the peer's version of the configuration does not allow
// the request. This says nothing of the peer's other requests.
func isRefusalByVersion(code result.Code) bool {
	switch code {
	case result.NoConfiguration, result.UnknownRoute, result.Unauthenticated, result.BodyTooLarge, result.HeadersTooLarge:
		return true
	}
	return false
}

// avoidRelay records that a peer could not serve a request to a service.
func (c *Core) avoidRelay(name, service string) {
	if p := c.peers[name]; p != nil {
		if p.relayFailures == nil {
			p.relayFailures = make(map[string]time.Duration)
		}
		p.relayFailures[service] = c.now
	}
}

// refuseRelayed refuses a peer's request that this instance can't serve, so that the peer
// asks another one. It returns false for requests that are admitted.
func (c *Core) refuseRelayed(a *activeRequest) bool {
	switch {
	case !a.arrival.Relayed:
		return false
	case c.stop.begun:
		c.finishRequest(a, Finish{Code: result.Stopping, RetryAfter: minRetryAfter})
	case c.pathTo(a.service).state == pathLost:
		c.finishRequest(a, Finish{Code: result.NoTarget, RetryAfter: minRetryAfter})
	case c.relayedCount > maxRelayed:
		c.finishRequest(a, Finish{Code: result.QueueFull, RetryAfter: minRetryAfter})
	default:
		return false
	}
	return true
}
