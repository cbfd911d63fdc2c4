package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times and sizes of connections to targets.
const (
	// connectTimeout bounds the making of a connection within a region, where a
	// handshake takes milliseconds.
	connectTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay without an acknowledgement
	// before the connection counts as broken.
	unackedTimeout = 1500 * time.Millisecond
	// maxIdle is how long a connection is kept without a request.
	maxIdle = 4 * time.Second
	// expiryMargin is how long before a target's announced idle time-out a
	// connection is no longer used: a request could cross the close.
	expiryMargin = 700 * time.Millisecond
	// maxIdlePerTarget bounds the connections kept to one target.
	maxIdlePerTarget = 16
	connBufferBytes  = 4 << 10
)

// conn is a connection to a target; it carries one request at a time.
type conn struct {
	net.Conn
	br        *bufio.Reader
	target    string
	reused    bool
	idleSince time.Time
	idleLimit time.Duration
}

// pool keeps idle connections, the last used first.
type pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

func newPool() *pool { return &pool{idle: make(map[string][]*conn)} }

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

// get returns a connection to the target at the address, a kept one unless fresh
// is set. Keys tell incarnations at one address apart.
func (p *pool) get(ctx context.Context, key, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.take(key); c != nil {
			return c, nil
		}
	}
	dialer := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}, Control: setUnackedTimeout}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect to target at %q: %w", address, err)
	}
	return &conn{Conn: c, br: bufio.NewReaderSize(c, connBufferBytes), target: key, idleLimit: maxIdle}, nil
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}

// take returns a kept connection that is still quiet, or nil.
func (p *pool) take(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		conns := p.idle[key]
		if len(conns) == 0 {
			delete(p.idle, key)
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[key] = conns[:len(conns)-1]
		if time.Since(c.idleSince) < c.idleLimit && c.quiet() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// put keeps a connection whose last answer was read to its end.
func (p *pool) put(c *conn, h http.Header) {
	c.idleLimit = maxIdle
	if s, ok := keepAliveSeconds(h); ok {
		c.idleLimit = min(c.idleLimit, time.Duration(s)*time.Second-expiryMargin)
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.idleLimit <= 0 || len(p.idle[c.target]) >= maxIdlePerTarget || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

func keepAliveSeconds(h http.Header) (int, bool) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			n, err := strconv.Atoi(v)
			return n, err == nil
		}
	}
	return 0, false
}

// quiet reports whether the target has neither closed the connection nor sent
// bytes that belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
