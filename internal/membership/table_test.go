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

// newTableWithTwoPeers returns a table with self and the live instances x and y.
func newTableWithTwoPeers() *Table {
	t := New(Fact{Name: "self", FailureDomain: "a", Incarnation: 1})
	for _, name := range []string{"x", "y"} {
		t.MergeFact(0, Fact{Name: name, FailureDomain: "a", Address: name, Incarnation: 1, Beat: 5})
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

func TestFactMergeIgnoresOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var facts []Fact
		for range rapid.IntRange(1, 12).Draw(t, "facts") {
			facts = append(facts, Fact{
				Name: "x", FailureDomain: "a", Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				Beat: uint64(rapid.IntRange(1, 3).Draw(t, "beat")), State: State(rapid.IntRange(0, 2).Draw(t, "state")),
			})
		}
		merge := func(facts []Fact) Fact {
			table := newTableWithTwoPeers()
			for _, f := range facts {
				table.MergeFact(0, f)
			}
			f, _ := table.Get("x")
			return f
		}
		shuffled := rapid.Permutation(facts).Draw(t, "order")
		must.Eq(t, merge(facts), merge(shuffled))
		must.Eq(t, merge(facts), merge(slices.Concat(facts, facts)))
	})
}

func TestSuspectIsDeadAfterTimeoutWithoutNewerBeat(t *testing.T) {
	table := newTableWithTwoPeers()
	table.MarkSuspect(0, "x")
	table.MarkSuspect(0, "y")
	must.Eq(t, "suspect", stateOf(table, "x"))
	table.MergeFact(time.Second, Fact{Name: "x", FailureDomain: "a", Incarnation: 1, Beat: 5}) // not newer
	table.MergeFact(time.Second, Fact{Name: "y", FailureDomain: "a", Incarnation: 1, Beat: 6})
	must.Eq(t, []string{"x"}, table.Expire(SuspicionTimeout))
	must.Eq(t, "dead", stateOf(table, "x"))
	must.Eq(t, "alive", stateOf(table, "y"))
	table.MergeFact(SuspicionTimeout, Fact{Name: "x", FailureDomain: "a", Incarnation: 1, Beat: 5})
	must.Eq(t, "dead", stateOf(table, "x")) // an old fact does not revive a dead instance
	table.Expire(SuspicionTimeout + TombstoneTTL)
	must.Eq(t, "unknown", stateOf(table, "x"))
}

func TestSuspicionOfSelfIsRefuted(t *testing.T) {
	table := newTableWithTwoPeers()
	before := table.AdvanceHeartbeat(1)
	table.MergeFact(0, Fact{Name: "self", FailureDomain: "a", Incarnation: 1, Beat: before.Beat, State: Dead})
	must.Greater(t, before.Beat, table.Self().Beat)
	must.Eq(t, Alive, table.Self().State)
}

func TestListAddsAndMarksLeavingWithoutRevivingDead(t *testing.T) {
	table := newTableWithTwoPeers()
	table.MarkSuspect(0, "x")
	table.Expire(SuspicionTimeout)
	table.MergeList(SuspicionTimeout, []store.Instance{
		{Name: "x", Role: EntryRole, FailureDomain: "a"},
		{Name: "y", Role: EntryRole, FailureDomain: "a", Leaving: true},
		{Name: "z", Role: EntryRole, FailureDomain: "b", Address: "z"},
		{Name: "engine", Role: "engine", FailureDomain: "a"},
	})
	must.Eq(t, "dead", stateOf(table, "x"))
	must.Eq(t, "unknown", stateOf(table, "engine"))
	must.Eq(t, []string{"a", "b"}, table.Domains())
	must.Len(t, 1, table.Gateways("a")) // y is leaving
	f, ok := table.NextDeadInstance()
	must.True(t, ok)
	must.Eq(t, "x", f.Name)
}

func TestRingReachesAllInstancesWithinEighteenHops(t *testing.T) {
	for _, n := range []int{2, 5, 16, 60, 300} {
		tables := map[string]*Table{}
		var all []Fact
		for i := range n {
			all = append(all, Fact{Name: fmt.Sprintf("entry-%d", i), FailureDomain: "a", Incarnation: 1, Beat: 1})
		}
		incoming := map[string]int{}
		for _, self := range all {
			table := New(self)
			for _, f := range all {
				table.MergeFact(0, f)
			}
			tables[self.Name] = table
			for _, f := range table.Neighbours() {
				incoming[f.Name]++
			}
			must.Len(t, min(HeartbeatFanout, n-1), table.Neighbours())
		}
		for _, got := range incoming {
			must.Eq(t, min(HeartbeatFanout, n-1), got)
		}
		must.LessEq(t, 18, hopsToReachAll(tables, all[0].Name))
	}
}

// hopsToReachAll returns the number of heartbeats in sequence that a fact needs
// to reach all instances.
func hopsToReachAll(tables map[string]*Table, from string) int {
	reached, frontier, hops := map[string]bool{from: true}, []string{from}, 0
	for len(reached) < len(tables) {
		var nextFrontier []string
		for _, name := range frontier {
			for _, f := range tables[name].Neighbours() {
				if !reached[f.Name] {
					reached[f.Name] = true
					nextFrontier = append(nextFrontier, f.Name)
				}
			}
		}
		if len(nextFrontier) == 0 {
			return len(tables) // some instances are unreachable
		}
		frontier = nextFrontier
		hops++
	}
	return hops
}
