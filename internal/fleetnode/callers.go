package fleetnode

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnGrace is how long after its acceptance a connection may still bring its first
// request during a stop.
const newConnGrace = time.Second

// callerListener accepts callers' connections and ends them during a stop without losing
// a request that is just arriving. http.Server cannot: it counts a connection as idle
// until it has read the whole head of the next request, and would close it while that
// request is passed on.
type callerListener struct {
	*net.TCPListener
	mu       sync.Mutex
	conns    map[*callerConn]bool
	draining bool // connections are closed when they become idle
}

// listenCallers listens at an address, given as host:port.
func listenCallers(address string) (*callerListener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return &callerListener{TCPListener: listener.(*net.TCPListener), conns: make(map[*callerConn]bool)}, nil
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &callerConn{TCPConn: conn, listener: l, acceptedAt: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// newServer returns a server for the listener's connections. SetReadDeadline relies on its
// time-outs.
func (l *callerListener) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: l.recordState,
	}
}

// recordState is the server's http.Server.ConnState.
func (l *callerListener) recordState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok || state != http.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.setIdle()
	if l.draining {
		c.closeIfIdle()
	}
}

// closeIdle closes the connections that wait for a next request, and from now on those
// that would.
func (l *callerListener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for c := range l.conns {
		c.closeIfIdle()
	}
}

// isBusy reports whether a connection is in use or may bring a first request.
func (l *callerListener) isBusy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if started, _ := c.state(); started || time.Since(c.acceptedAt) < newConnGrace {
			return true
		}
	}
	return false
}

// connCounts are numbers of open connections by their state: idle ones have served a
// request and wait for the next, unused ones have not brought a byte yet.
type connCounts struct{ inUse, idle, unused int }

func (l *callerListener) counts() connCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n connCounts
	for c := range l.conns {
		switch started, idle := c.state(); {
		case !started:
			n.unused++
		case idle:
			n.idle++
		default:
			n.inUse++
		}
	}
	return n
}

// callerConn is one caller's connection.
type callerConn struct {
	*net.TCPConn
	listener   *callerListener
	acceptedAt time.Time
	mu         sync.Mutex
	started    bool // a byte has been read
	idle       bool // a request has ended, and no byte of the next has been read
	closing    bool // a read that gets no byte ends the connection
}

func (c *callerConn) state() (started, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started, c.idle
}

func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// closeIfIdle lets the pending read of an idle connection fail, on which the server
// closes it. If bytes of a request arrive first, the request is served.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.closing = true
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // a broken connection ends without it
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started, c.idle = true, false
	if c.closing {
		c.closing = false
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // a broken connection fails at the next read
	}
	return n, err
}

// SetReadDeadline implements net.Conn. It does not replace the deadline of a connection
// that is being closed. http.Server, which has time-outs for idle connections and for
// heads, removes the deadline only when it has read a whole head. That request may have
// been read together with the one before, so that no read has shown it.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() {
		c.idle, c.closing = false, false
	}
	if c.closing {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
