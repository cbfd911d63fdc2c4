package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestFirstTokenIsObservedOnceFromArrival(t *testing.T) {
	e := newTestEntry()
	first := effectsOf[Send](e.Step(time.Second, completion(1)))[0]
	effs := append([]Effect(nil), e.Step(2500*time.Millisecond, Delivered{Attempt: first.Attempt, Tokens: 1})...)
	effs = append(effs, e.Step(3*time.Second, Delivered{Attempt: first.Attempt, Tokens: 1})...)
	effs = append(effs, e.Step(4*time.Second, AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeComplete})...)
	must.Eq(t, []Observe{
		{Histogram: HistogramFirstToken, Class: "short", Value: 1500 * time.Millisecond},
		{Histogram: HistogramCompletion, Class: "short", Value: 3 * time.Second},
	}, effectsOf[Observe](effs))
}
