package fleetnode

import (
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/follow"
)

// exchangeTimeout bounds a call to a peer: a snapshot is well under a megabyte.
const exchangeTimeout = 1500 * time.Millisecond

// exchangeBackoff is the least time between two calls for a newer version.
const exchangeBackoff = 300 * time.Millisecond

// Have is what the asking instance has.
type Have struct{ ConfigVersion, StoreRevision uint64 }

// Snapshot is what an instance knows from the platform's store.
type Snapshot struct {
	Config   []byte // encoded as in the store; empty if the asker has it
	Targets  []follow.Item
	Revision uint64
	// Settling says that targets which are missing may come back: the store was
	// away until a moment ago.
	Settling bool
}

// Exchange answers peers that cannot reach the store; it is served by net/rpc.
type Exchange struct{ mirror *mirror }

// Newer returns what this instance has that is newer.
func (e *Exchange) Newer(have Have, out *Snapshot) error {
	config, targets, revision := e.mirror.snapshot()
	version, _ := e.mirror.versions()
	if version > have.ConfigVersion {
		out.Config = config
	}
	if revision > have.StoreRevision {
		out.Targets, out.Revision, out.Settling = targets, revision, e.mirror.settling()
	}
	return nil
}

// exchanger serves Exchange and asks peers.
type exchanger struct {
	mirror   *mirror
	follows  func() bool // whether this instance follows the store with success
	log      logr.Logger
	port     int
	listener net.Listener

	mu     sync.Mutex
	asking bool
	nextAt time.Time
}

func listenExchange(s *Settings, m *mirror, follows func() bool, log logr.Logger) (*exchanger, error) {
	server := rpc.NewServer()
	if err := server.Register(&Exchange{m}); err != nil {
		return nil, fmt.Errorf("serve peers: %w", err)
	}
	address := net.JoinHostPort(s.IP, fmt.Sprint(s.ExchangePort))
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers at %s: %w", address, err)
	}
	go accept(server, listener, log)
	return &exchanger{mirror: m, follows: follows, log: log, port: s.ExchangePort, listener: listener}, nil
}

// accept serves peers until the listener is closed.
func accept(server *rpc.Server, listener net.Listener, log logr.Logger) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			log.Info("peer-exchange-closed", "cause", err.Error())
			return
		}
		// A peer asks once and closes; one that falls silent is cut.
		if err := conn.SetDeadline(time.Now().Add(2 * exchangeTimeout)); err != nil {
			_ = conn.Close()
			continue
		}
		go server.ServeConn(conn)
	}
}

// news is told of a peer's message, and asks the peer for what is newer there
// and does not come from the store itself.
func (x *exchanger) news(peer netip.AddrPort, d *datagram) {
	own, ownRevision := x.mirror.versions()
	follows := x.follows()
	if d.ConfigVersion <= own && (follows || d.StoreRevision <= ownRevision) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.asking || time.Now().Before(x.nextAt) {
		return
	}
	x.asking = true
	x.nextAt = time.Now().Add(exchangeBackoff)
	go x.ask(netip.AddrPortFrom(peer.Addr(), uint16(x.port)), Have{own, ownRevision}, !follows)
}

func (x *exchanger) ask(peer netip.AddrPort, have Have, targets bool) {
	defer func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.asking = false
	}()
	conn, err := net.DialTimeout("tcp4", peer.String(), exchangeTimeout)
	if err != nil {
		x.log.Info("peer-unreachable", "peer", peer.String(), "cause", err.Error())
		return
	}
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }()
	if err := conn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		x.log.Info("peer-unreachable", "peer", peer.String(), "cause", err.Error())
		return
	}
	var snap Snapshot
	if err := client.Call("Exchange.Newer", have, &snap); err != nil {
		x.log.Info("peer-unreachable", "peer", peer.String(), "cause", err.Error())
		return
	}
	if len(snap.Config) > 0 {
		x.mirror.adopt(snap.Config)
	}
	if targets && snap.Revision > have.StoreRevision {
		x.log.Info("targets-from-peer", "peer", peer.String(), "revision", snap.Revision,
			"targets", len(snap.Targets), "settling", snap.Settling)
		if snap.Settling {
			x.mirror.added(snap.Targets) // and asks again until it is settled
			return
		}
		x.mirror.HandleList(snap.Targets, snap.Revision)
	}
}
