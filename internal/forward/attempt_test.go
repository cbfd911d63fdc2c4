package forward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/httpanswer"
	"github.com/medlardeck/medlardeck/internal/membudget"
)

// targetCodec reads each response as one of target t0 to request r.
type targetCodec struct{ HeaderCodec }

func (targetCodec) ReadResponse(int, http.Header) ResponseMetadata {
	return ResponseMetadata{RequestID: "r", TargetID: "t0", Signed: true}
}

// newAttemptExchange returns an exchange of request r at a node with a budget.
func newAttemptExchange(t *testing.T) *exchange {
	t.Helper()
	n := NewNode(Options{
		Fleet: fleet.Options{Name: "front-1"}, HeaderCodec: targetCodec{}, Metrics: discardMetrics{}, Budget: membudget.New(1 << 20),
	})
	t.Cleanup(n.Close)
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	return newExchange(n, httptest.NewRecorder(), r, RequestMetadata{ID: "r"}, nil, &fleet.Route{})
}

// The connection of a target's own 421 was used again with its body unread, so that a later
// request could take the rest of that body for its answer.
func TestMisdirectedAnswerIsReadBeforeItsConnectionIsUsedAgain(t *testing.T) {
	for body, reused := range map[string]bool{"": false, "wrong target": true} {
		x := newAttemptExchange(t)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		must.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		c, err := x.node.pool.get(t.Context(), "t0", listener.Addr().String(), nil, false)
		must.NoError(t, err)
		c.deadline = time.Now().Add(time.Second)
		server, err := listener.Accept()
		must.NoError(t, err)
		t.Cleanup(func() { _ = server.Close() })
		_, err = io.WriteString(server, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 12\r\n\r\n"+body)
		must.NoError(t, err)
		written := httpanswer.NewRequestWrite()
		written.End(nil)
		end, resp := x.readResponse(t.Context(), c, fleet.Send{Target: fleet.Target{ID: "t0"}}, written)
		must.Eq(t, fleet.OutcomeNotRun, end.Outcome)
		x.releaseConn(c, resp, written, end)
		must.Eq(t, reused, x.node.pool.takeIdle("t0") != nil)
	}
}

// The memory of an answer that broke off was held until the next attempt or the end of the request.
func TestBrokenAnswerHoldsNoMemory(t *testing.T) {
	x := newAttemptExchange(t)
	x.answer.deadline = time.Now().Add(time.Second)
	for _, length := range []int64{100 << 10, -1} {
		body := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
		resp := &http.Response{StatusCode: http.StatusOK, ContentLength: length, Body: io.NopCloser(body)}
		must.Eq(t, fleet.OutcomeBroken, x.bufferResponse(t.Context(), resp, ResponseMetadata{}).Outcome)
		must.Zero(t, x.node.opts.Budget.Held())
	}
}
