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

// loadsAt returns the number of loads at a target.
func (h *harness) loadsAt(id string) int { return len(h.core.targets[id].loads) }

// message is a message of the process with an incarnation of front-2.
func (h *harness) message(incarnation uint64, g Gossip) {
	h.step(PeerGossip{From: "front-2", Domain: "a", Incarnation: incarnation, Gossip: g})
}

// load is a load of front-2 at a target of the harness.
func load(key uint64, target string) TargetLoad {
	return TargetLoad{Target: target, Key: key, Request: key, PrefillMS: 100, ContextTokens: 1000}
}

// A load of a restarted peer was taken for that of the former process with its key: it
// counted at the wrong target.
func TestLoadsOfARestartedPeerAreItsOwn(t *testing.T) {
	h := newHarness(t, 4)
	h.message(1, Gossip{Loads: []TargetLoad{load(1, "pool-00")}})
	h.message(2, Gossip{Loads: []TargetLoad{load(1, "pool-01")}}) // the first message was lost
	must.Eq(t, 1, h.loadsAt("pool-01"))
	h.message(1, Gossip{EndedLoads: []uint64{1}}) // late
	must.Eq(t, 0, h.loadsAt("pool-00"))
	must.Eq(t, 1, h.loadsAt("pool-01"))
	h.message(2, Gossip{EndedLoads: []uint64{1}})
	must.Eq(t, 0, h.loadsAt("pool-01"))
}

// What a process has left behind ends when its successor states all of its loads, and a late
// message of the former process ends nothing of the successor's.
func TestRestartedPeerReplacesLoads(t *testing.T) {
	h := newHarness(t, 4)
	h.message(1, Gossip{Joining: true, Full: true})
	h.message(1, Gossip{Loads: []TargetLoad{load(1, "pool-00"), load(2, "pool-00")}})
	h.message(2, Gossip{Full: true, Loads: []TargetLoad{load(1, "pool-01")}})
	must.Eq(t, 0, h.loadsAt("pool-00"))
	must.Eq(t, 1, h.loadsAt("pool-01"))
	h.message(1, Gossip{Full: true, Loads: []TargetLoad{load(2, "pool-00")}})
	must.Eq(t, 1, h.loadsAt("pool-01"))
	must.Eq(t, 1, h.loadsAt("pool-00"))
	for range 5 {
		h.advance(time.Second)
		h.message(2, Gossip{Full: true, Loads: []TargetLoad{load(1, "pool-01")}})
	}
	must.Eq(t, 0, h.loadsAt("pool-00")) // as of a silent peer
	must.Eq(t, 1, h.loadsAt("pool-01"))
	must.Eq(t, 1, h.core.peerCount())
}

// Builds that do not name their process are told apart by the message with which they join.
func TestRestartedPeerOfAnOlderBuildReplacesLoads(t *testing.T) {
	h := newHarness(t, 4)
	h.message(5, Gossip{Full: true, Loads: []TargetLoad{load(1, "pool-00")}})
	for range 2 {
		h.message(0, Gossip{Joining: true, Full: true}) // a rollback, and a restart after it
		must.Eq(t, 0, h.loadsAt("pool-00"))
		h.message(0, Gossip{Loads: []TargetLoad{load(1, "pool-00")}})
		must.Eq(t, 1, h.loadsAt("pool-00"))
	}
}

// A peer that comes back again and again, or somebody in its name, costs bounded memory.
func TestProcessesOfAPeerAreBounded(t *testing.T) {
	h := newHarness(t, 4)
	for incarnation := range uint64(100) {
		h.message(incarnation+1, Gossip{Loads: []TargetLoad{load(1, "pool-00")}})
		h.advance(time.Millisecond)
	}
	must.Eq(t, maxPeerProcesses, len(h.core.peers["front-2"].processes))
	must.Eq(t, maxPeerProcesses, h.loadsAt("pool-00"))
}
