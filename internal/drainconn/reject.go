package drainconn

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Rejection is the reason for which a request is rejected before its head has been read.
// The request is not passed on, and its connection is closed.
type Rejection uint8

// Reasons for rejecting a request.
const (
	// HeadTooLarge means that the head exceeds Limits.HeadBytes.
	HeadTooLarge Rejection = iota
	// HeadTooSlow means that the head was not complete within Limits.HeadTime.
	HeadTooSlow
	// Draining means that the listener ends its connections.
	Draining
	// ConnectionsFull means that there are Options.MaxConns connections.
	ConnectionsFull
	// MemoryExhausted means that Options.Budget has no room for the head.
	MemoryExhausted
)

// Status returns the HTTP status of the response.
func (r Rejection) Status() int {
	switch r {
	case HeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case HeadTooSlow:
		return http.StatusRequestTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// Error implements error.
func (r Rejection) Error() string {
	return fmt.Sprintf("request rejected with status %d", r.Status())
}

// Bounds of the end of a connection after a rejection.
const (
	rejectWriteTimeout = time.Second
	// The rest of what the caller sends is read, since closing a connection with unread
	// bytes resets it, and the caller may not see the response then.
	rejectReadTimeout  = 500 * time.Millisecond
	maxBytesAfterwards = 256 << 10
)

// reject answers the request whose head is being read, and returns the error of the read.
// No other answer is being written meanwhile: the server reads a head when the answer
// before has been written.
func (c *drainedConn) reject(reason Rejection) error {
	c.mu.Lock()
	c.phase = inRequest // CloseIdle lets it end
	c.mu.Unlock()
	h := c.listener.rejectionHeaders(reason)
	_ = c.SetWriteDeadline(time.Now().Add(rejectWriteTimeout)) // a broken connection fails the write
	if _, err := c.Write(encodeRejection(reason, h)); err == nil {
		c.awaitClose()
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: reason}
}

// rejectionHeaders returns the headers of a rejection, which it reports.
func (l *Listener) rejectionHeaders(reason Rejection) http.Header {
	h := make(http.Header)
	if l.opts.OnReject != nil {
		maps.Copy(h, l.opts.OnReject(reason))
	}
	return h
}

func encodeRejection(reason Rejection, h http.Header) []byte {
	text := http.StatusText(reason.Status())
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", reason.Status(), text)
	_ = h.Write(&b) // writes to a buffer cannot fail
	b.WriteString("\r\n" + text + "\n")
	return b.Bytes()
}

// awaitClose lets the caller read the response before the connection is closed.
func (c *drainedConn) awaitClose() {
	if c.CloseWrite() != nil || c.TCPConn.SetReadDeadline(time.Now().Add(rejectReadTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.TCPConn, maxBytesAfterwards) // what it reads belongs to no request
}
