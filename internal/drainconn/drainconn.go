// Package drainconn accepts connections of HTTP callers and ends them without losing a
// request that is just arriving.
package drainconn

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/membudget"
)

// Listener accepts connections of callers, or of peers that relay their requests, and
// ends them during a stop without losing a request that is just arriving. http.Server
// cannot: it counts a connection as idle until it has read the whole head of the next
// request, and would close it while that request is passed on.
type Listener struct {
	*net.TCPListener
	opts     Options
	mu       sync.Mutex
	conns    map[*drainedConn]bool
	draining bool          // connections are closed when they become idle
	refusing chan struct{} // holds one element for each connection that is being refused
}

// Options configures a Listener.
type Options struct {
	// Allowed says from which addresses connections are accepted; nil for all.
	Allowed func(netip.Addr) bool
	// Limits bound what callers may send; nil for the limits of http.Server alone. They do
	// not apply to connections with TLS.
	Limits *LimitSource
	// MaxConns bounds the open connections; zero for no bound. See MaxConnsOf.
	MaxConns int
	// Budget is the memory of long heads; nil for no bound.
	Budget *membudget.Budget
	// ExtraHeadBytes are added to the limit of a head.
	ExtraHeadBytes int
	// OnReject is called before a request is rejected, and returns headers to add to the
	// response; nil for none.
	OnReject func(Rejection) http.Header
	// OnIdleTimeout is called when a connection is closed because of Limits.IdleTime; may be
	// nil.
	OnIdleTimeout func()
	// OnFull is called when a connection is accepted beyond MaxConns and none is without a
	// request. It reports whether it has ended a request, so that a connection will be
	// closed; nil for no.
	OnFull func() bool
	// OnYield is called when a connection without a request is closed for a new one, and
	// OnRefuse when a connection is closed without a response since there are MaxConns; both
	// may be nil.
	OnYield, OnRefuse func()
	Log               logr.Logger
}

// Listen listens at an address, given as host:port.
func Listen(address string, opts Options) (*Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	l := New(listener.(*net.TCPListener))
	l.opts, l.refusing = opts, make(chan struct{}, opts.margin())
	if opts.Limits != nil {
		opts.Limits.add(l)
	}
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
		if l.opts.Allowed != nil && !l.opts.Allowed(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()) {
			l.opts.Log.Info("relay-connection-refused", "from", conn.RemoteAddr().String())
			_ = conn.Close()
			continue
		}
		if !l.makeRoom() {
			l.refuse(conn)
			continue
		}
		return l.add(conn), nil
	}
}

func (l *Listener) add(conn *net.TCPConn) *drainedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &drainedConn{TCPConn: conn, listener: l, acceptedAt: time.Now(), headCharge: l.opts.Budget.NewCharge()}
	c.waitingSince, c.waitUntil = c.acceptedAt, l.opts.Limits.waitUntil(c.acceptedAt)
	l.conns[c] = true
	return c
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
			c.endReadUnlessUsed(0)
		}
	}
}

// protocolHTTP2 is the name by which callers ask for HTTP/2 in the TLS handshake.
const protocolHTTP2 = "h2"

// CloseIdle closes the connections that wait for a next request, and from now on those
// that would. Connections that have been open for unusedFor without bringing a request are
// closed too, and a request whose head has got no byte for as long is rejected.
func (l *Listener) CloseIdle(unusedFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for c := range l.conns {
		c.endReadUnlessUsed(unusedFor)
	}
}

// applyLimits applies changed limits to the connections that wait for a request.
func (l *Listener) applyLimits() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.applyIdleLimit()
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
