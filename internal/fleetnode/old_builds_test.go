package fleetnode

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
	"github.com/medlardeck/medlardeck/internal/standin/ports"
)

// recordedMessage returns a message of an older build.
func recordedMessage(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "messages", name))
	must.NoError(t, err)
	return raw
}

// strictDatagram is a datagram as older builds decode it: they drop a message of which any
// array has another length, or any element another type.
type strictDatagram[News any] struct {
	_                            struct{} `cbor:",toarray"`
	From, Domain                 string
	FollowsStore                 bool
	ConfigVersion, StoreRevision uint64
	Peers                        []netip.AddrPort
	Gossip                       strictGossip[News]
}

type strictGossip[News any] struct {
	_                       struct{} `cbor:",toarray"`
	Joining, Full           bool
	Loads                   []strictLoad
	FirstEvents, EndedLoads []uint64
	FailedTargets           []string
	News                    News
	LeavingTargets          []string
}

type strictLoad struct {
	_                                          struct{} `cbor:",toarray"`
	Target                                     string
	Key                                        uint64
	PrefillMS                                  float64
	ContextTokens, MemoryTokens, MaxEventGapMS int
	HelperPart, FirstEventSeen                 bool
	AgeMS, FirstEventLimitMS, CallerLimitMS    int
	Value                                      float64
	Request                                    uint64
}

type strictCrash struct {
	_     struct{} `cbor:",toarray"`
	Death struct {
		Target      string `json:"target"`
		Incarnation uint64 `json:"incarnation"`
	}
	FailureDomain string
	Age           time.Duration
	Suspects      []uint64
}

type strictVerdict struct {
	_                    struct{} `cbor:",toarray"`
	Fingerprint          uint64
	EvidenceAge, SeenAge time.Duration
}

type strictSurvival struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Age         time.Duration
}

type strictLimit struct {
	_         struct{} `cbor:",toarray"`
	Target    string
	StartedMS int64
	PerSecond float64
	Ended     bool
	Age       time.Duration
}

type strictCrashNews struct {
	_         struct{} `cbor:",toarray"`
	Crashes   []strictCrash
	Verdicts  []strictVerdict
	Survivals []strictSurvival
}

type strictNews struct {
	_         struct{} `cbor:",toarray"`
	Crashes   []strictCrash
	Verdicts  []strictVerdict
	Survivals []strictSurvival
	Limits    []strictLimit
}

// eraStore is a store in its first era with the targets t-1 to t-5.
type eraStore struct{}

func (eraStore) List(context.Context, string) ([]follow.Item, follow.Position, error) {
	var items []follow.Item
	for i := range 5 {
		items = append(items, follow.Item{Key: "targets/t-" + strconv.Itoa(i+1), Revision: 7})
	}
	return items, follow.Position{Era: 1, Revision: 70}, nil
}

func (eraStore) Watch(ctx context.Context, _ string, after follow.Position, wait time.Duration) ([]follow.Item, follow.Position, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, after, ctx.Err()
}

func (eraStore) SetAddress(string) {}

func (eraStore) Put(context.Context, string, []byte) (uint64, error) { return 1, nil }

// logBuffer collects the lines of a log.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *logBuffer) add(_, line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, line)
}

func (b *logBuffer) count(part string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, line := range b.lines {
		if strings.Contains(line, part) {
			n++
		}
	}
	return n
}

// awayStore is a store that cannot be reached.
type awayStore struct{}

var errAway = errors.New("the store is away")

func (awayStore) List(context.Context, string) ([]follow.Item, follow.Position, error) {
	return nil, follow.Position{}, errAway
}

func (awayStore) Watch(context.Context, string, follow.Position, time.Duration) ([]follow.Item, follow.Position, error) {
	return nil, follow.Position{}, errAway
}

func (awayStore) SetAddress(string) {}

func (awayStore) Put(context.Context, string, []byte) (uint64, error) { return 0, errAway }

// rejectingStore is an eraStore that answers one list and nothing after it.
type rejectingStore struct {
	eraStore
	listed *atomic.Bool
}

func (s rejectingStore) List(ctx context.Context, prefix string) ([]follow.Item, follow.Position, error) {
	if s.listed.Swap(true) {
		return nil, follow.Position{}, errAway
	}
	items, _, err := s.eraStore.List(ctx, prefix)
	return items, follow.Position{Era: 1, Revision: 60}, err
}

func (rejectingStore) Watch(context.Context, string, follow.Position, time.Duration) ([]follow.Item, follow.Position, error) {
	return nil, follow.Position{}, errAway
}

// oldBuildsTest is a current instance among scripted peers.
type oldBuildsTest struct {
	t            *testing.T
	port         int
	exchangePort int
	log          logBuffer
}

func freeTestPort(t *testing.T, host string) int {
	t.Helper()
	port, err := ports.Take(host, 1)
	must.NoError(t, err)
	return port
}

const testInstanceIP = "127.0.3.1"

// startOldBuildsTest starts an instance that has listed the store.
func startOldBuildsTest(t *testing.T) *oldBuildsTest {
	t.Helper()
	f := startOldBuildsTestWithStore(t, eraStore{})
	f.waitForLine(`"target-listed" "target"="t-5"`)
	return f
}

func startOldBuildsTestWithStore(t *testing.T, store Store) *oldBuildsTest {
	t.Helper()
	f := &oldBuildsTest{t: t, port: freeTestPort(t, testInstanceIP), exchangePort: freeTestPort(t, testInstanceIP)}
	local := func() string {
		return net.JoinHostPort(testInstanceIP, strconv.Itoa(freeTestPort(t, testInstanceIP)))
	}
	i, err := Start(Options{
		Settings: Settings{
			Name: "front-new", FailureDomain: "a", IP: testInstanceIP, CallersAddress: local(), ReadyAddress: local(),
			PeerPort: f.port, ExchangePort: f.exchangePort, RelayPort: freeTestPort(t, testInstanceIP),
			MaxConfigDelay: 2 * time.Second, StopGrace: time.Second, RetryWindow: time.Second, ReservationTTL: time.Second,
		},
		Store: store,
		Decoder: Decoder{
			TargetsPrefix: "targets/",
			Config:        func([]byte) (*fleet.Config, error) { return &fleet.Config{Version: 3}, nil },
			TargetID:      func(key string) string { return strings.TrimPrefix(key, "targets/") },
			Target: func(key string, _ []byte) (fleet.Target, error) {
				return fleet.Target{ID: strings.TrimPrefix(key, "targets/"), Service: "pool", Address: key, StartedMS: 6}, nil
			},
		},
		Log: funcr.New(f.log.add, funcr.Options{}),
	})
	must.NoError(t, err)
	t.Cleanup(i.Close)
	return f
}

// waitForLine fails the test if the instance does not log a line with the text.
func (f *oldBuildsTest) waitForLine(part string) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(
		wait.BoolFunc(func() bool { return f.log.count(part) > 0 }), wait.Timeout(3*time.Second), wait.Gap(5*time.Millisecond),
	), must.Sprint(part))
}

// scriptedPeer is a socket that plays a peer.
type scriptedPeer struct {
	t    *testing.T
	conn *net.UDPConn
	to   netip.AddrPort
}

func (f *oldBuildsTest) newPeer(ip string) *scriptedPeer {
	f.t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(f.port))))
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	return &scriptedPeer{f.t, conn, netip.AddrPortFrom(netip.MustParseAddr(testInstanceIP), uint16(f.port))}
}

func (p *scriptedPeer) send(raw []byte) {
	p.t.Helper()
	_, err := p.conn.WriteToUDPAddrPort(raw, p.to)
	must.NoError(p.t, err)
}

// receive returns the messages that arrive within a time.
func (p *scriptedPeer) receive(within time.Duration) [][]byte {
	p.t.Helper()
	must.NoError(p.t, p.conn.SetReadDeadline(time.Now().Add(within)))
	var messages [][]byte
	for {
		buf := make([]byte, maxDatagramBytes)
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return messages
		}
		messages = append(messages, buf[:n])
	}
}

// While instances are replaced one after the other, those of older builds would otherwise
// be no peers whenever they tell of crashes: their loads and leaving targets were lost.
func TestMessagesOfOlderBuildsAreRead(t *testing.T) {
	names, err := filepath.Glob("testdata/messages/*.cbor")
	must.NoError(t, err)
	must.Len(t, 12, names)
	for _, name := range names {
		name := filepath.Base(name)
		t.Run(name, func(t *testing.T) {
			f := startOldBuildsTest(t)
			f.newPeer("127.0.3.2").send(recordedMessage(t, name))
			f.waitForLine(`"peer-found" "peer"="front-old"`)
			if !strings.Contains(name, "joining") {
				f.waitForLine(`"target-leaving" "target"="t-3"`)
			}
			must.Eq(t, 0, f.log.count("peer-message-unreadable"))
		})
	}
}

// tellVerdict makes an instance know news and that t-3 leaves, which it repeats in all its
// statements. When it returns, no statement of before waits to be sent.
func (f *oldBuildsTest) tellVerdict() {
	f.t.Helper()
	p := f.newPeer("127.0.3.3")
	p.send(recordedMessage(f.t, "26e3ce8-news.cbor"))
	f.waitForLine(`"fingerprint-blocked"`)
	must.NoError(f.t, p.conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	for buf := make([]byte, maxDatagramBytes); ; {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		must.NoError(f.t, err)
		if bytes.Contains(buf[:n], []byte("t-3")) {
			return
		}
	}
}

// A build that reads fingerprints where later ones send news would drop every statement
// with news, and know nothing of the sender's loads and leaving targets.
func TestBuildWithoutNewsReadsAllStatements(t *testing.T) {
	f := startOldBuildsTest(t)
	f.tellVerdict()
	p := f.newPeer("127.0.3.2")
	p.send(recordedMessage(t, "234744f-news.cbor"))
	full := 0
	for _, raw := range p.receive(2300 * time.Millisecond) {
		var d strictDatagram[[]uint64]
		must.NoError(t, cbor.Unmarshal(raw, &d))
		must.Eq(t, "front-new", d.From)
		if d.Gossip.Full {
			full++
			must.Eq(t, []string{"t-3"}, d.Gossip.LeavingTargets)
		}
	}
	must.Greater(t, 1, full)
}

// A peer of which only the joining is known may be of a build that reads no news, or that
// needs them: neither loses anything.
func TestPeerOfUnknownLayoutLosesNothing(t *testing.T) {
	f := startOldBuildsTest(t)
	f.tellVerdict()
	p := f.newPeer("127.0.3.2")
	p.send(recordedMessage(t, "234744f-joining.cbor"))
	full, news := 0, 0
	for _, raw := range p.receive(1300 * time.Millisecond) {
		var without strictDatagram[[]uint64]
		if err := cbor.Unmarshal(raw, &without); err == nil && without.Gossip.Full {
			full++
			must.Eq(t, []string{"t-3"}, without.Gossip.LeavingTargets)
		}
		var with strictDatagram[*strictNews]
		must.NoError(t, cbor.Unmarshal(raw, &with))
		if with.Gossip.News != nil {
			news++
			must.Eq(t, 21, with.Gossip.News.Verdicts[0].Fingerprint)
			must.False(t, with.Gossip.Full)
		}
	}
	must.Greater(t, 1, full)
	must.Greater(t, 1, news)
}

// Builds read the news of others in the layout of their own, together with the loads.
func TestNewsAreSentInThePeersLayout(t *testing.T) {
	for _, c := range []struct {
		recorded string
		verdicts func(raw []byte) ([]strictVerdict, error)
	}{
		{"83621b5-news.cbor", verdictsOf(func(n *strictCrashNews) []strictVerdict { return n.Verdicts })},
		{"7d4555b-news.cbor", verdictsOf(func(n *strictNews) []strictVerdict { return n.Verdicts })},
		{"26e3ce8-news.cbor", verdictsOf(func(n *strictNews) []strictVerdict { return n.Verdicts })},
	} {
		t.Run(c.recorded, func(t *testing.T) {
			f := startOldBuildsTest(t)
			p := f.newPeer("127.0.3.2")
			p.send(recordedMessage(t, c.recorded))
			f.waitForLine(`"fingerprint-blocked"`)
			_ = p.receive(50 * time.Millisecond)
			read := 0
			for _, raw := range p.receive(1300 * time.Millisecond) {
				verdicts, err := c.verdicts(raw)
				must.NoError(t, err)
				read += len(verdicts)
			}
			must.Positive(t, read)
		})
	}
}

func verdictsOf[News any](verdicts func(*News) []strictVerdict) func([]byte) ([]strictVerdict, error) {
	return func(raw []byte) ([]strictVerdict, error) {
		var d strictDatagram[*News]
		if err := cbor.Unmarshal(raw, &d); err != nil || d.Gossip.News == nil {
			return nil, err
		}
		return verdicts(d.Gossip.News), nil
	}
}

// A build that knows no eras would take a position with an era for a revision that it
// never reaches, and ask for the targets three times a second.
func TestBuildWithoutErasIsSentRevisions(t *testing.T) {
	for _, c := range []struct {
		recorded string
		position packedPosition
	}{
		{"234744f-joining.cbor", 70},
		{"26e3ce8-joining.cbor", packPosition(follow.Position{Era: 1, Revision: 70})},
	} {
		f := startOldBuildsTest(t)
		p := f.newPeer("127.0.3.2")
		p.send(recordedMessage(t, c.recorded))
		messages := p.receive(300 * time.Millisecond)
		must.SliceNotEmpty(t, messages)
		for _, raw := range messages {
			var d strictDatagram[*strictNews]
			must.NoError(t, cbor.Unmarshal(raw, &d))
			must.Eq(t, uint64(c.position), d.StoreRevision)
		}
	}
}

// answerRecorded answers a call with a recorded response. The client ignores one that
// comes before its call.
func answerRecorded(conn net.Conn, response []byte) {
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		_, _ = conn.Write(response) // the client fails without it
	}
}

// serveSnapshot plays the exchange of a peer, which answers one call.
func (f *oldBuildsTest) serveSnapshot(ip, recorded string) {
	f.t.Helper()
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(f.exchangePort)))
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		if conn, err := listener.Accept(); err == nil {
			answerRecorded(conn, recordedMessage(f.t, recorded))
		}
	}()
}

// An instance that cannot reach the store takes what peers of older builds have.
func TestSnapshotsOfOlderBuildsAreTaken(t *testing.T) {
	for _, build := range []string{"234744f", "26e3ce8"} {
		t.Run(build, func(t *testing.T) {
			f := startOldBuildsTestWithStore(t, awayStore{})
			f.serveSnapshot("127.0.3.2", build+"-response.gob")
			f.newPeer("127.0.3.2").send(recordedMessage(t, build+"-joining.cbor"))
			f.waitForLine(`"targets-from-peer"`)
			f.waitForLine(`"target-listed" "target"="t/1"`)
			f.waitForLine(`"configuration"`)
		})
	}
}

// An instance that the store rejects after it has listed it would otherwise hear of no
// change as long as all others are of builds that know no eras.
func TestRejectedInstanceTakesChangesFromBuildsWithoutEras(t *testing.T) {
	for _, build := range []string{"234744f", "26e3ce8"} {
		t.Run(build, func(t *testing.T) {
			f := startOldBuildsTestWithStore(t, rejectingStore{listed: &atomic.Bool{}})
			f.waitForLine(`"target-listed" "target"="t-5"`)
			f.waitForLine(`"store-unreachable"`)
			f.serveSnapshot("127.0.3.2", build+"-response.gob")
			f.newPeer("127.0.3.2").send(recordedMessage(t, build+"-joining.cbor"))
			f.waitForLine(`"target-listed" "target"="t/1"`)
		})
	}
}
