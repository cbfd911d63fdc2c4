// Package follow keeps a copy of a part of the platform's store up to date: it
// lists a prefix once and then waits for changes, through outages, lost history
// and watches that fall silent.
package follow

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted says that the store no longer has the changes asked for.
var ErrCompacted = errors.New("history of the store is no longer available")

// Item is one key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the item's last change.
	Revision uint64
	// Removed is true in a change that removed the key.
	Removed bool
}

// Source is the platform's store.
type Source interface {
	// List returns all items below a prefix and the store's revision.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Changes returns the changes below a prefix after a revision, and the
	// revision to go on from. It waits up to wait for the first one. It returns
	// ErrCompacted when the changes are no longer known.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
}

// Handler takes what a Follower finds. Calls come from one goroutine.
type Handler interface {
	// Listed hands over all items as of a revision.
	Listed(items []Item, revision uint64)
	// Changed hands over changes in their order.
	Changed(items []Item, revision uint64)
	// Reachable says whether the store answered the last call.
	Reachable(ok bool, err error)
}

// Times of a Follower.
const (
	// listTimeout bounds a list; the store answers in milliseconds when well.
	listTimeout = 2 * time.Second
	// firstBackoff and maxBackoff bound the wait after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// passiveStep is the time between two looks whether to follow.
	passiveStep = 200 * time.Millisecond
	// relistAfter is the time after the store's return at which the whole list
	// is read again: by then entries that lapsed meanwhile are back.
	relistAfter = 2200 * time.Millisecond
)

// Follower follows one prefix.
type Follower struct {
	Source  Source
	Prefix  string
	Handler Handler
	// Relist asks for the whole list some time after an outage, since entries
	// with leases lapse and come back around it.
	Relist bool
	// Wait is how long a watch waits for a change. It bounds the time after which
	// a watch that fell silent is noticed; each call has its price.
	Wait time.Duration
	// Active says whether to follow now; nil means always. Whoever does not
	// follow hears of changes from others.
	Active func() bool
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := firstBackoff
	var revision uint64
	listed := false
	var relistAt time.Time
	for ctx.Err() == nil {
		if f.Active != nil && !f.Active() {
			listed, backoff = false, firstBackoff
			sleep(ctx, passiveStep)
			continue
		}
		var err error
		if !listed {
			revision, err = f.list(ctx)
			listed = err == nil
		} else {
			revision, err = f.changes(ctx, revision, relistAt)
		}
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			if backoff != firstBackoff && f.Relist {
				relistAt = time.Now().Add(relistAfter)
			}
			backoff = firstBackoff
			f.Handler.Reachable(true, nil)
			if !relistAt.IsZero() && !time.Now().Before(relistAt) {
				listed, relistAt = false, time.Time{}
			}
		case errors.Is(err, ErrCompacted):
			listed = false
		default:
			f.Handler.Reachable(false, err)
			sleep(ctx, backoff)
			backoff = min(maxBackoff, 2*backoff)
		}
	}
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := f.Source.List(ctx, f.Prefix)
	if err != nil {
		return 0, err
	}
	f.Handler.Listed(items, revision)
	return revision, nil
}

func (f *Follower) changes(ctx context.Context, after uint64, relistAt time.Time) (uint64, error) {
	wait := f.Wait
	if !relistAt.IsZero() {
		wait = max(time.Millisecond, min(wait, time.Until(relistAt)))
	}
	items, revision, err := f.Source.Changes(ctx, f.Prefix, after, wait)
	if err != nil {
		return after, err
	}
	if len(items) > 0 {
		f.Handler.Changed(items, revision)
	}
	return max(after, revision), nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
