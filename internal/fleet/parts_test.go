package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A burst of long prompts, one after the other: each is read by many targets, so
// that none of them waits long for one engine.
func TestLongPromptsAreReadByManyTargets(t *testing.T) {
	w := newWorld(t, 16)
	for range 4 {
		id := w.arrive(routeLong, 130_000)
		must.GreaterEq(t, manyParts-1, len(w.last(id).Helpers))
		w.wait(150 * time.Millisecond)
	}
}

// Parts go before everything else at their engines. In a long burst newer prompts
// would push the older ones back for ever if all were sent at once.
func TestLongBurstWaitsHereAndNotAtTheTargets(t *testing.T) {
	w := newWorld(t, 16)
	for range 40 {
		w.arrive(routeLong, 200_000)
	}
	e := w.config.Services["pool"].Engine
	for _, r := range w.core.runners {
		if r.Service != "pool" {
			continue
		}
		unread := r.loadOf(e).unread
		// One prompt more than the bound may wait, in the fewest parts.
		must.LessEq(t, maxBacklogMS+e.readMS(200_000, 1), unread, must.Sprintf("target %s", r.ID))
	}
	must.Less(t, 40, len(w.sends))
}

// An older prompt in parts at several targets is late once, however many of its
// parts a newer one delays.
func TestDelayOfOnePromptCountsOnce(t *testing.T) {
	older := reading{ms: 400, request: requestKey{request: 1}, value: 10, within: 500, leaves: 5000}
	var helpers []*candidate
	for range 8 {
		helpers = append(helpers, &candidate{load: load{queue: []reading{older}}})
	}
	one := delayLosses(helpers[:1], 300)
	must.Greater(t, 0, one)
	must.Eq(t, one, delayLosses(helpers, 300))
}

// In a burst of short prompts the largest of them are read whole: the first event
// would wait for the slowest of many busy targets.
func TestShortPromptsAreReadWhole(t *testing.T) {
	w := newWorld(t, 8)
	for range 30 {
		w.arrive(routeShort, 3000)
		w.wait(10 * time.Millisecond)
	}
	must.SliceEmpty(t, w.last(w.arrive(routeShort, 16_000)).Helpers)
}

// A burst of short requests fills all targets evenly: gathered at a few, they
// would wait for places there while others are free.
func TestBurstOfShortRequestsSpreads(t *testing.T) {
	w := newWorld(t, 8)
	for range 100 {
		id := w.arrive(routeShort, 3000)
		w.wait(10 * time.Millisecond)
		w.begin(id)
	}
	for _, r := range w.core.serviceRunners("pool") {
		must.GreaterEq(t, 10, len(r.flights), must.Sprintf("target %s", r.ID))
	}
}

// An engine without writers answers as soon as it has read; beside writers the
// first event comes with the end of the pass.
func TestFirstEventOfAnIdleTargetComesWithTheReading(t *testing.T) {
	w := newWorld(t, 1)
	e := w.config.Services["pool"].Engine
	a := &active{
		arrive:  Arrive{Route: &w.config.Routes[routeShort], Config: w.config, PromptTokens: 4000},
		service: "pool", value: 1, deadline: time.Minute,
	}
	must.Less(t, e.readMS(4000, 1)+2*e.StepMS, w.core.choose(a).firstEventMS)
	w.begin(w.arrive(routeShort, 4000))
	must.Greater(t, e.readMS(4000, 1)+float64(e.Stride)*e.StepMS, w.core.choose(a).firstEventMS)
}
