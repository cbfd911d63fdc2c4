package fleetnode

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of transfers to peers.
const (
	// maxTransfers is the number of transfers that an instance serves at once. A link of
	// 20 Mbit/s carries four configurations of 22 kB, half a megabyte before compression,
	// in 36 ms.
	maxTransfers = 4
	// maxReferrals is the number of peers that an answer of a busy instance names.
	maxReferrals = 8
	// referralTime is how long an instance that has served maxReferrals peers only refers to
	// them. The first holders would otherwise serve most of the fleet.
	referralTime = time.Second
	// transferTimeout bounds one transfer; the requester then asks another peer.
	transferTimeout = 500 * time.Millisecond
)

// transferSlots bounds the transfers that are served at once, and remembers to whom the last
// ones went, so that a busy instance can refer to them.
type transferSlots struct {
	mu     sync.Mutex
	used   int
	served []servedTransfer // the last maxReferrals
}

// servedTransfer is a transfer to a peer of what is described by key.
type servedTransfer struct {
	peer netip.Addr
	key  transferKey
	at   time.Time
}

// transferKey names what a transfer brought.
type transferKey struct {
	config   bool
	version  uint64 // of the configuration
	position packedPosition
}

// covers reports whether an instance that got k has all that is wanted by another that asks
// for at least the given one.
func (k transferKey) covers(wanted transferKey) bool {
	return k.config == wanted.config && k.version >= wanted.version && k.position >= wanted.position
}

// begin takes a slot for a transfer to a peer. If none is free, or enough peers have got the
// same lately, it returns these.
func (s *transferSlots) begin(now time.Time, peer netip.Addr, key transferKey) (referrals []netip.Addr, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := 0
	for _, t := range s.served {
		if !t.key.covers(key) || t.peer == peer {
			continue
		}
		referrals = append(referrals, t.peer)
		if now.Sub(t.at) < referralTime {
			recent++
		}
	}
	if s.used >= maxTransfers || recent >= maxReferrals {
		return referrals, false
	}
	s.used++
	s.served = append(s.served, servedTransfer{peer, key, now})
	if len(s.served) > maxReferrals {
		s.served = slices.Delete(s.served, 0, 1)
	}
	return nil, true
}

func (s *transferSlots) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
}

// servedConn is the connection of a peer that is served. A transfer holds its slot until the
// peer has closed the connection, since its bytes wait in the socket until then.
type servedConn struct {
	net.Conn
	slots    *transferSlots
	transfer atomic.Bool // a slot is held
}

// begin takes a slot for a transfer over this connection.
func (c *servedConn) begin(key transferKey) (referrals []netip.Addr, ok bool) {
	if c.transfer.Load() {
		return nil, true
	}
	var peer netip.Addr
	if from, err := netip.ParseAddrPort(c.RemoteAddr().String()); err == nil {
		peer = from.Addr().Unmap()
	}
	referrals, ok = c.slots.begin(time.Now(), peer, key)
	if ok && c.transfer.Swap(true) {
		c.slots.end() // two calls at once over one connection
	} else if ok {
		// A failure shows when the answer is written.
		_ = c.SetDeadline(time.Now().Add(transferTimeout))
	}
	return referrals, ok
}

// finish frees the slot. It is called when the connection has ended.
func (c *servedConn) finish() {
	if c.transfer.Load() {
		c.slots.end()
	}
}

// callPeer makes one call to a peer's exchange from an address of this machine; nil means any.
func callPeer(local net.IP, peer netip.AddrPort, timeout time.Duration, count func(sent, received int), method string, request, reply any) error {
	deadline := time.Now().Add(timeout)
	dialer := net.Dialer{Timeout: timeout}
	if local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	conn, err := dialer.Dial("tcp4", peer.String())
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, peer, err)
	}
	counted := &countingConn{Conn: conn, maxReceived: maxSnapshotBytes}
	client := rpc.NewClient(counted)
	defer func() {
		_ = client.Close()
		count(counted.counts())
	}()
	if err := conn.SetDeadline(deadline); err != nil {
		return fmt.Errorf("call %s at %s: %w", method, peer, err)
	}
	if err := client.Call(method, request, reply); err != nil {
		return fmt.Errorf("call %s at %s: %w", method, peer, err)
	}
	return nil
}

// sources are the peers that can be asked for something. One that has failed, does not have
// it or has referred to others is not asked again, unless all have.
type sources struct {
	known  []netip.Addr
	failed map[netip.Addr]bool
}

// add adds peers that are said to have it.
func (s *sources) add(peers ...netip.Addr) {
	for _, p := range peers {
		if !slices.Contains(s.known, p) {
			s.known = append(s.known, p)
		}
	}
}

// fail excludes a peer.
func (s *sources) fail(peer netip.Addr) {
	if s.failed == nil {
		s.failed = make(map[netip.Addr]bool)
	}
	s.failed[peer] = true
}

// refer adds the peers to which a busy one refers, in place of it.
func (s *sources) refer(busy netip.Addr, to []netip.Addr) {
	if len(to) > 0 {
		s.add(to...)
		s.fail(busy)
	}
}

// pick returns a random peer; ok is false if none is left, which makes all eligible again.
func (s *sources) pick() (peer netip.Addr, ok bool) {
	var left []netip.Addr
	for _, p := range s.known {
		if !s.failed[p] {
			left = append(left, p)
		}
	}
	if len(left) == 0 {
		s.failed = nil
		return netip.Addr{}, false
	}
	return left[rand.N(len(left))], true
}
