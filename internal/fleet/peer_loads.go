package fleet

import "time"

// maxPeerProcesses bounds the processes of one peer whose loads are known: the present one
// and some that it has replaced.
const maxPeerProcesses = 4

// peerProcess is what one process of a peer has told of its loads. Keys of loads come again
// after a restart, so that they mean nothing without their process.
type peerProcess struct {
	owner         loadOwner
	lastMessageAt time.Duration
	stated        bool                    // it has stated all of its loads
	loads         map[uint64]placedLoad   // by TargetLoad.Key
	waiting       map[uint64]heardWaiting // by WaitingReport.Request
}

// placedLoad is a load with the target that carries it, kept so that the load can be
// removed from the target later.
type placedLoad struct {
	target *targetState
	load   *trackedLoad
}

// peerProcess returns the process that sent a message.
func (c *Core) peerProcess(p *peer, ev *PeerGossip) *peerProcess {
	process := p.processes[ev.Incarnation]
	if process == nil {
		if len(p.processes) >= maxPeerProcesses {
			c.dropMostSilentProcess(p)
		}
		process = &peerProcess{owner: loadOwner{ev.From, ev.Incarnation}, loads: make(map[uint64]placedLoad)}
		p.processes[ev.Incarnation] = process
	}
	process.lastMessageAt = c.now
	return process
}

// replaceProcesses drops the loads of the processes that the one of a full message has
// replaced. They stay known, so that a late message of theirs replaces nothing.
func (c *Core) replaceProcesses(p *peer, process *peerProcess, joining bool) {
	if process.stated && !joining {
		return
	}
	process.stated = true
	for _, former := range p.processes {
		if former != process {
			c.dropPeerLoads(former, nil)
		}
	}
}

// dropMostSilentProcess forgets the process of a peer whose last message is the oldest.
func (c *Core) dropMostSilentProcess(p *peer) {
	var silent *peerProcess
	for _, process := range p.processes {
		if silent == nil || process.lastMessageAt < silent.lastMessageAt ||
			process.lastMessageAt == silent.lastMessageAt && process.owner.incarnation < silent.owner.incarnation {
			silent = process
		}
	}
	c.dropPeerLoads(silent, nil)
	delete(p.processes, silent.owner.incarnation)
}

// expireProcesses drops the loads of a peer's silent processes.
func (c *Core) expireProcesses(p *peer) {
	for incarnation, process := range p.processes {
		if c.now-process.lastMessageAt > peerLoadTimeout {
			c.dropPeerLoads(process, nil)
			if c.now-process.lastMessageAt > peerExpiry {
				delete(p.processes, incarnation)
			}
		}
	}
}

// applyPeerLoads applies what a message says of its sender's loads.
func (c *Core) applyPeerLoads(p *peer, process *peerProcess, g *Gossip) {
	if g.Full {
		c.replaceProcesses(p, process, g.Joining)
		keepKeys := make(map[uint64]bool, len(g.Loads))
		for i := range g.Loads {
			keepKeys[g.Loads[i].Key] = true
		}
		c.dropPeerLoads(process, keepKeys)
	}
	for _, load := range g.Loads {
		c.addPeerLoad(process, load)
	}
	for _, key := range g.FirstEvents {
		if placed, ok := process.loads[key]; ok && !placed.load.firstEventSeen {
			placed.target.markFirstEvent(c.now, placed.load)
			c.recordHeard(placed.target)
			placed.target.health.recordSuccess()
		}
	}
	for _, key := range g.EndedLoads {
		if placed, ok := process.loads[key]; ok {
			placed.target.removeLoad(c.now, placed.load)
			delete(process.loads, key)
		}
	}
}

// addPeerLoad adds a load of a peer's process, or records its first event if the load is
// known. A load that was sent a while ago counts as prefilled for that long.
func (c *Core) addPeerLoad(process *peerProcess, load TargetLoad) {
	if placed, ok := process.loads[load.Key]; ok {
		if load.FirstEventSeen && !placed.load.firstEventSeen {
			placed.target.markFirstEvent(c.now, placed.load)
		}
		return
	}
	target := c.targets[load.Target]
	if target == nil {
		return
	}
	c.unseen.recordPeerLoad(c.now, target, &load)
	tracked := target.addLoad(c.now, process.owner, load)
	tracked.answer = c.predictPeerAnswer(target, load)
	c.recordPeerLoad(target, tracked)
	if !load.FirstEventSeen {
		tracked.pendingPrefillMS = max(0, tracked.pendingPrefillMS-float64(load.AgeMS))
	}
	process.loads[load.Key] = placedLoad{target, tracked}
}

// dropPeerLoads removes the loads of a peer's process except those with keys in keepKeys.
func (c *Core) dropPeerLoads(process *peerProcess, keepKeys map[uint64]bool) {
	for key, placed := range process.loads {
		if !keepKeys[key] {
			placed.target.removeLoad(c.now, placed.load)
			delete(process.loads, key)
		}
	}
}
