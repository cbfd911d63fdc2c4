package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/target"
)

// resendableCompletion returns the arrival of a completion that others with the
// same caller, origin and fingerprint may join.
func resendableCompletion(id RequestID) RequestArrived {
	ev := completion(id)
	ev.Caller, ev.Origin, ev.Fingerprint = "key", "device", 7
	return ev
}

// When the caller that started a run leaves, the run must go on for the resend
// that joined it, also through a retry after a broken connection.
func TestRunContinuesForJoinedRequestWhenLeaderLeaves(t *testing.T) {
	e := newTestEntry()
	for _, name := range []string{"e0", "e1"} {
		e.Step(0, LoadReported{Target: name, Report: target.Report{Incarnation: 1}})
	}
	first := effectsOf[Send](e.Step(0, resendableCompletion(1)))[0]
	joined := e.Step(time.Second, resendableCompletion(2))
	must.Eq(t, []Join{{Request: 2, Leader: 1}}, effectsOf[Join](joined))
	must.Len(t, 0, effectsOf[Send](joined))
	e.Step(time.Second, Delivered{Attempt: first.Attempt, Tokens: 4, Bytes: 40})

	left := e.Step(2*time.Second, CallerLeft{Request: 1})
	must.Len(t, 0, effectsOf[Cancel](left))
	must.Eq(t, []Finish{{Request: 1, Code: result.CallerGone}}, effectsOf[Finish](left))

	// The run resumes for the second request, after the tokens already delivered.
	e.Step(3*time.Second, AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeBroke})
	report := LoadReported{Target: first.Target, Report: target.Report{Incarnation: 1, Sequence: 1}}
	e.Step(3*time.Second, report)
	again := effectsOf[Send](e.Step(3*time.Second, report))
	must.Len(t, 1, again)
	must.Eq(t, 2, again[0].Request)
	must.Eq(t, 4, again[0].ResumeAt)
	ends := effectsOf[Finish](e.Step(4*time.Second, AttemptEnd{Attempt: again[0].Attempt, Outcome: OutcomeComplete}))
	must.Eq(t, []Finish{{Request: 2, Code: result.Complete}}, ends)
	must.MapEmpty(t, e.joinableRuns)
	must.MapEmpty(t, e.attempts)
}

func TestRunContinuesForJoinedRequestAfterLeaderDeadline(t *testing.T) {
	e := newTestEntry()
	arrive := func(now time.Duration, id RequestID) []Effect {
		ev := resendableCompletion(id)
		ev.Limit = 5 * time.Second
		return e.Step(now, ev)
	}
	first := effectsOf[Send](arrive(0, 1))[0]
	arrive(2*time.Second, 2)
	late := e.Step(5*time.Second, Tick{})
	must.Len(t, 0, effectsOf[Cancel](late))
	must.Eq(t, []Finish{{Request: 1, Code: result.DeadlineRunning}}, effectsOf[Finish](late))
	later := e.Step(7*time.Second, Tick{})
	must.Eq(t, []Cancel{{Attempt: first.Attempt}}, effectsOf[Cancel](later))
	must.Eq(t, []Finish{{Request: 2, Code: result.DeadlineRunning}}, effectsOf[Finish](later))
}

func TestResendDoesNotJoinBeyondTheReplayLimit(t *testing.T) {
	e := newTestEntry()
	first := effectsOf[Send](e.Step(0, resendableCompletion(1)))[0]
	e.Step(time.Second, Delivered{Attempt: first.Attempt, Tokens: 1, Bytes: MaxReplayBytes + 1})
	second := e.Step(time.Second, resendableCompletion(2))
	must.Len(t, 0, effectsOf[Join](second))
	must.Len(t, 1, effectsOf[Send](second))
}

func TestServiceCallIsNotRetriedOnceItsAnswerStarted(t *testing.T) {
	e := newTestEntry()
	get := RequestArrived{Request: 1, Workspace: "museum", Route: "bookings", Method: "GET"}
	first := effectsOf[Send](e.Step(0, get))[0]
	must.False(t, first.Once)
	e.Step(0, Delivered{Attempt: first.Attempt, Head: true})
	broken := e.Step(0, AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeBroke})
	must.Len(t, 0, effectsOf[Send](broken))
	must.Eq(t, []Finish{{Request: 1, Code: result.TargetDied}}, effectsOf[Finish](broken))
}

// requestMachine applies random events to an entry. It keeps track of the requests
// that have not ended and of the attempts that may have run for each.
type requestMachine struct {
	entry        *Entry
	now          time.Duration
	lastRequest  RequestID
	open         map[RequestID]bool
	liveAttempts []Send
	possibleRuns map[RequestID]int // attempts that ran or may still run
}

// stepAndCheck passes an event to the entry and checks its effects.
func (m *requestMachine) stepAndCheck(rt *rapid.T, ev Event) {
	for _, eff := range m.entry.Step(m.now, ev) {
		switch eff := eff.(type) {
		case Send:
			if !m.open[eff.Request] {
				rt.Fatalf("send for request %d, which is not open", eff.Request)
			}
			if m.possibleRuns[eff.Request] > 0 && eff.Once {
				rt.Fatalf("second run of request %d", eff.Request)
			}
			m.liveAttempts = append(m.liveAttempts, eff)
			m.possibleRuns[eff.Request]++
		case Finish:
			if !m.open[eff.Request] {
				rt.Fatalf("request %d ended twice", eff.Request)
			}
			delete(m.open, eff.Request)
			if eff.Code.Family() == result.FamilyRefused && m.possibleRuns[eff.Request] > 0 {
				rt.Fatalf("request %d refused as %s, but it may run", eff.Request, eff.Code)
			}
		}
	}
}

// submitRequest submits a completion that may join another one, or a service call
// that must not run twice.
func (m *requestMachine) submitRequest(rt *rapid.T) {
	m.lastRequest++
	m.open[m.lastRequest] = true
	ev := resendableCompletion(m.lastRequest)
	ev.Fingerprint = rapid.Uint64Range(1, 3).Draw(rt, "fingerprint")
	if rapid.IntRange(0, 3).Draw(rt, "kind") == 0 {
		ev = RequestArrived{Request: m.lastRequest, Workspace: "museum", Route: "bookings", Method: "POST"}
	}
	m.stepAndCheck(rt, ev)
}

// endAttempt ends one of the live attempts with a random end.
func (m *requestMachine) endAttempt(rt *rapid.T) {
	if len(m.liveAttempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.liveAttempts)-1).Draw(rt, "attempt")
	send := m.liveAttempts[i]
	m.liveAttempts = append(m.liveAttempts[:i], m.liveAttempts[i+1:]...)
	end := rapid.SampledFrom([]AttemptOutcome{OutcomeComplete, OutcomeNotConnected, OutcomeNotRun, OutcomeBroke, OutcomeError}).Draw(rt, "end")
	if end == OutcomeNotConnected || end == OutcomeNotRun {
		m.possibleRuns[send.Request]--
	}
	m.stepAndCheck(rt, AttemptEnd{Attempt: send.Attempt, Outcome: end})
}

func (m *requestMachine) deliverToken(rt *rapid.T) {
	if len(m.liveAttempts) > 0 {
		send := m.liveAttempts[rapid.IntRange(0, len(m.liveAttempts)-1).Draw(rt, "attempt")]
		m.stepAndCheck(rt, Delivered{Attempt: send.Attempt, Tokens: 1, Bytes: 100})
	}
}

// Whatever happens to attempts and callers: each request ends exactly once, one
// that may have run is never refused as not run, and a call that may run only
// once is not sent again.
func TestEveryRequestEndsOnceAndRefusedRequestsDidNotRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &requestMachine{entry: newTestEntry(), open: map[RequestID]bool{}, possibleRuns: map[RequestID]int{}}
		rt.Repeat(map[string]func(*rapid.T){
			"arrive":  m.submitRequest,
			"end":     m.endAttempt,
			"deliver": m.deliverToken,
			"leave": func(rt *rapid.T) {
				if m.lastRequest > 0 {
					m.stepAndCheck(rt, CallerLeft{Request: RequestID(rapid.Uint64Range(1, uint64(m.lastRequest)).Draw(rt, "request"))})
				}
			},
			"wait": func(rt *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "ms")) * time.Millisecond
				m.stepAndCheck(rt, Tick{})
			},
		})
		m.now += time.Hour
		m.stepAndCheck(rt, Tick{})
		if len(m.open) > 0 || len(m.entry.requests) > 0 || len(m.entry.attempts) > 0 || len(m.entry.joinableRuns) > 0 {
			rt.Fatalf("left: %d open, %d requests, %d attempts, %d runs",
				len(m.open), len(m.entry.requests), len(m.entry.attempts), len(m.entry.joinableRuns))
		}
	})
}
