package fleet

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// Targets whose weights have not the version that a request expects.
const (
	// lackedWeightsTime is how long a target that has denied to have a version of the
	// weights is not asked for it, unless its entry names another version before.
	lackedWeightsTime = 5 * time.Second
	// maxLackedWeights bounds the versions remembered of one target, which callers choose.
	maxLackedWeights = 8
	// noWeightsRetryAfter is the Retry-After of requests for a version that no target has.
	noWeightsRetryAfter = lackedWeightsTime
)

// mayHaveWeights reports whether the weights of a target may have a version, as far as its
// newest word on it goes. Any target serves requests that expect none.
func (c *Core) mayHaveWeights(target *targetState, version string) bool {
	if version == "" {
		return true
	}
	if deniedAt, denied := target.lackedWeights[version]; denied && c.now-deniedAt < lackedWeightsTime {
		return false
	}
	return target.WeightsVersion == "" || target.WeightsVersion == version
}

// lacksWeights reports whether there are targets of the request's service, of which none has
// the version of the weights that it expects.
func (c *Core) lacksWeights(a *activeRequest) bool {
	lacks := false
	for _, target := range c.serviceTargets(a.service) {
		if target.gone || target.leaving {
			continue
		}
		if c.mayHaveWeights(target, a.arrival.WeightsVersion) {
			return false
		}
		lacks = true
	}
	return lacks
}

// updateWeights records the version of the weights that a target or its entry names.
func (t *targetState) updateWeights(version string) {
	if version != t.WeightsVersion {
		t.WeightsVersion, t.lackedWeights = version, nil
	}
}

// handleOtherWeights places a request elsewhere that expects another version of the weights
// than its target has. This says nothing of other requests. Only targets that name the
// version are asked then: the budget for retries is everybody's.
func (c *Core) handleOtherWeights(a *activeRequest, ev AttemptEnd) {
	target, version := a.targetAtFault(ev), a.arrival.WeightsVersion
	c.log("other-weights", "request", a.arrival.ID, "target", target.ID, "expected", version, "listed", target.WeightsVersion, "answered", ev.WeightsVersion)
	if ev.WeightsVersion != "" && target == a.target {
		target.updateWeights(ev.WeightsVersion)
	}
	c.recordLackedWeights(target, version)
	c.dropColdSend(a)
	a.triedTargets = append(a.triedTargets, target.ID)
	c.removeAttemptLoads(a)
	a.attemptsNotRun++
	a.arrivedAtTarget = true
	for _, other := range c.candidateTargets(a) {
		if other.WeightsVersion == version && c.isUsable(a, other) {
			c.retryOrFail(a, ev.Outcome.String())
			return
		}
	}
	c.refuseOrFail(a, result.NoWeights, noWeightsRetryAfter)
}

// recordLackedWeights records that a target has denied to have a version of the weights.
func (c *Core) recordLackedWeights(target *targetState, version string) {
	if target.lackedWeights == nil || len(target.lackedWeights) >= maxLackedWeights {
		target.lackedWeights = make(map[string]time.Duration)
	}
	target.lackedWeights[version] = c.now
}
