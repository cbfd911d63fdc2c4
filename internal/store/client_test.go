package store

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// scriptedStore answers each call with the next status; the last one repeats.
type scriptedStore struct {
	statuses []Status
	calls    int
}

func (s *scriptedStore) Do(context.Context, Call) Reply {
	status := s.statuses[min(s.calls, len(s.statuses)-1)]
	s.calls++
	return Reply{Status: status}
}

func TestClientRetriesOnlySafeCalls(t *testing.T) {
	for _, tc := range []struct {
		name   string
		op     Op
		script []Status
		calls  int
		want   Status
	}{
		{"read without answer", OpGet, []Status{StatusUnknown, StatusOK}, 2, StatusOK},
		{"write without answer", OpCAS, []Status{StatusUnknown, StatusOK}, 1, StatusUnknown},
		{"write refused", OpCAS, []Status{StatusRefused, StatusOK}, 2, StatusOK},
		{"conflict", OpCAS, []Status{StatusConflict}, 1, StatusConflict},
		{"watch without answer", OpWatch, []Status{StatusUnknown}, 1, StatusUnknown},
		{"read never answered", OpGet, []Status{StatusUnknown}, maxAttempts, StatusUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &scriptedStore{statuses: tc.script}
			c := NewClient(s, ClientOptions{BreakerThreshold: 100})
			must.Eq(t, tc.want, c.Do(context.Background(), Call{Op: tc.op}).Status)
			must.Eq(t, tc.calls, s.calls)
		})
	}
}

func TestClientStaysWithinItsRateBudget(t *testing.T) {
	s := &scriptedStore{statuses: []Status{StatusOK}}
	c := NewClient(s, ClientOptions{CallsPerSecond: 0.001, Burst: 3})
	unsent := 0
	for range 10 {
		if c.Do(context.Background(), Call{Op: OpGet}).Status == StatusUnsent {
			unsent++
		}
	}
	must.Eq(t, 3, s.calls)
	must.Eq(t, 7, unsent)
}

func TestBreakerAdmitsSingleProbesAndDoublesCooldown(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := breaker{failureThreshold: 2, initialCooldown: time.Second, maxCooldown: 4 * time.Second}
	now := time.Unix(1000, 0)
	for range 2 {
		must.True(t, b.allow(now))
		b.recordStatus(StatusUnknown, now, rng)
	}
	must.False(t, b.allow(now))
	for _, cooldown := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		must.Eq(t, cooldown, b.cooldown)
		must.False(t, b.allow(now.Add(cooldown/2-1)))
		now = now.Add(2 * cooldown)
		must.True(t, b.allow(now))
		must.False(t, b.allow(now)) // one probe at a time
		b.recordStatus(StatusUnknown, now, rng)
	}
	now = now.Add(time.Minute)
	must.True(t, b.allow(now))
	b.recordStatus(StatusOK, now, rng)
	must.True(t, b.allow(now))
	must.True(t, b.allow(now))
}
