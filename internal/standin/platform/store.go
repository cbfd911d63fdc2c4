// Package platform is a stand-in for the platform's key-value service:
// compare-and-swap on revisions, leases, watches, a lagging list of instances,
// counters of every call, and faults on command. docs/PLATFORM.md documents
// its semantics.
package platform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Sizes of the stand-in.
const (
	pageKeys       = 100   // keys in one page of a range
	pageBytes      = 4e6   // bytes in one page of a range
	historyEntries = 10000 // changes that a watch can go back
)

// Options of the stand-in.
type Options struct {
	// WritesPerSecond and ReadsPerSecond are the rates beyond which calls are
	// refused; zero means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// InstanceLag is how late changes of the list of instances show.
	InstanceLag time.Duration
	// Seed makes the random faults.
	Seed uint64
	// Now is the clock of leases and lag; nil takes the system's.
	Now func() time.Time
}

// Service is the stand-in's state. It is safe for concurrent use.
type Service struct {
	opts   Options
	writes *rate.Limiter
	reads  *rate.Limiter

	mu        sync.Mutex
	revision  int64
	keys      map[string]record
	history   []store.KV // changes in the order of their revisions
	compacted int64      // changes up to this revision left the history
	leases    map[int64]lease
	nextLease int64
	instances []listing
	changed   chan struct{} // closed and replaced at each change
	calls     map[string]map[store.Op]int
	snapshot  *snapshot
	faults    faultState
}

type record struct {
	kv    store.KV
	lease int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type listing struct {
	at        time.Time
	instances []store.Instance
}

type snapshot struct {
	revision int64
	keys     map[string]record
}

// New returns an empty stand-in.
func New(opts Options) *Service {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Service{
		opts: opts, writes: limiter(opts.WritesPerSecond), reads: limiter(opts.ReadsPerSecond),
		keys: make(map[string]record), leases: make(map[int64]lease),
		changed: make(chan struct{}), calls: make(map[string]map[store.Op]int),
	}
	s.faults.seed(opts.Seed)
	return s
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/4)))
}

// admit counts a call and reports whether the rates allow it.
func (s *Service) admit(caller string, op store.Op) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[caller] == nil {
		s.calls[caller] = make(map[store.Op]int)
	}
	s.calls[caller][op]++
	now := s.opts.Now()
	if isWrite(op) {
		return s.writes.AllowN(now, 1)
	}
	return s.reads.AllowN(now, 1)
}

func isWrite(op store.Op) bool {
	switch op {
	case store.OpCAS, store.OpDelete, store.OpLeaseGrant, store.OpLeaseRenew, store.OpLeaseRevoke:
		return true
	case store.OpGet, store.OpRange, store.OpWatch, store.OpInstances:
	}
	return false
}

// Calls returns the number of calls by caller and kind since the start.
func (s *Service) Calls() map[string]map[store.Op]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]map[store.Op]int, len(s.calls))
	for caller, ops := range s.calls {
		out[caller] = make(map[store.Op]int, len(ops))
		for op, n := range ops {
			out[caller][op] = n
		}
	}
	return out
}

// apply carries out any call but a watch.
func (s *Service) apply(call store.Call) store.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch call.Op {
	case store.OpGet:
		return s.get(call.Key)
	case store.OpRange:
		return s.list(call)
	case store.OpCAS:
		return s.swap(call)
	case store.OpDelete:
		return s.remove(call)
	case store.OpLeaseGrant:
		s.nextLease++
		s.leases[s.nextLease] = lease{ttl: call.TTL, expires: s.opts.Now().Add(call.TTL)}
		return store.Reply{Status: store.StatusOK, Lease: s.nextLease, TTL: call.TTL}
	case store.OpLeaseRenew:
		l, ok := s.leases[call.Lease]
		if !ok {
			return store.Reply{Status: store.StatusNotFound}
		}
		l.expires = s.opts.Now().Add(l.ttl)
		s.leases[call.Lease] = l
		return store.Reply{Status: store.StatusOK, Lease: call.Lease, TTL: l.ttl}
	case store.OpLeaseRevoke:
		if _, ok := s.leases[call.Lease]; !ok {
			return store.Reply{Status: store.StatusNotFound}
		}
		s.endLease(call.Lease)
		return store.Reply{Status: store.StatusOK, Lease: call.Lease}
	case store.OpInstances:
		return store.Reply{Status: store.StatusOK, Revision: s.revision, Instances: s.listed()}
	case store.OpWatch:
	}
	return store.Reply{Status: store.StatusRefused}
}

func (s *Service) get(key string) store.Reply {
	rec, ok := s.keys[key]
	if !ok {
		return store.Reply{Status: store.StatusNotFound, Revision: s.revision}
	}
	return store.Reply{Status: store.StatusOK, KVs: []store.KV{rec.kv}, Revision: rec.kv.Revision}
}

// list returns one page of keys with the prefix, those after call.After.
func (s *Service) list(call store.Call) store.Reply {
	var names []string
	for name := range s.keys {
		if strings.HasPrefix(name, call.Key) && name > call.After {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	reply := store.Reply{Status: store.StatusOK, Revision: s.revision}
	size := 0
	for _, name := range names {
		kv := s.keys[name].kv
		if len(reply.KVs) > 0 && (len(reply.KVs) == pageKeys || size+len(kv.Value) > pageBytes) {
			reply.More = true
			break
		}
		size += len(kv.Value)
		reply.KVs = append(reply.KVs, kv)
	}
	return reply
}

func (s *Service) swap(call store.Call) store.Reply {
	old := s.keys[call.Key]
	if old.kv.Revision != call.Revision {
		return store.Reply{Status: store.StatusConflict, Revision: old.kv.Revision}
	}
	if len(call.Value) > store.MaxValueBytes {
		return store.Reply{Status: store.StatusRefused, Revision: old.kv.Revision}
	}
	if _, ok := s.leases[call.Lease]; call.Lease != 0 && !ok {
		return store.Reply{Status: store.StatusNotFound}
	}
	s.revision++
	kv := store.KV{Key: call.Key, Value: slices.Clone(call.Value), Revision: s.revision}
	s.keys[call.Key] = record{kv: kv, lease: call.Lease}
	s.changedLocked(kv)
	return store.Reply{Status: store.StatusOK, Revision: s.revision}
}

func (s *Service) remove(call store.Call) store.Reply {
	old, ok := s.keys[call.Key]
	if !ok {
		return store.Reply{Status: store.StatusNotFound, Revision: s.revision}
	}
	if old.kv.Revision != call.Revision {
		return store.Reply{Status: store.StatusConflict, Revision: old.kv.Revision}
	}
	s.removeLocked(call.Key)
	return store.Reply{Status: store.StatusOK, Revision: s.revision}
}

func (s *Service) removeLocked(key string) {
	delete(s.keys, key)
	s.revision++
	s.changedLocked(store.KV{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Service) changedLocked(kv store.KV) {
	s.history = append(s.history, kv)
	if drop := len(s.history) - historyEntries; drop > 0 {
		s.compacted = s.history[drop-1].Revision
		s.history = slices.Delete(s.history, 0, drop)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time has passed.
func (s *Service) expire() {
	now := s.opts.Now()
	var ended []int64
	for id, l := range s.leases {
		if !l.expires.After(now) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		s.endLease(id)
	}
}

func (s *Service) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, rec := range s.keys {
		if rec.lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.removeLocked(key)
	}
}

// SetInstances changes the list of instances; the change shows after the lag.
func (s *Service) SetInstances(instances []store.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, listing{at: s.opts.Now(), instances: slices.Clone(instances)})
}

func (s *Service) listed() []store.Instance {
	visible := s.opts.Now().Add(-s.opts.InstanceLag)
	last := 0
	for i, l := range s.instances {
		if !l.at.After(visible) {
			last = i
		}
	}
	s.instances = s.instances[min(last, len(s.instances)):]
	if len(s.instances) == 0 || s.instances[0].at.After(visible) {
		return nil
	}
	return slices.Clone(s.instances[0].instances)
}
