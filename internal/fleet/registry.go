package fleet

import "time"

// storeSettle is the time after the store's return in which entries that lapsed
// while it was away come back; one that is missing later is gone.
const storeSettle = 2100 * time.Millisecond

// storeState is what this instance knows of the platform's store.
type storeState struct {
	reachable bool
	// settledAt is when removals count again.
	settledAt time.Duration
	// unlisted holds targets that were removed before settledAt.
	unlisted map[string]bool
}

func (c *Core) storeSeen(reachable bool) {
	if reachable == c.store.reachable {
		return
	}
	c.store.reachable = reachable
	if !reachable {
		c.log("store-lost")
		return
	}
	c.log("store-regained")
	c.store.settledAt = c.now + storeSettle
	c.store.unlisted = make(map[string]bool)
	c.after(storeSettle, c.settle)
}

// settle takes the removals seen since the store's return as final.
func (c *Core) settle() {
	if !c.store.reachable || c.now < c.store.settledAt {
		return
	}
	for id := range c.store.unlisted {
		c.forget(id, "not-listed-again")
	}
	c.store.unlisted = nil
}

func (c *Core) listed(t Target) {
	delete(c.store.unlisted, t.ID)
	old := c.runners[t.ID]
	if old != nil && (old.StartedMS != t.StartedMS || old.Address != t.Address || old.Service != t.Service) {
		// The same id after a restart: nothing of before holds.
		c.dropRunner(old)
		old = nil
	}
	if old == nil {
		c.sameAddress(t)
		r := &runner{Target: t, advancedAt: c.now, leaving: t.State == Draining}
		c.runners[t.ID] = r
		c.indexRunner(r)
		c.log("target-listed", "target", t.ID, "service", t.Service, "address", t.Address, "domain", t.Domain)
		return
	}
	old.Slots = t.Slots
	if t.State == Draining && !old.leaving {
		c.leaves(old, "draining")
	}
	if t.State == Ready && old.gone { // listed again after a lapse
		old.gone = false
		c.log("target-listed-again", "target", t.ID)
	}
}

// sameAddress ends the use of an earlier incarnation at the address.
func (c *Core) sameAddress(t Target) {
	for _, r := range c.runners {
		if r.Address == t.Address && r.ID != t.ID && !r.gone {
			r.gone = true
			c.log("target-replaced", "target", r.ID, "by", t.ID, "address", t.Address)
		}
	}
}

func (c *Core) leaves(r *runner, why string) {
	r.leaving = true
	c.outbox.left = append(c.outbox.left, r.ID)
	c.shareSoon()
	c.log("target-leaving", "target", r.ID, "why", why)
}

func (c *Core) removed(id string) {
	if c.store.unlisted != nil {
		c.store.unlisted[id] = true
		return
	}
	c.forget(id, "removed")
}

func (c *Core) forget(id, why string) {
	r := c.runners[id]
	if r == nil {
		return
	}
	c.log("target-gone", "target", id, "why", why)
	r.gone = true
	if len(r.flights) == 0 {
		c.dropRunner(r)
	}
}

// list takes the platform's whole list: what it lacks is removed.
func (c *Core) list(targets []Target) {
	present := make(map[string]bool, len(targets))
	for _, t := range targets {
		present[t.ID] = true
		c.listed(t)
	}
	for _, pool := range c.byService {
		for _, r := range append([]*runner(nil), pool...) {
			if !present[r.ID] && !r.gone {
				c.removed(r.ID)
			}
		}
	}
}
