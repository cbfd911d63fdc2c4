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

// Whatever arrives, ends, reports or leaves in whatever order: each request has
// one outcome by its deadline, no attempt follows it, a refusal follows no
// attempt that may have run, and nothing is left in queues or accounts.
func TestEveryAdmittedRequestEndsOnceInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &admitMachine{e: newTestEntry(), open: map[RequestID]time.Duration{}, sent: map[RequestID]int{}, live: map[request.AttemptID]RequestID{}}
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				m.next++
				a := prompt(m.next, rapid.SampledFrom([]int{500, 3000, 20_000, 90_000, 300_000}).Draw(rt, "tokens"))
				a.Limit = time.Duration(rapid.IntRange(1, 20).Draw(rt, "limit")) * time.Second
				a.Fingerprint = uint64(m.next)
				m.open[m.next] = m.now + a.Limit
				m.step(rt, a)
			},
			"token": func(rt *rapid.T) {
				if id, ok := m.anyAttempt(rt); ok {
					m.step(rt, Delivered{Attempt: id, Tokens: 1})
				}
			},
			"end": func(rt *rapid.T) {
				if id, ok := m.anyAttempt(rt); ok {
					end := rapid.SampledFrom([]End{EndComplete, EndComplete, EndNotRun, EndNotConnected, EndBroke, EndError}).Draw(rt, "end")
					r := m.live[id]
					delete(m.live, id)
					if end == EndNotRun || end == EndNotConnected {
						m.sent[r]--
					}
					m.step(rt, AttemptEnd{Attempt: id, End: end, PromptTokens: 100})
				}
			},
			"leave": func(rt *rapid.T) {
				if m.next > 0 {
					m.step(rt, CallerLeft{Request: RequestID(rapid.Uint64Range(1, uint64(m.next)).Draw(rt, "who"))})
				}
			},
			"report": func(rt *rapid.T) {
				m.sequence++
				m.step(rt, Reported{Target: rapid.SampledFrom([]string{"e0", "e1"}).Draw(rt, "target"), Report: target.Report{
					Sequence: m.sequence, KVCapacityTokens: 400_000,
					KVUsedTokens:        rapid.SampledFrom([]int{0, 200_000, 400_000}).Draw(rt, "used"),
					QueuedPrefillTokens: rapid.IntRange(0, 50_000).Draw(rt, "queued"),
				}})
			},
			"time": func(rt *rapid.T) {
				m.advance(rt, time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms"))*time.Millisecond)
			},
			"": func(rt *rapid.T) {
				for id, deadline := range m.open {
					must.LessEq(rt, deadline, m.now, must.Sprint(id))
				}
			},
		})
		m.advance(rt, 21*time.Second)
		must.MapEmpty(rt, m.open)
		must.MapEmpty(rt, m.e.requests)
		must.Eq(rt, 0, m.e.queues.Len())
		m.e.targets.All(func(tg *target.Target) { must.Eq(rt, 0, tg.Outstanding) })
	})
}

type admitMachine struct {
	e        *Entry
	now      time.Duration
	next     RequestID
	sequence uint64
	open     map[RequestID]time.Duration // requests without an outcome, and their deadlines
	sent     map[RequestID]int           // attempts that may have run
	live     map[request.AttemptID]RequestID
}

func (m *admitMachine) anyAttempt(rt *rapid.T) (request.AttemptID, bool) {
	last := request.AttemptID(0)
	for id := range m.live {
		last = max(last, id)
	}
	if last == 0 {
		return 0, false
	}
	want := request.AttemptID(rapid.Uint64Range(1, uint64(last)).Draw(rt, "attempt"))
	for ; want <= last; want++ {
		if _, ok := m.live[want]; ok {
			return want, true
		}
	}
	return 0, false
}

// advance lets every timer run at its time.
func (m *admitMachine) advance(rt *rapid.T, d time.Duration) {
	end := m.now + d
	for {
		at, ok := m.e.Next()
		if !ok || at > end {
			break
		}
		m.now = max(m.now, at)
		m.step(rt, Tick{})
	}
	m.now = end
	m.step(rt, Tick{})
}

func (m *admitMachine) step(rt *rapid.T, ev Event) {
	for _, eff := range m.e.Step(m.now, ev) {
		switch eff := eff.(type) {
		case Send:
			must.MapContainsKey(rt, m.open, eff.Request)
			m.sent[eff.Request]++
			m.live[eff.Attempt] = eff.Request
		case Cancel:
			delete(m.live, eff.Attempt)
		case Finish:
			must.MapContainsKey(rt, m.open, eff.Request)
			delete(m.open, eff.Request)
			if eff.Code.Family() == result.FamilyRefused {
				must.Eq(rt, 0, m.sent[eff.Request], must.Sprint(eff.Code))
			}
		}
	}
}
