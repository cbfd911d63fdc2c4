package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// Limits of requests that are expected to be late.
const (
	// minInTimeChance is the chance of being in time below which a request lets
	// others go first.
	minInTimeChance = 0.15
	// A late request with a long prompt is sent at once only if other requests lose
	// less than maxLateHarmShare of its value, and if the prefill pending before it is
	// less than maxLateBacklogShare of its own.
	maxLateHarmShare    = 0.05
	maxLateBacklogShare = 0.25
	// waitTimeFactor is the multiple of a request's prefill time, split over half of
	// the targets, that has to remain before its deadline if it is to wait.
	waitTimeFactor = 1.5
	// forecastInterval is the time between two forecasts for a waiting request: a forecast
	// looks at all loads of all targets.
	forecastInterval = 200 * time.Millisecond
)

// roomForecast is when the targets are predicted to have room for a request.
type roomForecast struct {
	at         time.Duration // of the forecast
	roomAt     time.Duration // when enough targets have room
	firstEvent time.Duration // when the first event comes then
}

// fitsTargets reports whether the targets may ever have room for the request: the prompt and
// the answer fit into nine tenths of their memory.
func (c *Core) fitsTargets(a *activeRequest) bool {
	e := c.engineOf(a)
	pool := c.candidateTargets(a)
	return e != nil && len(pool) > 0 && a.memoryTokens() <= e.MemoryTokens*9/10*len(pool)
}

// waitForRoom lets a request wait for which no target has room, or refuses it if the room is
// predicted to come too late for its caller.
func (c *Core) waitForRoom(a *activeRequest) {
	f := c.forecastRoom(a)
	if f.firstEvent < a.firstEventDeadline() && c.now+placementRetryDelay < a.firstEventDeadline() {
		c.dispatchLater(a)
		return
	}
	c.refuseForRoom(a, f)
}

// refuseForRoom refuses a request since the targets have no room for it in time.
func (c *Core) refuseForRoom(a *activeRequest, f roomForecast) {
	c.log("room-too-late", "request", a.arrival.ID, "prompt", a.arrival.PromptTokens, "waited_ms", int(toMS(c.now-a.arrivedAt)),
		"room_ms", int(toMS(f.roomAt-c.now)), "first_event_ms", int(toMS(f.firstEvent-c.now)))
	c.incrementCounter("early_refusals", "room")
	c.refuseOrFail(a, result.DeadlineUnmet, c.bookReturn(a, f.roomAt))
}

// hasContention reports whether a request should be sent later although targets are
// available. This holds for requests that are expected to be late, since those that can be
// in time go first, and for requests that would cost others more than they are worth.
func (c *Core) hasContention(a *activeRequest, p placement) bool {
	e := c.engineOf(a)
	if e == nil || !c.usesPredictions() || a.anyEventDelivered || p.ownValue-p.harm >= c.opportunityCost(a, e) && p.inTimeChance >= minInTimeChance {
		return false
	}
	state := p.primary.predictState(e)
	lowContention := state.requests < p.primary.Slots
	if p.longPrompt {
		lowContention = lowContention && p.harm < maxLateHarmShare*a.value && state.pendingPrefillMS < p.prefillMS*maxLateBacklogShare
	}
	return !lowContention
}

// canWait reports whether a request can still be answered if it waits for a placement
// without contention, and if it finds none, by the placement p.
func (c *Core) canWait(a *activeRequest, p placement) bool {
	e := c.engineOf(a)
	if c.endsTooLate(a, p, 2*placementRetryDelay) {
		return false
	}
	parts := max(1, len(c.candidateTargets(a))/2)
	neededTime := fromMS(e.prefillMS(a.arrival.PromptTokens, parts)*waitTimeFactor + 2*float64(e.StepsPerPass)*p.primary.predictState(e).stepMS)
	return max(c.now, c.forecastRoom(a).roomAt)+neededTime < a.firstEventDeadline()
}

// shouldWait reports whether a request should wait for a later placement.
func (c *Core) shouldWait(a *activeRequest, p placement) bool {
	return c.hasContention(a, p) && c.canWait(a, p)
}

// isCrowdedOut reports whether the targets are predicted to be taken by waiting requests that
// go before one that has just arrived, until it is too late for its caller. One that has waited
// until its last moment is sent: its caller has no time left to come back.
func (c *Core) isCrowdedOut(a *activeRequest, p placement) bool {
	return !a.waited && c.hasContention(a, p) && !c.canWait(a, p) && c.isBehindOthers(a)
}

// wastesScarceTime reports whether a long prompt that is predicted to be late is worth less
// than what other requests earn with the engine time that it takes.
func (c *Core) wastesScarceTime(a *activeRequest, p placement) bool {
	e := c.engineOf(a)
	return e != nil && c.usesPredictions() && p.longPrompt && !a.anyEventDelivered && p.inTimeChance < minInTimeChance &&
		p.ownValue-p.harm < c.opportunityCost(a, e)
}

// forecastRoom predicts when the targets have room for a request, at most once in
// forecastInterval.
func (c *Core) forecastRoom(a *activeRequest) roomForecast {
	if a.forecast.at > 0 && c.now-a.forecast.at < forecastInterval {
		return a.forecast
	}
	e, pool := c.engineOf(a), c.candidateTargets(a)
	for _, target := range pool {
		target.advancePrefills(c.now)
	}
	beforeMS := c.waitingBeforeMS(a, len(pool))
	best := roomForecast{at: c.now, roomAt: a.deadline, firstEvent: a.deadline}
	for _, parts := range partCounts {
		if parts > len(pool) || parts > 1 && e.prefillMS(a.arrival.PromptTokens, 1) < a.maxShortPrefillMS() {
			continue
		}
		if parts < preferredParts && best.firstEvent < a.deadline {
			break
		}
		roomMS := c.predictRoomForParts(a, e, pool, parts) + beforeMS
		if math.IsInf(roomMS, 1) {
			continue
		}
		roomAt := c.now + fromMS(roomMS)
		if firstEvent := roomAt + fromMS(e.prefillMS(a.arrival.PromptTokens, parts)); firstEvent < best.firstEvent {
			best.roomAt, best.firstEvent = roomAt, firstEvent
		}
	}
	a.forecast = best
	return best
}

// predictRoomForParts returns the predicted milliseconds until as many targets as there are
// parts have room for one each.
func (c *Core) predictRoomForParts(a *activeRequest, e *Engine, pool []*targetState, parts int) float64 {
	memory := a.memoryTokens()/parts + 1
	roomMS := make([]float64, len(pool))
	for i, target := range pool {
		backlogMS := 0.0
		if parts > 1 {
			backlogMS = max(0, target.predictState(e).pendingPrefillMS-maxBacklogMS)
		}
		roomMS[i] = max(backlogMS, target.predictRoomMS(e, memory))
	}
	slices.Sort(roomMS)
	return roomMS[parts-1]
}

// bookReturn returns the Retry-After of a request that is refused since the targets have no
// room before roomAt. Callers that are refused together return one after another, each when
// the targets can have worked on the one before.
func (c *Core) bookReturn(a *activeRequest, roomAt time.Duration) time.Duration {
	returnAt := max(c.now+minRetryAfter, roomAt, c.returnsBookedUntil[a.service])
	e, pool := c.engineOf(a), c.candidateTargets(a)
	if returnAt > c.now+maxRetryAfter || e == nil || len(pool) == 0 {
		return maxRetryAfter - time.Duration(c.rng.Int64N(int64(minRetryAfter)))
	}
	// Each instance books for its own callers only: the others' shares lie between.
	spacing := fromMS(e.prefillMS(a.arrival.PromptTokens, 1) / float64(len(pool)) * float64(1+c.peerCount()))
	c.returnsBookedUntil[a.service] = returnAt + min(spacing, maxRetryAfter)
	return min(maxRetryAfter, returnAt-c.now+time.Duration(c.rng.Float64()*float64(min(spacing, minRetryAfter))))
}
