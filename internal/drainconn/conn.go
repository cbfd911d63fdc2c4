package drainconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/medlardeck/medlardeck/internal/membudget"
)

// tlsRequestTime is how long an idle connection with TLS may take to bring a next request
// when it is to be closed.
const tlsRequestTime = 500 * time.Millisecond

// peekedBytes is the number of bytes that http.Server awaits of a further request on a
// connection before it sets the deadline of the head.
const peekedBytes = 4

// connPhase is what a connection does.
type connPhase uint8

const (
	// waiting means that no byte of a next request is known to have been read. Line ends
	// alone are not of a request.
	waiting connPhase = iota
	// readingHead means that a part of a request's head has been read. With TLS, the bytes
	// need not be of a request.
	readingHead
	// inRequest means that a request's head has been read, and its answer has not ended.
	inRequest
)

// drainedConn is one connection.
type drainedConn struct {
	*net.TCPConn
	listener   *Listener
	acceptedAt time.Time
	mu         sync.Mutex
	phase      connPhase
	requested  bool // the server has read of a request
	isTLS      bool // bytes of a next request may be in the TLS layer while it is idle
	isHTTP2    bool // bytes need not be of a request
	endingRead bool // a read that gets no byte ends the connection
	yielding   bool // endingRead is set to make room for another connection

	waitingSince time.Time
	waitUntil    time.Time // zero for no limit
	waitTimed    bool      // http.Server has set a deadline since waitingSince
	lineEnds     int       // at the end of what has been read
	head         head      // while phase is readingHead
	headCharge   *membudget.Charge
}

// state reports whether bytes of a request have been read, and whether the connection waits
// for the next one.
func (c *drainedConn) state() (used, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isUsed(), c.isIdle()
}

// isUsed reports whether bytes of a request have been read. c.mu must be held.
func (c *drainedConn) isUsed() bool {
	return c.requested || !c.isTLS && c.phase != waiting
}

// isIdle reports whether a request has ended, and no byte of the next has been read. c.mu
// must be held.
func (c *drainedConn) isIdle() bool { return c.requested && c.phase == waiting }

// isLimited reports whether the listener's limits hold. c.mu must be held.
func (c *drainedConn) isLimited() bool { return c.listener.opts.Limits != nil && !c.isTLS }

func (c *drainedConn) setTLS(isTLS bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isTLS = isTLS
}

// setActive notes that the server has read of a request.
func (c *drainedConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested, c.phase, c.yielding = true, inRequest, false
	c.keepLocked()
}

func (c *drainedConn) setIdle(isHTTP2 bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.isHTTP2, c.waitTimed = waiting, isHTTP2, false
	c.waitingSince = time.Now()
	c.waitUntil = c.listener.opts.Limits.waitUntil(c.waitingSince)
	c.headCharge.Release()
}

// applyIdleLimit applies a changed limit to a connection that waits for a request.
func (c *drainedConn) applyIdleLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != waiting || !c.isLimited() {
		return
	}
	c.waitUntil = c.listener.opts.Limits.changedWaitUntil(c.waitingSince, c.waitUntil)
	if !c.endingRead {
		_ = c.TCPConn.SetReadDeadline(c.waitUntil) // a broken connection fails at the next read
	}
}

// endReadUnlessUsed closes the connection if it is idle, or if it has been open for
// unusedFor without a request, or if the head of a request has got no byte for as long.
func (c *drainedConn) endReadUnlessUsed(unusedFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isIdle(),
		!c.isUsed() && time.Since(c.acceptedAt) >= unusedFor,
		!c.isTLS && c.phase == readingHead && time.Since(c.head.lastByteAt) >= unusedFor:
		c.endReadLocked()
	}
}

// endReadLocked lets the pending read fail, on which the server closes the connection. If
// bytes of a request arrive first, the request is served. c.mu must be held.
func (c *drainedConn) endReadLocked() {
	deadline := time.Unix(1, 0)
	if c.isTLS {
		// The server may have got the beginning of a request from the TLS layer already.
		if c.endingRead {
			return // its time runs already
		}
		deadline = time.Now().Add(tlsRequestTime)
	}
	c.endingRead = true
	_ = c.TCPConn.SetReadDeadline(deadline) // a broken connection ends without it
}

// Read implements net.Conn.
func (c *drainedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if c.rearmMovedDeadline() {
				continue
			}
			if n, err = c.readAtDeadline(p, err); n == 0 {
				return 0, err
			}
		}
		if n > 0 {
			if reason, rejected := c.recordRead(p[:n]); rejected {
				return 0, c.reject(reason)
			}
		}
		return n, err
	}
}

// recordRead records bytes that have been read, and reports whether the head of their
// request is rejected, and why.
func (c *drainedConn) recordRead(p []byte) (reason Rejection, rejected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lineEnds = trailingLineEnds(c.lineEnds, p)
	if c.isTLS {
		if !c.isHTTP2 {
			if c.phase == waiting {
				c.phase = readingHead
			}
			c.keepLocked()
		}
		return 0, false
	}
	if c.phase == waiting {
		if c.lineEnds >= len(p) {
			return 0, false
		}
		c.beginHeadLocked()
	}
	if c.phase != readingHead {
		return 0, false
	}
	c.keepLocked()
	c.head.lastByteAt = time.Now()
	c.head.add(p)
	switch {
	case c.head.tooLarge():
		return HeadTooLarge, true
	case !c.chargeHeadLocked():
		return MemoryExhausted, true
	}
	return 0, false
}

const (
	// freeHeadMemory is the memory of a head that belongs to the cost of a connection: 16 KiB
	// with their copy.
	freeHeadMemory = 32 << 10
	// fieldMemory is what net/http keeps for each field of a head besides its bytes: a slice
	// for its values, an entry of a map and rounded-up allocations.
	fieldMemory = 100
)

// memory returns what a head holds: net/http has its lines and the parsed fields.
func (h *head) memory() int64 { return 2*int64(h.bytes) + fieldMemory*int64(h.lines) }

// chargeHeadLocked reports whether the memory budget has room for the head so far. c.mu must
// be held.
func (c *drainedConn) chargeHeadLocked() bool {
	bytes := c.head.memory() - freeHeadMemory - c.headCharge.Held()
	return bytes <= 0 || c.headCharge.TryGrow(bytes) == nil
}

// beginHeadLocked notes that the server gets the head of a request. c.mu must be held.
func (c *drainedConn) beginHeadLocked() {
	now := time.Now()
	c.phase, c.yielding, c.head = readingHead, false, head{beganAt: now, lastByteAt: now}
	if !c.isLimited() {
		return
	}
	limits := c.listener.opts.Limits.current()
	c.head.until = now.Add(limits.HeadTime)
	c.head.maxBytes = limits.HeadBytes + c.listener.opts.ExtraHeadBytes
	if !c.endingRead {
		_ = c.TCPConn.SetReadDeadline(c.head.until) // a broken connection fails at the next read
	}
}

// keepLocked keeps a connection open that was being closed, unless it yields. c.mu must be
// held.
func (c *drainedConn) keepLocked() {
	if c.endingRead && !c.yielding {
		c.endingRead = false
		_ = c.TCPConn.SetReadDeadline(c.deadline()) // a broken connection fails at the next read
	}
}

// deadline returns the deadline of the phase, zero for none. c.mu must be held.
func (c *drainedConn) deadline() time.Time {
	switch c.phase {
	case waiting:
		return c.waitUntil
	case readingHead:
		return c.head.until
	default:
		return time.Time{}
	}
}

// rearmMovedDeadline reports whether the limit at which a read has failed has been raised
// since.
func (c *drainedConn) rearmMovedDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isLimited() || c.phase == inRequest || c.endingRead || !time.Now().Before(c.deadline()) {
		return false
	}
	return c.TCPConn.SetReadDeadline(c.deadline()) == nil
}

// readAtDeadline reads what has arrived by the deadline that has passed. If that is
// nothing, a request of which a part has been read is rejected.
func (c *drainedConn) readAtDeadline(p []byte, deadlineErr error) (int, error) {
	c.mu.Lock()
	phase, ending, yielding, limited, isTLS := c.phase, c.endingRead, c.yielding, c.isLimited(), c.isTLS
	c.mu.Unlock()
	if !ending && (phase == inRequest || !limited) {
		return 0, deadlineErr
	}
	if n, err := c.readArrived(p, deadlineErr); n > 0 {
		return n, err
	}
	switch {
	case phase == readingHead && yielding:
		return 0, c.reject(ConnectionsFull)
	case yielding && c.listener.opts.OnYield != nil:
		c.listener.opts.OnYield()
	case phase == readingHead && ending && !isTLS:
		return 0, c.reject(Draining)
	case phase == readingHead && limited:
		return 0, c.reject(HeadTooSlow)
	case !ending && c.listener.opts.OnIdleTimeout != nil:
		c.listener.opts.OnIdleTimeout()
	}
	return 0, deadlineErr
}

// readArrived reads bytes that arrived before the connection was closed: a read that begins
// after its deadline returns none. It returns noneErr if there are none.
func (c *drainedConn) readArrived(p []byte, noneErr error) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var rerr error
	if err := raw.Control(func(fd uintptr) { n, _, rerr = unix.Recvfrom(int(fd), p, unix.MSG_DONTWAIT) }); err != nil {
		return 0, err
	}
	if rerr != nil || n <= 0 {
		return 0, noneErr
	}
	return n, nil
}

// SetReadDeadline implements net.Conn. It does not replace the deadline of a connection
// that is being closed, nor one of the listener's limits. http.Server, which has time-outs
// for idle connections and for heads, removes the deadline of no connection that waits for
// a request, but after each head. That request may have been read together with the one
// before, so that no read has shown it.
func (c *drainedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case t.IsZero():
		c.phase, c.endingRead, c.yielding = inRequest, false, false
	case c.phase != inRequest && !c.isTLS:
		c.noteServerDeadlineLocked()
		if c.isLimited() {
			t = c.deadline()
		}
	}
	if c.endingRead {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// noteServerDeadlineLocked notes that http.Server sets a deadline for a wait or for a head.
// The second one since a connection waits is for a head of which the server has some bytes,
// perhaps read together with the request before. c.mu must be held.
func (c *drainedConn) noteServerDeadlineLocked() {
	if c.phase == waiting && c.waitTimed && c.lineEnds < peekedBytes {
		c.beginHeadLocked()
		c.head.hasLine, c.head.lineBytes = true, 1
		if c.lineEnds > 0 {
			c.head.lineBytes = 0
		}
	}
	c.waitTimed = true
}

// Close implements net.Conn.
func (c *drainedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.mu.Lock()
	c.headCharge.Release()
	c.mu.Unlock()
	return c.TCPConn.Close()
}
