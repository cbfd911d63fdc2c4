package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/booking"
	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/store"
)

func TestBookingRunsOnceAndResendsReplayItsAnswer(t *testing.T) {
	for _, withPeers := range []bool{false, true} {
		sim := newBookingSim(t, 3, 1, withPeers)
		sim.advance(5 * time.Second)
		first := sim.submitBooking(0, "cut-1")
		sim.advance(20 * time.Millisecond)
		resendHere, resendElsewhere := sim.submitBooking(0, "cut-1"), sim.submitBooking(1, "cut-1") // during the run
		sim.advance(3 * time.Second)
		resendAfterAnswer := sim.submitBooking(2, "cut-1") // after the run
		sim.advance(3 * time.Second)
		must.Eq(t, result.Complete, sim.resultOf(first))
		for _, id := range []arrivalID{resendHere, resendElsewhere, resendAfterAnswer} {
			must.Eq(t, result.Replayed, sim.resultOf(id))
			must.Eq(t, []byte("cut-1"), sim.finishes[id].Answer.Body)
		}
		must.Eq(t, 1, sim.runCounts["cut-1"])
	}
}

func TestClaimIsStoredBeforeTheCallIsSent(t *testing.T) {
	e := newTestEntry()
	ev := RequestArrived{Request: 1, Workspace: "museum", Route: "bookings", Method: "POST", Identity: "cut-1"}
	get := effectsOf[StoreCall](e.Step(0, ev))[0]
	must.Eq(t, store.OpGet, get.Call.Op)
	effs := e.Step(0, StoreReply{ID: get.ID, Reply: store.Reply{Status: store.StatusNotFound}})
	must.Len(t, 0, effectsOf[Send](effs))
	cas := effectsOf[StoreCall](effs)[0]
	must.Eq(t, store.OpCAS, cas.Call.Op)
	effs = e.Step(0, StoreReply{ID: cas.ID, Reply: store.Reply{Status: store.StatusOK, Revision: 1}})
	must.Len(t, 1, effectsOf[Send](effs))
}

func TestIdentityReusedForAnotherRequestIsRefused(t *testing.T) {
	sim := newBookingSim(t, 1, 1, false)
	sim.submitBooking(0, "cut-1")
	sim.advance(time.Second)
	sim.stepEntry(0, RequestArrived{Request: 2, Workspace: "museum", Route: "bookings", Method: "POST", Identity: "cut-1", Fingerprint: 2})
	sim.advance(time.Second)
	must.Eq(t, result.IdentityConflict, sim.resultOf(arrivalID{0, 1, 2}))
}

func TestClaimWithLostReplyIsReadBack(t *testing.T) {
	for _, delayedShare := range []float64{0, 1} {
		sim := newBookingSim(t, 1, 3, false)
		sim.lostReplyShare, sim.delayedWriteShare = 1, delayedShare
		id := sim.submitBooking(0, "cut-1")
		sim.advance(10 * time.Millisecond)
		sim.lostReplyShare = 0
		sim.advance(5 * time.Second)
		must.Eq(t, result.Complete, sim.resultOf(id))
	}
}

func TestStoreOutageRefusesBookingsAndResendRunsAfterRecovery(t *testing.T) {
	sim := newBookingSim(t, 2, 1, false)
	sim.storeOutage = true
	ids := []arrivalID{sim.submitBooking(0, "cut-1"), sim.submitBooking(1, "cut-2")}
	sim.advance(time.Second)
	for _, id := range ids {
		must.Eq(t, result.StoreUnavailable, sim.resultOf(id))
	}
	sim.stepEntry(0, completion(77))
	sim.storeOutage = false
	sim.advance(10 * time.Second)
	resend := sim.submitBooking(1, "cut-1")
	sim.advance(time.Second)
	must.Eq(t, result.Complete, sim.resultOf(resend))
}

func TestResendIsReplayedFromMemoryDuringStoreOutage(t *testing.T) {
	sim := newBookingSim(t, 1, 1, false)
	sim.submitBooking(0, "cut-1")
	sim.advance(time.Second)
	sim.storeOutage = true
	sim.submitBooking(0, "cut-2")
	sim.advance(2 * time.Second) // until the entry has noticed the outage
	resend := sim.submitBooking(0, "cut-1")
	sim.advance(2 * time.Second)
	must.Eq(t, result.Replayed, sim.resultOf(resend))
}

// The store takes a claim, its reply is lost and an outage keeps the entry from
// reading it back, so the request is refused as not run. The claim that is left
// in the store must not keep a resend from running.
func TestResendRunsAfterTimedOutClaimIsReleased(t *testing.T) {
	sim := newBookingSim(t, 2, 5, false)
	sim.lostReplyShare = 1 // the store takes the claim, but the reply is lost
	first := sim.submitBooking(0, "cut-1")
	sim.advance(2 * time.Millisecond)
	sim.advance(20 * time.Millisecond)
	sim.storeOutage = true
	sim.advance(5 * time.Second)
	must.Eq(t, result.ClaimTimeout, sim.resultOf(first))
	sim.storeOutage, sim.lostReplyShare = false, 0
	sim.advance(10 * time.Second)
	resend := sim.submitBooking(1, "cut-1")
	sim.advance(5 * time.Second)
	must.Eq(t, result.Complete, sim.resultOf(resend))
	must.Eq(t, 1, sim.runCounts["cut-1"])
}

// An entry crashes while its call runs, so nobody knows the outcome. A resend must
// not run again, neither while the call may still run nor afterwards.
func TestUnknownOutcomeAfterCrashIsNotRepeated(t *testing.T) {
	sim := newBookingSim(t, 2, 1, false)
	sim.submitBooking(0, "cut-1")
	sim.advance(20 * time.Millisecond)
	must.Eq(t, 1, sim.runCounts["cut-1"])
	sim.startEntry(0, false) // crash and restart
	early := sim.submitBooking(1, "cut-1")
	sim.advance(9 * time.Second)
	must.Eq(t, result.Code(0), sim.resultOf(early)) // the call may still run
	sim.advance(20 * time.Second)
	must.Eq(t, result.StillRunning, sim.resultOf(early))
	late := sim.submitBooking(0, "cut-1")
	sim.advance(time.Second)
	must.Eq(t, result.NotRepeated, sim.resultOf(late))
}

// An entry is paused for a minute while its claim is written, and another entry
// takes a resend meanwhile. The claim must run nowhere, and the paused entry must
// recover from the outdated revisions of the shard heads that it knows.
func TestPausedWriterLosesToANewerRevision(t *testing.T) {
	sim := newBookingSim(t, 2, 1, false)
	for i := range 8 {
		sim.submitBooking(0, fmt.Sprintf("warm-%d", i)) // entry 0 reads the heads of all shards
	}
	sim.advance(time.Second)
	first := sim.submitBooking(0, "cut-1")
	sim.pauseEntry(0) // while the claim is being written
	sim.advance(time.Second)
	second := sim.submitBooking(1, "cut-1")
	sim.advance(time.Second)
	must.Eq(t, 0, sim.runCounts["cut-1"])
	sim.advance(time.Minute)
	sim.resumeEntry(0)
	sim.advance(5 * time.Second)
	must.Eq(t, result.ClaimTimeout, sim.resultOf(first))
	must.Eq(t, result.StillRunning, sim.resultOf(second))
	must.Eq(t, 0, sim.runCounts["cut-1"])
	withOldHead := sim.submitBooking(0, "cut-3") // entry 0 still has the old head
	sim.advance(time.Second)
	must.Eq(t, result.Complete, sim.resultOf(withOldHead))
}

func TestPlannedStopWritesOutcomesAndHandsOverShards(t *testing.T) {
	sim := newBookingSim(t, 3, 1, true)
	sim.advance(5 * time.Second)
	for i := range 6 {
		sim.submitBooking(0, fmt.Sprintf("cut-%d", i))
	}
	sim.advance(30 * time.Millisecond)
	sim.stepEntry(0, Stop{})
	sim.advance(10 * time.Second)
	must.True(t, sim.nodes[0].entry.stopped)
	for i := range 6 {
		resend := sim.submitBooking(1+i%2, fmt.Sprintf("cut-%d", i))
		sim.advance(time.Second)
		must.Eq(t, result.Replayed, sim.resultOf(resend))
	}
}

func TestIsolatedFailureDomainServesCallsWithoutClaims(t *testing.T) {
	sim := newBookingSim(t, 2, 1, true)
	sim.advance(5 * time.Second)
	sim.storeOutage, sim.peersPartitioned = true, true
	claimed := sim.submitBooking(0, "cut-1")
	sim.submitCall(0, "none", RequestArrived{Method: "POST"}) // without an identity it needs no claim
	lookUp := sim.submitCall(0, "look-up", RequestArrived{Method: "GET"})
	sim.advance(5 * time.Second)
	must.Eq(t, result.StoreUnavailable, sim.resultOf(claimed))
	must.Eq(t, 1, sim.runCounts["none"])
	must.Eq(t, result.Complete, sim.resultOf(lookUp))
	must.Positive(t, sim.nodes[0].entry.ClaimStats().Failing)
}

func TestResendsAreReplayedFromSealedSegments(t *testing.T) {
	sim := newBookingSim(t, 2, 1, false)
	for i := range 200 {
		sim.submitBooking(0, fmt.Sprintf("cut-%d", i))
		sim.advance(150 * time.Millisecond)
	}
	casCalls := sim.store.Calls()["world"][store.OpCAS]
	must.Positive(t, casCalls)
	must.Positive(t, sim.nodes[0].entry.ClaimStats().Records)
	for i := range 200 {
		resend := sim.submitBooking(1, fmt.Sprintf("cut-%d", i))
		sim.advance(300 * time.Millisecond)
		must.Eq(t, result.Replayed, sim.resultOf(resend), must.Sprintf("cut-%d", i))
	}
}

func TestExpiredClaimRecordsAreRemoved(t *testing.T) {
	sim := newBookingSim(t, 1, 1, false)
	for i := range 40 {
		sim.submitBooking(0, fmt.Sprintf("cut-%d", i))
		sim.advance(150 * time.Millisecond)
	}
	sim.advance(2 * time.Hour)
	for i := range 4 {
		sim.submitBooking(0, fmt.Sprintf("new-%d", i))
		sim.advance(time.Second)
	}
	must.LessEq(t, 4, sim.nodes[0].entry.ClaimStats().Records)
}

func TestBookingWithoutIdentityNeedsNoStore(t *testing.T) {
	e := newTestEntry()
	effs := e.Step(0, RequestArrived{Request: 1, Workspace: "museum", Route: "bookings", Method: "POST"})
	must.Len(t, 1, effectsOf[Send](effs))
	must.Len(t, 0, effectsOf[StoreCall](effs))
	id := effectsOf[Send](effs)[0].Attempt
	effs = e.Step(time.Second, AttemptEnd{Attempt: id, Outcome: OutcomeBroke})
	must.Len(t, 0, effectsOf[Send](effs))
	must.Eq(t, result.BrokenAfterSend, effectsOf[Finish](effs)[0].Code)
}

func TestClaimsAreRewrittenToStoreRestoredFromOlderData(t *testing.T) {
	sim := newBookingSim(t, 2, 1, false)
	sim.submitBooking(0, "old-0")
	sim.advance(time.Second)
	sim.store.Snapshot()
	for i := range 30 {
		sim.submitBooking(0, fmt.Sprintf("cut-%d", i)) // some records are sealed into segments
		sim.advance(200 * time.Millisecond)
	}
	must.True(t, sim.store.Restore())
	for i := range 8 {
		sim.submitBooking(0, fmt.Sprintf("new-%d", i)) // writes to every shard
		sim.advance(500 * time.Millisecond)
	}
	sim.advance(5 * time.Second)
	for i := range 30 {
		resend := sim.submitBooking(1, fmt.Sprintf("cut-%d", i))
		sim.advance(2 * time.Second)
		must.Eq(t, result.Replayed, sim.resultOf(resend), must.Sprintf("cut-%d", i))
	}
}

func TestFullShardRefusesNewBookingsAndReplaysResends(t *testing.T) {
	sim := newBookingSim(t, 1, 1, false)
	sim.nodes[0].entry.opts.Claims = booking.Options{Shards: 2, ShardBytes: 2 << 10}
	sim.nodes[0].entry.initClaims()
	var last arrivalID
	for i := range 40 {
		last = sim.submitBooking(0, fmt.Sprintf("cut-%d", i))
		sim.advance(500 * time.Millisecond)
	}
	must.Eq(t, result.ClaimRecordFull, sim.resultOf(last))
	resend := sim.submitBooking(0, "cut-0")
	sim.advance(time.Second)
	must.Eq(t, result.Replayed, sim.resultOf(resend))
}

func TestFingerprintIdentityExpiresAfterItsWindow(t *testing.T) {
	sim := newBookingSim(t, 1, 1, false)
	intent := testIntent()
	intent.Routes[0].Identity = configuration.Identity{FingerprintWindowS: 60}
	sim.stepEntry(0, AdoptConfiguration{Accepted: configuration.Accepted{Revision: 2, Intent: intent}})
	ev := RequestArrived{Method: "POST", Identity: "fingerprint:caller:1", Fingerprint: 1}
	first := sim.submitCall(0, "a", ev)
	sim.advance(30 * time.Second)
	within := sim.submitCall(0, "b", ev)
	sim.advance(2 * time.Minute)
	after := sim.submitCall(0, "c", ev)
	sim.advance(5 * time.Second)
	must.Eq(t, result.Complete, sim.resultOf(first))
	must.Eq(t, result.Replayed, sim.resultOf(within))
	must.Eq(t, result.Complete, sim.resultOf(after))
}

// Once the owners of the shards have noticed an outage, they must refuse claims at
// once instead of letting each wait for its timeout.
func TestShardOwnerReportsStoreOutageWithoutDelay(t *testing.T) {
	sim := newBookingSim(t, 3, 1, true)
	sim.advance(5 * time.Second)
	sim.storeOutage = true
	for i := range 3 {
		sim.submitBooking(i, fmt.Sprintf("first-%d", i)) // leaves writes with an unknown outcome
		sim.submitBooking(i, fmt.Sprintf("second-%d", i))
	}
	sim.advance(5 * time.Second)
	var ids []arrivalID
	for i := range 30 {
		ids = append(ids, sim.submitBooking(i%3, fmt.Sprintf("cut-%d", i)))
	}
	sim.advance(time.Second)
	for _, id := range ids {
		must.Eq(t, result.StoreUnavailable, sim.resultOf(id))
	}
}
