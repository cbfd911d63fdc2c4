package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// removalDelay is the time after a store outage in which targets whose entries
	// expired during the outage register again. A target that is still missing
	// afterwards is gone.
	removalDelay = 2100 * time.Millisecond
	// departureMemory is how long a target that has left is remembered: longer than the
	// age of a copy from which the store is restored.
	departureMemory = 5 * time.Minute
)

// storeState is what this instance knows of the platform's store.
type storeState struct {
	reachable bool
	// removalsFinalAt is the time from which removals take effect at once again.
	removalsFinalAt time.Duration
	// pendingRemovals holds the ids of the targets that were removed before
	// removalsFinalAt; nil when removals take effect at once.
	pendingRemovals map[string]bool
	// departed holds the targets that are known to have left, and when that became known.
	departed map[incarnation]time.Duration
}

// setStoreReachable records whether the store is reachable. When it is reachable
// again, removals are deferred for removalDelay.
func (c *Core) setStoreReachable(reachable bool) {
	if reachable == c.store.reachable {
		return
	}
	c.store.reachable = reachable
	if !reachable {
		c.log("store-lost")
		return
	}
	c.log("store-regained")
	c.deferRemovals()
}

// deferRemovals lets removals take effect only in removalDelay, for targets that have not
// been listed again by then.
func (c *Core) deferRemovals() {
	c.store.removalsFinalAt = c.now + removalDelay
	c.store.pendingRemovals = make(map[string]bool)
	c.afterFunc(removalDelay, c.applyPendingRemovals)
}

// applyPendingRemovals marks the targets as gone that were removed since the store
// became reachable again and have not been listed since.
func (c *Core) applyPendingRemovals() {
	if !c.store.reachable || c.now < c.store.removalsFinalAt {
		return
	}
	for id := range c.store.pendingRemovals {
		c.markGone(id, "not-listed-again")
	}
	c.store.pendingRemovals = nil
}

// updateTarget adds a listed target, replaces an earlier incarnation of it, or takes
// over its changes.
func (c *Core) updateTarget(t Target) {
	known := c.targets[t.ID]
	isEarlierStart := known != nil && known.StartedMS > t.StartedMS
	if t.Outdated && (c.hasDeparted(t) || isEarlierStart) || isEarlierStart && c.hasSaidLeaving(t) {
		return
	}
	delete(c.store.pendingRemovals, t.ID)
	delete(c.store.departed, t.incarnation())
	if known != nil && (known.StartedMS != t.StartedMS || known.Address != t.Address || known.Service != t.Service) {
		// The same id after a restart: the earlier loads and health do not apply.
		c.deleteTarget(known)
		known = nil
	}
	if known == nil {
		c.markAddressReused(t)
		replaced := c.isReplaced(t)
		target := &targetState{Target: t, advancedAt: c.now, gone: replaced, replaced: replaced, quiet: c.quiets[t.incarnation()], cold: c.colds[t.incarnation()]}
		if target.cold != nil {
			target.coldSends = target.cold.coldSendLog
		}
		c.targets[t.ID] = target
		c.addTarget(target)
		c.log("target-listed", "target", t.ID, "service", t.Service, "address", t.Address, "domain", t.FailureDomain)
		c.markListedLeaving(target, t.State)
		c.applyColdEntry(target, t)
		c.checkNewTarget(target)
		return
	}
	known.Slots = t.Slots
	known.updateWeights(t.WeightsVersion)
	if t.Listed.Era > known.Listed.Era {
		known.Listed = t.Listed
	}
	c.markListedLeaving(known, t.State)
	c.applyColdEntry(known, t)
	if t.State == Ready && known.gone && !c.isReplaced(t) { // listed again after its entry expired
		known.gone, known.replaced = false, false
		c.log("target-listed-again", "target", t.ID)
	}
}

// recordPresence records that a target has answered under its id at an address, which
// contradicts an entry that names another one there.
func (c *Core) recordPresence(id, address string) {
	target := c.targets[id]
	if target == nil || !target.replaced || target.Address != address {
		return
	}
	target.gone, target.replaced = false, false
	delete(c.store.departed, target.incarnation())
	c.log("target-present", "target", id, "address", address)
}

// isReplaced reports whether a target that started later has the address of t, whose
// entry is then a leftover in a list that a peer or the store held.
func (c *Core) isReplaced(t Target) bool {
	for _, target := range c.targets {
		if target.Address == t.Address && target.ID != t.ID && !target.gone && target.StartedMS > t.StartedMS && c.isOfKnownService(target.Target) {
			return true
		}
	}
	return false
}

// isOfKnownService reports whether the configuration names the service of a target. Other
// entries say nothing of an address: nobody sends requests to what they name.
func (c *Core) isOfKnownService(t Target) bool {
	return c.config != nil && c.config.Services[t.Service] != nil
}

// applyKnownServices marks the targets as replaced whose address belongs to a later one of a
// service that the configuration names since former.
func (c *Core) applyKnownServices(former *Config) {
	byAddress := make(map[string][]*targetState)
	for _, target := range c.targets {
		byAddress[target.Address] = append(byAddress[target.Address], target)
	}
	for _, targets := range byAddress {
		if len(targets) == 1 {
			continue
		}
		slices.SortFunc(targets, func(a, b *targetState) int { return strings.Compare(a.ID, b.ID) })
		for _, target := range targets {
			isNew := former == nil || former.Services[target.Service] == nil
			if isNew && !target.gone {
				c.markAddressReused(target.Target)
			}
		}
	}
}

// markAddressReused marks the targets with the address of t that started no later as
// gone: the address now belongs to t.
func (c *Core) markAddressReused(t Target) {
	if !c.isOfKnownService(t) {
		return
	}
	for _, target := range c.targets {
		if target.Address == t.Address && target.ID != t.ID && !target.gone && target.StartedMS <= t.StartedMS {
			c.setGone(target)
			target.replaced = true
			c.log("target-replaced", "target", target.ID, "by", t.ID, "address", t.Address)
		}
	}
}

// removeTarget marks a target as gone that is no longer listed, or defers this while
// removals are pending after a store outage.
func (c *Core) removeTarget(id string) {
	if c.store.pendingRemovals != nil {
		c.store.pendingRemovals[id] = true
		return
	}
	c.markGone(id, "removed")
}

// markGone marks a target that is no longer listed, so that no more requests are sent
// to it. A target without loads is deleted at once, others when their last load ends.
func (c *Core) markGone(id, why string) {
	target := c.targets[id]
	if target == nil {
		return
	}
	c.log("target-gone", "target", id, "why", why)
	c.setGone(target)
	if len(target.loads) == 0 {
		c.deleteTarget(target)
	}
}

// setGone marks a target as gone and remembers that it has left.
func (c *Core) setGone(target *targetState) {
	target.gone, target.replaced = true, false
	for left, at := range c.store.departed {
		if c.now-at > departureMemory {
			delete(c.store.departed, left)
		}
	}
	c.store.departed[target.incarnation()] = c.now
}

// hasDeparted reports whether a target is known to have left.
func (c *Core) hasDeparted(t Target) bool {
	_, ok := c.store.departed[t.incarnation()]
	return ok
}

// syncTargets applies the platform's whole list: targets that it lacks are removed.
func (c *Core) syncTargets(list TargetList) {
	listedIDs := make(map[string]bool, len(list.Targets))
	for _, id := range list.Unreadable {
		listedIDs[id] = true
	}
	for _, t := range list.Targets {
		listedIDs[t.ID] = true
		c.updateTarget(t)
	}
	for _, pool := range c.targetsByService {
		for _, target := range append([]*targetState(nil), pool...) {
			if !listedIDs[target.ID] && (!target.gone || target.replaced) {
				c.removeTarget(target.ID)
			}
		}
	}
}
