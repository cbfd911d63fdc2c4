package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An instance that was held up reads the events that arrived meanwhile in any order, after
// timers that became due. Its own pause is no silence of the targets.
func TestOwnPauseIsNoSilenceOfTheTargets(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 1700 * time.Millisecond, 5 * time.Second} {
		h := newHarness(t, 4)
		var ids []RequestID
		for range 20 {
			ids = append(ids, h.submit(routeShort, 4000))
		}
		h.advance(100 * time.Millisecond)
		for _, id := range ids {
			h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
		}
		h.now += pause
		for _, id := range ids {
			h.step(Tick{})
			h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "2"})
			h.now += 4 * time.Millisecond
		}
		must.SliceEmpty(t, h.cancels, must.Sprintf("pause of %v", pause))
		h.advance(100 * time.Millisecond)
		must.SliceEmpty(t, h.cancels, must.Sprintf("pause of %v", pause))
	}
}

// The event that is handed over has arrived before the timer that becomes due with it.
func TestEventCountsBeforeATimerThatIsDue(t *testing.T) {
	h := newHarness(t, 4)
	id := h.submit(routeShort, 4000)
	send := h.lastSend(id)
	h.now += 9 * time.Second
	h.step(Progress{Attempt: send.Attempt, EventID: "1"})
	must.SliceEmpty(t, h.cancels)
	h.now += 3 * time.Second // beyond the deadline
	h.step(AttemptEnd{Attempt: send.Attempt, Outcome: OutcomeComplete})
	must.True(t, h.finishes[id].ForwardAnswer)
}

// An instance that is short of processor time all the while still leaves dead targets.
func TestInstanceThatIsAlwaysLateLeavesDeadTargets(t *testing.T) {
	h := newHarness(t, 4)
	id := h.submit(routeShort, 4000)
	h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
	for h.now < 1900*time.Millisecond {
		h.now += 130 * time.Millisecond
		h.step(Tick{})
	}
	must.Eq(t, 2, h.sendCount(id))
}

// Instances freeze for longer than their callers' patience beside sound targets.
func TestFrozenInstancesGiveNoAttemptUp(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := newFleetWorld(t, 1900+seed, 6, 8)
		w.repeat(25*time.Millisecond, 10*time.Second, func() { w.anyInstance().submit(routeShort, 3000) })
		for i := range 12 {
			w.after(time.Second+time.Duration(i)*700*time.Millisecond, func() {
				in, length := w.anyInstance(), 300*time.Millisecond+time.Duration(w.rng.Int64N(int64(2*time.Second)))
				in.frozenUntil = max(in.frozenUntil, w.now+length)
			})
		}
		w.runUntil(15 * time.Second)
		for _, r := range w.requests {
			must.Eq(t, 1, r.sends, must.Sprintf("seed %d: request sent at %v", seed, r.sentAt))
		}
	}
}

// Without attempts, nothing wakes the instance.
func TestIdleInstanceHasNoPulse(t *testing.T) {
	h := newHarness(t, 1)
	id := h.submit(routeShort, 1000)
	must.True(t, h.core.hasPulse)
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeComplete})
	h.advance(2 * pulseInterval)
	must.False(t, h.core.hasPulse)
}
