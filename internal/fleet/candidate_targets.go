package fleet

import "slices"

// candidateTargets returns the targets that may run the request. Targets whose loads
// this instance does not follow are returned only if there are no others; after
// them those that failed the request before, or that are avoided because of their own
// health or that of their failure domain.
func (c *Core) candidateTargets(a *activeRequest) []*targetState {
	var preferred, unfollowed, avoided []*targetState
	domain := c.gossipDomain()
	for _, target := range c.serviceTargets(a.service) {
		switch {
		case !target.takesWork() || c.isEvacuated(target.FailureDomain) || !c.mayHaveWeights(target, a.arrival.WeightsVersion) || !c.limitAllows(target) || !c.quietAllows(target) || !c.coldAllows(target):
		case !c.isUsable(a, target):
			avoided = append(avoided, target)
		case !c.followsLoads(domain, target):
			unfollowed = append(unfollowed, target)
		default:
			preferred = append(preferred, target)
		}
	}
	switch {
	case len(preferred) > 0:
		return preferred
	case len(unfollowed) > 0:
		return unfollowed
	default:
		return avoided
	}
}

// isUsable reports whether a target is not avoided for the request.
func (c *Core) isUsable(a *activeRequest, target *targetState) bool {
	return target.health.usable(c.now) && c.domainUsable(target.FailureDomain) && !slices.Contains(a.triedTargets, target.ID) &&
		(target.FailureDomain == c.opts.FailureDomain || target.FailureDomain != a.unreachableDomain && !a.ownDomainOnly)
}

// outsideBrokenDomains returns the targets with a free slot in failure domains where no
// connection of the request broke, or all of the pool if there are none. What ended a
// target may end its neighbours, and a request that ends targets in several domains shows
// itself.
func (a *activeRequest) outsideBrokenDomains(pool []*targetState) []*targetState {
	if len(a.brokenDomains) == 0 {
		return pool
	}
	others := selectFunc(pool, func(target *targetState) bool {
		return len(target.loads) < target.Slots && !slices.Contains(a.brokenDomains, target.FailureDomain)
	})
	if len(others) == 0 {
		return pool
	}
	return others
}

// brokenDomainCost is the cost of a target in a failure domain where a connection of the
// request broke, as a share of the request's value.
func (a *activeRequest) brokenDomainCost(target *targetState) float64 {
	if slices.Contains(a.brokenDomains, target.FailureDomain) {
		return brokenDomainCost
	}
	return 0
}

// localTargets returns the targets of this instance's failure domain that use less
// than half of their slots, or all of the pool if there are none. A request that
// stays in its domain is not hit by a cut between domains.
func (c *Core) localTargets(pool []*targetState) []*targetState {
	local := selectFunc(pool, func(target *targetState) bool {
		return target.FailureDomain == c.opts.FailureDomain && 2*len(target.loads) < target.Slots
	})
	if len(local) == 0 {
		return pool
	}
	return local
}
