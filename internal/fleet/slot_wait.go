package fleet

import (
	"math"
	"slices"
	"time"
)

// sentTokens estimates how many tokens of its answer a load has sent while steps take stepMS.
func (t *targetState) sentTokens(e *Engine, l *trackedLoad, stepMS float64) float64 {
	switch {
	case !l.firstEventSeen:
		return 0
	case l.sentEvents > 0:
		return 1 + float64((l.sentEvents-1)*e.StepsPerPass)
	case l.firstEventAt > 0:
		return max(0, toMS(t.advancedAt-l.firstEventAt)/stepMS)
	default: // the time between its send and its first event is not known
		return max(0, (toMS(t.advancedAt-l.addedAt)+float64(l.AgeMS)-l.PrefillMS)/stepMS)
	}
}

// Percentiles of the wait for a slot. The number of requests that end within a time has about
// a Poisson distribution: of k ends, the last comes within the time of k-0.3 expected ones in
// half of all cases, and of k+1.28*sqrt(k) in nine of ten.
const (
	medianEndsLess = 0.3
	lateEndsFactor = 1.28
)

const (
	// endRateInterval is the time for which a load's endsPerToken holds: about a pass.
	endRateInterval = 100 * time.Millisecond
	// endRateHorizon is the share of a mean answer that endsPerToken looks ahead.
	endRateHorizon = 0.25
	// maxSlotWaitMS bounds the predicted wait for a slot.
	maxSlotWaitMS = 60_000
)

// updateEndRate brings the load's endsPerToken up to date.
func (l *trackedLoad) updateEndRate(t *targetState, e *Engine, stepMS float64) {
	if t.advancedAt < l.endRateUntil {
		return
	}
	horizon := endRateHorizon * float64(max(1, e.MeanAnswerTokens))
	l.endsPerToken = l.answer.EndsWithin(t.sentTokens(e, l, stepMS), horizon) / horizon
	l.endRateUntil = t.advancedAt + endRateInterval
}

// predictSlotWaitMS returns the predicted milliseconds until a slot is free for one more
// request: the median, and what nine waits in ten stay below.
func (t *targetState) predictSlotWaitMS(e *Engine, state engineState) (medianMS, lateMS float64) {
	return t.predictSlotWaitAfterMS(e, state, 0)
}

// predictSlotWaitAfterMS is predictSlotWaitMS if unseen requests go before.
func (t *targetState) predictSlotWaitAfterMS(e *Engine, state engineState, unseen int) (medianMS, lateMS float64) {
	requestsAhead := float64(state.requests + unseen - t.Slots + 1)
	if requestsAhead <= 0 {
		return 0, 0
	}
	endsPerMS := t.endsPerMS(e, state.stepMS, 0)
	medianMS = min(maxSlotWaitMS, (requestsAhead-medianEndsLess)/endsPerMS)
	medianMS = min(maxSlotWaitMS, (requestsAhead-medianEndsLess)/t.endsPerMS(e, state.stepMS, medianMS))
	return medianMS, min(maxSlotWaitMS, medianMS*(requestsAhead+lateEndsFactor*math.Sqrt(requestsAhead))/(requestsAhead-medianEndsLess))
}

// endsPerMS returns the number of the requests in the slots that are expected to end in a
// millisecond, on average over withinMS: those that are still prefilled end none before.
// Requests that wait for a slot have come last.
func (t *targetState) endsPerMS(e *Engine, stepMS, withinMS float64) float64 {
	var ends float64
	slots := t.Slots
	for _, l := range t.loads {
		if l.HelperPart {
			continue
		}
		if slots--; slots < 0 {
			break
		}
		l.updateEndRate(t, e, stepMS)
		share := 1.0
		if withinMS > 0 {
			share = max(0, 1-l.pendingPrefillMS/withinMS)
		}
		ends += share * l.endsPerToken / stepMS
	}
	return max(ends, 1/maxSlotWaitMS)
}

// predictRoomMS returns the predicted milliseconds until the target has a free slot and the
// given memory in tokens; infinite if the memory exceeds that of the engine.
func (t *targetState) predictRoomMS(e *Engine, memory int) float64 {
	if memory > e.MemoryTokens {
		return math.Inf(1)
	}
	state := t.predictState(e)
	type release struct {
		atMS          float64
		slots, memory int
	}
	releases := make([]release, 0, len(t.loads))
	for _, l := range t.loads {
		r := release{l.pendingPrefillMS, 1, l.MemoryTokens}
		r.atMS += l.answer.Remaining(t.sentTokens(e, l, state.stepMS), 0.5) * state.stepMS
		if l.HelperPart {
			r.slots = 0
		}
		releases = append(releases, r)
	}
	slices.SortFunc(releases, func(a, b release) int { return int(a.atMS - b.atMS) })
	freeSlots, freeMemory, atMS := t.Slots-state.requests, e.MemoryTokens-state.memoryTokens, 0.0
	for _, r := range releases {
		if freeSlots > 0 && freeMemory >= memory {
			break
		}
		freeSlots, freeMemory, atMS = freeSlots+r.slots, freeMemory+r.memory, r.atMS
	}
	return atMS
}

// firstEventChance returns the chance that the first event comes within limitMS if it takes
// withoutWaitMS after the wait for a slot. Requests that this instance does not know of yet
// may take the last slots; at a full target, everyone waits for one as it is.
func (c *Core) firstEventChance(input *placementInput, primary *candidate, withoutWaitMS, limitMS float64) float64 {
	if primary.state.requests >= primary.Slots {
		_, lateMS := primary.predictSlotWaitAfterMS(input.engine, primary.state, 0)
		return firstEventInTimeChance(withoutWaitMS+lateMS, limitMS)
	}
	var inTime float64
	for unseen, chance := range input.unseenChances {
		if chance > 0 {
			_, lateMS := primary.predictSlotWaitAfterMS(input.engine, primary.state, unseen)
			inTime += chance * firstEventInTimeChance(withoutWaitMS+lateMS, limitMS)
		}
	}
	return inTime
}
