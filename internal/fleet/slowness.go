package fleet

import (
	"math"
	"slices"
	"time"
)

const (
	// paceWindow is the number of passes from which a target's pace is taken. The third
	// shortest counts: others are longer by a prefill that is not known here.
	paceWindow  = 8
	pacePercent = 2
	// paceWeight is the weight of the newest window: a slow target is known after two.
	paceWeight = 0.6
	// paceTakeover is the time after which another stream takes the place of the one by which
	// the passes are timed.
	paceTakeover = time.Second
	// leastPaced is the number of targets of known pace from which they are compared.
	leastPaced = 3
	// leastSlowness is the deviation from the configured times from which it counts, and
	// maxSlowness bounds it.
	leastSlowness = 0.15
	maxSlowness   = 8
	// slownessMemory is the time constant by which what is no longer observed is forgotten.
	slownessMemory = 10 * time.Second
)

// pace is how fast a target works.
type pace struct {
	timedBy    *trackedLoad // the stream whose events are timed
	timedAt    time.Duration
	wasReading bool // it had prompts to prefill at the last event
	intervals  []float64
	known      bool
	// observedExcess is that of the time of passes over the configured one, as a share, and
	// excess that over the passes of the other targets.
	observedExcess, excess float64
	updatedAt              time.Duration
	observed               bool // here, rather than told by peers
}

// slowness is the factor by which passes of a target take longer than those of others.
func (t *targetState) slowness() float64 {
	if t.pace.excess < leastSlowness {
		return 1
	}
	return 1 + t.pace.excess*math.Exp(-float64(max(0, t.advancedAt-t.pace.updatedAt))/float64(slownessMemory))
}

// stepMS is the configured time of a step with the requests that decode.
func (t *targetState) stepMS(e *Engine) float64 {
	stepMS := e.StepMS
	for _, l := range t.loads {
		if l.firstEventSeen && !l.HelperPart {
			stepMS += e.decodeMS(float64(l.ContextTokens))
		}
	}
	return stepMS
}

// isReading reports whether any prefill is pending at the target.
func (t *targetState) isReading() bool {
	return slices.ContainsFunc(t.loads, func(l *trackedLoad) bool { return !l.firstEventSeen })
}

// observePass learns the pace of a target from the time between two events of a stream.
func (c *Core) observePass(a *activeRequest, interval time.Duration) {
	e := c.engineOf(a)
	if e == nil || len(a.loads) == 0 || !c.usesPredictions() {
		return
	}
	t, stream := a.target, a.loads[0].load
	p := &t.pace
	if p.timedBy != stream {
		if p.timedBy != nil && c.now-p.timedAt < paceTakeover {
			return
		}
		p.timedBy, p.wasReading = stream, true
	}
	wasReading := p.wasReading
	p.timedAt, p.wasReading = c.now, t.isReading()
	if wasReading || p.wasReading {
		return
	}
	p.intervals = append(p.intervals, toMS(interval)/(float64(e.StepsPerPass)*t.stepMS(e)))
	if len(p.intervals) < paceWindow {
		return
	}
	slices.Sort(p.intervals)
	c.learnPace(t, min(maxSlowness, p.intervals[pacePercent])-1, paceWeight)
	p.observed = true
	p.intervals = p.intervals[:0]
}

// learnPace moves the known pace of a target towards an observed excess.
func (c *Core) learnPace(t *targetState, excess, weight float64) {
	was := t.pace.excess >= leastSlowness
	t.pace.observedExcess += weight * (excess - t.pace.observedExcess)
	t.pace.updatedAt, t.pace.known = c.now, true
	t.pace.excess = max(0, (1+t.pace.observedExcess)/(1+max(0, c.commonExcess(t.Service)))-1)
	if is := t.pace.excess >= leastSlowness; is != was {
		event := map[bool]string{true: "target-slow", false: "target-fast"}[is]
		c.log(event, "target", t.ID, "percent", int(100*(1+t.pace.excess)))
		c.incrementCounter("forecast_corrections", event)
	}
}

// commonExcess is the median excess of the targets of a service whose pace is known; infinite
// below leastPaced of them. What all have in common is no matter of a single target, and is
// corrected by the first events.
func (c *Core) commonExcess(service string) float64 {
	var known []float64
	for _, t := range c.serviceTargets(service) {
		if t.pace.known && c.now-t.pace.updatedAt < 2*slownessMemory {
			known = append(known, t.pace.observedExcess)
		}
	}
	if len(known) < leastPaced {
		return math.Inf(1)
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
