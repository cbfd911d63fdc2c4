package entry

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/admission"
	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
)

// lastAnswersTime is the part of a stop's timeout that is kept for the last answers
// to callers and for the outcomes of claims.
const lastAnswersTime = 2 * time.Second

// handleStop starts a planned stop: the instance is not ready at once, refuses
// new work after StopLag, and lets requests in flight end by themselves until
// little of the timeout is left.
func (e *Entry) handleStop(timeout time.Duration) {
	if e.stopping {
		return
	}
	e.stopping = true
	e.members.SetLeaving(true)
	if timeout > 0 {
		left := timeout - min(lastAnswersTime, timeout/2)
		e.stopEnd = e.now + left
		e.scheduleAfter(left, e.handleStopEnd)
	}
	if e.opts.StopLag == 0 {
		e.refusingWork = true
		return
	}
	e.scheduleAfter(e.opts.StopLag, func() { e.refusingWork = true })
}

// handleStopEnd ends what is open at the end of a stop's time, if anything is.
func (e *Entry) handleStopEnd() {
	if !e.stopped || len(e.openCommands) > 0 {
		e.endStop()
	}
}

// endStop ends every open request and command and refuses new ones. The list of held requests
// is cleared first: the end of a run of their fingerprint would send them.
func (e *Entry) endStop() {
	if e.stopExpired {
		return
	}
	e.handleStop(0)
	e.stopExpired, e.refusingWork = true, true
	open := len(e.requests)
	e.suspects.held = nil
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if a := e.requests[id]; a != nil && a.leader == nil {
			e.endAtStop(a)
		}
	}
	e.endCommandsAtStop()
	e.emit(Log{Event: "stop-expired", Pairs: []string{"requests", strconv.Itoa(open)}})
	e.emit(StopExpired{})
}

// endAtStop ends a request, and those that joined its run, because the stop is over.
func (e *Entry) endAtStop(a *activeRequest) {
	if a.waitsForClaim() {
		e.endUnclaimed(a, result.Stopping)
		return
	}
	if cur := a.lifecycle.Current(); cur != 0 {
		e.emit(Cancel{Attempt: cur})
		e.releaseAttempt(a, cur)
		a.lifecycle.RecordEnded(cur)
	}
	switch {
	case a.lifecycle.NotRunProof().Valid():
		e.refuseStopping(a)
	case a.lifecycle.Tokens() > 0 || a.headDelivered:
		e.finish(a, request.Fail(result.StopRunning))
	default:
		e.finish(a, request.Unknown(result.StopAfterSend))
	}
}

// refuseStopping refuses a request that another instance can serve.
func (e *Entry) refuseStopping(a *activeRequest) {
	e.refuse(a, result.Stopping, admission.RetryAfter(retryHint, e.rng))
}

// endCommandsAtStop answers the operators' commands that are still open. A confirmation
// may have been written.
func (e *Entry) endCommandsAtStop() {
	for _, id := range slices.Sorted(maps.Keys(e.openCommands)) {
		ev := e.openCommands[id]
		if ev.Confirm == "" {
			e.answerFailure(ev, errStopping)
			continue
		}
		e.answerOperator(ev, CommandResult{Confirmation: &Confirmation{Verdict: configuration.VerdictUnknown, PlanID: ev.Confirm}})
	}
}

// finishStop emits Stopped once requests, commands, orders and claims are finished.
func (e *Entry) finishStop() {
	if !e.refusingWork || e.stopped || len(e.requests) > 0 || len(e.openCommands) > 0 || !e.ordersDone() || !e.flushClaims() {
		return
	}
	e.stopped = true
	e.emit(Stopped{})
}
