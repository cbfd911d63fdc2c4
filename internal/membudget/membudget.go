// Package membudget bounds the memory that the requests of a process hold together.
package membudget

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// SmallBytes is the part of each charge that may use the whole budget. What a charge holds
// beyond it has a share, so that large bodies and answers leave room for small ones.
const SmallBytes = 64 << 10

// largeShare is the share of the budget, in quarters, for what charges hold beyond SmallBytes.
const largeShare = 3

// retryDelay is the time between two looks of Grow for room in the whole budget.
const retryDelay = 5 * time.Millisecond

// Budget is an amount of memory, in bytes. It is safe for concurrent use. A nil Budget has no
// bound.
type Budget struct {
	all, large *semaphore.Weighted
	held       atomic.Int64
}

// New returns a budget.
func New(bytes int64) *Budget {
	return &Budget{all: semaphore.NewWeighted(bytes), large: semaphore.NewWeighted(bytes / 4 * largeShare)}
}

// Held returns the bytes that are held.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// NewCharge returns a charge that holds nothing.
func (b *Budget) NewCharge() *Charge { return &Charge{budget: b} }

// Bind makes a zero Charge one of the budget.
func (b *Budget) Bind(c *Charge) { c.budget = b }

// ExhaustedError reports that the budget has no room for more bytes.
type ExhaustedError struct {
	Op    string
	Bytes int64
	Cause error // nil if there was no wait
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	text := fmt.Sprintf("%s of %d bytes: the memory budget is exhausted", e.Op, e.Bytes)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the error of the wait.
func (e *ExhaustedError) Unwrap() error { return e.Cause }

// Charge is the memory that one body or answer holds; the zero Charge has no bound. Only Held may be called concurrently.
type Charge struct {
	budget *Budget
	held   atomic.Int64
}

// Held returns the bytes that the charge holds.
func (c *Charge) Held() int64 { return c.held.Load() }

// TryGrow adds bytes to the charge, or returns an ExhaustedError at once.
func (c *Charge) TryGrow(bytes int64) error {
	b := c.budget
	if b == nil {
		return nil
	}
	large := c.largePart(bytes)
	if large > 0 && !b.large.TryAcquire(large) {
		return &ExhaustedError{Op: "charge", Bytes: bytes}
	}
	if !b.all.TryAcquire(bytes) {
		b.large.Release(large)
		return &ExhaustedError{Op: "charge", Bytes: bytes}
	}
	c.add(bytes)
	return nil
}

// Grow adds bytes to the charge. It waits until there is room, or returns an ExhaustedError
// when the context is done. It queues for the share of large charges only: a waiter in the
// queue of the whole budget would block smaller charges that have room.
func (c *Charge) Grow(ctx context.Context, bytes int64) error {
	b := c.budget
	if b == nil {
		return nil
	}
	large := c.largePart(bytes)
	for {
		if large > 0 {
			if err := b.large.Acquire(ctx, large); err != nil {
				return &ExhaustedError{Op: "charge", Bytes: bytes, Cause: err}
			}
		}
		if b.all.TryAcquire(bytes) {
			c.add(bytes)
			return nil
		}
		b.large.Release(large)
		select {
		case <-ctx.Done():
			return &ExhaustedError{Op: "charge", Bytes: bytes, Cause: ctx.Err()}
		case <-time.After(retryDelay):
		}
	}
}

// largePart returns how many of the next bytes are beyond SmallBytes.
func (c *Charge) largePart(bytes int64) int64 {
	held := c.held.Load()
	return max(0, held+bytes-SmallBytes) - max(0, held-SmallBytes)
}

func (c *Charge) add(bytes int64) {
	c.held.Add(bytes)
	c.budget.held.Add(bytes)
}

// Release gives all bytes back. The charge can be used again.
func (c *Charge) Release() {
	held := c.held.Swap(0)
	if held == 0 {
		return
	}
	c.budget.large.Release(max(0, held-SmallBytes))
	c.budget.all.Release(held)
	c.budget.held.Add(-held)
}
