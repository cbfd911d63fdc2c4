package fleet

import (
	"math"
	"time"
)

// Bounds of the price of an engine's time.
const (
	// demandMemory is the time constant of the measured demand: bursts last some
	// seconds.
	demandMemory = 5 * time.Second
	// idleShare is the share of the engines' time in use up to which it costs
	// nothing, and fullShare that from which all of it is missed by others.
	idleShare = 0.5
	fullShare = 0.9
	// busyReadingMS is the reading that waits at an engine that is fully in use.
	busyReadingMS = 1000
)

// demand is the value of recent requests against the engine time they take.
type demand struct {
	value, workMS float64
	longMS        float64 // of workMS, for prompts that are not short
	at            time.Duration
}

// workMS is the engine time that a request takes: its reading, and its share of
// the steps in which all slots write.
func (e *Engine) workMS(promptTokens int) float64 {
	step := e.StepMS + float64(e.Slots)*e.writerMS(float64(e.UsualPrompt))
	return e.readMS(promptTokens, 1) + float64(e.UsualAnswer)*step/float64(max(1, e.Slots))
}

// demanded takes a request into the demand for its service.
func (c *Core) demanded(a *active, e *Engine) {
	d := c.demands[a.service]
	if d == nil {
		d = &demand{at: c.now}
		c.demands[a.service] = d
	}
	decay := math.Exp(-float64(c.now-d.at) / float64(demandMemory))
	d.value = d.value*decay + a.value
	work := e.workMS(a.arrive.PromptTokens)
	d.workMS = d.workMS*decay + work
	d.longMS *= decay
	if e.readMS(a.arrive.PromptTokens, 1) >= a.shortMS() {
		d.longMS += work
	}
	d.at = c.now
}

// longShare is the share of the recent demand for engine time that comes from
// prompts that are not short.
func (c *Core) longShare(service string) float64 {
	d := c.demands[service]
	if d == nil || d.workMS == 0 {
		return 0
	}
	return d.longMS / d.workMS
}

// price is the value that others lose while the engines work on the request:
// nothing while much of their time is free.
func (c *Core) price(a *active, e *Engine) float64 {
	d := c.demands[a.service]
	if d == nil || d.workMS == 0 {
		return 0
	}
	var used float64
	pool := c.candidates(a)
	for _, r := range pool {
		r.advance(c.now)
		l := r.loadOf(e)
		used += min(1, max(float64(l.requests)/float64(max(1, r.Slots)), l.unread/busyReadingMS))
	}
	scarcity := (used/float64(max(1, len(pool))) - idleShare) / (fullShare - idleShare)
	return e.workMS(a.arrive.PromptTokens) * d.value / d.workMS * (1 - lateShare) * min(1, max(0, scarcity))
}

// Bounds of the learnt error of predictions.
const (
	// errorWeight is the weight of the newest first event.
	errorWeight = 0.05
	// minError and maxError bound what a few odd targets can teach.
	minError, maxError = 0.8, 1.6
)

// learnFirstEvent compares the first event of an attempt with its prediction.
func (c *Core) learnFirstEvent(a *active) {
	if a.predictedMS <= 0 || c.engine(a) == nil {
		return
	}
	ratio := min(maxError, max(minError, ms(c.now-a.sentAt)/a.predictedMS))
	c.errors[a.service] = c.predictionError(a.service)*(1-errorWeight) + errorWeight*ratio
}

// predictionError is the mean of the times to the first event against what the
// model says without it.
func (c *Core) predictionError(service string) float64 {
	if e, ok := c.errors[service]; ok {
		return e
	}
	return 1
}
