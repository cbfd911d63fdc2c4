package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/result"
)

// lateRepeats is the number of requests that may reach targets later than stableWindow
// after the third crash by the same request.
const lateRepeats = 3

// newOneDomainWorld returns a world with all targets in one failure domain.
func newOneDomainWorld(t *testing.T, seed uint64, instances, targets int) *fleetWorld {
	t.Helper()
	w := newFleetWorld(t, seed, 0, targets)
	w.oneTargetDomain = true
	for _, target := range w.targets {
		w.startTarget(target)
	}
	for range instances {
		w.addInstance()
	}
	return w
}

// caller sends the same request again and again.
type caller struct {
	world     *fleetWorld
	request   worldRequest
	instances []int // that it sends to, one after the other until one serves it
	pause     time.Duration
	ends      map[result.Code]int
}

// send sends the request to the instances in turn, and again after the pause until end.
func (c *caller) send(end time.Duration) {
	if c.world.now < end {
		c.try(0, func() { c.world.after(c.pause, func() { c.send(end) }) })
	}
}

func (c *caller) try(i int, done func()) {
	r := c.request
	c.world.instances[c.instances[i]].receive(&r)
	c.waitFor(&r, func() {
		c.ends[r.finish.Code]++
		if i+1 < len(c.instances) && r.finish.Code != result.Complete {
			c.world.after(worldHop, func() { c.try(i+1, done) })
			return
		}
		done()
	})
}

// waitFor calls then once a request has ended.
func (c *caller) waitFor(r *worldRequest, then func()) {
	if r.finish != nil {
		then()
		return
	}
	c.world.after(worldHop, func() { c.waitFor(r, then) })
}

func (w *fleetWorld) newCaller(pause time.Duration, r worldRequest, instances ...int) *caller {
	return &caller{world: w, request: r, instances: instances, pause: pause, ends: make(map[result.Code]int)}
}

// reachedAfterThird counts the requests with a part that reached targets later than
// stableWindow after its third crash.
func (w *fleetWorld) reachedAfterThird(part uint64) (late int) {
	if len(w.crashes[part]) < 3 {
		return 0
	}
	for _, at := range w.reached[part] {
		if at > w.crashes[part][2]+stableWindow {
			late++
		}
	}
	return late
}

// A request crashed four targets of its domain within milliseconds, by its own retries and
// its caller's, which counted as one crash, and again each time that it came.
func TestCrashesByRetriesOfARequestCountOneByOne(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		oneDomain    bool
		beginsAtOnce bool
		instances    []int // 0, 3 and 6 are in one failure domain
		pause        time.Duration
	}{
		"caller retries in its domain":         {false, true, []int{0, 3}, 4 * time.Second},
		"caller retries in another domain":     {false, true, []int{0, 1}, 4 * time.Second},
		"caller repeats at once":               {false, true, []int{0}, 5 * time.Millisecond},
		"slow to crash":                        {false, false, []int{0, 3}, 4 * time.Second},
		"targets in one domain":                {true, true, []int{0, 3}, 4 * time.Second},
		"targets in one domain, many retries":  {true, true, []int{0, 3, 6, 1, 2}, 4 * time.Second},
		"targets in one domain, slow to crash": {true, false, []int{0, 3, 6}, 4 * time.Second},
	} {
		for seed := range uint64(3) {
			newWorld := newFleetWorld
			if test.oneDomain {
				newWorld = newOneDomainWorld
			}
			w := newWorld(t, 1100+seed, 9, 18)
			w.sendSoundRequests(36, 30*time.Second)
			w.crashing[crashingPart] = true
			request := worldRequest{route: routeShort, prompt: 3000, parts: []uint64{crashingPart}, fingerprint: 77, beginsAtOnce: test.beginsAtOnce}
			c := w.newCaller(test.pause, request, test.instances...)
			w.after(5*time.Second, func() { c.send(30 * time.Second) })
			w.runUntil(35 * time.Second)
			must.LessEq(t, lateRepeats, w.reachedAfterThird(crashingPart), must.Sprintf("%s, seed %d: %d crashes", name, seed, len(w.crashes[crashingPart])))
			must.Eq(t, 0, w.refusals, must.Sprintf("%s, seed %d: sound requests refused", name, seed))
		}
	}
}

// checkNotBlocked checks that no instance blocks a fingerprint.
func (w *fleetWorld) checkNotBlocked(fp quarantine.Fingerprint) {
	w.t.Helper()
	for _, in := range w.instances {
		for _, verdict := range in.core.culprits.Verdicts(w.now) {
			must.NotEq(w.t, fp, verdict.Fingerprint, must.Sprint(in.name))
		}
	}
}

// endDomain ends the targets of the first failure domain one after the other.
func (w *fleetWorld) endDomain(gap time.Duration, targets int) {
	at := gap
	for _, target := range w.targets {
		if target.FailureDomain != w.domain(0) || targets == 0 {
			continue
		}
		targets--
		w.after(at, func() {
			if !target.down {
				w.endTarget(target)
			}
		})
		at += gap
	}
}

// The targets of a domain end one after the other, and retries run into the same end: no
// request is the cause, not even one that comes again and again.
func TestRetriesIntoTheEndOfADomainBlockNothing(t *testing.T) {
	t.Parallel()
	for _, oneDomain := range []bool{false, true} {
		failed, sent := 0, 0
		for seed := range uint64(5) {
			newWorld := newFleetWorld
			if oneDomain {
				newWorld = newOneDomainWorld
			}
			w := newWorld(t, 1200+seed, 9, 18)
			w.sendSoundRequests(36, 40*time.Second)
			var callers []*caller
			for i := range 9 {
				request := worldRequest{route: routeShort, prompt: 3000, parts: w.soundParts(), fingerprint: 1000 + uint64(i)}
				callers = append(callers, w.newCaller(30*time.Millisecond, request, i, (i+3)%9))
				w.after(3*time.Second, func() { callers[i].send(40 * time.Second) })
			}
			for i := range 3 {
				w.after(time.Duration(10+8*i)*time.Second, func() { w.endDomain(50*time.Millisecond, 6) })
			}
			w.runUntil(45 * time.Second)
			w.checkNoSoundRefusals(seed)
			for i := range callers {
				w.checkNotBlocked(quarantine.RequestFingerprint(callers[i].request.fingerprint))
			}
			for _, c := range callers {
				for code, n := range c.ends {
					sent += n
					if code != result.Complete {
						failed += n
					}
				}
			}
		}
		t.Logf("one domain %t: %d of %d repeated requests failed", oneDomain, failed, sent)
	}
}

// A retry that stays in the domain of its broken run may run into the same end, and its
// crash says nothing new of the request.
func TestRetryLeavesTheDomainWhereARunBroke(t *testing.T) {
	for _, route := range []int{routeShort, routeIdempotent} {
		h := newHarness(t, 3)
		for i := range 3 {
			h.listTarget(h.config.Routes[route].Backends[0].Service, 10+i, "b")
		}
		prompt := 3000
		if route == routeIdempotent {
			prompt = 0
		}
		id := h.submit(route, prompt)
		first := h.lastSend(id)
		h.step(AttemptStarted{first.Attempt})
		h.step(AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeBroken})
		must.Eq(t, 2, h.sendCount(id))
		must.NotEq(t, first.Target.FailureDomain, h.lastSend(id).Target.FailureDomain)
	}
}
