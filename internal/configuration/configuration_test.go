package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/medlardeck/medlardeck/internal/store"
)

func sampleIntent(workspaces int) Intent {
	in := Intent{
		Version: SchemaVersion,
		Models:  []Model{{Name: "draft", Version: "1", ContextTokens: 1 << 20, WeightBytes: 10 << 30}, {Name: "review", Version: "1", ContextTokens: 1 << 20, WeightBytes: 40 << 30}},
		Pools: []Pool{
			{Name: "drafting", Kind: PoolEngine, Models: []string{"draft"}, Targets: []Target{
				{Name: "e0", Address: "10.0.0.1:80", FailureDomain: "a"}, {Name: "e1", Address: "10.0.0.2:80", FailureDomain: "b"},
			}},
			{Name: "orders", Kind: PoolService, Targets: []Target{{Name: "s0", Address: "10.0.0.3:80", FailureDomain: "a"}}},
		},
		Routes:  []Route{{Name: "orders", Prefix: "/orders", Pool: "orders"}},
		Weights: Weights{BytesPerSecond: 1 << 30},
	}
	for i := range workspaces {
		in.Workspaces = append(in.Workspaces, Workspace{Name: fmt.Sprintf("w%05d", i), KeyHashes: []string{fmt.Sprintf("%064x", i)}})
	}
	return in
}

func TestDecodeNamesEveryFaultWithItsPath(t *testing.T) {
	_, err := Decode([]byte(`{"version":1,"modles":[],"version":1,"models":[{"name":"m","context_tokens":"many"}],
		"pools":[{"name":"p","kind":"engine","targets":[{"name":"t","adr":"x"}]}]}`))
	var faults Faults
	must.True(t, errors.As(err, &faults))
	var paths []string
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	must.SliceContainsAll(t, []string{"version", "modles", "models[0].context_tokens", "pools[0].targets[0].adr"}, paths)

	in := sampleIntent(2)
	valid, err := json.Marshal(in)
	must.NoError(t, err)
	decoded, err := Decode(valid)
	must.NoError(t, err)
	must.Eq(t, in, decoded)
	in.Version = 7
	in.Pools[0].Models = []string{"ghost"}
	in.Pools[0].Targets[1].Name = "e0"
	in.Pools[0].Targets[1].Address = "example.org:80"
	in.Workspaces[1].KeyHashes = in.Workspaces[0].KeyHashes
	in.Routes[0].Pool = "drafting"
	in.Drains.Targets = []string{"nobody"}
	in.Serving.Policy = "dice"
	raw, err := json.Marshal(in)
	must.NoError(t, err)
	_, err = Decode(raw)
	for _, path := range []string{
		"version: ", "pools[0].models[0]: ", "pools[0].targets[1].name: ", "pools[0].targets[1].address: ",
		"workspaces[1].key_hashes[0]: ", "routes[0].pool: ", "drains.targets[0]: ", "serving.policy: ",
	} {
		must.StrContains(t, err.Error(), path)
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := json.Marshal(sampleIntent(3))
	must.NoError(f, err)
	f.Add(raw)
	f.Add([]byte(`{"version":1,"pools":[{}]}`))
	f.Add([]byte(`[[[[`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		in, err := Decode(raw)
		if err != nil {
			return
		}
		if _, err := encodeSegments(&in); err != nil {
			t.Fatalf("valid intent does not split: %v", err)
		}
	})
}

// randomEdit makes one to four random changes. It skips the test if the result
// is not valid.
func randomEdit(t *rapid.T, in Intent) Intent {
	in.Workspaces = slices.Clone(in.Workspaces)
	for range rapid.IntRange(1, 4).Draw(t, "edits") {
		i := rapid.IntRange(0, len(in.Workspaces)-1).Draw(t, "workspace")
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			in.Workspaces[i].TokensPerSecond = float64(rapid.IntRange(0, 9).Draw(t, "limit"))
		case 1:
			if len(in.Workspaces) > 1 {
				in.Workspaces = slices.Delete(in.Workspaces, i, i+1)
			}
		case 2:
			in.Workspaces = append(in.Workspaces, Workspace{Name: fmt.Sprintf("new%d-%d", len(in.Workspaces), i)})
		case 3:
			in.Drains.Targets = rapid.SampledFrom([][]string{nil, {"e0"}, {"e1", "e0"}}).Draw(t, "drains")
		}
	}
	if len(Validate(&in)) > 0 {
		t.Skip("the edit repeats a name")
	}
	return in
}

func applyPlan(t rapid.TB, base *Snapshot, to Intent) (*Snapshot, Plan) {
	p, err := NewPlan(base, to, func(string) int { return 0 })
	must.NoError(t, err)
	next, err := p.buildSnapshot(base, "ana", time.Unix(5, 0))
	must.NoError(t, err)
	return next, p
}

func TestDeltasLeadToTheSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, _ := applyPlan(t, EmptySnapshot(), sampleIntent(20))
		in, err := first.Intent()
		must.NoError(t, err)
		to := randomEdit(t, in)
		next, plan := applyPlan(t, first, to)
		again, err := first.Apply(Delta{Root: next.Root, Changes: plan.Changes})
		must.NoError(t, err)
		must.Eq(t, next.Root, again.Root)
		must.Eq(t, next.segments, again.segments)
		fresh, err := EmptySnapshot().Assemble(next.Root, next.Index, next.segments)
		must.NoError(t, err)
		got, err := fresh.Intent()
		must.NoError(t, err)
		must.Len(t, 0, Compare(&to, &got))
		_, err = next.Apply(Delta{Root: next.Root, Changes: plan.Changes})
		must.Error(t, err) // next is not the base of the delta
	})
}

func TestDamagedSegmentsAreRefused(t *testing.T) {
	snap, _ := applyPlan(t, EmptySnapshot(), sampleIntent(5))
	broken := map[string][]byte{}
	for name, raw := range snap.segments {
		broken[name] = raw
	}
	broken[segmentBase] = []byte(`{"version":1}`)
	_, err := EmptySnapshot().Assemble(snap.Root, snap.Index, broken)
	must.ErrorContains(t, err, segmentBase)
	_, err = EmptySnapshot().Assemble(snap.Root, snap.Index[1:], snap.segments)
	must.ErrorContains(t, err, "index")
}

func TestReplicaRevisionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := []*Snapshot{EmptySnapshot()}
		for range 6 {
			in := sampleIntent(4)
			in.Workspaces[0].TokensPerSecond = float64(len(line))
			next, _ := applyPlan(t, line[len(line)-1], in)
			line = append(line, next)
		}
		fork := sampleIntent(4)
		fork.Workspaces[1].TokensPerSecond = 7
		forked, _ := applyPlan(t, line[2], fork) // the store was restored to revision 2
		offers := append(slices.Clone(line[1:]), forked)
		r := NewReplica()
		for range 20 {
			before := r.Current().Root
			next := rapid.SampledFrom(offers).Draw(t, "offer")
			j := r.Offer(next)
			after := r.Current().Root
			must.GreaterEq(t, before.Revision, after.Revision)
			must.Eq(t, j == JudgementAdopted, after.Revision > before.Revision)
			must.Eq(t, j == JudgementConflict, next.Root.Revision == before.Revision && next.Root.PlanID != before.PlanID)
			for _, d := range r.DeltasSince(before.Revision, before.PlanID) {
				must.GreaterEq(t, before.Revision, d.Root.Base)
			}
		}
	})
}

func TestPlanShowsCostAndConflicts(t *testing.T) {
	base, _ := applyPlan(t, EmptySnapshot(), sampleIntent(3))
	to := sampleIntent(3)
	to.Pools[0].Models = []string{"draft", "review"}
	to.Drains.Targets = []string{"e0"}
	p, err := NewPlan(base, to, func(target string) int { return map[string]int{"e0": 3}[target] })
	must.NoError(t, err)
	must.Eq(t, 80<<30, p.Cost.LoadBytes)
	must.Eq(t, 40*time.Second, p.Cost.LoadTime)
	must.Eq(t, 3, p.Cost.Moved)
	must.Eq(t, []LostCapacity{{Pool: "drafting", FailureDomain: "a", Targets: 1, Of: 1}}, p.Cost.Lost)
	must.SliceContains(t, p.Conflicts, "model draft in failure domain a would have no target left")
	must.StrContains(t, p.Summary(), "drains/targets/e0")
	same, err := NewPlan(base, sampleIntent(3), func(string) int { return 0 })
	must.NoError(t, err)
	must.True(t, same.Empty())
}

func TestManyWorkspacesFitTheStore(t *testing.T) {
	snap, _ := applyPlan(t, EmptySnapshot(), sampleIntent(24000))
	for name, raw := range snap.segments {
		must.Less(t, store.MaxValueBytes, len(raw), must.Sprint(name))
	}
	in, err := snap.Intent()
	must.NoError(t, err)
	in.Workspaces[77].TokensPerSecond = 5
	next, plan := applyPlan(t, snap, in)
	must.Len(t, 1, next.MissingSegments(snap.Index))
	must.Less(t, 1000, (&Delta{Changes: plan.Changes}).Size())
	must.False(t, strings.Contains(plan.Summary(), "more"))
}
