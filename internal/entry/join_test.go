package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/target"
)

func resendable(id RequestID) Arrive {
	ev := completion(id)
	ev.Caller, ev.Origin, ev.Fingerprint = "key", "device", 7
	return ev
}

func TestRunPassesToTheRequestThatJoinedIt(t *testing.T) {
	e := newTestEntry()
	for _, name := range []string{"e0", "e1"} {
		e.Step(0, Reported{Target: name, Report: target.Report{Incarnation: 1}})
	}
	first := effectsOf[Send](e.Step(0, resendable(1)))[0]
	joined := e.Step(time.Second, resendable(2))
	must.Eq(t, []Join{{Request: 2, Leader: 1}}, effectsOf[Join](joined))
	must.Len(t, 0, effectsOf[Send](joined))
	e.Step(time.Second, Delivered{Attempt: first.Attempt, Tokens: 4, Bytes: 40})

	left := e.Step(2*time.Second, CallerLeft{Request: 1})
	must.Len(t, 0, effectsOf[Cancel](left))
	must.Eq(t, []Finish{{Request: 1, Code: result.CallerGone}}, effectsOf[Finish](left))

	// The run resumes for the second request, behind what the first got.
	e.Step(3*time.Second, AttemptEnd{Attempt: first.Attempt, End: EndBroke})
	alive := Reported{Target: first.Target, Report: target.Report{Incarnation: 1, Sequence: 1}}
	e.Step(3*time.Second, alive)
	again := effectsOf[Send](e.Step(3*time.Second, alive))
	must.Len(t, 1, again)
	must.Eq(t, 2, again[0].Request)
	must.Eq(t, 4, again[0].ResumeAt)
	ends := effectsOf[Finish](e.Step(4*time.Second, AttemptEnd{Attempt: again[0].Attempt, End: EndComplete}))
	must.Eq(t, []Finish{{Request: 2, Code: result.Complete}}, ends)
	must.MapEmpty(t, e.joinableRuns)
	must.MapEmpty(t, e.attempts)
}

func TestDeadlineOfTheFirstLeavesTheRunToTheSecond(t *testing.T) {
	e := newTestEntry()
	arrive := func(at time.Duration, id RequestID) []Effect {
		ev := resendable(id)
		ev.Limit = 5 * time.Second
		return e.Step(at, ev)
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

func TestNoResendJoinsBeyondTheKeptAnswer(t *testing.T) {
	e := newTestEntry()
	first := effectsOf[Send](e.Step(0, resendable(1)))[0]
	e.Step(time.Second, Delivered{Attempt: first.Attempt, Tokens: 1, Bytes: MaxReplayBytes + 1})
	second := e.Step(time.Second, resendable(2))
	must.Len(t, 0, effectsOf[Join](second))
	must.Len(t, 1, effectsOf[Send](second))
}

func TestServiceAnswerThatStartedIsNotRetried(t *testing.T) {
	e := newTestEntry()
	get := Arrive{Request: 1, Workspace: "museum", Route: "bookings", Method: "GET"}
	first := effectsOf[Send](e.Step(0, get))[0]
	must.False(t, first.Once)
	e.Step(0, Delivered{Attempt: first.Attempt, Head: true})
	broken := e.Step(0, AttemptEnd{Attempt: first.Attempt, End: EndBroke})
	must.Len(t, 0, effectsOf[Send](broken))
	must.Eq(t, []Finish{{Request: 1, Code: result.TargetDied}}, effectsOf[Finish](broken))
}

// lifeModel drives an entry with random events and keeps what every request
// was promised.
type lifeModel struct {
	e       *Entry
	now     time.Duration
	next    RequestID
	open    map[RequestID]bool
	running []Send
	mayRun  map[RequestID]int // attempts that ran or may still run
}

func (m *lifeModel) step(rt *rapid.T, ev Event) {
	for _, eff := range m.e.Step(m.now, ev) {
		switch eff := eff.(type) {
		case Send:
			if !m.open[eff.Request] {
				rt.Fatalf("send for request %d, which is not open", eff.Request)
			}
			if m.mayRun[eff.Request] > 0 && eff.Once {
				rt.Fatalf("second run of request %d", eff.Request)
			}
			m.running = append(m.running, eff)
			m.mayRun[eff.Request]++
		case Finish:
			if !m.open[eff.Request] {
				rt.Fatalf("request %d ended twice", eff.Request)
			}
			delete(m.open, eff.Request)
			if eff.Code.Family() == result.FamilyRefused && m.mayRun[eff.Request] > 0 {
				rt.Fatalf("request %d refused as %s, but it may run", eff.Request, eff.Code)
			}
		}
	}
}

func (m *lifeModel) arrive(rt *rapid.T) {
	m.next++
	m.open[m.next] = true
	ev := resendable(m.next)
	ev.Fingerprint = rapid.Uint64Range(1, 3).Draw(rt, "fingerprint")
	if rapid.IntRange(0, 3).Draw(rt, "kind") == 0 {
		ev = Arrive{Request: m.next, Workspace: "museum", Route: "bookings", Method: "POST"}
	}
	m.step(rt, ev)
}

// end ends one running attempt in some way.
func (m *lifeModel) end(rt *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(rt, "attempt")
	send := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	end := rapid.SampledFrom([]End{EndComplete, EndNotConnected, EndNotRun, EndBroke, EndError}).Draw(rt, "end")
	if end == EndNotConnected || end == EndNotRun {
		m.mayRun[send.Request]--
	}
	m.step(rt, AttemptEnd{Attempt: send.Attempt, End: end})
}

func (m *lifeModel) deliver(rt *rapid.T) {
	if len(m.running) > 0 {
		send := m.running[rapid.IntRange(0, len(m.running)-1).Draw(rt, "attempt")]
		m.step(rt, Delivered{Attempt: send.Attempt, Tokens: 1, Bytes: 100})
	}
}

func TestEveryRequestEndsOnceAndTruthfully(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &lifeModel{e: newTestEntry(), open: map[RequestID]bool{}, mayRun: map[RequestID]int{}}
		rt.Repeat(map[string]func(*rapid.T){
			"arrive":  m.arrive,
			"end":     m.end,
			"deliver": m.deliver,
			"leave": func(rt *rapid.T) {
				if m.next > 0 {
					m.step(rt, CallerLeft{Request: RequestID(rapid.Uint64Range(1, uint64(m.next)).Draw(rt, "request"))})
				}
			},
			"wait": func(rt *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "ms")) * time.Millisecond
				m.step(rt, Tick{})
			},
		})
		m.now += time.Hour
		m.step(rt, Tick{})
		if len(m.open) > 0 || len(m.e.requests) > 0 || len(m.e.attempts) > 0 || len(m.e.joinableRuns) > 0 {
			rt.Fatalf("left: %d open, %d requests, %d attempts, %d runs",
				len(m.open), len(m.e.requests), len(m.e.attempts), len(m.e.joinableRuns))
		}
	})
}
