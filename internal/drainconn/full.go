package drainconn

import (
	"io"
	"net"
	"time"
)

// Times after which a connection that brings no request may be closed for a new one. A caller
// that has just connected sends its request within a round trip, and a head that is one
// packet arrives whole.
const (
	yieldWaitTime = 250 * time.Millisecond
	yieldHeadTime = time.Second
)

// marginDivisor is Options.MaxConns divided by the number of connections that may be open
// beyond it until those that yield are closed, and by that of connections that are just
// refused.
const marginDivisor = 8

// margin returns how many connections may be open beyond Options.MaxConns for either reason.
func (o *Options) margin() int { return max(1, o.MaxConns/marginDivisor) }

// MaxConnsOf returns the Options.MaxConns with which a listener has at most the given number of
// descriptors, and one at least.
func MaxConnsOf(descriptors int) int {
	return max(1, descriptors*marginDivisor/(marginDivisor+2))
}

// makeRoom reports whether one more connection may be accepted. At the limit, the connection
// that has waited longest without a request is closed for it, so that idle connections keep
// no caller out.
func (l *Listener) makeRoom() bool {
	l.mu.Lock()
	open := len(l.conns)
	l.mu.Unlock()
	switch {
	case l.opts.MaxConns == 0 || open < l.opts.MaxConns:
		return true
	case open >= l.opts.MaxConns+l.opts.margin():
		return false
	}
	return l.yieldLongestWaiting() || l.opts.OnFull != nil && l.opts.OnFull()
}

// yieldLongestWaiting closes the connection that has been without a request for longest, and
// reports whether there is one.
func (l *Listener) yieldLongestWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest *drainedConn
	var since time.Time
	for c := range l.conns {
		if begin, ok := c.yieldableSince(); ok && (longest == nil || begin.Before(since)) {
			longest, since = c, begin
		}
	}
	return longest != nil && longest.yield()
}

// yieldableSince returns since when a connection has brought no request, if that is long
// enough to close it.
func (c *drainedConn) yieldableSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isTLS || c.endingRead:
		return time.Time{}, false
	case c.phase == waiting:
		return c.waitingSince, time.Since(c.waitingSince) >= yieldWaitTime
	case c.phase == readingHead:
		return c.head.beganAt, time.Since(c.head.beganAt) >= yieldHeadTime
	default:
		return time.Time{}, false
	}
}

// yield lets the pending read fail, on which the server closes the connection. A request that
// arrives first is served; one of which a part has been read is rejected. It reports whether
// the connection is still without a request.
func (c *drainedConn) yield() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inRequest {
		return false
	}
	c.yielding = true
	c.endReadLocked()
	return true
}

// refuse answers a connection that is one too many, and closes it. Of many at a time it
// answers some.
func (l *Listener) refuse(conn *net.TCPConn) {
	select {
	case l.refusing <- struct{}{}:
	default:
		l.countRefused()
		_ = conn.Close() // it has served nothing
		return
	}
	response := encodeRejection(ConnectionsFull, l.rejectionHeaders(ConnectionsFull))
	go func() {
		defer func() { <-l.refusing }()
		defer func() { _ = conn.Close() }()
		if conn.SetDeadline(time.Now().Add(rejectReadTimeout)) != nil {
			return
		}
		if _, err := conn.Write(response); err != nil || conn.CloseWrite() != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, conn, maxBytesAfterwards) // what it reads belongs to no request
	}()
}

func (l *Listener) countRefused() {
	if l.opts.OnRefuse != nil {
		l.opts.OnRefuse()
	}
}
