package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the log output.
const (
	// maxLinesPerSecond is the sustained rate of lines that a process writes: about
	// four for each request of an instance at its usual load. Bursts go up to
	// maxBurstLines.
	maxLinesPerSecond = 1000
	maxBurstLines     = 4000
	// maxWaitingLines is the number of lines buffered while the underlying writer is slow.
	maxWaitingLines = 4096
)

// BoundedWriter is a writer that never blocks on the underlying writer. It drops and
// counts lines above the rate limit and lines that find the buffer full. Each
// Write call is one line.
type BoundedWriter struct {
	w       io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	done    chan struct{}

	mu      sync.Mutex
	dropped int
	closed  bool
}

// NewBoundedWriter returns a BoundedWriter and starts the goroutine that writes its lines to
// w. Close stops the goroutine.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{
		w: w, limiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines),
		lines: make(chan []byte, maxWaitingLines), done: make(chan struct{}),
	}
	go b.writeLines()
	return b
}

// Write implements io.Writer. It never returns an error, and after Close it
// discards lines without counting them.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return len(p), nil
	}
	if !b.limiter.Allow() {
		b.dropped++
		return len(p), nil
	}
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped++
	}
	return len(p), nil
}

// Close writes the buffered lines and stops the writer.
func (b *BoundedWriter) Close() {
	b.endLines()
	<-b.done
}

// CloseWithin is Close with a limit of its time: lines that the underlying writer has not
// taken by then are lost. It reports whether all have been written.
func (b *BoundedWriter) CloseWithin(limit time.Duration) bool {
	b.endLines()
	select {
	case <-b.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// endLines lets the writer end behind the lines that are buffered.
func (b *BoundedWriter) endLines() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
}

// takeDropped returns the number of lines dropped since the last call and resets it.
func (b *BoundedWriter) takeDropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.dropped
	b.dropped = 0
	return n
}

// writeLines writes buffered lines until Close, each preceded by a warning if
// lines were dropped since the last one.
func (b *BoundedWriter) writeLines() {
	defer close(b.done)
	for line := range b.lines {
		if n := b.takeDropped(); n > 0 {
			_, _ = fmt.Fprintf(b.w, "level=WARN msg=log-lines-dropped lines=%d\n", n)
		}
		// An error is ignored: there is no other place to report a failing log.
		_, _ = b.w.Write(line)
	}
}
