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

// oneEngine returns an entry with one engine that reports so many tokens queued
// and in use, of 400,000.
func oneEngine(queued, used int) *Entry {
	in := testIntent()
	in.Pools[0].Targets = in.Pools[0].Targets[:1]
	in.Workspaces = append(in.Workspaces, configuration.Workspace{Name: "school", TokensPerSecond: 1000, BurstTokens: 5000})
	e := New(Options{Name: "entry-0", Seed: 1})
	e.Step(0, Adopt{Accepted: configuration.Accepted{Revision: 1, Intent: in}})
	e.Step(0, reportOf(1, queued, used))
	return e
}

func reportOf(seq uint64, queued, used int) Reported {
	r := target.Report{Sequence: seq, KVCapacityTokens: 400_000, KVUsedTokens: used, QueuedPrefillTokens: queued}
	if queued > 0 {
		r.QueuedByPriority = []target.PriorityTokens{{Priority: 4, Tokens: queued}}
	}
	return Reported{Target: "e0", Report: r}
}

func prompt(id RequestID, tokens int) Arrive {
	a := completion(id)
	a.PromptBytes = 4 * tokens
	return a
}

func TestAFullTargetQueuesAndRoomReleases(t *testing.T) {
	e := oneEngine(0, 399_950)
	must.Len(t, 0, effectsOf[Send](e.Step(0, prompt(1, 2000))))
	must.Len(t, 0, effectsOf[Send](e.Step(time.Second, Tick{})))
	must.Len(t, 1, effectsOf[Send](e.Step(2*time.Second, reportOf(2, 0, 0))))
}

func TestShortPassesAQueuedLongPrompt(t *testing.T) {
	e := oneEngine(0, 200_000)
	must.Len(t, 0, effectsOf[Send](e.Step(0, prompt(1, 300_000))))
	must.Len(t, 1, effectsOf[Send](e.Step(0, prompt(2, 2000))))
	must.Len(t, 1, effectsOf[Send](e.Step(time.Second, reportOf(2, 0, 0))), must.Sprint("the long one follows"))
}

// teach lets the entry learn prefill at 10,000 tokens/s and 20 ms a token.
func teach(e *Entry, now time.Duration) time.Duration {
	for i := range 30 {
		id := RequestID(1000 + i)
		sent := effectsOf[Send](e.Step(now, prompt(id, 4000)))
		now += 420 * time.Millisecond
		e.Step(now, Delivered{Attempt: sent[0].Attempt, Tokens: 1})
		now += 180 * time.Millisecond
		e.Step(now, Delivered{Attempt: sent[0].Attempt, Tokens: 9})
		e.Step(now, AttemptEnd{Attempt: sent[0].Attempt, End: EndComplete})
	}
	return now
}

func TestWhatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	e := oneEngine(0, 0)
	now := teach(e, 0)
	tight := prompt(1, 4000)
	tight.Limit = 300 * time.Millisecond
	fin := effectsOf[Finish](e.Step(now, tight))
	must.Len(t, 1, fin)
	must.Eq(t, result.DeadlineUnmet, fin[0].Code)
	must.GreaterEq(t, time.Second, fin[0].RetryAfter)
	enough := prompt(2, 4000)
	enough.Limit = time.Second
	must.Len(t, 1, effectsOf[Send](e.Step(now, enough)))
}

func TestQueuedRequestTimesOutAsNotRun(t *testing.T) {
	e := oneEngine(0, 400_000)
	e.Step(0, prompt(1, 2000))
	var fin []Finish
	for now := time.Duration(0); now <= configuration.DefaultShortLimit; now += 100 * time.Millisecond {
		fin = append(fin, effectsOf[Finish](e.Step(now, Tick{}))...)
	}
	must.Len(t, 1, fin)
	must.Eq(t, result.QueueTimeout, fin[0].Code)
	must.Eq(t, 0, e.queues.Len())
}

func TestACallerThatLeavesTheQueueDidNotRun(t *testing.T) {
	e := oneEngine(0, 400_000)
	e.Step(0, prompt(1, 2000))
	fin := effectsOf[Finish](e.Step(time.Second, CallerLeft{Request: 1}))
	must.Eq(t, result.CallerGoneUnsent, fin[0].Code)
	must.Len(t, 0, effectsOf[Send](e.Step(2*time.Second, reportOf(2, 0, 0))))
}

func TestWorkspaceLimitRefuses(t *testing.T) {
	e := oneEngine(0, 0)
	var codes []result.Code
	for i := range 5 {
		a := prompt(RequestID(i+1), 2000)
		a.Workspace = "school"
		for _, f := range effectsOf[Finish](e.Step(0, a)) {
			codes = append(codes, f.Code)
		}
	}
	must.Eq(t, []result.Code{result.WorkspaceLimit, result.WorkspaceLimit, result.WorkspaceLimit}, codes)
}

func TestRetryBudgetBoundsAnOutage(t *testing.T) {
	e := newTestEntry()
	sends := 0
	var id RequestID
	for range 2000 {
		id++
		queue := effectsOf[Send](e.Step(0, completion(id)))
		for len(queue) > 0 {
			sends++
			queue = effectsOf[Send](e.Step(0, AttemptEnd{Attempt: queue[0].Attempt, End: EndNotRun}))
		}
	}
	must.LessEq(t, 2000+2000/5+51, sends)
}

func TestUsageReachesOtherFailureDomains(t *testing.T) {
	c := newCluster(4, "a", "b", "c")
	c.run(10 * time.Second)
	e := c.entries["entry-000"]
	in := testIntent()
	in.Workspaces[0].TokensPerSecond = 1000
	c.step("entry-000", Adopt{Accepted: configuration.Accepted{Revision: 1, Intent: in}})
	for range 8 {
		for i := range 10 {
			c.step("entry-000", prompt(RequestID(c.now)+RequestID(i), 500))
		}
		c.run(time.Second)
	}
	must.Greater(t, 0.6, e.workspaceLimits.Share(c.now, "museum"))
	for i := 1; i < 4; i++ {
		other := c.entries[fmt.Sprintf("entry-%03d", i)]
		must.Less(t, 0.2, other.workspaceLimits.Share(c.now, "museum"))
	}
}
