package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Parts of the prompts in a crash world. Each sound prompt begins with a part that
// many share, and goes on with one of its subject.
const (
	firstParts   = 3
	firstSubject = 100
	subjects     = 60
	crashingPart = 0xbad
)

// soundParts draws the shared parts of a sound prompt. Some are far more common than
// others.
func (w *crashWorld) soundParts() []uint64 {
	first := uint64(1 + min(w.rng.IntN(2*firstParts), w.rng.IntN(firstParts)))
	subject := uint64(firstSubject + min(w.rng.IntN(subjects), w.rng.IntN(subjects)))
	return []uint64{first, subject}
}

// sendSoundRequests sends requests without a crashing part, a second over all
// instances, until end.
func (w *crashWorld) sendSoundRequests(perSecond int, end time.Duration) {
	w.repeat(time.Second/time.Duration(perSecond), end, func() {
		route, prompt := routeShort, 2000+w.rng.IntN(4000)
		if w.rng.IntN(30) == 0 {
			route, prompt = routeLong, 60_000+w.rng.IntN(60_000)
		}
		w.anyInstance().submit(route, prompt, w.soundParts()...)
	})
}

// sendCrashingRequests sends requests with a crashing part until end. No two are
// alike: the part stands anywhere among parts of sound prompts.
func (w *crashWorld) sendCrashingRequests(part uint64, perSecond int, begin, end time.Duration) {
	w.after(begin-w.now, func() {
		w.crashing[part] = true
		w.repeat(time.Second/time.Duration(perSecond), end, func() {
			parts := w.soundParts()
			if at := w.rng.IntN(4); at < len(parts) && w.rng.IntN(2) == 0 {
				parts[at] = part
			} else {
				parts = slices.Insert(parts, min(at, len(parts)), part)
			}
			route, prompt := routeShort, 2000+w.rng.IntN(4000)
			if w.rng.IntN(6) == 0 {
				route, prompt = routeLong, 60_000+w.rng.IntN(60_000)
			}
			w.anyInstance().submit(route, prompt, parts...)
		})
	})
}

func (w *crashWorld) anyInstance() *worldInstance { return w.instances[w.rng.IntN(len(w.instances))] }

// repeat calls fn at random times until end, on average once in each interval.
func (w *crashWorld) repeat(interval, end time.Duration, fn func()) {
	w.after(time.Duration(w.rng.Int64N(2*int64(interval))), func() {
		if w.now < end {
			fn()
			w.repeat(interval, end, fn)
		}
	})
}

// checkBudget checks that at most three requests with a crashing part reach targets
// once the fleet had time to learn of the fifth crash.
func (w *crashWorld) checkBudget(seed uint64) {
	w.t.Helper()
	for part, crashes := range w.crashes {
		must.LessEq(w.t, 3, w.reachedLate(part), must.Sprintf("seed %d: part %x reached targets after its fifth of %d crashes", seed, part, len(crashes)))
	}
}

// checkSound checks that sound requests begin at their first attempt at least half as
// often as before the crashes.
func (w *crashWorld) checkSound(seed uint64, before, from, to time.Duration) {
	w.t.Helper()
	for first := uint64(1); first <= firstParts; first++ {
		shares := func(r *worldRequest) bool { return slices.Contains(r.parts, first) }
		usual := w.beganShare(0, before, shares)
		must.GreaterEq(w.t, usual/2, w.beganShare(from, to, shares), must.Sprintf("seed %d: first part %d", seed, first))
	}
}

// Requests that share only one part of their prompts crash each target that begins to
// answer them. They are refused within stableWindow of the fifth crash, and sound
// requests that share their other parts are not.
func TestCrashingPartIsRefusedAndSoundRequestsAreServed(t *testing.T) {
	for seed := range uint64(12) {
		w := newCrashWorld(t, seed, 4, 16)
		w.sendSoundRequests(36, 40*time.Second)
		w.sendCrashingRequests(crashingPart, 5, 8*time.Second, 40*time.Second)
		w.runUntil(45 * time.Second)
		w.checkBudget(seed)
		w.checkSound(seed, 8*time.Second, 16*time.Second, 40*time.Second)
	}
}
