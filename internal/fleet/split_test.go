package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// In a burst of long prompts, each is split across many targets, so that none of
// them waits long for one engine.
func TestLongPromptsAreSplitAcrossManyTargets(t *testing.T) {
	h := newHarness(t, 16)
	for range 4 {
		id := h.submit(routeLong, 130_000)
		must.GreaterEq(t, preferredParts-1, len(h.lastSend(id).Helpers))
		h.advance(150 * time.Millisecond)
	}
}

// Helper parts go before all other prefills at their engines. If a long burst were
// sent at once, the parts of newer prompts would starve the older prompts.
func TestBurstOfLongPromptsWaitsAtTheInstance(t *testing.T) {
	h := newHarness(t, 16)
	for range 40 {
		h.submit(routeLong, 200_000)
	}
	e := h.config.Services["pool"].Engine
	for _, target := range h.core.targets {
		if target.Service != "pool" {
			continue
		}
		unread := target.predictState(e).pendingPrefillMS
		// The last prompt sent may exceed the bound, even if it is not split.
		must.LessEq(t, maxBacklogMS+e.prefillMS(200_000, 1), unread, must.Sprintf("target %s", target.ID))
	}
	must.Less(t, 40, len(h.sends))
}

// A split prompt that is late loses its value once, however many of its parts are
// delayed by a newer prompt.
func TestDelayOfSplitPromptCountsOnce(t *testing.T) {
	older := prefill{remainingMS: 400, request: requestKey{request: 1}, value: 10, firstEventLimitMS: 500, callerLimitMS: 5000}
	var helpers []*candidate
	for range 8 {
		helpers = append(helpers, &candidate{state: engineState{queue: []prefill{older}}})
	}
	one := delayHarm(helpers[:1], 300)
	must.Greater(t, 0, one)
	must.Eq(t, one, delayHarm(helpers, 300))
}

// In a burst of short prompts even the largest of them are not split: the first event
// would wait for the slowest of many busy targets.
func TestShortPromptsAreNotSplit(t *testing.T) {
	h := newHarness(t, 8)
	for range 30 {
		h.submit(routeShort, 3000)
		h.advance(10 * time.Millisecond)
	}
	must.SliceEmpty(t, h.lastSend(h.submit(routeShort, 16_000)).Helpers)
}

// A burst of short requests spreads over all targets: packed onto a few, they would
// wait for slots there while other targets have free ones.
func TestBurstOfShortRequestsSpreads(t *testing.T) {
	h := newHarness(t, 8)
	for range 100 {
		id := h.submit(routeShort, 3000)
		h.advance(10 * time.Millisecond)
		h.deliverFirstEvent(id)
	}
	for _, target := range h.core.serviceTargets("pool") {
		must.GreaterEq(t, 10, len(target.loads), must.Sprintf("target %s", target.ID))
	}
}

// An engine that decodes nothing sends the first event right after the prefill;
// otherwise the first event comes at the end of the pass.
func TestIdleTargetSendsFirstEventAfterPrefill(t *testing.T) {
	h := newHarness(t, 1)
	e := h.config.Services["pool"].Engine
	a := &activeRequest{
		arrival: RequestArrived{Route: h.config.Routes[routeShort], Config: h.config, PromptTokens: 4000},
		service: "pool", value: 1, deadline: time.Minute,
	}
	must.Less(t, e.prefillMS(4000, 1)+2*e.StepMS, h.core.choosePlacement(a).firstEventMS)
	h.deliverFirstEvent(h.submit(routeShort, 4000))
	must.Greater(t, e.prefillMS(4000, 1)+float64(e.StepsPerPass)*e.StepMS, h.core.choosePlacement(a).firstEventMS)
}

// If a prompt is split across all targets, any of them with enough memory may be the
// primary one: a reservation at every helper would be needless.
func TestPromptSplitAcrossAllTargetsNeedsNoTickets(t *testing.T) {
	h := newHarness(t, 16)
	for range 4 {
		h.submit(routeLong, 130_000)
		h.advance(150 * time.Millisecond)
	}
	must.SliceEmpty(t, h.reserves)
	must.Len(t, 4, h.sends)
}
