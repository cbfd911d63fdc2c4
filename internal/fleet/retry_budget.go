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
	held              int   // retries that are kept for requests, see Core.holdRetries
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

// hasRetries reports whether the budget of the service has that many retries left. The slack
// is divided evenly among the known instances, while the ratio applies to the requests of
// each.
func (c *Core) hasRetries(service string, count int) bool {
	b := c.currentRetryBudget(service)
	requests, retries := b.totals()
	slackShare := c.opts.RetrySlack / float64(1+c.peerCount())
	return float64(retries+b.held+count) <= c.opts.RetryRatio*float64(requests)+slackShare
}

// takeRetry takes one retry from the budget of the service; it returns false if the
// budget is used up.
func (c *Core) takeRetry(service string) bool {
	if !c.hasRetries(service, 1) {
		return false
	}
	b := c.currentRetryBudget(service)
	b.retries[b.slot%retryWindowSlots]++
	return true
}

// takeRequestRetry is takeRetry for a request, which may hold some.
func (c *Core) takeRequestRetry(a *activeRequest) bool {
	if a.heldRetries == 0 {
		return c.takeRetry(a.service)
	}
	b := c.currentRetryBudget(a.service)
	a.heldRetries--
	b.held--
	b.retries[b.slot%retryWindowSlots]++
	return true
}

// holdRetries keeps retries of the budget for a request, in case that its next attempt is
// rejected.
func (c *Core) holdRetries(a *activeRequest, count int) {
	if count == a.heldRetries {
		return
	}
	c.currentRetryBudget(a.service).held += count - a.heldRetries
	a.heldRetries = count
}
