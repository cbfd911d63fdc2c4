package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
)

func newTable(n int) *Table {
	in := configuration.Intent{Pools: []configuration.Pool{{Name: "p", Kind: configuration.PoolEngine, Models: []string{"m"}}}}
	for i := range n {
		in.Pools[0].Targets = append(in.Pools[0].Targets, configuration.Target{Name: fmt.Sprintf("e%d", i)})
	}
	t := NewTable()
	t.ApplyIntent(&in, CandidateSelector{})
	return t
}

func TestReportIsAdjustedForOwnAttempts(t *testing.T) {
	tab := newTable(1)
	tg := tab.Get("e0")
	tab.RecordSent(0, tg, AttemptLoad{Attempt: 1, Class: request.ClassHuge, PrefillTokens: 200_000, MemoryTokens: 201_000})
	must.Eq(t, 0, tab.PrefillTokensAhead(0, tg, request.ClassShort), must.Sprint("lower priority runs later"))
	must.Eq(t, 200_000, tab.PrefillTokensAhead(0, tg, request.ClassHuge))
	tab.SetReport(time.Second, tg, Report{
		Age: 500 * time.Millisecond, QueuedPrefillTokens: 190_000, KVCapacityTokens: 400_000, KVUsedTokens: 200_000,
		QueuedByPriority: []PriorityTokens{{Priority: 1, Tokens: 190_000}},
	})
	must.Eq(t, 0, tab.PrefillTokensAhead(time.Second, tg, request.ClassShort))
	must.Eq(t, 185_000, tab.PrefillTokensAhead(time.Second, tg, request.ClassHuge), must.Sprint("half a second at the default rate"))
	tab.RecordSent(time.Second, tg, AttemptLoad{Attempt: 2, Class: request.ClassShort, PrefillTokens: 3000, MemoryTokens: 3100})
	must.Eq(t, 3000, tab.PrefillTokensAhead(time.Second, tg, request.ClassShort))
	free, ok := tg.FreeTokens()
	must.True(t, ok)
	must.Eq(t, 196_900, free)
	tab.SetReport(1200*time.Millisecond, tg, Report{Sequence: 1, Age: 500 * time.Millisecond, KVCapacityTokens: 400_000, KVUsedTokens: 200_000})
	must.Eq(t, 3000, tab.PrefillTokensAhead(1200*time.Millisecond, tg, request.ClassShort), must.Sprint("sent after the report was taken"))
	tab.SetReport(2*time.Second, tg, Report{Sequence: 0, QueuedPrefillTokens: 1 << 20})
	must.Eq(t, 3000, tab.PrefillTokensAhead(2*time.Second, tg, request.ClassShort), must.Sprint("older reports are dropped"))
}

func TestRatesAreLearntFromFirstTokens(t *testing.T) {
	tab := newTable(2)
	tg := tab.Get("e0")
	must.False(t, tab.HasLearntRate(tg, request.ClassShort))
	for i := range 50 {
		now := time.Duration(i) * time.Second
		id := request.AttemptID(i + 1)
		tab.RecordSent(now, tg, AttemptLoad{Attempt: id, Class: request.ClassShort, PrefillTokens: 4000})
		tab.RecordFirstToken(now+100*time.Millisecond, tg, id)
		tab.RecordEnd(now+300*time.Millisecond, tg, id, 11)
	}
	must.Eq(t, 20*time.Millisecond, tab.InterTokenLatency(tg))
	must.InDelta(t, 50_000, tab.PrefillRate(tg, request.ClassShort), 500)
	must.InDelta(t, 0.1, tab.PredictTimeToFirstToken(time.Hour, tg, request.ClassShort, 4000).Seconds(), 0.001)
	must.True(t, tab.HasLearntRate(tab.Get("e1"), request.ClassShort), must.Sprint("other targets start from the fleet's rate"))
}

func TestTokenEstimateFollowsEngineCounts(t *testing.T) {
	var e TokenEstimator
	must.Eq(t, 100, e.Estimate("m", 400))
	for range 50 {
		e.AddSample("m", 300, 100)
	}
	must.Eq(t, 400, e.Estimate("m", 1200))
	must.Eq(t, 300, e.Estimate("other", 1200))
}

// Guards against leaks in the load estimate: for any order of sends, first tokens,
// ends and reports, no load remains after all attempts ended and a report arrived.
func TestNoLoadRemainsAfterAllAttemptsEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab := newTable(1)
		tg := tab.Get("e0")
		var now time.Duration
		var live []request.AttemptID
		next := request.AttemptID(0)
		rt.Repeat(map[string]func(*rapid.T){
			"send": func(rt *rapid.T) {
				next++
				live = append(live, next)
				n := rapid.IntRange(1, 1<<20).Draw(rt, "tokens")
				tab.RecordSent(now, tg, AttemptLoad{Attempt: next, Class: request.ClassOf(n), PrefillTokens: n, MemoryTokens: n + 100})
			},
			"first": func(rt *rapid.T) {
				if len(live) > 0 {
					tab.RecordFirstToken(now, tg, rapid.SampledFrom(live).Draw(rt, "id"))
				}
			},
			"end": func(rt *rapid.T) {
				if len(live) > 0 {
					i := rapid.IntRange(0, len(live)-1).Draw(rt, "i")
					tab.RecordEnd(now, tg, live[i], rapid.IntRange(0, 9).Draw(rt, "answer"))
					live = append(live[:i], live[i+1:]...)
				}
			},
			"report": func(rt *rapid.T) {
				age := time.Duration(rapid.IntRange(0, 3).Draw(rt, "age")) * time.Second
				tab.SetReport(now, tg, Report{Sequence: tg.Report.Sequence + 1, Age: age, QueuedPrefillTokens: 500})
			},
			"": func(rt *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms")) * time.Millisecond
				must.Eq(rt, len(live), tg.Outstanding)
				must.GreaterEq(rt, 0, tg.LongPrefillTokens())
				must.GreaterEq(rt, 0, tab.PrefillTokensAhead(now, tg, request.ClassShort))
				must.GreaterEq(rt, tab.PrefillTokensAhead(now, tg, request.ClassShort), tab.PrefillTokensAhead(now, tg, request.ClassHuge))
			},
		})
		for _, id := range live {
			tab.RecordEnd(now, tg, id, 0)
		}
		tab.SetReport(now, tg, Report{Sequence: tg.Report.Sequence + 1})
		must.Eq(rt, 0, tab.PrefillTokensAhead(now, tg, request.ClassHuge))
		must.Eq(rt, 0, tg.LongPrefillTokens())
		must.Eq(rt, 0, tg.load.memoryDelta)
	})
}

func TestPrefixIndexFindsLongestMatchAndIsBounded(t *testing.T) {
	tab := newTable(2)
	a, b := tab.Get("e0"), tab.Get("e1")
	x := NewPrefixIndex()
	x.Add(a, []uint64{1, 2})
	x.Add(b, []uint64{1, 2, 3})
	tg, blocks := x.LongestMatch([]uint64{1, 2, 3, 4})
	must.Eq(t, b, tg)
	must.Eq(t, 3, blocks)
	x.Remove(b, []uint64{3})
	_, blocks = x.LongestMatch([]uint64{1, 2, 3, 4})
	must.Eq(t, 2, blocks)
	for h := range uint64(2 * maxPrefixEntries) {
		x.Add(a, []uint64{h + 100})
	}
	must.Eq(t, maxPrefixEntries, len(x.holders))
	tg, _ = x.LongestMatch([]uint64{1, 2, 3, 4})
	must.Nil(t, tg)
}
