package drainconn

import (
	"sync"
	"time"
)

// Limits bound what callers may send and how long they may take. All are above zero.
type Limits struct {
	// HeadBytes bounds the head of a request.
	HeadBytes int
	// HeadTime is how long a head may take from its first byte on.
	HeadTime time.Duration
	// IdleTime is how long a connection may wait for the first byte of a request.
	IdleTime time.Duration
}

// LimitSource holds the limits in force at any number of listeners. A head is bound by the
// limits as of its first byte.
type LimitSource struct {
	// grace is how long callers may still rely on a longer IdleTime.
	grace time.Duration

	mu     sync.Mutex
	limits Limits
	// formerIdleTime holds besides limits.IdleTime until formerUntil.
	formerIdleTime time.Duration
	formerUntil    time.Time
	listeners      []*Listener
}

// NewLimitSource returns a LimitSource. After IdleTime has been lowered, connections may
// wait within the former time for grace, so that their callers learn of the change.
func NewLimitSource(limits Limits, grace time.Duration) *LimitSource {
	return &LimitSource{limits: limits, grace: grace}
}

// Set changes the limits. The time of connections that wait for a request changes too.
func (s *LimitSource) Set(limits Limits) {
	s.mu.Lock()
	if limits == s.limits {
		s.mu.Unlock()
		return
	}
	s.formerIdleTime, s.formerUntil = s.limits.IdleTime, time.Now().Add(s.grace)
	s.limits = limits
	listeners := s.listeners
	s.mu.Unlock()
	for _, l := range listeners {
		l.applyLimits()
	}
}

func (s *LimitSource) add(l *Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
}

func (s *LimitSource) current() Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits
}

// waitUntil returns until when a connection may wait that has begun to wait at since. It is
// zero without limits.
func (s *LimitSource) waitUntil(since time.Time) time.Time {
	if s == nil {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return later(since.Add(s.limits.IdleTime), earlier(since.Add(s.formerIdleTime), s.formerUntil))
}

// changedWaitUntil is waitUntil after a change of the limits, for a connection that could
// wait until the given time before.
func (s *LimitSource) changedWaitUntil(since, until time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return later(since.Add(s.limits.IdleTime), earlier(until, s.formerUntil))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
