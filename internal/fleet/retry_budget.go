package fleet

import "time"

// retryWindowSlots is the number of equal slots of the retry window: counts expire
// one slot at a time.
const retryWindowSlots = 10

// retryBudget counts the requests and retries of this instance to one service over
// the retry window. It limits the instance to its share of the retries that all
// instances may make.
type retryBudget struct {
	requests, retries [retryWindowSlots]int
	slot              int64 // number of the current slot since time zero
}

// advance moves to the slot of the present time and clears the expired ones.
func (b *retryBudget) advance(now, window time.Duration) {
	slot := int64(now / (window / retryWindowSlots))
	for b.slot < slot {
		b.slot++
		i := b.slot % retryWindowSlots
		b.requests[i], b.retries[i] = 0, 0
		if slot-b.slot > retryWindowSlots {
			b.slot = slot - retryWindowSlots
		}
	}
}

// totals sums the counts over the window.
func (b *retryBudget) totals() (requests, retries int) {
	for i := range retryWindowSlots {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return requests, retries
}

// currentRetryBudget returns the retry budget of a service, advanced to now.
func (c *Core) currentRetryBudget(service string) *retryBudget {
	b := c.retryBudgets[service]
	if b == nil {
		b = &retryBudget{slot: int64(c.now / (c.opts.RetryWindow / retryWindowSlots))}
		c.retryBudgets[service] = b
	}
	b.advance(c.now, c.opts.RetryWindow)
	return b
}

// countRequest adds a request to the retry budget of its service.
func (c *Core) countRequest(service string) {
	b := c.currentRetryBudget(service)
	b.requests[b.slot%retryWindowSlots]++
}

// hasRetry reports whether the budget of the service has a retry left. The slack is divided
// evenly among the known instances, while the ratio applies to the requests of each.
func (c *Core) hasRetry(service string) bool {
	requests, retries := c.currentRetryBudget(service).totals()
	slackShare := c.opts.RetrySlack / float64(1+c.peerCount())
	return float64(retries+1) <= c.opts.RetryRatio*float64(requests)+slackShare
}

// takeRetry takes one retry from the budget of the service; it returns false if the
// budget is used up.
func (c *Core) takeRetry(service string) bool {
	if !c.hasRetry(service) {
		return false
	}
	b := c.currentRetryBudget(service)
	b.retries[b.slot%retryWindowSlots]++
	return true
}
