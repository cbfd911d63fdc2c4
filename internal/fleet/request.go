package fleet

import (
	"math"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/result"
)

// Times and limits of attempts.
const (
	// placementRetryDelay is the time between two placements of a waiting request:
	// about one pass of an engine.
	placementRetryDelay = 40 * time.Millisecond
	// maxAttemptsNotRun is the number of attempts without a run up to which a request
	// is retried.
	maxAttemptsNotRun = 3
	// minRetryAfter is the shortest Retry-After of a refused request: the state of a
	// target changes with its passes, of which there are several a second.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is the longest Retry-After: loads change within seconds.
	maxRetryAfter = 3 * time.Second
	// noTargetRetryAfter is the Retry-After if no target is known: a starting target
	// is listed within this time.
	noTargetRetryAfter = time.Second
)

// activeRequest is one request between RequestArrived and Finish.
type activeRequest struct {
	arrival   RequestArrived
	service   string
	value     float64
	arrivedAt time.Duration
	deadline  time.Duration

	attempt               AttemptID    // current, 0 for none
	target                *targetState // of the current attempt
	loads                 []placedLoad // loads of the current attempt
	attemptsRun           int          // attempts that ran or may have
	attemptsNotRun        int          // attempts that did not run
	heldRetries           int          // of the retry budget, see Core.holdRetries
	withheld              int          // attempts that were not written, see MayStart
	triedTargets          []string     // ids of targets that failed or did not run the request
	waited                bool         // has waited for room at the targets
	forecast              roomForecast // the last one
	unreachableDomain     string       // domain of a target that could not be connected to
	brokenDomains         []string     // domains of targets at which the request's connections broke
	ownDomainOnly         bool         // a cut may separate targets of different domains
	arrivedAtTarget       bool         // a target rejected the request; see also attemptsRun
	anyEventDelivered     bool         // an event or more went to the caller
	attemptStarted        bool         // the current attempt may have been sent, see AttemptStarted
	attemptDeliveredEvent bool         // the current attempt has sent an event
	sentAt                time.Duration
	lastEventAt           time.Duration // of the last event; of the send before the first event
	predictedFirstEvent   time.Duration // from sentAt
	callerBlocked         bool          // an event of the current attempt waits for the caller
	judgedAt              time.Duration // see settleWait; zero while the attempt is not silent
	predictedFirstEventMS float64       // the same by the engine model alone
	parts                 int           // of the prompt, in the current attempt
	timeToFirstEvent      time.Duration // from arrival to the first event
	longestPause          time.Duration
	lastEventID           string
	lastEnd               AttemptEnd
	hasFailureAnswer      bool // the last attempt ended with a failure answer that may be forwarded

	quietAttempt AttemptID // attempt whose target answered that it wants quiet, 0 for none

	relayedBy string // name of the peer that serves the current attempt, empty for none
	// relayAttempts is the number of attempts that this peer may make.
	relayAttempts int
	relays        int // peers to which the request was sent
	// otherVersionPeers are the names of peers whose configuration does not allow the request.
	otherVersionPeers []string

	reservation *reservation

	expectedAnswerTokens float64 // see estimateAnswerTokens, zero before the first call

	fingerprints     []quarantine.Fingerprint // of the request and of the shared parts of its prompt
	firstEventAt     time.Duration            // of the current attempt
	survivalRecorded bool                     // of the current attempt
	trial            bool                     // runs although a fingerprint is blocked
}

// memoryTokens is the KV cache in tokens that the request may take.
func (a *activeRequest) memoryTokens() int { return a.arrival.PromptTokens + a.arrival.MaxAnswerTokens }

// maxAttempts is the number of attempts that may run at targets.
func (a *activeRequest) maxAttempts() int {
	allowed := max(1, a.arrival.Route.MaxAttempts)
	if a.arrival.Relayed {
		return min(allowed, a.arrival.AttemptsLeft)
	}
	return allowed
}

// handleRequestArrived admits a request and dispatches it, or refuses it because of a
// stop.
func (c *Core) handleRequestArrived(ev RequestArrived) {
	a := &activeRequest{
		arrival: ev, arrivedAt: c.now, deadline: ev.Deadline,
		lastEventID: ev.ResumeAfter, fingerprints: fingerprintsOf(&ev),
	}
	a.value = requestValue(ev.PromptTokens) * priorityWeight(a.priority())
	if timeout := ev.Route.Timeout; timeout > 0 && !ev.Relayed { // else the peer has applied its own
		a.deadline = min(a.deadline, c.now+timeout)
	}
	c.requests[ev.Request] = a
	c.deciding = a
	a.service = c.pickService(ev.Route)
	c.countRequest(a.service)
	c.lastArrivalAt = c.now
	if ev.Relayed {
		c.relayedCount++
	}
	if c.refuseRelayed(a) {
		return
	}
	if !c.canFinishBeforeStopEnds(a) {
		c.finishRequest(a, Finish{Code: result.Stopping, RetryAfter: minRetryAfter})
		return
	}
	c.afterFunc(a.deadline-c.now, func() { c.handleDeadline(ev.Request) })
	c.dispatch(a)
}

// pickService selects one of the route's services at random by weight.
func (c *Core) pickService(r *Route) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	draw := c.rng.IntN(total)
	for _, b := range r.Backends {
		if draw -= b.Weight; draw < 0 {
			return b.Service
		}
	}
	return ""
}

// dispatch makes the next decision about a request that no attempt serves.
func (c *Core) dispatch(a *activeRequest) {
	c.deciding = a
	c.decide(a)
	c.deciding = nil
}

// decide chooses targets for the next attempt and sends it, reserves memory first,
// lets the request wait, or ends the request.
func (c *Core) decide(a *activeRequest) {
	c.followConfig(a)
	if c.isBlocked(a) {
		c.refuseOrFail(a, result.Quarantined, c.blockedRetryAfter(a))
		return
	}
	if c.isServiceEvacuated(a.service) {
		c.refuseEvacuated(a)
		return
	}
	if peer := c.relayPeer(a); peer != "" {
		if !c.canWaitBeforeStopEnds(a) {
			c.refuseOrFail(a, result.Stopping, minRetryAfter)
			return
		}
		c.sendToPeer(a, peer)
		return
	}
	if c.pathTo(a.service).state == pathLost {
		c.refuseOrFail(a, result.NoTarget, noTargetRetryAfter)
		return
	}
	if c.lacksWeights(a) {
		c.refuseOrFail(a, result.NoWeights, noWeightsRetryAfter)
		return
	}
	p := c.choosePlacement(a)
	switch {
	case p.primary == nil && c.canWaitForQuiet(a):
		c.dispatchLater(a)
	case p.primary == nil && c.fitsTargets(a):
		c.waitForRoom(a)
	case p.primary != nil && c.shouldWait(a, p):
		c.dispatchLater(a)
	case p.primary != nil && (c.isCrowdedOut(a, p) || c.wastesScarceTime(a, p)):
		c.refuseForRoom(a, c.forecastRoom(a))
	case p.primary != nil && c.servesTooLate(a, p):
		c.refuseLate(a, p)
	case p.primary == nil:
		c.refuseOrFail(a, result.NoTarget, c.retryAfterNoTarget(a))
	case !c.canSendBeforeStopEnds(a, p):
		c.refuseOrFail(a, result.Stopping, minRetryAfter)
	case p.needsTickets:
		c.takeLimitToken(p.primary)
		c.reserveMemory(a, p)
	default:
		c.takeLimitToken(p.primary)
		c.sendAttempt(a, p, nil)
	}
}

// firstEventDeadline is the time by which the first event has to reach the caller.
func (a *activeRequest) firstEventDeadline() time.Duration {
	if patience := a.arrival.Route.CallerTimeout; patience > 0 && !a.anyEventDelivered {
		return min(a.deadline, a.arrivedAt+patience)
	}
	return a.deadline
}

// dispatchLater dispatches the request again after placementRetryDelay, unless a stop
// leaves no time for that.
func (c *Core) dispatchLater(a *activeRequest) {
	if !c.canWaitBeforeStopEnds(a) {
		c.refuseOrFail(a, result.Stopping, minRetryAfter)
		return
	}
	if !a.waited {
		a.waited = true
		c.log("wait", "request", a.arrival.ID, "prompt", a.arrival.PromptTokens)
	}
	c.beginWait(a)
	c.afterFunc(placementRetryDelay, func() {
		if c.requests[a.arrival.Request] == a && a.attempt == 0 && a.reservation == nil {
			c.dispatch(a)
		}
	})
}

// sendAttempt sends the request to the targets of a placement. The tickets are those
// of the helpers' reservations, nil for none.
func (c *Core) sendAttempt(a *activeRequest, p placement, tickets []string) {
	c.lastAttemptID++
	a.attempt, a.target, a.attemptDeliveredEvent, a.hasFailureAnswer = c.lastAttemptID, p.primary, false, false
	a.survivalRecorded, a.attemptStarted, a.callerBlocked, a.judgedAt = false, false, false, 0
	a.sentAt, a.predictedFirstEvent, a.predictedFirstEventMS = c.now, fromMS(p.firstEventMS), p.uncorrectedFirstEventMS
	if !a.anyEventDelivered {
		a.lastEventAt = c.now
	}
	a.parts = p.partCount()
	c.attempts[a.attempt] = a
	c.endWait(a)
	c.recordColdSend(a, false)
	c.startPulse()
	helpers := make([]Helper, len(p.helpers))
	for i, h := range p.helpers {
		helpers[i] = Helper{Target: h.ID, Address: h.Address}
		if tickets != nil {
			helpers[i].Ticket = tickets[i]
		}
	}
	c.addAttemptLoads(a, p)
	if c.engineOf(a) != nil {
		c.unseen.recordSent(c.now, p.primary)
	}
	c.recordProbe(p.primary)
	workspace := ""
	if a.arrival.Caller != nil {
		workspace = a.arrival.Caller.Name
	}
	c.log("send", "request", a.arrival.ID, "attempt", a.attempt, "target", p.primary.ID, "address", p.primary.Address,
		"helpers", p.helperIDs(), "predicted_ms", int(p.firstEventMS),
		"slot_wait_ms", int(p.slotWaitMS), "prefill_ms", int(p.prefillMS), "uncorrected_ms", int(p.uncorrectedFirstEventMS),
		"answer_tokens", int(c.estimateAnswerTokens(a)), "slow_percent", int(100*p.primary.slowness()), "score", strconv.FormatFloat(p.score, 'f', 2, 64),
		"in_time_chance", strconv.FormatFloat(p.inTimeChance, 'f', 2, 64), "harm", strconv.FormatFloat(p.harm, 'f', 2, 64),
		"prompt", a.arrival.PromptTokens, "at_target", len(p.primary.loads), "resume_after", a.lastEventID)
	c.emit(Send{
		Request: a.arrival.Request, Attempt: a.attempt, Target: p.primary.Target, Deadline: a.deadline,
		ResumeAfter: a.lastEventID, Urgency: c.urgency(a, p), Helpers: helpers, Workspace: workspace,
		FreshConnection: !a.arrival.Route.Retryable(), FirstEventForecast: c.firstEventForecast(a, p),
	})
	c.scheduleSilenceCheck(a, c.overdueAt(a)-c.now)
}

// priority is the configured priority of the request, 0 for the most urgent ones.
func (a *activeRequest) priority() int {
	priority := a.arrival.Route.Priority
	if w := a.arrival.Caller; w != nil && w.Priority != nil {
		priority = *w.Priority
	}
	return min(firstLateUrgency-1, max(0, priority))
}

// priorityWeight is the factor of the value of a request, by which the harm that a placement
// does to others counts more for the more urgent ones: one of priority 0 counts as two of
// priority 1, which is the usual one.
func priorityWeight(priority int) float64 { return math.Exp2(float64(1 - priority)) }

// urgency is the order of admission at the targets: by the configured priority, and
// requests that are expected to be late after all others.
func (c *Core) urgency(a *activeRequest, p placement) int {
	priority := a.priority()
	if c.engineOf(a) != nil && c.usesPredictions() && p.inTimeChance < minInTimeChance && !a.anyEventDelivered {
		priority += firstLateUrgency
	}
	return priority
}

// firstLateUrgency is the first of the five urgencies of late requests; engines know
// ten, 0 to 9.
const firstLateUrgency = 5

// addAttemptLoads adds the loads of an attempt to its targets and tells the peers.
func (c *Core) addAttemptLoads(a *activeRequest, p placement) {
	contextTokens := a.arrival.PromptTokens / p.partCount()
	add := func(target *targetState, helperPart bool, memory int) {
		c.lastKey++
		load := TargetLoad{
			Target: target.ID, Key: c.lastKey, PrefillMS: p.prefillMS, ContextTokens: contextTokens, MemoryTokens: memory,
			MaxEventGapMS: int(toMS(a.arrival.Route.MaxEventGap)), HelperPart: helperPart, Value: a.value, Request: uint64(a.arrival.Request),
			FirstEventLimitMS: int(toMS(a.arrival.Route.TargetLatency - (c.now - a.arrivedAt))),
			CallerLimitMS:     int(toMS(a.firstEventDeadline() - c.now)),
		}
		tracked := target.addLoad(c.now, loadOwner{}, load)
		tracked.answer = c.predictAnswer(a)
		a.loads = append(a.loads, placedLoad{target, tracked})
		c.recordDemand(a.service, tracked)
		c.recordPrefill(a.service, tracked, true)
		c.outbox.pending.Loads = append(c.outbox.pending.Loads, load)
		c.outbox.recordChange(load.Key, target)
	}
	memory, partMemory := a.memoryTokens(), 0
	if p.needsTickets {
		partMemory = memory / p.partCount()
		memory = partMemory
	}
	add(p.primary, false, memory)
	for _, h := range p.helpers {
		add(h, true, partMemory)
	}
	c.scheduleGossip()
}

// removeAttemptLoads ends the current attempt: it removes its loads from the targets,
// tells the peers, and releases its reservations.
func (c *Core) removeAttemptLoads(a *activeRequest) {
	for _, placed := range a.loads {
		placed.target.removeLoad(c.now, placed.load)
		c.outbox.pending.EndedLoads = append(c.outbox.pending.EndedLoads, placed.load.Key)
		c.outbox.recordChange(placed.load.Key, placed.target)
		if placed.target.gone && !placed.target.replaced && len(placed.target.loads) == 0 {
			c.deleteTarget(placed.target)
		}
	}
	a.loads = nil
	if !a.attemptStarted {
		c.dropColdSend(a)
	}
	delete(c.attempts, a.attempt)
	a.attempt = 0
	c.recordEvacuatedEnds()
	c.scheduleGossip()
	c.releaseTickets(a)
}

// retryOrFail makes another attempt if the route, the quarantine and the retry budget
// allow it, and ends the request otherwise. An attempt that follows failed connections
// only is the first that a target sees and takes nothing from the budget.
func (c *Core) retryOrFail(a *activeRequest, reason string) {
	switch {
	case a.attemptsRun > 0 && !a.arrival.Route.Retryable(),
		a.attemptsRun >= a.maxAttempts(),
		a.attemptsNotRun > maxAttemptsNotRun && c.relayPeer(a) == "":
		c.refuseOrFail(a, result.TargetsRefused, c.retryAfterQuiet(a, minRetryAfter))
	case c.isBlocked(a):
		c.refuseOrFail(a, result.Quarantined, c.blockedRetryAfter(a))
	case (a.arrivedAtTarget || a.attemptsRun > 0) && !c.takeRequestRetry(a):
		c.refuseOrFail(a, result.RetryBudget, c.retryAfterQuiet(a, minRetryAfter))
	default:
		c.incrementCounter("retries", reason)
		c.dispatch(a)
	}
}

// refuseOrFail ends a request for which no further attempt is made. It is refused only
// if no attempt may have run; otherwise it fails.
func (c *Core) refuseOrFail(a *activeRequest, refusal result.Code, retryAfter time.Duration) {
	switch {
	case a.hasFailureAnswer && !a.anyEventDelivered:
		c.finishRequest(a, Finish{Code: result.TargetError, ForwardAnswer: true, RetryAfter: retryAfter})
	case a.attemptsRun == 0 && !a.anyEventDelivered:
		c.finishRequest(a, Finish{Code: refusal, RetryAfter: retryAfter})
	case !a.arrival.Route.Retryable():
		c.finishRequest(a, Finish{Code: result.BrokenAfterSend})
	case a.anyEventDelivered:
		c.finishRequest(a, Finish{Code: result.ResumeFailed})
	default:
		c.finishRequest(a, Finish{Code: result.TargetDied})
	}
}

// finishRequest removes a request and emits its Finish, log event and metrics.
func (c *Core) finishRequest(a *activeRequest, f Finish) {
	if c.requests[a.arrival.Request] != a {
		return
	}
	delete(c.requests, a.arrival.Request)
	c.endWait(a)
	if a.arrival.Relayed {
		c.relayedCount--
	}
	c.releaseTickets(a)
	c.holdRetries(a, 0)
	f.Request = a.arrival.Request
	c.log("request-ended", "request", a.arrival.ID, "route", a.arrival.Route.Name, "code", int(f.Code),
		"result", f.Code.String(), "ran", a.attemptsRun, "unsent", a.attemptsNotRun, "after_ms", int(toMS(c.now-a.arrivedAt)),
		"first_ms", int(toMS(a.timeToFirstEvent)), "longest_pause_ms", int(toMS(a.longestPause)),
		"last_end", a.lastEnd.Outcome.String(), "retry_after_ms", int(toMS(f.RetryAfter)))
	if f.Code.Family() == result.FamilyComplete {
		c.emit(Observe{"answer_seconds", a.arrival.Route.Name, c.now - a.arrivedAt})
	}
	c.incrementCounter("requests_ended", f.Code.String())
	c.emit(f)
}

// handleDeadline ends a request whose deadline has passed.
func (c *Core) handleDeadline(id RequestID) {
	a := c.requests[id]
	if a == nil {
		return
	}
	if a.attempt != 0 {
		c.emit(Cancel{Attempt: a.attempt})
		a.attemptsRun++
		c.removeAttemptLoads(a)
	}
	if a.attemptsRun == 0 {
		c.finishRequest(a, Finish{Code: result.QueueTimeout, RetryAfter: minRetryAfter})
		return
	}
	if a.arrival.Route.Retryable() {
		c.finishRequest(a, Finish{Code: result.DeadlineRunning})
		return
	}
	c.finishRequest(a, Finish{Code: result.DeadlineAfterSend})
}

// handleCallerLeft ends a request whose caller has disconnected. An attempt that must
// not run twice is left to run: if it were cancelled, it would be unknown how far it
// came.
func (c *Core) handleCallerLeft(ev CallerLeft) {
	a := c.requests[ev.Request]
	if a == nil {
		return
	}
	if a.attempt != 0 {
		if !a.arrival.Route.Retryable() {
			return
		}
		c.emit(Cancel{Attempt: a.attempt})
		a.attemptsRun++
		c.removeAttemptLoads(a)
	}
	if a.attemptsRun == 0 {
		c.finishRequest(a, Finish{Code: result.CallerGoneUnsent})
		return
	}
	c.finishRequest(a, Finish{Code: result.CallerGone})
}
