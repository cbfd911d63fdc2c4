package platform

import (
	"context"
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// watch waits for changes below a prefix after a revision, at most for the
// call's budget.
func (s *Service) watch(ctx context.Context, call store.Call) store.Reply {
	ctx, cancel := context.WithTimeout(ctx, call.Budget)
	defer cancel()
	for {
		reply, changed, expiry := s.changes(call)
		if reply.Status != store.StatusOK || len(reply.KVs) > 0 {
			return reply
		}
		timer := time.NewTimer(expiry)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return reply
		}
		timer.Stop()
	}
}

// changes returns what changed, the channel of the next change and the time
// until the next lease may end.
func (s *Service) changes(call store.Call) (store.Reply, <-chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if call.Revision < s.compacted || call.Revision > s.revision {
		return store.Reply{Status: store.StatusNotFound, Revision: s.revision}, nil, 0
	}
	reply := store.Reply{Status: store.StatusOK, Revision: s.revision}
	for _, kv := range s.history {
		if kv.Revision > call.Revision && strings.HasPrefix(kv.Key, call.Key) {
			reply.KVs = append(reply.KVs, kv)
		}
	}
	expiry := time.Hour
	now := s.opts.Now()
	for _, l := range s.leases {
		expiry = min(expiry, l.expires.Sub(now))
	}
	return reply, s.changed, max(expiry, time.Millisecond)
}
