package fleet

import "time"

// budgetSlots divides the retry window, so that old counts leave in steps.
const budgetSlots = 10

// budget bounds the repeated sends to one service by this instance: its share of
// what all instances may send.
type budget struct {
	requests, repeats [budgetSlots]int
	slot              int64
}

func (b *budget) turn(now, window time.Duration) {
	slot := int64(now / (window / budgetSlots))
	for b.slot < slot {
		b.slot++
		i := b.slot % budgetSlots
		b.requests[i], b.repeats[i] = 0, 0
		if slot-b.slot > budgetSlots {
			b.slot = slot - budgetSlots
		}
	}
}

func (b *budget) sums() (requests, repeats int) {
	for i := range budgetSlots {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return requests, repeats
}

func (c *Core) budgetOf(service string) *budget {
	b := c.budgets[service]
	if b == nil {
		b = &budget{slot: int64(c.now / (c.opts.RetryWindow / budgetSlots))}
		c.budgets[service] = b
	}
	b.turn(c.now, c.opts.RetryWindow)
	return b
}

func (c *Core) countRequest(service string) {
	b := c.budgetOf(service)
	b.requests[b.slot%budgetSlots]++
}

// takeRepeat takes one repeated send from the budget, or reports that it is
// used up.
func (c *Core) takeRepeat(service string) bool {
	b := c.budgetOf(service)
	requests, repeats := b.sums()
	share := c.opts.RetrySlack / float64(1+c.knownPeers())
	if float64(repeats+1) > c.opts.RetryRatio*float64(requests)+share {
		return false
	}
	b.repeats[b.slot%budgetSlots]++
	return true
}
