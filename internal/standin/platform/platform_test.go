package platform

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/store"
)

// fakeClock is a clock that a test moves.
type fakeClock struct{ t time.Time }

func (c *fakeClock) now() time.Time { return c.t }

// newService returns a stand-in and the HTTP adapter to it.
func newService(t *testing.T, opts Options) (*Service, func(store.Call) store.Reply) {
	t.Helper()
	s := New(opts)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	adapter := store.NewHTTP(srv.URL, "entry-0")
	t.Cleanup(adapter.Close)
	return s, func(call store.Call) store.Reply { return adapter.Do(context.Background(), call) }
}

func TestConditionalWritesOverHTTP(t *testing.T) {
	_, do := newService(t, Options{})
	created := do(store.Call{Op: store.OpCAS, Key: "a/b c", Value: []byte("1")})
	must.Eq(t, store.Reply{Status: store.StatusOK, Revision: 1}, created)
	again := do(store.Call{Op: store.OpCAS, Key: "a/b c", Value: []byte("2")})
	must.Eq(t, store.Reply{Status: store.StatusConflict, Revision: 1}, again)
	must.Eq(t, store.StatusOK, do(store.Call{Op: store.OpCAS, Key: "a/b c", Value: []byte("2"), Revision: 1}).Status)
	got := do(store.Call{Op: store.OpGet, Key: "a/b c"})
	must.Eq(t, store.Reply{Status: store.StatusOK, Revision: 2, KVs: []store.KV{{Key: "a/b c", Value: []byte("2"), Revision: 2}}}, got)
	must.Eq(t, store.StatusConflict, do(store.Call{Op: store.OpDelete, Key: "a/b c", Revision: 1}).Status)
	must.Eq(t, store.StatusOK, do(store.Call{Op: store.OpDelete, Key: "a/b c", Revision: 2}).Status)
	must.Eq(t, store.StatusNotFound, do(store.Call{Op: store.OpGet, Key: "a/b c"}).Status)
	tooLarge := do(store.Call{Op: store.OpCAS, Key: "big", Value: make([]byte, store.MaxValueBytes+1)})
	must.Eq(t, store.StatusRefused, tooLarge.Status)
}

func TestRangeComesInPages(t *testing.T) {
	_, do := newService(t, Options{})
	for i := range pageKeys + 5 {
		do(store.Call{Op: store.OpCAS, Key: fmt.Sprintf("k/%03d", i)})
	}
	first := do(store.Call{Op: store.OpRange, Key: "k/"})
	must.Len(t, pageKeys, first.KVs)
	must.True(t, first.More)
	second := do(store.Call{Op: store.OpRange, Key: "k/", After: first.KVs[pageKeys-1].Key})
	must.Len(t, 5, second.KVs)
	must.False(t, second.More)
}

func TestKeysEndWithTheirLease(t *testing.T) {
	clock := &fakeClock{t: time.Unix(0, 0)}
	_, do := newService(t, Options{Now: clock.now})
	id := do(store.Call{Op: store.OpLeaseGrant, TTL: 10 * time.Second}).Lease
	must.Eq(t, store.StatusOK, do(store.Call{Op: store.OpCAS, Key: "owner", Lease: id}).Status)
	clock.t = clock.t.Add(9 * time.Second)
	must.Eq(t, store.StatusOK, do(store.Call{Op: store.OpLeaseRenew, Lease: id}).Status)
	clock.t = clock.t.Add(9 * time.Second)
	must.Eq(t, store.StatusOK, do(store.Call{Op: store.OpGet, Key: "owner"}).Status)
	clock.t = clock.t.Add(time.Second)
	must.Eq(t, store.StatusNotFound, do(store.Call{Op: store.OpGet, Key: "owner"}).Status)
	must.Eq(t, store.StatusNotFound, do(store.Call{Op: store.OpLeaseRenew, Lease: id}).Status)
}

func TestWatchReturnsChangesAfterItsRevision(t *testing.T) {
	s, do := newService(t, Options{})
	do(store.Call{Op: store.OpCAS, Key: "c/1", Value: []byte("x")})
	past := do(store.Call{Op: store.OpWatch, Key: "c/", Budget: time.Minute})
	must.Len(t, 1, past.KVs)
	waited := make(chan store.Reply)
	go func() {
		waited <- do(store.Call{Op: store.OpWatch, Key: "c/", Revision: 1, Budget: time.Minute})
	}()
	s.Local("other").Do(context.Background(), store.Call{Op: store.OpDelete, Key: "c/1", Revision: 1})
	must.Eq(t, []store.KV{{Key: "c/1", Revision: 2, Deleted: true}}, (<-waited).KVs)
	must.Eq(t, store.StatusOK, do(store.Call{Op: store.OpWatch, Key: "c/", Revision: 2, Budget: time.Millisecond}).Status)
}

func TestFaultsOnCommand(t *testing.T) {
	s, do := newService(t, Options{})
	write := store.Call{Op: store.OpCAS, Key: "k", Value: []byte("1")}
	s.SetFaults(Faults{Outage: true})
	must.Eq(t, store.StatusUnknown, do(write).Status)
	s.SetFaults(Faults{Cut: []string{"entry-0"}})
	must.Eq(t, store.StatusUnknown, do(write).Status)
	s.SetFaults(Faults{Refusals: 1})
	must.Eq(t, store.StatusRefused, do(write).Status)
	s.SetFaults(Faults{LostAnswers: 1})
	must.Eq(t, store.StatusUnknown, do(write).Status)
	s.SetFaults(Faults{})
	must.Eq(t, store.StatusConflict, do(write).Status) // the lost answer's write took effect
	must.Eq(t, 5, s.Calls()["entry-0"][store.OpCAS])
}

func TestRestoreGoesBackToOlderData(t *testing.T) {
	s, do := newService(t, Options{})
	must.False(t, s.Restore())
	do(store.Call{Op: store.OpCAS, Key: "k", Value: []byte("old")})
	s.Snapshot()
	do(store.Call{Op: store.OpCAS, Key: "k", Value: []byte("new"), Revision: 1})
	must.True(t, s.Restore())
	must.Eq(t, []byte("old"), do(store.Call{Op: store.OpGet, Key: "k"}).KVs[0].Value)
	must.Eq(t, store.StatusNotFound, do(store.Call{Op: store.OpWatch, Key: "k", Revision: 2, Budget: time.Minute}).Status)
}

func TestInstancesLag(t *testing.T) {
	clock := &fakeClock{t: time.Unix(0, 0)}
	s, do := newService(t, Options{Now: clock.now, InstanceLag: 3 * time.Second})
	s.SetInstances([]store.Instance{{Name: "entry-0", Role: "entry"}})
	clock.t = clock.t.Add(3 * time.Second)
	s.SetInstances([]store.Instance{{Name: "entry-0", Role: "entry", Leaving: true}})
	must.False(t, do(store.Call{Op: store.OpInstances}).Instances[0].Leaving)
	clock.t = clock.t.Add(3 * time.Second)
	must.True(t, do(store.Call{Op: store.OpInstances}).Instances[0].Leaving)
}

func TestRatesRefuseWhatIsBeyond(t *testing.T) {
	clock := &fakeClock{t: time.Unix(0, 0)}
	_, do := newService(t, Options{Now: clock.now, WritesPerSecond: 4})
	must.Eq(t, store.StatusOK, do(store.Call{Op: store.OpCAS, Key: "a"}).Status)
	must.Eq(t, store.StatusRefused, do(store.Call{Op: store.OpCAS, Key: "b"}).Status)
	must.Eq(t, store.StatusNotFound, do(store.Call{Op: store.OpGet, Key: "b"}).Status)
}
