package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/quarantine"
)

// Parts of the prompts in a fleet world. Each sound prompt begins with a part that
// many share, and goes on with one of its subject.
const (
	firstParts   = 3
	firstSubject = 100
	subjects     = 60
	crashingPart = 0xbad
)

// soundParts draws the shared parts of a sound prompt. Some are far more common than
// others.
func (w *fleetWorld) soundParts() []uint64 {
	first := uint64(1 + min(w.rng.IntN(2*firstParts), w.rng.IntN(firstParts)))
	subject := uint64(firstSubject + min(w.rng.IntN(subjects), w.rng.IntN(subjects)))
	return []uint64{first, subject}
}

// sendSoundRequests sends requests without a crashing part, a second over all
// instances, until end.
func (w *fleetWorld) sendSoundRequests(perSecond int, end time.Duration) {
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
func (w *fleetWorld) sendCrashingRequests(part uint64, perSecond int, begin, end time.Duration) {
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

func (w *fleetWorld) anyInstance() *worldInstance { return w.instances[w.rng.IntN(len(w.instances))] }

// repeat calls fn at random times until end, on average once in each interval.
func (w *fleetWorld) repeat(interval, end time.Duration, fn func()) {
	w.after(time.Duration(w.rng.Int64N(2*int64(interval))), func() {
		if w.now < end {
			fn()
			w.repeat(interval, end, fn)
		}
	})
}

// checkBudget checks that at most three requests with a crashing part reach targets
// once the fleet had time to learn of the fifth crash.
func (w *fleetWorld) checkBudget(seed uint64) {
	w.t.Helper()
	for part, crashes := range w.crashes {
		must.LessEq(w.t, 3, w.reachedLate(part), must.Sprintf("seed %d: part %x reached targets after its fifth of %d crashes", seed, part, len(crashes)))
	}
}

// checkSound checks that sound requests begin at their first attempt at least half as
// often as before the crashes.
func (w *fleetWorld) checkSound(seed uint64, before, from, to time.Duration) {
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
	t.Parallel()
	for seed := range uint64(12) {
		w := newFleetWorld(t, seed, 4, 16)
		w.sendSoundRequests(36, 40*time.Second)
		w.sendCrashingRequests(crashingPart, 5, 8*time.Second, 40*time.Second)
		w.runUntil(45 * time.Second)
		w.checkBudget(seed)
		w.checkSound(seed, 8*time.Second, 16*time.Second, 40*time.Second)
	}
}

// checkNoSoundRefusals checks that hardly any sound requests were refused as crashing.
func (w *fleetWorld) checkNoSoundRefusals(seed uint64) {
	w.t.Helper()
	must.LessEq(w.t, len(w.requests)/100, w.refusals, must.Sprintf("seed %d: sound requests refused", seed))
}

// endTargets ends random targets at random times, each with whatever runs there.
func (w *fleetWorld) endTargets(interval, end time.Duration) {
	w.repeat(interval, end, func() {
		if target := w.targets[w.rng.IntN(len(w.targets))]; !target.down {
			w.endTarget(target)
		}
	})
}

// Messages between instances are lost: what one has learnt still reaches the others.
func TestCrashingPartIsRefusedThoughMessagesAreLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := newFleetWorld(t, 100+seed, 6, 18)
		w.lossRate = 0.3
		w.sendSoundRequests(36, 30*time.Second)
		w.sendCrashingRequests(crashingPart, 5, 5*time.Second, 30*time.Second)
		w.runUntil(35 * time.Second)
		w.checkBudget(seed)
		w.checkSound(seed, 5*time.Second, 13*time.Second, 30*time.Second)
	}
}

// Two parts crash targets at once, some requests have both.
func TestTwoCrashingPartsAreRefused(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := newFleetWorld(t, 200+seed, 4, 20)
		w.sendSoundRequests(36, 30*time.Second)
		w.sendCrashingRequests(crashingPart, 3, 5*time.Second, 30*time.Second)
		w.sendCrashingRequests(crashingPart+1, 2, 5*time.Second, 30*time.Second)
		w.repeat(time.Second, 30*time.Second, func() {
			if w.crashing[crashingPart] {
				w.anyInstance().submit(routeShort, 3000, crashingPart, 7, crashingPart+1)
			}
		})
		w.runUntil(35 * time.Second)
		w.checkBudget(seed)
		w.checkSound(seed, 5*time.Second, 13*time.Second, 30*time.Second)
		w.checkNoSoundRefusals(seed)
	}
}

// Targets also end for other reasons, and connections are reset: neither hides the
// crashes of a part nor puts sound parts under suspicion.
func TestCrashesAreToldFromOtherEndsOfTargets(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := newFleetWorld(t, 300+seed, 4, 20)
		w.sendSoundRequests(36, 40*time.Second)
		w.endTargets(2*time.Second, 40*time.Second)
		w.repeat(500*time.Millisecond, 40*time.Second, func() { w.resetRuns(w.targets[w.rng.IntN(len(w.targets))]) })
		w.sendCrashingRequests(crashingPart, 2, 15*time.Second, 40*time.Second)
		w.runUntil(45 * time.Second)
		w.checkBudget(seed)
		w.checkSound(seed, 15*time.Second, 25*time.Second, 40*time.Second)
		w.checkNoSoundRefusals(seed)
	}
}

// Targets end and a failure domain is cut off, without any crashing request.
func TestEndsOfTargetsAloneBlockNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := newFleetWorld(t, 400+seed, 6, 18)
		w.sendSoundRequests(50, 40*time.Second)
		w.endTargets(700*time.Millisecond, 40*time.Second)
		w.repeat(8*time.Second, 35*time.Second, func() {
			w.cut = w.domain(w.rng.IntN(3))
			for _, target := range w.targets {
				if target.FailureDomain == w.cut {
					w.resetRuns(target)
				}
			}
			w.after(3*time.Second, func() { w.cut = "" })
		})
		w.runUntil(45 * time.Second)
		w.checkNoSoundRefusals(seed)
	}
}

// Instances that restart, or that join later, know what the others have learnt.
func TestRestartedInstancesKnowCrashingParts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := newFleetWorld(t, 500+seed, 6, 18)
		w.sendSoundRequests(36, 40*time.Second)
		w.sendCrashingRequests(crashingPart, 5, 5*time.Second, 40*time.Second)
		for i := range 12 {
			w.after(time.Duration(12+2*i)*time.Second, func() { w.startInstance(i % 6) })
		}
		w.after(20*time.Second, w.addInstance)
		w.runUntil(45 * time.Second)
		w.checkBudget(seed)
		w.checkSound(seed, 5*time.Second, 13*time.Second, 40*time.Second)
	}
}

// A failure domain is cut off while the others learn; when it is back it knows at once.
func TestDomainBackFromACutKnowsCrashingParts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := newFleetWorld(t, 600+seed, 6, 18)
		w.sendSoundRequests(36, 40*time.Second)
		w.after(4*time.Second, func() { w.cut = "b" })
		w.sendCrashingRequests(crashingPart, 5, 5*time.Second, 8*time.Second)
		w.after(15*time.Second, func() { w.cut = "" })
		w.sendCrashingRequests(crashingPart, 5, 15*time.Second+stableWindow, 40*time.Second)
		w.runUntil(15*time.Second + stableWindow)
		before := len(w.reached[crashingPart])
		w.runUntil(45 * time.Second)
		must.LessEq(t, 3, len(w.reached[crashingPart])-before, must.Sprintf("seed %d", seed))
		w.checkSound(seed, 4*time.Second, 18*time.Second, 40*time.Second)
	}
}

// A part crashes no more, since the model was replaced, and much later crashes again.
// One trial finds out that it is sound, and one crash does not make up for the runs
// since.
func TestPartThatCrashesNoMoreIsServedAgain(t *testing.T) {
	t.Parallel()
	w := newFleetWorld(t, 700, 4, 16)
	w.sendSoundRequests(10, 30*time.Minute)
	w.sendCrashingRequests(crashingPart, 2, 5*time.Second, 30*time.Minute)
	w.runUntil(time.Minute)
	w.checkBudget(700)
	w.crashing[crashingPart] = false
	blocked := len(w.reached[crashingPart])
	w.runUntil(9 * time.Minute)
	must.Eq(t, blocked, len(w.reached[crashingPart]))
	w.runUntil(13 * time.Minute)
	must.Greater(t, blocked+100, len(w.reached[crashingPart]))
	again := len(w.crashes[crashingPart])
	w.crashing[crashingPart] = true
	w.runUntil(14 * time.Minute)
	must.LessEq(t, again+12, len(w.crashes[crashingPart]))
	stopped := len(w.reached[crashingPart])
	w.runUntil(23 * time.Minute)
	must.Eq(t, stopped, len(w.reached[crashingPart]))
	w.runUntil(29 * time.Minute) // one trial in ten minutes
	must.LessEq(t, stopped+2, len(w.reached[crashingPart]))
}

// Many instances each send a first crashing request before any can know.
func TestManyInstancesLearnOfACrashingPartAtOnce(t *testing.T) {
	t.Parallel()
	w := newFleetWorld(t, 800, 48, 96)
	w.sendSoundRequests(200, 15*time.Second)
	w.after(4*time.Second, func() {
		w.crashing[crashingPart] = true
		for _, in := range w.instances {
			in.submit(routeShort, 3000, append(w.soundParts(), crashingPart)...)
		}
	})
	w.sendCrashingRequests(crashingPart, 20, 4*time.Second, 15*time.Second)
	w.runUntil(18 * time.Second)
	w.checkBudget(800)
	w.checkSound(800, 4*time.Second, 11*time.Second, 15*time.Second)
	w.checkNoSoundRefusals(800)
}

// A caller repeats the very same request: other requests with its parts go on.
func TestRepeatedRequestIsRefusedAndItsPartsAreNot(t *testing.T) {
	h := newHarness(t, 8)
	crash := func(target string, request uint64) {
		h.step(PeerGossip{From: "front-2", Gossip: Gossip{News: &News{Crashes: []quarantine.Crash{{
			Death: quarantine.Death{Target: target}, FailureDomain: target,
			Suspects: []quarantine.Fingerprint{quarantine.RequestFingerprint(request), quarantine.PartFingerprint(7)},
		}}}}})
	}
	for _, target := range []string{"gone-1", "gone-2", "gone-3"} {
		crash(target, 1)
	}
	submit := func(request RequestID, fingerprint uint64) int {
		h.step(RequestArrived{
			Request: request, Route: h.config.Routes[routeShort], Config: h.config, Deadline: h.now + time.Second, PromptTokens: 100,
			Fingerprint: fingerprint, SharedParts: []uint64{7},
		})
		return h.sendCount(request)
	}
	must.Eq(t, 0, submit(101, 1))
	must.Eq(t, quarantineRetryAfter, h.finishes[101].RetryAfter)
	must.Eq(t, 1, submit(102, 2))
	// The part crashes others too: it explains more than the request does.
	for _, target := range []string{"gone-4", "gone-5"} {
		crash(target, 2)
	}
	must.Eq(t, 0, submit(103, 3))
}

// Answers without a length end with their connection, also when their target ends: such
// an answer does not show that its request is sound.
func TestAnswerThatEndsWithItsTargetIsNoSurvival(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 6 {
		h.listTarget("pool", i, string(rune('a'+i)))
	}
	for i := range 3 {
		h.advance(2 * time.Second)
		h.lastRequestID++
		h.step(RequestArrived{
			Request: h.lastRequestID, Route: h.config.Routes[routeShort], Config: h.config, Deadline: h.now + time.Second,
			PromptTokens: 100, Fingerprint: uint64(h.lastRequestID), SharedParts: []uint64{crashingPart},
		})
		must.Eq(t, 1, h.sendCount(h.lastRequestID), must.Sprintf("request %d", i))
		send := h.lastSend(h.lastRequestID)
		h.step(AttemptEnd{Attempt: send.Attempt, Outcome: OutcomeComplete, EndedByClose: true})
		h.step(TargetChecked{send.Target, CheckRefused})
		h.step(TargetRemoved{send.Target.ID})
	}
	must.SliceNotEmpty(t, h.core.culprits.Verdicts(h.now))
}

// Each request has parts of its own: neither memory nor messages grow without bound.
func TestManyPartsAreForgotten(t *testing.T) {
	t.Parallel()
	w := newFleetWorld(t, 900, 2, 8)
	var next uint64 = 1000
	w.repeat(20*time.Millisecond, time.Minute, func() {
		next += 32
		parts := make([]uint64, 32)
		for i := range parts {
			parts[i] = next + uint64(i)
		}
		w.anyInstance().submit(routeShort, 2000, parts...)
	})
	w.endTargets(300*time.Millisecond, time.Minute)
	w.runUntil(time.Minute)
	message, err := cbor.Marshal(w.instances[0].core.fullGossip(allDomains))
	must.NoError(t, err)
	must.Less(t, 40<<10, len(message))
	must.Eq(t, 0, w.refusals)
}
