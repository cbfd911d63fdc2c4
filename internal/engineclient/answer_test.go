package engineclient

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/target"
)

// recordingSink records what is passed on to the caller.
type recordingSink struct {
	status int
	body   strings.Builder
}

func (s *recordingSink) Header(status int, _ http.Header) error { s.status = status; return nil }
func (s *recordingSink) Events(p []byte, _ int) error           { s.body.Write(p); return nil }
func (s *recordingSink) Body(p []byte) error                    { s.body.Write(p); return nil }
func (*recordingSink) Report(target.Report)                     {}

// answerAfterHead starts a service that answers each request once it has read its head, and
// resets the connection.
func answerAfterHead(t *testing.T, answer string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := textproto.NewReader(bufio.NewReaderSize(conn, 512))
				if _, err := reader.ReadLine(); err != nil {
					return
				}
				if _, err := reader.ReadMIMEHeader(); err != nil {
					return
				}
				_, _ = fmt.Fprint(conn, answer)
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return listener.Addr().String()
}

// A part of an answer without a length, whose connection was reset during the upload, was passed
// on as a complete answer.
func TestAnswerThatIsResetDuringTheUploadIsBroken(t *testing.T) {
	address := answerAfterHead(t, "HTTP/1.1 200 OK\r\n\r\npart")
	c := New(time.Second)
	t.Cleanup(c.Close)
	for i := range 12 {
		var sink recordingSink
		call := Call{Attempt: fmt.Sprint(i), Address: address, Method: http.MethodPost, Path: "/x", Body: Body{make([]byte, 8<<20)}, Once: true}
		must.Eq(t, entry.OutcomeBroke, c.Serve(t.Context(), call, &sink).Outcome, must.Sprintf("request %d: %q", i, sink.body.String()))
	}
}

// An answer with a status or the name of a field that HTTP/1.1 does not have was passed on.
func TestAnswerWithAnInvalidHeadIsBroken(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n", "HTTP/1.1 700 Trouble\r\n"} {
		c := New(time.Second)
		t.Cleanup(c.Close)
		address := answerAfterHead(t, head+"\r\npart")
		var sink recordingSink
		end := c.Serve(t.Context(), Call{Attempt: "a", Address: address, Method: http.MethodGet, Path: "/x"}, &sink)
		must.Eq(t, entry.OutcomeBroke, end.Outcome, must.Sprint(head))
		must.Eq(t, 0, sink.status)
		status, _ := c.Order(t.Context(), entry.OrderCall{Address: address, Read: true}, "")
		must.Eq(t, entry.OrderUnknown, status)
	}
}
