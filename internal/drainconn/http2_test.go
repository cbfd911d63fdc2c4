package drainconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// http2Server is a server of HTTP/2 whose requests to /slow take a while.
type http2Server struct {
	*httptest.Server
	listener *Listener
	begun    atomic.Int32 // requests to /slow
}

func startHTTP2(t *testing.T, slow time.Duration) *http2Server {
	t.Helper()
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	s := &http2Server{listener: New(tcp.(*net.TCPListener))}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			s.begun.Add(1)
			time.Sleep(slow)
		}
		_, _ = fmt.Fprint(w, "ok")
	}))
	_ = s.Listener.Close()
	s.Listener, s.EnableHTTP2, s.Config = s.listener, true, newServer(s.listener, s.Config.Handler)
	s.StartTLS()
	t.Cleanup(s.Close)
	return s
}

func (s *http2Server) get(path string) error {
	resp, err := s.Client().Get(s.URL + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.ProtoMajor != 2 {
		return fmt.Errorf("protocol %s, want HTTP/2", resp.Proto)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// A running request over HTTP/2 must not be cut with the idle connections, also if it is the
// first on its connection.
func TestHTTP2RequestIsNotCutByTheCloseOfIdleConnections(t *testing.T) {
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			s := startHTTP2(t, 900*time.Millisecond)
			done := make(chan error, 1)
			go func() { done <- s.get("/slow") }()
			for s.begun.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			for {
				s.listener.CloseIdle(newConnGrace)
				select {
				case err := <-done:
					if err != nil {
						t.Error(err)
					}
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
	wg.Wait()
}

// Frames that belong to no request must not keep an idle connection open until the end of a
// stop.
func TestIdleHTTP2ConnectionIsClosed(t *testing.T) {
	for range 10 {
		s := startHTTP2(t, 0)
		must.NoError(t, s.get("/quick"))
		for end := time.Now().Add(3 * time.Second); s.listener.Counts().Total() > 0; {
			must.True(t, time.Now().Before(end))
			s.listener.CloseIdle(0)
			time.Sleep(10 * time.Millisecond)
		}
	}
}
