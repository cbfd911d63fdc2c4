package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/medlardeck/medlardeck/internal/dev"
)

// Traffic of a soak, in engine time.
const (
	completionsPerSecond = 12
	bookingsPerSecond    = 6
	lookupsPerSecond     = 4
	crashesPerSecond     = 1
)

// traffic is the load on the deployment until it is stopped.
type traffic struct {
	*soak
	client *http.Client
	ctx    context.Context
	quit   chan struct{}
	wg     sync.WaitGroup
}

// startTraffic starts open-loop arrivals of each kind.
func (s *soak) startTraffic(ctx context.Context) *traffic {
	t := &traffic{
		soak: s, ctx: ctx, quit: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}},
	}
	t.arrivals(1, completionsPerSecond, t.completion)
	t.arrivals(2, bookingsPerSecond, t.booking)
	t.arrivals(3, lookupsPerSecond, t.lookup)
	t.arrivals(4, crashesPerSecond, t.crash)
	return t
}

// arrivals calls fn at random times, rate times a second on average, each call
// in a goroutine of its own with a source of its own.
func (t *traffic) arrivals(stream uint64, rate float64, fn func(rng *rand.Rand, n int)) {
	t.wg.Go(func() {
		rng := rand.New(rand.NewPCG(t.opts.Seed, stream))
		next := time.Now()
		for n := 0; ; n++ {
			next = next.Add(t.wall(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))))
			own := rand.New(rand.NewPCG(t.opts.Seed, rng.Uint64()))
			timer := time.NewTimer(time.Until(next))
			select {
			case <-t.quit:
				timer.Stop()
				return
			case <-timer.C:
			}
			t.wg.Go(func() { fn(own, n) })
		}
	})
}

// stop ends the arrivals and waits for the last answer.
func (t *traffic) stop() {
	close(t.quit)
	t.wg.Wait()
	t.client.CloseIdleConnections()
}

// pick returns the entry instance that the balancer chooses.
func (t *traffic) pick(rng *rand.Rand) int {
	i := rng.IntN(dev.Entries)
	for range dev.Entries {
		if !t.lost[i].Load() {
			break
		}
		i = (i + 1) % dev.Entries
	}
	return i
}

// diedBetween reports whether an entry instance was away at some time while a
// request was under way there.
func (s *soak) diedBetween(i int, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.deaths[i] {
		if o.from.Before(to) && (o.until.IsZero() || from.Before(o.until)) {
			return true
		}
	}
	return false
}

// dropped handles a connection that broke. It may break when the instance
// died, and when an answer that had begun could not be ended in its limit.
func (t *traffic) dropped(what string, i int, from time.Time, limit time.Duration, err error) {
	now := time.Now()
	switch {
	case t.diedBetween(i, from, now):
		t.mu.Lock()
		defer t.mu.Unlock()
		t.report.Dropped++
	case t.engineTime(now.Sub(from)) >= limit:
		t.late("%s at entry %d was cut at its limit: %v", what, i, err)
	default:
		t.violate("%s at entry %d broke though the entry lived: %v", what, i, err)
	}
}

// onTime checks the end of a request against its limit.
func (t *traffic) onTime(what string, from time.Time, limit time.Duration) {
	if took := t.engineTime(time.Since(from)); took > limit+grace {
		t.late("%s ended after %v, its limit is %v", what, took.Round(time.Millisecond), limit)
	}
}

// grace is how far past its limit a caller may see the end of a request: the
// last bytes have to reach it.
const grace = time.Second

func (t *traffic) request(method, url string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(t.ctx, method, url, nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+dev.DevelopmentKey("museum"))
	return req, nil
}
