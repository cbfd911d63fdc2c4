// Package peer transports messages between entry instances by net/rpc with gob
// over mutually authenticated TLS. It contains no policy.
package peer

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"time"
)

// MaxMessageBytes is the maximum size of one message in bytes.
const MaxMessageBytes = 4 << 20

// writeTimeout bounds the time to write one message, so that a peer that does not
// read can't block the sender.
const writeTimeout = 5 * time.Second

// idleTimeout is the time without received data after which a connection is closed.
const idleTimeout = 10 * time.Minute

// codec is like the gob codec of net/rpc, with a size limit on each message and
// deadlines on the connection.
type codec struct {
	conn   net.Conn
	reader *limitedReader
	dec    *gob.Decoder
	enc    *gob.Encoder
	buf    *bufio.Writer
}

// limitedReader returns an error once MaxMessageBytes were read since remaining
// was last reset. The codec resets it before each message header.
type limitedReader struct {
	conn      net.Conn
	remaining int
}

// Read implements io.Reader. Each call extends the read deadline by idleTimeout.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, fmt.Errorf("read message from peer %s: exceeds %d bytes", r.conn.RemoteAddr(), MaxMessageBytes)
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

func newCodec(conn net.Conn) *codec {
	reader := &limitedReader{conn: conn, remaining: MaxMessageBytes}
	buf := bufio.NewWriter(conn)
	return &codec{conn: conn, reader: reader, dec: gob.NewDecoder(bufio.NewReader(reader)), enc: gob.NewEncoder(buf), buf: buf}
}

func (c *codec) decode(v any) error { return c.dec.Decode(v) }

// writeMessage writes a header and its body and flushes them.
func (c *codec) writeMessage(header, body any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := c.enc.Encode(header); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.buf.Flush()
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

type serverCodec struct{ *codec }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.reader.remaining = MaxMessageBytes
	return c.decode(r)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(v any) error { return c.decode(v) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, v any) error {
	err := c.writeMessage(r, v)
	if err != nil {
		c.conn.Close()
	}
	return err
}

type clientCodec struct{ *codec }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, v any) error { return c.writeMessage(r, v) }

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	c.reader.remaining = MaxMessageBytes
	return c.decode(r)
}

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(v any) error { return c.decode(v) }

var (
	_ rpc.ServerCodec = serverCodec{}
	_ rpc.ClientCodec = clientCodec{}
	_ io.Closer       = (*codec)(nil)
)
