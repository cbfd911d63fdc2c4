package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

func (h *harness) acceptsRequests(id string) bool {
	target := h.core.targets[id]
	return target != nil && !target.gone && !target.leaving
}

func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	h := newHarness(t, 2)
	h.step(TargetListed{Target{ID: "pool-00", Service: "pool", Address: "10.0.0.0:pool", FailureDomain: "a", Slots: 16, State: Draining, StartedMS: 1}})
	for range 10 {
		must.Eq(t, "pool-01", h.lastSend(h.submit(routeShort, 1000)).Target.ID)
	}
	h.step(TargetRemoved{"pool-01"})
	must.Eq(t, result.FamilyRefused, h.finishes[h.submit(routeShort, 1000)].Code.Family())
}

func TestPeerReportsDrainingTarget(t *testing.T) {
	h := newHarness(t, 2)
	h.step(PeerGossip{From: "front-2", Gossip: Gossip{LeavingTargets: []string{"pool-00"}}})
	must.False(t, h.acceptsRequests("pool-00"))
}

// A peer's word on an earlier incarnation, which may come late, must not take the next one
// out of use.
func TestPeerReportsIncarnationsThatLeave(t *testing.T) {
	h := newHarness(t, 2)
	started := h.core.targets["pool-00"].StartedMS
	h.step(PeerGossip{From: "front-2", Gossip: Gossip{Leaving: []LeavingTarget{{ID: "pool-00", StartedMS: started - 1}}}})
	must.True(t, h.acceptsRequests("pool-00"))
	h.step(PeerGossip{From: "front-2", Gossip: Gossip{Leaving: []LeavingTarget{{ID: "pool-00", StartedMS: started}}}})
	must.False(t, h.acceptsRequests("pool-00"))
	h.advance(2 * time.Second)
	must.Eq(t, []LeavingTarget{{ID: "pool-00", StartedMS: started}}, h.gossips[len(h.gossips)-1].Gossip.Leaving)
}

// Entries expire while the store is unreachable although their targets live. Only
// targets still missing two seconds after the outage are gone.
func TestRemovalsAroundStoreOutageAreDeferred(t *testing.T) {
	h := newHarness(t, 2)
	h.step(StoreReachability{Reachable: false})
	h.advance(5 * time.Second)
	h.step(StoreReachability{Reachable: true})
	h.step(TargetRemoved{"pool-00"})
	h.step(TargetRemoved{"pool-01"})
	must.True(t, h.acceptsRequests("pool-00"))
	h.advance(time.Second)
	h.listTarget("pool", 0, "a")
	h.advance(1500 * time.Millisecond)
	must.True(t, h.acceptsRequests("pool-00"))
	must.False(t, h.acceptsRequests("pool-01"))
}

// The address of a former target may be assigned to a target of another service.
func TestReusedAddressMarksFormerTargetGone(t *testing.T) {
	h := newHarness(t, 1)
	h.step(TargetListed{Target{ID: "other", Service: "app", Address: "10.0.0.0:pool", FailureDomain: "a", StartedMS: 2}})
	must.Eq(t, result.FamilyRefused, h.finishes[h.submit(routeShort, 1000)].Code.Family())
}

func TestMisdirectedAnswerMarksTargetGone(t *testing.T) {
	h := newHarness(t, 2)
	id := h.submit(routeShort, 1000)
	first := h.lastSend(id)
	h.step(AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeMisdirected})
	must.False(t, h.acceptsRequests(first.Target.ID))
	must.NotEq(t, first.Target.ID, h.lastSend(id).Target.ID)
}

func TestSameIDWithNewStartTimeIsNewIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	h.core.targets["pool-00"].health.recordFailure(h.now, 1, true)
	h.step(TargetListed{Target{ID: "pool-00", Service: "pool", Address: "10.0.0.0:pool", FailureDomain: "a", Slots: 16, StartedMS: 2}})
	must.Eq(t, health{}, h.core.targets["pool-00"].health)
	must.Eq(t, 1, len(h.core.targetsByService["pool"]))
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	newer := &Config{Version: 5}
	h.step(Configure{newer})
	h.step(Configure{h.config})
	must.Eq(t, newer, h.core.Config())
}

// A stale list names a target whose address a newer one has taken over. If both were
// used, a split prompt could name one address twice, which engines reject.
func TestReplacedTargetStaysGoneInStaleList(t *testing.T) {
	h := newHarness(t, 0)
	older := Target{ID: "old", Service: "pool", Address: "10.0.0.9:1", FailureDomain: "a", Slots: 16, StartedMS: 1}
	newer := older
	newer.ID, newer.StartedMS = "new", 2
	h.step(TargetListed{older})
	h.step(TargetListed{newer})
	h.step(TargetList{Targets: []Target{newer, older}})
	must.False(t, h.core.targets["new"].gone)
	must.True(t, h.core.targets["old"] == nil || h.core.targets["old"].gone)
	// The same if the stale entry comes first or is new to this instance.
	h = newHarness(t, 0)
	h.step(TargetListed{newer})
	h.step(TargetListed{older})
	must.False(t, h.core.targets["new"].gone)
	must.True(t, h.core.targets["old"].gone)
}

// The copy from which the store is restored lists targets that have left since. Their
// entries must not bring them back: they are draining, or their addresses belong to
// others by now.
func TestTargetsThatLeftStayGoneInARestoredList(t *testing.T) {
	h := newHarness(t, 3)
	left := h.core.targets["pool-00"].Target
	h.step(TargetRemoved{left.ID})
	h.step(StoreRestored{})
	copied := h.core.targets["pool-01"].Target
	copied.Outdated, left.Outdated = true, true
	h.step(TargetList{Targets: []Target{left, copied}})
	must.False(t, h.acceptsRequests("pool-00"))
	must.True(t, h.acceptsRequests("pool-01"))
	h.step(TargetListed{left})
	must.False(t, h.acceptsRequests("pool-00"))
	// It had only been cut off from the store, and writes its entry again. From then on it
	// has not left.
	left.Outdated = false
	h.step(TargetListed{left})
	must.True(t, h.acceptsRequests("pool-00"))
	left.Outdated = true
	h.step(TargetRemoved{left.ID})
	h.step(TargetListed{left})
	h.advance(3 * time.Second)
	must.True(t, h.acceptsRequests("pool-00"))
}

// The copy may list an earlier start of a target under the same id.
func TestEarlierStartInARestoredListIsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	earlier := h.core.targets["pool-00"].Target
	later := earlier
	later.StartedMS, later.Address = 2, "10.0.0.7:pool"
	h.step(TargetListed{later})
	h.step(StoreRestored{})
	earlier.Outdated = true
	h.step(TargetList{Targets: []Target{earlier}})
	must.Eq(t, later.Address, h.core.targets["pool-00"].Address)
}

// The copy lacks targets that came since. They are back as soon as they write again, and
// only those that do not are gone. No call needs to have failed.
func TestTargetsMissingFromARestoredListStayInUse(t *testing.T) {
	h := newHarness(t, 3)
	h.step(StoreRestored{})
	h.step(TargetList{Targets: []Target{h.core.targets["pool-00"].Target}})
	must.True(t, h.acceptsRequests("pool-01"))
	h.advance(time.Second)
	h.listTarget("pool", 1, "a")
	h.advance(1500 * time.Millisecond)
	must.True(t, h.acceptsRequests("pool-01"))
	must.False(t, h.acceptsRequests("pool-02"))
}

// The end of the last request at an incarnation that has left must not take the next
// incarnation with it, which has the same id.
func TestEndOfAFormerIncarnationKeepsTheNext(t *testing.T) {
	h := newHarness(t, 1)
	former := h.submit(routeShort, 500)
	next := h.core.targets["pool-00"].Target
	h.step(TargetRemoved{"pool-00"})
	next.StartedMS = 2
	h.step(TargetListed{next})
	h.step(AttemptEnd{Attempt: h.lastSend(former).Attempt, Outcome: OutcomeComplete})
	must.NotNil(t, h.core.targets["pool-00"])
	id := h.submit(routeShort, 500)
	must.True(t, h.core.MayStart(h.lastSend(id)))
	next.State = Draining
	h.step(TargetListed{next})
	must.Eq(t, result.NoTarget, h.finishes[h.submit(routeShort, 500)].Code)
}

// Requests whose attempts are withheld again and again must not occupy the instance.
func TestWithheldRequestsArePlacedAgainWithADelay(t *testing.T) {
	h := newHarness(t, 2)
	id := h.submit(routeShort, 500)
	for range maxImmediatePlacements + 1 {
		h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeWithheld})
	}
	must.Eq(t, maxImmediatePlacements+1, h.sendCount(id))
	h.advance(placementRetryDelay)
	must.Eq(t, maxImmediatePlacements+2, h.sendCount(id))
}

// foreignEntry is an entry of another writer for the address of a target.
func foreignEntry(id, service, address string) TargetListed {
	return TargetListed{Target{ID: id, Service: service, Address: address, FailureDomain: "a", Slots: 16, StartedMS: 1 << 40}}
}

// Entries of a service that nobody has configured took sound targets at their addresses out of
// use for everybody, also after a restart.
func TestEntriesOfUnknownServicesReplaceNothing(t *testing.T) {
	listed := newHarness(t, 2)
	for i := range 2 {
		listed.step(foreignEntry(fmt.Sprintf("foreign-%d", i), "metrics", listed.core.targets[fmt.Sprintf("pool-%02d", i)].Address))
	}
	restarted := newHarness(t, 0)
	for i := range 2 {
		restarted.step(foreignEntry(fmt.Sprintf("foreign-%d", i), "metrics", fmt.Sprintf("10.0.0.%d:pool", i)))
		restarted.listTarget("pool", i, "a")
	}
	for _, h := range []*harness{listed, restarted} {
		for id, target := range h.core.targets {
			must.False(t, target.gone, must.Sprint(id))
		}
		must.Eq(t, 1, h.sendCount(h.submit(routeShort, 1000)))
	}
}

// A service that is configured after its targets were listed has replaced others, as if both
// had become known the other way round.
func TestTargetsOfAServiceThatIsConfiguredLaterReplaceOthers(t *testing.T) {
	h := newHarness(t, 2)
	h.step(foreignEntry("later-0", "later", h.core.targets["pool-00"].Address))
	must.False(t, h.core.targets["pool-00"].gone)
	config := *h.config
	config.Version, config.Services = 2, maps.Clone(h.config.Services)
	config.Services["later"] = &Service{Name: "later"}
	config.BuildIndexes()
	h.step(Configure{&config})
	must.True(t, h.core.targets["pool-00"].gone)
	must.False(t, h.core.targets["pool-01"].gone)
	must.False(t, h.core.targets["later-0"].gone)
}

// An entry that could be a target's takes the place of a sound one, until that answers under
// its own id.
func TestTargetThatAnswersIsThereWhateverIsWritten(t *testing.T) {
	h := newHarness(t, 1)
	h.step(foreignEntry("impostor", "pool", h.core.targets["pool-00"].Address))
	must.True(t, h.core.targets["pool-00"].gone)
	id := h.submit(routeShort, 1000)
	must.Eq(t, "impostor", h.lastSend(id).Target.ID)
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeMisdirected, Status: 421, AnsweredBy: "pool-00"})
	must.False(t, h.acceptsRequests("impostor"))
	must.Eq(t, "pool-00", h.lastSend(id).Target.ID)
	must.True(t, h.acceptsRequests("pool-00"))
	h.step(TargetListed{Target{ID: "impostor-2", Service: "pool", Address: h.core.targets["pool-00"].Address, FailureDomain: "a", Slots: 16, StartedMS: 1 << 40}})
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeComplete})
	must.False(t, h.acceptsRequests("pool-00"))
	h.step(TargetList{Targets: []Target{h.core.targets["impostor-2"].Target}})
	must.MapNotContainsKey(t, h.core.targets, "pool-00") // what the store no longer lists is not kept
}

// An entry that another writer had overwritten ended its target in a list, and not in a watch.
func TestOverwrittenEntryLeavesItsTarget(t *testing.T) {
	h := newHarness(t, 2)
	h.step(TargetList{Targets: []Target{h.core.targets["pool-00"].Target}, Unreadable: []string{"pool-01", "unknown"}})
	must.True(t, h.acceptsRequests("pool-00"))
	must.True(t, h.acceptsRequests("pool-01"))
	must.MapNotContainsKey(t, h.core.targets, "unknown")
	must.False(t, h.acceptsRequests("app-00"))
}

// Whatever other writers store beside sound entries, at their addresses, before them, in lists
// or one by one: the sound targets stay in use.
func TestForeignEntriesAmongSoundOnesTakeNothingAway(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 43))
		h := newHarness(t, 0)
		var sound, foreign []Target
		for i := range 6 {
			sound = append(sound, Target{
				ID: fmt.Sprintf("pool-%02d", i), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: "a", Slots: 16, StartedMS: 100,
			})
		}
		step := func() {
			switch f := foreignEntry(fmt.Sprintf("foreign-%d", rng.IntN(9)), "metrics", sound[rng.IntN(6)].Address); rng.IntN(4) {
			case 0:
				h.step(f)
				foreign = append(foreign, f.Target)
			case 1:
				h.step(TargetRemoved{f.Target.ID})
			case 2:
				h.step(TargetListed{sound[rng.IntN(6)]})
			case 3:
				list := append(slices.Clone(foreign), sound[:3]...)
				rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
				h.step(TargetList{Targets: list, Unreadable: []string{"pool-03", "pool-04", "pool-05"}})
			}
		}
		for range 30 {
			step()
		}
		for _, target := range sound {
			h.step(TargetListed{target})
		}
		for range 30 {
			step()
		}
		for _, target := range sound {
			must.True(t, h.acceptsRequests(target.ID), must.Sprintf("seed %d: %s is not used", seed, target.ID))
		}
	}
}
