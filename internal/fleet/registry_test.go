package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

func (w *world) usable(id string) bool {
	r := w.core.runners[id]
	return r != nil && !r.gone && !r.leaving
}

func TestLeavingTargetsGetNothingNew(t *testing.T) {
	w := newWorld(t, 2)
	w.step(TargetListed{Target{ID: "pool-00", Service: "pool", Address: "10.0.0.0:pool", Domain: "a", Slots: 16, State: Draining, StartedMS: 1}})
	for range 10 {
		must.Eq(t, "pool-01", w.last(w.arrive(routeShort, 1000)).Target.ID)
	}
	w.step(TargetRemoved{"pool-01"})
	must.Eq(t, result.FamilyRefused, w.ends[w.arrive(routeShort, 1000)].Code.Family())
}

func TestPeersTellOfLeavingTargets(t *testing.T) {
	w := newWorld(t, 2)
	w.step(PeerLoad{From: "front-2", Gossip: Gossip{Left: []string{"pool-00"}}})
	must.False(t, w.usable("pool-00"))
}

// Entries that lapse while the store is away are no deaths; those missing two
// seconds after its return are.
func TestLapsesAroundAnOutageAreNoDeaths(t *testing.T) {
	w := newWorld(t, 2)
	w.step(StoreSeen{Reachable: false})
	w.wait(5 * time.Second)
	w.step(StoreSeen{Reachable: true})
	w.step(TargetRemoved{"pool-00"})
	w.step(TargetRemoved{"pool-01"})
	must.True(t, w.usable("pool-00"))
	w.wait(time.Second)
	w.list("pool", 0, "a")
	w.wait(1500 * time.Millisecond)
	must.True(t, w.usable("pool-00"))
	must.False(t, w.usable("pool-01"))
}

// The address of a target that is gone may be given to one of another service.
func TestReusedAddressEndsTheFormerTarget(t *testing.T) {
	w := newWorld(t, 1)
	w.step(TargetListed{Target{ID: "other", Service: "app", Address: "10.0.0.0:pool", Domain: "a", StartedMS: 2}})
	must.Eq(t, result.FamilyRefused, w.ends[w.arrive(routeShort, 1000)].Code.Family())
}

func TestMisdirectedAnswerEndsTheTarget(t *testing.T) {
	w := newWorld(t, 2)
	id := w.arrive(routeShort, 1000)
	first := w.last(id)
	w.step(AttemptEnd{Attempt: first.Attempt, End: EndMisdirected})
	must.False(t, w.usable(first.Target.ID))
	must.NotEq(t, first.Target.ID, w.last(id).Target.ID)
}

func TestEqualIDWithAnotherStartIsAnotherIncarnation(t *testing.T) {
	w := newWorld(t, 1)
	w.core.runners["pool-00"].health.failed(w.now, 1, true)
	w.step(TargetListed{Target{ID: "pool-00", Service: "pool", Address: "10.0.0.0:pool", Domain: "a", Slots: 16, StartedMS: 2}})
	must.Eq(t, health{}, w.core.runners["pool-00"].health)
	must.Eq(t, 1, len(w.core.byService["pool"]))
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	w := newWorld(t, 1)
	newer := &Config{Version: 5}
	w.step(Configure{newer})
	w.step(Configure{w.config})
	must.Eq(t, newer, w.core.Config())
}
