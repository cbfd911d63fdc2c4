package fleet

import (
	"math"
	"time"
)

const (
	// prefillMemory is for how long at least the longest recent prefill is remembered.
	prefillMemory = 15 * time.Second
	// maxPrefillShare bounds the share of a target's time that prefills are expected to take.
	maxPrefillShare = 0.9
)

// prefillDemand sums up the prefills that all instances have recently sent to the targets of a
// service.
type prefillDemand struct {
	recentMS  float64 // decays with demandTimeConstant
	updatedAt time.Duration
	// longestMS is the longest prefill of one load since periodBegan, formerMS that of the
	// period before.
	longestMS, formerMS float64
	periodBegan         time.Duration
}

// advance brings the sums up to now.
func (d *prefillDemand) advance(now time.Duration) {
	d.recentMS *= math.Exp(-float64(now-d.updatedAt) / float64(demandTimeConstant))
	d.updatedAt = now
	switch elapsed := now - d.periodBegan; {
	case elapsed >= 2*prefillMemory:
		d.longestMS, d.formerMS, d.periodBegan = 0, 0, now
	case elapsed >= prefillMemory:
		d.longestMS, d.formerMS, d.periodBegan = 0, d.longestMS, now
	}
}

// recordPrefill adds the prefill of a load to the demand for its service. One that was sent a
// while ago only shows how long prefills are.
func (c *Core) recordPrefill(service string, load *trackedLoad, recent bool) {
	d := c.prefillDemands[service]
	if d == nil {
		d = &prefillDemand{updatedAt: c.now, periodBegan: c.now}
		c.prefillDemands[service] = d
	}
	d.advance(c.now)
	d.longestMS = max(d.longestMS, load.PrefillMS)
	if recent {
		d.recentMS += load.PrefillMS
	}
}

// withOtherPrefills returns the time that an answer takes if others' prompts, of which this
// instance does not know yet, are prefilled between its tokens: their usual share of a target's
// time, and one of the longest beyond that.
func (c *Core) withOtherPrefills(service string, answer time.Duration) time.Duration {
	d := c.prefillDemands[service]
	if d == nil {
		return answer
	}
	d.advance(c.now)
	targets, domain := 0, c.gossipDomain()
	for _, target := range c.serviceTargets(service) {
		if target.takesWork() && c.followsLoads(domain, target) {
			targets++
		}
	}
	share := d.recentMS / toMS(demandTimeConstant) / float64(max(1, targets))
	return fromMS((toMS(answer) + max(d.longestMS, d.formerMS)) / (1 - min(maxPrefillShare, share)))
}
