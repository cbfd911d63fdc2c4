package telemetry

import (
	"fmt"
	"io"
	"sync"

	"golang.org/x/time/rate"
)

// Bounds of a log.
const (
	// linesPerSecond is the rate of lines that a process writes over time: some
	// four for each request of an instance at its usual load, with room for bursts.
	linesPerSecond = 1000
	burstLines     = 4000
	// waitingLines is how many lines wait while the reader of the log is slow.
	waitingLines = 4096
)

// Bounded is a writer that never blocks: lines above the rate, and lines that the
// underlying writer does not take in time, are dropped and counted. Each Write is
// one line.
type Bounded struct {
	w       io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	done    chan struct{}

	mu      sync.Mutex
	dropped int
	closed  bool
}

// NewBounded returns a writer that passes lines on to w from a goroutine of its
// own; Close ends it.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{
		w: w, limiter: rate.NewLimiter(linesPerSecond, burstLines),
		lines: make(chan []byte, waitingLines), done: make(chan struct{}),
	}
	go b.run()
	return b
}

// Write implements io.Writer; it never fails.
func (b *Bounded) Write(p []byte) (int, error) {
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

// Close writes what waits and ends the writer.
func (b *Bounded) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.done
}

// takeDropped returns the lines dropped since the last call.
func (b *Bounded) takeDropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.dropped
	b.dropped = 0
	return n
}

func (b *Bounded) run() {
	defer close(b.done)
	for line := range b.lines {
		if n := b.takeDropped(); n > 0 {
			_, _ = fmt.Fprintf(b.w, "level=WARN msg=log-lines-dropped lines=%d\n", n)
		}
		// There is nowhere to report that the log itself can't be written.
		_, _ = b.w.Write(line)
	}
}
