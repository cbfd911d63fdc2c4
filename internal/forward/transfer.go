package forward

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlardeck/medlardeck/internal/membudget"
)

const (
	// stallTime is how long a transfer may go without progress while other requests find no
	// memory or no connection; progressBytes are the bytes that count as progress. A caller
	// at 20 Mbit/s takes 7 ms for them.
	stallTime     = time.Second
	progressBytes = 16 << 10
)

// transfer is a body that is being read, or an answer that is being written.
type transfer struct {
	rc      *http.ResponseController
	writing bool
	// charge is the memory that the end of the transfer gives back; nil for none.
	charge   *membudget.Charge
	deadline time.Time // of a body
	// since is the Unix time in nanoseconds of the begin or of the last progress; zero while
	// nothing is awaited from the caller.
	since   atomic.Int64
	bytes   int         // since then
	stalled atomic.Bool // it has been ended for its lack of progress
}

// await notes that something is awaited from the caller from now on.
func (t *transfer) await() { t.since.Store(time.Now().UnixNano()) }

// pause notes that nothing is awaited from the caller.
func (t *transfer) pause() { t.since.Store(0) }

// progress notes bytes that have been read or written.
func (t *transfer) progress(bytes int) {
	if t.bytes += bytes; t.bytes >= progressBytes {
		t.bytes = 0
		t.await()
	}
}

// write writes bytes in steps of progressBytes, and notes the progress of each.
func (t *transfer) write(w io.Writer, p []byte) error {
	for len(p) > 0 {
		written, err := w.Write(p[:min(len(p), progressBytes)])
		if err != nil {
			return err
		}
		t.progress(written)
		p = p[written:]
	}
	return nil
}

// held returns the bytes of memory that the end of the transfer gives back.
func (t *transfer) held() int64 {
	if t.charge == nil {
		return 0
	}
	return t.charge.Held()
}

// transfers are the bodies of requests that are being read, and the answers that are being
// written. A planned stop shortens the time of bodies, so that their callers get a refusal
// before the connections are closed.
type transfers struct {
	mu        sync.Mutex
	active    map[*transfer]bool
	stopAt    time.Time // zero while no stop is in progress
	stopBegun bool
}

// beginRead sets the deadline of a body that is about to be read.
func (b *transfers) beginRead(rc *http.ResponseController, charge *membudget.Charge) *transfer {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &transfer{rc: rc, charge: charge, deadline: time.Now().Add(bodyTimeout)}
	if b.stopBegun && b.stopAt.Before(t.deadline) {
		t.deadline = b.stopAt
	}
	t.await()
	b.active[t] = true
	_ = rc.SetReadDeadline(t.deadline) // a broken connection fails at the next read
	return t
}

// endRead removes the deadline of a body that has been read, and limits the time of one that
// will not be read.
func (b *transfers) endRead(t *transfer, complete bool) {
	b.end(t)
	deadline := time.Time{}
	if !complete {
		deadline = time.Now().Add(unreadBodyTime)
	}
	_ = t.rc.SetReadDeadline(deadline) // a broken connection fails at the next read
}

// beginWrite returns an answer that is about to be written.
func (b *transfers) beginWrite(rc *http.ResponseController, charge *membudget.Charge) *transfer {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &transfer{rc: rc, writing: true, charge: charge}
	b.active[t] = true
	return t
}

// end removes a transfer. Its deadlines do not change any more.
func (b *transfers) end(t *transfer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.active, t)
}

// endStalled ends transfers without progress, the longest first, until they give back the
// given bytes, and at least the given number of them. It returns how many it has ended.
func (b *transfers) endStalled(bytes int64, number int) (ended int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stalled []*transfer
	for t := range b.active {
		since := t.since.Load()
		switch {
		case t.stalled.Load():
			bytes -= t.held() // it is about to be given back
		case since != 0 && time.Since(time.Unix(0, since)) >= stallTime:
			stalled = append(stalled, t)
		}
	}
	slices.SortFunc(stalled, func(x, y *transfer) int { return cmp.Compare(x.since.Load(), y.since.Load()) })
	for _, t := range stalled {
		if bytes <= 0 && ended >= number {
			break
		}
		bytes -= t.held()
		ended++
		t.stalled.Store(true)
		if t.writing {
			_ = t.rc.SetWriteDeadline(time.Now()) // a broken connection has ended
		} else {
			_ = t.rc.SetReadDeadline(time.Now())
		}
	}
	return ended
}

// stop lets the reads fail that last longer than until the given time. A later call counts
// if its time is earlier.
func (b *transfers) stop(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopBegun && !at.Before(b.stopAt) {
		return
	}
	b.stopBegun, b.stopAt = true, at
	for t := range b.active {
		if !t.writing && at.Before(t.deadline) && !t.stalled.Load() {
			_ = t.rc.SetReadDeadline(at) // a broken connection fails at the next read
		}
	}
}

// stopped reports whether a planned stop has ended the reads.
func (b *transfers) stopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopBegun && !time.Now().Before(b.stopAt)
}

// EndStalled ends the body or answer that has made no progress for longest, if that is
// stallTime or more, and reports whether there was one.
func (n *Node) EndStalled() bool {
	ended := n.transfers.endStalled(0, 1)
	if ended > 0 {
		n.opts.Metrics.Add("transfers_ended", "connections-full")
	}
	return ended > 0
}

// endStalledFor ends bodies and answers without progress until they give back the given bytes.
func (n *Node) endStalledFor(bytes int64) {
	for range n.transfers.endStalled(bytes, 0) {
		n.opts.Metrics.Add("transfers_ended", "memory-exhausted")
	}
}

// endStalledUntil calls endStalledFor now and again until the context is done.
func (n *Node) endStalledUntil(ctx context.Context, bytes int64) {
	ticker := time.NewTicker(stallTime / 4)
	defer ticker.Stop()
	for {
		n.endStalledFor(bytes)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
