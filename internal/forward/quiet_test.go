package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

type discardMetrics struct{}

func (discardMetrics) Add(string, string)                    {}
func (discardMetrics) Observe(string, string, time.Duration) {}

// refusingReserver is a MemoryReserver whose targets want quiet.
type refusingReserver struct{}

func (refusingReserver) Reserve(_ context.Context, r fleet.Reserve) error {
	return &OrderRefusedError{Op: "reserve", Target: r.Target.ID, Status: 503, Quiet: fleet.QuietRequest{Period: time.Second}}
}

func (refusingReserver) Release(_ context.Context, r fleet.Release) error {
	return &OrderRefusedError{Op: "release", Target: r.Target.ID, Status: 503, Quiet: fleet.QuietRequest{Period: 3 * time.Second}}
}

// newQuietNode returns a node without targets and the log events that it writes.
func newQuietNode(t *testing.T) (*Node, <-chan string) {
	t.Helper()
	events := make(chan string, 100)
	n := NewNode(Options{
		Fleet:          fleet.Options{Name: "front-1", RetryWindow: 10 * time.Second, ReservationTTL: time.Second},
		MemoryReserver: refusingReserver{}, Metrics: discardMetrics{},
		Log: funcr.New(func(_, line string) { events <- line }, funcr.Options{}),
	})
	t.Cleanup(n.Close)
	return n, events
}

// A refused order told the decision core nothing of the target's wish.
func TestRefusedOrderReachesTheDecisionCore(t *testing.T) {
	n, events := newQuietNode(t)
	target := fleet.Target{ID: "t0"}
	n.reserveMemory(fleet.Reserve{Target: target})
	must.StrContains(t, <-events, "target-quiet")
	n.releaseMemory(fleet.Release{Target: target})
	must.StrContains(t, <-events, "target-quiet")
}

// An attempt that is recalled before it is written makes no connection, or does not use
// the one that it has made.
func TestRecalledAttemptIsNotWritten(t *testing.T) {
	n, _ := newQuietNode(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	x := newExchange(n, httptest.NewRecorder(), r, RequestMetadata{}, nil, &fleet.Route{})
	send := fleet.Send{Attempt: 7, Target: fleet.Target{ID: "t0", Address: listener.Addr().String()}, Deadline: time.Hour}

	x.recallAttempt(7)
	must.Eq(t, fleet.OutcomeRecalled, x.runAttempt(send).Outcome)
	must.NoError(t, listener.(*net.TCPListener).SetDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = listener.Accept()
	must.Error(t, err)

	must.ErrorIs(t, x.registerConn(7, nil), errRecalled)
	must.NoError(t, x.registerConn(8, nil)) // a later attempt
	x.recallAttempt(8)
	must.Eq(t, fleet.AttemptID(8), x.currentAttempt) // its request is being written
}
