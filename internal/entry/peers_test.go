package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/membership"
)

// peerState returns the state of the subject in the observer's membership table.
func (c *cluster) peerState(observer, subject string) string {
	f, ok := c.entries[observer].members.Get(subject)
	if !ok {
		return "unknown"
	}
	return f.State.String()
}

// requirePeerState checks that all other running entries have the subject in the
// given state.
func (c *cluster) requirePeerState(t *testing.T, subject, state string) {
	t.Helper()
	for _, name := range c.names {
		if name != subject && c.entries[name] != nil {
			must.Eq(t, state, c.peerState(name, subject), must.Sprintf("%s of %s", name, subject))
		}
	}
}

func TestJoinDeathAndReplacementAreKnownEverywhere(t *testing.T) {
	c := newCluster(4, "a", "b", "c")
	c.advance(10 * time.Second)
	for _, name := range c.names {
		c.requirePeerState(t, name, "alive")
	}
	c.killEntry("entry-003")
	c.advance(20 * time.Second)
	c.requirePeerState(t, "entry-003", "dead")
	c.startEntry("entry-003", "a", 2)
	c.advance(10 * time.Second)
	c.requirePeerState(t, "entry-003", "alive")
}

// An instance whose clock had been set back before its restart was ignored by its peers, and
// counted as dead as long as the platform listed it.
func TestRestartWithAnEarlierIncarnationIsKnownEverywhere(t *testing.T) {
	for _, down := range []time.Duration{0, 20 * time.Second} {
		c := newCluster(4, "a", "b", "c")
		c.advance(10 * time.Second)
		c.killEntry("entry-003")
		c.startEntry("entry-003", "a", 1000)
		c.advance(10 * time.Second)
		c.killEntry("entry-003")
		c.advance(down)
		c.startEntry("entry-003", "a", 500)
		c.advance(20 * time.Second)
		c.requirePeerState(t, "entry-003", "alive")
		for _, name := range c.names {
			f, _ := c.entries[name].members.Get("entry-003")
			must.Eq(t, c.entries["entry-003"].members.Self().Incarnation, f.Incarnation, must.Sprint(down, name))
		}
	}
}

func TestPartitionedDomainRejoins(t *testing.T) {
	c := newCluster(6, "a", "b")
	c.advance(10 * time.Second)
	domain := func(name string) string { return c.entries[name].opts.FailureDomain }
	c.partitioned = func(from, to string) bool { return domain(from) != domain(to) }
	c.advance(30 * time.Second)
	must.Eq(t, "alive", c.peerState("entry-000", "entry-002"))
	must.Eq(t, "dead", c.peerState("entry-000", "entry-001"))
	c.partitioned = func(string, string) bool { return false }
	c.advance(30 * time.Second)
	for _, name := range c.names {
		c.requirePeerState(t, name, "alive")
	}
}

// Messages from one instance to one of its neighbours are lost. The neighbour is
// suspected again and again, but must refute it each time: no instance may ever
// declare it dead.
func TestSuspicionOfALivingInstanceIsRefuted(t *testing.T) {
	for _, n := range []int{3, 60} {
		c := newCluster(n, "a")
		c.advance(20 * time.Second)
		observer := c.entries["entry-000"]
		suspected := observer.members.Neighbours()[0].Name
		c.partitioned = func(from, to string) bool { return from == "entry-000" && to == suspected }
		suspicions := 0
		for range 200 {
			c.advance(100 * time.Millisecond)
			for _, name := range c.names {
				must.NotEq(t, "dead", c.peerState(name, suspected))
			}
			if c.peerState("entry-000", suspected) == "suspect" {
				suspicions++
			}
		}
		must.Positive(t, suspicions)
		c.partitioned = func(string, string) bool { return false }
		c.advance(10 * time.Second)
		c.requirePeerState(t, suspected, "alive")
	}
}

func TestLargeFailureDomainBoundsHeartbeatsAndDetectsDeath(t *testing.T) {
	c := newCluster(60, "a")
	c.advance(30 * time.Second)
	before := c.peerMessagesSent
	c.advance(10 * time.Second)
	must.LessEq(t, 60*10*(membership.HeartbeatFanout+1), c.peerMessagesSent-before)
	c.killEntry("entry-017")
	// A heartbeat interval, the timeout of a delivery, the suspicion timeout, another
	// heartbeat interval, and the time to spread along the ring of neighbours.
	c.advance(membership.HeartbeatInterval + 2*time.Second + membership.SuspicionTimeout + membership.HeartbeatInterval + time.Second)
	c.requirePeerState(t, "entry-017", "dead")
}

func TestBroadcastReachesEveryInstanceOfALargeFailureDomain(t *testing.T) {
	c := newCluster(60, "a")
	c.advance(30 * time.Second)
	fact := membership.Fact{Name: "marker", FailureDomain: "a", Incarnation: 1}
	e := c.entries["entry-000"]
	e.effects = nil
	e.broadcast(Message{Members: &Members{Facts: []membership.Fact{fact}}})
	for _, eff := range slices.Clone(e.effects) {
		c.sendPeerMessage("entry-000", eff.(PeerSend))
	}
	c.advance(100 * time.Millisecond)
	for _, name := range c.names[1:] {
		must.Eq(t, "alive", c.peerState(name, "marker"))
	}
	must.False(t, e.sendPeer("nobody", Message{}))
}
