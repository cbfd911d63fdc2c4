package workspace

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var limit = Limit{TokensPerSecond: 10_000, BurstTokens: 20_000}

// fleet simulates instances that publish to each other once per interval.
type fleet struct {
	instances []*Limiter
	now       time.Duration
	admitted  float64
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for range n {
		l := New()
		l.SetInstanceCount(n)
		f.instances = append(f.instances, l)
	}
	return f
}

// runInterval simulates one interval. Each instance gets its demand in requests of cost
// tokens; delivered reports whether a publication arrives at a peer.
func (f *fleet) runInterval(demand []float64, cost float64, delivered func(from, to int) bool) {
	for from, l := range f.instances {
		published := l.PublishDemand(f.now)
		for to, peer := range f.instances {
			if to != from && delivered(from, to) {
				peer.RecordPeerDemand(f.now, fmt.Sprint(from), published)
			}
		}
	}
	const steps = 20
	pendingCost := make([]float64, len(demand))
	for range steps {
		f.now += PublishInterval / steps
		for i, l := range f.instances {
			for pendingCost[i] += demand[i] / steps; pendingCost[i] >= cost; pendingCost[i] -= cost {
				if _, ok := l.Take(f.now, "w", limit, cost); ok {
					f.admitted += cost
				}
			}
		}
	}
}

func deliverAll(int, int) bool { return true }

func deliverNone(int, int) bool { return false }

func TestSharesFollowDemand(t *testing.T) {
	cases := []struct {
		name   string
		demand []float64
		reach  func(from, to int) bool
		least  float64 // minimum fraction of the limit admitted in the second minute
	}{
		{"even", []float64{9000, 9000, 9000, 9000}, deliverAll, 0.95},
		{"all demand at one instance", []float64{20_000, 0, 0, 0}, deliverAll, 0.8},
		{"all instances isolated", []float64{9000, 9000, 9000, 9000}, deliverNone, 0.95},
		{"network split in halves", []float64{9000, 9000, 9000, 9000}, func(a, b int) bool { return a/2 == b/2 }, 0.95},
	}
	for _, c := range cases {
		f := newFleet(4)
		for range 60 {
			f.runInterval(c.demand, 200, c.reach)
		}
		before := f.admitted
		for range 60 {
			f.runInterval(c.demand, 200, c.reach)
		}
		rate := (f.admitted - before) / 60
		must.Between(t, c.least*limit.TokensPerSecond, rate, (1+Tolerance)*limit.TokensPerSecond, must.Sprint(c.name))
	}
}

// For changing demand and occasionally lost publications, all instances together admit
// at most the limit plus its tolerance, one burst, and one request above the bucket's
// size per instance.
func TestInstancesTogetherStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(rt, "instances")
		cost := float64(rapid.SampledFrom([]int{100, 1000, 5000}).Draw(rt, "cost"))
		f := newFleet(n)
		demand := make([]float64, n)
		lost := make([]int, n)
		seconds := rapid.IntRange(20, 60).Draw(rt, "seconds")
		for range seconds {
			if rapid.IntRange(0, 4).Draw(rt, "move") == 0 {
				i := rapid.IntRange(0, n-1).Draw(rt, "who")
				demand[i] = float64(rapid.IntRange(0, 40_000).Draw(rt, "demand"))
			}
			for i := range lost { // at most one consecutive publication
				lost[i] = max(0, lost[i]-1)
				if lost[i] == 0 && rapid.IntRange(0, 5).Draw(rt, "lose") == 0 {
					lost[i] = 2
				}
			}
			f.runInterval(demand, cost, func(from, _ int) bool { return lost[from] != 2 })
		}
		bound := (1+Tolerance)*limit.TokensPerSecond*f.now.Seconds() + (1+Tolerance)*limit.BurstTokens + float64(n)*cost
		must.LessEq(rt, bound, f.admitted)
	})
}

func TestCostBeyondBucketIsAdmittedAndRepaid(t *testing.T) {
	l := New()
	_, ok := l.Take(0, "w", limit, 100_000)
	must.True(t, ok)
	wait, ok := l.Take(0, "w", limit, 1000)
	must.False(t, ok)
	must.Eq(t, 8100*time.Millisecond, wait)
	_, ok = l.Take(wait, "w", limit, 1000)
	must.True(t, ok)
}

func TestPublicationsAreBoundedAndOrdered(t *testing.T) {
	l := New()
	for i := range MaxDemands + 50 {
		l.Take(0, fmt.Sprintf("w%03d", i), limit, float64(1000+i))
	}
	got := l.PublishDemand(0)
	must.Len(t, MaxDemands, got)
	must.Eq(t, "w305", got[0].Workspace)
	for now := time.Second; now < 5*time.Minute; now += time.Second {
		l.PublishDemand(now)
	}
	must.MapEmpty(t, l.buckets)
}
