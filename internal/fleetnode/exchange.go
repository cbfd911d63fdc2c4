package fleetnode

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/net/netutil"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
	"github.com/medlardeck/medlardeck/internal/forward"
)

// exchangeTimeout bounds a call to a peer; a snapshot is well under a megabyte.
const exchangeTimeout = 1500 * time.Millisecond

// Bounds of what is read from a peer: a request is a name and three numbers. A snapshot of
// 6,300 targets and a configuration of 1,560 routes is under 3 MB.
const (
	maxPeerRequestBytes = 16 << 10
	maxSnapshotBytes    = 16 << 20
)

// minExchangeInterval is the minimum time between two requests for a snapshot.
const minExchangeInterval = 300 * time.Millisecond

// KnownVersions are the versions that the requesting instance already has. Instances
// that do not know of eras leave StoreEra zero.
type KnownVersions struct{ ConfigVersion, StoreRevision, StoreEra uint64 }

func (k KnownVersions) position() follow.Position {
	return follow.Position{Era: k.StoreEra, Revision: k.StoreRevision}
}

// Snapshot is the part of an instance's store data that is newer than the
// requester's.
type Snapshot struct {
	Config   []byte // encoded as in the store; empty if the requester has it
	Targets  []follow.Item
	Revision uint64
	Era      uint64
	// Entries up to RestoredRevision are from the copy that began the era.
	RestoredRevision uint64
	// Settling is true shortly after an outage or a restore of the store, when targets
	// that are missing from it may still reappear.
	Settling bool
	// Evacuations are what the instance knows of evacuated failure domains, nil for nothing.
	Evacuations []fleet.EvacuationReport
}

// Exchange serves one connection of a peer by net/rpc.
type Exchange struct {
	mirror *mirror
	conn   *servedConn
	kind   atomic.Uint32 // a trafficKind: what the peer has asked for
}

// Newer returns the configuration and the targets of this instance if they are
// newer than the requester's. Builds before evacuationsFormat call it.
func (e *Exchange) Newer(known KnownVersions, reply *Snapshot) error {
	e.kind.Store(uint32(trafficSnapshot))
	config, targets, position := e.mirror.snapshot()
	version, _ := e.mirror.versions()
	if version > known.ConfigVersion {
		reply.Config = config
	}
	if position.Compare(known.position()) > 0 {
		reply.Targets, reply.Revision, reply.Era = targets, position.Revision, position.Era
		reply.Settling = e.mirror.entriesSettling()
		reply.RestoredRevision = e.mirror.lastRestore()
	}
	reply.Evacuations = e.mirror.node.Evacuations()
	return nil
}

// snapshotExchanger serves Exchange and requests the configuration and targets from peers.
type snapshotExchanger struct {
	mirror       *mirror
	gossip       *gossip
	followsStore func() bool // reports whether this instance follows the store and gets responses
	// readStore reads the configuration from the store; nil means that it cannot be read.
	readStore      func() error
	maxConfigDelay time.Duration
	log            logr.Logger
	metrics        forward.Metrics
	port           int
	// localIP is the address by which peers know this instance; they refer others to it.
	localIP  net.IP
	listener net.Listener
	slots    transferSlots
	config   configFetch

	mu              sync.Mutex
	requestInFlight bool
	nextRequestAt   time.Time
	fetchingTargets bool
	nextTargetsAt   time.Time
}

// listen opens the port for peers and serves them in the background.
func (x *snapshotExchanger) listen(s *Settings) error {
	address := net.JoinHostPort(s.IP, fmt.Sprint(s.ExchangePort))
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for peers at %s: %w", address, err)
	}
	x.port, x.listener, x.maxConfigDelay, x.localIP = s.ExchangePort, listener, s.MaxConfigDelay, net.ParseIP(s.IP)
	go acceptPeers(x.serveConn, netutil.LimitListener(listener, s.connLimits().exchange), x.log)
	return nil
}

// serveConn serves a peer until it closes the connection.
func (x *snapshotExchanger) serveConn(conn net.Conn) {
	counted := &countingConn{Conn: conn, maxReceived: maxPeerRequestBytes}
	e := &Exchange{mirror: x.mirror, conn: &servedConn{Conn: counted, slots: &x.slots}}
	server := rpc.NewServer()
	if err := server.Register(e); err != nil {
		x.log.Info("peer-not-served", "cause", err.Error())
		_ = conn.Close()
		return
	}
	server.ServeConn(e.conn)
	e.conn.finish()
	sent, received := counted.counts()
	x.gossip.traffic.countCall(trafficKind(e.kind.Load()), sent, received)
}

// acceptRetryDelay is the time after a failed accept, such as one without a free
// descriptor, until the next.
const acceptRetryDelay = 100 * time.Millisecond

// acceptPeers passes the connections of peers to serve until the listener is closed.
func acceptPeers(serve func(net.Conn), listener net.Listener, log logr.Logger) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			log.Info("peer-exchange-closed", "cause", err.Error())
			return
		}
		if err != nil {
			log.Info("peer-accept-failed", "cause", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		// A peer sends one request and closes the connection. The deadline
		// disconnects a peer that sends nothing.
		if err := conn.SetDeadline(time.Now().Add(2 * exchangeTimeout)); err != nil {
			_ = conn.Close()
			continue
		}
		go serve(conn)
	}
}

// handlePeerVersions compares the versions in a peer's message with those of
// this instance, and requests what the peer has newer. An instance that follows the store
// itself requests only newer configurations, since it gets targets from the store.
func (x *snapshotExchanger) handlePeerVersions(peer netip.AddrPort, d *datagram) {
	serves := x.gossip.formOf(peer).servesConfig()
	if serves && d.Changes != nil && !x.followsStore() {
		x.mirror.applySentChanges(d.Changes)
	}
	ownVersion, own := x.mirror.versions()
	newTargets := !x.followsStore() && x.mirror.inKnownEra(d.StorePosition.position()).Compare(own) > 0
	switch {
	case !serves && (d.ConfigVersion > ownVersion || newTargets):
		x.requestSnapshot(netip.AddrPortFrom(peer.Addr(), uint16(x.port)), KnownVersions{ownVersion, own.Revision, own.Era}, newTargets)
	case serves:
		if max(d.ConfigVersion, d.NewestConfig) > max(ownVersion, x.mirror.rejected()) {
			x.wantConfig()
		}
		if newTargets {
			x.wantTargets()
		}
	}
}

// requestSnapshot requests a snapshot in the background, at most one at once and one each
// minExchangeInterval.
func (x *snapshotExchanger) requestSnapshot(peer netip.AddrPort, known KnownVersions, withTargets bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.requestInFlight || time.Now().Before(x.nextRequestAt) {
		return
	}
	x.requestInFlight = true
	x.nextRequestAt = time.Now().Add(minExchangeInterval)
	go x.fetchSnapshot(peer, known, withTargets)
}

// fetchSnapshot requests a snapshot from a peer and applies it; targets only if
// withTargets is set.
func (x *snapshotExchanger) fetchSnapshot(peer netip.AddrPort, known KnownVersions, withTargets bool) {
	defer func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.requestInFlight = false
	}()
	var snap Snapshot
	if err := callPeer(x.localIP, peer, exchangeTimeout, x.countCall(trafficSnapshot), "Exchange.Newer", known, &snap); err != nil {
		x.log.Info("peer-unreachable", "peer", peer.String(), "cause", err.Error())
		return
	}
	x.mirror.applyPeerEvacuations(snap.Evacuations)
	if len(snap.Config) > 0 {
		x.mirror.adoptConfig(snap.Config)
	}
	position := x.mirror.inKnownEra(follow.Position{Era: snap.Era, Revision: snap.Revision})
	if withTargets && position.Compare(known.position()) > 0 && x.mirror.advanceEra(position.Era, snap.RestoredRevision) {
		applied := x.mirror.applyPeerTargets(snap.Targets, position, snap.Settling)
		x.log.Info("targets-from-peer", "peer", peer.String(), "era", position.Era, "revision", snap.Revision,
			"targets", len(snap.Targets), "settling", snap.Settling, "applied", applied)
	}
}

// countCall returns a function that counts the bytes of a call.
func (x *snapshotExchanger) countCall(kind trafficKind) func(sent, received int) {
	return func(sent, received int) { x.gossip.traffic.countCall(kind, sent, received) }
}
