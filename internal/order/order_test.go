package order

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// init fixes the seed of the property-based tests; a flag on the command line
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func newModel(name, version string) Model { return Model{Name: name, Version: version} }

func TestNextOrders(t *testing.T) {
	draft1, draft2 := newModel("draft", "1"), newModel("draft", "2")
	for _, tc := range []struct {
		name    string
		targets []Target
		want    []Order
	}{
		{"nothing to do", []Target{{Name: "a", Known: true, Desired: []Model{draft1}, Actual: []Model{draft1}}}, nil},
		{"no order for a target that was not read", []Target{{Name: "a", Desired: []Model{draft1}}}, nil},
		{"load of a missing model", []Target{{Name: "a", Known: true, Desired: []Model{draft1}}}, []Order{{"a", []Model{draft1}, draft1}}},
		{"one target at a time changes its version", []Target{
			{Name: "a", Known: true, Serving: true, Desired: []Model{draft2}, Actual: []Model{draft1}},
			{Name: "b", Known: true, Serving: true, Desired: []Model{draft2}, Actual: []Model{draft1}},
		}, []Order{{"a", []Model{draft2}, draft2}}},
		{"the last serving target keeps its version", []Target{
			{Name: "a", Known: true, Serving: true, Desired: []Model{draft2}, Actual: []Model{draft1}},
			{Name: "b", Known: true, Serving: false, Desired: []Model{draft1}, Actual: []Model{draft1}},
		}, nil},
		{"a pending order makes both versions count as not serving", []Target{
			{Name: "a", Known: true, Serving: true, Desired: []Model{draft2}, Actual: []Model{draft1}, Pending: []Model{draft2}},
			{Name: "b", Known: true, Serving: true, Desired: []Model{draft2}, Actual: []Model{draft1}},
		}, nil},
		{"removal of a model that is not wanted", []Target{
			{Name: "a", Known: true, Serving: true, Actual: []Model{draft1}},
			{Name: "b", Known: true, Serving: true, Desired: []Model{draft1}, Actual: []Model{draft1}},
		}, []Order{{"a", []Model{}, Model{}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := Planner{BytesPerSecond: 1, WeightBytes: func(Model) int64 { return 10 }}
			must.Eq(t, tc.want, p.NextOrders(time.Minute, tc.targets))
		})
	}
}

// Guards against removing a model from its last serving target, exceeding the
// rate of loads, and not reaching the desired models. Orders complete or fail
// after random times.
func TestOrdersConvergeAndNeverRemoveLastServingTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []Model{newModel("draft", "1"), newModel("draft", "2"), newModel("review", "1"), newModel("review", "2")}
		modelSets := rapid.SliceOfNDistinct(rapid.SampledFrom(models), 0, 2, func(m Model) string { return m.Name })
		targets := make([]Target, rapid.IntRange(2, 5).Draw(t, "targets"))
		want := rapid.SliceOfNDistinct(rapid.SampledFrom(models), 1, 2, func(m Model) string { return m.Name }).Draw(t, "want")
		for i := range targets {
			targets[i] = Target{Name: string(rune('a' + i)), Known: true, Serving: true, Desired: want, Actual: modelSets.Draw(t, "have")}
		}
		loads := 0
		p := Planner{BytesPerSecond: 10, WeightBytes: func(Model) int64 { return 100 }}
		servingAtStart := countServing(targets)
		for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
			for _, order := range p.NextOrders(now, targets) {
				i := slices.IndexFunc(targets, func(t Target) bool { return t.Name == order.Target })
				targets[i].Pending = order.Models
				if order.Load != (Model{}) {
					loads++
				}
			}
			if limit := 1 + int(now/(10*time.Second)); loads > limit {
				t.Fatalf("%d loads after %s", loads, now)
			}
			for i := range targets {
				if targets[i].Pending != nil && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
					if rapid.Bool().Draw(t, "works") {
						targets[i].Actual = targets[i].Pending
					}
					targets[i].Pending = nil
				}
			}
			for name, n := range countServing(targets) {
				if servingAtStart[name] > 0 && n == 0 {
					t.Fatalf("no target serves %s", name)
				}
			}
		}
		for _, target := range targets {
			for _, m := range want {
				if !slices.Contains(target.Actual, m) {
					t.Fatalf("target %s has %v, want all of %v", target.Name, target.Actual, want)
				}
			}
		}
	})
}
