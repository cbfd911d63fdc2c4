package fleet

import (
	"math"
	"time"
)

// Parameters of the opportunity cost of engine time.
const (
	// demandTimeConstant is the time constant of the exponential decay of the
	// demand: bursts last some seconds.
	demandTimeConstant = 5 * time.Second
	// freeUtilization is the utilization of the engines up to which their time costs
	// nothing; from scarceUtilization on it has its full opportunity cost.
	freeUtilization   = 0.5
	scarceUtilization = 0.9
	// saturatedPrefillMS is the pending prefill, in milliseconds, at which an engine
	// counts as fully utilized.
	saturatedPrefillMS = 1000
)

// demand sums up the value of the requests that all instances have recently sent to the
// targets, and the engine time that they take, both decaying exponentially.
type demand struct {
	value, engineTimeMS float64
	longEngineTimeMS    float64 // the part of engineTimeMS for prompts that are not short
	updatedAt           time.Duration
}

// engineTimeMS is the engine time in milliseconds that a request takes: its prefill
// and, for an answer of mean length, its share of the steps with all slots decoding.
func (e *Engine) engineTimeMS(promptTokens int) float64 {
	return e.prefillMS(promptTokens, 1) + e.answerTimeMS()
}

// answerTimeMS is the part of engineTimeMS for the answer.
func (e *Engine) answerTimeMS() float64 {
	return float64(e.MeanAnswerTokens) * e.fullStepMS() / float64(max(1, e.Slots))
}

// recordDemand adds a load at a target, of this instance or a peer, to the demand for its
// service. All instances that hear of the same loads know the same demand.
func (c *Core) recordDemand(service string, load *trackedLoad) {
	if c.config == nil {
		return
	}
	s := c.config.Services[service]
	if s == nil || s.Engine == nil {
		return
	}
	d := c.demands[service]
	if d == nil {
		d = &demand{updatedAt: c.now}
		c.demands[service] = d
	}
	decay := math.Exp(-float64(c.now-d.updatedAt) / float64(demandTimeConstant))
	d.value, d.engineTimeMS, d.longEngineTimeMS, d.updatedAt = d.value*decay, d.engineTimeMS*decay, d.longEngineTimeMS*decay, c.now
	engineTimeMS := load.PrefillMS
	if !load.HelperPart { // the others are parts of the same request
		d.value += load.Value
		engineTimeMS += s.Engine.answerTimeMS()
	}
	d.engineTimeMS += engineTimeMS
	if !load.isShort() {
		d.longEngineTimeMS += engineTimeMS
	}
}

// longDemandShare is the fraction of the recent demand for engine time that comes
// from prompts that are not short.
func (c *Core) longDemandShare(service string) float64 {
	d := c.demands[service]
	if d == nil || d.engineTimeMS == 0 {
		return 0
	}
	return d.longEngineTimeMS / d.engineTimeMS
}

// opportunityCost is the value that other requests lose while the engines work on
// this one. It is zero up to freeUtilization and rises linearly from there.
func (c *Core) opportunityCost(a *activeRequest, e *Engine) float64 {
	d := c.demands[a.service]
	if d == nil || d.engineTimeMS == 0 {
		return 0
	}
	var totalUtilization float64
	pool := c.candidateTargets(a)
	for _, target := range pool {
		target.advancePrefills(c.now)
		state := target.predictState(e)
		totalUtilization += min(1, max(float64(state.requests)/float64(max(1, target.Slots)), state.pendingPrefillMS/saturatedPrefillMS))
	}
	scarcity := (totalUtilization/float64(max(1, len(pool))) - freeUtilization) / (scarceUtilization - freeUtilization)
	return e.engineTimeMS(a.arrival.PromptTokens) * d.value / d.engineTimeMS * (1 - lateValueShare) * min(1, max(0, scarcity))
}
