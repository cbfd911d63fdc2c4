package fleetnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/drainconn"
	"github.com/medlardeck/medlardeck/internal/follow"
)

// A connection that is being accepted when the listeners close must be counted, or the
// process would end under its request.
func TestConnectionBeingAcceptedIsCounted(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	i := &Instance{opts: Options{Log: logr.Discard()}, ctx: context.Background()}
	s, err := i.serveRequests("127.0.0.1:0", http.NotFoundHandler(), drainconn.Options{Allowed: func(netip.Addr) bool {
		close(entered)
		<-release
		return true
	}})
	must.NoError(t, err)
	i.callers = s
	conn, err := net.Dial("tcp4", s.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		_ = s.server.Close()
	})
	<-entered
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	i.closeListeners()
	must.Eq(t, 1, i.connections().Total())
}

// unreachableStore is a Store that never answers with success.
type unreachableStore struct{}

var errUnreachable = errors.New("the store is unreachable")

func (unreachableStore) List(context.Context, string) ([]follow.Item, follow.Position, error) {
	return nil, follow.Position{}, errUnreachable
}

func (unreachableStore) Watch(context.Context, string, follow.Position, time.Duration) ([]follow.Item, follow.Position, error) {
	return nil, follow.Position{}, errUnreachable
}

func (unreachableStore) SetAddress(string) {}

func (unreachableStore) Put(context.Context, string, []byte) (uint64, error) {
	return 0, errUnreachable
}

// The grace time goes on while the machine is suspended. The steps of a stop were timed by a
// clock that stands still then, and the process was killed before their end.
func TestSuspensionCountsInTheStepsOfAStop(t *testing.T) {
	i, err := Start(Options{Store: unreachableStore{}, Log: logr.Discard(), Settings: Settings{
		Name: "front-1", FailureDomain: "a", IP: "127.0.0.1", CallersAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
		MaxConfigDelay: time.Second, StopGrace: 8 * time.Second, RetryWindow: 10 * time.Second, ReservationTTL: time.Second,
	}})
	must.NoError(t, err)
	t.Cleanup(i.Close)
	var suspended atomic.Int64
	i.now = func() time.Duration { return i.node.Now() + time.Duration(suspended.Load()) }
	time.AfterFunc(200*time.Millisecond, func() { suspended.Store(int64(10 * time.Second)) })
	begin := time.Now()
	i.Stop()
	must.Less(t, time.Second, time.Since(begin))
}
