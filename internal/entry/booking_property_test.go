package entry

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/medlardeck/medlardeck/internal/result"
)

// bookingMachine applies random actions to a bookingSim, which itself checks that
// no identity runs twice and that nothing is refused as not run after it ran.
type bookingMachine struct {
	sim       *bookingSim
	withPeers bool
}

func (m *bookingMachine) drawNode(t *rapid.T) int {
	return rapid.IntRange(0, len(m.sim.nodes)-1).Draw(t, "node")
}

func (m *bookingMachine) actions() map[string]func(*rapid.T) {
	sim := m.sim
	return map[string]func(*rapid.T){
		"book": func(t *rapid.T) {
			sim.submitBooking(m.drawNode(t), fmt.Sprintf("cut-%d", rapid.IntRange(0, 5).Draw(t, "identity")))
		},
		"run-briefly": func(t *rapid.T) { sim.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond) },
		"run-long":    func(t *rapid.T) { sim.advance(time.Duration(rapid.IntRange(1, 15).Draw(t, "s")) * time.Second) },
		"outage":      func(t *rapid.T) { sim.storeOutage = rapid.Bool().Draw(t, "on") },
		"lose-answers": func(t *rapid.T) {
			sim.lostReplyShare = rapid.Float64Range(0, 1).Draw(t, "share")
			sim.delayedWriteShare = rapid.Float64Range(0, 1).Draw(t, "late")
		},
		"cut-peers": func(t *rapid.T) { sim.peersPartitioned = rapid.Bool().Draw(t, "on") },
		"break-calls": func(t *rapid.T) {
			sim.brokenCallShare = rapid.Float64Range(0, 1).Draw(t, "share")
			sim.serviceTime = time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond
		},
		"pause":   func(t *rapid.T) { sim.pauseEntry(m.drawNode(t)) },
		"resume":  func(t *rapid.T) { sim.resumeEntry(m.drawNode(t)) },
		"crash":   func(t *rapid.T) { sim.startEntry(m.drawNode(t), m.withPeers) },
		"replace": func(t *rapid.T) { m.replaceNode(m.drawNode(t)) },
		"replace-in-haste": func(t *rapid.T) {
			m.replaceInHaste(m.drawNode(t), time.Duration(rapid.IntRange(1, 8000).Draw(t, "timeout"))*time.Millisecond)
		},
	}
}

// replaceNode stops an instance as planned and starts its replacement. Without
// faults of the store or the peers the stop must be over within 11 s.
func (m *bookingMachine) replaceNode(node int) {
	m.sim.resumeEntry(node)
	m.sim.stepEntry(node, Stop{})
	m.sim.advance(11 * time.Second)
	if !m.sim.storeOutage && m.sim.lostReplyShare == 0 && !m.sim.peersPartitioned {
		must.True(m.sim.t, m.sim.nodes[node].entry.stopped)
	}
	m.sim.startEntry(node, m.withPeers)
}

// replaceInHaste stops an instance with a timeout, whatever faults there are, and starts
// its replacement. Every arrival must have ended by then.
func (m *bookingMachine) replaceInHaste(node int, timeout time.Duration) {
	m.sim.resumeEntry(node)
	m.sim.stepEntry(node, Stop{Timeout: timeout})
	m.sim.advance(timeout)
	for id := range m.sim.identities {
		if id.node == node && id.incarnation == m.sim.nodes[node].incarnation {
			must.NotEq(m.sim.t, result.Code(0), m.sim.resultOf(id), must.Sprintf("%v", id))
		}
	}
	m.sim.startEntry(node, m.withPeers)
}

// healAndCheck ends all faults. It checks that every arrival at a running
// incarnation has ended, that new bookings run and that resends get an answer.
func (m *bookingMachine) healAndCheck(t *rapid.T) {
	sim := m.sim
	sim.storeOutage, sim.peersPartitioned, sim.lostReplyShare, sim.brokenCallShare, sim.serviceTime = false, false, 0, 0, 50*time.Millisecond
	for i := range sim.nodes {
		sim.resumeEntry(i)
	}
	sim.advance(time.Minute)
	for id := range sim.identities {
		if id.incarnation == sim.nodes[id.node].incarnation {
			must.NotEq(t, result.Code(0), sim.resultOf(id))
		}
	}
	for i := range sim.nodes {
		fresh := sim.submitBooking(i, fmt.Sprintf("fresh-%d", i))
		sim.awaitResult(fresh, 5*time.Second)
		must.Eq(t, result.Complete, sim.resultOf(fresh))
		for n := range 6 {
			identity := fmt.Sprintf("cut-%d", n)
			resend := sim.submitBooking(i, identity)
			sim.awaitResult(resend, 12*time.Second)
			switch sim.resultOf(resend) {
			case result.Complete, result.NotRepeated:
			case result.Replayed:
				must.Eq(t, 1, sim.runCounts[identity])
				must.Eq(t, identity, string(sim.finishes[resend].Answer.Body))
			default:
				t.Fatalf("resend of %s ended as %s", identity, sim.resultOf(resend))
			}
		}
	}
}

func TestBookingsRunAtMostOnceUnderRandomFaults(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		must.NoError(t, seed.Value.Set("1")) // a fixed seed, so that every run checks the same cases
	}
	for _, withPeers := range []bool{false, true} {
		t.Run(fmt.Sprintf("peers=%t", withPeers), rapid.MakeCheck(func(t *rapid.T) {
			m := &bookingMachine{sim: newBookingSim(t, 3, rapid.Uint64().Draw(t, "seed"), withPeers), withPeers: withPeers}
			m.sim.advance(3 * time.Second)
			t.Repeat(m.actions())
			m.healAndCheck(t)
		}))
	}
}
