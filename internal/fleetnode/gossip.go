package fleetnode

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
)

// Limits of messages between instances.
const (
	maxDatagramBytes = 60 << 10 // UDP over IPv4 carries up to 65,507 bytes
	// maxAdvertisedPeers bounds the peer addresses in one message. They are drawn at
	// random, so that an instance learns all of them from a few messages.
	maxAdvertisedPeers = 8
)

// datagram is one message between instances.
type datagram struct {
	_            struct{} `cbor:",toarray"`
	From, Domain string
	// FollowsStore reports whether the sender follows the store and gets
	// responses from it.
	FollowsStore bool
	// ConfigVersion and StorePosition are the newest that the sender has.
	ConfigVersion uint64
	StorePosition packedPosition
	// Peers are addresses of instances that the sender knows; set only in
	// messages that state all loads.
	Peers  []netip.AddrPort
	Gossip fleet.Gossip
}

// packedPosition is a position of the store as one number, which instances that do not
// know of eras compare as a revision.
type packedPosition uint64

// revisionBits is the number of low bits of a packedPosition that hold the revision.
const revisionBits = 44

func packPosition(p follow.Position) packedPosition {
	return packedPosition(p.Era<<revisionBits | p.Revision&(1<<revisionBits-1))
}

func (p packedPosition) position() follow.Position {
	return follow.Position{Era: uint64(p) >> revisionBits, Revision: uint64(p) & (1<<revisionBits - 1)}
}

// gossip exchanges datagrams with the other instances of the fleet.
type gossip struct {
	name       string
	domain     string
	ownAddress netip.AddrPort
	relayPort  int
	conn       *net.UDPConn
	log        logr.Logger
	onPeerLoad func(fleet.PeerGossip)
	// onMessage is called for each message.
	onMessage func(peer netip.AddrPort, d *datagram)
	// versions returns the newest versions that this instance has.
	versions func() (configVersion uint64, position follow.Position)
	// followsStore reports whether this instance follows the store and gets
	// responses.
	followsStore func() bool

	mu    sync.Mutex
	peers map[netip.AddrPort]*peerContact
}

// peerContact is the state of one peer address.
type peerContact struct {
	addedAt, lastMessageAt time.Time // lastMessageAt is zero before the first message
	name, domain           string
	followsStore           bool
}

// peerExpiry is how long an address stays in use without a message from it.
const peerExpiry = 30 * time.Second

// listenGossip opens the UDP socket and adds the seed addresses. An invalid
// seed is logged and ignored.
func listenGossip(s *Settings, log logr.Logger) (*gossip, error) {
	own, err := netip.ParseAddrPort(net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(own))
	if err != nil {
		return nil, fmt.Errorf("listen for peers at %s: %w", own, err)
	}
	g := &gossip{name: s.Name, domain: s.FailureDomain, ownAddress: own, relayPort: s.RelayPort, conn: conn, log: log, peers: make(map[netip.AddrPort]*peerContact)}
	for _, seed := range s.Seeds {
		if a, err := netip.ParseAddrPort(seed); err == nil {
			g.addPeer(a)
		} else {
			log.Info("seed-ignored", "address", seed, "cause", err.Error())
		}
	}
	return g, nil
}

// addPeer adds a peer's address if it is new.
func (g *gossip) addPeer(a netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.peers[a]; !ok && a != g.ownAddress {
		g.peers[a] = &peerContact{addedAt: time.Now()}
	}
}

// recipients returns the addresses that a message is sent to, and removes expired
// ones. Addresses that have sent no message yet, whose failure domain is unknown,
// receive the messages with all loads for the own domain, so that both get to know
// each other.
func (g *gossip) recipients(m fleet.SendGossip) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(g.peers))
	for a, c := range g.peers {
		if time.Since(c.addedAt) > peerExpiry && time.Since(c.lastMessageAt) > peerExpiry {
			delete(g.peers, a)
			continue
		}
		introduce := c.name == "" && m.Gossip.Full && m.Domain == g.domain
		if introduce || (m.Domain == "" || m.Domain == c.domain) && (m.Peer == "" || m.Peer == c.name) {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// knownAddresses returns up to limit addresses of peers, drawn at random. g.mu must
// not be held.
func (g *gossip) knownAddresses(limit int) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(g.peers))
	for a := range g.peers {
		addresses = append(addresses, a)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), limit)]
}

// send sends a message to its recipients. Writes to a UDP socket do not wait for the
// receiver.
func (g *gossip) send(m fleet.SendGossip) {
	d := datagram{From: g.name, Domain: g.domain, FollowsStore: g.followsStore(), Gossip: m.Gossip}
	version, position := g.versions()
	d.ConfigVersion, d.StorePosition = version, packPosition(position)
	peers := g.recipients(m)
	if m.Gossip.Full {
		d.Peers = g.knownAddresses(maxAdvertisedPeers)
	}
	raw, err := cbor.Marshal(d)
	if err != nil || len(raw) > maxDatagramBytes {
		g.log.Info("peer-message-dropped", "bytes", len(raw), "cause", fmt.Sprint(err))
		return
	}
	for _, a := range peers {
		// The next message that states all loads makes up for a lost datagram.
		_, _ = g.conn.WriteToUDPAddrPort(raw, a)
	}
}

// receiveMessages handles messages until the socket is closed.
func (g *gossip) receiveMessages() {
	buf := make([]byte, maxDatagramBytes)
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
		g.recordMessage(from, &d)
		for _, a := range d.Peers {
			g.addPeer(a)
		}
		relay := netip.AddrPortFrom(from.Addr(), uint16(g.relayPort)).String()
		g.onPeerLoad(fleet.PeerGossip{From: d.From, Domain: d.Domain, RelayAddress: relay, StorePosition: fleet.StorePosition(d.StorePosition.position()), Gossip: d.Gossip})
		g.onMessage(from, &d)
	}
}

// recordMessage updates the state of the peer that sent a message.
func (g *gossip) recordMessage(from netip.AddrPort, d *datagram) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.peers[from]
	if c == nil {
		c = &peerContact{addedAt: time.Now()}
		g.peers[from] = c
	}
	c.lastMessageAt, c.name, c.domain, c.followsStore = time.Now(), d.From, d.Domain, d.FollowsStore
}

// Limits for selecting the instances that follow the store.
const (
	// followersPerDomain is how many instances of a failure domain follow the
	// store. The second one covers the time until the loss of the first is
	// noticed.
	followersPerDomain = 2
	// followerTimeout is the time without a message after which a peer no
	// longer counts as following the store; peers send at least one message per
	// second.
	followerTimeout = 2200 * time.Millisecond
)

// shouldFollow reports whether this instance has to follow the store: it starts to
// if fewer than followersPerDomain peers of its failure domain do, and stops if so
// many do whose names sort before its own. A peer that joins thus replaces none.
func (g *gossip) shouldFollow(following bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	followers := 0
	for _, c := range g.peers {
		counts := !following || c.name < g.name
		if counts && c.followsStore && c.domain == g.domain && time.Since(c.lastMessageAt) < followerTimeout {
			followers++
		}
	}
	return followers < followersPerDomain
}
