package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/medlardeck/medlardeck/internal/drainconn"
)

const (
	// newConnGrace is how long after its acceptance a connection may still bring its first
	// request during a stop.
	newConnGrace = time.Second
	// drainPollInterval is the time between two looks at the connections that are left.
	drainPollInterval = 10 * time.Millisecond
)

// httpServer is an HTTP server whose connections can be drained. The server's own shutdown
// drops a request whose head is being read.
type httpServer struct {
	*http.Server
	listener *drainconn.Listener
	served   chan struct{} // closed when no more connections are accepted
}

// newHTTPServer returns a server of the connections of a TCP listener.
func newHTTPServer(listener net.Listener, server *http.Server) *httpServer {
	s := &httpServer{Server: server, listener: drainconn.New(listener.(*net.TCPListener)), served: make(chan struct{})}
	server.ConnState = s.listener.RecordState
	return s
}

// serve serves the listener's connections, with TLS if the server has a TLS configuration,
// until the listener or the server is closed.
func (s *httpServer) serve() error {
	defer close(s.served)
	var err error
	if s.TLSConfig != nil {
		err = s.ServeTLS(s.listener, "", "")
	} else {
		err = s.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
}

// drain accepts no more connections and closes each after the answer to its request. It
// returns the error of ctx if that ends before the last connection does.
func (s *httpServer) drain(ctx context.Context) error {
	_ = s.listener.Close() // fails if it is closed already
	<-s.served
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		s.listener.CloseIdle(newConnGrace)
		if s.listener.Counts().Total() == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("drain %s: %w", s.listener.Addr(), ctx.Err())
		}
	}
}
