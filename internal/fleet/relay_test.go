package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

// worldRelay is a request that a peer serves in place of an instance without a path to
// targets.
type worldRelay struct {
	origin, peer *worldInstance
	attempt      AttemptID
	request      RequestID // at the peer
	ended        bool
}

// relay sends a request of this instance to a peer.
func (in *worldInstance) relay(r *worldRequest, s Send) {
	r.relayed++
	w := in.world
	relay := &worldRelay{origin: in, attempt: s.Attempt}
	in.relays[s.Attempt] = relay
	for _, peer := range w.instances {
		if peer.name == s.Relay.Peer {
			relay.peer = peer
		}
	}
	w.after(worldHop, func() {
		if relay.peer.down || w.separated(in.domain, relay.peer.domain) {
			in.step(AttemptEnd{Attempt: s.Attempt, Outcome: OutcomeNotConnected})
			return
		}
		peer := relay.peer
		peer.lastID++
		relay.request = peer.lastID
		arrival := &worldRequest{
			route: r.route, path: r.path, key: r.key, prompt: r.prompt, parts: r.parts, fingerprint: r.fingerprint, beginsAtOnce: r.beginsAtOnce,
			sentAt: w.now, relay: relay, origin: r,
		}
		peer.requests[peer.lastID] = arrival
		config, route, caller, denial := peer.admit(arrival)
		if route == nil {
			relay.finish(Finish{Code: denial})
			return
		}
		peer.step(RequestArrived{
			Request: peer.lastID, Route: route, Config: config, Caller: caller, Deadline: s.Deadline, PromptTokens: r.prompt,
			MaxAnswerTokens: 400, Fingerprint: r.fingerprint, SharedParts: r.parts, Relayed: true, AttemptsLeft: s.Relay.AttemptsLeft, ResumeAfter: s.ResumeAfter,
		})
	})
}

// admit returns the route and the caller of a request, or a nil route and the code of its
// denial.
func (in *worldInstance) admit(r *worldRequest) (*Config, *Route, *Workspace, result.Code) {
	if r.path == "" {
		return in.world.config, in.world.config.Routes[r.route], nil, 0
	}
	config := in.core.Config()
	route := config.Match("", r.path)
	if route == nil {
		return config, nil, nil, result.UnknownRoute
	}
	caller := config.Authenticate(r.key)
	if caller == nil && config.RequiresKeys() && !route.Anonymous {
		return config, nil, nil, result.Unauthenticated
	}
	r.config = config
	return config, route, caller, 0
}

// leave tells the peer that the request was cancelled.
func (relay *worldRelay) leave() {
	relay.ended = true
	relay.origin.world.after(worldHop, func() { relay.peer.step(CallerLeft{relay.request}) })
}

func (relay *worldRelay) event(id int) {
	if !relay.ended {
		relay.origin.world.after(worldHop, func() {
			relay.origin.step(Progress{Attempt: relay.attempt, EventID: fmt.Sprint(id)})
		})
	}
}

func (relay *worldRelay) finish(f Finish) {
	if relay.ended {
		return
	}
	relay.ended = true
	end := AttemptEnd{Attempt: relay.attempt, Outcome: OutcomeFailed}
	switch f.Code.Family() {
	case result.FamilyComplete:
		end.Outcome = OutcomeComplete
	case result.FamilyRefused:
		end.Outcome, end.Refusal, end.RetryAfter = OutcomeNotRun, f.Code, f.RetryAfter
	}
	relay.origin.world.after(worldHop, func() { relay.origin.step(end) })
}

// cutOff separates an instance from all targets for a while. Runs hang or are reset.
func (w *fleetWorld) cutOff(in *worldInstance, from, to time.Duration, refusing bool) {
	w.after(from-w.now, func() {
		in.cutOff, in.refusing = true, refusing
		for _, attempt := range slices.Sorted(maps.Keys(in.runs)) {
			run := in.runs[attempt]
			if run.ended {
				continue
			}
			run.end()
			if refusing {
				w.after(worldHop, func() { in.step(AttemptEnd{Attempt: run.attempt, Outcome: OutcomeBroken}) })
			}
		}
	})
	w.after(to-w.now, func() { in.cutOff = false })
}

// firstTries counts the requests that instances got from callers in a span, and those that
// were served.
func (w *fleetWorld) firstTries(from, to time.Duration, instances map[*worldInstance]bool) (served, total int) {
	for in := range instances {
		for _, r := range in.requests {
			if r.relay == nil && r.sentAt >= from && r.sentAt < to {
				total++
				if r.finish != nil && r.finish.Code == result.Complete {
					served++
				}
			}
		}
	}
	return served, total
}

// Instances that lose their path to all targets, however many and in whichever way, serve
// their callers through peers, and without them again once the path is back.
func TestCutOffInstancesServeThroughPeers(t *testing.T) {
	t.Parallel()
	const cutFrom, cutTo, end = 5 * time.Second, 17 * time.Second, 25 * time.Second
	for _, c := range []struct {
		name string
		cut  func(i int) bool
	}{
		{"one", func(i int) bool { return i == 1 }},
		{"a domain", func(i int) bool { return i%3 == 0 }},
		{"a domain and a part of another", func(i int) bool { return i%3 == 0 || i == 1 }},
		{"half", func(i int) bool { return i%2 == 0 }},
	} {
		for seed := range uint64(4) {
			refusing := seed%2 == 1
			w := newFleetWorld(t, 700+seed, 12, 16)
			cut, others := make(map[*worldInstance]bool), make(map[*worldInstance]bool)
			for i, in := range w.instances {
				if c.cut(i) {
					cut[in] = true
					w.cutOff(in, cutFrom, cutTo, refusing)
				} else {
					others[in] = true
				}
			}
			w.repeat(25*time.Millisecond, end, func() { w.anyInstance().submit(routeShort, 3000, 5) })
			w.runUntil(end + 5*time.Second)
			what := must.Sprintf("%s cut off, seed %d, refusing %t", c.name, seed, refusing)
			served, total := w.firstTries(cutFrom+stableWindow, cutTo, cut)
			otherServed, otherTotal := w.firstTries(cutFrom+stableWindow, cutTo, others)
			must.GreaterEq(t, 10, total, what)
			must.GreaterEq(t, total*98/100, served, what)
			must.GreaterEq(t, otherTotal*98/100, otherServed, what)
			must.Eq(t, 0, w.refusals, what)
			for in := range cut {
				for _, r := range in.requests {
					if r.relay == nil && r.sentAt > cutTo+time.Second {
						must.Eq(t, 0, r.relayed, what)
					}
				}
			}
		}
	}
}

// If nobody reaches a target, requests are refused soon, and go round to a few peers only.
func TestRequestsAreRefusedSoonWhenAllInstancesAreCutOff(t *testing.T) {
	t.Parallel()
	for _, refusing := range []bool{false, true} {
		w := newFleetWorld(t, 720, 12, 16)
		for _, in := range w.instances {
			w.cutOff(in, 5*time.Second, 15*time.Second, refusing)
		}
		w.repeat(25*time.Millisecond, 14*time.Second, func() { w.anyInstance().submit(routeNonIdempotent, 0) })
		w.runUntil(20 * time.Second)
		for _, r := range w.requests {
			if r.sentAt > 8*time.Second {
				must.LessEq(t, maxRelays, r.relayed)
				must.Eq(t, result.FamilyRefused, r.finish.Code.Family())
				must.Less(t, 1200*time.Millisecond, r.endedAt-r.sentAt)
			}
		}
	}
}

// A service that can be reached from nowhere is refused at once, once peers have said so.
// Other services are not affected.
func TestServiceThatNobodyReachesIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 3)
	h.step(PeerGossip{From: "front-2", RelayAddress: "10.1.0.2:7342"})
	for _, target := range h.core.targetsByService["app"] {
		h.step(TargetChecked{target.Target, CheckRefused})
	}
	for id := range h.core.pathTo("app").pendingChecks {
		h.step(TargetChecked{h.core.targets[id].Target, CheckRefused})
	}
	must.Eq(t, pathLost, h.core.pathTo("app").state)
	must.Eq(t, pathSound, h.core.pathTo("pool").state)
	id := h.submit(routeNonIdempotent, 0)
	must.Eq(t, "front-2", h.lastSend(id).Relay.Peer)
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeNotRun, Refusal: result.NoTarget})
	must.Eq(t, result.NoTarget, h.finishes[id].Code)
	id = h.submit(routeNonIdempotent, 0)
	must.Eq(t, 0, h.sendCount(id))
	must.Eq(t, result.NoTarget, h.finishes[id].Code)
	must.Eq(t, "", h.lastSend(h.submit(routeShort, 1000)).Relay.Address)
	h.step(TargetChecked{h.core.targets["app-01"].Target, CheckAccepted})
	must.Eq(t, "", h.lastSend(h.submit(routeNonIdempotent, 0)).Relay.Address)
}

// A peer never sends a request on, uses no more attempts than are left, and takes a bounded
// number beside its own.
func TestRelayedRequestIsNeitherSentOnNorTriedTooOften(t *testing.T) {
	h := newHarness(t, 6)
	h.step(PeerGossip{From: "front-2", RelayAddress: "10.1.0.2:7342"})
	submit := func(attemptsLeft int) RequestID {
		h.lastRequestID++
		h.step(RequestArrived{
			Request: h.lastRequestID, Route: h.config.Routes[routeIdempotent], Config: h.config,
			Deadline: h.now + 2*time.Second, Relayed: true, AttemptsLeft: attemptsLeft,
		})
		return h.lastRequestID
	}
	id := submit(1)
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeBroken})
	must.Eq(t, 1, h.sendCount(id))
	must.Eq(t, result.TargetDied, h.finishes[id].Code)
	for range maxRelayed {
		submit(2)
	}
	must.Eq(t, result.QueueFull, h.finishes[submit(2)].Code)
	for _, target := range []string{"pool-00", "pool-01"} {
		h.step(TargetChecked{h.core.targets[target].Target, CheckUnreachable})
	}
	h.core.losePath(h.core.pathTo("app"))
	must.Eq(t, result.NoTarget, h.finishes[submit(2)].Code)
	for _, send := range h.sends {
		must.Eq(t, "", send.Relay.Address)
	}
}

// Peers of builds that are not known to serve relays have no such port: asking them first
// would use up the number of peers that a request is sent to.
func TestPeersThatMayNotServeRelaysAreAskedLast(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 6 {
		h.step(PeerGossip{From: fmt.Sprintf("old-%d", i), Domain: "a", RelayAddress: "127.0.0.1:1", RelayUnproven: true})
	}
	h.step(PeerGossip{From: "new", Domain: "b", RelayAddress: "127.0.0.1:2"})
	h.core.pathTo("app").state = pathLost
	must.Eq(t, "new", h.lastSend(h.submit(routeIdempotent, 0)).Relay.Peer)
}

// relayHarness returns a harness without a path to the service "pool", with peers that have one.
func relayHarness(t *testing.T, peers ...string) *harness {
	h := newHarness(t, 3)
	for _, name := range peers {
		h.step(PeerGossip{From: name, Domain: "a", RelayAddress: name + ":7342"})
	}
	h.core.pathTo("pool").state = pathLost
	return h
}

// A stream that a peer relayed was cut when that peer's stop ended, although another peer
// could have gone on with it.
func TestRelayedStreamGoesOnAtAnotherPeer(t *testing.T) {
	h := relayHarness(t, "front-2", "front-3")
	id := h.submit(routeShort, 1000)
	first := h.lastSend(id)
	must.Eq(t, 1, first.Relay.AttemptsLeft)
	h.step(Progress{Attempt: first.Attempt, EventID: "3"})
	h.step(AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeBroken})
	must.Eq(t, 2, h.sendCount(id))
	second := h.lastSend(id)
	must.NotEq(t, first.Relay.Peer, second.Relay.Peer)
	must.Eq(t, "3", second.ResumeAfter)
	must.Eq(t, 1, second.Relay.AttemptsLeft)
	h.step(AttemptEnd{Attempt: second.Attempt, Outcome: OutcomeBroken})
	must.Eq(t, 2, h.sendCount(id)) // two attempts may have run
	must.Eq(t, result.ResumeFailed, h.finishes[id].Code)
}

// A relayed request ended at the first peer that was short of memory or of connections.
func TestRelayGoesOnAtAnotherPeerAfterAShortage(t *testing.T) {
	for _, code := range []result.Code{result.MemoryExhausted, result.ConnectionsFull, result.BodyStalled} {
		h := relayHarness(t, "front-2", "front-3")
		id := h.submit(routeShort, 1000)
		first := h.lastSend(id)
		h.step(AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeNotRun, Refusal: code})
		must.Eq(t, 2, h.sendCount(id), must.Sprint(code))
		must.NotEq(t, first.Relay.Peer, h.lastSend(id).Relay.Peer)
	}
}

// A peer's failure leaves the attempt that was not given to it, and nothing else.
func TestAttemptsOfARelayedRequestAreCountedOnce(t *testing.T) {
	for _, outcome := range []AttemptOutcome{OutcomeFailed, OutcomeBroken} {
		h := relayHarness(t, "front-2", "front-3")
		h.core.pathTo("app").state = pathLost
		id := h.submit(routeIdempotent, 0)
		must.Eq(t, 1, h.lastSend(id).Relay.AttemptsLeft)
		h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: outcome})
		must.Eq(t, 2, h.sendCount(id))
		h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: outcome})
		must.Eq(t, 2, h.sendCount(id))
		must.SliceContains(t, []result.Family{result.FamilyFailed, result.FamilyUnknown}, h.finishes[id].Code.Family())

		h.advance(relayRetryDelay)
		once := h.submit(routeNonIdempotent, 0)
		must.Eq(t, 2, h.lastSend(once).Relay.AttemptsLeft) // the peer alone knows whether it ran
		h.step(AttemptEnd{Attempt: h.lastSend(once).Attempt, Outcome: outcome})
		must.Eq(t, 1, h.sendCount(once))
		must.SliceContains(t, []result.Family{result.FamilyFailed, result.FamilyUnknown}, h.finishes[once].Code.Family())
	}
}
