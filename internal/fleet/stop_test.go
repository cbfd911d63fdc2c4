package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

// fillMemory sends requests until one waits for room, and returns that one. The last
// request that was sent runs on.
func (h *harness) fillMemory(prompt int) RequestID {
	h.t.Helper()
	for range 20 {
		if id := h.submit(routeLong, prompt); h.sendCount(id) == 0 {
			_, ended := h.finishes[id]
			must.False(h.t, ended)
			return id
		}
	}
	h.t.Fatal("the targets have room for all requests")
	return 0
}

// A request that waits for room in a stopping instance would be cut without an answer at
// the end of the stop.
func TestStopRefusesRequestsThatWait(t *testing.T) {
	h := newHarness(t, 1)
	waiting := h.fillMemory(130_000)
	h.step(Stop{BalancerDelay: 2500 * time.Millisecond, GracePeriod: 7500 * time.Millisecond})
	arrivedDuring := h.submit(routeLong, 130_000)
	h.advance(7 * time.Second)
	for _, id := range []RequestID{waiting, arrivedDuring} {
		must.Eq(t, 0, h.sendCount(id))
		must.Eq(t, result.Stopping, h.finishes[id].Code)
		must.Greater(t, 0, h.finishes[id].RetryAfter)
	}
}

// endStop begins a stop and ends it at once, when all attempts have a connection.
func (h *harness) endStop() {
	for _, send := range h.sends {
		h.step(AttemptStarted{Attempt: send.Attempt})
	}
	h.step(Stop{BalancerDelay: time.Second, GracePeriod: 7 * time.Second})
	h.step(EndStop{})
}

// The end of the stop closes all connections. Each request has its answer by then, and the
// answer says whether it may have run.
func TestEndOfTheStopAnswersEveryRequest(t *testing.T) {
	h := newHarness(t, 1)
	streaming := h.submit(routeShort, 500)
	h.step(Progress{Attempt: h.lastSend(streaming).Attempt, EventID: "1"})
	waiting := h.fillMemory(130_000)
	running, once := h.submit(routeIdempotent, 0), h.submit(routeNonIdempotent, 0)
	h.endStop()
	must.Eq(t, result.Stopping, h.finishes[waiting].Code)
	must.Eq(t, result.StopRunning, h.finishes[streaming].Code)
	for _, id := range []RequestID{running, once, streaming} {
		if id != streaming {
			must.Eq(t, result.StopAfterSend, h.finishes[id].Code)
		}
		must.SliceContains(t, h.cancels, h.lastSend(id).Attempt)
	}
	must.True(t, h.core.IdleFor(0))
	late := h.submit(routeIdempotent, 0)
	must.Eq(t, result.Stopping, h.finishes[late].Code)
	must.Eq(t, 0, h.sendCount(late))
}

// Nothing of an attempt has been sent while it waits for its connection: at the end of a stop
// such a request was answered as one that may have run, so that its caller could not repeat it.
func TestAttemptWithoutConnectionAtTheEndOfAStopIsRefused(t *testing.T) {
	h := newHarness(t, 1)
	once, stream := h.submit(routeNonIdempotent, 0), h.submit(routeShort, 500)
	retried := h.submit(routeIdempotent, 0)
	h.step(AttemptStarted{Attempt: h.lastSend(retried).Attempt})
	h.step(AttemptEnd{Attempt: h.lastSend(retried).Attempt, Outcome: OutcomeBroken})
	must.Eq(t, 2, h.sendCount(retried))
	h.step(EndStop{})
	for _, id := range []RequestID{once, stream} {
		must.Eq(t, result.Stopping, h.finishes[id].Code)
		must.SliceContains(t, h.cancels, h.lastSend(id).Attempt)
	}
	must.Eq(t, result.StopAfterSend, h.finishes[retried].Code)
}

// A failure answer that a target gave before the last retry is the caller's answer.
func TestEndOfTheStopForwardsTheAnswerOfAFailedAttempt(t *testing.T) {
	h := newHarness(t, 1)
	id := h.submit(routeLong, 130_000)
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeFailed, Status: 500})
	must.Eq(t, 2, h.sendCount(id))
	h.endStop()
	must.Eq(t, result.StopAfterSend, h.finishes[id].Code)

	h = newHarness(t, 2)
	h.fillMemory(130_000)
	id = h.submit(routeIdempotent, 0)
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeFailed, Status: 500})
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeFailed, Status: 500})
	must.Eq(t, result.TargetError, h.finishes[id].Code)
}

// Memory that is being reserved is released when the stop ends before its request is sent.
func TestEndOfTheStopReleasesReservations(t *testing.T) {
	h := newHarness(t, 4)
	id := h.submit(routeLong, 400_000)
	must.Eq(t, 0, h.sendCount(id))
	must.Greater(t, 0, len(h.reserves))
	h.endStop()
	must.Eq(t, result.Stopping, h.finishes[id].Code)
	must.Len(t, len(h.reserves), h.releases)
	h.step(Reserved{Request: id, Target: h.reserves[0].Target.ID, Ticket: h.reserves[0].Ticket, Granted: true})
	must.Eq(t, 0, h.sendCount(id))
}

// A request that can't end before the process does is refused when that is known, while
// its caller has time to be served elsewhere, and no later.
func TestStoppingInstanceRefusesWhatDoesNotFitTheRestOfItsTime(t *testing.T) {
	h := newHarness(t, 8)
	h.step(Stop{BalancerDelay: 800 * time.Millisecond, GracePeriod: time.Second})
	short, long := h.submit(routeShort, 500), h.submit(routeLong, 130_000)
	must.Eq(t, 1, h.sendCount(short))
	must.Eq(t, 0, h.sendCount(long))
	must.Eq(t, result.Stopping, h.finishes[long].Code)
}

// A stream that has begun goes on at another target as long as the process lives.
func TestStoppingInstanceResumesStreams(t *testing.T) {
	h := newHarness(t, 8)
	id := h.submit(routeLong, 130_000)
	first := h.lastSend(id)
	h.step(Progress{Attempt: first.Attempt, EventID: "3"})
	h.step(Stop{BalancerDelay: time.Second, GracePeriod: 2 * time.Second})
	h.step(AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeBroken})
	must.Eq(t, 2, h.sendCount(id))
	must.Eq(t, "3", h.lastSend(id).ResumeAfter)
}

// A silent target may still answer: its attempt is given up for another one only.
func TestSilentAttemptIsNotGivenUpForARefusal(t *testing.T) {
	h := newHarness(t, 1)
	id := h.submit(routeIdempotent, 0)
	h.step(Stop{BalancerDelay: 500 * time.Millisecond, GracePeriod: 1300 * time.Millisecond})
	h.advance(1250 * time.Millisecond)
	_, ended := h.finishes[id]
	must.False(t, ended)
}

// A request that may have run can't be refused any more: another attempt is the better end.
func TestStoppingInstanceRetriesWhatItCannotRefuse(t *testing.T) {
	h := newHarness(t, 1)
	id := h.submit(routeIdempotent, 0)
	h.advance(800 * time.Millisecond)
	h.step(Stop{BalancerDelay: 100 * time.Millisecond, GracePeriod: 500 * time.Millisecond})
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeBroken})
	must.Eq(t, 2, h.sendCount(id))
}

// A reservation may be granted too late for its request, and a peer may be asked too late.
func TestStoppingInstanceSendsNothingThatCannotEnd(t *testing.T) {
	h := newHarness(t, 4)
	reserved := h.submit(routeLong, 400_000)
	h.step(Stop{BalancerDelay: 100 * time.Millisecond, GracePeriod: 2 * time.Second})
	h.advance(1900 * time.Millisecond)
	for _, r := range slices.Clone(h.reserves) {
		h.step(Reserved{Request: reserved, Target: r.Target.ID, Ticket: r.Ticket, Granted: true})
	}
	must.Eq(t, 0, h.sendCount(reserved))
	must.Eq(t, result.Stopping, h.finishes[reserved].Code)

	h = newHarness(t, 4)
	h.step(PeerGossip{From: "front-2", Domain: "a", RelayAddress: "10.1.0.2:7342"})
	h.core.losePath(h.core.pathTo("app"))
	h.step(Stop{BalancerDelay: 100 * time.Millisecond, GracePeriod: 110 * time.Millisecond})
	relayed := h.submit(routeIdempotent, 0)
	must.Eq(t, 0, h.sendCount(relayed))
	must.Eq(t, result.Stopping, h.finishes[relayed].Code)
}
