package fleet

import (
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
