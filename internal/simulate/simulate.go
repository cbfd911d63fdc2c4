// Package simulate drives the decisions of several entry instances over virtual
// time, before modelled engines and callers. It has no sockets and no clock: a
// day of many thousand requests takes about a second, and the same seed gives
// the same day.
package simulate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/timers"
)

// Times between the parts of a deployment, one way.
const (
	callerHop    = time.Millisecond
	nearHop      = 200 * time.Microsecond
	farHop       = 1400 * time.Microsecond
	engineMemory = 232_000
)

// Deployment is what a day is played on.
type Deployment struct {
	Instances, Engines, Domains int
	Slots                       int
	Policy                      fleet.Policy
}

// Simulation is one day in progress.
type Simulation struct {
	deployment Deployment
	day        Day
	now        time.Duration
	queue      timers.Queue
	rng        *rand.Rand
	config     *fleet.Config
	engines    map[string]*engine
	order      []*engine
	instances  []*instance
	calls      []*call
}

// instance is one entry instance with its open requests.
type instance struct {
	sim      *Simulation
	name     string
	domain   string
	core     *fleet.Core
	wakeAt   time.Duration
	nextID   fleet.RequestID
	requests map[fleet.RequestID]*call
	attempts map[fleet.AttemptID]*attempt
}

// attempt is one send of a call.
type attempt struct {
	call     *call
	instance *instance
	send     fleet.Send
	engine   *engine
	work     *work
	events   int
	ended    bool // for the engine: cancelled, complete or broken
}

// Run plays a day and returns what callers got.
func Run(d Deployment, day Day, seed uint64) *Report {
	s := newSimulation(d, day, seed)
	s.playDay()
	return newReport(day, s.calls)
}

func newSimulation(d Deployment, day Day, seed uint64) *Simulation {
	s := &Simulation{deployment: d, day: day, rng: rand.New(rand.NewPCG(seed, 1)), engines: make(map[string]*engine)}
	s.config = configuration(day.Kinds, d.Slots)
	for i := range d.Engines {
		s.addEngine(i)
	}
	for i := range d.Instances {
		s.addInstance(i, seed)
	}
	return s
}

// playDay plays all arrivals and troubles of the day.
func (s *Simulation) playDay() {
	for _, k := range s.day.Kinds {
		s.arrivals(k)
	}
	for _, t := range s.day.Troubles {
		s.after(t.At, func() { s.trouble(t) })
	}
	s.play(s.day.Length + settle)
}

// play runs what is due until end.
func (s *Simulation) play(end time.Duration) {
	for {
		at, ok := s.queue.Next()
		if !ok || at > end {
			return
		}
		s.now = max(s.now, at)
		s.queue.Run(s.now)
	}
}

// settle is the time after a day's last arrival in which requests end.
const settle = 20 * time.Second

func (s *Simulation) after(d time.Duration, fn func()) { s.queue.Set(s.now+d, fn) }

// hop is the time between two failure domains.
func (s *Simulation) hop(a, b string) time.Duration {
	if a == b {
		return nearHop
	}
	return farHop
}

func (s *Simulation) domain(i int) string { return fmt.Sprintf("domain-%d", i%s.deployment.Domains) }

func (s *Simulation) addEngine(i int) *engine {
	e := s.config.Services[serviceName].Engine
	g := &engine{
		sim: s, e: e, pace: 1, tickets: make(map[string]int),
		target: fleet.Target{
			ID: fmt.Sprintf("engine-%03d", i), Service: serviceName, Address: fmt.Sprintf("engine-%03d:1", i),
			Domain: s.domain(i), Slots: e.Slots, StartedMS: 1,
		},
	}
	s.engines[g.target.ID] = g
	s.order = append(s.order, g)
	return g
}

func (s *Simulation) addInstance(i int, seed uint64) {
	in := &instance{
		sim: s, name: fmt.Sprintf("instance-%03d", i), domain: s.domain(i), wakeAt: -1,
		requests: make(map[fleet.RequestID]*call), attempts: make(map[fleet.AttemptID]*attempt),
	}
	in.core = fleet.New(fleet.Options{
		Name: in.name, Domain: in.domain, Policy: s.deployment.Policy, RetryRatio: retryRatio, RetrySlack: retrySlack,
		RetryWindow: retryWindow, TicketHold: ticketHold, Seed: seed*1000 + uint64(i),
	})
	s.instances = append(s.instances, in)
	in.step(fleet.Configure{Config: s.config})
	for _, g := range s.order {
		in.step(fleet.TargetListed{Target: g.target})
	}
}

// step feeds an event to the decisions and does what they say.
func (in *instance) step(ev fleet.Event) {
	for _, eff := range in.core.Step(in.sim.now, ev) {
		in.carryOut(eff)
	}
	if at, ok := in.core.Next(); ok && (in.wakeAt < 0 || at < in.wakeAt) {
		in.wakeAt = at
		in.sim.queue.Set(at, func() { in.tick(at) })
	}
}

// tick runs the timers of an instance, unless an earlier step has done so.
func (in *instance) tick(at time.Duration) {
	if in.wakeAt != at {
		return
	}
	in.wakeAt = -1
	in.step(fleet.Tick{})
}

func (in *instance) carryOut(eff fleet.Effect) {
	s := in.sim
	switch eff := eff.(type) {
	case fleet.Send:
		in.send(eff)
	case fleet.Cancel:
		if a := in.attempts[eff.Attempt]; a != nil {
			a.end()
		}
	case fleet.Finish:
		if c := in.requests[eff.Request]; c != nil {
			delete(in.requests, eff.Request)
			s.after(callerHop, func() { c.finished(eff) })
		}
	case fleet.Reserve:
		g := s.engines[eff.Target.ID]
		hop := s.hop(in.domain, g.target.Domain)
		s.after(hop, func() {
			ok := g.reserve(eff.Ticket, eff.Tokens)
			s.after(hop, func() {
				in.step(fleet.Reserved{Request: eff.Request, Target: eff.Target.ID, Granted: ok})
			})
		})
	case fleet.Release:
		g := s.engines[eff.Target.ID]
		s.after(s.hop(in.domain, g.target.Domain), func() {
			delete(g.tickets, eff.Ticket)
			g.wake()
		})
	case fleet.Share:
		for _, peer := range s.instances {
			if peer != in {
				s.after(s.hop(in.domain, peer.domain), func() {
					peer.step(fleet.PeerLoad{From: in.name, Gossip: eff.Gossip})
				})
			}
		}
	}
}

func (in *instance) send(send fleet.Send) {
	s := in.sim
	c := in.requests[send.Request]
	g := s.engines[send.Target.ID]
	a := &attempt{call: c, instance: in, send: send, engine: g}
	if n, err := strconv.Atoi(send.ResumeAfter); err == nil {
		a.events = n // the stream goes on behind what the caller has
	}
	in.attempts[send.Attempt] = a
	s.after(s.hop(in.domain, g.target.Domain), func() {
		if a.ended {
			return
		}
		switch {
		case g.gone:
			a.finish(fleet.EndNotConnected)
		case !g.submit(a):
			a.finish(fleet.EndNotRun)
		}
	})
}

// end takes the attempt off its engine.
func (a *attempt) end() {
	if a.ended {
		return
	}
	a.ended = true
	if a.work != nil {
		a.engine.cancel(a.work)
	}
}

// finish tells the instance how the attempt ended.
func (a *attempt) finish(end fleet.End) {
	a.end()
	s := a.instance.sim
	s.after(s.hop(a.instance.domain, a.engine.target.Domain), func() {
		a.instance.step(fleet.AttemptEnd{Attempt: a.send.Attempt, End: end})
	})
}

func (a *attempt) broken() {
	if !a.ended {
		a.finish(fleet.EndBroken)
	}
}

// event passes one event of the answer on; last says that it is the last one.
func (a *attempt) event(last bool) {
	a.events++
	id := fmt.Sprint(a.events)
	if last {
		a.ended = true
	}
	s := a.instance.sim
	s.after(s.hop(a.instance.domain, a.engine.target.Domain), func() {
		a.instance.step(fleet.Progress{Attempt: a.send.Attempt, EventID: id})
		s.after(callerHop, func() { a.call.event() })
		if last {
			a.instance.step(fleet.AttemptEnd{Attempt: a.send.Attempt, End: fleet.EndComplete})
		}
	})
}

// trouble does one thing to an engine or to all.
func (s *Simulation) trouble(t Trouble) {
	alive := slices.DeleteFunc(slices.Clone(s.order), func(g *engine) bool { return g.gone })
	if len(alive) == 0 {
		return
	}
	g := alive[s.rng.IntN(len(alive))]
	switch t.Kind {
	case TroubleCrash:
		g.fail()
		s.after(t.For, func() {
			n := s.addEngine(len(s.order))
			for _, in := range s.instances {
				in.step(fleet.TargetRemoved{ID: g.target.ID})
				in.step(fleet.TargetListed{Target: n.target})
			}
		})
	case TroubleSlow:
		g.pace = t.Factor
		s.after(t.For, func() { g.pace = 1 })
	}
}
