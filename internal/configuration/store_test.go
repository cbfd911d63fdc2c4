package configuration

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	standin "github.com/medlardeck/medlardeck/internal/standin/platform"
	"github.com/medlardeck/medlardeck/internal/store"
)

// runProcedure runs a procedure to its end against a store, without waiting
// between retries.
func runProcedure(kv store.Store, p Procedure) {
	var r store.Reply
	for {
		call, more := p.Next(r)
		if !more {
			return
		}
		if r = (store.Reply{}); call.Op != "" {
			r = kv.Do(context.Background(), call)
		}
	}
}

// confirmIntent plans and confirms an intent on base and returns the accepted
// snapshot.
func confirmIntent(t *testing.T, kv store.Store, base *Snapshot, to Intent) *Snapshot {
	t.Helper()
	p, err := NewPlan(base, to, func(string) int { return 0 })
	must.NoError(t, err)
	c, err := NewConfirm(&p, base, base.Root.Revision, "ana", time.Unix(1, 0))
	must.NoError(t, err)
	runProcedure(kv, c)
	must.Eq(t, VerdictAccepted, c.Verdict)
	return c.Result()
}

// countKeys returns the number of keys with a prefix.
func countKeys(kv store.Store, prefix string) int {
	n := 0
	call := store.Call{Op: store.OpRange, Key: prefix}
	for {
		r := kv.Do(context.Background(), call)
		if n += len(r.KVs); !r.More {
			return n
		}
		call.After = r.KVs[len(r.KVs)-1].Key
	}
}

func TestPruneKeepsWhatTheKeptRevisionsNeed(t *testing.T) {
	const kept = 5
	kv := standin.New(standin.Options{}).Local("test")
	snap := confirmIntent(t, kv, EmptySnapshot(), sampleIntent(30))
	segments := len(snap.Index)
	for i := range 20 {
		in, err := snap.Intent()
		must.NoError(t, err)
		in.Workspaces[i%3].TokensPerSecond = float64(i + 1)
		snap = confirmIntent(t, kv, snap, in)
		runProcedure(kv, NewPrune(snap.Root.Revision, kept))
	}
	must.Eq(t, kept, countKeys(kv, prefixIndex))
	must.Eq(t, segments+kept-1, countKeys(kv, prefixSegment))
	h := NewHistory(100)
	runProcedure(kv, h)
	must.Len(t, kept, h.Roots)
	for _, root := range h.Roots {
		f := NewFetch(EmptySnapshot(), root)
		runProcedure(kv, f)
		must.NoError(t, f.Err)
	}
}

func TestFetchFallsBackToSegmentsWithoutADelta(t *testing.T) {
	kv := standin.New(standin.Options{}).Local("test")
	first := confirmIntent(t, kv, EmptySnapshot(), sampleIntent(30))
	in, err := first.Intent()
	must.NoError(t, err)
	in.Workspaces[2].TokensPerSecond = 7
	second := confirmIntent(t, kv, first, in)
	got := kv.Do(context.Background(), store.Call{Op: store.OpGet, Key: KeyDelta(second.Root.PlanID)})
	for _, change := range []store.Call{
		{Op: store.OpCAS, Value: []byte(`[{"segment":"base"}]`)}, // does not lead to the digest
		{Op: store.OpDelete},
	} {
		change.Key, change.Revision = KeyDelta(second.Root.PlanID), got.KVs[0].Revision
		got = kv.Do(context.Background(), change)
		got.KVs = []store.KV{{Revision: got.Revision}}
		f := NewFetch(first, second.Root)
		runProcedure(kv, f)
		must.NoError(t, f.Err)
		must.Eq(t, second.Root, f.Snapshot.Root)
		must.Eq(t, second.segments, f.Snapshot.segments)
	}
}

func TestPlanInPartsIsReadBackAtAnotherInstance(t *testing.T) {
	kv := standin.New(standin.Options{}).Local("test")
	p, err := NewPlan(EmptySnapshot(), sampleIntent(12000), func(string) int { return 0 })
	must.NoError(t, err)
	runProcedure(kv, NewSavePlan(&p))
	must.Greater(t, 1, countKeys(kv, prefixPlan))
	l := NewLoadPlan(p.ID)
	runProcedure(kv, l)
	must.NoError(t, l.Err)
	must.Eq(t, p.ID, l.Plan.computeID())
	missing := NewLoadPlan("feed")
	runProcedure(kv, missing)
	must.ErrorIs(t, missing.Err, ErrNoPlan)
}

// raceStore runs beforeRootSwap before the first swap of the root, so that
// another plan can be accepted between the writes of the segments and the swap.
type raceStore struct {
	store.Store
	beforeRootSwap func()
}

func (s *raceStore) Do(ctx context.Context, call store.Call) store.Reply {
	if call.Op == store.OpCAS && call.Key == KeyRoot && s.beforeRootSwap != nil {
		before := s.beforeRootSwap
		s.beforeRootSwap = nil
		before()
	}
	return s.Store.Do(ctx, call)
}

func TestLostRaceLeavesNothingInTheStore(t *testing.T) {
	kv := standin.New(standin.Options{}).Local("test")
	base := confirmIntent(t, kv, EmptySnapshot(), sampleIntent(5))
	mine, theirs := sampleIntent(5), sampleIntent(5)
	mine.Workspaces[0].TokensPerSecond, theirs.Workspaces[1].TokensPerSecond = 1, 2
	p, err := NewPlan(base, mine, func(string) int { return 0 })
	must.NoError(t, err)
	c, err := NewConfirm(&p, base, 1, "ana", time.Unix(1, 0))
	must.NoError(t, err)
	runProcedure(&raceStore{Store: kv, beforeRootSwap: func() { confirmIntent(t, kv, base, theirs) }}, c)
	must.Eq(t, VerdictNotAccepted, c.Verdict)
	must.Eq(t, 0, countKeys(kv, prefixSegment+p.ID))
	must.Eq(t, 0, countKeys(kv, KeyIndex(p.ID))+countKeys(kv, KeyDelta(p.ID)))
	h := NewHistory(5)
	runProcedure(kv, h)
	must.Len(t, 2, h.Roots)
}

func TestEditsAreCheckedAllAtOnce(t *testing.T) {
	edit := Edit{
		Drain: []string{"e0", "nobody", "entry-1"}, Undrain: []string{"e1"},
		Limits: []WorkspaceLimit{{Workspace: "w00001", TokensPerSecond: -1}, {Workspace: "ghost"}},
	}
	isInstance := func(name string) bool { return name == "entry-1" }
	_, err := edit.Apply(sampleIntent(3), isInstance)
	for _, path := range []string{"drain[1]", "undrain[0]", "limits[0].tokens_per_second", "limits[1].workspace"} {
		must.ErrorContains(t, err, path)
	}
	before := sampleIntent(3)
	after, err := (&Edit{Drain: []string{"e0", "entry-1"}}).Apply(before, isInstance)
	must.NoError(t, err)
	must.Eq(t, Drains{Targets: []string{"e0"}, Instances: []string{"entry-1"}}, after.Drains)
	must.SliceEmpty(t, before.Drains.Targets)
	must.SliceEmpty(t, Validate(&after))
}
