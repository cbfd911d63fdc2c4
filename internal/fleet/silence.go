package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/quarantine"
)

// Times of silent attempts.
const (
	// minStallTimeout is the least pause between events after which an attempt counts as
	// overdue; a healthy target sends something with each pass.
	minStallTimeout = 900 * time.Millisecond
	// minResumeTimeout is the same for the first event of an attempt that goes on with a stream:
	// its caller waits already.
	minResumeTimeout = 400 * time.Millisecond
	// overdueFactor is the multiple of the predicted time to the first event, or of the
	// route's MaxEventGap, after which an attempt counts as overdue.
	overdueFactor = 1.25
	// maxSoundSilence is how long a sound target may say nothing to anybody and go on.
	maxSoundSilence = 2200 * time.Millisecond
	// unreachableSilence replaces maxSoundSilence for targets to which connections can't be
	// made: a few passes of an engine.
	unreachableSilence = 400 * time.Millisecond
	// lastChanceFactor and lastChanceMargin give the time that is kept for another attempt
	// before the caller leaves: a multiple of its predicted time to the first event, and a
	// margin for what the prediction leaves out.
	lastChanceFactor = 1.5
	lastChanceMargin = 700 * time.Millisecond
	// minSilentTargets is the number of targets from which the silence of all that owe an
	// answer is not taken for their death.
	minSilentTargets = 3
	// spareRetries is the number of retries that are kept in case that the replacement is
	// rejected.
	spareRetries = 1
	// silenceCheckInterval is the time between two looks at an overdue attempt.
	silenceCheckInterval = 100 * time.Millisecond
	// maxReplacementSearches bounds the placements that one Step computes for silent
	// attempts: with many targets, one takes milliseconds. The others follow
	// silenceSearchDelay later.
	maxReplacementSearches = 4
	silenceSearchDelay     = 5 * time.Millisecond
	// searchDelayTargets is the number of targets of a service that add another
	// silenceSearchDelay.
	searchDelayTargets = 60
)

// callerLeavesAt is the time at which the caller disconnects unless the next event
// comes before. After the first event the deadline does not count: another target would
// not end the answer sooner.
func (a *activeRequest) callerLeavesAt() time.Duration {
	patience := a.arrival.Route.CallerTimeout
	switch {
	case patience <= 0:
		return a.deadline
	case a.anyEventDelivered:
		return a.lastEventAt + patience
	default:
		return min(a.deadline, a.arrivedAt+patience)
	}
}

// silentSince is the time from which the current attempt has sent nothing.
func (a *activeRequest) silentSince() time.Duration { return max(a.sentAt, a.lastEventAt) }

// overdueAt is the time at which the next event of the current attempt is late.
func (c *Core) overdueAt(a *activeRequest) time.Duration {
	least := minStallTimeout
	switch {
	case c.cannotConnect(a.target):
		least = unreachableSilence
	case a.anyEventDelivered && !a.attemptDeliveredEvent:
		least = minResumeTimeout
	}
	expected := a.predictedFirstEvent
	if a.attemptDeliveredEvent {
		expected = a.arrival.Route.MaxEventGap
	}
	return a.silentSince() + max(least, time.Duration(overdueFactor*float64(expected)))
}

// presumedDeadAt is the time from which the target of the current attempt is taken for dead
// unless anybody hears of it before.
func (c *Core) presumedDeadAt(a *activeRequest) time.Duration {
	silentSince := max(a.silentSince(), a.target.lastHeardAt)
	if c.cannotConnect(a.target) {
		return silentSince + unreachableSilence
	}
	return silentSince + max(maxSoundSilence, c.expectedSilence(a))
}

// cannotConnect reports whether this instance could not connect to other targets of the
// target's failure domain lately, or can't to any of its service.
func (c *Core) cannotConnect(target *targetState) bool {
	d := c.domains[target.FailureDomain]
	return d != nil && c.now < d.avoidUntil+domainRetryDelay || c.pathTo(target.Service).state == pathLost
}

// expectedSilence is how long a healthy target may send nothing to any caller: the
// prefill of all prompts pending there, or one pass if it already decodes this
// request.
func (c *Core) expectedSilence(a *activeRequest) time.Duration {
	e := c.engineOf(a)
	if e == nil {
		return minStallTimeout
	}
	if a.attemptDeliveredEvent {
		a.target.advancePrefills(c.now)
		return minStallTimeout + fromMS(a.target.predictState(e).longestPassMS)
	}
	pendingMS := float64(0)
	for _, tracked := range a.target.loads {
		if !tracked.firstEventSeen {
			pendingMS += tracked.PrefillMS
		}
	}
	return minStallTimeout + fromMS(pendingMS)
}

// scheduleSilenceCheck looks at the current attempt when its next event is overdue, and
// again later while it runs. Requests that must not run twice are never given up.
func (c *Core) scheduleSilenceCheck(a *activeRequest, delay time.Duration) {
	if !a.arrival.Route.Retryable() {
		return
	}
	id := a.attempt
	c.afterFunc(delay, func() {
		if a.attempt != id {
			return
		}
		if wait := c.replaceIfSilent(a); a.attempt == id {
			c.scheduleSilenceCheck(a, wait)
		}
	})
}

// replaceIfSilent gives the current attempt up for another one if its target is presumed
// dead, or if its caller would otherwise leave. An attempt that nothing is sure to replace
// goes on: its target may still answer. It returns the time after which to look again.
func (c *Core) replaceIfSilent(a *activeRequest) time.Duration {
	if overdueAt := c.overdueAt(a); c.now < overdueAt {
		return overdueAt - c.now
	}
	if wait := c.settleWait(a); wait > 0 {
		return wait
	}
	if a.callerBlocked {
		return silenceCheckInterval
	}
	if c.leavesMemoryUnused(a) {
		c.abandonUnusedMemory(a)
		return 0
	}
	c.recordSilence(a)
	if c.now < c.earliestReplacement(a) || c.isHeard(a) {
		return silenceCheckInterval
	}
	if c.replacementSearches >= maxReplacementSearches {
		return c.searchDelay(a.service)
	}
	c.replacementSearches++
	r, ok := c.findReplacement(a)
	if !ok {
		return silenceCheckInterval
	}
	if leaveAt := min(c.presumedDeadAt(a), a.lastChance(fromMS(r.placement.firstEventMS))); c.now < leaveAt {
		return leaveAt - c.now
	}
	c.replaceAttempt(a, r)
	return 0
}

// searchDelay is the time until the next Step that may search: a search takes as long as there
// are targets.
func (c *Core) searchDelay(service string) time.Duration {
	return silenceSearchDelay * time.Duration(1+len(c.serviceTargets(service))/searchDelayTargets)
}

// earliestReplacement is the time before which a replacement is not worth looking for, by
// the prediction for the current attempt.
func (c *Core) earliestReplacement(a *activeRequest) time.Duration {
	return min(c.presumedDeadAt(a), a.lastChance(2*a.predictedFirstEvent))
}

// isHeard reports whether the target of the current attempt answers other requests of this
// instance: it is late, not silent, and another target would have to repeat the prefill done
// so far. Of a split prompt, another target may keep it waiting.
func (c *Core) isHeard(a *activeRequest) bool {
	if len(a.loads) > 1 && !a.attemptDeliveredEvent {
		return false
	}
	silence := minStallTimeout
	if c.cannotConnect(a.target) {
		silence = unreachableSilence
	}
	return c.now-a.target.heardHereAt < silence
}

// lastChance is the time by which another attempt has to begin if its first event, which
// takes firstEvent, is to find the caller.
func (a *activeRequest) lastChance(firstEvent time.Duration) time.Duration {
	return a.callerLeavesAt() - time.Duration(lastChanceFactor*float64(firstEvent)) - lastChanceMargin
}

// replacement is an attempt that is sure to start.
type replacement struct {
	placement placement
	relayPeer string // serves the request instead, if it is not empty
}

// findReplacement returns an attempt that would start at once if the current one were given
// up, and whose first event is predicted to find the caller.
func (c *Core) findReplacement(a *activeRequest) (r replacement, ok bool) {
	if a.attemptsRun+1 >= a.maxAttempts() || !c.hasRetries(a.service, 1+spareRetries) || c.isQuarantined(a) {
		return replacement{}, false
	}
	switch c.pathTo(a.service).state {
	case pathDoubted:
		return replacement{}, false
	case pathLost:
		r.relayPeer = c.relayPeer(a)
		return r, r.relayPeer != "" && !c.isRelayDoubted(r.relayPeer, a.service) && c.canWaitBeforeStopEnds(a)
	}
	if c.isServiceSilent(a.service) && !c.cannotConnect(a.target) {
		return replacement{}, false
	}
	r.placement = c.placeElsewhere(a)
	p := &r.placement
	if p.primary == nil || p.needsTickets || c.servesTooLate(a, *p) || c.shouldWait(a, *p) {
		return replacement{}, false
	}
	firstEventAt := c.now + fromMS(p.firstEventMS)
	return r, firstEventAt < min(a.callerLeavesAt(), a.deadline) && c.endsBeforeStop(a, *p)
}

// isQuarantined reports whether the request may not run again, or only on trial.
func (c *Core) isQuarantined(a *activeRequest) bool {
	if a.trial {
		return false
	}
	admission := c.admission(a)
	return admission == quarantine.Refused || admission == quarantine.Suspended
}

// placeElsewhere returns the placement that the request would get if its current attempt
// had ended, and its target and those without a free slot were avoided. There is none if all
// other targets are avoided.
func (c *Core) placeElsewhere(a *activeRequest) placement {
	loads := make([][]*trackedLoad, len(a.loads))
	for i, placed := range a.loads {
		placed.target.advancePrefills(c.now)
		loads[i] = placed.target.loads
		placed.target.loads = selectFunc(loads[i], func(other *trackedLoad) bool { return other != placed.load })
	}
	tried := a.triedTargets
	a.triedTargets = append(slices.Clone(tried), a.target.ID)
	for _, target := range c.serviceTargets(a.service) {
		if c.engineOf(a) != nil && target.requestCount() >= target.Slots {
			a.triedTargets = append(a.triedTargets, target.ID)
		}
	}
	p := c.choosePlacement(a)
	if p.primary != nil && !c.isUsable(a, p.primary) {
		p = placement{}
	}
	a.triedTargets = tried
	for i, placed := range a.loads {
		placed.target.loads = loads[i]
	}
	return p
}

// isServiceSilent reports whether all targets of a service that owe this instance an answer
// are silent, and they are several: another one would hardly be heard either.
func (c *Core) isServiceSilent(service string) bool {
	silent := 0
	for _, target := range c.serviceTargets(service) {
		if c.now-target.heardHereAt < minStallTimeout {
			return false
		}
		if slices.ContainsFunc(target.loads, func(tracked *trackedLoad) bool {
			return tracked.owner.isSelf() && !tracked.HelperPart && c.now-tracked.addedAt >= minStallTimeout
		}) {
			silent++
		}
	}
	return silent >= minSilentTargets
}

// replaceAttempt cancels the current attempt and makes another one.
func (c *Core) replaceAttempt(a *activeRequest, r replacement) {
	c.log("target-silent", "request", a.arrival.ID, "attempt", a.attempt, "target", a.target.ID,
		"silent_ms", int(toMS(c.now-a.silentSince())), "alive_ms_ago", int(toMS(c.now-a.target.lastHeardAt)))
	c.emit(Cancel{Attempt: a.attempt})
	a.triedTargets = append(a.triedTargets, a.target.ID)
	c.removeAttemptLoads(a)
	a.attemptsRun++
	c.takeRetry(a.service)
	c.holdRetries(a, spareRetries)
	c.incrementCounter("retries", "silent")
	if r.relayPeer != "" {
		c.sendToPeer(a, r.relayPeer)
		return
	}
	c.takeLimitToken(r.placement.primary)
	c.sendAttempt(a, r.placement, nil)
}

// recordSilence keeps new requests from a target that nobody hears of although an attempt
// there is overdue. Its silence counts as a failure once for all attempts that it hits.
func (c *Core) recordSilence(a *activeRequest) {
	target := a.target
	if c.now-max(target.lastHeardAt, a.silentSince()) < c.expectedSilence(a) {
		return
	}
	if a.sentAt > target.silenceCountedAt || target.silenceCountedAt == 0 {
		target.silenceCountedAt = c.now
		c.log("target-avoided", "target", target.ID, "request", a.arrival.ID, "silent_ms", int(toMS(c.now-target.lastHeardAt)))
		c.recordFailureOf(target, true)
	}
	target.health.avoidUntil = max(target.health.avoidUntil, c.now+minTargetRetryDelay)
}

// recordHeard records that a target has sent something to anybody, which ends its silence.
func (c *Core) recordHeard(target *targetState) {
	target.lastHeardAt = c.now
	if target.silenceCountedAt > 0 {
		target.silenceCountedAt = 0
		target.health.recordSuccess()
	}
}

// recordHeardHere is recordHeard for what was sent to this instance.
func (c *Core) recordHeardHere(target *targetState) {
	target.heardHereAt = c.now
	c.recordHeard(target)
}

// recordAnswerHeard records that a target was heard if an attempt there ended with an answer.
func (c *Core) recordAnswerHeard(target *targetState, outcome AttemptOutcome) {
	if outcome.isAnswer() {
		c.recordHeardHere(target)
	}
}

// handleCallerBlocked records that an attempt waits for its caller, not for its target. A
// report that is older than the last event is dropped.
func (c *Core) handleCallerBlocked(ev CallerBlocked) {
	a := c.attempts[ev.Attempt]
	if a == nil || c.now-a.silentSince() < CallerBlockedDelay {
		return
	}
	a.callerBlocked = true
	if a.relayedBy == "" {
		c.recordHeardHere(a.target)
	}
}

// replaceSilentAttempts replaces the attempts that are silent at those targets that can't
// be connected to.
func (c *Core) replaceSilentAttempts(unreachable func(*targetState) bool) {
	var silent []*activeRequest
	for _, a := range c.attempts {
		if a.relayedBy == "" && unreachable(a.target) && a.arrival.Route.Retryable() {
			silent = append(silent, a)
		}
	}
	slices.SortFunc(silent, func(a, b *activeRequest) int { return cmp.Compare(a.attempt, b.attempt) })
	for _, a := range silent {
		c.replaceIfSilent(a)
	}
}
