// Package follow keeps a copy of a part of the platform's store up to date. It
// lists a prefix once and then watches it for changes; it recovers from outages,
// compacted history, watches that stop receiving changes, and a store that is
// restored from an older copy.
package follow

import (
	"cmp"
	"context"
	"errors"
	"time"
)

// ErrCompacted is returned by a Source that no longer has the requested
// changes.
var ErrCompacted = errors.New("requested changes are no longer in the store's history")

// ErrRestored is returned by a Source if the store was restored from an older copy
// since the position from which changes were requested, or during a call.
var ErrRestored = errors.New("the store was restored from an older copy")

// ErrTooLong is returned by a Source whose list exceeds its bounds.
var ErrTooLong = errors.New("the list has no end within its bound")

// ErrCut is returned by a Source if the connection of a watch ended while it waited.
var ErrCut = errors.New("the connection ended while the watch waited")

// Position is a moment in the life of a store. A store that is restored from an older
// copy begins a new era, in which revisions are given out again.
type Position struct{ Era, Revision uint64 }

// Compare returns -1 if p is earlier than other, 1 if it is later, and 0 otherwise.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Item is one key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store revision of the item's last change.
	Revision uint64
	// Removed is true for a change that removed the key.
	Removed bool
}

// Source is the platform's store.
type Source interface {
	// List returns all items below a prefix and the store's position.
	List(ctx context.Context, prefix string) ([]Item, Position, error)
	// Watch returns the changes below a prefix after a position, and the
	// position to continue from. It waits up to wait for the first change. It
	// returns ErrCompacted if the store no longer has the changes, ErrRestored
	// if it is in another era, and ErrCut if its connection ends without a response.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Item, Position, error)
}

// Handler receives the items and changes that a Follower reads. All calls come
// from one goroutine. HandleStatus comes before the items of the same response, so
// that removals around an outage can be told from others.
type Handler interface {
	// HandleList receives all items as of a position.
	HandleList(items []Item, position Position)
	// HandleChanges receives changes in their order.
	HandleChanges(items []Item, position Position)
	// HandleStatus reports whether the store answered the last call, and the
	// error if it did not.
	HandleStatus(reachable bool, err error)
}

// Timeouts and delays of a Follower.
const (
	// listTimeout bounds a list call; a healthy store answers within
	// milliseconds.
	listTimeout = 2 * time.Second
	// initialBackoff and maxBackoff bound the delay after a failed call.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// activationPollInterval is how often an inactive Follower calls
	// ShouldFollow.
	activationPollInterval = 100 * time.Millisecond
	// relistDelay is the time from the end of an outage to a full list: by
	// then, entries that expired during the outage have been written again.
	relistDelay = 2200 * time.Millisecond
	// changeBatchDelay is the time between changes and the next watch, which
	// returns those that came meanwhile together: many keys change at once when
	// instances or targets start.
	changeBatchDelay = 200 * time.Millisecond
)

// Follower follows the keys below one prefix.
type Follower struct {
	Source  Source
	Prefix  string
	Handler Handler
	// RelistAfterOutage requests a full list relistDelay after an outage or a
	// restore, since entries expire or are missing and reappear around it.
	RelistAfterOutage bool
	// NeedsRelist reports, after each response, whether the Handler needs another list
	// relistDelay later, since the store may have been restored before this Follower
	// followed it; nil means never.
	NeedsRelist func() bool
	// OnTooLong is called when a list fails with ErrTooLong: the store answers, and what is
	// needed most may be read by itself. Nil for no call.
	OnTooLong func()
	// WatchTimeout is how long a watch waits for a change. It bounds the time
	// until a watch that stopped receiving changes is noticed; shorter watches
	// cost more calls.
	WatchTimeout time.Duration
	// ShouldFollow reports whether to follow now; nil means always. An instance
	// that does not follow learns of changes from its peers.
	ShouldFollow func() bool
}

// Run lists the keys below Prefix and then watches them, while ShouldFollow allows it.
// It returns when ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := initialBackoff
	var position Position
	listed := false
	var relistAt time.Time
	for ctx.Err() == nil {
		if f.ShouldFollow != nil && !f.ShouldFollow() {
			listed, backoff = false, initialBackoff
			sleep(ctx, activationPollInterval)
			continue
		}
		last := position
		var err error
		if !listed {
			position, err = f.list(ctx, last)
			listed = err == nil
		} else {
			position, err = f.watchChanges(ctx, last, relistAt)
		}
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			if f.needsRelist(backoff != initialBackoff, last, position, !relistAt.IsZero()) {
				relistAt = time.Now().Add(relistDelay)
			}
			backoff = initialBackoff
			if !relistAt.IsZero() && !time.Now().Before(relistAt) {
				listed, relistAt = false, time.Time{}
			}
		case errors.Is(err, ErrCompacted), errors.Is(err, ErrRestored):
			if !listed {
				sleep(ctx, initialBackoff) // the list itself failed
			}
			listed = false
		case errors.Is(err, ErrCut):
			// The store may cut watches that wait. If it has ended, the list fails.
			listed = false
			sleep(ctx, initialBackoff)
		default:
			// If only watches fail, a list still shows the changes.
			listed = false
			f.Handler.HandleStatus(false, err)
			if errors.Is(err, ErrTooLong) && f.OnTooLong != nil {
				f.OnTooLong()
			}
			sleep(ctx, backoff)
			backoff = min(maxBackoff, 2*backoff)
		}
	}
}

// needsRelist reports whether a full list has to follow relistDelay after a response: the
// first one after an outage, or from a restored store, or if the Handler needs it. The latter
// does not put off a list that is pending.
func (f *Follower) needsRelist(outageEnded bool, last, position Position, isPending bool) bool {
	restored := last.Era > 0 && position.Era > last.Era
	needed := f.NeedsRelist != nil && f.NeedsRelist()
	return f.RelistAfterOutage && (outageEnded || restored) || needed && !isPending
}

// list passes all items to the Handler and returns the store's position, or last if it
// fails.
func (f *Follower) list(ctx context.Context, last Position) (Position, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, position, err := f.Source.List(ctx, f.Prefix)
	if err != nil {
		return last, err
	}
	f.Handler.HandleStatus(true, nil)
	f.Handler.HandleList(items, position)
	return position, nil
}

// watchChanges waits for changes after a position, passes them to the Handler
// and returns the position to continue from. It does not wait beyond relistAt,
// unless that is zero.
func (f *Follower) watchChanges(ctx context.Context, after Position, relistAt time.Time) (Position, error) {
	wait := f.WatchTimeout
	if !relistAt.IsZero() {
		wait = max(time.Millisecond, min(wait, time.Until(relistAt)))
	}
	items, position, err := f.Source.Watch(ctx, f.Prefix, after, wait)
	if err != nil {
		return after, err
	}
	f.Handler.HandleStatus(true, nil)
	if len(items) > 0 {
		f.Handler.HandleChanges(items, position)
		sleep(ctx, changeBatchDelay)
	}
	if position.Compare(after) < 0 {
		return after, nil
	}
	return position, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
