package fleet

// LeavingStatement says whether a target's answer says that the target leaves.
type LeavingStatement uint8

// Statements about leaving.
const (
	// LeavingUnsaid means that the answer says nothing of it.
	LeavingUnsaid LeavingStatement = iota
	// LeavingSaid means that the target ends what runs there and takes nothing new.
	LeavingSaid
	// LeavingUnreadable means that what the answer says is not understood.
	LeavingUnreadable
)

// Leaving is what a target's answer says of the target's leaving.
type Leaving struct {
	Statement LeavingStatement
	// Text is a statement that is not understood, for the log.
	Text string
}

// LeavingStated delivers what any answer of a target says of its leaving, as soon as the
// head of the answer is read.
type LeavingStated struct {
	Target  Target
	Leaving Leaving
}

func (LeavingStated) fleetEvent() {}

// StorePosition is a moment in the life of the platform's store. Revisions are counted
// within an era, which begins when the store is restored from a copy.
type StorePosition struct{ Era, Revision uint64 }

// noEra is the era that peers name which know of none.
const noEra = 0

// leavingSource is by whose word a target leaves. A later one outweighs those before.
type leavingSource uint8

const (
	leavingToldByPeer leavingSource = iota
	leavingListed
	leavingSaidSo
)

var leavingSourceNames = [...]string{"told-by-peer", "listed", "said-so"}

func (s leavingSource) String() string { return leavingSourceNames[s] }

// handleLeavingStated marks a target that says in an answer that it leaves. What one
// incarnation says holds for no other.
func (c *Core) handleLeavingStated(ev LeavingStated) {
	target := c.targets[ev.Target.ID]
	isListed := target != nil && target.StartedMS == ev.Target.StartedMS
	switch ev.Leaving.Statement {
	case LeavingSaid:
		c.rememberLeaving(ev.Target.incarnation())
		if isListed {
			c.markLeaving(target, leavingSaidSo)
		}
	case LeavingUnreadable:
		if isListed && !target.unreadableLeavingLogged {
			target.unreadableLeavingLogged = true
			c.log("target-leaving-unreadable", "target", target.ID, "text", ev.Leaving.Text)
		}
	}
}

// rememberLeaving remembers that a target has said that it leaves, and forgets others that
// have not been listed for departureMemory.
func (c *Core) rememberLeaving(leaver incarnation) {
	for other, at := range c.saidLeaving {
		if target := c.targets[other.id]; c.now-at > departureMemory && (target == nil || target.StartedMS != other.startedMS) {
			delete(c.saidLeaving, other)
		}
	}
	c.saidLeaving[leaver] = c.now
}

// hasSaidLeaving reports whether a target is known to have said that it leaves.
func (c *Core) hasSaidLeaving(t Target) bool {
	_, ok := c.saidLeaving[t.incarnation()]
	return ok
}

// markLeaving stops sending new requests to a target. The peers are told at once unless one
// of them has told it, which all of them have heard.
func (c *Core) markLeaving(target *targetState, by leavingSource) {
	if target.leaving && target.leavingBy >= by {
		return
	}
	isNews := !target.leaving && by != leavingToldByPeer
	target.leaving, target.leavingBy = true, by
	c.log("target-leaving", "target", target.ID, "service", target.Service, "why", by.String())
	c.incrementCounter("targets_leaving", by.String())
	if isNews {
		c.outbox.leavingTargets = append(c.outbox.leavingTargets, target.leavingTarget())
		c.scheduleGossip()
	}
}

// markListedLeaving marks a target whose entry says that it drains, or that has said before
// that it leaves.
func (c *Core) markListedLeaving(target *targetState, state State) {
	if c.hasSaidLeaving(target.Target) {
		c.markLeaving(target, leavingSaidSo)
	} else if state == Draining {
		c.markLeaving(target, leavingListed)
	}
}

// markLeavingByOlderPeer marks a target that a peer reports as leaving whose build names
// targets by their ids alone: if it has not read the present entry, it may mean an earlier
// incarnation.
func (c *Core) markLeavingByOlderPeer(id string, read StorePosition) {
	target := c.targets[id]
	if target == nil || read.Revision < target.Listed.Revision || read.Era != target.Listed.Era && read.Era != noEra {
		return
	}
	c.markLeaving(target, leavingToldByPeer)
}

// tellsLeaving reports whether the peers are told that a target leaves.
func (c *Core) tellsLeaving(leaving LeavingTarget) bool {
	target := c.targets[leaving.ID]
	return target != nil && target.StartedMS == leaving.StartedMS && target.leaving && !target.gone
}

// takesWork reports whether a target may get anything new.
func (t *targetState) takesWork() bool { return !t.leaving && !t.gone }
