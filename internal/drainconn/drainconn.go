// Package drainconn accepts connections of HTTP callers and ends them without losing a
// request that is just arriving.
package drainconn

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"
)

// tlsRequestTime is how long an idle connection with TLS may take to bring a next request
// when it is to be closed.
const tlsRequestTime = 500 * time.Millisecond

// Listener accepts connections of callers, or of peers that relay their requests, and
// ends them during a stop without losing a request that is just arriving. http.Server
// cannot: it counts a connection as idle until it has read the whole head of the next
// request, and would close it while that request is passed on.
type Listener struct {
	*net.TCPListener
	log logr.Logger
	// allowed says from which addresses connections are accepted; nil for all.
	allowed  func(netip.Addr) bool
	mu       sync.Mutex
	conns    map[*drainedConn]bool
	draining bool // connections are closed when they become idle
}

// Listen listens at an address, given as host:port. It accepts connections from the allowed
// addresses, or from all if allowed is nil.
func Listen(address string, allowed func(netip.Addr) bool, log logr.Logger) (*Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	l := New(listener.(*net.TCPListener))
	l.log, l.allowed = log, allowed
	return l, nil
}

// New returns a Listener that accepts all connections of a TCP listener.
func New(listener *net.TCPListener) *Listener {
	return &Listener{TCPListener: listener, conns: make(map[*drainedConn]bool)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if l.allowed != nil && !l.allowed(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()) {
			l.log.Info("relay-connection-refused", "from", conn.RemoteAddr().String())
			_ = conn.Close()
			continue
		}
		c := &drainedConn{TCPConn: conn, listener: l, acceptedAt: time.Now()}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		return c, nil
	}
}

// RecordState is the http.Server.ConnState of the server. The server needs time-outs for
// heads and idle connections: SetReadDeadline relies on them.
func (l *Listener) RecordState(conn net.Conn, state http.ConnState) {
	overTLS, isTLS := conn.(*tls.Conn)
	if isTLS {
		conn = overTLS.NetConn()
	}
	c, ok := conn.(*drainedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.setTLS(isTLS)
	case http.StateActive:
		c.setActive()
	case http.StateIdle:
		l.mu.Lock()
		defer l.mu.Unlock()
		c.setIdle(isTLS && overTLS.ConnectionState().NegotiatedProtocol == protocolHTTP2)
		if l.draining {
			_ = c.endReadIfIdle()
		}
	}
}

// protocolHTTP2 is the name by which callers ask for HTTP/2 in the TLS handshake.
const protocolHTTP2 = "h2"

// CloseIdle closes the connections that wait for a next request, and from now on those
// that would. Connections that have been open for unusedFor without bringing a request are
// closed too.
func (l *Listener) CloseIdle(unusedFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for c := range l.conns {
		if !c.endReadIfIdle() && time.Since(c.acceptedAt) >= unusedFor {
			c.endReadIfUnused()
		}
	}
}

// Counts are numbers of open connections by their state: idle ones have served a
// request and wait for the next, unused ones have not brought a byte yet.
type Counts struct{ InUse, Idle, Unused int }

// Plus returns the sums of both counts.
func (n Counts) Plus(other Counts) Counts {
	return Counts{n.InUse + other.InUse, n.Idle + other.Idle, n.Unused + other.Unused}
}

// Total returns the number of open connections.
func (n Counts) Total() int { return n.InUse + n.Idle + n.Unused }

// Counts counts the open connections.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n Counts
	for c := range l.conns {
		switch used, idle := c.state(); {
		case !used:
			n.Unused++
		case idle:
			n.Idle++
		default:
			n.InUse++
		}
	}
	return n
}

// drainedConn is one connection.
type drainedConn struct {
	*net.TCPConn
	listener   *Listener
	acceptedAt time.Time
	mu         sync.Mutex
	bytesRead  bool // a byte has been read, perhaps of the TLS handshake
	requested  bool // the server has read of a request
	idle       bool // a request has ended, and no byte of the next has been read
	isTLS      bool // bytes of a next request may be in the TLS layer while it is idle
	isHTTP2    bool // bytes need not be of a request
	endingRead bool // a read that gets no byte ends the connection
}

func (c *drainedConn) state() (used, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isUsed(), c.idle
}

// isUsed reports whether bytes of a request have been read. c.mu must be held.
func (c *drainedConn) isUsed() bool {
	if c.isTLS {
		return c.requested
	}
	return c.bytesRead
}

func (c *drainedConn) setTLS(isTLS bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isTLS = isTLS
}

// setActive notes that the server has read of a request.
func (c *drainedConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested, c.idle = true, false
	c.keepLocked()
}

func (c *drainedConn) setIdle(isHTTP2 bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.isHTTP2 = true, isHTTP2
}

// endReadIfIdle closes the connection if it is idle, and reports whether it is.
func (c *drainedConn) endReadIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.endReadLocked()
	}
	return c.idle
}

// endReadIfUnused closes a connection that has not brought a byte.
func (c *drainedConn) endReadIfUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isUsed() {
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
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isEndingRead() {
		n, err = c.readArrived(p, err)
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesRead = true
	if !c.isHTTP2 {
		c.idle = false
		c.keepLocked()
	}
	return n, err
}

// keepLocked keeps a connection open that was being closed. c.mu must be held.
func (c *drainedConn) keepLocked() {
	if c.endingRead {
		c.endingRead = false
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // a broken connection fails at the next read
	}
}

func (c *drainedConn) isEndingRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endingRead
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
// that is being closed. http.Server, which has time-outs for idle connections and for
// heads, removes the deadline of no connection that waits for a request, but after each
// head. That request may have been read together with the one before, so that no read has
// shown it.
func (c *drainedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() {
		c.idle, c.endingRead = false, false
	}
	if c.endingRead {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *drainedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
