package fleetnode

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
	"github.com/medlardeck/medlardeck/internal/forward"
)

// Limits of messages between instances.
const (
	maxDatagramBytes = 60 << 10 // UDP over IPv4 carries up to 65,507 bytes
	// maxAdvertisedPeers bounds the peer addresses in one message. They are drawn at
	// random, so that an instance learns all of them from a few messages.
	maxAdvertisedPeers = 8
)

// gossip exchanges datagrams with the other instances of the fleet.
type gossip struct {
	name   string
	domain string
	// incarnation is that of this process.
	incarnation uint64
	ownAddress  netip.AddrPort
	relayPort   int
	conn        *net.UDPConn
	log         logr.Logger
	metrics     forward.Metrics
	onPeerLoad  func(fleet.PeerGossip)
	// onMessage is called for each message.
	onMessage func(peer netip.AddrPort, d *datagram)
	// versions returns the newest versions that this instance has.
	versions func() (configVersion uint64, position follow.Position)
	// followsStore reports whether this instance follows the store and gets
	// responses, readsStore whether the store has answered lately.
	followsStore, readsStore func() bool

	fresh   freshness
	traffic traffic

	// unreadableLoggedAt is the time of the last line on a message that names no sender.
	unreadableLoggedAt time.Time

	mu    sync.Mutex
	peers map[netip.AddrPort]*peerContact
	// statedAt is the time of the last message to the own domain or to all.
	statedAt time.Time
	takeover takeover
}

// peerContact is the state of one peer address.
type peerContact struct {
	addedAt, lastMessageAt time.Time // lastMessageAt is zero before the first message
	name, domain           string
	followsStore           bool
	configVersion          uint64
	position               follow.Position
	// form is what the peer reads; formKnown says that it has sent a message.
	form      peerForm
	formKnown bool
	// unreadableLogged says that a message with unreadable parts has been logged.
	unreadableLogged bool
}

// peerExpiry is how long an address stays in use without a message from it.
const peerExpiry = 30 * time.Second

// listenGossip opens the UDP socket and adds the seed addresses. An invalid
// seed is logged and ignored.
func listenGossip(s *Settings, incarnation uint64, metrics forward.Metrics, log logr.Logger) (*gossip, error) {
	own, err := netip.ParseAddrPort(net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(own))
	if err != nil {
		return nil, fmt.Errorf("listen for peers at %s: %w", own, err)
	}
	g := &gossip{name: s.Name, domain: s.FailureDomain, incarnation: incarnation, ownAddress: own, relayPort: s.RelayPort, conn: conn, log: log, metrics: metrics, peers: make(map[netip.AddrPort]*peerContact)}
	g.takeover = newTakeover(s.IsSeed, time.Now())
	for _, seed := range s.Seeds {
		if a, err := netip.ParseAddrPort(seed); err == nil {
			g.addPeer(a)
			g.takeover.seeds[a] = true
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

// recipient is the address of a peer and the form of messages that it reads.
type recipient struct {
	address netip.AddrPort
	form    peerForm
}

// recipients returns the addresses that a message is sent to, and removes expired
// ones. Addresses that have sent no message yet, whose failure domain is unknown,
// receive the messages with all loads for the own domain, so that both get to know
// each other.
func (g *gossip) recipients(m fleet.SendGossip) []recipient {
	g.mu.Lock()
	defer g.mu.Unlock()
	recipients := make([]recipient, 0, len(g.peers))
	for a, c := range g.peers {
		if time.Since(c.addedAt) > peerExpiry && time.Since(c.lastMessageAt) > peerExpiry {
			delete(g.peers, a)
			continue
		}
		introduce := c.name == "" && m.Gossip.Full && m.Domain == g.domain
		if introduce || (m.Domain == "" || m.Domain == c.domain) && (m.Peer == "" || m.Peer == c.name) {
			recipients = append(recipients, recipient{a, c.form})
		}
	}
	return recipients
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

// send sends a message to its recipients.
func (g *gossip) send(m fleet.SendGossip) {
	recipients := g.recipients(m)
	if m.Peer == "" && (m.Domain == "" || m.Domain == g.domain) {
		g.mu.Lock()
		g.statedAt = time.Now()
		g.mu.Unlock()
	}
	g.sendTo(recipients, &m.Gossip, nil)
}

// sendChanges tells the own failure domain of changes that this instance has read from the
// store.
func (g *gossip) sendChanges(changes *targetChanges) {
	g.sendTo(g.recipients(fleet.SendGossip{Domain: g.domain}), &fleet.Gossip{}, changes)
}

// lastStatement returns the time of the last message to the own domain or to all.
func (g *gossip) lastStatement() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statedAt
}

// sendSign sends a message without content to signRecipients peers drawn at random.
func (g *gossip) sendSign() {
	recipients := g.recipients(fleet.SendGossip{})
	rand.Shuffle(len(recipients), func(i, j int) { recipients[i], recipients[j] = recipients[j], recipients[i] })
	g.sendTo(recipients[:min(len(recipients), signRecipients)], &fleet.Gossip{}, nil)
}

// sendTo sends a message to recipients. Writes to a UDP socket do not wait for the receiver.
func (g *gossip) sendTo(recipients []recipient, content *fleet.Gossip, changes *targetChanges) {
	now := time.Now()
	d := datagram{
		From: g.name, Domain: g.domain, FollowsStore: g.followsStore(), Gossip: *content, Incarnation: g.incarnation,
		NewestConfig: g.fresh.newestVersion(now), FollowerSign: g.fresh.signElement(now), Changes: changes,
	}
	if g.readsStore() {
		d.FollowerSign = 1
	}
	version, position := g.versions()
	d.ConfigVersion, d.StorePosition = version, packPosition(position)
	if content.Full {
		d.Peers = g.knownAddresses(maxAdvertisedPeers)
		g.traffic.addresses.Add(int64(len(d.Peers) * len(recipients)))
	}
	kind := kindOf(&d)
	encoded := make(map[peerForm][][]byte)
	for _, r := range recipients {
		messages, ok := encoded[r.form]
		if !ok {
			messages = g.encode(&d, r.form)
			encoded[r.form] = messages
		}
		for _, raw := range messages {
			// The next message that states all loads makes up for a lost datagram.
			_, _ = g.conn.WriteToUDPAddrPort(raw, r.address)
			g.traffic.countSent(kind, 1, len(raw))
		}
	}
}

// encode returns a message in the form that a peer reads, without parts that are too long
// for a datagram.
func (g *gossip) encode(d *datagram, form peerForm) [][]byte {
	messages, err := d.encode(form)
	if err != nil {
		g.log.Info("peer-message-dropped", "format", form.format, "cause", err.Error())
	}
	return slices.DeleteFunc(messages, func(raw []byte) bool {
		tooLong := len(raw) > maxDatagramBytes
		if tooLong {
			g.log.Info("peer-message-dropped", "format", form.format, "bytes", len(raw))
		}
		return tooLong
	})
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
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		m, err := decodeMessage(buf[:n])
		if err != nil {
			g.recordUnreadable(from, err)
			continue
		}
		if m.From != g.name {
			g.traffic.countReceived(kindOf(&m.datagram), n)
			g.handleMessage(from, m)
		}
	}
}

// handleMessage passes on what a peer tells.
func (g *gossip) handleMessage(from netip.AddrPort, m *receivedMessage) {
	g.recordMessage(from, &m.datagram)
	g.recordBuild(from, m)
	g.fresh.recordMessage(&m.datagram, m.FollowsStore && g.showsStore(from), time.Now())
	for _, a := range m.Peers {
		g.addPeer(a)
	}
	g.onPeerLoad(fleet.PeerGossip{
		From: m.From, Domain: m.Domain, Incarnation: m.Incarnation, RelayAddress: netip.AddrPortFrom(from.Addr(), uint16(g.relayPort)).String(),
		RelayUnproven: !g.formOf(from).servesRelays(), StorePosition: fleet.StorePosition(m.StorePosition.position()), Gossip: m.Gossip,
	})
	g.onMessage(from, &m.datagram)
}

// formOf returns the form that a peer reads.
func (g *gossip) formOf(peer netip.AddrPort) peerForm {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.peers[peer]; c != nil {
		return c.form
	}
	return peerForm{}
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
	c.position, c.configVersion = d.StorePosition.position(), d.ConfigVersion
}

// showsStore reports whether that a peer follows the store is a sign that it reads it. Peers
// that send the sign itself are not asked for it, and those that do not know of eras may keep
// to what was before a restore.
func (g *gossip) showsStore(peer netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.peers[peer]
	return !c.form.servesConfig() && (!c.lacksEra() || !g.knowsEra())
}

// configHolders returns the peers that have said that they hold a newer configuration than a
// version: those of the own domain, or if there are none, of all.
func (g *gossip) configHolders(version uint64) []netip.Addr {
	return g.holders(func(c *peerContact) bool { return c.configVersion > version })
}

// holders returns the peers that hold something and serve it: those of the own domain, or if
// there are none, of all.
func (g *gossip) holders(holds func(*peerContact) bool) []netip.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	var own, all []netip.Addr
	for a, c := range g.peers {
		if !c.form.servesConfig() || time.Since(c.lastMessageAt) > followerTimeout || !holds(c) {
			continue
		}
		all = append(all, a.Addr())
		if c.domain == g.domain {
			own = append(own, a.Addr())
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

// lacksEra reports whether the peer's position of the store has no era.
func (c *peerContact) lacksEra() bool {
	return c.position.Revision > 0 && c.position.Era == 0 && !c.form.knowsEras()
}

// knowsEra reports whether the own position of the store has an era.
func (g *gossip) knowsEra() bool {
	_, position := g.versions()
	return position.Era > 0
}

// targetHolders returns the peers whose position of the store is ahead: those of the own
// domain, or if there are none, of all.
func (g *gossip) targetHolders(ahead func(follow.Position) bool) []netip.Addr {
	return g.holders(func(c *peerContact) bool { return ahead(c.position) })
}
