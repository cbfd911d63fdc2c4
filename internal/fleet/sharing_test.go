package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// largeFleetDomains are the failure domains of newLargeFleet.
var largeFleetDomains = []string{"a", "b", "c", "d", "e"}

// newLargeFleet returns a harness for an instance of domain a, with the given number
// of peers and of engines in each domain.
func newLargeFleet(t *testing.T, peersPerDomain, targetsPerDomain int) *harness {
	t.Helper()
	h := newHarness(t, 0)
	for i := range targetsPerDomain * len(largeFleetDomains) {
		h.listTarget("pool", i, largeFleetDomains[i%len(largeFleetDomains)])
	}
	h.joinPeers(peersPerDomain)
	return h
}

// joinPeers delivers a first message from the given number of peers in each domain.
func (h *harness) joinPeers(perDomain int) {
	for _, domain := range largeFleetDomains {
		for i := range perDomain {
			h.step(PeerGossip{From: fmt.Sprintf("peer-%s-%d", domain, i), Domain: domain, Gossip: Gossip{Full: true}})
		}
	}
	h.gossips = nil
}

// loadDomains returns the recipients of the messages about loads.
func (h *harness) loadDomains() []string {
	var domains []string
	for _, g := range h.gossips {
		if len(g.Gossip.Loads)+len(g.Gossip.FirstEvents)+len(g.Gossip.EndedLoads) > 0 && !g.Gossip.Full {
			domains = append(domains, g.Domain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// In a fleet of hundreds of instances, messages about each request to all peers would
// cost every instance more with each one added. Two domains hear of a target's loads.
func TestLargeFleetTellsTwoDomainsOfALoad(t *testing.T) {
	h := newLargeFleet(t, 16, 8)
	id := h.submit(routeShort, 3000)
	h.advance(2 * gossipDelay)
	target := h.core.targets[h.lastSend(id).Target.ID]
	must.Eq(t, "a", target.FailureDomain)
	want := []string{"a", h.core.guestDomain(target)}
	slices.Sort(want)
	must.Eq(t, want, h.loadDomains())
	h.gossips = nil
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeComplete})
	h.advance(2 * gossipDelay)
	must.Eq(t, want, h.loadDomains())
}

// A failed target or a crashing request has to be known everywhere at once.
func TestLargeFleetTellsAllDomainsOfFailures(t *testing.T) {
	h := newLargeFleet(t, 16, 8)
	id := h.submit(routeShort, 3000)
	first := h.lastSend(id)
	h.step(AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeBroken})
	h.step(TargetChecked{first.Target, CheckRefused})
	h.advance(2 * gossipDelay)
	var told []string
	for _, g := range h.gossips {
		if len(g.Gossip.FailedTargets) > 0 && g.Gossip.News != nil && len(g.Gossip.News.Crashes) > 0 {
			told = append(told, g.Domain)
		}
	}
	slices.Sort(told)
	must.Eq(t, largeFleetDomains, slices.Compact(told))
}

// A small fleet sends one message to all peers.
func TestSmallFleetTellsAllPeersOfALoad(t *testing.T) {
	h := newLargeFleet(t, 4, 8)
	h.submit(routeShort, 3000)
	h.advance(2 * gossipDelay)
	must.Eq(t, []string{allDomains}, h.loadDomains())
}

// All instances have to agree who uses a target, and each domain needs capacity in
// each of the others in case it loses its own.
func TestGuestDomainsAreAgreedOnAndCoverEveryPair(t *testing.T) {
	h := newLargeFleet(t, 16, 27)
	other := New(Options{Name: "front-2", FailureDomain: "c", RetryWindow: 10 * time.Second, Seed: 8})
	other.Step(0, Configure{h.config})
	for _, domain := range largeFleetDomains {
		other.Step(0, PeerGossip{From: "peer-" + domain, Domain: domain})
	}
	pairs := make(map[string]int)
	for _, target := range h.core.serviceTargets("pool") {
		other.Step(0, TargetListed{target.Target})
		guest := h.core.guestDomain(target)
		must.NotEq(t, target.FailureDomain, guest)
		must.Eq(t, guest, other.guestDomain(other.targets[target.ID]))
		pairs[target.FailureDomain+guest]++
	}
	must.MapLen(t, len(largeFleetDomains)*(len(largeFleetDomains)-1), pairs)
}

// Callers move to one failure domain: it spills over to the targets that it shares
// with others, and to no other targets, whose loads it does not know.
func TestBusyDomainSpillsOverToSharedTargets(t *testing.T) {
	h := newLargeFleet(t, 16, 6)
	spilled := 0
	for range 120 {
		id := h.submit(routeShort, 3000)
		h.advance(5 * time.Millisecond) // before any target counts as silent
		h.deliverFirstEvent(id)
		target := h.core.targets[h.lastSend(id).Target.ID]
		must.True(t, h.core.followsLoads("a", target))
		if target.FailureDomain != "a" {
			spilled++
		}
	}
	must.Greater(t, 20, spilled) // the own targets have 96 slots
	for _, target := range h.core.serviceTargets("pool") {
		must.LessEq(t, target.Slots, len(target.loads), must.Sprintf("target %s", target.ID))
	}
}

// A domain that has lost its own targets is served by the others.
func TestDomainWithoutTargetsUsesOthers(t *testing.T) {
	h := newLargeFleet(t, 16, 6)
	for _, target := range slices.Clone(h.core.serviceTargets("pool")) {
		if h.core.followsLoads("a", target) {
			h.step(TargetRemoved{target.ID})
		}
	}
	must.NotEq(t, "a", h.lastSend(h.submit(routeShort, 4000)).Target.FailureDomain)
}

// A message with all loads for a domain repairs lost ones at the targets that the
// domain follows, and drops no others.
func TestFullGossipStatesTheLoadsThatTheDomainFollows(t *testing.T) {
	h := newLargeFleet(t, 16, 8)
	for range 20 {
		h.submit(routeShort, 4000)
	}
	for _, domain := range largeFleetDomains {
		want := 0
		for _, target := range h.core.targets {
			if h.core.isTold(domain, target) {
				want += len(target.loads)
			}
		}
		must.Len(t, want, h.core.fullGossip(domain).Loads)
	}
	must.Len(t, 20, h.core.fullGossip("a").Loads)
}

// An instance that starts is answered by each peer alone: answers to all would be as
// many messages as the square of the fleet.
func TestJoiningInstanceIsAnsweredAlone(t *testing.T) {
	h := newLargeFleet(t, 16, 8)
	h.step(PeerGossip{From: "peer-b-3", Domain: "b", Gossip: Gossip{Joining: true, Full: true}})
	must.Len(t, 1, h.gossips)
	must.Eq(t, "peer-b-3", h.gossips[0].Peer)
	must.True(t, h.gossips[0].Gossip.Full)
}

// Messages repeat crashes in case that earlier ones were lost. A crash counts towards a
// quarantine once, however often and by however many peers it is reported.
func TestRepeatedReportsOfACrashCountOnce(t *testing.T) {
	h := newLargeFleet(t, 16, 8)
	for _, from := range []string{"peer-b-1", "peer-c-1", "peer-b-1", "peer-d-1"} {
		h.step(PeerGossip{From: from, Gossip: peerCrash("gone", 1)})
	}
	must.Eq(t, 1, h.sendCount(h.submit(routeShort, 3000))) // fingerprint 1
	h.step(PeerGossip{From: "peer-b-1", Gossip: peerCrash("other-1", 2)})
	h.step(PeerGossip{From: "peer-b-1", Gossip: peerCrash("other-2", 2)})
	h.step(PeerGossip{From: "peer-c-1", Gossip: peerCrash("other-3", 2)})
	must.Eq(t, 0, h.sendCount(h.submit(routeShort, 3000))) // fingerprint 2
}

// An instance that starts learns at once which requests crash targets.
func TestJoiningInstanceIsToldOfVerdicts(t *testing.T) {
	h := newLargeFleet(t, 16, 8)
	for _, target := range []string{"other-1", "other-2", "other-3"} {
		h.step(PeerGossip{From: "peer-b-1", Gossip: peerCrash(target, 1)})
	}
	h.gossips = nil
	h.step(PeerGossip{From: "peer-b-3", Domain: "b", Gossip: Gossip{Joining: true, Full: true}})
	must.Len(t, 1, h.gossips)
	joined := newHarness(t, 8)
	joined.step(PeerGossip{From: "front-9", Gossip: h.gossips[0].Gossip})
	must.Eq(t, 0, joined.sendCount(joined.submit(routeShort, 3000))) // fingerprint 1
}
