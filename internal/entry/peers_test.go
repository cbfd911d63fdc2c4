package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/membership"
)

func (c *cluster) believed(at, about string) string {
	f, ok := c.entries[at].members.Get(about)
	if !ok {
		return "unknown"
	}
	return f.State.String()
}

func (c *cluster) allBelieve(t *testing.T, about, state string) {
	t.Helper()
	for _, name := range c.names {
		if name != about && c.entries[name] != nil {
			must.Eq(t, state, c.believed(name, about), must.Sprintf("%s of %s", name, about))
		}
	}
}

func TestJoinDeathAndReplacementAreKnownEverywhere(t *testing.T) {
	c := newCluster(4, "a", "b", "c")
	c.run(10 * time.Second)
	for _, name := range c.names {
		c.allBelieve(t, name, "alive")
	}
	c.kill("entry-003")
	c.run(20 * time.Second)
	c.allBelieve(t, "entry-003", "dead")
	c.start("entry-003", "a", 2)
	c.run(10 * time.Second)
	c.allBelieve(t, "entry-003", "alive")
}

func TestPartitionedDomainRejoins(t *testing.T) {
	c := newCluster(6, "a", "b")
	c.run(10 * time.Second)
	domain := func(name string) string { return c.entries[name].opts.FailureDomain }
	c.cut = func(from, to string) bool { return domain(from) != domain(to) }
	c.run(30 * time.Second)
	must.Eq(t, "alive", c.believed("entry-000", "entry-002"))
	must.Eq(t, "dead", c.believed("entry-000", "entry-001"))
	c.cut = func(string, string) bool { return false }
	c.run(30 * time.Second)
	for _, name := range c.names {
		c.allBelieve(t, name, "alive")
	}
}

// TestSuspicionOfALivingInstanceIsRefuted cuts one way between two instances:
// the receiver is suspected again and again, and must never be buried.
func TestSuspicionOfALivingInstanceIsRefuted(t *testing.T) {
	for _, n := range []int{3, 60} {
		c := newCluster(n, "a")
		c.run(20 * time.Second)
		suspecter := c.entries["entry-000"]
		suspected := suspecter.members.Neighbours()[0].Name
		c.cut = func(from, to string) bool { return from == "entry-000" && to == suspected }
		suspicions := 0
		for range 200 {
			c.run(100 * time.Millisecond)
			for _, name := range c.names {
				must.NotEq(t, "dead", c.believed(name, suspected))
			}
			if c.believed("entry-000", suspected) == "suspect" {
				suspicions++
			}
		}
		must.Positive(t, suspicions)
		c.cut = func(string, string) bool { return false }
		c.run(10 * time.Second)
		c.allBelieve(t, suspected, "alive")
	}
}

func TestLargeFailureDomainKeepsBoundedHeartbeatsAndFindsDeath(t *testing.T) {
	c := newCluster(60, "a")
	c.run(30 * time.Second)
	before := c.sent
	c.run(10 * time.Second)
	must.LessEq(t, 60*10*(membership.Degree+1), c.sent-before)
	c.kill("entry-017")
	// A beat, the delivery's timeout, the suspicion, a beat, the way along the ring.
	c.run(membership.Interval + 2*time.Second + membership.SuspicionTimeout + membership.Interval + time.Second)
	c.allBelieve(t, "entry-017", "dead")
}

func TestBroadcastReachesALargeFailureDomainOnce(t *testing.T) {
	c := newCluster(60, "a")
	c.run(30 * time.Second)
	fact := membership.Fact{Name: "marker", FailureDomain: "a", Incarnation: 1}
	e := c.entries["entry-000"]
	e.effects = nil
	e.broadcast(Message{Members: &Members{Facts: []membership.Fact{fact}}})
	for _, eff := range slices.Clone(e.effects) {
		c.send("entry-000", eff.(PeerSend))
	}
	c.run(100 * time.Millisecond)
	for _, name := range c.names[1:] {
		must.Eq(t, "alive", c.believed(name, "marker"))
	}
	must.False(t, e.sendPeer("nobody", Message{}))
}
