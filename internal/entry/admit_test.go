package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/target"
)

// newSingleEngineEntry returns an entry with one engine, which reports the given
// numbers of prefill tokens queued and of KV cache tokens in use, out of 400,000.
func newSingleEngineEntry(queued, used int) *Entry {
	intent := testIntent()
	intent.Pools[0].Targets = intent.Pools[0].Targets[:1]
	intent.Workspaces = append(intent.Workspaces, configuration.Workspace{Name: "school", TokensPerSecond: 1000, BurstTokens: 5000})
	e := New(Options{Name: "entry-0", Seed: 1})
	e.Step(0, AdoptConfiguration{Accepted: configuration.Accepted{Revision: 1, Intent: intent}})
	e.Step(0, loadReport(1, queued, used))
	return e
}

// loadReport returns a load report of engine e0 with a capacity of 400,000 KV
// cache tokens.
func loadReport(seq uint64, queued, used int) LoadReported {
	r := target.Report{Sequence: seq, KVCapacityTokens: 400_000, KVUsedTokens: used, QueuedPrefillTokens: queued}
	if queued > 0 {
		r.QueuedByPriority = []target.PriorityTokens{{Priority: 4, Tokens: queued}}
	}
	return LoadReported{Target: "e0", Report: r}
}

// completionWithPrompt returns the arrival of a completion whose prompt counts as
// this many tokens: sizes are converted at 4 bytes a token until an engine has
// counted.
func completionWithPrompt(id RequestID, tokens int) RequestArrived {
	a := completion(id)
	a.PromptBytes = 4 * tokens
	return a
}

func TestRequestWaitsForCapacityOfAFullTarget(t *testing.T) {
	e := newSingleEngineEntry(0, 399_950)
	must.Len(t, 0, effectsOf[Send](e.Step(0, completionWithPrompt(1, 2000))))
	must.Len(t, 0, effectsOf[Send](e.Step(time.Second, Tick{})))
	must.Len(t, 1, effectsOf[Send](e.Step(2*time.Second, loadReport(2, 0, 0))))
}

func TestShortPromptOvertakesQueuedLongPrompt(t *testing.T) {
	e := newSingleEngineEntry(0, 200_000)
	must.Len(t, 0, effectsOf[Send](e.Step(0, completionWithPrompt(1, 300_000))))
	must.Len(t, 1, effectsOf[Send](e.Step(0, completionWithPrompt(2, 2000))))
	must.Len(t, 1, effectsOf[Send](e.Step(time.Second, loadReport(2, 0, 0))), must.Sprint("the long prompt is sent once there is capacity"))
}

// trainPredictions runs completions from which the entry learns a prefill rate of
// 10,000 tokens/s and 20 ms a token. It returns the time of the last end.
func trainPredictions(e *Entry, now time.Duration) time.Duration {
	for i := range 30 {
		id := RequestID(1000 + i)
		sent := effectsOf[Send](e.Step(now, completionWithPrompt(id, 4000)))
		now += 420 * time.Millisecond
		e.Step(now, Delivered{Attempt: sent[0].Attempt, Tokens: 1})
		now += 180 * time.Millisecond
		e.Step(now, Delivered{Attempt: sent[0].Attempt, Tokens: 9})
		e.Step(now, AttemptEnd{Attempt: sent[0].Attempt, Outcome: OutcomeComplete})
	}
	return now
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedOnArrival(t *testing.T) {
	e := newSingleEngineEntry(0, 0)
	now := trainPredictions(e, 0)
	tight := completionWithPrompt(1, 4000)
	tight.Limit = 300 * time.Millisecond
	fin := effectsOf[Finish](e.Step(now, tight))
	must.Len(t, 1, fin)
	must.Eq(t, result.DeadlineUnmet, fin[0].Code)
	must.GreaterEq(t, time.Second, fin[0].RetryAfter)
	enough := completionWithPrompt(2, 4000)
	enough.Limit = time.Second
	must.Len(t, 1, effectsOf[Send](e.Step(now, enough)))
}

func TestQueuedRequestTimesOutAsNotRun(t *testing.T) {
	e := newSingleEngineEntry(0, 400_000)
	e.Step(0, completionWithPrompt(1, 2000))
	var fin []Finish
	for now := time.Duration(0); now <= configuration.DefaultShortLimit; now += 100 * time.Millisecond {
		fin = append(fin, effectsOf[Finish](e.Step(now, Tick{}))...)
	}
	must.Len(t, 1, fin)
	must.Eq(t, result.QueueTimeout, fin[0].Code)
	must.Eq(t, 0, e.queues.Len())
}

func TestCallerLeavingTheQueueEndsAsNotRun(t *testing.T) {
	e := newSingleEngineEntry(0, 400_000)
	e.Step(0, completionWithPrompt(1, 2000))
	fin := effectsOf[Finish](e.Step(time.Second, CallerLeft{Request: 1}))
	must.Eq(t, result.CallerGoneUnsent, fin[0].Code)
	must.Len(t, 0, effectsOf[Send](e.Step(2*time.Second, loadReport(2, 0, 0))))
}

func TestWorkspaceLimitRefusesRequestsBeyondTheBurst(t *testing.T) {
	e := newSingleEngineEntry(0, 0)
	var codes []result.Code
	for i := range 5 {
		a := completionWithPrompt(RequestID(i+1), 2000)
		a.Workspace = "school"
		for _, f := range effectsOf[Finish](e.Step(0, a)) {
			codes = append(codes, f.Code)
		}
	}
	must.Eq(t, []result.Code{result.WorkspaceLimit, result.WorkspaceLimit, result.WorkspaceLimit}, codes)
}

// The retry budget starts with 50 retries and gains one for every five arrivals,
// so an outage of all targets must not multiply the attempts.
func TestRetryBudgetBoundsAttemptsWhenEveryTargetRefuses(t *testing.T) {
	e := newTestEntry()
	sends := 0
	var id RequestID
	for range 2000 {
		id++
		sent := effectsOf[Send](e.Step(0, completion(id)))
		for len(sent) > 0 {
			sends++
			sent = effectsOf[Send](e.Step(0, AttemptEnd{Attempt: sent[0].Attempt, Outcome: OutcomeNotRun}))
		}
	}
	must.LessEq(t, 2000+2000/5+51, sends)
}

func TestWorkspaceUsageReachesOtherFailureDomains(t *testing.T) {
	c := newCluster(4, "a", "b", "c")
	c.advance(10 * time.Second)
	e := c.entries["entry-000"]
	intent := testIntent()
	intent.Workspaces[0].TokensPerSecond = 1000
	c.stepEntry("entry-000", AdoptConfiguration{Accepted: configuration.Accepted{Revision: 1, Intent: intent}})
	for range 8 {
		for i := range 10 {
			c.stepEntry("entry-000", completionWithPrompt(RequestID(c.now)+RequestID(i), 500))
		}
		c.advance(time.Second)
	}
	must.Greater(t, 0.6, e.workspaceLimits.Share(c.now, "museum"))
	for i := 1; i < 4; i++ {
		other := c.entries[fmt.Sprintf("entry-%03d", i)]
		must.Less(t, 0.2, other.workspaceLimits.Share(c.now, "museum"))
	}
}
