package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/result"
)

// spendRetries leaves nothing of the retry budgets.
func (h *harness) spendRetries() { h.core.opts.RetryRatio, h.core.opts.RetrySlack = 0, 0 }

// mustGoOn advances the time and lets the attempt of a request end with an answer. The
// attempt must not have been given up.
func (h *harness) mustGoOn(id RequestID, silence time.Duration) {
	h.t.Helper()
	attempt := h.lastSend(id).Attempt
	h.advance(silence)
	must.SliceNotContains(h.t, h.cancels, attempt)
	must.MapNotContainsKey(h.t, h.finishes, id)
	h.step(AttemptEnd{Attempt: attempt, Outcome: OutcomeComplete})
	must.Eq(h.t, result.Complete, h.finishes[id].Code)
}

// Each of these keeps another attempt from starting. A target that says nothing for a while
// may go on, and its answer was lost if it was given up for an attempt that was never made.
func TestSilentAttemptGoesOnUnlessAnotherOneStarts(t *testing.T) {
	for name, prevent := range map[string]func(h *harness){
		"retry budget": (*harness).spendRetries,
		"quarantine": func(h *harness) {
			fp := quarantine.RequestFingerprint(uint64(h.lastRequestID))
			h.step(PeerGossip{From: "front-2", Gossip: Gossip{News: &News{Verdicts: []quarantine.Verdict{{Fingerprint: fp}}}}})
		},
		"no other target": func(h *harness) {
			for _, id := range h.otherTargets() {
				h.step(TargetRemoved{id})
			}
		},
		"other targets leave": func(h *harness) {
			for _, id := range h.otherTargets() {
				h.sayLeaving(id)
			}
		},
		"other targets fail": func(h *harness) {
			h.step(PeerGossip{From: "front-2", Gossip: Gossip{FailedTargets: h.otherTargets()}})
			h.step(PeerGossip{From: "front-2", Gossip: Gossip{FailedTargets: h.otherTargets()}})
			for _, id := range h.otherTargets() {
				h.core.targets[id].health.avoidUntil = time.Minute
			}
		},
		"named limits": func(h *harness) {
			for _, id := range h.otherTargets() {
				h.core.applyLimit(LimitReport{Target: id, StartedMS: 1, PerSecond: 0.1})
			}
		},
		"quiet targets": func(h *harness) {
			for _, id := range h.otherTargets() {
				h.askQuiet(id, 0, 5*time.Second)
			}
		},
		"lost path": func(h *harness) {
			for _, service := range []string{"pool", "app"} {
				h.core.losePath(h.core.pathTo(service))
			}
		},
		"planned stop": func(h *harness) {
			h.step(Stop{BalancerDelay: 100 * time.Millisecond, GracePeriod: 1300 * time.Millisecond})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4)
			stream := h.submit(routeShort, 4000)
			h.step(Progress{Attempt: h.lastSend(stream).Attempt, EventID: "1"})
			prevent(h)
			h.mustGoOn(stream, 1990*time.Millisecond)

			h = newHarness(t, 4)
			first := h.submit(routeShort, 4000)
			prevent(h)
			h.mustGoOn(first, 1990*time.Millisecond)

			h = newHarness(t, 4)
			plain := h.submit(routeIdempotent, 0)
			prevent(h)
			h.mustGoOn(plain, 1990*time.Millisecond)
		})
	}
}

// otherTargets lists the targets of both services but those of the last request.
func (h *harness) otherTargets() []string {
	var others []string
	for _, service := range []string{"pool", "app"} {
		for _, target := range h.core.serviceTargets(service) {
			if target.ID != h.lastSend(h.lastRequestID).Target.ID {
				others = append(others, target.ID)
			}
		}
	}
	return others
}

// A prompt whose memory has to be reserved first is not given up: the reservation may be
// denied.
func TestSilentAttemptIsNotGivenUpForAReservation(t *testing.T) {
	h := newHarness(t, 8)
	id := h.submit(routeLong, 400_000)
	for _, r := range h.reserves {
		h.step(Reserved{Request: id, Target: r.Target.ID, Ticket: r.Ticket, Granted: true})
	}
	must.Eq(t, 1, h.sendCount(id))
	h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
	h.mustGoOn(id, 11*time.Second)
}

// Of the last attempt that a route allows, another one is never made.
func TestLastAttemptIsNotGivenUp(t *testing.T) {
	h := newHarness(t, 4)
	id := h.submit(routeShort, 4000)
	h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeBroken})
	must.Eq(t, 2, h.sendCount(id))
	h.mustGoOn(id, 1990*time.Millisecond)
}

// A long prompt was given up at a share of its caller's patience, before the time that was
// predicted for its first event.
func TestAttemptIsNotSilentBeforeItsPredictedTime(t *testing.T) {
	h := newHarness(t, 1)
	h.config.Routes[routeLong].CallerTimeout = 3500 * time.Millisecond
	id := h.submit(routeLong, 140_000)
	predicted := h.core.requests[id].predictedFirstEventMS
	must.Between(t, 1900, predicted, 2400)
	for i := range 4 {
		h.listTarget("pool", 9+i, "a")
	}
	h.mustGoOn(id, fromMS(1.2*predicted))
}

// What is predicted to come too late for its caller replaces nothing.
func TestSilentAttemptGoesOnIfAnotherWouldBeTooLate(t *testing.T) {
	h := newHarness(t, 2)
	h.config.Routes[routeLong].CallerTimeout = 3 * time.Second
	id := h.submit(routeLong, 140_000)
	h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
	for range 4 {
		h.submit(routeLong, 130_000)
	}
	h.mustGoOn(id, 2900*time.Millisecond)
}

// A target that is dead is left before its callers leave, also if it says nothing from the
// beginning, and if there is no limit to the callers' patience.
func TestDeadTargetIsLeftInTime(t *testing.T) {
	for _, patience := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		for _, begun := range []bool{false, true} {
			h := newHarness(t, 4)
			h.config.Routes[routeShort].CallerTimeout = patience
			id := h.submit(routeShort, 4000)
			if begun {
				h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
			}
			limit := 2500 * time.Millisecond
			if patience > 0 {
				limit = min(limit, patience-200*time.Millisecond) // ample for a prefill of 20 ms
			}
			h.advance(limit)
			must.Eq(t, 2, h.sendCount(id), must.Sprintf("patience %v, begun %t", patience, begun))
			must.NotEq(t, h.sends[0].Target.ID, h.lastSend(id).Target.ID)
		}
	}
}

// One sound second of silence moves no stream, and has no effect on what is sent later.
func TestSoundSecondOfSilenceChangesNothing(t *testing.T) {
	h := newHarness(t, 4)
	var ids []RequestID
	for range 40 {
		ids = append(ids, h.submit(routeShort, 4000))
	}
	h.advance(300 * time.Millisecond)
	for _, id := range ids {
		h.deliverFirstEvent(id)
	}
	h.advance(time.Second)
	must.SliceEmpty(t, h.cancels)
	for _, id := range ids {
		h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeComplete})
	}
	for _, target := range h.core.targets {
		must.True(t, target.health.usable(h.now))
	}
	_, retries := h.core.currentRetryBudget("pool").totals()
	must.Eq(t, 0, retries)
}

// A target that was left as silent and goes on is used again at once, by peers too: only
// its silence was counted against it, once for all requests that it hit.
func TestTargetThatGoesOnIsUsedAgain(t *testing.T) {
	h := newHarness(t, 2)
	h.config.Routes[routeShort].CallerTimeout = 0
	var silent []RequestID
	target := ""
	for range 12 {
		id := h.submit(routeShort, 1000)
		if send := h.lastSend(id); target == "" || send.Target.ID == target {
			target, silent = send.Target.ID, append(silent, id)
		}
	}
	other := h.submit(routeLong, 1000)
	for h.lastSend(other).Target.ID != target {
		other = h.submit(routeLong, 1000)
	}
	h.config.Routes[routeLong].MaxAttempts = 1
	h.advance(300 * time.Millisecond)
	h.deliverFirstEvent(other)
	h.advance(3 * time.Second)
	for _, id := range silent {
		must.Eq(t, 2, h.sendCount(id))
	}
	must.Eq(t, 1, h.core.targets[target].health.consecutiveFailures)
	must.Eq(t, 1, h.toldFailures(target))
	h.step(Progress{Attempt: h.lastSend(other).Attempt, EventID: "2"})
	must.True(t, h.core.targets[target].health.usable(h.now))
	must.Eq(t, 0, h.core.targets[target].health.consecutiveFailures)
}

// toldFailures counts the reports of a target's failures to the peers.
func (h *harness) toldFailures(target string) int {
	n := 0
	for _, g := range h.gossips {
		for _, id := range g.Gossip.FailedTargets {
			if id == target {
				n++
			}
		}
	}
	return n
}

// A peer that gives an attempt up has not heard of its target.
func TestAttemptsThatPeersGiveUpAreNoSignOfLife(t *testing.T) {
	h := newHarness(t, 4)
	h.config.Routes[routeShort].CallerTimeout = 0
	id := h.submit(routeShort, 4000)
	target := h.lastSend(id).Target.ID
	h.step(PeerGossip{From: "front-2", Gossip: Gossip{Loads: []TargetLoad{{Target: target, Key: 1, PrefillMS: 10}}}})
	h.advance(1500 * time.Millisecond)
	h.step(PeerGossip{From: "front-2", Gossip: Gossip{EndedLoads: []uint64{1}, FailedTargets: []string{target}}})
	h.advance(time.Second)
	must.Eq(t, 2, h.sendCount(id))
}

// Targets that can't be connected to are not just silent. Their streams move on at once.
func TestStreamsLeaveADomainThatCannotBeReached(t *testing.T) {
	h := newHarness(t, 0)
	for i, domain := range []string{"b", "b", "b", "a"} {
		h.listTarget("pool", i, domain)
	}
	h.core.targets["pool-03"].health.avoidUntil = 100 * time.Millisecond
	id := h.submit(routeShort, 4000)
	first := h.lastSend(id)
	must.Eq(t, "b", first.Target.FailureDomain)
	others := make(map[string]AttemptID)
	for len(others) < 2 {
		if send := h.lastSend(h.submit(routeShort, 20_000)); send.Target.ID != first.Target.ID {
			others[send.Target.ID] = send.Attempt
		}
	}
	h.step(Progress{Attempt: first.Attempt, EventID: "1"})
	h.advance(500 * time.Millisecond)
	must.Eq(t, 1, h.sendCount(id))
	for _, attempt := range others {
		h.step(AttemptEnd{Attempt: attempt, Outcome: OutcomeNotConnected})
	}
	h.step(TargetChecked{h.core.targets["pool-03"].Target, CheckAccepted}) // the own path is sound
	must.Eq(t, 2, h.sendCount(id))
	must.Eq(t, "pool-03", h.lastSend(id).Target.ID)
}

// A target that nobody hears of gets nothing new, also while its attempts go on and nothing
// could replace them.
func TestTargetThatNobodyHearsOfGetsNothingNew(t *testing.T) {
	h := newHarness(t, 2)
	id := h.submit(routeShort, 4000)
	silent := h.lastSend(id).Target.ID
	h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
	h.spendRetries()
	h.advance(1200 * time.Millisecond)
	for range 10 {
		must.NotEq(t, silent, h.lastSend(h.submit(routeShort, 4000)).Target.ID)
	}
	must.Eq(t, 1, h.sendCount(id))
	h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "2"})
	must.True(t, h.core.targets[silent].health.usable(h.now))
}

// A stream was moved with the last retry of the budget. Its new target rejected it, and it
// was cut, although the silent one would have gone on.
func TestReplacementThatIsRejectedHasAnotherRetry(t *testing.T) {
	for name, end := range map[string]AttemptEnd{
		"rejected": {Outcome: OutcomeNotRun, Status: 503}, "not connected": {Outcome: OutcomeNotConnected}, "withheld": {Outcome: OutcomeWithheld},
	} {
		for retries := range 4 {
			h := newHarness(t, 4)
			id := h.submit(routeShort, 4000)
			h.step(Progress{Attempt: h.lastSend(id).Attempt, EventID: "1"})
			h.core.opts.RetryRatio, h.core.opts.RetrySlack = 0, float64(retries)
			h.advance(1500 * time.Millisecond)
			must.Eq(t, retries > 1, h.sendCount(id) == 2, must.Sprintf("%s, %d retries", name, retries))
			if retries > 1 {
				end.Attempt = h.lastSend(id).Attempt
				h.step(end)
				must.MapNotContainsKey(t, h.finishes, id, must.Sprintf("%s, %d retries", name, retries))
				must.Eq(t, 3, h.sendCount(id))
				h.deliverFirstEvent(id)
				must.Eq(t, 0, h.core.currentRetryBudget("pool").held)
			}
		}
	}
}

// Failed connections of long ago say nothing of a target that is silent now.
func TestOldConnectFailuresDoNotShortenTheSilence(t *testing.T) {
	h := newHarness(t, 0)
	for i, domain := range []string{"b", "b", "a"} {
		h.listTarget("pool", i, domain)
	}
	h.listTarget("app", 10, "b")
	h.listTarget("app", 11, "b")
	for _, target := range []string{"app-10", "app-11"} {
		h.core.recordConnectFailure(h.core.targets[target])
	}
	must.True(t, h.core.cannotConnect(h.core.targets["pool-00"]))
	h.advance(3 * time.Second)
	must.False(t, h.core.cannotConnect(h.core.targets["pool-00"]))
}

// With very many silent attempts, one Step computes few placements: the others follow soon.
func TestManySilentAttemptsDoNotHoldTheInstanceUp(t *testing.T) {
	h := newHarness(t, 60)
	h.core.opts.RetrySlack = 1000
	sound := h.submit(routeShort, 4000)
	for range 300 {
		h.deliverFirstEvent(h.submit(routeShort, 4000))
		h.advance(time.Millisecond)
	}
	for i := range 60 {
		h.listTarget("pool", 60+i, "a")
	}
	for h.now < 1900*time.Millisecond {
		cancelled := len(h.cancels)
		h.now += time.Millisecond
		h.deliverFirstEvent(sound)
		must.LessEq(t, maxReplacementSearches, len(h.cancels)-cancelled)
	}
	must.Greater(t, 200, len(h.cancels))
}

// Plain answers at one instance are a sign of life for the others.
func TestPeersHearOfPlainAnswers(t *testing.T) {
	h, peer := newHarness(t, 0), newHarness(t, 0)
	id := h.submit(routeIdempotent, 0)
	target := h.lastSend(id).Target.ID
	peer.now = 5 * time.Second
	tell := func() {
		h.advance(100 * time.Millisecond)
		for _, g := range h.gossips {
			peer.step(PeerGossip{From: "front-2", Gossip: g.Gossip})
		}
		h.gossips = nil
	}
	tell()
	must.Eq(t, 0, peer.core.targets[target].lastHeardAt)
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeComplete})
	tell()
	must.Eq(t, peer.now, peer.core.targets[target].lastHeardAt)
}

// A caller that reads nothing for a while is no silence of its target.
func TestCallerThatReadsNothingIsNoSilenceOfItsTarget(t *testing.T) {
	h := newHarness(t, 4)
	id := h.submit(routeShort, 4000)
	attempt := h.lastSend(id).Attempt
	h.step(Progress{Attempt: attempt, EventID: "1"})
	h.advance(250 * time.Millisecond)
	h.step(CallerBlocked{attempt})
	h.advance(1700 * time.Millisecond)
	must.SliceEmpty(t, h.cancels)
	must.Eq(t, 0, h.logCounts["target-avoided"])
	// A report that was overtaken by the event holds nothing up.
	h.step(Progress{Attempt: attempt, EventID: "2"})
	h.step(CallerBlocked{attempt})
	h.advance(1500 * time.Millisecond)
	must.Eq(t, 2, h.sendCount(id))
}
