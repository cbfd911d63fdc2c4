package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/target"
)

// stopTimeout is the timeout of the stops in these tests, far below the time limits of
// the requests.
const stopTimeout = 5 * time.Second

// advanceTo runs each timer at its time until now, and returns the effects.
func advanceTo(e *Entry, now time.Duration) []Effect {
	var effs []Effect
	for {
		at, ok := e.NextTimer()
		if !ok || at > now {
			return append(effs, e.Step(now, Tick{})...)
		}
		effs = append(effs, e.Step(at, Tick{})...)
	}
}

// finishCodes returns the result codes of the requests that ended.
func finishCodes(effs []Effect) map[RequestID]result.Code {
	codes := map[RequestID]result.Code{}
	for _, f := range effectsOf[Finish](effs) {
		codes[f.Request] = f.Code
	}
	return codes
}

// Failure: requests that are open when the time of a stop is over never end, so that
// their connections are closed without an answer. Each must end before, with a code
// that says whether it may have run.
func TestRequestsEndBeforeTheTimeOfAStop(t *testing.T) {
	e := newSingleEngineEntry(0, 0)
	sent := effectsOf[Send](e.Step(0, completionWithPrompt(1, 2000)))[0]
	streaming := effectsOf[Send](e.Step(0, completionWithPrompt(2, 3000)))[0]
	e.Step(0, Delivered{Attempt: streaming.Attempt, Tokens: 3})
	booking := effectsOf[Send](e.Step(0, RequestArrived{Request: 3, Workspace: "museum", Route: "bookings", Method: "POST"}))[0]
	answering := effectsOf[Send](e.Step(0, RequestArrived{Request: 4, Workspace: "museum", Route: "bookings", Method: "POST"}))[0]
	e.Step(0, Delivered{Attempt: answering.Attempt, Head: true})
	e.Step(0, loadReport(2, 0, 399_950))
	must.Len(t, 0, effectsOf[Send](e.Step(0, completionWithPrompt(5, 4000)))) // waits for memory

	e.Step(0, Stop{Timeout: stopTimeout})
	must.MapEmpty(t, finishCodes(advanceTo(e, stopTimeout/2)))
	effs := advanceTo(e, stopTimeout-time.Millisecond)
	must.Eq(t, map[RequestID]result.Code{
		1: result.StopAfterSend, 2: result.StopRunning, 3: result.StopAfterSend, 4: result.StopRunning, 5: result.Stopping,
	}, finishCodes(effs))
	must.SliceContainsAll(t, effectsOf[Cancel](effs), []Cancel{{sent.Attempt}, {streaming.Attempt}, {booking.Attempt}, {answering.Attempt}})
	for _, f := range effectsOf[Finish](effs) {
		must.Eq(t, f.Code == result.Stopping, f.RetryAfter >= time.Second)
	}
	must.Len(t, 1, effectsOf[StopExpired](effs))
	must.Len(t, 1, effectsOf[Stopped](effs))
	must.Len(t, 0, effectsOf[Send](e.Step(stopTimeout, loadReport(3, 0, 0))))
	must.Eq(t, map[RequestID]result.Code{6: result.Stopping}, finishCodes(e.Step(stopTimeout, completion(6))))
}

// Failure: a copy of a running request that is held back is sent when the end of the
// stop ends the run, and then counts as one that may have run.
func TestHeldCopyOfARunningRequestIsRefusedByAStop(t *testing.T) {
	e := newTestEntry()
	first := completion(1)
	first.Fingerprint, first.Caller = 7, "a"
	sent := effectsOf[Send](e.Step(0, first))[0]
	copied := first
	copied.Request, copied.Caller = 2, "b"
	e.targets.Get(sent.Target).Isolated = true // the copy can't be sent there
	must.Len(t, 0, effectsOf[Send](e.Step(0, copied)))
	must.Len(t, 1, e.suspects.held)
	effs := append(e.Step(time.Second, EndStop{}), e.Step(time.Second, Tick{})...)
	must.Len(t, 0, effectsOf[Send](effs))
	must.Eq(t, map[RequestID]result.Code{1: result.StopAfterSend, 2: result.Stopping}, finishCodes(effs))
}

// Failure: a resend that joined a run gets no answer when the stop ends the run.
func TestResendThatJoinedARunEndsWithItAtTheEndOfAStop(t *testing.T) {
	e := newTestEntry()
	first := completion(1)
	first.Fingerprint = 7
	e.Step(0, first)
	resend := first
	resend.Request = 2
	must.Len(t, 1, effectsOf[Join](e.Step(0, resend)))
	must.Eq(t, map[RequestID]result.Code{1: result.StopAfterSend, 2: result.StopAfterSend}, finishCodes(e.Step(0, EndStop{})))
}

// Failure: a stop whose timeout is shorter than its lag cuts what it still takes.
func TestTimeoutOfAStopMayBeShorterThanItsLag(t *testing.T) {
	e := newTestEntry()
	e.opts.StopLag = 2 * stopTimeout
	e.Step(0, Stop{Timeout: stopTimeout})
	must.Len(t, 1, effectsOf[Send](e.Step(time.Second, completion(1))))
	effs := advanceTo(e, stopTimeout-time.Millisecond)
	must.Eq(t, map[RequestID]result.Code{1: result.StopAfterSend}, finishCodes(effs))
	must.Len(t, 1, effectsOf[Stopped](effs))
	must.Eq(t, map[RequestID]result.Code{2: result.Stopping}, finishCodes(e.Step(stopTimeout, completion(2))))
}

// Failure: a second signal moves the end of the stop.
func TestSecondStopChangesNothing(t *testing.T) {
	e := newTestEntry()
	e.Step(0, completion(1))
	e.Step(0, Stop{Timeout: stopTimeout})
	e.Step(time.Second, Stop{Timeout: time.Hour})
	e.Step(time.Second, Stop{})
	must.Eq(t, map[RequestID]result.Code{1: result.StopAfterSend}, finishCodes(advanceTo(e, stopTimeout)))
	must.Len(t, 0, effectsOf[StopExpired](e.Step(stopTimeout, EndStop{})))
}

// Failure: a stop that needs less than its timeout ends requests that are still open.
func TestStopWithinItsTimeoutEndsNoRequest(t *testing.T) {
	e := newTestEntry()
	sent := effectsOf[Send](e.Step(0, completion(1)))[0]
	e.Step(0, Stop{Timeout: stopTimeout})
	effs := e.Step(time.Second, AttemptEnd{Attempt: sent.Attempt, Outcome: OutcomeComplete})
	must.Eq(t, map[RequestID]result.Code{1: result.Complete}, finishCodes(effs))
	must.Len(t, 1, effectsOf[Stopped](effs))
	must.Len(t, 0, effectsOf[StopExpired](advanceTo(e, stopTimeout)))
}

// Failure: a booking that runs at the end of a stop leaves its claim without an outcome,
// or one that waits for its claim is refused and runs all the same.
func TestBookingsKeepTheirPromiseAtTheEndOfAStop(t *testing.T) {
	sim := newBookingSim(t, 2, 1, false)
	sim.serviceTime = 2 * stopTimeout
	running := sim.submitBooking(0, "cut-1")
	sim.advance(100 * time.Millisecond)
	sim.storeOutage = true
	unclaimed := sim.submitBooking(0, "cut-2")
	sim.stepEntry(0, Stop{Timeout: stopTimeout})
	sim.stepEntry(0, EndStop{})
	must.Eq(t, result.StopAfterSend, sim.resultOf(running))
	must.Eq(t, result.Stopping, sim.resultOf(unclaimed))
	sim.storeOutage = false
	sim.advance(stopTimeout)
	must.True(t, sim.nodes[0].entry.stopped)
	resend, other := sim.submitBooking(1, "cut-1"), sim.submitBooking(1, "cut-2")
	sim.awaitResult(resend, configuration.DefaultServiceLimit)
	sim.awaitResult(other, configuration.DefaultServiceLimit+time.Second)
	must.Eq(t, result.NotRepeated, sim.resultOf(resend))
	must.Eq(t, 1, sim.runCounts["cut-1"])
	must.Eq(t, 1, sim.runCounts["cut-2"])
}

// answersTo returns the answers to a command.
func answersTo(effs []Effect, id uint64) []CommandResult {
	var answers []CommandResult
	for _, r := range effectsOf[CommandResult](effs) {
		if r.ID == id {
			answers = append(answers, r)
		}
	}
	return answers
}

// Failure: an instance that stops ends while it carries out an operator's confirmation,
// whose verdict nobody learns.
func TestStopWaitsForOperatorsCommands(t *testing.T) {
	c := newSettledCluster(t, 4, "a")
	plan := c.runOperation(t, "entry-000", limitEdit(100)).Plan
	answer := c.startOperation("entry-000", OperatorCommand{Confirm: plan.ID})
	c.stepEntry("entry-000", Stop{})
	must.Nil(t, answer())
	must.False(t, c.entries["entry-000"].stopped)
	c.advance(10 * time.Second)
	must.Eq(t, configuration.VerdictAccepted, answer().Confirmation.Verdict)
	must.True(t, c.entries["entry-000"].stopped)
}

// Failure: a command that comes when a stop is done, and before the process ends, gets no
// answer if the store gives none.
func TestOperatorsCommandAfterAStopIsDoneEndsWithItsTime(t *testing.T) {
	c := newSettledCluster(t, 4, "a")
	c.stepEntry("entry-000", Stop{Timeout: stopTimeout})
	c.advance(time.Second)
	must.True(t, c.entries["entry-000"].stopped)
	c.storeLatency = time.Minute
	answer := c.startOperation("entry-000", limitEdit(200))
	c.advance(stopTimeout - lastAnswersTime)
	must.Eq(t, CommandFailureUnavailable, answer().Failure)
}

// Failure: operators get no answer to a command that the end of a stop cuts, or a
// confirmation that may have been written is reported as not carried out.
func TestOperatorsCommandsEndBeforeTheTimeOfAStop(t *testing.T) {
	c := newSettledCluster(t, 4, "a")
	plan := c.runOperation(t, "entry-000", limitEdit(100)).Plan
	c.storeLatency = time.Minute
	confirmed := c.startOperation("entry-000", OperatorCommand{Confirm: plan.ID})
	planned := c.startOperation("entry-000", limitEdit(200))
	c.stepEntry("entry-000", Stop{Timeout: stopTimeout})
	c.advance(stopTimeout - time.Second)
	must.Eq(t, configuration.VerdictUnknown, confirmed().Confirmation.Verdict)
	must.Eq(t, CommandFailureUnavailable, planned().Failure)
	late := c.startOperation("entry-000", OperatorCommand{Confirm: plan.ID})
	must.Eq(t, CommandFailureUnavailable, late().Failure) // it was not begun
	c.advance(5 * time.Minute)
	for id := uint64(1); id <= c.lastOperation; id++ {
		must.Len(t, 1, answersTo(c.effectsByEntry["entry-000"], id), must.Sprint(id))
	}
}

// Failure: a request that is predicted to outlast the stop is sent and cut all the same,
// though another instance would serve it.
func TestRequestThatDoesNotFitTheRestOfAStopIsRefusedOnArrival(t *testing.T) {
	e := newSingleEngineEntry(0, 0)
	e.opts.StopLag = time.Minute
	now := trainPredictions(e, 0)
	e.Step(now, Stop{Timeout: stopTimeout})
	end := now + stopTimeout - lastAnswersTime
	must.Len(t, 1, effectsOf[Send](e.Step(now, completionWithPrompt(1, 4000))))
	effs := e.Step(end-300*time.Millisecond, completionWithPrompt(2, 4000)) // takes 600 ms
	must.Len(t, 0, effectsOf[Send](effs))
	must.Eq(t, map[RequestID]result.Code{2: result.Stopping}, finishCodes(effs))
}

// Failure: a request in the queue is refused only when the time of the stop is over,
// though it was known before that it could not end in it.
func TestQueuedRequestIsRefusedOnceItDoesNotFitTheRestOfAStop(t *testing.T) {
	e := newSingleEngineEntry(0, 0)
	now := trainPredictions(e, 0)
	e.Step(now, loadReport(2, 0, 400_000))
	must.Len(t, 0, effectsOf[Send](e.Step(now, completionWithPrompt(1, 4000)))) // takes 600 ms
	e.Step(now, Stop{Timeout: stopTimeout})
	end := now + stopTimeout - lastAnswersTime
	must.MapEmpty(t, finishCodes(advanceTo(e, end-time.Second)))
	must.Eq(t, map[RequestID]result.Code{1: result.Stopping}, finishCodes(advanceTo(e, end-500*time.Millisecond)))
}

// Failure: a prompt for several engines is begun though it can't end before the stop does.
func TestPromptForSeveralEnginesThatDoesNotFitTheRestOfAStopIsRefused(t *testing.T) {
	e := newTestEntry()
	e.opts.StopLag = time.Minute
	for _, name := range []string{"e0", "e1"} {
		e.Step(0, LoadReported{Target: name, Report: target.Report{Sequence: 1, KVCapacityTokens: 400_000}})
	}
	now := time.Duration(0)
	for id := range RequestID(40) { // 150,000 tokens take a second
		sent := effectsOf[Send](e.Step(now, completionWithPrompt(1000+id, 150_000)))[0]
		now += time.Second
		e.Step(now, Delivered{Attempt: sent.Attempt, Tokens: 1})
		e.Step(now, AttemptEnd{Attempt: sent.Attempt, Outcome: OutcomeComplete})
	}
	e.Step(now, Stop{Timeout: stopTimeout})
	effs := e.Step(now, completionWithPrompt(1, 600_000))
	must.Len(t, 0, effectsOf[GroupCall](effs))
	must.Eq(t, map[RequestID]result.Code{1: result.Stopping}, finishCodes(effs))
}
