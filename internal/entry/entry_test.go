package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/store"
	"github.com/medlardeck/medlardeck/internal/target"
)

// testIntent returns an intent with a pool of two engines that serve the model
// draft, and a pool with one target for the service calls of the route bookings.
func testIntent() configuration.Intent {
	return configuration.Intent{
		Version:    configuration.SchemaVersion,
		Models:     []configuration.Model{{Name: "draft", ContextTokens: 1 << 20}},
		Workspaces: []configuration.Workspace{{Name: "museum"}},
		Routes:     []configuration.Route{{Name: "bookings", Prefix: "/bookings", Pool: "booking"}},
		Pools: []configuration.Pool{
			{Name: "drafting", Kind: configuration.PoolEngine, Models: []string{"draft"}, Targets: []configuration.Target{
				{Name: "e0", Address: "a:0"}, {Name: "e1", Address: "a:1"},
			}},
			{Name: "booking", Kind: configuration.PoolService, Targets: []configuration.Target{{Name: "b0", Address: "b:0"}}},
		},
	}
}

func acceptedTestIntent(revision configuration.Revision) configuration.Accepted {
	return configuration.Accepted{Revision: revision, Intent: testIntent()}
}

// newTestEntry returns an entry without peers that has testIntent in force.
func newTestEntry() *Entry {
	e := New(Options{Name: "entry-0", Seed: 1})
	e.Step(0, AdoptConfiguration{Accepted: configuration.Accepted{Revision: 1, Intent: testIntent()}})
	return e
}

// effectsOf returns those of the effects that have type T.
func effectsOf[T Effect](effs []Effect) []T {
	var matching []T
	for _, eff := range effs {
		if t, ok := eff.(T); ok {
			matching = append(matching, t)
		}
	}
	return matching
}

// completion returns the arrival of a completion of about 100 prompt tokens and
// at most 10 answer tokens.
func completion(id RequestID) RequestArrived {
	return RequestArrived{Request: id, Workspace: "museum", Model: "draft", PromptBytes: 400, MaxTokens: 10}
}

func TestBrokenStreamResumesAfterLastDeliveredToken(t *testing.T) {
	e := newTestEntry()
	first := effectsOf[Send](e.Step(0, completion(1)))[0]
	e.Step(time.Second, Delivered{Attempt: first.Attempt, Tokens: 3})
	second := effectsOf[Send](e.Step(2*time.Second, AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeBroke}))
	must.Len(t, 1, second)
	must.Eq(t, 3, second[0].ResumeAt)
	must.NotEq(t, first.Target, second[0].Target)
	late := e.Step(3*time.Second, AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeComplete})
	must.Len(t, 0, effectsOf[Finish](late))
	must.Eq(t, []Count{{Counter: CounterDroppedAnswers, Reason: "late-end"}}, effectsOf[Count](late))
}

func TestDeadlineEndsEveryRequestOnce(t *testing.T) {
	e := newTestEntry()
	e.Step(0, completion(1))
	var ends []Finish
	now := time.Duration(0)
	for now <= configuration.DefaultShortLimit && len(ends) == 0 {
		next, ok := e.NextTimer()
		must.True(t, ok)
		now = next
		ends = effectsOf[Finish](e.Step(now, Tick{}))
	}
	must.Len(t, 1, ends)
	must.Eq(t, configuration.DefaultShortLimit, now)
	must.Eq(t, result.DeadlineRunning, ends[0].Code)
}

func TestDuplicateStoreReplyIsIgnored(t *testing.T) {
	e := newTestEntry()
	replies := 0
	e.callStore(store.Call{Op: store.OpGet, Key: "k"}, func(store.Reply) { replies++ })
	e.Step(0, StoreReply{ID: 1})
	e.Step(0, StoreReply{ID: 1})
	must.Eq(t, 1, replies)
}

func TestConsecutiveFailuresEjectTargetForItsBackoff(t *testing.T) {
	e := newTestEntry()
	tg := e.targets.Get("e0")
	for range target.ConsecutiveFailures {
		tg.RecordFailure(0)
	}
	e.checkHealth(tg)
	must.False(t, tg.Usable())
	must.Eq(t, "e1", effectsOf[Send](e.Step(0, completion(1)))[0].Target)
	e.Step(target.BaseEjectionTime, Tick{})
	must.True(t, tg.Usable())
	must.Eq(t, target.SlowStartMinShare, tg.LoadShare())
}

func TestDeadTargetStaysEjectedUntilItReports(t *testing.T) {
	e := newTestEntry()
	tg := e.targets.Get("e0")
	e.Step(0, PollFailed{Target: "e0", Refused: true})
	e.Step(time.Hour, Tick{})
	must.False(t, tg.Usable())
	e.Step(time.Hour, LoadReported{Target: "e0", Report: target.Report{Incarnation: 2}})
	must.True(t, tg.Usable())
}
