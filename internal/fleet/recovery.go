package fleet

import (
	"fmt"
	"slices"

	"github.com/medlardeck/medlardeck/internal/result"
)

// Recover returns the effects of a Step that has panicked while it handled an event: those
// that it had emitted, and the end of the request that it was deciding about. Timers that were
// due and did not run are left to the next Step.
func (c *Core) Recover(ev Event, cause any) []Effect {
	c.log("step-panicked", "event", fmt.Sprintf("%T", ev), "cause", fmt.Sprint(cause))
	c.incrementCounter("step_panics", fmt.Sprintf("%T", ev))
	if a := c.deciding; a != nil && c.requests[a.arrival.Request] == a {
		c.abandonRequest(a, ev)
	}
	c.deciding = nil
	return c.effects
}

// abandonRequest ends a request about which a decision has failed, unless its attempt goes on.
func (c *Core) abandonRequest(a *activeRequest, ev Event) {
	end, isEnd := ev.(AttemptEnd)
	isEnd = isEnd && a.attempt != 0 && end.Attempt == a.attempt
	if a.attempt != 0 && !isEnd && c.hasEmittedSend(a.attempt) {
		return
	}
	if a.attempt != 0 {
		c.removeAttemptLoads(a)
	}
	if isEnd && end.Outcome == OutcomeComplete {
		c.finishRequest(a, Finish{Code: result.Complete, ForwardAnswer: true})
		return
	}
	if isEnd && (end.Outcome == OutcomeFailed || end.Outcome == OutcomeBroken || end.Outcome == OutcomeCallerGone) {
		a.attemptsRun++
	}
	c.refuseOrFail(a, result.InternalUnstarted, minRetryAfter)
}

// hasEmittedSend reports whether the present Step has emitted the Send of an attempt.
func (c *Core) hasEmittedSend(attempt AttemptID) bool {
	return slices.ContainsFunc(c.effects, func(eff Effect) bool {
		send, ok := eff.(Send)
		return ok && send.Attempt == attempt
	})
}
