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

// init fixes the seed of random tests; the flag on the command line wins.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// fakeStore is a key-value store on the virtual clock of a test.
type fakeStore struct {
	now    time.Duration
	rev    int64
	kvs    map[string]store.KV
	leases map[int64]time.Duration // end of each
	owner  map[string]int64
	ttls   map[int64]time.Duration
}

func newStore() *fakeStore {
	return &fakeStore{
		kvs: map[string]store.KV{}, leases: map[int64]time.Duration{},
		owner: map[string]int64{}, ttls: map[int64]time.Duration{},
	}
}

func (s *fakeStore) advance(d time.Duration) {
	s.now += d
	for id, end := range s.leases {
		if end <= s.now {
			s.drop(id)
		}
	}
}

func (s *fakeStore) drop(id int64) {
	delete(s.leases, id)
	for key, owner := range s.owner {
		if owner == id {
			s.rev++
			delete(s.kvs, key)
			delete(s.owner, key)
		}
	}
}

func (s *fakeStore) do(c store.Call) store.Reply {
	switch c.Op {
	case store.OpRange:
		r := store.Reply{Status: store.StatusOK}
		for _, kv := range s.kvs {
			r.KVs = append(r.KVs, kv)
		}
		return r
	case store.OpGet:
		if kv, ok := s.kvs[c.Key]; ok {
			return store.Reply{Status: store.StatusOK, KVs: []store.KV{kv}}
		}
		return store.Reply{Status: store.StatusNotFound}
	case store.OpLeaseGrant:
		s.rev++
		s.leases[s.rev], s.ttls[s.rev] = s.now+c.TTL, c.TTL
		return store.Reply{Status: store.StatusOK, Lease: s.rev, TTL: c.TTL}
	case store.OpLeaseRenew:
		if _, ok := s.leases[c.Lease]; !ok {
			return store.Reply{Status: store.StatusNotFound}
		}
		s.leases[c.Lease] = s.now + s.ttls[c.Lease]
	case store.OpLeaseRevoke:
		s.drop(c.Lease)
	case store.OpCAS:
		if s.kvs[c.Key].Revision != c.Revision {
			return store.Reply{Status: store.StatusConflict}
		}
		if _, ok := s.leases[c.Lease]; c.Lease != 0 && !ok {
			return store.Reply{Status: store.StatusNotFound}
		}
		s.rev++
		s.kvs[c.Key] = store.KV{Key: c.Key, Value: c.Value, Revision: s.rev}
		if c.Lease != 0 {
			s.owner[c.Key] = c.Lease
		}
		return store.Reply{Status: store.StatusOK, Revision: s.rev}
	case store.OpDelete, store.OpWatch, store.OpInstances:
	}
	return store.Reply{Status: store.StatusOK}
}

// Holders are paused, calls are lost before or after they took effect, replies
// come late: at no time do two hold, and fencing numbers only rise.
func TestOneHolderWithRisingFence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		type inflight struct {
			to    int
			at    time.Duration
			reply store.Reply
		}
		holders := make([]*Holder, 3)
		paused := make([]time.Duration, len(holders))
		for i := range holders {
			holders[i] = New(Options{Key: "orders/a", Name: fmt.Sprintf("n%d", i)})
		}
		var replies []inflight
		fences := map[uint64]int{}
		highest := uint64(0)
		for range 400 {
			s.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "who")
			h := holders[i]
			if rapid.IntRange(0, 30).Draw(t, "pause") == 0 {
				paused[i] = s.now + time.Duration(rapid.IntRange(1, 30).Draw(t, "pause in s"))*time.Second
			}
			kept := replies[:0]
			for _, r := range replies {
				if r.at > s.now || paused[r.to] > s.now {
					kept = append(kept, r)
					continue
				}
				holders[r.to].Replied(s.now, r.reply)
			}
			replies = kept
			if paused[i] <= s.now {
				if c, ok := h.Next(s.now); ok {
					reply := store.Reply{Status: store.StatusUnknown}
					if fate := rapid.IntRange(0, 9).Draw(t, "fate"); fate > 0 {
						answer := s.do(c)
						if fate > 1 {
							reply = answer
						}
					}
					late := time.Duration(rapid.IntRange(0, 1500).Draw(t, "late"))
					replies = append(replies, inflight{i, s.now + late*time.Millisecond, reply})
				}
			}
			holding := 0
			for j, h := range holders {
				fence, ok := h.Held(s.now, 0)
				if !ok {
					continue
				}
				holding++
				if by, seen := fences[fence]; seen && by != j {
					t.Fatalf("fence %d at %d and %d", fence, by, j)
				}
				if fence < highest {
					t.Fatalf("fence %d after %d", fence, highest)
				}
				fences[fence], highest = j, fence
			}
			if holding > 1 {
				t.Fatalf("%d holders", holding)
			}
		}
	})
}

// drive lets a holder make its calls at one time until it has none.
func drive(s *fakeStore, h *Holder) {
	for {
		c, ok := h.Next(s.now)
		if !ok {
			return
		}
		h.Replied(s.now, s.do(c))
	}
}

func TestHandOverAndFenceAboveWhatTargetsSaw(t *testing.T) {
	s := newStore()
	a, b := New(Options{Key: "k", Name: "a"}), New(Options{Key: "k", Name: "b"})
	drive(s, a)
	fence, ok := a.Held(s.now, 0)
	must.True(t, ok)
	must.Eq(t, 1, fence)
	drive(s, b)
	must.True(t, b.Idle())
	a.Release(s.now)
	_, ok = a.Held(s.now, 0)
	must.False(t, ok)
	drive(s, a)
	s.advance(DefaultTTL)
	drive(s, b)
	fence, ok = b.Held(s.now, 0)
	must.True(t, ok)
	must.Eq(t, 2, fence)
	must.Eq(t, "a", b.Previous().Holder)
	b.Outran(s.now, 7)
	drive(s, b)
	s.advance(DefaultTTL)
	drive(s, b)
	fence, _ = b.Held(s.now, 0)
	must.Eq(t, 8, fence)
}

func TestAPausedHolderKnowsThatItsTimeIsOver(t *testing.T) {
	s := newStore()
	h := New(Options{Key: "k", Name: "a"})
	drive(s, h)
	_, ok := h.Held(DefaultTTL-DefaultMargin, 0)
	must.False(t, ok)
	_, ok = h.Held(time.Second, DefaultTTL)
	must.False(t, ok, must.Sprint("not long enough for an order"))
}
