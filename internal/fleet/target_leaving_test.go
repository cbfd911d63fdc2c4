package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/result"
)

// sayLeaving delivers an answer in which the present incarnation of a target says that it
// leaves.
func (h *harness) sayLeaving(id string) {
	h.t.Helper()
	must.MapContainsKey(h.t, h.core.targets, id)
	h.step(LeavingStated{Target: h.core.targets[id].Target, Leaving: Leaving{Statement: LeavingSaid}})
}

// reached lists the ids of the targets and helpers of sends.
func reached(sends []Send) []string {
	var ids []string
	for _, send := range sends {
		ids = append(ids, send.Target.ID)
		for _, helper := range send.Helpers {
			ids = append(ids, helper.Target)
		}
	}
	return ids
}

// A target said in an answer that it leaves and got first sends, helpers' parts and
// requests of peers until its entry changed.
func TestTargetThatSaysItLeavesGetsNoSends(t *testing.T) {
	h := newHarness(t, 9)
	h.sayLeaving("pool-00")
	h.sayLeaving("app-00")
	for range 12 {
		h.submit(routeShort, 3000)
		h.submit(routeLong, 130_000)
		h.submit(routeIdempotent, 0)
		h.submit(routeNonIdempotent, 0)
		h.lastRequestID++
		h.step(RequestArrived{
			Request: h.lastRequestID, Route: h.config.Routes[routeShort], Config: h.config, Deadline: h.now + 2*time.Second,
			PromptTokens: 3000, MaxAnswerTokens: 100, Relayed: true, AttemptsLeft: 1,
		})
		h.advance(100 * time.Millisecond)
	}
	ids := reached(h.sends)
	must.SliceContains(t, ids, "pool-01")
	must.SliceContains(t, ids, "app-01")
	must.SliceNotContains(t, ids, "pool-00")
	must.SliceNotContains(t, ids, "app-00")
	must.Eq(t, 2, h.logCounts["target-leaving"])
}

// Repeats and resumed streams went to a target that had said that it leaves.
func TestRepeatsPassOverALeavingTarget(t *testing.T) {
	h := newHarness(t, 2)
	stream, call := h.submit(routeShort, 3000), h.submit(routeIdempotent, 0)
	h.deliverFirstEvent(stream)
	first := h.lastSend(stream).Target.ID
	for _, target := range h.core.serviceTargets("pool") {
		if target.ID != first {
			h.sayLeaving(target.ID)
		}
	}
	h.listTarget("pool", 7, "a")
	h.step(AttemptEnd{Attempt: h.lastSend(stream).Attempt, Outcome: OutcomeBroken})
	must.Eq(t, "pool-07", h.lastSend(stream).Target.ID)
	h.sayLeaving("app-00")
	h.sayLeaving("app-01")
	h.sayLeaving("app-02")
	h.listTarget("app", 7, "a")
	h.step(AttemptEnd{Attempt: h.lastSend(call).Attempt, Outcome: OutcomeNotRun})
	must.Eq(t, "app-07", h.lastSend(call).Target.ID)
}

// What runs at a target that leaves goes on to its end: it is neither cancelled nor
// repeated, and the memory at a helper that leaves is renewed for it.
func TestRequestsAtALeavingTargetEndThere(t *testing.T) {
	h := newHarness(t, 8)
	large := h.submit(routeLong, 400_000)
	for _, r := range h.reserves {
		h.step(Reserved{Request: large, Target: r.Target.ID, Ticket: r.Ticket, Granted: true})
	}
	stream := h.submit(routeShort, 3000)
	helper := h.lastSend(large).Helpers[0]
	h.sayLeaving(h.lastSend(stream).Target.ID)
	h.sayLeaving(helper.Target)
	h.sayLeaving(h.lastSend(large).Target.ID)
	asked := len(h.reserves)
	for range 30 {
		h.deliverFirstEvent(stream)
		h.deliverFirstEvent(large)
		h.advance(100 * time.Millisecond)
	}
	renewed := slices.ContainsFunc(h.reserves[asked:], func(r Reserve) bool { return r.Ticket == helper.Ticket })
	must.True(t, renewed)
	must.SliceEmpty(t, h.cancels)
	for _, id := range []RequestID{stream, large} {
		h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeComplete})
		must.Eq(t, 1, h.sendCount(id))
		must.True(t, h.finishes[id].ForwardAnswer)
	}
}

// A reservation was under way when one of its targets said that it leaves: the request was
// sent with its part there.
func TestReservationIsPlacedAgainIfATargetLeaves(t *testing.T) {
	for _, leaver := range []string{"helper", "primary"} {
		h := newHarness(t, 12)
		id := h.submit(routeLong, 400_000)
		asked := slices.Clone(h.reserves)
		must.Greater(t, 1, len(asked))
		left := asked[0].Target.ID
		if leaver == "primary" {
			left = h.core.requests[id].reservation.placement.primary.ID
		}
		h.sayLeaving(left)
		for _, r := range asked {
			h.step(Reserved{Request: id, Target: r.Target.ID, Ticket: r.Ticket, Granted: true})
		}
		must.Eq(t, 0, h.sendCount(id), must.Sprint(leaver))
		must.Len(t, len(asked), h.releases)
		again := h.reserves[len(asked):]
		must.SliceNotEmpty(t, again)
		for _, r := range slices.Clone(again) {
			must.NotEq(t, left, r.Target.ID)
			h.step(Reserved{Request: id, Target: r.Target.ID, Ticket: r.Ticket, Granted: true})
		}
		must.SliceNotContains(t, reached([]Send{h.lastSend(id)}), left)
	}
}

// All targets of a service leave: callers are refused at once, also those that wait, and
// get a time after which to come back.
func TestRequestsAreRefusedAtOnceIfAllTargetsLeave(t *testing.T) {
	h := newHarness(t, 1)
	waiting := h.fillMemory(130_000)
	h.sayLeaving("pool-00")
	arrived := h.submit(routeShort, 1000)
	must.Eq(t, result.NoTarget, h.finishes[arrived].Code)
	must.Eq(t, noTargetRetryAfter, h.finishes[arrived].RetryAfter)
	h.advance(placementRetryDelay)
	must.Eq(t, result.NoTarget, h.finishes[waiting].Code)
	must.Eq(t, noTargetRetryAfter, h.finishes[waiting].RetryAfter)
}

// The last target of a failure domain leaves: work goes to the other domains at once.
func TestWorkLeavesADomainWithItsLastTarget(t *testing.T) {
	h := newHarness(t, 0)
	h.listTarget("pool", 0, "a")
	h.listTarget("pool", 1, "b")
	h.sayLeaving("pool-00")
	must.Eq(t, "pool-01", h.lastSend(h.submit(routeShort, 1000)).Target.ID)
	h.sayLeaving("pool-01")
	must.Eq(t, result.NoTarget, h.finishes[h.submit(routeShort, 1000)].Code)
}

// A Send waits for its connection, or for an attempt before it that still writes to its
// caller. Its targets may leave meanwhile.
func TestSendMayNotStartOnceATargetLeaves(t *testing.T) {
	h := newHarness(t, 9)
	short, long := h.lastSend(h.submit(routeShort, 3000)), h.lastSend(h.submit(routeLong, 130_000))
	must.True(t, h.core.MayStart(short))
	must.True(t, h.core.MayStart(long))
	must.SliceNotEmpty(t, long.Helpers)
	h.sayLeaving(long.Helpers[0].Target)
	must.False(t, h.core.MayStart(long))
	h.sayLeaving(short.Target.ID)
	must.False(t, h.core.MayStart(short))
	removed := h.lastSend(h.submit(routeIdempotent, 0))
	h.step(TargetRemoved{removed.Target.ID})
	must.False(t, h.core.MayStart(removed))
	replaced := h.lastSend(h.submit(routeIdempotent, 0))
	later := replaced.Target
	later.StartedMS = 2
	h.step(TargetListed{later})
	must.False(t, h.core.MayStart(replaced))
	must.True(t, h.core.MayStart(Send{Relay: Relay{Peer: "front-2", Address: "10.1.0.2:7342"}}))
}

// A withheld attempt has not reached its target: it takes no attempt and nothing from the
// retry budget, and says nothing of its target or the path to it.
func TestWithheldAttemptIsPlacedAgain(t *testing.T) {
	h := newHarness(t, 8)
	id := h.submit(routeNonIdempotent, 0)
	for range 2 {
		h.sayLeaving(h.lastSend(id).Target.ID)
		h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeWithheld})
	}
	must.Eq(t, 3, h.sendCount(id))
	a := h.core.requests[id]
	must.Eq(t, 0, a.attemptsRun+a.attemptsNotRun)
	must.MapEmpty(t, h.core.pathTo("app").failed)
	for _, send := range h.sends {
		must.Eq(t, health{}, h.core.targets[send.Target.ID].health)
	}
	h.sayLeaving(h.lastSend(id).Target.ID)
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeWithheld})
	must.Eq(t, result.NoTarget, h.finishes[id].Code)
}

// No entry takes back what a target has said: not one that says ready, not its removal and
// return, not the copy of a restored store, not a new configuration.
func TestLeavingTargetStaysSoWhateverItsEntrySays(t *testing.T) {
	h := newHarness(t, 2)
	left := h.core.targets["pool-00"].Target
	mustStayOut := func() {
		h.t.Helper()
		for range 5 {
			send := h.lastSend(h.submit(routeShort, 1000))
			must.Eq(t, "pool-01", send.Target.ID)
			h.step(AttemptEnd{Attempt: send.Attempt, Outcome: OutcomeComplete})
		}
	}
	h.sayLeaving(left.ID)
	h.listTarget("pool", 0, "a")
	mustStayOut()
	h.step(TargetRemoved{left.ID})
	mustStayOut()
	h.listTarget("pool", 0, "a")
	mustStayOut()
	h.step(StoreReachability{Reachable: false})
	h.step(StoreReachability{Reachable: true})
	h.listTarget("pool", 0, "a")
	mustStayOut()
	h.step(StoreRestored{})
	copied := left
	copied.Outdated = true
	h.step(TargetList{Targets: []Target{copied, h.core.targets["pool-01"].Target}})
	mustStayOut()
	h.advance(3 * time.Second)
	h.listTarget("pool", 0, "a")
	mustStayOut()
	newer := *h.config
	newer.Version = 9
	h.step(Configure{&newer})
	mustStayOut()
	moved := left
	moved.Address = "10.0.0.9:pool"
	h.step(TargetListed{moved})
	mustStayOut()
}

// Another incarnation under the same id, or at the same address, is new, whatever is heard
// late of the one before.
func TestNewIncarnationOfALeavingTargetIsServedAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	earlier := h.core.targets["pool-00"].Target
	later := earlier
	later.StartedMS = 2
	h.sayLeaving("pool-00")
	h.step(TargetListed{later})
	must.Eq(t, 1, h.sendCount(h.submit(routeShort, 1000)))
	h.step(LeavingStated{Target: earlier, Leaving: Leaving{Statement: LeavingSaid}})
	must.Eq(t, 1, h.sendCount(h.submit(routeShort, 1000)))
	// An entry of the one before, in the list of a peer that knows no other.
	h.step(TargetListed{earlier})
	must.Eq(t, int64(2), h.lastSend(h.submit(routeShort, 1000)).Target.StartedMS)
	h.sayLeaving("pool-00")
	must.Eq(t, result.NoTarget, h.finishes[h.submit(routeShort, 1000)].Code)
	next := later
	next.ID, next.StartedMS = "pool-next", 3
	h.step(TargetListed{next})
	must.Eq(t, "pool-next", h.lastSend(h.submit(routeShort, 1000)).Target.ID)
	for _, id := range []string{"app-00", "app-01", "app-02", "pool-next"} {
		h.sayLeaving(id)
	}
	next.ID, next.Service, next.StartedMS = "app-next", "app", 4
	h.step(TargetListed{next}) // at the same address for another service
	must.Eq(t, "app-next", h.lastSend(h.submit(routeIdempotent, 0)).Target.ID)
}

// A peer of an older build names a target that leaves by its id alone. A late word of the
// incarnation before took the next one out of service.
func TestOlderPeersWordOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t, 0)
	target := Target{
		ID: "pool-00", Service: "pool", Address: "10.0.0.1:1", FailureDomain: "a", Slots: 16, StartedMS: 5,
		Listed: StorePosition{Era: 1, Revision: 40},
	}
	h.step(TargetListed{target})
	tell := func(read StorePosition) {
		h.step(PeerGossip{From: "front-2", StorePosition: read, Gossip: Gossip{LeavingTargets: []string{"pool-00"}}})
	}
	tell(StorePosition{Era: 1, Revision: 39})
	tell(StorePosition{Revision: 39})
	tell(StorePosition{Era: 2, Revision: 90}) // read from a copy that may lack the target
	must.True(t, h.acceptsRequests("pool-00"))
	again := target
	again.Listed = StorePosition{Era: 1, Revision: 70}
	h.step(TargetListed{again}) // further entries of the same incarnation change nothing
	tell(StorePosition{Era: 1, Revision: 40})
	must.False(t, h.acceptsRequests("pool-00"))
	target.StartedMS, target.Listed.Revision = 6, 80
	h.step(TargetListed{target})
	must.True(t, h.acceptsRequests("pool-00"))
	target.Listed = StorePosition{Era: 2, Revision: 60}
	h.step(TargetListed{target})
	tell(StorePosition{Era: 1, Revision: 99})
	must.True(t, h.acceptsRequests("pool-00"))
	tell(StorePosition{Era: 2, Revision: 60})
	must.False(t, h.acceptsRequests("pool-00"))
	target.StartedMS, target.Listed.Revision = 7, 90
	h.step(TargetListed{target})
	tell(StorePosition{Revision: 89})
	must.True(t, h.acceptsRequests("pool-00"))
	tell(StorePosition{Revision: 90}) // of a peer that knows of no eras
	must.False(t, h.acceptsRequests("pool-00"))
}

// A peer's word holds for the incarnation that it names, whatever the peer has read.
func TestPeersWordHoldsForItsIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	tell := func(startedMS int64) {
		h.step(PeerGossip{From: "front-2", Gossip: Gossip{Leaving: []LeavingTarget{{ID: "pool-00", StartedMS: startedMS}}}})
	}
	tell(0)
	tell(2)
	must.True(t, h.acceptsRequests("pool-00"))
	tell(1)
	must.False(t, h.acceptsRequests("pool-00"))
}

// told lists the targets of which the last messages to the peers say that they leave.
func (h *harness) told() []string {
	var ids []string
	for _, g := range h.gossips {
		for _, leaving := range g.Gossip.Leaving {
			ids = append(ids, leaving.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// The peers are told at once, also after the target was listed anew, and each second. What a
// peer has said is repeated each second only: all have heard it.
func TestPeersAreToldOfTargetsThatLeave(t *testing.T) {
	h := newHarness(t, 4)
	h.step(PeerGossip{From: "front-2", Domain: "a", Gossip: Gossip{Full: true, LeavingTargets: []string{"pool-02"}}})
	h.gossips = nil
	h.sayLeaving("pool-00")
	drains := h.core.targets["pool-01"].Target
	drains.State = Draining
	h.step(TargetListed{drains})
	h.advance(gossipDelay)
	must.Eq(t, []string{"pool-00", "pool-01"}, h.told())
	h.gossips = nil
	h.advance(fullGossipInterval)
	must.Eq(t, []string{"pool-00", "pool-01", "pool-02"}, h.told())
	h.sayLeaving("pool-02") // to this instance too, after the peers have heard it
	h.step(TargetRemoved{"pool-00"})
	h.listTarget("pool", 0, "a")
	h.gossips = nil
	h.advance(gossipDelay)
	must.Eq(t, []string{"pool-00"}, h.told())
	// A new incarnation within the delay of the message.
	h.sayLeaving("pool-03")
	next := h.core.targets["pool-03"].Target
	next.StartedMS = 2
	h.step(TargetListed{next})
	h.gossips = nil
	h.advance(gossipDelay)
	must.SliceNotContains(t, h.told(), "pool-03")
}

// What is not understood changes nothing, and is logged once for each incarnation.
func TestUnreadableStatementIsLoggedOnce(t *testing.T) {
	h := newHarness(t, 1)
	state := func() {
		h.step(LeavingStated{Target: h.core.targets["pool-00"].Target, Leaving: Leaving{LeavingUnreadable, "yes"}})
	}
	for range 5 {
		state()
	}
	must.Eq(t, 1, h.logCounts["target-leaving-unreadable"])
	must.True(t, h.acceptsRequests("pool-00"))
	next := h.core.targets["pool-00"].Target
	next.StartedMS = 2
	h.step(TargetListed{next})
	state()
	must.Eq(t, 2, h.logCounts["target-leaving-unreadable"])
	h.step(LeavingStated{Target: Target{ID: "unknown"}, Leaving: Leaving{LeavingUnreadable, "yes"}})
	must.Eq(t, 2, h.logCounts["target-leaving-unreadable"])
}

// Targets that have left are forgotten in time, those that are still listed are not.
func TestMemoryOfLeavingTargetsIsBounded(t *testing.T) {
	h := newHarness(t, 2)
	h.sayLeaving("pool-00")
	for i := range 400 {
		target := Target{ID: "pool-x", Service: "pool", Address: "10.0.9.9:1", FailureDomain: "a", Slots: 16, StartedMS: int64(10 + i)}
		h.step(TargetListed{target})
		h.sayLeaving("pool-x")
		h.advance(departureMemory / 100)
	}
	must.LessEq(t, 110, len(h.core.saidLeaving))
	h.step(TargetRemoved{"pool-00"})
	h.sayLeaving("pool-01")
	h.listTarget("pool", 0, "a")
	must.False(t, h.acceptsRequests("pool-00"))
}

// A trial of a request that crashes targets must not go to one that leaves either.
func TestTrialPassesOverALeavingTarget(t *testing.T) {
	h := newHarness(t, 3)
	fp := quarantine.RequestFingerprint(77)
	h.step(PeerGossip{From: "front-2", Gossip: Gossip{News: &News{Verdicts: []quarantine.Verdict{{Fingerprint: fp}}}}})
	h.sayLeaving("pool-00")
	h.sayLeaving("pool-01")
	for range 70 {
		h.lastRequestID++
		h.step(RequestArrived{
			Request: h.lastRequestID, Route: h.config.Routes[routeShort], Config: h.config, Deadline: h.now + 2*time.Second,
			PromptTokens: 1000, MaxAnswerTokens: 10, Fingerprint: 77,
		})
		h.advance(10 * time.Second)
	}
	must.Greater(t, 0, h.logCounts["request-on-trial"])
	for _, id := range reached(h.sends) {
		must.Eq(t, "pool-02", id)
	}
}

// Behind a lost path, targets are checked as soon as they are listed: not one that has said
// that it leaves.
func TestPathIsNotCheckedAtALeavingTarget(t *testing.T) {
	h := newHarness(t, 3)
	left := h.core.targets["pool-00"].Target
	h.sayLeaving(left.ID)
	h.step(TargetRemoved{left.ID})
	for _, id := range []string{"pool-01", "pool-02"} {
		h.step(TargetChecked{h.core.targets[id].Target, CheckUnreachable})
	}
	h.core.losePath(h.core.pathTo("pool"))
	checked := func(ev Event) []string {
		var ids []string
		for _, eff := range h.core.Step(h.now, ev) {
			if check, ok := eff.(CheckTarget); ok {
				ids = append(ids, check.Target.ID)
			}
		}
		return ids
	}
	must.SliceEmpty(t, checked(TargetListed{left}))
	for range 20 {
		h.now += maxPathCheckInterval
		must.SliceNotContains(t, checked(Tick{}), left.ID)
	}
	other := left
	other.StartedMS = 2
	must.Eq(t, []string{left.ID}, checked(TargetListed{other}))
}
