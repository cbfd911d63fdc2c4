package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/prefix"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/target"
)

// newFleet returns a table of n engines that each serve all models.
func newFleet(n, models int) *target.Table {
	pool := configuration.Pool{Name: "p", Kind: configuration.PoolEngine}
	for i := range models {
		pool.Models = append(pool.Models, fmt.Sprintf("m%d", i))
	}
	for i := range n {
		pool.Targets = append(pool.Targets, configuration.Target{Name: fmt.Sprintf("e%04d", i)})
	}
	t := target.NewTable()
	t.ApplyIntent(&configuration.Intent{Pools: []configuration.Pool{pool}}, target.CandidateSelector{Max: len(pool.Targets)})
	return t
}

func report(queued, used int) target.Report {
	return target.Report{KVCapacityTokens: 400_000, KVUsedTokens: used, QueuedPrefillTokens: queued}
}

func need(tokens int) *Requirements {
	return &Requirements{Class: request.ClassOf(tokens), PromptTokens: tokens, MaxTokens: 100}
}

func TestPredictivePicksShortestTimeToFirstToken(t *testing.T) {
	tab := newFleet(4, 1)
	fleet := tab.ServingModel("m0")
	for i, tg := range fleet {
		tab.SetReport(0, tg, report(4000-i*1000, 0))
	}
	p := NewPredictive(Options{Table: tab})
	c := p.Pick(need(1000), fleet, rand.New(rand.NewPCG(1, 1)))
	must.Eq(t, fleet[3], c.Target)
	must.Eq(t, 200*time.Millisecond, c.TimeToFirstToken)
	must.False(t, c.TargetFull)
}

func TestPoliciesSkipIneligibleTargets(t *testing.T) {
	smallMemory := report(0, 0)
	smallMemory.KVCapacityTokens = 500
	leaving := report(0, 0)
	leaving.Leaving = true
	cases := []struct {
		name   string
		modify func(*target.Target, *Requirements)
		report target.Report
	}{
		{"draining", func(tg *target.Target, _ *Requirements) { tg.Draining = true }, report(0, 0)},
		{"leaving", func(*target.Target, *Requirements) {}, leaving},
		{"tried", func(tg *target.Target, n *Requirements) { n.Tried = append(n.Tried, tg.Name) }, report(0, 0)},
		{"memory too small", func(*target.Target, *Requirements) {}, smallMemory},
	}
	for _, policy := range []configuration.RoutingPolicy{configuration.PolicyMedlardeck, configuration.PolicyRoundRobin, configuration.PolicyLeastOutstanding} {
		for _, c := range cases {
			tab := newFleet(2, 1)
			fleet := tab.ServingModel("m0")
			n := need(1000)
			tab.SetReport(0, fleet[0], c.report)
			c.modify(fleet[0], n)
			p := New(policy, Options{Table: tab})
			for seed := range uint64(8) {
				got := p.Pick(n, fleet, rand.New(rand.NewPCG(seed, 0)))
				must.Eq(t, fleet[1], got.Target, must.Sprint(policy, c.name))
			}
			must.Nil(t, p.Pick(n, fleet[:1], rand.New(rand.NewPCG(1, 1))).Target)
			must.Nil(t, p.Pick(n, nil, rand.New(rand.NewPCG(1, 1))).Target)
		}
	}
}

func TestFullDependsOnMemoryAndBacklog(t *testing.T) {
	cases := []struct {
		name   string
		report target.Report
		tokens int
		full   bool
	}{
		{"empty", report(0, 0), 1000, false},
		{"no report yet", target.Report{}, 300_000, false},
		{"memory in use", report(0, 399_500), 1000, true},
		{"backlog", report(6000, 10_000), 1000, true},
		{"long class would use the memory reserve", report(0, 100_000), 250_000, true},
		{"long class leaves the memory reserve", report(0, 100_000), 200_000, false},
		{"largest prompt fits an empty target", report(0, 0), 399_000, false},
	}
	for _, c := range cases {
		tab := newFleet(1, 1)
		fleet := tab.ServingModel("m0")
		tab.SetReport(0, fleet[0], c.report)
		got := NewPredictive(Options{Table: tab}).Pick(need(c.tokens), fleet, rand.New(rand.NewPCG(1, 1)))
		must.Eq(t, c.full, got.TargetFull, must.Sprint(c.name))
	}
}

func TestPrefixHolderIsPreferred(t *testing.T) {
	tab := newFleet(900, 1)
	fleet := tab.ServingModel("m0")
	x := target.NewPrefixIndex()
	x.Add(fleet[700], []uint64{1, 2, 3, 4})
	p := NewPredictive(Options{Table: tab, Prefixes: x})
	n := need(3000)
	n.Prefix = []uint64{1, 2, 3, 4, 5}
	c := p.Pick(n, fleet, rand.New(rand.NewPCG(1, 1)))
	must.Eq(t, fleet[700], c.Target)
	must.Eq(t, 3000-4*prefix.BlockTokens, c.PrefillTokens)
}

func TestLongClassesAreLimitedToTheirShareOfTargets(t *testing.T) {
	for _, c := range []struct {
		measure    configuration.Measure
		long, rest int
		open       int
	}{
		{configuration.MeasureFirstToken, 0, 1000, 4},
		{configuration.MeasureFirstToken, 500, 500, 10},
		{configuration.MeasureFirstToken, 1000, 0, 15},
		{configuration.MeasureShortSlowdown, 1000, 0, 12},
	} {
		s := newLongShare(c.measure)
		s.recordArrival(&Requirements{Class: request.ClassLong, PromptTokens: c.long})
		s.recordArrival(&Requirements{Class: request.ClassShort, PromptTokens: c.rest})
		must.Eq(t, c.open, s.openTargetCount(15), must.Sprint(c))
	}
	tab := newFleet(15, 1)
	fleet := tab.ServingModel("m0")
	p := NewPredictive(Options{Table: tab})
	p.RecordArrival(need(4000))
	used := map[*target.Target]bool{}
	for seed := range uint64(200) {
		used[p.Pick(need(200_000), fleet, rand.New(rand.NewPCG(seed, 1))).Target] = true
	}
	must.Eq(t, 4, len(used))
}

// Guards against herding: entry instances with the same stale reports must not
// all send their work to the target that looks best in them.
func TestEqualStaleReportsDoNotCauseHerding(t *testing.T) {
	const instances, engines = 60, 30
	hits := make(map[string]int)
	for i := range instances {
		tab := newFleet(engines, 1)
		fleet := tab.ServingModel("m0")
		for j, tg := range fleet {
			tab.SetReport(0, tg, report(j*10, 0))
		}
		p := NewPredictive(Options{Table: tab})
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		for range 2 {
			c := p.Pick(need(2000), fleet, rng)
			tab.RecordSent(0, c.Target, target.AttemptLoad{Attempt: request.AttemptID(tab.PrefillTokensAhead(0, c.Target, 0)), PrefillTokens: 2000})
			hits[c.Target.Name]++
		}
	}
	worst := 0
	for _, n := range hits {
		worst = max(worst, n)
	}
	// Each target gets 4 attempts on average; if every instance picked the least
	// loaded target, it would get 60 or more.
	must.LessEq(t, 24, worst)
}

func TestSamplerReturnsEachCandidateOnce(t *testing.T) {
	for n := range 40 {
		fleet := newFleet(n, 1).ServingModel("m0")
		for seed := range uint64(5) {
			s := newSampler(fleet, rand.New(rand.NewPCG(seed, 3)))
			seen := map[string]bool{}
			for tg := s.next(); tg != nil; tg = s.next() {
				seen[tg.Name] = true
			}
			must.Eq(t, n, len(seen))
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range []configuration.RoutingPolicy{configuration.PolicyMedlardeck, configuration.PolicyRoundRobin, configuration.PolicyLeastOutstanding} {
		for _, n := range []int{15, 900, 6300} {
			b.Run(fmt.Sprintf("%s/targets=%d", policy, n), func(b *testing.B) {
				tab := newFleet(n, 10)
				rng := rand.New(rand.NewPCG(1, 1))
				tab.ForEach(func(tg *target.Target) { tab.SetReport(0, tg, report(rng.IntN(100_000), rng.IntN(400_000))) })
				p := New(policy, Options{Table: tab, Prefixes: target.NewPrefixIndex()})
				nd := need(2000)
				nd.Prefix = []uint64{1, 2, 3}
				lists := make([][]*target.Target, 10)
				for i := range lists {
					lists[i] = tab.ServingModel(fmt.Sprintf("m%d", i))
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					p.Pick(nd, lists[i%10], rng)
					i++
				}
			})
		}
	}
}

// BenchmarkHerding reports the prefill tokens queued ahead of each request when
// entry instances route by the same stale reports, for several sample sizes.
func BenchmarkHerding(b *testing.B) {
	for _, size := range []struct{ instances, engines, requests int }{{4, 15, 8}, {100, 300, 3}} {
		for _, sample := range []int{1, 2, 4, 8, 300} {
			b.Run(fmt.Sprintf("instances=%d/engines=%d/sample=%d", size.instances, size.engines, sample), func(b *testing.B) {
				var ahead []float64
				for seed := uint64(0); b.Loop(); seed++ {
					ahead = append(ahead, tokensAheadWithStaleReports(seed, size.instances, size.engines, size.requests, sample)...)
				}
				slices.Sort(ahead)
				sum := 0.0
				for _, w := range ahead {
					sum += w
				}
				b.ReportMetric(sum/float64(len(ahead)), "mean-tokens-ahead")
				b.ReportMetric(ahead[len(ahead)*95/100], "p95-tokens-ahead")
			})
		}
	}
}

// tokensAheadWithStaleReports routes requests of several instances in turn, all
// with the same stale reports, and returns the prefill tokens actually queued at
// the chosen target ahead of each request.
func tokensAheadWithStaleReports(seed uint64, instances, engines, requests, sample int) (ahead []float64) {
	queuedTokens := make(map[string]float64)
	base := rand.New(rand.NewPCG(seed, 1))
	queued := make([]int, engines)
	for i := range queued {
		queued[i] = base.IntN(8000)
	}
	tables := make([]*target.Table, instances)
	policies := make([]*Predictive, instances)
	rngs := make([]*rand.Rand, instances)
	for i := range instances {
		tables[i] = newFleet(engines, 1)
		for j, tg := range tables[i].ServingModel("m0") {
			tables[i].SetReport(0, tg, report(queued[j], 0))
			queuedTokens[tg.Name] = float64(queued[j])
		}
		policies[i] = NewPredictive(Options{Table: tables[i]})
		policies[i].sampleSize = sample
		rngs[i] = rand.New(rand.NewPCG(seed, uint64(100+i)))
	}
	for r := range requests {
		for i, p := range policies {
			c := p.Pick(need(2000), tables[i].ServingModel("m0"), rngs[i])
			ahead = append(ahead, queuedTokens[c.Target.Name])
			queuedTokens[c.Target.Name] += 2000
			tables[i].RecordSent(0, c.Target, target.AttemptLoad{Attempt: request.AttemptID(r + 1), PrefillTokens: 2000})
		}
	}
	return ahead
}
