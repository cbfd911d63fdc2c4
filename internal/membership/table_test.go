package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/medlardeck/medlardeck/internal/store"
)

func member3() *Table {
	t := New(Fact{Name: "self", FailureDomain: "a", Incarnation: 1})
	for _, name := range []string{"x", "y"} {
		t.Observe(0, Fact{Name: name, FailureDomain: "a", Address: name, Incarnation: 1, Beat: 5})
	}
	return t
}

func stateOf(t *Table, name string) string {
	f, ok := t.Get(name)
	if !ok {
		return "unknown"
	}
	return f.State.String()
}

func TestFactsInAnyOrderLeadToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var facts []Fact
		for range rapid.IntRange(1, 12).Draw(t, "facts") {
			facts = append(facts, Fact{
				Name: "x", FailureDomain: "a", Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				Beat: uint64(rapid.IntRange(1, 3).Draw(t, "beat")), State: State(rapid.IntRange(0, 2).Draw(t, "state")),
			})
		}
		believed := func(facts []Fact) Fact {
			table := member3()
			for _, f := range facts {
				table.Observe(0, f)
			}
			f, _ := table.Get("x")
			return f
		}
		shuffled := rapid.Permutation(facts).Draw(t, "order")
		must.Eq(t, believed(facts), believed(shuffled))
		must.Eq(t, believed(facts), believed(slices.Concat(facts, facts)))
	})
}

func TestSuspectDiesUnlessANewerBeatShows(t *testing.T) {
	table := member3()
	table.Failed(0, "x")
	table.Failed(0, "y")
	must.Eq(t, "suspect", stateOf(table, "x"))
	table.Observe(time.Second, Fact{Name: "x", FailureDomain: "a", Incarnation: 1, Beat: 5}) // not newer
	table.Observe(time.Second, Fact{Name: "y", FailureDomain: "a", Incarnation: 1, Beat: 6})
	must.Eq(t, []string{"x"}, table.Expire(SuspicionTimeout))
	must.Eq(t, "dead", stateOf(table, "x"))
	must.Eq(t, "alive", stateOf(table, "y"))
	table.Observe(SuspicionTimeout, Fact{Name: "x", FailureDomain: "a", Incarnation: 1, Beat: 5})
	must.Eq(t, "dead", stateOf(table, "x")) // an old fact does not revive
	table.Expire(SuspicionTimeout + TombstoneTime)
	must.Eq(t, "unknown", stateOf(table, "x"))
}

func TestSuspicionAgainstSelfIsRefuted(t *testing.T) {
	table := member3()
	before := table.Beat(1)
	table.Observe(0, Fact{Name: "self", FailureDomain: "a", Incarnation: 1, Beat: before.Beat, State: Dead})
	must.Greater(t, before.Beat, table.Self().Beat)
	must.Eq(t, Alive, table.Self().State)
}

func TestListAddsAndMarksLeavingButDoesNotRevive(t *testing.T) {
	table := member3()
	table.Failed(0, "x")
	table.Expire(SuspicionTimeout)
	table.Listed(SuspicionTimeout, []store.Instance{
		{Name: "x", Role: EntryRole, FailureDomain: "a"},
		{Name: "y", Role: EntryRole, FailureDomain: "a", Leaving: true},
		{Name: "z", Role: EntryRole, FailureDomain: "b", Address: "z"},
		{Name: "engine", Role: "engine", FailureDomain: "a"},
	})
	must.Eq(t, "dead", stateOf(table, "x"))
	must.Eq(t, "unknown", stateOf(table, "engine"))
	must.Eq(t, []string{"a", "b"}, table.Domains())
	must.Len(t, 1, table.Gateways("a")) // y is leaving
	f, ok := table.Probe()
	must.True(t, ok)
	must.Eq(t, "x", f.Name)
}

func TestRingReachesEveryoneInFewSteps(t *testing.T) {
	for _, n := range []int{2, 5, 16, 60, 300} {
		tables := map[string]*Table{}
		var all []Fact
		for i := range n {
			all = append(all, Fact{Name: fmt.Sprintf("entry-%d", i), FailureDomain: "a", Incarnation: 1, Beat: 1})
		}
		in := map[string]int{}
		for _, self := range all {
			table := New(self)
			for _, f := range all {
				table.Observe(0, f)
			}
			tables[self.Name] = table
			for _, f := range table.Neighbours() {
				in[f.Name]++
			}
			must.Len(t, min(Degree, n-1), table.Neighbours())
		}
		for _, got := range in {
			must.Eq(t, min(Degree, n-1), got)
		}
		must.LessEq(t, 18, stepsToAll(tables, all[0].Name))
	}
}

// stepsToAll returns how many heartbeats in a row a fact needs to reach all.
func stepsToAll(tables map[string]*Table, from string) int {
	reached, edge, steps := map[string]bool{from: true}, []string{from}, 0
	for len(reached) < len(tables) {
		var next []string
		for _, name := range edge {
			for _, f := range tables[name].Neighbours() {
				if !reached[f.Name] {
					reached[f.Name] = true
					next = append(next, f.Name)
				}
			}
		}
		if len(next) == 0 {
			return len(tables) // some are never reached
		}
		edge = next
		steps++
	}
	return steps
}
