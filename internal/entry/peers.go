package entry

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/store"
)

// Times and sizes of what an entry instance does with its peers.
const (
	// listInterval is the time between two reads of the platform's list by a
	// gateway.
	listInterval = 5 * time.Second
	// firstListSpread spreads the first reads of instances that start together.
	firstListSpread = time.Second
	// gatewayInterval is the time between heartbeats to other failure domains.
	gatewayInterval = 2 * time.Second
	// tellDelay gathers news of suspects and deaths before they are passed on.
	tellDelay = 50 * time.Millisecond
	// maxUpdates bounds the facts that a heartbeat passes on.
	maxUpdates = 8
	// maxDirect is the largest failure domain whose members are told directly;
	// in larger ones neighbours pass a message on.
	maxDirect = 16
	// maxSeen bounds the memory of messages that were passed on.
	maxSeen = 4096
)

// Counters of the peers.
const (
	CounterPeers       = "peers"
	CounterPeerFailure = "peer_failures"
)

// peers is the part of an entry that deals with other entry instances.
type peers struct {
	nextSend  uint64
	nextRelay uint64
	seen      map[Relay]bool
	seenOrder []Relay
	telling   bool // a heartbeat with news is due soon
	gateway   int  // rotates over the gateways of other failure domains
}

// startPeers begins heartbeats, if the entry has an address for peers.
func (e *Entry) startPeers() {
	e.members = membership.New(membership.Fact{
		Name: e.opts.Name, FailureDomain: e.opts.FailureDomain, Address: e.opts.Address, Incarnation: e.opts.Incarnation,
	})
	e.peers.seen = map[Relay]bool{}
	e.spread = spread{replica: configuration.NewReplica(), alarms: map[string]time.Duration{}}
	if e.opts.Address == "" {
		return
	}
	e.scheduleAfter(0, e.beat)
	e.scheduleAfter(e.jitter(gatewayInterval), e.beatGateways)
	e.scheduleAfter(e.jitter(firstListSpread), func() { e.readList(true) })
	e.startSpread()
}

// jitter returns a random time below d, so that instances that start together
// don't act together.
func (e *Entry) jitter(d time.Duration) time.Duration {
	return time.Duration(e.rng.Int64N(int64(d)))
}

// beat sends a heartbeat to each neighbour, and to the configured peers while
// no other instance is known.
func (e *Entry) beat() {
	e.scheduleAfter(membership.Interval, e.beat)
	for _, name := range e.members.Expire(e.now) {
		e.tellSoon()
		e.incrementCounter(CounterPeers, "died")
		e.emit(Log{Event: "peer-died", Pairs: []string{"instance", name}})
	}
	e.members.Beat(int64(e.accepted.Revision))
	msg := e.heartbeat()
	msg.Usage = e.publishUsage()
	for _, f := range e.members.Neighbours() {
		e.sendTo(f.Name, f.Address, msg)
	}
	if f, ok := e.members.Probe(); ok {
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

// beatGateways sends a heartbeat to one gateway of each other failure domain.
func (e *Entry) beatGateways() {
	e.scheduleAfter(gatewayInterval, e.beatGateways)
	if !e.members.IsGateway() {
		return
	}
	e.peers.gateway++
	msg := e.heartbeat()
	for _, domain := range e.members.Domains() {
		gws := e.members.Gateways(domain)
		if domain == e.opts.FailureDomain || len(gws) == 0 {
			continue
		}
		f := gws[e.peers.gateway%len(gws)]
		e.sendTo(f.Name, f.Address, msg)
	}
}

func (e *Entry) heartbeat() Message {
	self := e.members.Self()
	return Message{Heartbeat: &Heartbeat{
		Instance: self.Name, Incarnation: self.Incarnation, FailureDomain: self.FailureDomain,
		Address: self.Address, Leaving: self.Leaving, Revision: int64(e.accepted.Revision), PlanID: e.accepted.PlanID,
		Beat: self.Beat, Updates: e.members.Updates(maxUpdates),
	}}
}

// readList reads the platform's list: every instance once at its start, then
// only gateways.
func (e *Entry) readList(first bool) {
	e.scheduleAfter(listInterval, func() { e.readList(false) })
	if !first && !e.members.IsGateway() {
		return
	}
	e.store(store.Call{Op: store.OpInstances}, func(r store.Reply) {
		e.heardStore(r)
		if r.Status == store.StatusOK {
			e.listed(r.Instances)
		}
	})
}

// listed merges the list. An instance that finds itself in it knows enough of
// the others to tell whether it is a gateway.
func (e *Entry) listed(list []store.Instance) {
	e.members.Listed(e.now, list)
	e.listedTargets(list)
	if slices.ContainsFunc(list, func(in store.Instance) bool { return in.Name == e.opts.Name }) {
		e.spread.mayRead = true
		e.readRoot()
	}
}

func (e *Entry) peerMessage(ev PeerMessage) {
	msg := ev.Message
	if msg.Relay != nil && !e.relay(ev.From, msg) {
		return
	}
	if msg.Heartbeat != nil {
		e.heard(*msg.Heartbeat)
	}
	if msg.Usage != nil {
		e.limits.Heard(e.now, msg.Usage.Instance, msg.Usage.Demands)
	}
	if msg.Leaving != nil {
		e.setLeaving(msg.Leaving.Names)
	}
	if msg.Quarantine != nil {
		e.noticed(ev.From, *msg.Quarantine)
	}
	if msg.Claims != nil {
		e.claims.book.Receive(ev.From, *msg.Claims)
	}
	if msg.Members != nil {
		for _, f := range msg.Members.Facts {
			e.members.Observe(e.now, f)
		}
	}
	e.spreadMessage(ev.From, msg)
}

func (e *Entry) heard(hb Heartbeat) {
	f := membership.Fact{
		Name: hb.Instance, FailureDomain: hb.FailureDomain, Address: hb.Address,
		Incarnation: hb.Incarnation, Beat: hb.Beat, Leaving: hb.Leaving, Revision: hb.Revision,
	}
	old, known := e.members.Get(f.Name)
	e.believe(f)
	if !known || hb.Alone || old.State == membership.Dead {
		e.sendTo(f.Name, f.Address, Message{Members: &Members{Facts: e.members.All()}})
	}
	if !known || old.Incarnation != f.Incarnation || old.State == membership.Dead {
		e.incrementCounter(CounterPeers, "joined")
		e.tellSuspects(f.Name)
	}
	for _, u := range hb.Updates {
		e.believe(u)
	}
	e.compareRevision(hb)
}

// believe merges a fact. News of suspicion, death, departure, and above all
// their refutation, is passed on soon.
func (e *Entry) believe(f membership.Fact) {
	old, known := e.members.Get(f.Name)
	if e.members.Observe(e.now, f) && (f.State != membership.Alive || f.Leaving || known && old.State != membership.Alive) {
		e.tellSoon()
	}
}

// tellSoon passes news on without waiting for the next beat; news within
// tellDelay goes together.
func (e *Entry) tellSoon() {
	if e.peers.telling {
		return
	}
	e.peers.telling = true
	e.scheduleAfter(tellDelay, func() {
		e.peers.telling = false
		e.sendNeighbours("", e.heartbeat())
	})
}

func (e *Entry) peerFailed(ev PeerFailed) {
	e.incrementCounter(CounterPeerFailure, "undelivered")
	if e.members.Failed(e.now, ev.To) {
		e.tellSoon()
	}
	e.claims.book.PeerFailed(ev.To)
}

// sendPeer sends a message to a known instance; it reports whether the
// instance is known.
func (e *Entry) sendPeer(name string, msg Message) bool {
	f, ok := e.members.Get(name)
	if !ok || name == e.opts.Name || f.Address == "" {
		return false
	}
	e.sendTo(name, f.Address, msg)
	return true
}

func (e *Entry) sendTo(name, address string, msg Message) {
	e.peers.nextSend++
	e.emit(PeerSend{To: name, Address: address, ID: e.peers.nextSend, Message: msg})
}

// broadcast tells every live instance of the own failure domain: directly in
// small ones, through neighbours that pass the message on in large ones.
func (e *Entry) broadcast(msg Message) {
	live := e.members.Live(e.opts.FailureDomain)
	if len(live) <= maxDirect {
		for _, f := range live {
			e.sendPeer(f.Name, msg)
		}
		return
	}
	e.peers.nextRelay++
	msg.Relay = &Relay{Origin: e.opts.Name, Incarnation: e.opts.Incarnation, Sequence: e.peers.nextRelay}
	e.remember(*msg.Relay)
	e.sendNeighbours("", msg)
}

// relay passes a message on and reports whether it is new.
func (e *Entry) relay(from string, msg Message) bool {
	if !e.remember(*msg.Relay) {
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

// remember notes a relayed message and reports whether it was unknown.
func (e *Entry) remember(r Relay) bool {
	if e.peers.seen[r] {
		return false
	}
	e.peers.seen[r] = true
	e.peers.seenOrder = append(e.peers.seenOrder, r)
	if len(e.peers.seenOrder) > maxSeen {
		delete(e.peers.seen, e.peers.seenOrder[0])
		e.peers.seenOrder = e.peers.seenOrder[1:]
	}
	return true
}
