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

func TestBookingRunsOnceAndResendsGetItsAnswer(t *testing.T) {
	for _, peers := range []bool{false, true} {
		w := newWorld(t, 3, 1, peers)
		w.run(5 * time.Second)
		first := w.book(0, "cut-1")
		w.run(20 * time.Millisecond)
		same, other := w.book(0, "cut-1"), w.book(1, "cut-1") // while it runs
		w.run(3 * time.Second)
		later := w.book(2, "cut-1") // after the answer
		w.run(3 * time.Second)
		must.Eq(t, result.Complete, w.code(first))
		for _, id := range []arrivalID{same, other, later} {
			must.Eq(t, result.Replayed, w.code(id))
			must.Eq(t, []byte("cut-1"), w.ends[id].Answer.Body)
		}
		must.Eq(t, 1, w.runs["cut-1"])
	}
}

func TestClaimIsInTheStoreBeforeTheCallIsSent(t *testing.T) {
	e := newTestEntry()
	ev := Arrive{Request: 1, Workspace: "museum", Route: "bookings", Method: "POST", Identity: "cut-1"}
	get := effectsOf[StoreCall](e.Step(0, ev))[0]
	must.Eq(t, store.OpGet, get.Call.Op)
	effs := e.Step(0, StoreReply{ID: get.ID, Reply: store.Reply{Status: store.StatusNotFound}})
	must.Len(t, 0, effectsOf[Send](effs))
	cas := effectsOf[StoreCall](effs)[0]
	must.Eq(t, store.OpCAS, cas.Call.Op)
	effs = e.Step(0, StoreReply{ID: cas.ID, Reply: store.Reply{Status: store.StatusOK, Revision: 1}})
	must.Len(t, 1, effectsOf[Send](effs))
}

func TestSameIdentityWithAnotherRequestIsRefused(t *testing.T) {
	w := newWorld(t, 1, 1, false)
	w.book(0, "cut-1")
	w.run(time.Second)
	w.step(0, Arrive{Request: 2, Workspace: "museum", Route: "bookings", Method: "POST", Identity: "cut-1", Fingerprint: 2})
	w.run(time.Second)
	must.Eq(t, result.IdentityConflict, w.code(arrivalID{0, 1, 2}))
}

func TestLostAnswerOfAClaimIsReadBack(t *testing.T) {
	for _, late := range []float64{0, 1} {
		w := newWorld(t, 1, 3, false)
		w.lostAnswers, w.lateWrites = 1, late
		id := w.book(0, "cut-1")
		w.run(10 * time.Millisecond)
		w.lostAnswers = 0
		w.run(5 * time.Second)
		must.Eq(t, result.Complete, w.code(id))
	}
}

func TestOutageRefusesInTimeAndAResendRunsAfterIt(t *testing.T) {
	w := newWorld(t, 2, 1, false)
	w.outage = true
	ids := []arrivalID{w.book(0, "cut-1"), w.book(1, "cut-2")}
	w.run(time.Second)
	for _, id := range ids {
		must.Eq(t, result.StoreUnavailable, w.code(id))
	}
	w.step(0, completion(77))
	w.outage = false
	w.run(10 * time.Second)
	again := w.book(1, "cut-1")
	w.run(time.Second)
	must.Eq(t, result.Complete, w.code(again))
}

func TestOutageAnswersFromWhatIsKnown(t *testing.T) {
	w := newWorld(t, 1, 1, false)
	w.book(0, "cut-1")
	w.run(time.Second)
	w.outage = true
	w.book(0, "cut-2")
	w.run(2 * time.Second) // the outage is noticed
	resend := w.book(0, "cut-1")
	w.run(2 * time.Second)
	must.Eq(t, result.Replayed, w.code(resend))
}

func TestWithdrawnClaimLetsAResendRun(t *testing.T) {
	w := newWorld(t, 2, 5, false)
	w.lostAnswers = 1 // the claim takes effect, nobody learns of it
	first := w.book(0, "cut-1")
	w.run(2 * time.Millisecond)
	w.run(20 * time.Millisecond)
	w.outage = true
	w.run(5 * time.Second)
	must.Eq(t, result.ClaimTimeout, w.code(first))
	w.outage, w.lostAnswers = false, 0
	w.run(10 * time.Second)
	resend := w.book(1, "cut-1")
	w.run(5 * time.Second)
	must.Eq(t, result.Complete, w.code(resend))
	must.Eq(t, 1, w.runs["cut-1"])
}

func TestCrashLeavesAnUnknownOutcomeThatIsNotRepeated(t *testing.T) {
	w := newWorld(t, 2, 1, false)
	w.book(0, "cut-1")
	w.run(20 * time.Millisecond)
	must.Eq(t, 1, w.runs["cut-1"])
	w.start(0, false) // the instance ends and is replaced
	early := w.book(1, "cut-1")
	w.run(9 * time.Second)
	must.Eq(t, result.Code(0), w.code(early)) // the first may still run
	w.run(20 * time.Second)
	must.Eq(t, result.StillRunning, w.code(early))
	late := w.book(0, "cut-1")
	w.run(time.Second)
	must.Eq(t, result.NotRepeated, w.code(late))
}

func TestPausedWriterLosesByRevision(t *testing.T) {
	w := newWorld(t, 2, 1, false)
	for i := range 8 {
		w.book(0, fmt.Sprintf("warm-%d", i)) // entry 0 knows the heads of all shards
	}
	w.run(time.Second)
	first := w.book(0, "cut-1")
	w.pause(0) // its write is under way
	w.run(time.Second)
	second := w.book(1, "cut-1")
	w.run(time.Second)
	must.Eq(t, 0, w.runs["cut-1"])
	w.run(time.Minute)
	w.resume(0)
	w.run(5 * time.Second)
	must.Eq(t, result.ClaimTimeout, w.code(first))
	must.Eq(t, result.StillRunning, w.code(second))
	must.Eq(t, 0, w.runs["cut-1"])
	stale := w.book(0, "cut-3") // its head is old
	w.run(time.Second)
	must.Eq(t, result.Complete, w.code(stale))
}

func TestPlannedStopWritesOutcomesAndHandsShardsOver(t *testing.T) {
	w := newWorld(t, 3, 1, true)
	w.run(5 * time.Second)
	for i := range 6 {
		w.book(0, fmt.Sprintf("cut-%d", i))
	}
	w.run(30 * time.Millisecond)
	w.step(0, Stop{})
	w.run(10 * time.Second)
	must.True(t, w.nodes[0].entry.stopped)
	for i := range 6 {
		resend := w.book(1+i%2, fmt.Sprintf("cut-%d", i))
		w.run(time.Second)
		must.Eq(t, result.Replayed, w.code(resend))
	}
}

func TestFailureDomainCutOffServesWhatItCan(t *testing.T) {
	w := newWorld(t, 2, 1, true)
	w.run(5 * time.Second)
	w.outage, w.cutPeers = true, true
	claimed := w.book(0, "cut-1")
	w.arrive(0, "none", Arrive{Method: "POST"}) // no identity, no claim
	lookUp := w.arrive(0, "look-up", Arrive{Method: "GET"})
	w.run(5 * time.Second)
	must.Eq(t, result.StoreUnavailable, w.code(claimed))
	must.Eq(t, 1, w.runs["none"])
	must.Eq(t, result.Complete, w.code(lookUp))
	must.Positive(t, w.nodes[0].entry.ClaimFacts().Failing)
}

func TestHeadsAreSealedAndSegmentsRead(t *testing.T) {
	w := newWorld(t, 2, 1, false)
	for i := range 200 {
		w.book(0, fmt.Sprintf("cut-%d", i))
		w.run(150 * time.Millisecond)
	}
	segments := w.store.Calls()["world"][store.OpCAS]
	must.Positive(t, segments)
	must.Positive(t, w.nodes[0].entry.ClaimFacts().Records)
	for i := range 200 {
		resend := w.book(1, fmt.Sprintf("cut-%d", i))
		w.run(300 * time.Millisecond)
		must.Eq(t, result.Replayed, w.code(resend), must.Sprintf("cut-%d", i))
	}
}

func TestExpiredRecordsLeaveTheStore(t *testing.T) {
	w := newWorld(t, 1, 1, false)
	for i := range 40 {
		w.book(0, fmt.Sprintf("cut-%d", i))
		w.run(150 * time.Millisecond)
	}
	w.run(2 * time.Hour)
	for i := range 4 {
		w.book(0, fmt.Sprintf("new-%d", i))
		w.run(time.Second)
	}
	must.LessEq(t, 4, w.nodes[0].entry.ClaimFacts().Records)
}

func TestBookingWithoutIdentityRunsWithoutTheStore(t *testing.T) {
	e := newTestEntry()
	effs := e.Step(0, Arrive{Request: 1, Workspace: "museum", Route: "bookings", Method: "POST"})
	must.Len(t, 1, effectsOf[Send](effs))
	must.Len(t, 0, effectsOf[StoreCall](effs))
	id := effectsOf[Send](effs)[0].Attempt
	effs = e.Step(time.Second, AttemptEnd{Attempt: id, End: EndBroke})
	must.Len(t, 0, effectsOf[Send](effs))
	must.Eq(t, result.BrokenAfterSend, effectsOf[Finish](effs)[0].Code)
}

func TestStoreRestoredFromOlderDataGetsItsClaimsBack(t *testing.T) {
	w := newWorld(t, 2, 1, false)
	w.book(0, "old-0")
	w.run(time.Second)
	w.store.Snapshot()
	for i := range 30 {
		w.book(0, fmt.Sprintf("cut-%d", i)) // some are sealed into segments
		w.run(200 * time.Millisecond)
	}
	must.True(t, w.store.Restore())
	for i := range 8 {
		w.book(0, fmt.Sprintf("new-%d", i)) // every shard is written again
		w.run(500 * time.Millisecond)
	}
	w.run(5 * time.Second)
	for i := range 30 {
		resend := w.book(1, fmt.Sprintf("cut-%d", i))
		w.run(2 * time.Second)
		must.Eq(t, result.Replayed, w.code(resend), must.Sprintf("cut-%d", i))
	}
}

func TestFullShardRefusesNewBookingsAndAnswersResends(t *testing.T) {
	w := newWorld(t, 1, 1, false)
	w.nodes[0].entry.opts.Claims = booking.Options{Shards: 2, ShardBytes: 2 << 10}
	w.nodes[0].entry.initClaims()
	var last arrivalID
	for i := range 40 {
		last = w.book(0, fmt.Sprintf("cut-%d", i))
		w.run(500 * time.Millisecond)
	}
	must.Eq(t, result.ClaimRecordFull, w.code(last))
	resend := w.book(0, "cut-0")
	w.run(time.Second)
	must.Eq(t, result.Replayed, w.code(resend))
}

func TestFingerprintHoldsForItsWindowOnly(t *testing.T) {
	w := newWorld(t, 1, 1, false)
	in := testIntent()
	in.Routes[0].Identity = configuration.Identity{FingerprintWindowS: 60}
	w.step(0, Adopt{Accepted: configuration.Accepted{Revision: 2, Intent: in}})
	ev := Arrive{Method: "POST", Identity: "fingerprint:caller:1", Fingerprint: 1}
	first := w.arrive(0, "a", ev)
	w.run(30 * time.Second)
	within := w.arrive(0, "b", ev)
	w.run(2 * time.Minute)
	after := w.arrive(0, "c", ev)
	w.run(5 * time.Second)
	must.Eq(t, result.Complete, w.code(first))
	must.Eq(t, result.Replayed, w.code(within))
	must.Eq(t, result.Complete, w.code(after))
}

func TestOutageIsToldByTheOwnerAtOnce(t *testing.T) {
	w := newWorld(t, 3, 1, true)
	w.run(5 * time.Second)
	w.outage = true
	for i := range 3 {
		w.book(i, fmt.Sprintf("first-%d", i)) // their writes are in doubt
		w.book(i, fmt.Sprintf("second-%d", i))
	}
	w.run(5 * time.Second)
	var ids []arrivalID
	for i := range 30 {
		ids = append(ids, w.book(i%3, fmt.Sprintf("cut-%d", i)))
	}
	w.run(time.Second)
	for _, id := range ids {
		must.Eq(t, result.StoreUnavailable, w.code(id))
	}
}
