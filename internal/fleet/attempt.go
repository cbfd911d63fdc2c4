package fleet

import (
	"slices"

	"github.com/medlardeck/medlardeck/internal/result"
)

// handleAttemptStarted records that an attempt may have run from now on.
func (c *Core) handleAttemptStarted(ev AttemptStarted) {
	if a := c.attempts[ev.Attempt]; a != nil {
		a.attemptStarted = true
		c.startColdSend(a)
	}
}

// handleProgress records that an event of the answer reached the caller. The first
// event of an attempt shows that the prompt has been prefilled.
func (c *Core) handleProgress(ev Progress) {
	a := c.attempts[ev.Attempt]
	if a == nil {
		return
	}
	if a.anyEventDelivered {
		a.longestPause = max(a.longestPause, c.now-a.lastEventAt)
	} else {
		a.timeToFirstEvent = c.now - a.arrivedAt
		c.emit(Observe{"first_event_seconds", a.arrival.Route.Name, a.timeToFirstEvent})
	}
	if a.attemptDeliveredEvent && a.relayedBy == "" && !a.callerBlocked {
		c.observePass(a, c.now-a.lastEventAt)
	}
	a.anyEventDelivered, a.lastEventAt, a.callerBlocked, a.judgedAt = true, c.now, false, 0
	if ev.EventID != "" {
		a.lastEventID = ev.EventID
	}
	if a.relayedBy != "" {
		return
	}
	c.recordHeardHere(a.target)
	if len(a.loads) > 0 {
		a.loads[0].load.sentEvents++
	}
	if a.attemptDeliveredEvent {
		c.recordLongRun(a)
		return
	}
	a.attemptDeliveredEvent, a.firstEventAt = true, c.now
	c.holdRetries(a, 0)
	c.recordLimit(a, ev.Limit)
	c.observeFirstEvent(a)
	c.recordSuccess(a.target)
	c.log("first-event", "request", a.arrival.ID, "attempt", ev.Attempt, "after_ms", int(toMS(c.now-a.sentAt)))
	for _, placed := range a.loads {
		c.recordHeard(placed.target)
		placed.target.markFirstEvent(c.now, placed.load)
		c.outbox.pending.FirstEvents = append(c.outbox.pending.FirstEvents, placed.load.Key)
		c.outbox.recordChange(placed.load.Key, placed.target)
	}
	c.scheduleGossip()
}

// recordTargetFailure counts a failure against the target of the current attempt, which the
// request does not try again.
func (c *Core) recordTargetFailure(a *activeRequest, severe bool) {
	a.triedTargets = append(a.triedTargets, a.target.ID)
	c.recordFailureOf(a.target, severe)
}

// recordFailureOf counts a failure against a target. Severe failures, without any answer,
// are reported to the peers; others count half.
func (c *Core) recordFailureOf(target *targetState, severe bool) {
	weight := 1.0
	if !severe {
		weight = 0.5
	}
	target.health.recordFailure(c.now, weight, severe)
	if severe && c.pathTo(target.Service).state == pathSound { // otherwise the failure says nothing of the target
		c.outbox.pending.FailedTargets = append(c.outbox.pending.FailedTargets, target.ID)
		c.scheduleGossip()
	}
}

// handleAttemptEnd finishes the request or retries it, depending on how the attempt
// ended. Ends of attempts that are no longer known are dropped.
func (c *Core) handleAttemptEnd(ev AttemptEnd) {
	a := c.attempts[ev.Attempt]
	if a == nil {
		c.incrementCounter("answers_dropped", "late-end")
		return
	}
	a.lastEnd, c.deciding = ev, a
	if a.relayedBy != "" {
		c.handleRelayEnd(a, ev)
		return
	}
	target := a.target
	if !a.attemptDeliveredEvent {
		c.recordLimit(a, ev.Limit)
	}
	c.logAttemptEnd(a)
	c.recordAnswerHeard(target, ev.Outcome)
	switch ev.Outcome {
	case OutcomeComplete:
		c.recordSuccess(target)
		c.observeAnswerLength(a)
		c.tellAnswer(a)
		c.recordAnswer(a, ev)
		c.removeAttemptLoads(a)
		c.finishRequest(a, Finish{Code: result.Complete, ForwardAnswer: true})
	case OutcomeFailed:
		c.recordTargetFailure(a, false)
		c.recordAnswer(a, ev)
		c.removeAttemptLoads(a)
		a.attemptsRun++
		a.hasFailureAnswer = true
		c.retryOrFail(a, "failed")
	case OutcomeNotConnected:
		c.handleNotConnected(a)
	case OutcomeNotRun, OutcomeMisdirected:
		c.handleNotRun(a, ev)
	case OutcomeOtherWeights:
		c.handleOtherWeights(a, ev)
	case OutcomeBroken:
		c.handleBroken(a)
	case OutcomeWithheld:
		c.placeWithheld(a)
	case OutcomeCallerGone:
		c.removeAttemptLoads(a)
		a.attemptsRun++
		c.finishRequest(a, Finish{Code: result.CallerGone})
	}
}

// tellAnswer tells the peers that a target has answered a request without any event before.
func (c *Core) tellAnswer(a *activeRequest) {
	if a.attemptDeliveredEvent {
		return
	}
	for _, placed := range a.loads {
		c.outbox.pending.FirstEvents = append(c.outbox.pending.FirstEvents, placed.load.Key)
		c.outbox.recordChange(placed.load.Key, placed.target)
	}
}

// logAttemptEnd logs and counts how an attempt ended without a complete answer.
func (c *Core) logAttemptEnd(a *activeRequest) {
	ev := a.lastEnd
	if ev.Outcome == OutcomeComplete {
		return
	}
	c.log("attempt-ended", "request", a.arrival.ID, "attempt", ev.Attempt, "target", a.target.ID,
		"end", ev.Outcome.String(), "status", ev.Status, "cause", ev.Cause, "culprit", ev.FailedAddress,
		"after_ms", int(toMS(c.now-a.sentAt)))
	c.incrementCounter("attempts_ended", ev.Outcome.String())
}

// handleBroken retries the request after its connection has failed, once it is known whether
// its target has ended.
func (c *Core) handleBroken(a *activeRequest) {
	c.recordTargetFailure(a, true)
	c.recordPathFailure(&a.target.Target, false)
	wait := c.checkBrokenRun(a)
	c.removeAttemptLoads(a)
	a.attemptsRun++
	if !wait {
		c.retryOrFail(a, "broken")
	}
}

// handleNotConnected retries the request after no connection to its target was made.
func (c *Core) handleNotConnected(a *activeRequest) {
	target := a.target
	c.recordTargetFailure(a, true)
	c.recordPathFailure(&target.Target, true)
	a.unreachableDomain = target.FailureDomain
	c.removeAttemptLoads(a)
	c.recordConnectFailure(target)
	a.attemptsNotRun++
	c.retryOrFail(a, "not-connected")
}

// targetAtFault returns the target, or the helper, that the end of the current attempt names.
func (a *activeRequest) targetAtFault(ev AttemptEnd) *targetState {
	if ev.FailedAddress != "" && ev.FailedAddress != a.target.Address {
		for _, placed := range a.loads {
			if placed.target.Address == ev.FailedAddress {
				return placed.target
			}
		}
	}
	return a.target
}

// handleNotRun retries the request after the target answered that it did not run
// it. The failedTarget is the helper that the answer names, or else the target itself: it
// is marked as gone if another target has its address now; otherwise the failure
// counts against its health, unless the target asked for quiet. If a helper in another
// failure domain failed, a cut may lie between the two, and the request is placed in the
// own domain only.
func (c *Core) handleNotRun(a *activeRequest, ev AttemptEnd) {
	failedTarget := a.targetAtFault(ev)
	a.triedTargets = append(a.triedTargets, failedTarget.ID)
	if failedTarget.FailureDomain != a.target.FailureDomain {
		a.ownDomainOnly = true
		if a.target.FailureDomain == c.opts.FailureDomain {
			c.recordConnectFailure(failedTarget)
		}
	}
	if ev.Outcome == OutcomeMisdirected {
		c.dropColdSend(a)
		c.setGone(failedTarget)
		c.log("target-gone", "target", failedTarget.ID, "why", "address-reused", "answered_by", ev.AnsweredBy)
		c.recordPresence(ev.AnsweredBy, failedTarget.Address)
	} else if failedTarget != a.target || a.quietAttempt != ev.Attempt {
		failedTarget.health.recordFailure(c.now, 1, failedTarget != a.target)
	}
	c.removeAttemptLoads(a)
	a.attemptsNotRun++
	a.arrivedAtTarget = true
	c.retryOrFail(a, ev.Outcome.String())
}

// MayStart reports whether an attempt of which nothing has been sent yet may still start.
// Since its Send, its targets may have left or asked for quiet, or their domains may have been
// evacuated.
func (c *Core) MayStart(send Send) bool {
	if send.Relay.Address != "" {
		a := c.attempts[send.Attempt]
		return a == nil || !c.isServiceEvacuated(a.service)
	}
	for _, h := range send.Helpers {
		if target := c.targets[h.Target]; target == nil || !c.takesPartOf(target) {
			return false
		}
	}
	target := c.targets[send.Target.ID]
	return target != nil && target.StartedMS == send.Target.StartedMS && c.isOpen(target) &&
		(target.holdsColdSend(send.Attempt) || c.coldAllows(target))
}

// isOpen reports whether a target takes new work, as far as nothing counts the requests.
func (c *Core) isOpen(target *targetState) bool {
	return target.takesWork() && !c.isEvacuated(target.FailureDomain) && !c.wantsQuiet(target)
}

// maySendTo reports whether new work may be sent to a target now.
func (c *Core) maySendTo(target *targetState) bool {
	return c.isOpen(target) && c.coldAllows(target)
}

// takesPartOf reports whether a target may prefill a part of another one's prompt now.
func (c *Core) takesPartOf(helper *targetState) bool { return c.isOpen(helper) && !c.isCold(helper) }

// maySendToAll reports whether new work may be sent to all targets of a placement now.
func (c *Core) maySendToAll(p *placement) bool {
	return c.maySendTo(p.primary) && !slices.ContainsFunc(p.helpers, func(h *targetState) bool { return !c.takesPartOf(h) })
}

// maxImmediatePlacements is the number of withheld attempts of a request up to which it is
// placed again at once.
const maxImmediatePlacements = 3

// placeWithheld places a request again whose attempt has not reached its target. This is no
// retry.
func (c *Core) placeWithheld(a *activeRequest) {
	if c.isEvacuated(a.target.FailureDomain) {
		c.incrementCounter("evacuation_withheld", "before-start")
	} else if !c.coldAllows(a.target) {
		c.incrementCounter("cold_withheld", "before-start")
	}
	c.removeAttemptLoads(a)
	a.withheld++
	if a.withheld > maxImmediatePlacements {
		c.dispatchLater(a)
		return
	}
	c.dispatch(a)
}
