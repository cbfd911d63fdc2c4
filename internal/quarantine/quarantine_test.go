package quarantine

import (
	"flag"
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

func newDeath(name string) Death { return Death{Target: name, Incarnation: 1} }

func TestSecondDeathQuarantinesCulpritAndClearsOtherSuspects(t *testing.T) {
	r := New()
	r.RecordDeath(0, newDeath("e0"), []Fingerprint{1, 2, 3})
	must.Eq(t, Suspect, r.State(0, 2))
	v := r.RecordDeath(time.Second, newDeath("e1"), []Fingerprint{2})
	must.Eq(t, StateChanges{Quarantined: []Fingerprint{2}, Cleared: []Fingerprint{1, 3}}, v)
	late := r.RecordDeath(time.Second, newDeath("e1"), []Fingerprint{4})
	must.Eq(t, StateChanges{}, late, must.Sprint("the death is attributed to fingerprint 2"))
	must.Eq(t, Clear, r.State(time.Second, 4))
	must.Eq(t, Clear, r.State(time.Second+QuarantineTTL, 2))
	must.Eq(t, []Fingerprint{2}, r.Expire(2*QuarantineTTL))
}

func TestCompletedRunClearsSuspectAndExemptsItFromOneDeath(t *testing.T) {
	r := New()
	r.RecordDeath(0, newDeath("e0"), []Fingerprint{1})
	must.True(t, r.RecordCompletion(0, 1))
	must.Eq(t, Clear, r.State(0, 1))
	r.RecordDeath(0, newDeath("e1"), []Fingerprint{1})
	must.Eq(t, Clear, r.State(0, 1))
	r.RecordDeath(0, newDeath("e2"), []Fingerprint{1})
	must.Eq(t, Suspect, r.State(0, 1))
	r.RecordDeath(0, newDeath("e3"), []Fingerprint{1})
	must.Eq(t, Quarantined, r.State(0, 1))
	must.False(t, r.RecordCompletion(0, 1), must.Sprint("a late completion does not release a quarantined fingerprint"))
}

func TestRegistryKeepsAtMostMaxRecords(t *testing.T) {
	r := New()
	r.RecordDeath(0, newDeath("e0"), []Fingerprint{1})
	r.RecordDeath(0, newDeath("e1"), []Fingerprint{1})
	for fp := range Fingerprint(MaxRecords + 10) {
		r.RecordDeath(time.Second, newDeath("e2"), []Fingerprint{fp + 2})
	}
	must.LessEq(t, MaxRecords, len(r.records))
	must.Eq(t, Quarantined, r.State(time.Second, 1), must.Sprint("suspects are evicted first"))
}

// Guards against a missed quarantine when deaths and facts from peers arrive in
// any order and other fingerprints were in flight: each registry that knows of
// both deaths of a fingerprint must quarantine it.
func TestDeathsAndFactsInAnyOrderQuarantineCulprit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		others := rapid.SliceOf(rapid.Uint64Range(2, 6)).Draw(t, "others")
		steps := []func(){
			func() { a.RecordDeath(0, newDeath("e0"), []Fingerprint{1}) },
			func() { b.RecordDeath(0, newDeath("e1"), []Fingerprint{1}) },
			func() { a.MergeFacts(0, b.All(0)) },
			func() { b.MergeFacts(0, a.All(0)) },
		}
		for i, fp := range others {
			registry, d := []*Registry{a, b}[i%2], newDeath([]string{"e0", "e1"}[i/2%2])
			steps = append(steps, func() { registry.RecordDeath(0, d, []Fingerprint{Fingerprint(fp)}) })
		}
		for _, step := range rapid.Permutation(steps).Draw(t, "order") {
			step()
		}
		a.MergeFacts(0, b.All(0))
		b.MergeFacts(0, a.All(0))
		if a.State(0, 1) != Quarantined || b.State(0, 1) != Quarantined {
			t.Fatalf("states %d and %d", a.State(0, 1), b.State(0, 1))
		}
	})
}

func TestConcurrentRequestsGrantOneTurn(t *testing.T) {
	a, b := NewTurns[Fingerprint]("a"), NewTurns[Fingerprint]("b")
	notInUse := func(Fingerprint) bool { return false }
	allLive := func(string) bool { return true }
	fps := []Fingerprint{1}
	askA, askB := a.Request(fps, []string{"b"}), b.Request(fps, []string{"a"})
	granted, _ := a.HandleAnswer(askA, "b", b.HandleRequest(0, "a", fps, notInUse))
	must.Eq(t, fps, granted)
	granted, retry := b.HandleAnswer(askB, "a", a.HandleRequest(0, "b", fps, notInUse))
	must.SliceEmpty(t, granted)
	must.Eq(t, fps, retry)
	must.False(t, b.CanRequest(0, 1, allLive))
	must.True(t, b.CanRequest(0, 1, func(string) bool { return false }), must.Sprint("the peer that has the turn is dead"))
	a.Release(1)
	b.HandleRelease("a", fps)
	must.True(t, b.CanRequest(0, 1, allLive))
	must.Eq(t, fps, b.HandleRequest(0, "a", fps, func(Fingerprint) bool { return true }), must.Sprint("b runs the fingerprint itself"))
}

func TestSurvivedRunsDoNotPreventQuarantine(t *testing.T) {
	r := New()
	r.RecordDeath(0, newDeath("e0"), []Fingerprint{1})
	must.True(t, r.RecordSurvival(0, 1))
	must.Eq(t, Clear, r.State(0, 1))
	r.RecordDeath(0, newDeath("e1"), []Fingerprint{1})
	must.Eq(t, Suspect, r.State(0, 1))
	must.True(t, r.RecordSurvival(0, 1))
	must.Eq(t, Clear, r.State(0, 1))
	r.RecordDeath(0, newDeath("e2"), []Fingerprint{1})
	must.Eq(t, Quarantined, r.State(0, 1))
}
