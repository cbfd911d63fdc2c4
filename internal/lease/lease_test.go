package lease

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/medlardeck/medlardeck/internal/store"
)

// init fixes the seed of the property-based tests; a flag on the command line
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// fakeStore is a key-value store with leases on a virtual clock.
type fakeStore struct {
	now       time.Duration
	revision  int64
	kvs       map[string]store.KV
	leaseEnds map[int64]time.Duration
	keyLeases map[string]int64 // lease to which a key is attached
	leaseTTLs map[int64]time.Duration
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		kvs: map[string]store.KV{}, leaseEnds: map[int64]time.Duration{},
		keyLeases: map[string]int64{}, leaseTTLs: map[int64]time.Duration{},
	}
}

func (s *fakeStore) advance(d time.Duration) {
	s.now += d
	for id, end := range s.leaseEnds {
		if end <= s.now {
			s.endLease(id)
		}
	}
}

func (s *fakeStore) endLease(id int64) {
	delete(s.leaseEnds, id)
	for key, lease := range s.keyLeases {
		if lease == id {
			s.revision++
			delete(s.kvs, key)
			delete(s.keyLeases, key)
		}
	}
}

func (s *fakeStore) execute(call store.Call) store.Reply {
	switch call.Op {
	case store.OpRange:
		r := store.Reply{Status: store.StatusOK}
		for _, kv := range s.kvs {
			r.KVs = append(r.KVs, kv)
		}
		return r
	case store.OpGet:
		if kv, ok := s.kvs[call.Key]; ok {
			return store.Reply{Status: store.StatusOK, KVs: []store.KV{kv}}
		}
		return store.Reply{Status: store.StatusNotFound}
	case store.OpLeaseGrant:
		s.revision++
		s.leaseEnds[s.revision], s.leaseTTLs[s.revision] = s.now+call.TTL, call.TTL
		return store.Reply{Status: store.StatusOK, Lease: s.revision, TTL: call.TTL}
	case store.OpLeaseRenew:
		if _, ok := s.leaseEnds[call.Lease]; !ok {
			return store.Reply{Status: store.StatusNotFound}
		}
		s.leaseEnds[call.Lease] = s.now + s.leaseTTLs[call.Lease]
	case store.OpLeaseRevoke:
		s.endLease(call.Lease)
	case store.OpCAS:
		if s.kvs[call.Key].Revision != call.Revision {
			return store.Reply{Status: store.StatusConflict}
		}
		if _, ok := s.leaseEnds[call.Lease]; call.Lease != 0 && !ok {
			return store.Reply{Status: store.StatusNotFound}
		}
		s.revision++
		s.kvs[call.Key] = store.KV{Key: call.Key, Value: call.Value, Revision: s.revision}
		if call.Lease != 0 {
			s.keyLeases[call.Key] = call.Lease
		}
		return store.Reply{Status: store.StatusOK, Revision: s.revision}
	case store.OpDelete, store.OpWatch, store.OpInstances:
	}
	return store.Reply{Status: store.StatusOK}
}

// Guards against two holders at a time and against fencing tokens that decrease
// or are used by two holders. Holders are paused, calls are lost before or after
// they take effect, and replies are delayed.
func TestAtMostOneHolderAndIncreasingFencingTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		type delayedReply struct {
			holder    int
			deliverAt time.Duration
			reply     store.Reply
		}
		holders := make([]*Holder, 3)
		pausedUntil := make([]time.Duration, len(holders))
		for i := range holders {
			holders[i] = New(Options{KeyPrefix: "orders/a", Name: fmt.Sprintf("n%d", i)})
		}
		var replies []delayedReply
		holderByFence := map[uint64]int{}
		highestFence := uint64(0)
		for range 400 {
			s.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "who")
			h := holders[i]
			if rapid.IntRange(0, 30).Draw(t, "pause") == 0 {
				pausedUntil[i] = s.now + time.Duration(rapid.IntRange(1, 30).Draw(t, "pause in s"))*time.Second
			}
			undelivered := replies[:0]
			for _, r := range replies {
				if r.deliverAt > s.now || pausedUntil[r.holder] > s.now {
					undelivered = append(undelivered, r)
					continue
				}
				holders[r.holder].HandleReply(s.now, r.reply)
			}
			replies = undelivered
			if pausedUntil[i] <= s.now {
				if c, ok := h.NextCall(s.now); ok {
					reply := store.Reply{Status: store.StatusUnknown}
					if outcome := rapid.IntRange(0, 9).Draw(t, "fate"); outcome > 0 {
						answer := s.execute(c)
						if outcome > 1 {
							reply = answer
						}
					}
					delay := time.Duration(rapid.IntRange(0, 1500).Draw(t, "late"))
					replies = append(replies, delayedReply{i, s.now + delay*time.Millisecond, reply})
				}
			}
			holding := 0
			for j, h := range holders {
				fence, ok := h.FenceIfHeld(s.now, 0)
				if !ok {
					continue
				}
				holding++
				if other, seen := holderByFence[fence]; seen && other != j {
					t.Fatalf("fence %d at %d and %d", fence, other, j)
				}
				if fence < highestFence {
					t.Fatalf("fence %d after %d", fence, highestFence)
				}
				holderByFence[fence], highestFence = j, fence
			}
			if holding > 1 {
				t.Fatalf("%d holders", holding)
			}
		}
	})
}

// runCalls executes the calls of a holder, without advancing the clock, until
// none is due.
func runCalls(s *fakeStore, h *Holder) {
	for {
		call, ok := h.NextCall(s.now)
		if !ok {
			return
		}
		h.HandleReply(s.now, s.execute(call))
	}
}

// The fence must rise with each handover, and exceed the highest fence that a target
// has seen.
func TestHandoverAndTokenAboveHighestSeenByTargets(t *testing.T) {
	s := newFakeStore()
	a, b := New(Options{KeyPrefix: "k", Name: "a"}), New(Options{KeyPrefix: "k", Name: "b"})
	runCalls(s, a)
	fence, ok := a.FenceIfHeld(s.now, 0)
	must.True(t, ok)
	must.Eq(t, 1, fence)
	runCalls(s, b)
	must.True(t, b.Idle())
	a.Release(s.now)
	_, ok = a.FenceIfHeld(s.now, 0)
	must.False(t, ok)
	runCalls(s, a)
	s.advance(DefaultTTL)
	runCalls(s, b)
	fence, ok = b.FenceIfHeld(s.now, 0)
	must.True(t, ok)
	must.Eq(t, 2, fence)
	must.Eq(t, "a", b.PreviousRecord().Holder)
	b.ObserveFence(s.now, 7)
	runCalls(s, b)
	s.advance(DefaultTTL)
	runCalls(s, b)
	fence, _ = b.FenceIfHeld(s.now, 0)
	must.Eq(t, 8, fence)
}

// Failure: a lease that is released while a renewal is under way is not revoked, since
// the reply to the renewal is taken for that to the revocation. Nobody can hold it until
// its time to live is over.
func TestReleaseDuringARenewalRevokesTheLease(t *testing.T) {
	s := newFakeStore()
	a, b := New(Options{KeyPrefix: "k", Name: "a"}), New(Options{KeyPrefix: "k", Name: "b"})
	runCalls(s, a)
	s.advance(DefaultTTL / renewalsPerTTL)
	renewal, ok := a.NextCall(s.now)
	must.True(t, ok)
	must.Eq(t, store.OpLeaseRenew, renewal.Op)
	a.Release(s.now)
	a.HandleReply(s.now, s.execute(renewal))
	must.False(t, a.Idle())
	runCalls(s, a)
	must.True(t, a.Idle())
	runCalls(s, b)
	_, ok = b.FenceIfHeld(s.now, 0)
	must.True(t, ok)
}

func TestHeldIsFalseAtEndOfValidityAndWithoutEnoughTimeLeft(t *testing.T) {
	s := newFakeStore()
	h := New(Options{KeyPrefix: "k", Name: "a"})
	runCalls(s, h)
	_, ok := h.FenceIfHeld(DefaultTTL-DefaultSafetyMargin, 0)
	must.False(t, ok)
	_, ok = h.FenceIfHeld(time.Second, DefaultTTL)
	must.False(t, ok, must.Sprint("not long enough for an order"))
}
