package fleet

import (
	"slices"
	"time"
)

// Times of the exchange of loads.
const (
	// shareDelay gathers changes that come together into one message.
	shareDelay = 3 * time.Millisecond
	// shareWhole is the time between statements of all loads, which repair what
	// was lost on the way.
	shareWhole = time.Second
	// peerSilence is the time after which a silent peer's loads count no more.
	peerSilence = 3 * shareWhole
	// ExactPeers is the number of peers up to which each hears of every change.
	// Above it, messages between failure domains would cost more than they bring:
	// other domains get whole statements only.
	ExactPeers = 40
	// forgetPeer is the time after which a silent peer no longer counts among
	// those that share the retry budget.
	forgetPeer = 30 * time.Second
)

// Gossip is the state that instances tell one another. It is absolute: a later
// message repairs the loss of an earlier one.
type Gossip struct {
	_ struct{} `cbor:",toarray"`
	// Hello says that the sender has just started and knows no loads of others.
	Hello bool
	// Whole says that Loads are all of the sender's loads.
	Whole bool
	// Loads are new or changed loads.
	Loads []Load
	// Begun and Ended are keys of loads whose first event came, or that ended.
	Begun, Ended []uint64
	// Failed lists targets at which a request failed without an answer.
	Failed []string
	// Suspects lists fingerprints of requests, once for each broken run.
	Suspects []uint64
	// Left lists targets that are leaving.
	Left []string
}

// Urgent reports whether the message says more than loads.
func (g *Gossip) Urgent() bool {
	return g.Whole || len(g.Failed)+len(g.Suspects)+len(g.Left) > 0
}

func (g *Gossip) empty() bool {
	return !g.Whole && len(g.Loads)+len(g.Begun)+len(g.Ended)+len(g.Failed)+len(g.Suspects)+len(g.Left) == 0
}

// peer is another instance.
type peer struct {
	heardAt time.Duration
	flights map[uint64]placed
}

// placed is a load and the target that carries it.
type placed struct {
	runner *runner
	flight *flight
}

// outbox gathers what peers are to be told.
type outbox struct {
	gossip    Gossip
	left      []string
	scheduled bool
	due       bool
	periodic  bool
}

func (c *Core) knownPeers() int { return len(c.peers) }

// shareSoon schedules the next message to peers.
func (c *Core) shareSoon() {
	if c.outbox.scheduled {
		return
	}
	c.outbox.scheduled = true
	c.after(shareDelay, func() { c.outbox.scheduled, c.outbox.due = false, true })
}

// flush emits what has been gathered when it is due.
func (c *Core) flush() {
	if !c.outbox.periodic {
		c.outbox.periodic = true
		c.shareAll()
		c.emit(Share{Gossip: Gossip{Hello: true, Whole: true}})
	}
	if !c.outbox.due {
		return
	}
	c.outbox.due = false
	g := c.outbox.gossip
	g.Left, c.outbox.left = c.outbox.left, nil
	c.outbox.gossip = Gossip{}
	if !g.empty() {
		c.emit(Share{Gossip: g})
	}
}

// shareAll states all loads, and drops those of silent peers.
func (c *Core) shareAll() {
	c.after(shareWhole, c.shareAll)
	c.emit(Share{Gossip: c.whole()})
	for name, p := range c.peers {
		if c.now-p.heardAt > peerSilence {
			c.dropPeerLoads(p, nil)
			if c.now-p.heardAt > forgetPeer {
				delete(c.peers, name)
			}
		}
	}
}

// whole states all loads of this instance.
func (c *Core) whole() Gossip {
	g := Gossip{Whole: true}
	for _, r := range c.runners {
		for _, f := range r.flights {
			if f.owner == "" {
				l := f.Load
				l.AgeMS = int(ms(c.now - f.seenAt))
				l.Begun = f.begun
				g.Loads = append(g.Loads, l)
			}
		}
		if r.leaving && !r.gone {
			g.Left = append(g.Left, r.ID)
		}
	}
	slices.SortFunc(g.Loads, func(a, b Load) int { return int(int64(a.Key) - int64(b.Key)) })
	slices.Sort(g.Left)
	g.Failed, g.Suspects = c.outbox.gossip.Failed, c.outbox.gossip.Suspects
	c.outbox.gossip, c.outbox.left = Gossip{}, nil
	return g
}

// dropPeerLoads ends a peer's loads except those whose keys are kept.
func (c *Core) dropPeerLoads(p *peer, keep map[uint64]bool) {
	for key, pl := range p.flights {
		if !keep[key] {
			pl.runner.end(c.now, pl.flight)
			delete(p.flights, key)
		}
	}
}

func (c *Core) peerLoad(ev PeerLoad) {
	p := c.peers[ev.From]
	if p == nil || ev.Gossip.Hello {
		c.emit(Share{Gossip: c.whole()})
	}
	if p == nil {
		p = &peer{flights: make(map[uint64]placed)}
		c.peers[ev.From] = p
		c.log("peer-found", "peer", ev.From)
	}
	p.heardAt = c.now
	g := &ev.Gossip
	if g.Whole {
		keep := make(map[uint64]bool, len(g.Loads))
		for i := range g.Loads {
			keep[g.Loads[i].Key] = true
		}
		c.dropPeerLoads(p, keep)
	}
	for _, l := range g.Loads {
		c.addPeerLoad(p, ev.From, l)
	}
	for _, key := range g.Begun {
		if pl, ok := p.flights[key]; ok && !pl.flight.begun {
			pl.runner.firstEvent(c.now, pl.flight)
			pl.runner.aliveAt = c.now
			pl.runner.health.succeeded()
		}
	}
	for _, key := range g.Ended {
		if pl, ok := p.flights[key]; ok {
			pl.runner.aliveAt = c.now
			pl.runner.end(c.now, pl.flight)
			delete(p.flights, key)
		}
	}
	c.peerWarnings(g)
}

func (c *Core) addPeerLoad(p *peer, from string, l Load) {
	if pl, ok := p.flights[l.Key]; ok {
		if l.Begun && !pl.flight.begun {
			pl.runner.firstEvent(c.now, pl.flight)
		}
		return
	}
	r := c.runners[l.Target]
	if r == nil {
		return
	}
	f := r.begin(c.now, from, l)
	if !l.Begun {
		f.unreadMS = max(0, f.unreadMS-float64(l.AgeMS))
	}
	p.flights[l.Key] = placed{r, f}
}

// peerWarnings takes what a peer learnt of targets and requests.
func (c *Core) peerWarnings(g *Gossip) {
	for _, id := range g.Failed {
		if r := c.runners[id]; r != nil {
			r.health.failed(c.now, 1, true)
		}
	}
	for _, fp := range g.Suspects {
		c.ranBroken(fp)
	}
	for _, id := range g.Left {
		if r := c.runners[id]; r != nil && !r.leaving {
			r.leaving = true
			c.log("target-leaving", "target", id, "why", "told-by-peer")
		}
	}
}
