package network

import (
	"net"
	"os"
	"sync"
	"time"
)

// conn is a connection that a cut holds back.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	closed   chan struct{}
	once     sync.Once

	mu          sync.Mutex
	read, write time.Time // deadlines, zero for none
}

func newConn(c net.Conn, n *Network, from, to string) *conn {
	return &conn{Conn: c, network: n, from: from, to: to, closed: make(chan struct{})}
}

// pass waits until no cut lies on the way.
func (c *conn) pass(deadline func() time.Time) error {
	for b := c.network.barrier(c.from, c.to); b != nil; b = c.network.barrier(c.from, c.to) {
		if err := c.wait(b, deadline()); err != nil {
			return err
		}
	}
	return nil
}

func (c *conn) wait(healed <-chan struct{}, deadline time.Time) error {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-healed:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// Read implements net.Conn. What arrives during a cut is passed on after it.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && err != nil {
		return n, err
	}
	if perr := c.pass(c.readDeadline); perr != nil {
		return 0, perr
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.pass(c.writeDeadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *conn) readDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

func (c *conn) writeDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.read, c.write = t, t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.read = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.write = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}
