package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestPollsGoRoundWithOneInFlightForEachEngine(t *testing.T) {
	e := New(Options{Name: "entry-0", Seed: 1})
	polls := map[string]int{}
	count := func(effs []Effect) {
		for _, p := range effectsOf[Poll](effs) {
			polls[p.Target]++
		}
	}
	count(e.Step(0, Adopt{Accepted: acceptedTest(1)}))
	for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
		count(e.Step(at, Tick{}))
		e.Step(at, Reported{Target: "e0"})
	}
	must.Eq(t, map[string]int{"e0": 20, "e1": 1}, polls)
	e.Step(10*time.Second, ReportFailed{Target: "e1"})
	count(e.Step(11*time.Second, Tick{}))
	must.Eq(t, 2, polls["e1"])
}

func TestTargetThatStreamsIsNotLostWithItsReports(t *testing.T) {
	e := newTestEntry()
	send := effectsOf[Send](e.Step(0, completion(1)))[0]
	for at := time.Second; at < 20*time.Second; at += time.Second {
		effs := append([]Effect(nil), e.Step(at, ReportFailed{Target: send.Target})...)
		effs = append(effs, e.Step(at, Delivered{Attempt: send.Attempt, Tokens: 1, Bytes: 10})...)
		must.Len(t, 0, effectsOf[Cancel](effs), must.Sprint(at))
	}
	must.Eq(t, send.Attempt, e.requests[1].lifecycle.Current())
}
