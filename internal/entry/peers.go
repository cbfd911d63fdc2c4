package entry

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/store"
)

// Times and sizes of the exchange with other entry instances.
const (
	// listInterval is the time between two reads of the platform's list by a
	// gateway.
	listInterval = 5 * time.Second
	// firstListJitter is the range of random delays of the first read, which keeps
	// instances that start together apart.
	firstListJitter = time.Second
	// gatewayInterval is the time between heartbeats to other failure domains.
	gatewayInterval = 2 * time.Second
	// earlyHeartbeatDelay is how long membership changes, such as suspicions and deaths,
	// are collected before they are passed on in one heartbeat.
	earlyHeartbeatDelay = 50 * time.Millisecond
	// maxUpdates bounds the facts about other instances in one heartbeat.
	maxUpdates = 8
	// maxDirectPeers is the largest failure domain in which a broadcast goes to
	// each member directly; in larger ones neighbours relay it.
	maxDirectPeers = 16
	// maxSeenRelays bounds the memory of relayed messages.
	maxSeenRelays = 4096
)

// Counters of peers.
const (
	CounterPeers       = "peers"
	CounterPeerFailure = "peer_failures"
)

// peers is the part of an entry that exchanges messages with other instances.
type peers struct {
	lastSendID            uint64
	lastRelaySequence     uint64
	seenRelays            map[Relay]bool
	seenRelayOrder        []Relay
	earlyHeartbeatPending bool // a heartbeat with membership changes is scheduled
	gatewayRotation       int  // selects the next gateway of each other failure domain
}

// startPeers starts heartbeats and synchronisation, if the entry has an address
// for peers.
func (e *Entry) startPeers() {
	e.members = membership.New(membership.Fact{
		Name: e.opts.Name, FailureDomain: e.opts.FailureDomain, Address: e.opts.Address, Incarnation: e.opts.Incarnation,
	})
	e.peers.seenRelays = map[Relay]bool{}
	e.configSync = configSync{replica: configuration.NewReplica(), alarms: map[string]time.Duration{}}
	if e.opts.Address == "" {
		return
	}
	e.scheduleAfter(0, e.sendHeartbeats)
	e.scheduleAfter(e.jitter(gatewayInterval), e.sendGatewayHeartbeats)
	e.scheduleAfter(e.jitter(firstListJitter), func() { e.readInstanceList(true) })
	e.startConfigSync()
}

// jitter returns a random time below d, so that instances that start together
// don't act together.
func (e *Entry) jitter(d time.Duration) time.Duration {
	return time.Duration(e.rng.Int64N(int64(d)))
}

// sendHeartbeats sends a heartbeat to each neighbour and to one instance to
// probe, and also to the configured peers while no other instance is known.
func (e *Entry) sendHeartbeats() {
	e.scheduleAfter(membership.HeartbeatInterval, e.sendHeartbeats)
	for _, name := range e.members.Expire(e.now) {
		e.scheduleEarlyHeartbeat()
		e.incrementCounter(CounterPeers, "died")
		e.emit(Log{Event: "peer-died", Pairs: []string{"instance", name}})
	}
	e.members.AdvanceHeartbeat(int64(e.accepted.Revision))
	msg := e.newHeartbeat()
	msg.Usage = e.publishUsage()
	for _, f := range e.members.Neighbours() {
		e.sendTo(f.Name, f.Address, msg)
	}
	if f, ok := e.members.NextDeadInstance(); ok {
		e.sendTo(f.Name, f.Address, msg)
	}
	if len(e.members.All()) == 1 {
		msg.Heartbeat.Alone = true
		for _, address := range e.opts.Peers {
			if address != e.opts.Address {
				e.sendTo("", address, msg)
			}
		}
	}
}

// sendGatewayHeartbeats sends a heartbeat to one gateway of each other failure
// domain, in turn.
func (e *Entry) sendGatewayHeartbeats() {
	e.scheduleAfter(gatewayInterval, e.sendGatewayHeartbeats)
	if !e.members.IsGateway() {
		return
	}
	e.peers.gatewayRotation++
	msg := e.newHeartbeat()
	for _, domain := range e.members.Domains() {
		gws := e.members.Gateways(domain)
		if domain == e.opts.FailureDomain || len(gws) == 0 {
			continue
		}
		f := gws[e.peers.gatewayRotation%len(gws)]
		e.sendTo(f.Name, f.Address, msg)
	}
}

// newHeartbeat returns a heartbeat with the state of this instance and recent
// facts about others.
func (e *Entry) newHeartbeat() Message {
	self := e.members.Self()
	return Message{Heartbeat: &Heartbeat{
		Instance: self.Name, Incarnation: self.Incarnation, FailureDomain: self.FailureDomain,
		Address: self.Address, Leaving: self.Leaving, Revision: int64(e.accepted.Revision), PlanID: e.accepted.PlanID,
		Beat: self.Beat, Updates: e.members.NextUpdates(maxUpdates),
	}}
}

// readInstanceList reads the platform's list of instances: every instance does
// so once at its start, later only gateways.
func (e *Entry) readInstanceList(first bool) {
	e.scheduleAfter(listInterval, func() { e.readInstanceList(false) })
	if !first && !e.members.IsGateway() {
		return
	}
	e.callStore(store.Call{Op: store.OpInstances}, func(r store.Reply) {
		e.recordStoreReply(r)
		if r.Status == store.StatusOK {
			e.handleInstanceList(r.Instances)
		}
	})
}

// handleInstanceList merges the platform's list. An instance that finds itself
// in it knows enough of the others to determine whether it is a gateway.
func (e *Entry) handleInstanceList(list []store.Instance) {
	e.members.MergeList(e.now, list)
	e.updateLeavingTargets(list)
	if slices.ContainsFunc(list, func(in store.Instance) bool { return in.Name == e.opts.Name }) {
		e.configSync.readAllowed = true
		e.readRoot()
	}
}

// handlePeerMessage handles the parts of a message. A relayed message is
// forwarded first, or dropped if it was seen before.
func (e *Entry) handlePeerMessage(ev PeerMessage) {
	msg := ev.Message
	if msg.Relay != nil && !e.forwardRelay(ev.From, msg) {
		return
	}
	if msg.Heartbeat != nil {
		e.handleHeartbeat(*msg.Heartbeat)
	}
	if msg.Usage != nil {
		e.workspaceLimits.RecordPeerDemand(e.now, msg.Usage.Instance, msg.Usage.Demands)
	}
	if msg.Leaving != nil {
		e.markLeavingTargets(msg.Leaving.Names)
	}
	if msg.Quarantine != nil {
		e.handleNotice(ev.From, *msg.Quarantine)
	}
	if msg.Claims != nil {
		e.claims.coordinator.HandleMessage(ev.From, *msg.Claims)
	}
	if msg.Members != nil {
		for _, f := range msg.Members.Facts {
			e.members.MergeFact(e.now, f)
		}
	}
	e.handleConfigMessage(ev.From, msg)
}

// handleHeartbeat merges the facts of a heartbeat and compares revisions. A
// sender that is new, restarted or alone gets what this instance knows.
func (e *Entry) handleHeartbeat(hb Heartbeat) {
	f := membership.Fact{
		Name: hb.Instance, FailureDomain: hb.FailureDomain, Address: hb.Address,
		Incarnation: hb.Incarnation, Beat: hb.Beat, Leaving: hb.Leaving, Revision: hb.Revision,
	}
	old, known := e.members.Get(f.Name)
	e.mergeFact(f)
	if !known || hb.Alone || old.State == membership.Dead {
		e.sendTo(f.Name, f.Address, Message{Members: &Members{Facts: e.members.All()}})
	}
	if !known || old.Incarnation != f.Incarnation || old.State == membership.Dead {
		e.incrementCounter(CounterPeers, "joined")
		e.sendSuspects(f.Name)
	}
	for _, u := range hb.Updates {
		e.mergeFact(u)
	}
	e.compareRevision(hb)
}

// mergeFact merges a fact about an instance. Suspicions, deaths and departures, and
// above all their refutation, are passed on in an early heartbeat.
func (e *Entry) mergeFact(f membership.Fact) {
	old, known := e.members.Get(f.Name)
	if e.members.MergeFact(e.now, f) && (f.State != membership.Alive || f.Leaving || known && old.State != membership.Alive) {
		e.scheduleEarlyHeartbeat()
	}
}

// scheduleEarlyHeartbeat schedules a heartbeat to the neighbours after
// earlyHeartbeatDelay, instead of waiting for the next interval. Membership changes
// within the delay are sent in one heartbeat.
func (e *Entry) scheduleEarlyHeartbeat() {
	if e.peers.earlyHeartbeatPending {
		return
	}
	e.peers.earlyHeartbeatPending = true
	e.scheduleAfter(earlyHeartbeatDelay, func() {
		e.peers.earlyHeartbeatPending = false
		e.sendNeighbours("", e.newHeartbeat())
	})
}

// handlePeerFailed records that a message could not be delivered, which may
// make the peer a suspect.
func (e *Entry) handlePeerFailed(ev PeerFailed) {
	e.incrementCounter(CounterPeerFailure, "undelivered")
	if e.members.MarkSuspect(e.now, ev.To) {
		e.scheduleEarlyHeartbeat()
	}
	e.claims.coordinator.TakeOverFromPeer(ev.To)
}

// sendPeer sends a message to an instance by name. It reports whether the
// instance is known, has an address and is not this one.
func (e *Entry) sendPeer(name string, msg Message) bool {
	f, ok := e.members.Get(name)
	if !ok || name == e.opts.Name || f.Address == "" {
		return false
	}
	e.sendTo(name, f.Address, msg)
	return true
}

func (e *Entry) sendTo(name, address string, msg Message) {
	e.peers.lastSendID++
	e.emit(PeerSend{To: name, Address: address, ID: e.peers.lastSendID, Message: msg})
}

// broadcast sends a message to every live instance of the own failure domain:
// directly in small ones, through relaying neighbours in large ones.
func (e *Entry) broadcast(msg Message) {
	live := e.members.LiveInDomain(e.opts.FailureDomain)
	if len(live) <= maxDirectPeers {
		for _, f := range live {
			e.sendPeer(f.Name, msg)
		}
		return
	}
	e.peers.lastRelaySequence++
	msg.Relay = &Relay{Origin: e.opts.Name, Incarnation: e.opts.Incarnation, Sequence: e.peers.lastRelaySequence}
	e.markRelaySeen(*msg.Relay)
	e.sendNeighbours("", msg)
}

// forwardRelay passes a message that was not seen before on to the neighbours.
// It reports whether it was new.
func (e *Entry) forwardRelay(from string, msg Message) bool {
	if !e.markRelaySeen(*msg.Relay) {
		return false
	}
	e.sendNeighbours(from, msg)
	return true
}

func (e *Entry) sendNeighbours(except string, msg Message) {
	for _, f := range e.members.Neighbours() {
		if f.Name != except {
			e.sendTo(f.Name, f.Address, msg)
		}
	}
}

// markRelaySeen records a relayed message and reports whether it was new.
func (e *Entry) markRelaySeen(r Relay) bool {
	if e.peers.seenRelays[r] {
		return false
	}
	e.peers.seenRelays[r] = true
	e.peers.seenRelayOrder = append(e.peers.seenRelayOrder, r)
	if len(e.peers.seenRelayOrder) > maxSeenRelays {
		delete(e.peers.seenRelays, e.peers.seenRelayOrder[0])
		e.peers.seenRelayOrder = e.peers.seenRelayOrder[1:]
	}
	return true
}
