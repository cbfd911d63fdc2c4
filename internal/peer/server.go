package peer

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/medlardeck/medlardeck/internal/entry"
)

// MessageHandler handles a message received from a peer. from is the name that the
// sender gave; it is not authenticated.
type MessageHandler func(from string, msg entry.Message)

// Envelope is one message and the name of its sender, as sent on the wire.
type Envelope struct {
	From    string
	Message entry.Message
}

// Ack is the empty response that confirms a delivered message.
type Ack struct{}

// messageService is the net/rpc service that receives messages.
type messageService struct{ handle MessageHandler }

// Deliver passes one message to the handler.
func (s *messageService) Deliver(env *Envelope, _ *Ack) error {
	s.handle(env.From, env.Message)
	return nil
}

// deliverMethod is the net/rpc name of messageService.Deliver.
const deliverMethod = "Peer.Deliver"

// Server receives messages from peers.
type Server struct {
	listener  net.Listener
	tlsConfig *tls.Config
	rpc       *rpc.Server
	bytes     byteCounter

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// Serve accepts connections on ln until Close. With a nil config connections
// are plain TCP.
func Serve(ln net.Listener, config *tls.Config, handler MessageHandler) (*Server, error) {
	s := &Server{listener: ln, tlsConfig: config, rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName("Peer", &messageService{handle: handler}); err != nil {
		return nil, err
	}
	s.wg.Add(1)
	go s.acceptConnections()
	return s, nil
}

// acceptConnections serves each connection in a goroutine until the listener is
// closed.
func (s *Server) acceptConnections() {
	defer s.wg.Done()
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return
		}
		var conn net.Conn = &countedConn{Conn: raw, counter: &s.bytes}
		if s.tlsConfig != nil {
			conn = tls.Server(conn, s.tlsConfig)
		}
		if !s.trackConn(conn) {
			conn.Close()
			return
		}
		go func() {
			defer s.wg.Done()
			s.rpc.ServeCodec(serverCodec{newCodec(conn)})
			s.untrackConn(conn)
		}()
	}
}

// trackConn registers a connection, so that Close closes it and waits for its
// goroutine. It returns false if the server is closed.
func (s *Server) trackConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) untrackConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Bytes returns the bytes sent and received on all connections so far, including
// the overhead of TLS.
func (s *Server) Bytes() (sent, received int64) {
	return s.bytes.sent.Load(), s.bytes.received.Load()
}

// Close closes the listener and all connections and waits until their goroutines
// have ended.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
