package group

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// init sets a fixed seed for rapid; the command-line flag overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func TestPlanUsesFewestEnginesOrderedByName(t *testing.T) {
	engines := []EngineMemory{{"c", 400, 400}, {"a", 400, 100}, {"b", 400, 400}, {"d", 400, 400}}
	members, _ := Plan(500, 20, engines)
	must.Len(t, 2, members)
	must.Eq(t, []string{"b", "c"}, []string{members[0].Target, members[1].Target})
	_, possible := Plan(1100, 20, engines)
	must.True(t, possible)
	none, possible := Plan(1400, 20, engines)
	must.SliceEmpty(t, none)
	must.False(t, possible)
}

func TestPlanCoversPromptWithinEngineMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []EngineMemory
		for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
			capacity := rapid.IntRange(1000, 500_000).Draw(t, "capacity")
			engines = append(engines, EngineMemory{fmt.Sprintf("e%02d", i), capacity, rapid.IntRange(0, capacity).Draw(t, "free")})
		}
		prompt, answer := rapid.IntRange(1000, 1_000_000).Draw(t, "prompt"), rapid.IntRange(1, 4000).Draw(t, "answer")
		members, _ := Plan(prompt, answer, engines)
		end, tokens := 0, 0
		for _, m := range members {
			if m.From != end || m.To < m.From {
				t.Fatalf("segment from %d to %d does not continue from %d", m.From, m.To, end)
			}
			end, tokens = m.To, tokens+m.Tokens
			room := engines[slices.IndexFunc(engines, func(r EngineMemory) bool { return r.Target == m.Target })]
			if slack := prompt/promptPerMille + 2; m.Tokens > room.usableTokens()+slack {
				t.Fatalf("%d tokens exceed the %d usable tokens", m.Tokens, room.usableTokens())
			}
		}
		if len(members) > 0 && (end != promptPerMille || tokens < prompt+answer) {
			t.Fatalf("segments end at %d and hold %d of %d tokens", end, tokens, prompt+answer)
		}
	})
}

// Guards against deadlocks and leaked reservations among groups that use the same
// engines: for any order of replies, a group that cannot reserve an engine releases
// all, no engine stays reserved, and at least one group finishes.
func TestGroupsDoNotDeadlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"e0", "e1", "e2"}
		owner := map[string]int{}
		groups := make([]*Group, rapid.IntRange(2, 4).Draw(t, "groups"))
		restart := func(i int) {
			var members []Member
			for _, n := range names {
				members = append(members, Member{Target: n})
			}
			groups[i] = New(members)
		}
		for i := range groups {
			restart(i)
		}
		release := func(i int) {
			for _, m := range groups[i].Close() {
				if owner[m.Target] == i+1 {
					delete(owner, m.Target)
				}
			}
		}
		done := 0
		for range 200 {
			i := rapid.IntRange(0, len(groups)-1).Draw(t, "next")
			step, m := groups[i].Step()
			if step == Reserve && owner[m.Target] != 0 {
				release(i)
				restart(i)
				continue
			}
			if step == Reserve {
				owner[m.Target] = i + 1
			}
			if step == Decode || rapid.IntRange(0, 20).Draw(t, "fails") == 0 {
				release(i)
				restart(i)
				done++
				continue
			}
			groups[i].Advance()
		}
		for i := range groups {
			release(i)
		}
		if len(owner) > 0 {
			t.Fatalf("engines still reserved: %v", owner)
		}
		if done == 0 {
			t.Fatalf("no group finished")
		}
	})
}
