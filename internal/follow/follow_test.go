package follow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// fakeStore is a Source whose replies are set by the test.
type fakeStore struct {
	mu      sync.Mutex
	lists   int
	items   []Item
	listErr error
	era     uint64
	changes func(ctx context.Context, after Position) ([]Item, Position, error)
}

func (f *fakeStore) List(context.Context, string) ([]Item, Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	return f.items, Position{f.era, 10}, f.listErr
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after Position, wait time.Duration) ([]Item, Position, error) {
	f.mu.Lock()
	changes := f.changes
	f.mu.Unlock()
	if changes != nil {
		return changes(ctx, after)
	}
	sleep(ctx, min(wait, 5*time.Millisecond))
	return nil, after, ctx.Err()
}

// recorder is a Handler that records its calls.
type recorder struct {
	mu        sync.Mutex
	listed    int
	changed   []Item
	reachable []bool
	// reachableAtFirstList reports whether HandleStatus(true) came before the first
	// list.
	reachableAtFirstList bool
}

func (r *recorder) HandleList([]Item, Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed++
	if r.listed == 1 {
		r.reachableAtFirstList = len(r.reachable) > 0 && r.reachable[0]
	}
}

func (r *recorder) HandleChanges(items []Item, _ Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = append(r.changed, items...)
}

func (r *recorder) HandleStatus(reachable bool, _ error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachable = append(r.reachable, reachable)
}

func (r *recorder) listCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

func (r *recorder) changeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.changed)
}

func startFollower(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func eventually(t *testing.T, limit time.Duration, ok func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(limit), wait.Gap(5*time.Millisecond)))
}

// After ErrCompacted, only a full list contains the missed changes.
func TestRelistsAfterCompaction(t *testing.T) {
	store, rec := &fakeStore{}, &recorder{}
	compacted := true
	store.changes = func(ctx context.Context, after Position) ([]Item, Position, error) {
		if compacted {
			compacted = false
			return nil, Position{}, ErrCompacted
		}
		sleep(ctx, 5*time.Millisecond)
		return nil, after, nil
	}
	startFollower(t, &Follower{Source: store, Handler: rec, WatchTimeout: time.Second})
	eventually(t, time.Second, func() bool { return rec.listCount() == 2 })
}

// Each watch must continue from the revision of the last reply, or changes are
// lost or repeated.
func TestWatchResumesFromLastRevision(t *testing.T) {
	store, rec := &fakeStore{}, &recorder{}
	asked := make(chan uint64, 3)
	store.changes = func(ctx context.Context, after Position) ([]Item, Position, error) {
		select {
		case asked <- after.Revision:
		default:
			<-ctx.Done()
			return nil, Position{}, ctx.Err()
		}
		after.Revision += 2
		return []Item{{Key: "k", Revision: after.Revision}}, after, nil
	}
	startFollower(t, &Follower{Source: store, Handler: rec, WatchTimeout: time.Second})
	eventually(t, time.Second, func() bool { return rec.changeCount() == 3 })
	must.Eq(t, []uint64{10, 12, 14}, []uint64{<-asked, <-asked, <-asked})
}

// Entries with leases expire and reappear around an outage. With RelistAfterOutage,
// the list must therefore be read again relistDelay after the outage.
func TestRelistsAfterOutage(t *testing.T) {
	store, rec := &fakeStore{}, &recorder{}
	failed := false
	store.changes = func(ctx context.Context, after Position) ([]Item, Position, error) {
		if !failed {
			failed = true
			return nil, Position{}, errors.New("no answer")
		}
		sleep(ctx, 20*time.Millisecond)
		return nil, after, nil
	}
	startFollower(t, &Follower{Source: store, Handler: rec, RelistAfterOutage: true, WatchTimeout: time.Second})
	eventually(t, relistDelay+2*time.Second, func() bool { return rec.listCount() == 2 })
	rec.mu.Lock()
	defer rec.mu.Unlock()
	must.SliceContains(t, rec.reachable, false)
}

// An inactive follower must make no calls, and must list first once it is
// active.
func TestInactiveFollowerMakesNoCalls(t *testing.T) {
	store, rec := &fakeStore{}, &recorder{}
	var mu sync.Mutex
	active := false
	startFollower(t, &Follower{Source: store, Handler: rec, WatchTimeout: time.Second, ShouldFollow: func() bool {
		mu.Lock()
		defer mu.Unlock()
		return active
	}})
	time.Sleep(2 * activationPollInterval)
	must.Eq(t, 0, rec.listCount())
	mu.Lock()
	active = true
	mu.Unlock()
	eventually(t, 2*time.Second, func() bool { return rec.listCount() == 1 })
}

// When hundreds of instances or targets start, their keys change one by one. A watch
// for each change would exceed the call rate of the store.
func TestChangesInQuickSuccessionTakeFewWatches(t *testing.T) {
	var watches atomic.Int64
	store := &fakeStore{changes: func(ctx context.Context, after Position) ([]Item, Position, error) {
		watches.Add(1)
		sleep(ctx, 2*time.Millisecond) // the next change
		after.Revision++
		return []Item{{Key: "a", Revision: after.Revision}}, after, nil
	}}
	rec := &recorder{}
	startFollower(t, &Follower{Source: store, Handler: rec, WatchTimeout: time.Second})
	sleep(t.Context(), 5*changeBatchDelay)
	must.LessEq(t, 6, watches.Load())
	must.GreaterEq(t, 2, rec.changeCount())
}

// If the store answers all calls but watches, changes are found by lists.
func TestFailedWatchIsFollowedByAList(t *testing.T) {
	store := &fakeStore{changes: func(context.Context, Position) ([]Item, Position, error) {
		return nil, Position{}, errors.New("no response")
	}}
	rec := &recorder{}
	startFollower(t, &Follower{Source: store, Handler: rec, WatchTimeout: time.Second})
	eventually(t, 2*time.Second, func() bool { return rec.listCount() >= 3 })
}

// A store that cuts watches is not lost: what its lists lack has gone, and is not waited for.
func TestCutWatchIsNoOutage(t *testing.T) {
	store := &fakeStore{changes: func(ctx context.Context, _ Position) ([]Item, Position, error) {
		sleep(ctx, 5*time.Millisecond)
		return nil, Position{}, fmt.Errorf("watch: %w", ErrCut)
	}}
	rec := &recorder{}
	startFollower(t, &Follower{Source: store, Handler: rec, RelistAfterOutage: true, WatchTimeout: time.Second})
	eventually(t, 2*time.Second, func() bool { return rec.listCount() >= 4 })
	rec.mu.Lock()
	must.SliceNotContains(t, rec.reachable, false)
	rec.mu.Unlock()
	store.mu.Lock()
	store.listErr = errors.New("connection refused")
	store.mu.Unlock()
	eventually(t, time.Second, func() bool {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		return slices.Contains(rec.reachable, false)
	})
}

// Entries that expired during an outage are missing from the list that ends it. They
// are no deaths, so the end of the outage has to be reported first.
func TestStatusIsReportedBeforeItems(t *testing.T) {
	rec := &recorder{}
	startFollower(t, &Follower{Source: &fakeStore{}, Handler: rec, WatchTimeout: time.Second})
	eventually(t, time.Second, func() bool { return rec.listCount() == 1 })
	rec.mu.Lock()
	defer rec.mu.Unlock()
	must.True(t, rec.reachableAtFirstList)
}

// Revisions of a restored store say nothing about what changed since the last one. What
// is missing from the copy reappears later, as after an outage.
func TestRelistsAtOnceAndLaterAfterARestore(t *testing.T) {
	store, rec := &fakeStore{era: 1}, &recorder{}
	store.changes = func(ctx context.Context, after Position) ([]Item, Position, error) {
		store.mu.Lock()
		defer store.mu.Unlock()
		if after.Era == 1 {
			store.era = 2
			return nil, Position{}, ErrRestored
		}
		sleep(ctx, 20*time.Millisecond)
		return nil, after, nil
	}
	startFollower(t, &Follower{Source: store, Handler: rec, RelistAfterOutage: true, WatchTimeout: time.Second})
	eventually(t, time.Second, func() bool { return rec.listCount() == 2 })
	eventually(t, relistDelay+time.Second, func() bool { return rec.listCount() == 3 })
	rec.mu.Lock()
	defer rec.mu.Unlock()
	must.SliceNotContains(t, rec.reachable, false)
}

// An instance that begins to follow a store shortly after its restore does not notice that by
// itself: without a list of its own, what the copy lacks would never end.
func TestListIsRepeatedIfTheHandlerNeedsIt(t *testing.T) {
	store, rec := &fakeStore{}, &recorder{}
	var asked atomic.Int64
	startFollower(t, &Follower{
		Source: store, Handler: rec, WatchTimeout: time.Second, NeedsRelist: func() bool { return asked.Add(1) == 1 },
	})
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return rec.listCount() == 2 }), wait.Timeout(2*relistDelay)))
	must.Greater(t, 2, asked.Load())
}

// Guards against a list that is put off by each response, and so never read, while the Handler
// needs it.
func TestListIsNotPutOffWhileTheHandlerNeedsIt(t *testing.T) {
	store, rec := &fakeStore{}, &recorder{}
	startFollower(t, &Follower{
		Source: store, Handler: rec, WatchTimeout: 500 * time.Millisecond, NeedsRelist: func() bool { return true },
	})
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return rec.listCount() == 2 }), wait.Timeout(2*relistDelay)))
}
