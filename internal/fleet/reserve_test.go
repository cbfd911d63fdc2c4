package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Replies to renewals counted for helpers that had not answered: the prompt was sent with
// memory that nobody had granted.
func TestRepliesToRenewalsGrantNoOtherMemory(t *testing.T) {
	h := newHarness(t, 8)
	id := h.submit(routeLong, 400_000)
	helpers := h.reserves
	for _, r := range helpers[1:] {
		h.step(Reserved{Request: id, Target: r.Target.ID, Ticket: r.Ticket, Granted: true})
	}
	h.advance(1300 * time.Millisecond)
	h.step(Reserved{Request: id, Target: helpers[1].Target.ID, Ticket: helpers[1].Ticket, Granted: true})
	must.Eq(t, 0, h.sendCount(id))
}

// The same with late replies to a reservation that has been released since.
func TestRepliesToAReleasedReservationGrantNothing(t *testing.T) {
	h := newHarness(t, 24)
	id := h.submit(routeLong, 400_000)
	released := h.reserves
	for _, r := range released {
		h.step(Reserved{Request: id, Target: r.Target.ID, Ticket: r.Ticket, Granted: true})
	}
	must.Eq(t, 1, h.sendCount(id))
	h.advance(1250 * time.Millisecond) // the renewals are under way
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeNotRun, Status: 503})
	for _, r := range released {
		h.step(Reserved{Request: id, Target: r.Target.ID, Ticket: r.Ticket, Granted: true})
	}
	must.Eq(t, 1, h.sendCount(id))
}
