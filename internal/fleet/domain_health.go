package fleet

import "time"

// Detection of failure domains that cannot be reached.
const (
	// domainFailureThreshold is the number of a domain's targets with failed
	// connections, without a success in between, from which the whole domain is
	// avoided.
	domainFailureThreshold = 2
	// domainRetryDelay is how long the domain is avoided before a request tries it
	// again.
	domainRetryDelay = time.Second
)

// domainHealth tracks the failed connections to another failure domain.
type domainHealth struct {
	failedTargets map[string]bool // ids of targets that failed since the last success
	avoidUntil    time.Duration
}

// domainUsable reports whether requests may be sent to a failure domain.
func (c *Core) domainUsable(domain string) bool {
	d := c.domains[domain]
	return d == nil || c.now >= d.avoidUntil
}

// recordProbe records that a request is sent to a target. If the target or its
// domain failed before, other requests avoid it meanwhile, so that at most one
// request a second tries it.
func (c *Core) recordProbe(target *targetState) {
	target.health.recordProbe(c.now)
	if d := c.domains[target.FailureDomain]; d != nil && len(d.failedTargets) >= domainFailureThreshold {
		d.avoidUntil = c.now + domainRetryDelay
	}
}

// recordConnectFailure records a failed connection to a target of another failure
// domain. At domainFailureThreshold it avoids the domain for domainRetryDelay.
func (c *Core) recordConnectFailure(target *targetState) {
	if target.FailureDomain == c.opts.FailureDomain {
		return
	}
	d := c.domains[target.FailureDomain]
	if d == nil {
		d = &domainHealth{failedTargets: make(map[string]bool)}
		c.domains[target.FailureDomain] = d
	}
	d.failedTargets[target.ID] = true
	if len(d.failedTargets) >= domainFailureThreshold && c.now >= d.avoidUntil {
		d.avoidUntil = c.now + domainRetryDelay
		c.log("domain-avoided", "domain", target.FailureDomain, "failed_targets", len(d.failedTargets))
		c.replaceSilentAttempts(func(other *targetState) bool { return other.FailureDomain == target.FailureDomain })
	}
}

// recordSuccess records that a target served a request, which ends the avoidance of
// its failure domain.
func (c *Core) recordSuccess(target *targetState) {
	target.health.recordSuccess()
	if d := c.domains[target.FailureDomain]; d != nil {
		if c.now < d.avoidUntil {
			c.log("domain-regained", "domain", target.FailureDomain)
		}
		delete(c.domains, target.FailureDomain)
	}
}
