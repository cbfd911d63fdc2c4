package fleetnode

import (
	"net"
	"net/netip"
	"net/rpc"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
	"github.com/medlardeck/medlardeck/internal/forward"
)

// noMetrics discards all metrics.
type noMetrics struct{}

func (noMetrics) Add(string, string)                    {}
func (noMetrics) Observe(string, string, time.Duration) {}
func (noMetrics) ObserveRatio(string, string, float64)  {}

// newTestMirror returns a mirror that counts its announcements. The store's items
// are targets named by their keys.
func newTestMirror(t *testing.T, announced *int) *mirror {
	t.Helper()
	node := forward.NewNode(forward.Options{Fleet: fleet.Options{RetryWindow: time.Second}, Log: logr.Discard(), Metrics: noMetrics{}})
	t.Cleanup(node.Close)
	decoder := Decoder{
		TargetsPrefix: "t/", TargetID: func(key string) string { return key },
		Target: func(key string, _ []byte) (fleet.Target, error) { return fleet.Target{ID: key}, nil },
	}
	m := newMirror(decoder, node, noMetrics{}, logr.Discard())
	m.onList = func() { *announced++ }
	m.onChange = func(*targetChanges) { *announced++ }
	m.onEra = func(uint64) {}
	return m
}

// newTestExchanger returns an exchanger among peers that follows the store.
func newTestExchanger(m *mirror) *snapshotExchanger {
	return &snapshotExchanger{
		mirror: m, gossip: newTestGossip(0), followsStore: func() bool { return true }, maxConfigDelay: time.Second,
		log: logr.Discard(), metrics: noMetrics{},
	}
}

// listenForTest serves peers at a port of its own.
func (x *snapshotExchanger) listenForTest(t *testing.T) netip.AddrPort {
	t.Helper()
	must.NoError(t, x.listen(&Settings{IP: "127.0.0.1", MaxConfigDelay: time.Second}))
	t.Cleanup(func() { must.NoError(t, x.listener.Close()) })
	return netip.MustParseAddrPort(x.listener.Addr().String())
}

// Each instance that reads a change from a peer would otherwise announce it to all:
// a change would cost as many messages as the square of the fleet.
func TestTargetsFromPeerAreNotAnnouncedAgain(t *testing.T) {
	var readerAnnounced, followerAnnounced int
	follower, reader := newTestMirror(t, &followerAnnounced), newTestMirror(t, &readerAnnounced)
	follower.HandleList([]follow.Item{{Key: "t/1", Revision: 7}}, follow.Position{Revision: 7})
	must.Eq(t, 1, followerAnnounced)

	newTestExchanger(reader).fetchSnapshot(newTestExchanger(follower).listenForTest(t), KnownVersions{}, true)
	_, position := reader.versions()
	must.Eq(t, 7, position.Revision)
	must.Eq(t, 0, readerAnnounced)
}

// A snapshot that a peer sends while this instance lists the store itself must not replace
// the newer list: targets would be lost, or come back that have left.
func TestSnapshotDoesNotReplaceANewerList(t *testing.T) {
	var announced int
	behind, reader := newTestMirror(t, &announced), newTestMirror(t, &announced)
	behind.HandleList([]follow.Item{{Key: "t/1", Revision: 7}}, follow.Position{Revision: 7})
	known := KnownVersions{} // as of the request
	reader.HandleList([]follow.Item{{Key: "t/2", Revision: 9}}, follow.Position{Revision: 9})
	newTestExchanger(reader).fetchSnapshot(newTestExchanger(behind).listenForTest(t), known, true)
	_, targets, position := reader.snapshot()
	must.Eq(t, follow.Position{Revision: 9}, position)
	must.Eq(t, []follow.Item{{Key: "t/2", Revision: 9}}, targets)
}

// An instance that missed a restore of the store, and lists it late or hears of it from
// peers, must not replace or spread newer knowledge by that of the era before.
func TestListOfAnEarlierEraIsIgnored(t *testing.T) {
	var announced int
	m := newTestMirror(t, &announced)
	m.HandleList([]follow.Item{{Key: "t/1", Revision: 7}}, follow.Position{Era: 1, Revision: 70})
	m.HandleList([]follow.Item{{Key: "t/2", Revision: 8}}, follow.Position{Era: 2, Revision: 30})
	m.applyList([]follow.Item{{Key: "t/1", Revision: 7}}, follow.Position{Era: 1, Revision: 90})
	_, targets, position := m.snapshot()
	must.Eq(t, follow.Position{Era: 2, Revision: 30}, position)
	must.Eq(t, []follow.Item{{Key: "t/2", Revision: 8}}, targets)
}

func TestPackedPositionsKeepTheirOrder(t *testing.T) {
	before, after := follow.Position{Era: 1, Revision: 1 << 40}, follow.Position{Era: 2, Revision: 3}
	must.Eq(t, before, packPosition(before).position())
	must.Eq(t, after, packPosition(after).position())
	must.Less(t, packPosition(after), packPosition(before))
}

// Entries of the copy are told from those that targets have written since, also by an
// instance that reads them from a peer.
func TestEntriesOfTheCopyAreOutdated(t *testing.T) {
	var announced int
	m, reader := newTestMirror(t, &announced), newTestMirror(t, &announced)
	isOutdated := func(m *mirror, revision uint64) bool {
		target, ok := m.decodeTarget(follow.Item{Key: "t/1", Revision: revision})
		must.True(t, ok)
		return target.Outdated
	}
	m.HandleList(nil, follow.Position{Era: 1, Revision: 70})
	must.False(t, isOutdated(m, 60))
	m.HandleList(nil, follow.Position{Era: 2, Revision: 30})
	m.HandleList(nil, follow.Position{Era: 2, Revision: 50})
	must.True(t, isOutdated(m, 30))
	must.False(t, isOutdated(m, 31))

	must.True(t, reader.advanceEra(1, 0))
	var reply Snapshot
	must.NoError(t, (&Exchange{mirror: m}).Newer(KnownVersions{StoreEra: 1, StoreRevision: 70}, &reply))
	must.True(t, reply.Settling)
	must.True(t, reader.advanceEra(reply.Era, reply.RestoredRevision))
	must.True(t, isOutdated(reader, 30))
	must.False(t, isOutdated(reader, 31))
}

// After a restore, an instance of a build without eras may still have the revisions of
// before, which must not count as newer.
func TestPositionsWithoutEraAreOfTheKnownEraUntilARestore(t *testing.T) {
	var announced int
	m := newTestMirror(t, &announced)
	named := follow.Position{Revision: 80}
	must.Eq(t, named, m.inKnownEra(named))
	m.HandleList(nil, follow.Position{Era: 1, Revision: 70})
	must.Eq(t, follow.Position{Era: 1, Revision: 80}, m.inKnownEra(named))
	must.Eq(t, follow.Position{Era: 3, Revision: 5}, m.inKnownEra(follow.Position{Era: 3, Revision: 5}))
	m.HandleList(nil, follow.Position{Era: 2, Revision: 30})
	must.Eq(t, named, m.inKnownEra(named))
}

// failingListener fails to accept a number of times.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// One accept without a free descriptor ended the exchange with peers for good.
func TestExchangeGoesOnAfterAFailedAccept(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	server := rpc.NewServer()
	must.NoError(t, server.Register(&Exchange{mirror: newTestMirror(t, new(int))}))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		acceptPeers(func(conn net.Conn) { server.ServeConn(conn) }, &failingListener{listener, 2}, logr.Discard())
	}()
	client, err := rpc.Dial("tcp4", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	call := client.Go("Exchange.Newer", KnownVersions{}, &Snapshot{}, nil)
	select {
	case <-call.Done:
		must.NoError(t, call.Error)
	case <-time.After(3 * time.Second):
		t.Fatal("the exchange does not answer")
	}
	must.NoError(t, listener.Close())
	<-ended
}
