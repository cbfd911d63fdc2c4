package fleetnode

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// newTestGossip returns a gossip without a socket that knows peers of domains a
// and b, half each.
func newTestGossip(peers int) *gossip {
	g := &gossip{name: "front-1", domain: "a", peers: make(map[netip.AddrPort]*contact)}
	for i := range peers {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 7340)
		g.heard(a, &datagram{From: fmt.Sprintf("peer-%03d", i), Domain: []string{"a", "b"}[i%2], Watches: true})
	}
	return g
}

// The number of messages an instance sends must not grow with the whole fleet.
func TestAmongManyPeersOtherDomainsGetUrgentMessagesOnly(t *testing.T) {
	few := newTestGossip(20)
	must.Len(t, 20, few.addresses(false))
	many := newTestGossip(300)
	must.Len(t, 150, many.addresses(false))
	must.Len(t, 300, many.addresses(true))
	must.True(t, (&fleet.Gossip{Left: []string{"t"}}).Urgent())
	must.False(t, (&fleet.Gossip{Ended: []uint64{1}}).Urgent())
}

func TestTwoInstancesOfADomainWatch(t *testing.T) {
	g := newTestGossip(0)
	must.True(t, g.shouldWatch()) // alone
	first := netip.MustParseAddrPort("10.0.0.1:1")
	second := netip.MustParseAddrPort("10.0.0.2:1")
	g.name = "front-9"
	g.heard(first, &datagram{From: "front-1", Domain: "a", Watches: true})
	must.True(t, g.shouldWatch())
	g.heard(second, &datagram{From: "front-2", Domain: "a", Watches: true})
	must.False(t, g.shouldWatch())
	g.heard(second, &datagram{From: "front-2", Domain: "a"}) // the store turned it away
	must.True(t, g.shouldWatch())
	g.heard(second, &datagram{From: "front-2", Domain: "b", Watches: true}) // another domain
	must.True(t, g.shouldWatch())
	g.heard(second, &datagram{From: "front-2", Domain: "a", Watches: true})
	g.peers[second].heardAt = time.Now().Add(-2 * watcherSilence)
	must.True(t, g.shouldWatch())
}

func TestAddressesThatNobodyAnswersAtAreForgotten(t *testing.T) {
	g := newTestGossip(2)
	for _, c := range g.peers {
		c.addedAt, c.heardAt = time.Now().Add(-2*forgetPeer), time.Now().Add(-2*forgetPeer)
	}
	must.SliceEmpty(t, g.addresses(true))
}
