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

// world runs several entries against one store and one booking service on a
// virtual clock, and keeps a ledger of every run.
type world struct {
	t     must.T
	now   time.Duration
	rng   *rand.Rand
	store *platformstandin.Service
	nodes []*worldNode
	queue []worldEvent
	seq   int

	outage      bool
	lostAnswers float64 // share of store writes whose answer is lost
	lateWrites  float64 // share of those that take effect only later
	cutPeers    bool
	serviceTime time.Duration
	brokenCalls float64 // share of service calls whose connection breaks

	runs    map[string]int // by identity
	arrived map[arrivalID]string
	ran     map[arrivalID]bool
	ends    map[arrivalID]Finish
	calls   int

	trace     []traceLine
	storeCall map[storeCallID]store.Call
	attempts  map[attemptID]RequestID
	sends     map[arrivalID]int
}

type storeCallID struct {
	node, incarnation int
	id                uint64
}

type attemptID struct {
	node, incarnation int
	id                request.AttemptID
}

// traceLine is a line of a trace as docs/TRACES.md has it.
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

type arrivalID struct {
	node, incarnation int
	request           RequestID
}

type worldNode struct {
	entry       *Entry
	incarnation int
	paused      bool
	held        []Event
	next        RequestID
}

type worldEvent struct {
	at  time.Duration
	seq int
	fn  func()
}

func newWorld(t must.T, nodes int, seed uint64, peers bool) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), serviceTime: 50 * time.Millisecond,
		storeCall: map[storeCallID]store.Call{}, attempts: map[attemptID]RequestID{}, sends: map[arrivalID]int{},
		runs: map[string]int{}, arrived: map[arrivalID]string{}, ran: map[arrivalID]bool{}, ends: map[arrivalID]Finish{},
	}
	w.store = platformstandin.New(platformstandin.Options{Now: func() time.Time { return time.Unix(0, 0).Add(w.now) }})
	for i := range nodes {
		w.nodes = append(w.nodes, &worldNode{})
		w.start(i, peers)
	}
	return w
}

func (w *world) start(i int, peers bool) {
	n := w.nodes[i]
	n.incarnation++
	n.next, n.paused, n.held = 0, false, nil
	opts := Options{
		Name: fmt.Sprintf("entry-%d", i), FailureDomain: "a", Incarnation: uint64(n.incarnation),
		Epoch: w.now, Seed: uint64(i), Claims: booking.Options{Shards: 2, HeadBytes: 2 << 10},
	}
	if peers {
		opts.Address, opts.Peers = fmt.Sprintf("addr-%d", i), []string{"addr-0", "addr-1"}
	}
	n.entry = New(opts)
	w.trace = append(w.trace, traceLine{At: w.now, Instance: opts.Name, Kind: "start", Options: &opts})
	in := testIntent()
	in.Routes[0].Identity = configuration.Identity{KeepS: 3600}
	w.step(i, Adopt{Accepted: configuration.Accepted{Revision: 1, Intent: in}})
}

func (w *world) after(d time.Duration, fn func()) {
	w.seq++
	w.queue = append(w.queue, worldEvent{w.now + d, w.seq, fn})
}

// feed hands an event to an incarnation of a node, now or after its pause.
func (w *world) feed(i, incarnation int, ev Event) {
	n := w.nodes[i]
	switch {
	case n.incarnation != incarnation:
	case n.paused:
		n.held = append(n.held, ev)
	default:
		w.step(i, ev)
	}
}

func (w *world) step(i int, ev Event) {
	inc := w.nodes[i].incarnation
	w.record(i, ev)
	for _, eff := range slices.Clone(w.nodes[i].entry.Step(w.now, ev)) {
		switch eff := eff.(type) {
		case StoreCall:
			w.callStore(i, inc, eff)
		case Send:
			w.serve(i, inc, eff)
		case PeerSend:
			w.pass(i, inc, eff)
		case Finish:
			id := arrivalID{i, inc, eff.Request}
			_, twice := w.ends[id]
			must.False(w.t, twice, must.Sprintf("two ends of %v", id))
			w.ends[id] = eff
			if eff.Code.Family() == result.FamilyRefused {
				must.False(w.t, w.ran[id], must.Sprintf("%v refused as %s after a run", id, eff.Code))
			}
		}
	}
}

func (w *world) delay() time.Duration { return time.Millisecond + time.Duration(w.rng.Int64N(4e6)) }

func (w *world) callStore(i, inc int, eff StoreCall) {
	w.calls++
	w.storeCall[storeCallID{i, inc, eff.ID}] = eff.Call
	reply := func(d time.Duration, r store.Reply) {
		w.after(d, func() { w.feed(i, inc, StoreReply{ID: eff.ID, Reply: r}) })
	}
	if w.outage {
		reply(10*time.Millisecond, store.Reply{Status: store.StatusUnknown})
		return
	}
	if eff.Call.Op == store.OpWatch { // answered at the end of its wait
		call := eff.Call
		call.Budget = 0
		w.after(eff.Call.Budget, func() { reply(w.delay(), w.store.Local("world").Do(context.Background(), call)) })
		return
	}
	apply := func() store.Reply { return w.store.Local("world").Do(context.Background(), eff.Call) }
	write := eff.Call.Op == store.OpCAS
	lost := write && w.rng.Float64() < w.lostAnswers
	late := lost && w.rng.Float64() < w.lateWrites
	d := w.delay()
	if late {
		w.after(d+time.Duration(w.rng.Int64N(2e9)), func() { apply() })
		reply(d, store.Reply{Status: store.StatusUnknown})
		return
	}
	w.after(d, func() {
		r := apply()
		if lost {
			r = store.Reply{Status: store.StatusUnknown}
		}
		reply(w.delay(), r)
	})
}

func (w *world) serve(i, inc int, eff Send) {
	id := arrivalID{i, inc, eff.Request}
	end := AttemptEnd{Attempt: eff.Attempt, End: EndComplete, Status: 201}
	if w.rng.Float64() < w.brokenCalls {
		end.End = EndBroke
	}
	identity := w.arrived[id]
	w.sends[id]++
	w.attempts[attemptID{i, inc, eff.Attempt}] = eff.Request
	w.runs[identity]++
	w.ran[id] = true
	must.LessEq(w.t, 1, w.runs[identity], must.Sprintf("runs of %s", identity))
	if end.End == EndComplete {
		end.Answer = &Answer{Status: 201, Body: []byte(identity)}
	}
	w.after(w.serviceTime, func() { w.feed(i, inc, end) })
}

func (w *world) pass(i, inc int, eff PeerSend) {
	to := -1
	for j := range w.nodes {
		if eff.Address == fmt.Sprintf("addr-%d", j) {
			to = j
		}
	}
	from := fmt.Sprintf("entry-%d", i)
	if w.cutPeers || to < 0 {
		w.after(100*time.Millisecond, func() { w.feed(i, inc, PeerFailed{To: eff.To, ID: eff.ID}) })
		return
	}
	w.after(w.delay(), func() { w.feed(to, w.nodes[to].incarnation, PeerMessage{From: from, Message: eff.Message}) })
}

// book lets a booking arrive at a node.
func (w *world) book(i int, identity string) arrivalID {
	return w.arrive(i, identity, Arrive{Method: "POST", Identity: identity, Fingerprint: 1})
}

// arrive lets a service call arrive; its runs count under a name.
func (w *world) arrive(i int, name string, ev Arrive) arrivalID {
	n := w.nodes[i]
	n.next++
	id := arrivalID{i, n.incarnation, n.next}
	w.arrived[id] = name
	ev.Request, ev.Workspace, ev.Route = n.next, "museum", "bookings"
	w.feed(i, n.incarnation, ev)
	return id
}

func (w *world) mark(i int, kind string) {
	w.trace = append(w.trace, traceLine{At: w.now, Instance: w.nodes[i].entry.opts.Name, Kind: kind})
}

// record adds an event to the trace. Answers name what they belong to.
func (w *world) record(i int, ev Event) {
	if _, tick := ev.(Tick); tick {
		return
	}
	n := w.nodes[i]
	line := traceLine{At: w.now, Instance: n.entry.opts.Name}
	switch e := ev.(type) {
	case StoreReply:
		call := w.storeCall[storeCallID{i, n.incarnation, e.ID}]
		line.To = map[string]any{"op": call.Op, "key": call.Key}
		e.ID = 0
		ev = e
	case AttemptEnd:
		line.To = map[string]any{"request": w.attempts[attemptID{i, n.incarnation, e.Attempt}]}
		e.Attempt = 0
		ev = e
	}
	encoded, err := EncodeEvent(w.now, ev)
	must.NoError(w.t, err)
	line.Kind, line.Body = encoded.Kind, encoded.Body
	w.trace = append(w.trace, line)
}

func (w *world) pause(i int) {
	w.nodes[i].paused = true
	w.mark(i, "pause")
}

func (w *world) resume(i int) {
	n := w.nodes[i]
	if n.paused {
		w.mark(i, "resume")
	}
	n.paused = false
	held := n.held
	n.held = nil
	for _, ev := range held {
		w.step(i, ev)
	}
}

// run advances the virtual clock.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for {
		at, next, node := end, -1, -1
		for i, ev := range w.queue {
			if ev.at < at || ev.at == at && next >= 0 && ev.seq < w.queue[next].seq {
				at, next = ev.at, i
			}
		}
		for i, n := range w.nodes {
			if t, ok := n.entry.Next(); ok && !n.paused && t < at {
				at, next, node = t, -1, i
			}
		}
		w.now = max(w.now, at)
		switch {
		case next >= 0:
			ev := w.queue[next]
			w.queue = slices.Delete(w.queue, next, next+1)
			ev.fn()
		case node >= 0:
			w.step(node, Tick{})
		default:
			return
		}
	}
}

// code returns the result of an arrival, zero while it has none.
func (w *world) code(id arrivalID) result.Code { return w.ends[id].Code }

// await advances the virtual clock until an arrival has its end, at most for d.
func (w *world) await(id arrivalID, d time.Duration) {
	for end := w.now + d; w.now < end && w.code(id) == 0; {
		w.run(100 * time.Millisecond)
	}
}
