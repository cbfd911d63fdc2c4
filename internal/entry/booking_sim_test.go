package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/booking"
	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	platformstandin "github.com/medlardeck/medlardeck/internal/standin/platform"
	"github.com/medlardeck/medlardeck/internal/store"
)

// bookingSim runs several entries against one simulated store and one booking
// service on a virtual clock. It records every run of a service call and fails
// the test if an identity runs twice, if an arrival ends twice, or if it is
// refused as not run after it ran.
type bookingSim struct {
	t         must.T
	now       time.Duration
	rng       *rand.Rand
	store     *platformstandin.Service
	nodes     []*bookingNode
	scheduled []scheduledFunc // in the order of scheduling
	lastSeq   int

	storeOutage       bool
	lostReplyShare    float64 // share of store writes whose reply is lost
	delayedWriteShare float64 // share of those that the store applies only after the lost reply
	peersPartitioned  bool
	serviceTime       time.Duration
	brokenCallShare   float64 // share of service calls whose connection breaks

	runCounts      map[string]int // runs at the booking service by identity
	identities     map[arrivalID]string
	executed       map[arrivalID]bool
	finishes       map[arrivalID]Finish
	storeCallCount int

	trace           []traceLine
	storeCalls      map[storeCallID]store.Call
	attemptRequests map[attemptID]RequestID
	sendCounts      map[arrivalID]int
}

// storeCallID identifies a store call; nodes count their calls from one after
// each restart.
type storeCallID struct {
	node, incarnation int
	id                uint64
}

type attemptID struct {
	node, incarnation int
	id                request.AttemptID
}

// traceLine is one line of a trace file; docs/TRACES.md describes the format.
type traceLine struct {
	Trace    string          `json:"trace,omitempty"`
	About    string          `json:"about,omitempty"`
	At       time.Duration   `json:"at,omitempty"`
	Instance string          `json:"instance,omitempty"`
	Kind     string          `json:"kind,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
	Options  *Options        `json:"options,omitempty"`
	To       map[string]any  `json:"to,omitempty"`
	Outcome  map[string]any  `json:"outcome,omitempty"`
}

// arrivalID identifies a request that arrived at one incarnation of a node.
type arrivalID struct {
	node, incarnation int
	request           RequestID
}

// bookingNode is an entry instance and its replacements after restarts.
type bookingNode struct {
	entry         *Entry
	incarnation   int
	paused        bool
	pendingEvents []Event
	lastRequest   RequestID
}

// scheduledFunc is a call that is due at a virtual time.
type scheduledFunc struct {
	dueAt time.Duration
	seq   int
	run   func()
}

func newBookingSim(t must.T, nodes int, seed uint64, withPeers bool) *bookingSim {
	sim := &bookingSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), serviceTime: 50 * time.Millisecond,
		storeCalls: map[storeCallID]store.Call{}, attemptRequests: map[attemptID]RequestID{}, sendCounts: map[arrivalID]int{},
		runCounts: map[string]int{}, identities: map[arrivalID]string{}, executed: map[arrivalID]bool{}, finishes: map[arrivalID]Finish{},
	}
	sim.store = platformstandin.New(platformstandin.Options{Now: func() time.Time { return time.Unix(0, 0).Add(sim.now) }})
	for i := range nodes {
		sim.nodes = append(sim.nodes, &bookingNode{})
		sim.startEntry(i, withPeers)
	}
	return sim
}

// startEntry starts a new incarnation of a node, as after a crash: events of the
// previous incarnation are dropped.
func (sim *bookingSim) startEntry(node int, withPeers bool) {
	n := sim.nodes[node]
	n.incarnation++
	n.lastRequest, n.paused, n.pendingEvents = 0, false, nil
	opts := Options{
		Name: fmt.Sprintf("entry-%d", node), FailureDomain: "a", Incarnation: uint64(n.incarnation),
		Epoch: sim.now, Seed: uint64(node), Claims: booking.Options{Shards: 2, HeadBytes: 2 << 10},
	}
	if withPeers {
		opts.Address, opts.Peers = fmt.Sprintf("addr-%d", node), []string{"addr-0", "addr-1"}
	}
	n.entry = New(opts)
	sim.trace = append(sim.trace, traceLine{At: sim.now, Instance: opts.Name, Kind: "start", Options: &opts})
	intent := testIntent()
	intent.Routes[0].Identity = configuration.Identity{KeepS: 3600}
	sim.stepEntry(node, AdoptConfiguration{Accepted: configuration.Accepted{Revision: 1, Intent: intent}})
}

func (sim *bookingSim) schedule(d time.Duration, fn func()) {
	sim.lastSeq++
	sim.scheduled = append(sim.scheduled, scheduledFunc{sim.now + d, sim.lastSeq, fn})
}

// deliver passes an event to a node. A paused node gets it when it resumes. The
// event is dropped if the node has another incarnation by now.
func (sim *bookingSim) deliver(node, incarnation int, ev Event) {
	n := sim.nodes[node]
	switch {
	case n.incarnation != incarnation:
	case n.paused:
		n.pendingEvents = append(n.pendingEvents, ev)
	default:
		sim.stepEntry(node, ev)
	}
}

// stepEntry passes an event to an entry, carries out the effects and checks the
// ends of requests.
func (sim *bookingSim) stepEntry(node int, ev Event) {
	incarnation := sim.nodes[node].incarnation
	sim.recordEvent(node, ev)
	for _, eff := range slices.Clone(sim.nodes[node].entry.Step(sim.now, ev)) {
		switch eff := eff.(type) {
		case StoreCall:
			sim.executeStoreCall(node, incarnation, eff)
		case Send:
			sim.executeSend(node, incarnation, eff)
		case PeerSend:
			sim.deliverPeerMessage(node, incarnation, eff)
		case Finish:
			id := arrivalID{node, incarnation, eff.Request}
			_, twice := sim.finishes[id]
			must.False(sim.t, twice, must.Sprintf("%v ended twice", id))
			sim.finishes[id] = eff
			if eff.Code.Family() == result.FamilyRefused {
				must.False(sim.t, sim.executed[id], must.Sprintf("%v refused as %s after a run", id, eff.Code))
			}
		}
	}
}

// randomDelay returns a delay of 1 to 5 ms.
func (sim *bookingSim) randomDelay() time.Duration {
	return time.Millisecond + time.Duration(sim.rng.Int64N(4e6))
}

// executeStoreCall carries out a store call after a random delay, with the faults
// that are set.
func (sim *bookingSim) executeStoreCall(node, incarnation int, eff StoreCall) {
	sim.storeCallCount++
	sim.storeCalls[storeCallID{node, incarnation, eff.ID}] = eff.Call
	reply := func(d time.Duration, r store.Reply) {
		sim.schedule(d, func() { sim.deliver(node, incarnation, StoreReply{ID: eff.ID, Reply: r}) })
	}
	if sim.storeOutage {
		reply(10*time.Millisecond, store.Reply{Status: store.StatusUnknown})
		return
	}
	if eff.Call.Op == store.OpWatch { // replies only when its budget ends
		call := eff.Call
		call.Budget = 0
		sim.schedule(eff.Call.Budget, func() { reply(sim.randomDelay(), sim.store.Local("world").Do(context.Background(), call)) })
		return
	}
	apply := func() store.Reply { return sim.store.Local("world").Do(context.Background(), eff.Call) }
	write := eff.Call.Op == store.OpCAS
	lost := write && sim.rng.Float64() < sim.lostReplyShare
	delayed := lost && sim.rng.Float64() < sim.delayedWriteShare
	d := sim.randomDelay()
	if delayed {
		sim.schedule(d+time.Duration(sim.rng.Int64N(2e9)), func() { apply() })
		reply(d, store.Reply{Status: store.StatusUnknown})
		return
	}
	sim.schedule(d, func() {
		r := apply()
		if lost {
			r = store.Reply{Status: store.StatusUnknown}
		}
		reply(sim.randomDelay(), r)
	})
}

// executeSend runs an attempt at the booking service.
func (sim *bookingSim) executeSend(node, incarnation int, eff Send) {
	id := arrivalID{node, incarnation, eff.Request}
	end := AttemptEnd{Attempt: eff.Attempt, Outcome: OutcomeComplete, Status: 201}
	if sim.rng.Float64() < sim.brokenCallShare {
		end.Outcome = OutcomeBroke
	}
	identity := sim.identities[id]
	sim.sendCounts[id]++
	sim.attemptRequests[attemptID{node, incarnation, eff.Attempt}] = eff.Request
	sim.runCounts[identity]++
	sim.executed[id] = true
	must.LessEq(sim.t, 1, sim.runCounts[identity], must.Sprintf("runs of %s", identity))
	if end.Outcome == OutcomeComplete {
		end.Answer = &Answer{Status: 201, Body: []byte(identity)}
	}
	sim.schedule(sim.serviceTime, func() { sim.deliver(node, incarnation, end) })
}

// deliverPeerMessage delivers a message to the node with its address, or reports
// a failure after 100 ms if the nodes are partitioned or the address is unknown.
func (sim *bookingSim) deliverPeerMessage(node, incarnation int, eff PeerSend) {
	to := -1
	for j := range sim.nodes {
		if eff.Address == fmt.Sprintf("addr-%d", j) {
			to = j
		}
	}
	from := fmt.Sprintf("entry-%d", node)
	if sim.peersPartitioned || to < 0 {
		sim.schedule(100*time.Millisecond, func() { sim.deliver(node, incarnation, PeerFailed{To: eff.To, ID: eff.ID}) })
		return
	}
	sim.schedule(sim.randomDelay(), func() { sim.deliver(to, sim.nodes[to].incarnation, PeerMessage{From: from, Message: eff.Message}) })
}

// submitBooking submits a booking with an identity to a node.
func (sim *bookingSim) submitBooking(node int, identity string) arrivalID {
	return sim.submitCall(node, identity, RequestArrived{Method: "POST", Identity: identity, Fingerprint: 1})
}

// submitCall submits a service call to a node. Its runs are counted under name.
func (sim *bookingSim) submitCall(node int, name string, ev RequestArrived) arrivalID {
	n := sim.nodes[node]
	n.lastRequest++
	id := arrivalID{node, n.incarnation, n.lastRequest}
	sim.identities[id] = name
	ev.Request, ev.Workspace, ev.Route = n.lastRequest, "museum", "bookings"
	sim.deliver(node, n.incarnation, ev)
	return id
}

// recordKind adds a line without a body to the trace, such as a pause.
func (sim *bookingSim) recordKind(node int, kind string) {
	sim.trace = append(sim.trace, traceLine{At: sim.now, Instance: sim.nodes[node].entry.opts.Name, Kind: kind})
}

// recordEvent adds an event to the trace. Ticks are left out. Store replies and
// ends of attempts name the call or request that they belong to in place of an
// id, as the replay command expects.
func (sim *bookingSim) recordEvent(node int, ev Event) {
	if _, tick := ev.(Tick); tick {
		return
	}
	n := sim.nodes[node]
	line := traceLine{At: sim.now, Instance: n.entry.opts.Name}
	switch e := ev.(type) {
	case StoreReply:
		call := sim.storeCalls[storeCallID{node, n.incarnation, e.ID}]
		line.To = map[string]any{"op": call.Op, "key": call.Key}
		e.ID = 0
		ev = e
	case AttemptEnd:
		line.To = map[string]any{"request": sim.attemptRequests[attemptID{node, n.incarnation, e.Attempt}]}
		e.Attempt = 0
		ev = e
	}
	encoded, err := EncodeEvent(sim.now, ev)
	must.NoError(sim.t, err)
	line.Kind, line.Body = encoded.Kind, encoded.Body
	sim.trace = append(sim.trace, line)
}

// pauseEntry suspends a node: its timers don't run and its events wait.
func (sim *bookingSim) pauseEntry(node int) {
	sim.nodes[node].paused = true
	sim.recordKind(node, "pause")
}

// resumeEntry ends a pause and delivers the events that waited.
func (sim *bookingSim) resumeEntry(node int) {
	n := sim.nodes[node]
	if n.paused {
		sim.recordKind(node, "resume")
	}
	n.paused = false
	pending := n.pendingEvents
	n.pendingEvents = nil
	for _, ev := range pending {
		sim.stepEntry(node, ev)
	}
}

// advance moves the virtual clock forward by d and runs all calls and timers that
// become due before its end. Of those due at the same time, calls run before
// timers, in the order in which they were scheduled.
func (sim *bookingSim) advance(d time.Duration) {
	end := sim.now + d
	for {
		at, next, node := end, -1, -1
		for i, ev := range sim.scheduled {
			if ev.dueAt < at || ev.dueAt == at && next >= 0 && ev.seq < sim.scheduled[next].seq {
				at, next = ev.dueAt, i
			}
		}
		for i, n := range sim.nodes {
			if t, ok := n.entry.NextTimer(); ok && !n.paused && t < at {
				at, next, node = t, -1, i
			}
		}
		sim.now = max(sim.now, at)
		switch {
		case next >= 0:
			ev := sim.scheduled[next]
			sim.scheduled = slices.Delete(sim.scheduled, next, next+1)
			ev.run()
		case node >= 0:
			sim.stepEntry(node, Tick{})
		default:
			return
		}
	}
}

// resultOf returns the result code of an arrival, zero while it has not ended.
func (sim *bookingSim) resultOf(id arrivalID) result.Code { return sim.finishes[id].Code }

// awaitResult advances the virtual clock until an arrival ends, by about d at
// most.
func (sim *bookingSim) awaitResult(id arrivalID, d time.Duration) {
	for end := sim.now + d; sim.now < end && sim.resultOf(id) == 0; {
		sim.advance(100 * time.Millisecond)
	}
}
