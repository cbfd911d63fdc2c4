package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Random arrivals, tokens, ends of attempts, load reports and departures of
// callers must leave each request with exactly one outcome by its deadline and no
// attempt after it. A refused request must have no attempt that may have run, and
// at the end no queue, request or outstanding count may be left over.
func TestEveryAdmittedRequestEndsOnceInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newAdmissionMachine()
		rt.Repeat(m.actions())
		m.endAll(rt)
	})
}

// As above, for an instance that stops: each request must end before the end of the
// stop's time.
func TestEveryRequestEndsOnceInTheTimeOfAStop(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newAdmissionMachine()
		m.entry.opts.StopLag = time.Duration(rapid.IntRange(0, 5).Draw(rt, "lag")) * time.Second
		actions := m.actions()
		actions["stop"] = func(rt *rapid.T) {
			m.stop(rt, time.Duration(rapid.IntRange(1, 10_000).Draw(rt, "timeout"))*time.Millisecond)
		}
		rt.Repeat(actions)
		m.endAll(rt)
	})
}

// admissionMachine is the state of the property-based test: an entry and what its
// effects have promised so far.
type admissionMachine struct {
	entry          *Entry
	now            time.Duration
	lastRequest    RequestID
	reportSequence uint64
	stopEnd        time.Duration               // when a stop ends, zero for none
	openDeadlines  map[RequestID]time.Duration // deadlines of the requests without an outcome
	possibleRuns   map[RequestID]int           // attempts that may have run, by request
	liveAttempts   map[request.AttemptID]RequestID
}

func newAdmissionMachine() *admissionMachine {
	return &admissionMachine{
		entry: newTestEntry(), openDeadlines: map[RequestID]time.Duration{},
		possibleRuns: map[RequestID]int{}, liveAttempts: map[request.AttemptID]RequestID{},
	}
}

func (m *admissionMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": func(rt *rapid.T) {
			m.lastRequest++
			a := completionWithPrompt(m.lastRequest, rapid.SampledFrom([]int{500, 3000, 20_000, 90_000, 300_000}).Draw(rt, "tokens"))
			a.Limit = time.Duration(rapid.IntRange(1, 20).Draw(rt, "limit")) * time.Second
			a.Fingerprint = uint64(m.lastRequest)
			m.openDeadlines[m.lastRequest] = m.capDeadline(m.now + a.Limit)
			m.stepAndCheck(rt, a)
		},
		"token": func(rt *rapid.T) {
			if id, ok := m.drawAttempt(rt); ok {
				m.stepAndCheck(rt, Delivered{Attempt: id, Tokens: 1})
			}
		},
		"end": func(rt *rapid.T) {
			if id, ok := m.drawAttempt(rt); ok {
				end := rapid.SampledFrom([]AttemptOutcome{OutcomeComplete, OutcomeComplete, OutcomeNotRun, OutcomeNotConnected, OutcomeBroke, OutcomeError}).Draw(rt, "end")
				r := m.liveAttempts[id]
				delete(m.liveAttempts, id)
				if end == OutcomeNotRun || end == OutcomeNotConnected {
					m.possibleRuns[r]--
				}
				m.stepAndCheck(rt, AttemptEnd{Attempt: id, Outcome: end, PromptTokens: 100})
			}
		},
		"leave": func(rt *rapid.T) {
			if m.lastRequest > 0 {
				m.stepAndCheck(rt, CallerLeft{Request: RequestID(rapid.Uint64Range(1, uint64(m.lastRequest)).Draw(rt, "who"))})
			}
		},
		"report": func(rt *rapid.T) {
			m.reportSequence++
			m.stepAndCheck(rt, LoadReported{Target: rapid.SampledFrom([]string{"e0", "e1"}).Draw(rt, "target"), Report: target.Report{
				Sequence: m.reportSequence, KVCapacityTokens: 400_000,
				KVUsedTokens:        rapid.SampledFrom([]int{0, 200_000, 400_000}).Draw(rt, "used"),
				QueuedPrefillTokens: rapid.IntRange(0, 50_000).Draw(rt, "queued"),
			}})
		},
		"time": func(rt *rapid.T) {
			m.advance(rt, time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms"))*time.Millisecond)
		},
		"": func(rt *rapid.T) {
			for id, deadline := range m.openDeadlines {
				must.LessEq(rt, deadline, m.now, must.Sprint(id))
			}
		},
	}
}

// endAll lets the time of all requests pass and checks that nothing is left over.
func (m *admissionMachine) endAll(rt *rapid.T) {
	m.advance(rt, 21*time.Second)
	must.MapEmpty(rt, m.openDeadlines)
	must.MapEmpty(rt, m.entry.requests)
	must.Eq(rt, 0, m.entry.queues.Len())
	m.entry.targets.ForEach(func(tg *target.Target) { must.Eq(rt, 0, tg.Outstanding) })
}

// stop begins a stop, unless one has begun, and shortens the deadlines of all requests.
func (m *admissionMachine) stop(rt *rapid.T, timeout time.Duration) {
	if m.stopEnd == 0 {
		m.stopEnd = m.now + timeout
	}
	for id, deadline := range m.openDeadlines {
		m.openDeadlines[id] = m.capDeadline(deadline)
	}
	m.stepAndCheck(rt, Stop{Timeout: timeout})
}

// capDeadline returns the deadline, or the end of the stop if that is earlier.
func (m *admissionMachine) capDeadline(deadline time.Duration) time.Duration {
	if m.stopEnd == 0 {
		return deadline
	}
	return min(deadline, max(m.now, m.stopEnd))
}

// drawAttempt picks an attempt that has not ended. It draws a number up to the
// highest id and takes the first live attempt from there on.
func (m *admissionMachine) drawAttempt(rt *rapid.T) (request.AttemptID, bool) {
	last := request.AttemptID(0)
	for id := range m.liveAttempts {
		last = max(last, id)
	}
	if last == 0 {
		return 0, false
	}
	want := request.AttemptID(rapid.Uint64Range(1, uint64(last)).Draw(rt, "attempt"))
	for ; want <= last; want++ {
		if _, ok := m.liveAttempts[want]; ok {
			return want, true
		}
	}
	return 0, false
}

// advance moves the clock forward by d and runs each timer at its time.
func (m *admissionMachine) advance(rt *rapid.T, d time.Duration) {
	end := m.now + d
	for {
		at, ok := m.entry.NextTimer()
		if !ok || at > end {
			break
		}
		m.now = max(m.now, at)
		m.stepAndCheck(rt, Tick{})
	}
	m.now = end
	m.stepAndCheck(rt, Tick{})
}

// stepAndCheck passes an event to the entry and checks its effects.
func (m *admissionMachine) stepAndCheck(rt *rapid.T, ev Event) {
	for _, eff := range m.entry.Step(m.now, ev) {
		switch eff := eff.(type) {
		case Send:
			must.MapContainsKey(rt, m.openDeadlines, eff.Request)
			m.possibleRuns[eff.Request]++
			m.liveAttempts[eff.Attempt] = eff.Request
		case Cancel:
			delete(m.liveAttempts, eff.Attempt)
		case Finish:
			must.MapContainsKey(rt, m.openDeadlines, eff.Request)
			delete(m.openDeadlines, eff.Request)
			if eff.Code.Family() == result.FamilyRefused {
				must.Eq(rt, 0, m.possibleRuns[eff.Request], must.Sprint(eff.Code))
			}
		}
	}
}
