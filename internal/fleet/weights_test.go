package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

// submitPinned submits a request that expects a version of the weights.
func (h *harness) submitPinned(route, prompt int, version string) RequestID {
	h.lastRequestID++
	h.step(RequestArrived{
		Request: h.lastRequestID, ID: fmt.Sprint(h.lastRequestID), Route: h.config.Routes[route], Config: h.config,
		Deadline: h.now + h.config.Routes[route].Timeout, PromptTokens: prompt, MaxAnswerTokens: 400,
		Fingerprint: uint64(h.lastRequestID), WeightsVersion: version,
	})
	return h.lastRequestID
}

// listWeights lists a target of the service "pool" with a version of the weights.
func (h *harness) listWeights(i int, version string) {
	h.step(TargetListed{Target{
		ID: fmt.Sprintf("pool-%02d", i), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:pool", i), FailureDomain: "a", Slots: 16,
		StartedMS: 1, WeightsVersion: version,
	}})
}

// Requests for another version of the weights were answered 421, and each of these answers
// took a sound target out of use for everybody.
func TestExpectedWeightsConcernTheirRequestsAlone(t *testing.T) {
	h := newHarness(t, 4)
	for range 4 { // none of the entries names a version
		id := h.submitPinned(routeShort, 1000, "2")
		must.Eq(t, 1, h.sendCount(id))
		h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeOtherWeights, Status: 421})
		must.Eq(t, 1, h.sendCount(id)) // nobody names the version
		must.Eq(t, result.NoWeights, h.finishes[id].Code)
		must.Positive(t, h.finishes[id].RetryAfter)
	}
	sends := len(h.sends)
	must.Eq(t, result.NoWeights, h.finishes[h.submitPinned(routeShort, 1000, "2")].Code)
	must.Eq(t, sends, len(h.sends)) // all have denied it
	for i := range 4 {
		target := h.core.targets[fmt.Sprintf("pool-%02d", i)]
		must.True(t, h.acceptsRequests(target.ID))
		must.True(t, target.health.usable(h.now))
	}
	must.Eq(t, 1, h.sendCount(h.submitPinned(routeShort, 1000, "1")))
	must.Eq(t, 1, h.sendCount(h.submit(routeShort, 1000)))
	h.advance(lackedWeightsTime)
	must.Eq(t, 1, h.sendCount(h.submitPinned(routeShort, 1000, "2"))) // tried again
}

// In the middle of a rollout, requests for either version are served as long as one target has
// it, also by several targets together, and those for a third one are refused unasked.
func TestMixedWeightsServeBothVersions(t *testing.T) {
	h := newHarness(t, 0)
	for i := range 8 {
		h.listWeights(i, fmt.Sprint(1+i%2))
	}
	for _, version := range []string{"1", "2"} {
		for range 10 {
			send := h.lastSend(h.submitPinned(routeShort, 1000, version))
			must.Eq(t, version, send.Target.WeightsVersion)
		}
		h.reserves = nil
		h.submitPinned(routeLong, 400_000, version)
		must.SliceNotEmpty(t, h.reserves)
		for _, r := range h.reserves {
			must.Eq(t, version, r.Target.WeightsVersion)
		}
	}
	must.Eq(t, result.NoWeights, h.finishes[h.submitPinned(routeShort, 1000, "3")].Code)
	for i := range 8 {
		h.listWeights(i, "3")
	}
	must.Eq(t, 1, h.sendCount(h.submitPinned(routeShort, 1000, "3")))
	must.Eq(t, result.NoWeights, h.finishes[h.submitPinned(routeShort, 1000, "1")].Code)
}

// A target whose entry and answers differ is believed by its newest word, for that version.
func TestNewestWordOnWeightsHolds(t *testing.T) {
	h := newHarness(t, 0)
	h.listWeights(0, "1")
	h.listWeights(1, "2")
	id := h.submitPinned(routeShort, 1000, "1")
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeOtherWeights, Status: 421, AnsweredBy: "pool-00", WeightsVersion: "2"})
	must.Eq(t, result.NoWeights, h.finishes[id].Code)
	h.listWeights(0, "1") // its entry is written again
	must.Eq(t, "pool-00", h.lastSend(h.submitPinned(routeShort, 1000, "1")).Target.ID)
	id = h.submitPinned(routeShort, 1000, "1")
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeOtherWeights, Status: 421})
	must.Eq(t, result.NoWeights, h.finishes[h.submitPinned(routeShort, 1000, "1")].Code)
	h.listWeights(2, "1")
	must.Eq(t, "pool-02", h.lastSend(h.submitPinned(routeShort, 1000, "1")).Target.ID)
}

// Callers choose the versions: what is remembered of them is bounded.
func TestLackedWeightsAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	for i := range 100 {
		id := h.submitPinned(routeShort, 1000, fmt.Sprint(100+i))
		h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeOtherWeights, Status: 421})
		h.advance(time.Millisecond)
	}
	must.LessEq(t, maxLackedWeights, len(h.core.targets["pool-00"].lackedWeights))
}
