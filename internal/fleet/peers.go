package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Timing and limits of the gossip between instances.
const (
	// gossipDelay batches changes that occur close together into one message.
	gossipDelay = 3 * time.Millisecond
	// fullGossipInterval is the time between messages with all loads, which repair
	// the loss of earlier messages.
	fullGossipInterval = time.Second
	// peerLoadTimeout is the time after which the loads of a silent peer are dropped.
	peerLoadTimeout = 3 * fullGossipInterval
	// maxFullGossipPeers is the number of peers up to which every peer is sent every
	// change. Above it, the loads at a target are known in two failure domains
	// only; see followsLoads.
	maxFullGossipPeers = 40
	// peerExpiry is the time after which a silent peer no longer counts among the
	// instances that share the retry budget.
	peerExpiry = 30 * time.Second
)

// Gossip is the state that instances send one another. It states facts rather than
// increments, so that a later message repairs the loss of an earlier one. It travels
// as an array, in the order of the fields.
type Gossip struct {
	_ struct{} `cbor:",toarray"`
	// Joining says that the sender has just started and asks the peers for their
	// loads.
	Joining bool
	// Full says that Loads are all of the sender's loads at the targets that the
	// recipient follows.
	Full bool
	// Loads are new or changed loads.
	Loads []TargetLoad
	// FirstEvents and EndedLoads are the keys of loads whose first event came, or that
	// ended.
	FirstEvents, EndedLoads []uint64
	// FailedTargets lists the ids of targets at which a request failed without an
	// answer.
	FailedTargets []string
	// News is nil if there is none.
	News *News
	// LeavingTargets lists the ids of targets that are leaving, in messages from builds
	// that do not send Leaving.
	LeavingTargets []string
	// Leaving lists the incarnations of targets that are leaving.
	Leaving []LeavingTarget
}

// LeavingTarget is an incarnation of a target that is leaving.
type LeavingTarget struct {
	_ struct{} `cbor:",toarray"`
	// ID and StartedMS are those of the Target.
	ID        string
	StartedMS int64
}

func (g *Gossip) isEmpty() bool {
	return !g.Full && len(g.Loads)+len(g.FirstEvents)+len(g.EndedLoads)+len(g.FailedTargets)+len(g.Leaving) == 0 && g.News == nil
}

// peer is another instance.
type peer struct {
	domain        string
	lastMessageAt time.Duration
	processes     map[uint64]*peerProcess // by incarnation
	// relayAddress is where the peer serves requests of others. relayFailures are the times
	// at which it last could not, by service.
	relayAddress  string
	relayUnproven bool // see PeerGossip
	relayFailures map[string]time.Duration
}

// outbox collects the changes for the next messages to the peers.
type outbox struct {
	pending           Gossip
	changedAt         map[uint64]*targetState // the targets of the changed loads, by TargetLoad.Key
	leavingTargets    []LeavingTarget
	scheduled         bool // the timer of gossipDelay is running
	due               bool // the timer has expired
	fullGossipStarted bool // the periodic full messages have been started
}

func (c *Core) peerCount() int { return len(c.peers) }

// scheduleGossip schedules the next message to the peers.
func (c *Core) scheduleGossip() {
	if c.outbox.scheduled {
		return
	}
	c.outbox.scheduled = true
	c.afterFunc(gossipDelay, func() { c.outbox.scheduled, c.outbox.due = false, true })
}

// emitGossip emits the pending changes if they are due. The first call starts the
// periodic full messages and asks the peers for their loads.
func (c *Core) emitGossip() {
	if !c.outbox.fullGossipStarted {
		c.outbox.fullGossipStarted = true
		c.roster.start(c.now)
		c.emitFullGossip()
		c.emit(SendGossip{Gossip: Gossip{Joining: true, Full: true}})
	}
	if !c.outbox.due {
		return
	}
	c.outbox.due = false
	for _, domain := range c.gossipDomains() {
		if g := c.pendingGossip(domain); !g.isEmpty() {
			c.emit(SendGossip{Domain: domain, Gossip: g})
		}
	}
	c.outbox.clear()
}

// clear removes the pending changes once they have been sent.
func (o *outbox) clear() {
	o.pending, o.leavingTargets = Gossip{}, nil
	clear(o.changedAt)
}

// recordChange records which target a pending change of a load concerns.
func (o *outbox) recordChange(key uint64, target *targetState) {
	if o.changedAt == nil {
		o.changedAt = make(map[uint64]*targetState)
	}
	o.changedAt[key] = target
}

// pendingGossip returns the pending changes at the targets that the domain follows,
// and the pending warnings.
func (c *Core) pendingGossip(domain string) Gossip {
	g := c.outbox.pending
	told := func(key uint64) bool { return c.isTold(domain, c.outbox.changedAt[key]) }
	g.Loads = selectFunc(g.Loads, func(load TargetLoad) bool { return told(load.Key) })
	g.FirstEvents = selectFunc(g.FirstEvents, told)
	g.EndedLoads = selectFunc(g.EndedLoads, told)
	g.Leaving = selectFunc(c.outbox.leavingTargets, c.tellsLeaving)
	return g
}

// selectFunc returns the items for which keep returns true.
func selectFunc[T any](items []T, keep func(T) bool) []T {
	var selected []T
	for _, item := range items {
		if keep(item) {
			selected = append(selected, item)
		}
	}
	return selected
}

// emitFullGossip emits messages with all loads, schedules the next ones, and drops
// the loads of silent peers.
func (c *Core) emitFullGossip() {
	c.afterFunc(fullGossipInterval, c.emitFullGossip)
	costs := c.turnCostReports()
	for _, domain := range c.gossipDomains() {
		g := c.fullGossip(domain)
		g.addCosts(costs)
		g.FailedTargets = c.outbox.pending.FailedTargets
		if pending := c.outbox.pending.News; pending != nil {
			g.addSurvivals(pending.Survivals...)
		}
		c.emit(SendGossip{Domain: domain, Gossip: g})
	}
	c.outbox.clear()
	for name, p := range c.peers {
		c.expireProcesses(p)
		if c.now-p.lastMessageAt > peerExpiry {
			delete(c.peers, name)
			c.updateInstanceDomains()
		}
	}
}

// fullGossip returns a message with all loads of this instance at the targets that
// the domain follows, and with the leaving targets.
func (c *Core) fullGossip(domain string) Gossip {
	g := Gossip{Full: true}
	for _, target := range c.targets {
		for _, tracked := range target.loads {
			if tracked.owner.isSelf() && c.isTold(domain, target) {
				load := tracked.TargetLoad
				load.AgeMS = int(toMS(c.now - tracked.addedAt))
				load.FirstEventSeen = tracked.firstEventSeen
				g.Loads = append(g.Loads, load)
			}
		}
		if leaving := target.leavingTarget(); c.tellsLeaving(leaving) {
			g.Leaving = append(g.Leaving, leaving)
		}
	}
	c.stateNews(&g)
	slices.SortFunc(g.Loads, func(a, b TargetLoad) int { return int(int64(a.Key) - int64(b.Key)) })
	slices.SortFunc(g.Leaving, func(a, b LeavingTarget) int { return cmp.Compare(a.ID, b.ID) })
	return g
}

// handlePeerGossip applies a message from a peer. A peer that is new, or that asks for
// it, is answered by a full message.
func (c *Core) handlePeerGossip(ev PeerGossip) {
	p := c.peers[ev.From]
	isNew := p == nil
	if isNew {
		p = &peer{domain: ev.Domain, processes: make(map[uint64]*peerProcess)}
		c.peers[ev.From] = p
		c.updateInstanceDomains()
		c.log("peer-found", "peer", ev.From, "domain", ev.Domain)
	}
	if isNew || ev.Gossip.Joining {
		g := c.fullGossip(c.gossipDomainOf(p))
		g.addCosts(c.joinerCostReports())
		c.emit(SendGossip{Peer: ev.From, Gossip: g})
	}
	p.lastMessageAt, p.relayAddress, p.relayUnproven = c.now, ev.RelayAddress, ev.RelayUnproven
	process := c.peerProcess(p, &ev)
	c.applyPeerLoads(p, process, &ev.Gossip)
	c.applyWaiting(process, &ev.Gossip)
	c.applyPeerWarnings(&ev)
	if ev.Gossip.News != nil {
		c.applyNews(ev.From, ev.Gossip.News)
	}
}

// applyPeerWarnings records the failed and leaving targets that a peer reports.
func (c *Core) applyPeerWarnings(ev *PeerGossip) {
	for _, id := range ev.Gossip.FailedTargets {
		if target := c.targets[id]; target != nil {
			target.health.recordFailure(c.now, 1, true)
		}
	}
	for _, id := range ev.Gossip.LeavingTargets {
		c.markLeavingByOlderPeer(id, ev.StorePosition)
	}
	for _, leaving := range ev.Gossip.Leaving {
		if target := c.targets[leaving.ID]; target != nil && target.StartedMS == leaving.StartedMS {
			c.markLeaving(target, leavingToldByPeer)
		}
	}
}

// leavingTarget names the target's incarnation to peers.
func (t *targetState) leavingTarget() LeavingTarget {
	return LeavingTarget{ID: t.ID, StartedMS: t.StartedMS}
}
