package drainconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newConnGrace is how long an unused connection may have been open.
const newConnGrace = time.Second

// newServer returns a server for the listener's connections.
func newServer(l *Listener, handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, ConnState: l.RecordState}
}

// callerServer is a server of callers that counts the runs of requests to /last.
type callerServer struct {
	*Listener
	server *http.Server
	runs   atomic.Int32
}

func startCallerServer(t *testing.T) *callerServer {
	t.Helper()
	listener, err := Listen("127.0.0.1:0", Options{})
	must.NoError(t, err)
	s := &callerServer{Listener: listener}
	s.server = newServer(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			s.runs.Add(1)
			w.Header().Set("Connection", "close")
			time.Sleep(time.Millisecond)
		}
		_, _ = fmt.Fprint(w, "ok")
	}))
	go func() { _ = s.server.Serve(s) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// dialIdle opens a connection that has served one request and waits for the next.
func (s *callerServer) dialIdle(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp4", s.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprint(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	br := bufio.NewReader(conn)
	must.Eq(t, 200, readStatus(t, br))
	time.Sleep(200 * time.Microsecond) // the connection becomes idle after its response
	return conn, br
}

// readStatus reads a response and returns its status, or zero if there is none.
func readStatus(t *testing.T, br *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// A stopping instance closes idle connections while requests arrive on them: a request
// that is run gets its answer, whenever its bytes come.
func TestRequestThatCrossesTheCloseOfIdleConnectionsIsAnswered(t *testing.T) {
	answered, closed := 0, 0
	for i := range 500 {
		s := startCallerServer(t)
		conn, br := s.dialIdle(t)
		go func() {
			time.Sleep(time.Duration(i%25) * 8 * time.Microsecond)
			s.CloseIdle(newConnGrace)
		}()
		time.Sleep(time.Duration(i%11) * 15 * time.Microsecond)
		head, rest := "GET /last HTTP/1.1\r\nHo", "st: h\r\n\r\n"
		if i%2 == 0 {
			head, rest = head+rest, ""
		}
		_, _ = conn.Write([]byte(head)) // fails if the connection is closed already
		_, _ = conn.Write([]byte(rest))
		if readStatus(t, br) == 200 {
			answered++
			continue
		}
		must.Eq(t, 0, s.runs.Load(), must.Sprintf("try %d: the request ran and got no answer", i))
		closed++
	}
	must.Greater(t, 20, answered)
	must.Greater(t, 20, closed)
}

// Idle connections end, and those in use do not.
func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	s := startCallerServer(t)
	_, idle := s.dialIdle(t)
	busy, busyReader := s.dialIdle(t)
	_, err := fmt.Fprint(busy, "GET /last HTTP/1.1\r\nHost: h\r\n")
	must.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	s.CloseIdle(newConnGrace)
	must.Eq(t, 0, readStatus(t, idle))
	time.Sleep(50 * time.Millisecond)
	_, err = fmt.Fprint(busy, "\r\n")
	must.NoError(t, err)
	must.Eq(t, 200, readStatus(t, busyReader))
}

// A caller that sends its next request without waiting for an answer must not lose it when
// the idle connections are closed: the request may have been read with the one before.
func TestRequestReadWithTheOneBeforeIsNotCutByTheCloseOfIdleConnections(t *testing.T) {
	listener, err := Listen("127.0.0.1:0", Options{})
	must.NoError(t, err)
	begun, cut := make(chan struct{}), make(chan bool, 1)
	server := newServer(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			close(begun)
			select {
			case <-r.Context().Done():
				cut <- true
			case <-time.After(200 * time.Millisecond):
				cut <- false
			}
		}
		_, _ = fmt.Fprint(w, "ok")
	}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp4", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprint(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	<-begun
	listener.CloseIdle(newConnGrace)
	must.False(t, <-cut)
	br := bufio.NewReader(conn)
	must.Eq(t, 200, readStatus(t, br))
	must.Eq(t, 200, readStatus(t, br))
}

// A request that arrives while the one before is being answered must not be lost because
// the connection is closed as soon as it is idle.
func TestRequestThatArrivedBeforeItsConnectionBecameIdleIsServed(t *testing.T) {
	listener, err := Listen("127.0.0.1:0", Options{})
	must.NoError(t, err)
	begun, answer := make(chan struct{}), make(chan struct{})
	server := newServer(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			close(begun)
			<-answer
		}
		_, _ = fmt.Fprint(w, "ok")
	}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp4", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprint(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	<-begun
	listener.CloseIdle(newConnGrace)
	_, err = fmt.Fprint(conn, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	close(answer)
	br := bufio.NewReader(conn)
	must.Eq(t, 200, readStatus(t, br))
	must.Eq(t, 200, readStatus(t, br))
	must.Eq(t, 0, readStatus(t, br))
}

// Connections that were opened long before and never used must not be left to the end of a
// stop, where their first requests would be lost.
func TestUnusedConnectionsAreClosedUnlessTheyAreNew(t *testing.T) {
	s := startCallerServer(t)
	old, err := net.Dial("tcp4", s.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = old.Close() })
	time.Sleep(100 * time.Millisecond)
	recent, err := net.Dial("tcp4", s.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = recent.Close() })
	time.Sleep(20 * time.Millisecond)
	s.CloseIdle(90 * time.Millisecond)
	must.NoError(t, old.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = old.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	_, err = fmt.Fprint(recent, "GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	must.Eq(t, 200, readStatus(t, bufio.NewReader(recent)))
	time.Sleep(20 * time.Millisecond)
	must.Eq(t, 0, s.Counts().Total())
}
