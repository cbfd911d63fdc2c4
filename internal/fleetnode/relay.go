package fleetnode

import (
	"net/netip"
	"time"
)

// isInstance reports whether an instance at the address has sent a message lately.
func (g *gossip) isInstance(a netip.Addr) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.peers[netip.AddrPortFrom(a, g.ownAddress.Port())]
	return c != nil && time.Since(c.lastMessageAt) <= peerExpiry
}
