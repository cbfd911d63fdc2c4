package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Targets take a known name of a reservation for its renewal: two prompts used one ticket at
// the same time after a restart within the hold time.
func TestProcessesShareNoTicket(t *testing.T) {
	holders := make(map[string]string)
	for _, name := range []string{"front", "front-1", "front-1-1f", "1"} {
		for _, incarnation := range []uint64{1, 2, 51, 1<<63 + 51, 1<<64 - 1} {
			h := newHarnessOf(t, name, incarnation, 8)
			for range 30 { // up to tickets with two characters
				h.submit(routeLong, 400_000)
				h.advance(20 * time.Millisecond)
			}
			must.Greater(t, 36, len(h.reserves))
			for _, r := range h.reserves {
				process := fmt.Sprintf("%s of %d", name, incarnation)
				holder, known := holders[r.Ticket]
				must.True(t, !known || holder == process, must.Sprintf("%s is a ticket of %s and of %s", r.Ticket, holder, process))
				holders[r.Ticket] = process
			}
		}
	}
}
