package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// loneTarget makes all requests of a service go to one of its targets for a while.
func (h *harness) loneTarget(service, id string) {
	for _, target := range h.core.serviceTargets(service) {
		if target.ID != id {
			target.health.avoidUntil = h.now + 100*time.Millisecond
		}
	}
}

// A request that may run once only was sent to a second target because the first was silent.
func TestRequestThatMayRunOnceIsNeverGivenUp(t *testing.T) {
	for name, happen := range map[string]func(h *harness){
		"silence": func(*harness) {},
		"domain out of reach": func(h *harness) {
			for _, id := range []string{"app-11", "app-12"} {
				h.core.recordConnectFailure(h.core.targets[id])
			}
		},
		"path lost": func(h *harness) {
			h.step(PeerGossip{From: "front-2", Domain: "a", RelayAddress: "10.1.0.2:7342"})
			h.core.pathTo("app").state = pathLost
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 0)
			for i := range 3 {
				h.listTarget("app", 10+i, "b")
			}
			h.config.Routes[routeNonIdempotent].Timeout = 8 * time.Second
			h.loneTarget("app", "app-10")
			id := h.submit(routeNonIdempotent, 0)
			must.Eq(t, "app-10", h.lastSend(id).Target.ID)
			h.advance(450 * time.Millisecond)
			happen(h)
			h.mustGoOn(id, 7*time.Second)
			must.Eq(t, 1, h.sendCount(id))
		})
	}
}

// The same where an event of the core itself looks at the silent attempts at once.
func TestRequestThatMayRunOnceIsNotGivenUpForACut(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 3 {
		h.listTarget("app", 10+i, "b")
	}
	h.config.Routes[routeNonIdempotent].Timeout = 8 * time.Second
	h.loneTarget("app", "app-10")
	id := h.submit(routeNonIdempotent, 0)
	h.advance(500 * time.Millisecond)
	var others []RequestID
	for _, target := range []string{"app-11", "app-12"} {
		h.loneTarget("app", target)
		others = append(others, h.submit(routeNonIdempotent, 0))
		must.Eq(t, target, h.lastSend(others[len(others)-1]).Target.ID)
		h.advance(200 * time.Millisecond)
	}
	for _, other := range others {
		h.step(AttemptEnd{Attempt: h.lastSend(other).Attempt, Outcome: OutcomeNotConnected})
	}
	h.step(TargetChecked{h.core.targets["app-00"].Target, CheckAccepted}) // the own path is sound
	h.mustGoOn(id, 6*time.Second)
	must.Eq(t, 1, h.sendCount(id))
}

// An attempt that was given up stayed in the loads of its target, here and at the peers.
func TestReplacedAttemptLeavesNoLoad(t *testing.T) {
	h := newHarness(t, 2)
	id := h.submit(routeShort, 4000)
	first := h.lastSend(id).Target.ID
	h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
	h.advance(2400 * time.Millisecond)
	must.Eq(t, 2, h.sendCount(id))
	must.SliceEmpty(t, h.core.targets[first].loads)
	ended := 0
	for _, g := range h.gossips {
		ended += len(g.Gossip.EndedLoads)
	}
	must.Eq(t, 1, ended)
}

// Replacements of silent attempts were no retries for the budget.
func TestReplacementsDrawOnTheRetryBudget(t *testing.T) {
	h := newHarness(t, 2)
	var silent []RequestID
	h.loneTarget("pool", "pool-00")
	for range 6 {
		id := h.submit(routeShort, 4000)
		must.Eq(t, "pool-00", h.lastSend(id).Target.ID)
		silent = append(silent, id)
	}
	h.core.opts.RetryRatio, h.core.opts.RetrySlack = 0, 4
	h.advance(1900 * time.Millisecond)
	replaced := 0
	for _, id := range silent {
		replaced += h.sendCount(id) - 1
	}
	must.Between(t, 1, replaced, 4)
	_, retries := h.core.currentRetryBudget("pool").totals()
	must.Eq(t, replaced, retries)
}

// Replacements of silent attempts took no token of a target that names a limit.
func TestReplacementsKeepTheLimitOfTheirTarget(t *testing.T) {
	h := newHarness(t, 2)
	h.config.Routes[routeShort].CallerTimeout = 0
	h.loneTarget("pool", "pool-00")
	var silent []RequestID
	for range 6 {
		silent = append(silent, h.submit(routeShort, 4000))
	}
	for _, id := range silent {
		h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
	}
	h.core.applyLimit(LimitReport{Target: "pool-01", StartedMS: 1, PerSecond: 1})
	h.advance(2500 * time.Millisecond)
	replaced := 0
	for _, id := range silent {
		replaced += h.sendCount(id) - 1
	}
	must.Between(t, 1, replaced, 2)
}

// An answer to one request shows that its target lives, a broken connection does not.
func TestOnlyAnswersAreSignsOfLife(t *testing.T) {
	for outcome, sends := range map[AttemptOutcome]int{OutcomeFailed: 1, OutcomeNotRun: 1, OutcomeComplete: 1, OutcomeBroken: 2} {
		h := newHarness(t, 0)
		h.config.Routes[routeIdempotent].Timeout = 8 * time.Second
		h.config.Routes[routeNonIdempotent].Timeout = 8 * time.Second
		h.loneTarget("app", "app-00")
		id := h.submit(routeIdempotent, 0)
		other := h.submit(routeNonIdempotent, 0)
		must.Eq(t, "app-00", h.lastSend(id).Target.ID)
		must.Eq(t, "app-00", h.lastSend(other).Target.ID)
		h.advance(1900 * time.Millisecond)
		h.step(AttemptEnd{Attempt: h.lastSend(other).Attempt, Outcome: outcome})
		h.advance(600 * time.Millisecond)
		must.Eq(t, sends, h.sendCount(id), must.Sprintf("%v", outcome))
	}
}

// A target that reads long prompts says nothing for longer than a silent one.
func TestTargetThatReadsALongPromptIsNotPresumedDead(t *testing.T) {
	h := newHarness(t, 2)
	for _, route := range []int{routeShort, routeLong} {
		h.config.Routes[route].CallerTimeout = 0
	}
	h.loneTarget("pool", "pool-00")
	short := h.submit(routeShort, 1000)
	long := h.submit(routeLong, 180_000)
	must.Eq(t, "pool-00", h.lastSend(short).Target.ID)
	must.Eq(t, "pool-00", h.lastSend(long).Target.ID)
	pending := h.core.requests[long].loads[0].load.PrefillMS
	must.Greater(t, 2500, pending)
	h.mustGoOn(short, fromMS(pending)+800*time.Millisecond)
}

// A target that nobody hears of is kept free for as long as that lasts.
func TestSilentTargetIsAvoidedToTheEnd(t *testing.T) {
	h := newHarness(t, 2)
	h.config.Routes[routeShort].CallerTimeout = 0
	id := h.submit(routeShort, 4000)
	silent := h.lastSend(id).Target.ID
	h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
	h.spendRetries()
	for range 6 {
		h.advance(time.Second)
		must.NotEq(t, silent, h.lastSend(h.submit(routeShort, 4000)).Target.ID)
	}
	must.Eq(t, 1, h.sendCount(id))
}

// While the own path is in doubt, a silence says nothing of a target.
func TestNothingIsGivenUpWhileThePathIsInDoubt(t *testing.T) {
	h := newHarness(t, 4)
	h.config.Routes[routeShort].CallerTimeout = 0
	id := h.submit(routeShort, 4000)
	h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
	h.core.pathTo("pool").state = pathDoubted
	h.mustGoOn(id, 2600*time.Millisecond)
}

// A silent attempt was given up for one that its new target did not run, and nothing was left
// for another: the stream was cut, although its first target might have gone on.
func TestRejectedReplacementOfASilentAttemptEndsNothing(t *testing.T) {
	for name, end := range map[string]AttemptEnd{
		"not run":       {Outcome: OutcomeNotRun, Status: 503},
		"not connected": {Outcome: OutcomeNotConnected},
	} {
		for slack := range 4 {
			t.Run(fmt.Sprintf("%s, %d retries", name, slack), func(t *testing.T) {
				h := newHarness(t, 3)
				stream := h.submit(routeShort, 4000)
				h.step(Progress{Attempt: h.lastSend(stream).Attempt, EventID: "1"})
				h.core.opts.RetryRatio, h.core.opts.RetrySlack = 0, float64(slack)
				h.advance(1500 * time.Millisecond)
				h.endReplacement(stream, end)

				h = newHarness(t, 3)
				h.config.Routes[routeIdempotent].Timeout = 6 * time.Second
				plain := h.submit(routeIdempotent, 0)
				h.core.opts.RetryRatio, h.core.opts.RetrySlack = 0, float64(slack)
				h.advance(2300 * time.Millisecond)
				h.endReplacement(plain, end)
			})
		}
	}
}

// endReplacement ends the second attempt of a request, if there is one. The request must
// not end.
func (h *harness) endReplacement(id RequestID, end AttemptEnd) {
	h.t.Helper()
	if h.sendCount(id) > 1 {
		end.Attempt = h.lastSend(id).Attempt
		h.step(end)
	}
	must.MapNotContainsKey(h.t, h.finishes, id)
}
