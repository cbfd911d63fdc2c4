package node

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/medlardeck/medlardeck/internal/request"
)

// Limits on the bytes of one answer that are kept in memory.
const (
	// maxUnreadBytes limits the bytes received from the target that no reader
	// has read yet; above it, the target's response is not read further.
	maxUnreadBytes = 256 << 10
	// maxReaderLagBytes limits how far a reader may lag behind the fastest
	// one; a reader beyond it is cut off with ErrSlow.
	maxReaderLagBytes = 1 << 20
)

// initialBufferBytes is the initial capacity of an answer's buffer. Most answers
// of a few dozen tokens fit into it without reallocation.
const initialBufferBytes = 8 << 10

// Head holds the status and headers of a service's response. Completions have
// none.
type Head struct {
	Status int
	Header http.Header
}

// answer buffers the response of one run, across all its attempts. Up to
// replayBytes it keeps every byte, so that further readers can join from the
// start; after that it keeps the bytes that the slowest reader has not read.
type answer struct {
	mu             sync.Mutex
	head           *Head
	buffer         []byte // bytes of the answer from offset bufferStart on
	bufferStart    int
	replayBytes    int // length up to which the whole answer is kept for joining readers
	readers        []*Reader
	readerAdvanced chan struct{} // signalled when a reader advances or leaves

	// currentAttempt is the only attempt whose output is accepted; zero means
	// none. It is guarded by the node's lock, not by mu.
	currentAttempt request.AttemptID
}

// newAnswer returns an empty answer that keeps its first replayBytes for joining
// readers.
func newAnswer(replayBytes int) *answer {
	return &answer{replayBytes: replayBytes, readerAdvanced: make(chan struct{}, 1)}
}

// appendBytes adds p to the answer and wakes the readers.
func (a *answer) appendBytes(p []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.buffer == nil {
		a.buffer = make([]byte, 0, max(initialBufferBytes, len(p)))
	}
	a.buffer = append(a.buffer, p...)
	a.trimBuffer()
	a.wakeReaders()
}

// setHead sets the status and headers of a service's response and wakes the
// readers.
func (a *answer) setHead(h *Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = h
	a.wakeReaders()
}

// wakeReaders signals every reader that there is something new; a.mu is held.
func (a *answer) wakeReaders() {
	for _, r := range a.readers {
		notify(r.wake)
	}
}

// addReader adds a reader that starts at the first byte. It returns nil if that
// byte is no longer buffered.
func (a *answer) addReader(x *Exchange) *Reader {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bufferStart > 0 {
		return nil
	}
	r := &Reader{exchange: x, answer: a, wake: make(chan struct{}, 1)}
	r.wake <- struct{}{}
	a.readers = append(a.readers, r)
	return r
}

// removeReader removes r and releases the bytes that only r still needed.
func (a *answer) removeReader(r *Reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.readers {
		if a.readers[i] == r {
			a.readers = append(a.readers[:i], a.readers[i+1:]...)
			break
		}
	}
	a.trimBuffer()
	notify(a.readerAdvanced)
}

// trimBuffer discards bytes that no reader needs and cuts off readers that lag
// more than maxReaderLagBytes behind the fastest one. It does neither while the
// answer is no longer than replayBytes. a.mu is held.
func (a *answer) trimBuffer() {
	if a.bufferStart+len(a.buffer) <= a.replayBytes {
		return
	}
	if len(a.readers) == 0 {
		a.bufferStart += len(a.buffer)
		a.buffer = a.buffer[:0]
		return
	}
	fastest := a.bufferStart
	for _, r := range a.readers {
		fastest = max(fastest, r.offset)
	}
	slowest := fastest
	for _, r := range a.readers {
		if fastest-r.offset > maxReaderLagBytes {
			r.cutOff = true
			notify(r.wake)
			continue
		}
		slowest = min(slowest, r.offset)
	}
	// Moving the remaining bytes to the front reuses one buffer for the whole
	// answer. It waits until more than half of the bytes can be discarded, so
	// that the copying stays cheap.
	if n := slowest - a.bufferStart; n > len(a.buffer)/2 || n == len(a.buffer) {
		a.buffer = append(a.buffer[:0], a.buffer[n:]...)
		a.bufferStart = slowest
	}
}

// unreadBytes returns the number of bytes that no reader has read yet, zero
// without readers.
func (a *answer) unreadBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.readers) == 0 {
		return 0
	}
	end, fastest := a.bufferStart+len(a.buffer), a.bufferStart
	for _, r := range a.readers {
		fastest = max(fastest, r.offset)
	}
	return end - fastest
}

// waitForReader blocks until at most maxUnreadBytes are unread. It returns the
// error of ctx once ctx is done.
func (a *answer) waitForReader(ctx context.Context) error {
	for a.unreadBytes() > maxUnreadBytes {
		select {
		case <-a.readerAdvanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return ctx.Err()
}

// notify signals ch, which has room for one signal, without blocking: a signal
// that is already pending suffices.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Reader reads one answer from its first byte on. It is not safe for concurrent
// use.
type Reader struct {
	exchange *Exchange
	answer   *answer
	wake     chan struct{} // signalled when the answer grew or the reader was cut off
	offset   int           // bytes of the answer read so far
	cutOff   bool          // lagged more than maxReaderLagBytes
	buf      []byte        // copy that Next returns, reused by each call
}

// ErrSlow is returned by Next once the reader lagged more than
// maxReaderLagBytes behind another reader of the answer.
var ErrSlow = readerTooSlowError{}

type readerTooSlowError struct{}

func (readerTooSlowError) Error() string { return "read answer: reader lags too far behind" }

// Close detaches the reader and releases the bytes that only it still needed.
func (r *Reader) Close() { r.answer.removeReader(r) }

// Next blocks until there is more of the answer. It returns the head, nil until
// it is known, and bytes that are valid until the next call. It returns io.EOF
// when the request has its outcome and everything was read, ErrSlow when the
// reader was cut off, and context.Canceled when callerGone or the node is
// closed.
func (r *Reader) Next(callerGone <-chan struct{}) (*Head, []byte, error) {
	for {
		select {
		case <-r.exchange.done:
			return r.readBuffered(io.EOF)
		case <-r.wake:
			if head, p, err := r.readBuffered(nil); head != nil || len(p) > 0 || err != nil {
				return head, p, err
			}
		case <-callerGone:
			return nil, nil, context.Canceled
		case <-r.exchange.node.ctx.Done():
			return nil, nil, context.Canceled
		}
	}
}

// readBuffered returns the buffered bytes after the reader's offset. If there
// are none, its error is errWhenEmpty.
func (r *Reader) readBuffered(errWhenEmpty error) (*Head, []byte, error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.cutOff {
		return nil, nil, ErrSlow
	}
	r.buf = append(r.buf[:0], a.buffer[r.offset-a.bufferStart:]...)
	r.offset += len(r.buf)
	a.trimBuffer()
	notify(a.readerAdvanced)
	if len(r.buf) == 0 {
		return a.head, nil, errWhenEmpty
	}
	return a.head, r.buf, nil
}
