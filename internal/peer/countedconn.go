package peer

import (
	"net"
	"sync/atomic"
)

// byteCounter counts the bytes of all connections of a client or server.
type byteCounter struct{ sent, received atomic.Int64 }

// countedConn adds the bytes read and written to a counter. Below TLS it counts
// encrypted bytes.
type countedConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}
