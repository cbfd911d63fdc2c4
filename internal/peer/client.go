package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/medlardeck/medlardeck/internal/entry"
)

// Bounds of the backoff after a failed connection attempt. It doubles with each
// consecutive failure.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// ErrBackoff is returned when a message was not sent because the backoff after a
// failed connection attempt has not expired.
var ErrBackoff = errors.New("peer is in backoff after a failed connection attempt")

// Client sends messages to peers. It keeps one connection to each address open
// and is safe for concurrent use.
type Client struct {
	sender      string
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)
	tlsConfig   *tls.Config

	mu    sync.Mutex
	conns map[string]*peerConn
	bytes byteCounter
}

// peerConn is the connection to one address and its backoff state. client is nil
// while there is no connection.
type peerConn struct {
	mu      sync.Mutex
	client  *rpc.Client
	backoff time.Duration
	retryAt time.Time // earliest time of the next connection attempt
}

// NewClient returns a client that sends messages under the sender name from. With
// a nil config connections are plain TCP.
func NewClient(from string, config *tls.Config) *Client {
	var dialer net.Dialer
	return NewClientWithDialer(dialer.DialContext, from, config)
}

// NewClientWithDialer is NewClient with a custom dial function.
func NewClientWithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error), from string, config *tls.Config) *Client {
	return &Client{sender: from, tlsConfig: config, dialContext: dial, conns: map[string]*peerConn{}}
}

// Send sends one message to the peer at address and waits until the peer confirms
// it or ctx ends. An error after the connection was made leaves open whether the
// message was delivered; the connection is then closed.
func (c *Client) Send(ctx context.Context, address string, msg entry.Message) error {
	pc := c.connTo(address)
	client, err := pc.connect(ctx, c, address)
	if err != nil {
		return fmt.Errorf("connect to peer %s: %w", address, err)
	}
	call := client.Go(deliverMethod, &Envelope{From: c.sender, Message: msg}, &Ack{}, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		pc.closeClient(client)
		return fmt.Errorf("send to peer %s: %w", address, err)
	}
	return nil
}

// Bytes returns the bytes sent and received on all connections so far, including
// the overhead of TLS.
func (c *Client) Bytes() (sent, received int64) {
	return c.bytes.sent.Load(), c.bytes.received.Load()
}

// connTo returns the entry for an address and adds it if there is none.
func (c *Client) connTo(address string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	pc := c.conns[address]
	if pc == nil {
		pc = &peerConn{}
		c.conns[address] = pc
	}
	return pc
}

// connect returns the open connection or makes a new one. It holds the lock while
// it dials, so that concurrent senders share one attempt.
func (pc *peerConn) connect(ctx context.Context, c *Client, address string) (*rpc.Client, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.client != nil {
		return pc.client, nil
	}
	if time.Now().Before(pc.retryAt) {
		return nil, ErrBackoff
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		pc.backoff = min(maxBackoff, max(minBackoff, 2*pc.backoff))
		pc.retryAt = time.Now().Add(pc.backoff)
		return nil, err
	}
	pc.backoff = 0
	pc.client = rpc.NewClientWithCodec(clientCodec{newCodec(conn)})
	return pc.client, nil
}

// dial connects to a peer and completes the TLS handshake if TLS is configured.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.dialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: conn, counter: &c.bytes}
	if c.tlsConfig == nil {
		return counted, nil
	}
	secure := tls.Client(counted, c.tlsConfig)
	if err := secure.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secure, nil
}

// closeClient closes a failed client. It removes it from the entry only if it has
// not been replaced by a newer one.
func (pc *peerConn) closeClient(client *rpc.Client) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.client == client {
		pc.client = nil
	}
	_ = client.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pc := range c.conns {
		pc.mu.Lock()
		if pc.client != nil {
			_ = pc.client.Close()
			pc.client = nil
		}
		pc.mu.Unlock()
	}
}
