package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/target"
)

func drain(q *Queue) (out []Item) {
	for {
		head, ok := q.Head()
		if !ok {
			return out
		}
		q.Pop()
		out = append(out, head)
	}
}

func TestFairQueueingByCostAndWeight(t *testing.T) {
	q := NewQueue(Limits{Items: 1000, Cost: 1e9})
	for i := range 100 {
		q.Push(Item{ID: uint64(i), Workspace: "large", Weight: 3, Cost: 1000})
	}
	for i := range 100 {
		q.Push(Item{ID: uint64(1000 + i), Workspace: "small", Cost: 1000})
	}
	counts := map[string]int{}
	for _, it := range drain(q)[:80] {
		counts[it.Workspace]++
	}
	must.Eq(t, 60, counts["large"])
	must.Eq(t, 20, counts["small"])
}

func TestNewWorkspaceDoesNotWaitBehindABacklog(t *testing.T) {
	q := NewQueue(Limits{Items: 1000, Cost: 1e9})
	for i := range 500 {
		q.Push(Item{ID: uint64(i), Workspace: "large", Cost: 2000})
	}
	for range 100 {
		q.Pop()
	}
	must.Eq(t, 2000, q.CostAhead("small", 1))
	q.Push(Item{ID: 999, Workspace: "small", Cost: 2000})
	out := drain(q)
	must.True(t, out[0].Workspace == "small" || out[1].Workspace == "small")
}

func TestOverloadShedsFromWorkspaceWithMostExcess(t *testing.T) {
	q := NewQueue(Limits{Items: 10, Cost: 1e9})
	for i := range 9 {
		must.Len(t, 0, q.Push(Item{ID: uint64(i), Workspace: "large", Cost: 100}))
	}
	must.Len(t, 0, q.Push(Item{ID: 20, Workspace: "small", Cost: 100}))
	refused := q.Push(Item{ID: 21, Workspace: "small", Cost: 100})
	must.Len(t, 1, refused)
	must.Eq(t, 8, refused[0].Item.ID, must.Sprint("the latest request of the workspace with the most excess"))
	must.Eq(t, result.Shed, refused[0].Code)
	refused = q.Push(Item{ID: 22, Workspace: "large", Cost: 100})
	must.Eq(t, result.QueueFull, refused[0].Code)
	must.Eq(t, 22, refused[0].Item.ID)
}

// For any sequence of calls, every item leaves the queue exactly once, the limits hold
// after each push, and the head has the lowest virtual start time: no backlogged
// workspace falls behind its share by more than the largest costs.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := Limits{Items: rapid.IntRange(1, 20).Draw(rt, "items"), Cost: 5000}
		q := NewQueue(limits)
		waiting := map[uint64]Item{}
		next := uint64(0)
		removeWaiting := func(id uint64) {
			_, ok := waiting[id]
			must.True(rt, ok)
			delete(waiting, id)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				next++
				it := Item{
					ID: next, Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "ws"),
					Weight: float64(rapid.IntRange(0, 3).Draw(rt, "weight")), Cost: float64(rapid.IntRange(1, 3000).Draw(rt, "cost")),
				}
				waiting[it.ID] = it
				for _, r := range q.Push(it) {
					removeWaiting(r.Item.ID)
				}
				must.LessEq(rt, limits.Items, q.Len())
				must.True(rt, q.Cost() <= limits.Cost || q.Len() == 1)
			},
			"pop": func(*rapid.T) {
				if head, ok := q.Head(); ok {
					q.Pop()
					removeWaiting(head.ID)
				}
			},
			"remove": func(rt *rapid.T) {
				id := rapid.Uint64Range(0, next).Draw(rt, "id")
				if it, ok := waiting[id]; ok {
					must.True(rt, q.Remove(it.Workspace, id))
					removeWaiting(id)
				}
			},
			"": func(rt *rapid.T) {
				sum := 0.0
				for _, it := range waiting {
					sum += it.Cost
				}
				must.Eq(rt, len(waiting), q.Len())
				must.InDelta(rt, sum, q.Cost(), 1e-6)
				head, ok := q.Head()
				must.Eq(rt, len(waiting) > 0, ok)
				for _, f := range q.activeFlows {
					must.LessEq(rt, f.items[0].virtualStart, head.virtualStart)
				}
			},
		})
		must.Eq(rt, len(waiting), len(drain(q)))
	})
}

func TestOverdueClassIsTriedFirst(t *testing.T) {
	c := NewClassQueues(DefaultLimits())
	c.Queue(request.ClassHuge).Push(Item{ID: 1, Class: request.ClassHuge, Cost: 1, Deadline: 100 * time.Second})
	c.Queue(request.ClassShort).Push(Item{ID: 2, Cost: 1, Enqueued: 20 * time.Second, Deadline: 50 * time.Second})
	must.Eq(t, request.ClassShort, c.ServiceOrder(20 * time.Second)[0])
	must.Eq(t, request.ClassHuge, c.ServiceOrder(26 * time.Second)[0])
	c.SetPriorities(target.Priorities{1, 2, 3, 9})
	must.Eq(t, [...]request.Class{3, 2, 1, 0}, c.ServiceOrder(21*time.Second))
}

func TestPredictedWaitFollowsDrainRate(t *testing.T) {
	c := NewClassQueues(DefaultLimits())
	c.Queue(request.ClassLong).Push(Item{ID: 1, Workspace: "a", Cost: 50_000})
	_, ok := c.PredictWait(0, request.ClassLong, "a", 1)
	must.False(t, ok, must.Sprint("nothing was sent yet"))
	for i := range 100 {
		c.RecordSent(time.Duration(i)*time.Second, request.ClassLong, 10_000)
	}
	wait, ok := c.PredictWait(99*time.Second, request.ClassLong, "a", 1)
	must.True(t, ok)
	must.InDelta(t, 5, wait.Seconds(), 0.5)
}

func TestRetriesAreLimitedToAShareOfRequests(t *testing.T) {
	b := NewRetryBudget()
	taken := 0
	for range 10_000 {
		b.RecordRequest()
		for b.Take(0) {
			taken++
		}
	}
	must.LessEq(t, int(retryShare*10_000+maxRetryTokens)+1, taken)
	must.False(t, b.Take(0))
	must.True(t, b.Take(2*time.Second), must.Sprint("the minimum rate"))
}

func TestRetryAfterIsBoundedAndSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[time.Duration]bool{}
	for range 100 {
		d := RetryAfter(10*time.Second, rng)
		must.Between(t, 10*time.Second, d, 15*time.Second)
		seen[d] = true
	}
	must.Greater(t, 50, len(seen))
	must.LessEq(t, 3*time.Minute, RetryAfter(time.Hour, rng))
}

// BenchmarkHead measures Head on a queue whose head cannot be served, by the number of
// waiting workspaces. Every event makes this call.
func BenchmarkHead(b *testing.B) {
	for _, n := range []int{10, 1000, 4000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			q := NewQueue(Limits{Items: n, Cost: 1e12})
			for i := range n {
				q.Push(Item{ID: uint64(i), Workspace: fmt.Sprint(i), Cost: 1000})
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Head()
			}
		})
	}
}
