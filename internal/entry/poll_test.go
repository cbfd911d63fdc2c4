package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Engine e0 answers every poll and is polled each 500 ms. Engine e1 does not
// answer: it must get no second poll before the first has ended.
func TestEnginesArePolledInTurnWithOnePollInFlightEach(t *testing.T) {
	e := New(Options{Name: "entry-0", Seed: 1})
	polls := map[string]int{}
	count := func(effs []Effect) {
		for _, p := range effectsOf[Poll](effs) {
			polls[p.Target]++
		}
	}
	count(e.Step(0, AdoptConfiguration{Accepted: acceptedTestIntent(1)}))
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		count(e.Step(now, Tick{}))
		e.Step(now, LoadReported{Target: "e0"})
	}
	must.Eq(t, map[string]int{"e0": 20, "e1": 1}, polls)
	e.Step(10*time.Second, PollFailed{Target: "e1"})
	count(e.Step(11*time.Second, Tick{}))
	must.Eq(t, 2, polls["e1"])
}

// An engine whose polls fail, but whose tokens still arrive, must not be treated
// as dead: its attempts must not be cancelled.
func TestStreamingTargetStaysInUseWithoutReports(t *testing.T) {
	e := newTestEntry()
	send := effectsOf[Send](e.Step(0, completion(1)))[0]
	for now := time.Second; now < 20*time.Second; now += time.Second {
		effs := append([]Effect(nil), e.Step(now, PollFailed{Target: send.Target})...)
		effs = append(effs, e.Step(now, Delivered{Attempt: send.Attempt, Tokens: 1, Bytes: 10})...)
		must.Len(t, 0, effectsOf[Cancel](effs), must.Sprint(now))
	}
	must.Eq(t, send.Attempt, e.requests[1].lifecycle.Current())
}
