package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of the budgeted client.
const (
	DefaultCallsPerSecond = 100
	DefaultBurst          = 50
	DefaultDeadline       = time.Second
	DefaultBreakerAfter   = 5
	DefaultCooldown       = 250 * time.Millisecond
	DefaultMaxCooldown    = 5 * time.Second
)

const (
	maxTries     = 3
	backoffBase  = 20 * time.Millisecond
	watchMargin  = time.Second // a watch may answer this much after its wait
	counterCalls = "store_calls"
)

// Counter takes counts of calls under a reason "kind/outcome".
type Counter interface {
	Add(counter, reason string)
}

// ClientOptions are the budget of one process's calls; zero values take the
// defaults.
type ClientOptions struct {
	// CallsPerSecond and Burst bound all calls; a waiting watch counts as one.
	CallsPerSecond float64
	Burst          int
	// Deadline bounds a call that names no budget of its own.
	Deadline time.Duration
	// BreakerAfter is how many calls in a row may end without an answer before
	// the breaker opens. It lets one call through after Cooldown, which
	// doubles, jittered, up to MaxCooldown while that call fails too.
	BreakerAfter int
	Cooldown     time.Duration
	MaxCooldown  time.Duration
	Counter      Counter
	Seed         uint64
}

// Client is the one way to the store: it adds a deadline, a rate budget,
// jittered backoff for calls that are safe to repeat, a breaker and metrics.
// It is safe for concurrent use.
type Client struct {
	store   Store
	opts    ClientOptions
	limiter *rate.Limiter

	mu      sync.Mutex
	rng     *rand.Rand
	breaker breaker
}

// NewClient returns a budgeted client of store.
func NewClient(store Store, opts ClientOptions) *Client {
	setDefault(&opts.CallsPerSecond, DefaultCallsPerSecond)
	setDefault(&opts.Burst, DefaultBurst)
	setDefault(&opts.Deadline, DefaultDeadline)
	setDefault(&opts.BreakerAfter, DefaultBreakerAfter)
	setDefault(&opts.Cooldown, DefaultCooldown)
	setDefault(&opts.MaxCooldown, DefaultMaxCooldown)
	return &Client{
		store: store, opts: opts,
		limiter: rate.NewLimiter(rate.Limit(opts.CallsPerSecond), opts.Burst),
		rng:     rand.New(rand.NewPCG(opts.Seed, 2)),
		breaker: breaker{after: opts.BreakerAfter, first: opts.Cooldown, max: opts.MaxCooldown},
	}
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Do implements Store. StatusUnsent says that nothing left this process.
func (c *Client) Do(ctx context.Context, call Call) Reply {
	start := time.Now()
	budget := c.opts.Deadline
	if call.Budget > 0 {
		budget = call.Budget
	}
	if call.Op == OpWatch {
		call.Budget = budget
		budget += watchMargin
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	reply := c.tries(ctx, call)
	reply.Took = time.Since(start)
	return reply
}

func (c *Client) tries(ctx context.Context, call Call) Reply {
	for n := 1; ; n++ {
		reply := c.once(ctx, call)
		if c.opts.Counter != nil {
			c.opts.Counter.Add(counterCalls, string(call.Op)+"/"+string(reply.Status))
		}
		if n == maxTries || !repeatable(call.Op, reply.Status) || !c.backoff(ctx, n) {
			return reply
		}
	}
}

func (c *Client) once(ctx context.Context, call Call) Reply {
	if !c.allowed() {
		return Reply{Status: StatusUnsent}
	}
	if err := c.limiter.Wait(ctx); err != nil {
		c.settle(StatusUnsent)
		return Reply{Status: StatusUnsent}
	}
	reply := c.store.Do(ctx, call)
	c.settle(reply.Status)
	return reply
}

// repeatable reports whether a call that ended so may be sent again without
// its caller's decision: reads that got no answer, and anything refused.
func repeatable(op Op, status Status) bool {
	switch op {
	case OpGet, OpRange, OpInstances:
		return status == StatusUnknown || status == StatusRefused
	case OpCAS, OpDelete, OpLeaseGrant, OpLeaseRenew, OpLeaseRevoke:
		return status == StatusRefused
	case OpWatch:
	}
	return false
}

// backoff waits a random time that grows with n; false says that ctx ended.
func (c *Client) backoff(ctx context.Context, n int) bool {
	c.mu.Lock()
	wait := time.Duration(c.rng.Int64N(int64(backoffBase) << n))
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

func (c *Client) allowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.allow(time.Now())
}

func (c *Client) settle(status Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.settle(status, time.Now(), c.rng)
}

// breaker stops calls after failures in a row and probes with single calls.
type breaker struct {
	after    int
	first    time.Duration
	max      time.Duration
	failures int
	cooldown time.Duration
	until    time.Time
	probing  bool
}

func (b *breaker) allow(now time.Time) bool {
	if b.failures < b.after {
		return true
	}
	if b.probing || now.Before(b.until) {
		return false
	}
	b.probing = true
	return true
}

func (b *breaker) settle(status Status, now time.Time, rng *rand.Rand) {
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
	if b.failures < b.after || !probe && now.Before(b.until) {
		return
	}
	b.cooldown = min(max(b.first, 2*b.cooldown), b.max)
	b.until = now.Add(b.cooldown/2 + time.Duration(rng.Int64N(int64(b.cooldown))))
}
