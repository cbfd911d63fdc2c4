package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Memory that a former process has reserved is not known until a target denies more: the
// prompt was placed at the same targets again and again until that had expired.
func TestPromptKeepsAwayFromTargetsThatDeniedMemory(t *testing.T) {
	h := newHarness(t, 24)
	id := h.submit(routeLong, 400_000)
	denied := make(map[string]bool)
	for _, r := range h.reserves {
		denied[r.Target.ID] = true
	}
	must.Positive(t, len(denied))
	for _, r := range h.reserves {
		h.step(Reserved{Request: id, Target: r.Target.ID, Ticket: r.Ticket, Cause: "409"})
	}
	h.reserves = nil
	h.advance(reserveRetryDelay + 10*time.Millisecond)
	must.Positive(t, len(h.reserves))
	for _, r := range h.reserves {
		must.False(t, denied[r.Target.ID], must.Sprint(r.Target.ID))
	}
}

// A denial is forgotten when a load ends at the target, or after a while.
func TestDeniedMemoryIsAskedForAgain(t *testing.T) {
	h := newHarness(t, 8)
	id := h.submit(routeLong, 400_000)
	for _, r := range h.reserves {
		h.step(Reserved{Request: id, Target: r.Target.ID, Ticket: r.Ticket, Cause: "409"})
	}
	h.reserves = nil
	h.advance(memoryDenialTime + 400*time.Millisecond)
	must.Positive(t, len(h.reserves))
	target := h.core.targets[h.reserves[0].Target.ID]
	target.denial = memoryDenial{1000, h.now + time.Second}
	must.True(t, target.denial.covers(h.now, 1000))
	must.False(t, target.denial.covers(h.now, 999))
	h.step(PeerGossip{From: "front-2", Gossip: Gossip{Loads: []TargetLoad{load(1, target.ID)}}})
	h.step(PeerGossip{From: "front-2", Gossip: Gossip{EndedLoads: []uint64{1}}})
	must.False(t, target.denial.covers(h.now, 1000))
}
