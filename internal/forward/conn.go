package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// Timeouts and limits of connections to targets.
const (
	// connectTimeout bounds connecting to a target in the same region, where a
	// handshake takes milliseconds.
	connectTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged, or unread by a
	// target with a full buffer, before the connection counts as broken. On Linux it also
	// decides when keep-alive probes give up. Sound targets may be silent for a second
	// or two; the decision core tries repeatable requests elsewhere long before.
	unackedTimeout = 4 * time.Second
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 4 * time.Second
	// keepAliveMargin is how long before the target's announced idle timeout a
	// connection is no longer used. After that, the target could close the
	// connection while a request is on its way.
	keepAliveMargin = 700 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 16
	connBufferBytes  = 4 << 10
)

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	br        *bufio.Reader
	limiter   *readLimiter // below br
	targetKey string
	target    fleet.Target // for which it was made; without an id if it leads to a peer
	reused    bool
	deadline  time.Time // of the current attempt
	idleSince time.Time
	maxIdle   time.Duration
}

// countedConn is an open connection of a pool, which counts it.
type countedConn struct {
	net.Conn
	open   *atomic.Int64 // of the pool
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// readLimiter fails reads beyond a limit.
type readLimiter struct {
	io.Reader
	limited bool
	left    int // bytes, if limited
}

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// pool keeps idle connections by target key. The most recently used one is
// reused first.
type pool struct {
	maxOpen int64        // idle connections are closed beyond it; zero for no bound
	open    atomic.Int64 // connections, also those in use
	mu      sync.Mutex
	idle    map[string][]*conn
	closed  bool
}

func newPool(maxOpen int) *pool {
	return &pool{maxOpen: int64(maxOpen), idle: make(map[string][]*conn)}
}

// makeRoom closes the connection that has been idle for longest if the pool has as many as it
// may have. Those in use are bounded by the requests that use them.
func (p *pool) makeRoom() {
	if p.maxOpen == 0 || p.open.Load() < p.maxOpen {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, conns := range p.idle {
		if c := conns[0]; oldest == nil || c.idleSince.Before(oldest.idleSince) {
			oldest = c
		}
	}
	if oldest == nil {
		return
	}
	_ = oldest.Close()
	if p.idle[oldest.targetKey] = p.idle[oldest.targetKey][1:]; len(p.idle[oldest.targetKey]) == 0 {
		delete(p.idle, oldest.targetKey)
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	p.idle = nil
}

// get returns an idle connection to the target, or a new one if there is none
// or fresh is set. The key distinguishes incarnations of a target at one
// address. New connections come from localIP, unless that is nil.
func (p *pool) get(ctx context.Context, key, address string, localIP net.IP, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(key); c != nil {
			return c, nil
		}
	}
	p.makeRoom()
	c, err := dial(ctx, address, localIP)
	if err != nil {
		return nil, err
	}
	p.open.Add(1)
	limiter := &readLimiter{Reader: c}
	return &conn{
		Conn: &countedConn{Conn: c, open: &p.open}, br: bufio.NewReaderSize(limiter, connBufferBytes), limiter: limiter, targetKey: key, maxIdle: maxIdleTime,
	}, nil
}

// dial connects to a target or a peer, from localIP unless that is nil.
func dial(ctx context.Context, address string, localIP net.IP) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}, Control: setUnackedTimeout}
	if localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %q: %w", address, err)
	}
	return c, nil
}

// checkTarget connects to a target and reports the result to the decision core.
func (n *Node) checkTarget(check fleet.CheckTarget) {
	result := fleet.CheckAccepted
	c, err := dial(n.ctx, check.Target.Address, nil)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		result = fleet.CheckRefused
	case err != nil:
		result = fleet.CheckUnreachable
	default:
		_ = c.Close()
	}
	n.Step(fleet.TargetChecked{Target: check.Target, Result: result})
}

// setUnackedTimeout sets TCP_USER_TIMEOUT on a socket.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}

// takeIdle removes and returns a reusable idle connection, or nil if there is
// none. It closes those that are not reusable.
func (p *pool) takeIdle(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		conns := p.idle[key]
		if len(conns) == 0 {
			return nil
		}
		c := conns[len(conns)-1]
		if p.idle[key] = conns[:len(conns)-1]; len(conns) == 1 {
			delete(p.idle, key)
		}
		if time.Since(c.idleSince) < c.maxIdle && c.isReusable() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// drop closes the idle connections with a key.
func (p *pool) drop(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[key] {
		_ = c.Close()
	}
	delete(p.idle, key)
}

// put returns a connection to the pool once its last response has been read
// completely. It closes the connection if the pool is full or closed, or if the
// target's Keep-Alive header leaves no time for another request.
func (p *pool) put(c *conn, h http.Header) {
	c.maxIdle = maxIdleTime
	if s, ok := keepAliveSeconds(h); ok {
		c.maxIdle = min(c.maxIdle, time.Duration(s)*time.Second-keepAliveMargin)
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.maxIdle <= 0 || len(p.idle[c.targetKey]) >= maxIdlePerTarget || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.idle[c.targetKey] = append(p.idle[c.targetKey], c)
}

// keepAliveSeconds returns the timeout parameter of the Keep-Alive header.
func keepAliveSeconds(h http.Header) (int, bool) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			n, err := strconv.Atoi(v)
			return n, err == nil
		}
	}
	return 0, false
}

// isReusable reports whether the target has neither closed the connection nor
// sent bytes that belong to no request.
func (c *conn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingToRead = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}
