package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// stopState is the state of a planned stop.
type stopState struct {
	begun   bool
	begunAt time.Duration
	// A request that arrives after admitAllUntil is admitted only if it is expected to end
	// by deadline.
	admitAllUntil, deadline time.Duration
	ended                   bool // no request is admitted any more
}

// stopLatencyFactor is the multiple of the route's target latency that a request
// is assumed to take to its first event, or to a plain answer, during a stop.
const stopLatencyFactor = 2

// maxEarlyStopEnd is by how much a stop may end sooner than planned, on a machine that keeps its
// process from running.
const maxEarlyStopEnd = 500 * time.Millisecond

// Stopping reports whether a planned stop has begun.
func (c *Core) Stopping() bool { return c.stop.begun }

// beginStop begins a planned stop; later calls have no effect.
func (c *Core) beginStop(ev Stop) {
	if c.stop.begun {
		return
	}
	c.stop.begun, c.stop.begunAt = true, c.now
	c.stop.admitAllUntil, c.stop.deadline = c.now+ev.BalancerDelay, c.now+ev.GracePeriod
}

// endStop ends all requests with the answers that are true of them: the process is about
// to end, and would close their connections without any.
func (c *Core) endStop() {
	c.beginStop(Stop{})
	c.stop.ended = true
	open := make([]*activeRequest, 0, len(c.requests))
	for _, a := range c.requests {
		open = append(open, a)
	}
	slices.SortFunc(open, func(a, b *activeRequest) int { return cmp.Compare(a.arrival.Request, b.arrival.Request) })
	for _, a := range open {
		if a.attempt != 0 {
			c.emit(Cancel{Attempt: a.attempt})
			if a.attemptStarted {
				a.attemptsRun++
			}
			c.removeAttemptLoads(a)
		}
		switch {
		case a.anyEventDelivered:
			c.log("stream-cut-by-stop", "request", a.arrival.ID, "prompt", a.arrival.PromptTokens, "longest_answer", a.arrival.MaxAnswerTokens,
				"arrived_after_stop_ms", int(toMS(a.arrivedAt-c.stop.begunAt)), "sent_after_stop_ms", int(toMS(a.sentAt-c.stop.begunAt)),
				"last_event_ms", int(toMS(c.now-a.lastEventAt)))
			c.incrementCounter("streams_cut_by_stop", c.stop.arrivalPeriod(a.arrivedAt))
			c.finishRequest(a, Finish{Code: result.StopRunning})
		case a.attemptsRun > 0 && !a.hasFailureAnswer:
			c.finishRequest(a, Finish{Code: result.StopAfterSend})
		default:
			c.refuseOrFail(a, result.Stopping, minRetryAfter)
		}
	}
}

// arrivalPeriod says when in the course of the stop a request arrived that its end cuts.
func (s *stopState) arrivalPeriod(arrivedAt time.Duration) string {
	switch {
	case arrivedAt < s.begunAt:
		return "arrived-before"
	case arrivedAt < s.admitAllUntil:
		return "arrived-in-balancer-delay"
	default:
		return "arrived-late"
	}
}

// isLate reports whether the load balancer has noticed a stop, so that callers are served
// elsewhere.
func (s *stopState) isLate(now time.Duration) bool { return s.begun && now >= s.admitAllUntil }

// IdleFor reports whether no request is in flight and none arrived for minIdle.
func (c *Core) IdleFor(minIdle time.Duration) bool {
	return len(c.requests) == 0 && c.now-c.lastArrivalAt >= minIdle
}

// canFinishBeforeStopEnds reports whether a request that arrives may be admitted: always while
// no stop is in progress or the balancer may not have noticed it yet, afterwards only
// if the request is expected to end before the process does.
func (c *Core) canFinishBeforeStopEnds(a *activeRequest) bool {
	switch {
	case c.stop.ended:
		return false
	case !c.stop.isLate(c.now):
		return true
	}
	neededTime := c.plainAnswerTime(a, stopLatencyFactor)
	if e := c.engineOf(a); e != nil {
		neededTime += fromMS(e.prefillMS(a.arrival.PromptTokens, 1) + c.answerTokensInStop(a, e)*e.fullStepMS())
	}
	return c.fitsStop(a, neededTime)
}

// canSendBeforeStopEnds reports whether a request that is sent now with the placement p is
// expected to end before the process does. One that may have run goes on in any case: it
// can't be refused any more.
func (c *Core) canSendBeforeStopEnds(a *activeRequest, p placement) bool {
	return a.mayHaveRun() || c.endsBeforeStop(a, p)
}

// endsBeforeStop reports whether an answer by the placement p, if it is sent now, is expected
// to end before the process does.
func (c *Core) endsBeforeStop(a *activeRequest, p placement) bool {
	if !c.stop.begun {
		return true
	}
	neededTime := c.plainAnswerTime(a, stopLatencyFactor)
	if e := c.engineOf(a); e != nil {
		stepMS := p.primary.predictState(e).stepMS + e.decodeMS(float64(a.arrival.PromptTokens/p.partCount()))
		neededTime = fromMS(p.firstEventMS + c.answerTokensInStop(a, e)*stepMS)
	}
	return c.fitsStop(a, neededTime)
}

// canWaitBeforeStopEnds reports whether a request may wait for a later placement: not in a
// stopping instance that is expected to end before the answer. Elsewhere the wait has no
// such end, and the sooner the caller knows, the more time it has there.
func (c *Core) canWaitBeforeStopEnds(a *activeRequest) bool {
	if !c.stop.begun || a.mayHaveRun() {
		return true
	}
	neededTime := c.plainAnswerTime(a, 1)
	if e := c.engineOf(a); e != nil {
		parts := max(1, len(c.candidateTargets(a)))
		neededTime += fromMS(e.prefillMS(a.arrival.PromptTokens, parts) + c.answerTokensInStop(a, e)*e.fullStepMS())
	}
	return c.fitsStop(a, neededTime)
}

// fitsStop reports whether an answer that takes neededTime by itself ends before the process
// does. Once the stop is late, callers are served elsewhere, and an answer that is cut costs them
// more than a refusal: it then has to fit beside what others send to the same target.
func (c *Core) fitsStop(a *activeRequest, neededTime time.Duration) bool {
	end := c.stop.deadline
	if c.stop.isLate(c.now) {
		end -= maxEarlyStopEnd
		if c.engineOf(a) != nil {
			neededTime = c.withOtherPrefills(a.service, neededTime)
		}
	}
	if c.now+neededTime < end {
		return true
	}
	c.log("does-not-fit-stop", "request", a.arrival.ID, "prompt", a.arrival.PromptTokens, "needed_ms", int(toMS(neededTime)), "left_ms", int(toMS(end-c.now)))
	return false
}

// mayHaveRun reports whether an attempt has run at a target or may have.
func (a *activeRequest) mayHaveRun() bool { return a.attemptsRun > 0 || a.anyEventDelivered }

// plainAnswerTime is the time that a request is assumed to take without what an engine model
// says: a multiple of the route's target latency. A stream of a service without one may last
// as long as its route allows, for which there is time elsewhere once a stop is late.
func (c *Core) plainAnswerTime(a *activeRequest, latencyFactor time.Duration) time.Duration {
	if c.engineOf(a) == nil && a.arrival.Route.Kind == KindStream && c.stop.isLate(c.now) {
		return a.deadline - c.now
	}
	return latencyFactor * a.arrival.Route.TargetLatency
}

// answerTokensInStop is the length of an answer for which a stop has to leave time: the
// usual length, or the longest that the caller allows once the stop is late. An answer that
// is cut off by the stop is lost.
func (c *Core) answerTokensInStop(a *activeRequest, e *Engine) float64 {
	longest := a.arrival.MaxAnswerTokens
	switch {
	case longest <= 0, e.MeanAnswerTokens > 0 && e.MeanAnswerTokens < longest && !c.stop.isLate(c.now):
		return float64(e.MeanAnswerTokens)
	default:
		return float64(longest)
	}
}
