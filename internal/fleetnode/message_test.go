package fleetnode

import (
	"encoding/gob"
	"net"
	"net/netip"
	"net/rpc"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
	"github.com/medlardeck/medlardeck/internal/quarantine"
)

// extended returns a recorded message with one element more in each of its arrays.
func extended(t *testing.T, name string) []byte {
	t.Helper()
	var d []any
	must.NoError(t, cbor.Unmarshal(recordedMessage(t, name), &d))
	g := d[6].([]any)
	load := g[2].([]any)[0].([]any)
	g[2] = []any{append(load, "later")}
	news := g[6].([]any)
	for i := range news {
		news[i] = []any{append(news[i].([]any)[0].([]any), "later")}
	}
	g[6] = append(news, nil, nil, nil, nil, "later") // evacuations, costs, waiting and crashed runs come before what is later
	d[6] = append(g, []any{[]any{"t-4", 6, "later"}}, "later")
	raw, err := cbor.Marshal(cbor.Tag{Number: formatTag + uint64(currentFormat) + 1, Content: append(d, 9, 0, 0, nil, "later")}) // the newest configuration, the sign and the changes come before
	must.NoError(t, err)
	return raw
}

// The next build must be able to add elements without this one losing what it knows.
func TestElementsOfLaterBuildsAreIgnored(t *testing.T) {
	m, err := decodeMessage(extended(t, "26e3ce8-news.cbor"))
	must.NoError(t, err)
	must.SliceEmpty(t, m.unreadable)
	plain, err := decodeMessage(recordedMessage(t, "26e3ce8-news.cbor"))
	must.NoError(t, err)
	must.Eq(t, []fleet.LeavingTarget{{ID: "t-4", StartedMS: 6}}, m.Gossip.Leaving)
	m.Gossip.Leaving = nil
	must.Eq(t, 9, m.Incarnation)
	m.Incarnation = 0
	must.Eq(t, plain.datagram, m.datagram)
	must.Eq(t, currentFormat+1, m.format)
}

// One part that cannot be read must not cost the others, and must not flood the log.
func TestUnreadablePartLosesOnlyItself(t *testing.T) {
	var d []any
	must.NoError(t, cbor.Unmarshal(recordedMessage(t, "26e3ce8-loads.cbor"), &d))
	g := d[6].([]any)
	loads := g[2].([]any)
	g[2] = append(loads, append([]any{5}, loads[0].([]any)[1:]...))
	g[3] = "no list"
	raw, err := cbor.Marshal(d)
	must.NoError(t, err)
	m, err := decodeMessage(raw)
	must.NoError(t, err)
	must.Eq(t, []string{".Gossip.Loads", ".Gossip.FirstEvents"}, m.unreadable)
	must.Len(t, 1, m.Gossip.Loads)
	must.False(t, m.Gossip.Full) // what is missing from the loads may not have ended
	must.Eq(t, []string{"t-3"}, m.Gossip.LeavingTargets)

	f := startOldBuildsTest(t)
	p := f.newPeer("127.0.3.2")
	for range 20 { // the first of each is logged
		p.send(raw)
		p.send([]byte("no message"))
	}
	f.waitForLine(`"target-leaving" "target"="t-3"`)
	time.Sleep(50 * time.Millisecond)
	must.Eq(t, 2, f.log.count("peer-message-unreadable"))
	must.Eq(t, 1, f.log.count(`"peer-build"`))
}

func TestMessagesWithoutSenderAreDropped(t *testing.T) {
	for _, v := range []any{[]any{}, []any{"", "a"}, []any{7, "a"}, "text", map[string]int{"a": 1}, nil} {
		raw, err := cbor.Marshal(v)
		must.NoError(t, err)
		_, err = decodeMessage(raw)
		must.ErrorIs(t, err, errNoSender)
	}
	_, err := decodeMessage([]byte{0x82, 0x61})
	must.Error(t, err)
}

// A malformed message must not end the process, and what is read of it is a message.
func FuzzDecodeMessage(f *testing.F) {
	names, err := filepath.Glob("testdata/messages/*.cbor")
	must.NoError(f, err)
	for _, name := range names {
		raw, err := os.ReadFile(name)
		must.NoError(f, err)
		f.Add(raw)
		f.Add(append([]byte{cborTag32, 0x6d, 0x64, 0x6b, 2}, raw...))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := decodeMessage(raw)
		if err != nil {
			return
		}
		must.NotEq(t, "", m.From)
		_, err = m.encode(newerForm(peerForm{}, m))
		must.NoError(t, err)
	})
}

// Every form of a message is read by this build as it was written.
func TestFormsAreReadAsTheyWereWritten(t *testing.T) {
	m, err := decodeMessage(recordedMessage(t, "26e3ce8-news.cbor"))
	must.NoError(t, err)
	m.Gossip.LeavingTargets = nil
	m.Gossip.Leaving = []fleet.LeavingTarget{{ID: "t-3", StartedMS: 6}}
	m.Incarnation = 7
	raw, err := m.encode(peerForm{format: currentFormat})
	must.NoError(t, err)
	must.Len(t, 1, raw)
	read, err := decodeMessage(raw[0])
	must.NoError(t, err)
	must.Eq(t, m.datagram, read.datagram)
	must.Eq(t, currentFormat, read.format)

	m.Incarnation = 0 // which older builds are not told
	raw, err = m.encode(peerForm{eras: true, news: newsWithLimits})
	must.NoError(t, err)
	must.Len(t, 1, raw)
	read, err = decodeMessage(raw[0])
	must.NoError(t, err)
	must.Eq(t, currentFormat, read.format) // also to peers that do not know formats
	must.Eq(t, []string{"t-3"}, read.Gossip.LeavingTargets)
	read.Gossip.LeavingTargets, read.Gossip.Leaving = nil, m.Gossip.Leaving
	must.Eq(t, m.datagram, read.datagram)
}

// What older builds read must not change with the types of later builds: such a message is
// byte for byte that of the older build, behind the tag that it skips.
func TestFormsOfOlderBuildsStayAsTheyWere(t *testing.T) {
	for name, form := range map[string]peerForm{
		"234744f-loads.cbor": {news: newsBrokenRuns},
		"83621b5-news.cbor":  {news: newsWithoutLimits},
		"7d4555b-news.cbor":  {news: newsWithLimits},
		"26e3ce8-news.cbor":  {news: newsWithLimits, eras: true},
		"04352cd-news.cbor":  {format: incarnationsFormat},
		"ff3651f-news.cbor":  {format: processesFormat},
		"7e72433-news.cbor":  {format: evacuationsFormat},
	} {
		recorded := recordedMessage(t, name)
		m, err := decodeMessage(recorded)
		must.NoError(t, err)
		m.Incarnation = 7
		raw, err := m.encode(form)
		must.NoError(t, err)
		must.Len(t, 1, raw)
		_, content := splitFormat(recorded)
		must.Eq(t, content, raw[0][formatHeadBytes:], must.Sprint(name))
	}
}

// After a rollback the instance at an address reads less than before.
func TestFormFollowsTheBuildAtAnAddress(t *testing.T) {
	message := func(name string) *receivedMessage {
		m, err := decodeMessage(recordedMessage(t, name))
		must.NoError(t, err)
		return m
	}
	form := newerForm(peerForm{}, &receivedMessage{format: currentFormat})
	must.Eq(t, peerForm{format: currentFormat}, form)
	form = newerForm(form, message("234744f-loads.cbor"))
	must.Eq(t, peerForm{}, form)
	form = newerForm(form, message("234744f-news.cbor"))
	must.Eq(t, peerForm{news: newsBrokenRuns}, form)
	form = newerForm(form, message("234744f-loads.cbor"))
	must.Eq(t, peerForm{news: newsBrokenRuns}, form)
	form = newerForm(form, message("26e3ce8-joining.cbor"))
	must.Eq(t, peerForm{eras: true, news: newsWithLimits}, form)
	form = newerForm(form, message("26e3ce8-news.cbor"))
	must.Eq(t, peerForm{eras: true, news: newsWithLimits}, form)
	form = newerForm(form, message("234744f-loads.cbor"))
	must.Eq(t, peerForm{}, form) // another build, also if its first message was lost
	form = newerForm(form, &receivedMessage{format: currentFormat + 1})
	must.Eq(t, peerForm{format: currentFormat + 1}, form)
}

// Builds from before relays have no port for them.
func TestRelaysOfOlderBuildsAreUnproven(t *testing.T) {
	for name, unproven := range map[string]bool{"234744f-joining.cbor": true, "234744f-news.cbor": true, "26e3ce8-joining.cbor": false} {
		g := newTestGossip(0)
		g.metrics, g.onMessage = noMetrics{}, func(netip.AddrPort, *datagram) {}
		var heard []fleet.PeerGossip
		g.onPeerLoad = func(p fleet.PeerGossip) { heard = append(heard, p) }
		m, err := decodeMessage(recordedMessage(t, name))
		must.NoError(t, err)
		g.handleMessage(netip.MustParseAddrPort("127.0.3.2:1"), m)
		must.Len(t, 1, heard)
		must.Eq(t, unproven, heard[0].RelayUnproven, must.Sprint(name))
	}
}

// Followers that know no eras may tell an instance nothing new after a restore of the store:
// if it counted them, it would not hear of targets that leave.
func TestFollowersWithoutErasDoNotCountOnceErasAreKnown(t *testing.T) {
	for _, c := range []struct {
		own, position follow.Position
		follow        bool
	}{
		{follow.Position{Era: 1, Revision: 70}, follow.Position{Revision: 80}, true},
		{follow.Position{Era: 1, Revision: 70}, follow.Position{Era: 1, Revision: 80}, false},
		{follow.Position{Era: 2, Revision: 70}, follow.Position{Era: 1, Revision: 80}, false},
		{follow.Position{Revision: 70}, follow.Position{Revision: 80}, false},
		{follow.Position{Era: 1, Revision: 70}, follow.Position{}, false},
	} {
		g := newTestGossip(0)
		g.versions = func() (uint64, follow.Position) { return 0, c.own }
		for i := range followersPerDomain {
			address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
			g.recordMessage(address, &datagram{From: "front-0", Domain: "a", FollowsStore: true, StorePosition: packPosition(c.position)})
		}
		must.Eq(t, c.follow, g.shouldFollow(false), must.Sprintf("%+v", c))
	}
}

// strictSnapshot is a Snapshot as builds decode it that know no eras.
type strictSnapshot struct {
	Config   []byte
	Targets  []follow.Item
	Revision uint64
	Settling bool
}

// Snapshots pass between builds in both directions: fields that the other does not know
// are ignored.
func TestSnapshotsPassBetweenBuilds(t *testing.T) {
	for _, build := range []string{"234744f", "26e3ce8"} {
		t.Run(build, func(t *testing.T) {
			var announced int
			m := newTestMirror(t, &announced)
			m.decoder.Config = func([]byte) (*fleet.Config, error) { return &fleet.Config{Version: 3}, nil }
			m.adoptConfig([]byte("config"))
			m.HandleList([]follow.Item{{Key: "t/1", Revision: 7}}, follow.Position{Era: 1, Revision: 70})

			conn, err := net.Dial("tcp4", newTestExchanger(m).listenForTest(t).String())
			must.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = conn.Write(recordedMessage(t, build+"-request.gob"))
			must.NoError(t, err)
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
			decoder := gob.NewDecoder(conn)
			var response rpc.Response
			must.NoError(t, decoder.Decode(&response))
			must.Eq(t, "", response.Error)
			var snapshot strictSnapshot
			must.NoError(t, decoder.Decode(&snapshot))
			must.Eq(t, strictSnapshot{Config: []byte("config"), Targets: []follow.Item{{Key: "t/1", Revision: 7}}, Revision: 70}, snapshot)

			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			t.Cleanup(func() { must.NoError(t, listener.Close()) })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				answerRecorded(conn, recordedMessage(t, build+"-response.gob"))
			}()
			reader := newTestMirror(t, &announced)
			reader.decoder.Config = m.decoder.Config
			var log logBuffer
			client := newTestExchanger(reader)
			client.log = funcr.New(log.add, funcr.Options{})
			client.fetchSnapshot(netip.MustParseAddrPort(listener.Addr().String()), KnownVersions{}, true)
			version, _ := reader.versions()
			must.Eq(t, 3, version)
			must.Eq(t, 1, log.count(`"targets-from-peer"`))
			must.Eq(t, 1, log.count(`"revision"=70 "targets"=1 "settling"=true`))
		})
	}
}

// Builds below format 4 would read news with crashed runs part by part, and gain nothing.
func TestCrashedRunsAreToldToBuildsThatKnowThem(t *testing.T) {
	m, err := decodeMessage(recordedMessage(t, "7e72433-news.cbor"))
	must.NoError(t, err)
	death := m.Gossip.News.Crashes[0].Death
	m.Gossip.News.CrashedRuns = []quarantine.CrashedRuns{{Death: death, Runs: []quarantine.CrashedRun{{Fingerprint: 21, Duration: time.Millisecond}}}}
	for format, told := range map[messageFormat]bool{evacuationsFormat: false, crashedRunsFormat: true} {
		raw, err := m.encode(peerForm{format: format})
		must.NoError(t, err)
		read, err := decodeMessage(raw[0])
		must.NoError(t, err)
		must.SliceEmpty(t, read.unreadable)
		must.Eq(t, m.Gossip.News.Crashes, read.Gossip.News.Crashes)
		must.Eq(t, told, len(read.Gossip.News.CrashedRuns) > 0)
	}
}
