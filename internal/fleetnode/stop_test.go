package fleetnode

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/drainconn"
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
