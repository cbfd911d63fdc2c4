package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

// recoverStep steps as the rim does, with Recover after a panic. It reports whether there was one.
func (h *harness) recoverStep(ev Event) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			for _, eff := range h.core.Recover(ev, cause) {
				if finish, ok := eff.(Finish); ok {
					h.finishes[finish.Request] = finish
				}
			}
		}
	}()
	h.step(ev)
	return false
}

// breakDecisions lets each decision about a short prompt panic while another one is running.
func (h *harness) breakDecisions() {
	h.step(TargetListed{Target{ID: "broken", Service: "pool", Address: "10.0.0.9:1", FailureDomain: "a", Slots: -33, StartedMS: 1}})
}

// A panic in the decision about one request ended the process with all others.
func TestPanicOfADecisionEndsItsRequestAlone(t *testing.T) {
	h := newHarness(t, 2)
	running := h.submit(routeShort, 500)
	h.breakDecisions()
	must.True(t, h.recoverStep(RequestArrived{
		Request: 77, ID: "77", Route: h.config.Routes[routeShort], Config: h.config, Deadline: h.now + time.Second, PromptTokens: 500, MaxAnswerTokens: 100,
	}))
	must.Eq(t, result.InternalUnstarted, h.finishes[77].Code)
	must.MapLen(t, 1, h.core.requests)
	h.step(Progress{Attempt: h.lastSend(running).Attempt, EventID: "1"})
	must.False(t, h.recoverStep(AttemptEnd{Attempt: h.lastSend(running).Attempt, Outcome: OutcomeComplete, Status: 200}))
	must.Eq(t, result.Complete, h.finishes[running].Code)
}

// What is said of a request whose decision panics is true of its last attempt.
func TestPanicAtTheEndOfAnAttemptIsAnsweredTruly(t *testing.T) {
	for outcome, want := range map[AttemptOutcome]result.Code{
		OutcomeComplete: result.Complete, OutcomeBroken: result.TargetDied, OutcomeNotConnected: result.InternalUnstarted,
	} {
		h := newHarness(t, 2)
		id := h.submit(routeShort, 500)
		end := AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: outcome}
		h.core.deciding = h.core.requests[id]
		h.core.effects = nil
		var finish Finish
		for _, eff := range h.core.Recover(end, "test") {
			if f, ok := eff.(Finish); ok {
				finish = f
			}
		}
		must.Eq(t, want, finish.Code, must.Sprint(outcome))
		must.Eq(t, outcome == OutcomeComplete, finish.ForwardAnswer)
	}
}
