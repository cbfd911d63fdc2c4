package platform

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Faults are what goes wrong until the next change. The zero value is a
// healthy service.
type Faults struct {
	// Outage drops each connection without carrying out the call.
	Outage bool `json:"outage,omitempty"`
	// Cut names callers whose connections are dropped.
	Cut []string `json:"cut,omitempty"`
	// Latency delays each call by a random time up to it.
	Latency time.Duration `json:"latency,omitempty"`
	// LostAnswers is the share of writes that are carried out and whose
	// connection then breaks before the answer.
	LostAnswers float64 `json:"lost_answers,omitempty"`
	// Refusals is the share of calls that are refused without being carried out.
	Refusals float64 `json:"refusals,omitempty"`
	// Prefix limits the faults to keys below it; empty is every call.
	Prefix string `json:"prefix,omitempty"`
}

type faultState struct {
	mu  sync.Mutex
	now Faults
	rng *rand.Rand
}

func (f *faultState) seed(seed uint64) { f.rng = rand.New(rand.NewPCG(seed, 1)) }

// verdict says what happens to one call.
type verdict struct {
	drop, refuse, lose bool
	delay              time.Duration
}

func (f *faultState) judge(caller string, call store.Call) verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !strings.HasPrefix(call.Key, f.now.Prefix) {
		return verdict{}
	}
	v := verdict{drop: f.now.Outage}
	for _, c := range f.now.Cut {
		v.drop = v.drop || c == caller
	}
	v.lose = isWrite(call.Op) && f.rng.Float64() < f.now.LostAnswers
	v.refuse = f.rng.Float64() < f.now.Refusals
	if f.now.Latency > 0 {
		v.delay = time.Duration(f.rng.Int64N(int64(f.now.Latency)))
	}
	return v
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.now = f
}

// Snapshot keeps the present data for Restore.
func (s *Service) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = &snapshot{revision: s.revision, keys: maps.Clone(s.keys)}
}

// Restore goes back to the data of the last Snapshot, as a restore from a
// backup does: revisions go back too. It reports whether there was one.
func (s *Service) Restore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return false
	}
	s.revision, s.keys = s.snapshot.revision, maps.Clone(s.snapshot.keys)
	s.history, s.compacted = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// Local returns a store that calls the stand-in without a socket, with the
// same counters, rates and faults.
func (s *Service) Local(caller string) store.Store { return local{s: s, caller: caller} }

type local struct {
	s      *Service
	caller string
}

// Do implements store.Store.
func (l local) Do(ctx context.Context, call store.Call) store.Reply {
	reply, answered := l.s.do(ctx, l.caller, call)
	if !answered {
		return store.Reply{Status: store.StatusUnknown}
	}
	return reply
}

// do carries out a call with its faults; answered is false when the
// connection breaks in place of the answer.
func (s *Service) do(ctx context.Context, caller string, call store.Call) (reply store.Reply, answered bool) {
	admitted := s.admit(caller, call.Op)
	v := s.faults.judge(caller, call)
	if v.drop {
		return store.Reply{}, false
	}
	if v.delay > 0 {
		timer := time.NewTimer(v.delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return store.Reply{}, false
		}
	}
	if !admitted || v.refuse {
		return store.Reply{Status: store.StatusRefused}, true
	}
	if call.Op == store.OpWatch {
		return s.watch(ctx, call), true
	}
	reply = s.apply(call)
	return reply, !v.lose
}
