package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of ClientOptions.
const (
	DefaultCallsPerSecond   = 100
	DefaultBurst            = 50
	DefaultDeadline         = time.Second
	DefaultBreakerThreshold = 5
	DefaultCooldown         = 250 * time.Millisecond
	DefaultMaxCooldown      = 5 * time.Second
)

const (
	maxAttempts      = 3
	initialBackoff   = 20 * time.Millisecond
	watchReplyMargin = time.Second // time for the reply to a watch after its wait has ended
	counterCalls     = "store_calls"
)

// Counter counts calls; the reason of a count is "op/status".
type Counter interface {
	Add(counter, reason string)
}

// ClientOptions limit the calls of one process; zero values take the defaults.
type ClientOptions struct {
	// CallsPerSecond and Burst limit the rate of all calls; a watch that waits
	// counts as one.
	CallsPerSecond float64
	Burst          int
	// Deadline bounds a call without a budget of its own.
	Deadline time.Duration
	// BreakerThreshold is the number of consecutive failed calls (StatusUnknown or
	// StatusRefused) after which the circuit breaker opens. It lets a single
	// probe through after Cooldown. The cooldown is jittered and doubles, up to
	// MaxCooldown, while probes fail.
	BreakerThreshold int
	Cooldown         time.Duration
	MaxCooldown      time.Duration
	Counter          Counter
	Seed             uint64
}

// Client wraps a Store with a deadline, a rate limit, jittered backoff for
// calls that are safe to repeat, a circuit breaker and metrics. All calls of a
// process go through it. It is safe for concurrent use.
type Client struct {
	store   Store
	opts    ClientOptions
	limiter *rate.Limiter

	mu      sync.Mutex
	rng     *rand.Rand
	breaker breaker
}

// NewClient returns a rate-limited client of store.
func NewClient(store Store, opts ClientOptions) *Client {
	setDefault(&opts.CallsPerSecond, DefaultCallsPerSecond)
	setDefault(&opts.Burst, DefaultBurst)
	setDefault(&opts.Deadline, DefaultDeadline)
	setDefault(&opts.BreakerThreshold, DefaultBreakerThreshold)
	setDefault(&opts.Cooldown, DefaultCooldown)
	setDefault(&opts.MaxCooldown, DefaultMaxCooldown)
	return &Client{
		store: store, opts: opts,
		limiter: rate.NewLimiter(rate.Limit(opts.CallsPerSecond), opts.Burst),
		rng:     rand.New(rand.NewPCG(opts.Seed, 2)),
		breaker: breaker{failureThreshold: opts.BreakerThreshold, initialCooldown: opts.Cooldown, maxCooldown: opts.MaxCooldown},
	}
}

// setDefault sets a zero value to its default.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Do implements Store. StatusUnsent means that nothing left this process.
func (c *Client) Do(ctx context.Context, call Call) Reply {
	start := time.Now()
	budget := c.opts.Deadline
	if call.Budget > 0 {
		budget = call.Budget
	}
	if call.Op == OpWatch {
		call.Budget = budget
		budget += watchReplyMargin
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	reply := c.doWithRetries(ctx, call)
	reply.Took = time.Since(start)
	return reply
}

// doWithRetries carries out a call and repeats a retryable one with backoff, up
// to maxAttempts attempts in all.
func (c *Client) doWithRetries(ctx context.Context, call Call) Reply {
	for attempt := 1; ; attempt++ {
		reply := c.doOnce(ctx, call)
		if c.opts.Counter != nil {
			c.opts.Counter.Add(counterCalls, string(call.Op)+"/"+string(reply.Status))
		}
		if attempt == maxAttempts || !isRetryable(call.Op, reply.Status) || !c.waitBackoff(ctx, attempt) {
			return reply
		}
	}
}

// doOnce carries out a call if the circuit breaker and the rate limit admit it.
func (c *Client) doOnce(ctx context.Context, call Call) Reply {
	if !c.allowCall() {
		return Reply{Status: StatusUnsent}
	}
	if err := c.limiter.Wait(ctx); err != nil {
		c.recordStatus(StatusUnsent)
		return Reply{Status: StatusUnsent}
	}
	reply := c.store.Do(ctx, call)
	c.recordStatus(reply.Status)
	return reply
}

// isRetryable reports whether a call with this outcome may be repeated without
// the caller's decision: a read without an answer, and any call that the store
// refused except a watch.
func isRetryable(op Op, status Status) bool {
	switch op {
	case OpGet, OpRange, OpInstances:
		return status == StatusUnknown || status == StatusRefused
	case OpCAS, OpDelete, OpLeaseGrant, OpLeaseRenew, OpLeaseRevoke:
		return status == StatusRefused
	case OpWatch:
	}
	return false
}

// waitBackoff waits for a random time whose bound doubles with each attempt; it
// returns false if ctx ended.
func (c *Client) waitBackoff(ctx context.Context, attempt int) bool {
	c.mu.Lock()
	wait := time.Duration(c.rng.Int64N(int64(initialBackoff) << attempt))
	c.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// allowCall reports whether the circuit breaker admits a call.
func (c *Client) allowCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.allow(time.Now())
}

// recordStatus reports the outcome of an admitted call to the circuit breaker.
func (c *Client) recordStatus(status Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.recordStatus(status, time.Now(), c.rng)
}

// breaker is a circuit breaker: it blocks calls after consecutive failures and
// then admits single probes.
type breaker struct {
	failureThreshold int
	initialCooldown  time.Duration
	maxCooldown      time.Duration
	failures         int
	cooldown         time.Duration
	openUntil        time.Time
	probing          bool
}

// allow reports whether a call may start now. While the breaker is open, it
// admits one probe at a time.
func (b *breaker) allow(now time.Time) bool {
	if b.failures < b.failureThreshold {
		return true
	}
	if b.probing || now.Before(b.openUntil) {
		return false
	}
	b.probing = true
	return true
}

// recordStatus records the outcome of an admitted call. StatusUnknown and
// StatusRefused are failures: enough of them in a row open the breaker, and a
// failed probe doubles the cooldown. StatusUnsent counts neither way; any other
// status closes the breaker.
func (b *breaker) recordStatus(status Status, now time.Time, rng *rand.Rand) {
	probe := b.probing
	b.probing = false
	switch status {
	case StatusOK, StatusConflict, StatusNotFound:
		b.failures, b.cooldown = 0, 0
		return
	case StatusUnsent:
		return
	case StatusUnknown, StatusRefused:
	}
	b.failures++
	if b.failures < b.failureThreshold || !probe && now.Before(b.openUntil) {
		return
	}
	b.cooldown = min(max(b.initialCooldown, 2*b.cooldown), b.maxCooldown)
	b.openUntil = now.Add(b.cooldown/2 + time.Duration(rng.Int64N(int64(b.cooldown))))
}
