package fleetnode

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// Sizes of messages between instances.
const (
	maxDatagram = 60 << 10 // UDP over IPv4 carries up to 65,507 bytes
	// maxIntroductions bounds the peer addresses in one message.
	maxIntroductions = 64
)

// datagram is one message between instances.
type datagram struct {
	_            struct{} `cbor:",toarray"`
	From, Domain string
	// Watches says that the sender follows the store and that it answers.
	Watches bool
	// ConfigVersion and StoreRevision are the newest that the sender has.
	ConfigVersion, StoreRevision uint64
	// Peers are addresses of instances that the sender knows; only in messages
	// that state all loads.
	Peers  []netip.AddrPort
	Gossip fleet.Gossip
}

// gossip exchanges datagrams with the other instances.
type gossip struct {
	name   string
	domain string
	own    netip.AddrPort
	conn   *net.UDPConn
	log    logr.Logger
	onLoad func(fleet.PeerLoad)
	// onNews is told of each message.
	onNews func(peer netip.AddrPort, d *datagram)
	// versions returns those that this instance has.
	versions func() (configVersion, storeRevision uint64)
	// watches says whether this instance follows the store with success.
	watches func() bool

	mu    sync.Mutex
	peers map[netip.AddrPort]*contact
}

// contact is what is known of a peer's address.
type contact struct {
	addedAt, heardAt time.Time // heardAt is zero for never
	name, domain     string
	watches          bool
}

// forgetPeer is the time after which the address of a silent peer is no longer
// sent to.
const forgetPeer = 30 * time.Second

func listenGossip(s *Settings, log logr.Logger) (*gossip, error) {
	own, err := netip.ParseAddrPort(net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(own))
	if err != nil {
		return nil, fmt.Errorf("listen for peers at %s: %w", own, err)
	}
	g := &gossip{name: s.Name, domain: s.FailureDomain, own: own, conn: conn, log: log, peers: make(map[netip.AddrPort]*contact)}
	for _, seed := range s.Seeds {
		if a, err := netip.ParseAddrPort(seed); err == nil {
			g.add(a)
		} else {
			log.Info("seed-ignored", "address", seed, "cause", err.Error())
		}
	}
	return g, nil
}

// add makes a peer's address known.
func (g *gossip) add(a netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.peers[a]; !ok && a != g.own {
		g.peers[a] = &contact{addedAt: time.Now()}
	}
}

// addresses returns the addresses of the peers that a message is for: among very
// many, those of other failure domains get urgent ones only.
func (g *gossip) addresses(urgent bool) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(g.peers))
	for a, c := range g.peers {
		if time.Since(c.addedAt) > forgetPeer && time.Since(c.heardAt) > forgetPeer {
			delete(g.peers, a)
			continue
		}
		if urgent || c.domain == g.domain || len(g.peers) <= fleet.ExactPeers {
			out = append(out, a)
		}
	}
	return out
}

// share sends a message to every peer. Writes to a UDP socket do not wait for
// the receiver.
func (g *gossip) share(message fleet.Gossip) {
	d := datagram{From: g.name, Domain: g.domain, Watches: g.watches(), Gossip: message}
	d.ConfigVersion, d.StoreRevision = g.versions()
	peers := g.addresses(message.Urgent())
	if message.Whole {
		d.Peers = peers[:min(len(peers), maxIntroductions)]
	}
	raw, err := cbor.Marshal(d)
	if err != nil || len(raw) > maxDatagram {
		g.log.Info("peer-message-dropped", "bytes", len(raw), "cause", fmt.Sprint(err))
		return
	}
	for _, a := range peers {
		// A datagram that is lost here is repaired by the next whole statement.
		_, _ = g.conn.WriteToUDPAddrPort(raw, a)
	}
}

// run reads messages until the socket is closed.
func (g *gossip) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			g.log.Info("peer-listener-closed", "cause", err.Error())
			return
		}
		var d datagram
		if err := cbor.Unmarshal(buf[:n], &d); err != nil {
			g.log.Info("peer-message-unreadable", "from", from.String(), "cause", err.Error())
			continue
		}
		if d.From == g.name {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		g.heard(from, &d)
		for _, a := range d.Peers {
			g.add(a)
		}
		g.onLoad(fleet.PeerLoad{From: d.From, Gossip: d.Gossip})
		g.onNews(from, &d)
	}
}

func (g *gossip) heard(from netip.AddrPort, d *datagram) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.peers[from]
	if c == nil {
		c = &contact{addedAt: time.Now()}
		g.peers[from] = c
	}
	c.heardAt, c.name, c.domain, c.watches = time.Now(), d.From, d.Domain, d.Watches
}

// Bounds of the duty to follow the store.
const (
	// watchersPerDomain is how many instances of a failure domain follow the
	// store: a second one bridges the time until a loss is noticed.
	watchersPerDomain = 2
	// watcherSilence is the time after which a peer no longer counts as following
	// the store; peers send something each second.
	watcherSilence = 2200 * time.Millisecond
)

// shouldWatch reports whether this instance has to follow the store: if fewer
// than watchersPerDomain peers of its failure domain that come before it do.
func (g *gossip) shouldWatch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := 0
	for _, c := range g.peers {
		if c.watches && c.domain == g.domain && c.name < g.name && time.Since(c.heardAt) < watcherSilence {
			before++
		}
	}
	return before < watchersPerDomain
}
