package entry

import (
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
)

// Histograms of completions, by length class.
const (
	HistogramFirstToken = "first_token_seconds" // from arrival
	HistogramCompletion = "completion_seconds"  // from arrival to the end of a complete answer
)

// Counters of requests.
const (
	CounterRefusals       = "refusals"
	CounterRetries        = "retries"
	CounterDroppedAnswers = "answers_dropped"
	CounterRequestsEnded  = "requests_ended"
)

// handleDelivered records progress of an attempt. Tokens of an attempt that is
// no longer the current one are counted and dropped.
func (e *Entry) handleDelivered(ev Delivered) {
	a := e.attempts[ev.Attempt]
	if a == nil || a.lifecycle.Current() != ev.Attempt {
		e.incrementCounter(CounterDroppedAnswers, "late-tokens")
		return
	}
	if a.lifecycle.Tokens() == 0 && ev.Tokens > 0 {
		e.observeElapsed(a, HistogramFirstToken)
	}
	if a.deliveredTokens == 0 && ev.Tokens > 0 {
		e.recordFirstToken(a, ev.Attempt)
	}
	a.deliveredTokens += ev.Tokens
	a.answerBytes += ev.Bytes
	a.headDelivered = a.headDelivered || ev.Head
	a.lifecycle.AddTokens(ev.Tokens)
	a.target.RecordProgress(e.now)
	e.clearSurvivor(a)
}

// handleAttemptEnd records the end of an attempt, then finishes its request or
// tries it again.
func (e *Entry) handleAttemptEnd(ev AttemptEnd) {
	a := e.attempts[ev.Attempt]
	if a == nil || a.lifecycle.Current() != ev.Attempt {
		e.incrementCounter(CounterDroppedAnswers, "late-end")
		return
	}
	tg := a.target
	if a.decodesInGroup() && (ev.Outcome == OutcomeNotRun || ev.Outcome == OutcomeNotConnected) {
		ev.Outcome = OutcomeBroke // the prefill already ran on the engines of the group
	}
	e.recordSizes(a, ev)
	e.releaseAttempt(a, ev.Attempt)
	e.recordAttemptHealth(tg, ev)
	if ev.Outcome != OutcomeComplete {
		e.endTrial(a)
	}
	switch ev.Outcome {
	case OutcomeComplete:
		a.lifecycle.RecordEnded(ev.Attempt)
		e.recordCompleted(a)
		a.answer = ev.Answer
		e.finish(a, request.Succeed())
	case OutcomeNotConnected, OutcomeNotRun:
		a.lifecycle.RecordNotRun(ev.Attempt)
		e.retry(a, string(ev.Outcome))
	case OutcomeBroke:
		a.lifecycle.RecordEnded(ev.Attempt)
		e.handleBrokenAttempt(a)
	case OutcomeError:
		a.lifecycle.RecordEnded(ev.Attempt)
		e.finish(a, request.Fail(result.TargetError))
	case OutcomeCallerSlow:
		a.lifecycle.RecordEnded(ev.Attempt)
		e.finish(a, request.Fail(result.SlowCaller))
	case OutcomeTooLarge:
		a.lifecycle.RecordEnded(ev.Attempt)
		e.finish(a, request.Fail(result.AnswerTooLarge))
	}
}

// handleBrokenAttempt continues after a connection broke that was already
// written to: an idempotent request resumes on another target, any other has an
// unknown outcome.
func (e *Entry) handleBrokenAttempt(a *activeRequest) {
	if !a.idempotent {
		e.finish(a, request.Unknown(result.BrokenAfterSend))
		return
	}
	if a.headDelivered {
		e.finish(a, request.Fail(result.TargetDied))
		return
	}
	e.recordBrokenRun(a)
	e.retryAfterInquiry(a)
}

// retry makes another attempt, within the limit of attempts and the retry
// budget.
func (e *Entry) retry(a *activeRequest, reason string) {
	if !a.hasAttemptsLeft() {
		e.giveUp(a, result.TargetsRefused)
		return
	}
	if !e.retryBudget.Take(e.now) {
		e.giveUp(a, result.RetryBudget)
		return
	}
	e.incrementCounter(CounterRetries, reason)
	e.dispatch(a)
}

// giveUp ends a request that can make no further attempt: with the refusal when
// it is proven that nothing was sent, else as failed or with an unknown
// outcome.
func (e *Entry) giveUp(a *activeRequest, refusal result.Code) {
	if proof := a.lifecycle.NotRunProof(); proof.Valid() {
		e.finish(a, request.Refuse(proof, refusal, retryHint))
		return
	}
	if !a.idempotent {
		e.finish(a, request.Unknown(result.BrokenAfterSend))
		return
	}
	if a.lifecycle.Tokens() > 0 {
		e.finish(a, request.Fail(result.ResumeFailed))
		return
	}
	e.finish(a, request.Fail(result.TargetDied))
}

// handleDeadline ends a request that is still in progress at its deadline.
func (e *Entry) handleDeadline(id RequestID) {
	a := e.requests[id]
	if a == nil {
		return
	}
	if a.waitsForClaim() {
		e.endUnclaimed(a, result.ClaimTimeout)
		return
	}
	if e.endWithinSharedRun(a, result.DeadlineRunning, result.QueueTimeout) {
		return
	}
	cur := a.lifecycle.Current()
	if cur == 0 {
		e.giveUp(a, result.QueueTimeout)
		return
	}
	e.emit(Cancel{Attempt: cur})
	e.releaseAttempt(a, cur)
	a.lifecycle.RecordEnded(cur)
	if a.idempotent {
		e.finish(a, request.Fail(result.DeadlineRunning))
		return
	}
	e.finish(a, request.Unknown(result.DeadlineAfterSend))
}

// handleCallerLeft ends the request of a caller that closed its connection or
// reads too slowly.
func (e *Entry) handleCallerLeft(ev CallerLeft) {
	a := e.requests[ev.Request]
	if a == nil {
		return
	}
	gone := result.CallerGone
	if ev.Slow {
		gone = result.SlowCaller
	}
	if a.waitsForClaim() {
		e.endUnclaimed(a, result.CallerGoneUnsent)
		return
	}
	if e.endWithinSharedRun(a, gone, result.CallerGoneUnsent) {
		return
	}
	cur := a.lifecycle.Current()
	if cur == 0 {
		e.giveUp(a, result.CallerGoneUnsent)
		return
	}
	if !a.idempotent {
		return // the call goes on, so that a resend can learn its outcome
	}
	e.emit(Cancel{Attempt: cur})
	e.releaseAttempt(a, cur)
	a.lifecycle.RecordEnded(cur)
	e.finish(a, request.Fail(gone))
}

// releaseAttempt removes an attempt from this entry's accounting of targets,
// groups and fingerprints.
func (e *Entry) releaseAttempt(a *activeRequest, id request.AttemptID) {
	delete(e.attempts, id)
	e.closeGroupRun(a)
	if a.target != nil {
		e.untrackAttempt(a)
		e.targets.RecordEnd(e.now, a.target, id, a.deliveredTokens)
		a.target = nil
	}
}
