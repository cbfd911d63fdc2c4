// Package simulate is a discrete-event simulation of a deployment: it runs the
// decision logic of several entry instances against modelled engines and callers.
// It uses virtual time and no sockets, so a day of many thousand requests takes
// about a second, and the same seed gives the same results.
package simulate

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/timers"
)

// One-way network delays, and the memory of an engine in tokens.
const (
	callerDelay        = time.Millisecond
	sameDomainDelay    = 200 * time.Microsecond
	crossDomainDelay   = 1400 * time.Microsecond
	engineMemoryTokens = 232_000
)

// Deployment describes the simulated deployment: the numbers of instances, engines and
// failure domains, the slots of each engine, and the routing policy.
type Deployment struct {
	Instances, Engines, Domains int
	Slots                       int
	Policy                      fleet.Policy
	// Engine holds the figures of the engines; nil for those of engineParams.
	Engine *fleet.Engine
	// CrossDomainDelay is the one-way delay between failure domains; zero for
	// crossDomainDelay.
	CrossDomainDelay time.Duration
	// MinMessageDelay and MaxMessageDelay bound what a message between instances takes in
	// addition to the network's delay.
	MinMessageDelay, MaxMessageDelay time.Duration
}

// engine returns the figures of the engines.
func (d *Deployment) engine() *fleet.Engine {
	if d.Engine != nil {
		return d.Engine
	}
	return engineParams(d.Slots)
}

// Simulation is the state of one simulated day.
type Simulation struct {
	deployment Deployment
	day        Day
	now        time.Duration
	eventQueue timers.Queue
	rng        *rand.Rand
	hintRNG    *rand.Rand // see drawLengthHint
	config     *fleet.Config
	engines    map[string]*engine
	engineList []*engine
	instances  []*instance
	calls      []*call
	// prefilledTokens and wastedTokens are the prompt tokens that engines have prefilled, and
	// those of them for attempts that did not end with an answer.
	prefilledTokens, wastedTokens int
	cancelledAttempts             int // by instances while the caller was there
}

// instance is one entry instance with its requests in progress.
type instance struct {
	sim      *Simulation
	name     string
	domain   string
	core     *fleet.Core
	timerAt  time.Duration
	nextID   fleet.RequestID
	requests map[fleet.RequestID]*call
	attempts map[fleet.AttemptID]*attempt
	lost     bool // ended without a stop
}

// attempt is one attempt of an instance to run a call on an engine.
type attempt struct {
	call       *call
	instance   *instance
	send       fleet.Send
	engine     *engine
	sequence   *sequence
	eventCount int
	sentAt     time.Duration
	ended      bool // on the engine: cancelled, complete or broken
}

// Run simulates a day on a deployment and returns the report of its calls.
func Run(d Deployment, day Day, seed uint64) *Report {
	s := newSimulation(d, day, seed)
	s.runDay()
	r := newReport(day, s.calls)
	r.prefilledTokens, r.wastedTokens, r.cancelledAttempts = s.prefilledTokens, s.wastedTokens, s.cancelledAttempts
	return r
}

func newSimulation(d Deployment, day Day, seed uint64) *Simulation {
	s := &Simulation{deployment: d, day: day, rng: rand.New(rand.NewPCG(seed, 1)), hintRNG: rand.New(rand.NewPCG(seed, 3)), engines: make(map[string]*engine)}
	s.config = buildConfig(day.Kinds, d.engine())
	for i := range d.Engines {
		s.addEngine(i)
	}
	for i := range d.Instances {
		s.addInstance(i, seed)
	}
	return s
}

// runDay simulates the day's arrivals and faults, and continues for drainTime after
// the end of the day.
func (s *Simulation) runDay() {
	for _, k := range s.day.Kinds {
		s.scheduleArrivals(k)
	}
	for _, fault := range s.day.Faults {
		s.schedule(fault.At, func() { s.injectFault(fault) })
	}
	if s.day.InstancesLostAt > 0 {
		s.schedule(s.day.InstancesLostAt, s.loseInstances)
	}
	s.runUntil(s.day.Duration + drainTime)
}

// runUntil runs the scheduled functions in order of time, up to and including end.
func (s *Simulation) runUntil(end time.Duration) {
	for {
		at, ok := s.eventQueue.Next()
		if !ok || at > end {
			return
		}
		s.now = max(s.now, at)
		s.eventQueue.Run(s.now)
	}
}

// drainTime is the time after the end of a day for the remaining requests to end.
const drainTime = 20 * time.Second

// schedule runs fn after d of virtual time.
func (s *Simulation) schedule(d time.Duration, fn func()) { s.eventQueue.Set(s.now+d, fn) }

// networkDelay returns the one-way delay between two failure domains.
func (s *Simulation) networkDelay(a, b string) time.Duration {
	if a == b {
		return sameDomainDelay
	}
	if s.deployment.CrossDomainDelay > 0 {
		return s.deployment.CrossDomainDelay
	}
	return crossDomainDelay
}

// messageDelay returns the delay of a message between two instances.
func (s *Simulation) messageDelay(from, to string) time.Duration {
	delay := s.networkDelay(from, to)
	if spread := s.deployment.MaxMessageDelay - s.deployment.MinMessageDelay; spread > 0 {
		delay += s.deployment.MinMessageDelay + time.Duration(s.rng.Int64N(int64(spread)))
	}
	return delay
}

func (s *Simulation) domainName(i int) string {
	return fmt.Sprintf("domain-%d", i%s.deployment.Domains)
}

func (s *Simulation) addEngine(i int) *engine {
	e := s.config.Services[serviceName].Engine
	g := &engine{
		sim: s, params: e, slowdown: 1, reservations: make(map[string]int),
		target: fleet.Target{
			ID: fmt.Sprintf("engine-%03d", i), Service: serviceName, Address: fmt.Sprintf("engine-%03d:1", i),
			FailureDomain: s.domainName(i), Slots: e.Slots, StartedMS: 1,
		},
	}
	s.engines[g.target.ID] = g
	s.engineList = append(s.engineList, g)
	return g
}

func (s *Simulation) addInstance(i int, seed uint64) {
	in := &instance{
		sim: s, name: fmt.Sprintf("instance-%03d", i), domain: s.domainName(i), timerAt: -1,
		requests: make(map[fleet.RequestID]*call), attempts: make(map[fleet.AttemptID]*attempt),
	}
	in.core = fleet.New(fleet.Options{
		Name: in.name, FailureDomain: in.domain, Policy: s.deployment.Policy, RetryRatio: retryRatio, RetrySlack: retrySlack,
		RetryWindow: retryWindow, ReservationTTL: reservationHold, Seed: seed*1000 + uint64(i),
	})
	s.instances = append(s.instances, in)
	in.handleEvent(fleet.Configure{Config: s.config})
	for _, g := range s.engineList {
		in.handleEvent(fleet.TargetListed{Target: g.target})
	}
}

// handleEvent passes an event to the instance's core, applies the resulting effects
// and schedules the core's next timer.
func (in *instance) handleEvent(ev fleet.Event) {
	if in.lost {
		return
	}
	for _, eff := range in.core.Step(in.sim.now, ev) {
		in.applyEffect(eff)
	}
	if at, ok := in.core.NextTimer(); ok && (in.timerAt < 0 || at < in.timerAt) {
		in.timerAt = at
		in.sim.eventQueue.Set(at, func() { in.runTimers(at) })
	}
}

// runTimers runs the timers that are due at the given time, unless the wake-up has been
// replaced by an earlier one.
func (in *instance) runTimers(at time.Duration) {
	if in.timerAt != at {
		return
	}
	in.timerAt = -1
	in.handleEvent(fleet.Tick{})
}

// applyEffect applies one effect of the core, with the network delay to its receiver.
func (in *instance) applyEffect(eff fleet.Effect) {
	s := in.sim
	switch eff := eff.(type) {
	case fleet.Send:
		in.startAttempt(eff)
	case fleet.Cancel:
		if a := in.attempts[eff.Attempt]; a != nil {
			if !a.ended && a.call.outcome == outcomePending {
				s.cancelledAttempts++
			}
			a.removeFromEngine()
		}
	case fleet.Finish:
		if c := in.requests[eff.Request]; c != nil {
			delete(in.requests, eff.Request)
			s.schedule(callerDelay, func() { c.handleFinish(eff) })
		}
	case fleet.Reserve:
		g := s.engines[eff.Target.ID]
		hop := s.networkDelay(in.domain, g.target.FailureDomain)
		s.schedule(max(hop, g.silentUntil-s.now), func() {
			ok := g.reserveMemory(eff.Ticket, eff.Tokens)
			s.schedule(hop, func() {
				in.handleEvent(fleet.Reserved{Request: eff.Request, Target: eff.Target.ID, Ticket: eff.Ticket, Granted: ok})
			})
		})
	case fleet.Release:
		g := s.engines[eff.Target.ID]
		s.schedule(s.networkDelay(in.domain, g.target.FailureDomain), func() {
			delete(g.reservations, eff.Ticket)
			g.startPass()
		})
	case fleet.CheckTarget:
		s.schedule(2*s.networkDelay(in.domain, eff.Target.FailureDomain), func() {
			result := fleet.CheckAccepted
			if s.engines[eff.Target.ID].crashed {
				result = fleet.CheckRefused
			}
			in.handleEvent(fleet.TargetChecked{Target: eff.Target, Result: result})
		})
	case fleet.SendGossip:
		for _, peer := range s.instances {
			if peer != in && (eff.Domain == "" || eff.Domain == peer.domain) && (eff.Peer == "" || eff.Peer == peer.name) {
				s.schedule(s.messageDelay(in.domain, peer.domain), func() {
					peer.handleEvent(fleet.PeerGossip{From: in.name, Domain: in.domain, Gossip: eff.Gossip})
				})
			}
		}
	}
}

// loseInstances ends every second instance: its callers' connections break, engines drop its
// attempts, and its reservations expire.
func (s *Simulation) loseInstances() {
	for i, in := range s.instances {
		if i%2 == 0 {
			continue
		}
		in.lost = true
		for _, a := range in.attempts {
			a.removeFromEngine()
		}
		for _, c := range in.requests {
			if c.outcome == outcomePending {
				c.outcome = outcomeFailed
			}
		}
		s.schedule(reservationHold, func() {
			for _, g := range s.engineList {
				maps.DeleteFunc(g.reservations, func(ticket string, _ int) bool { return strings.HasPrefix(ticket, in.name+"-") })
				g.startPass()
			}
		})
	}
}

// startAttempt submits an attempt to its engine after the network delay.
func (in *instance) startAttempt(send fleet.Send) {
	s := in.sim
	c := in.requests[send.Request]
	g := s.engines[send.Target.ID]
	a := &attempt{call: c, instance: in, send: send, engine: g, sentAt: s.now}
	if n, err := strconv.Atoi(send.ResumeAfter); err == nil {
		a.eventCount = n // the stream resumes after the caller's last event
	}
	in.attempts[send.Attempt] = a
	s.schedule(s.networkDelay(in.domain, g.target.FailureDomain), func() {
		if a.ended {
			return
		}
		switch {
		case g.crashed:
			a.reportEnd(fleet.OutcomeNotConnected)
		case !g.submit(a):
			a.reportEnd(fleet.OutcomeNotRun)
		}
	})
}

// removeFromEngine ends the attempt on its engine. It does nothing if the attempt has
// ended.
func (a *attempt) removeFromEngine() {
	if a.ended {
		return
	}
	a.ended = true
	if a.sequence != nil {
		a.instance.sim.wastedTokens += a.sequence.prefilledSum()
		a.engine.removeSequence(a.sequence)
	}
}

// reportEnd ends the attempt and reports the end to its instance.
func (a *attempt) reportEnd(end fleet.AttemptOutcome) {
	a.removeFromEngine()
	s := a.instance.sim
	s.schedule(s.networkDelay(a.instance.domain, a.engine.target.FailureDomain), func() {
		a.instance.handleEvent(fleet.AttemptEnd{Attempt: a.send.Attempt, Outcome: end})
	})
}

// reportBroken reports a broken connection, unless the attempt has ended.
func (a *attempt) reportBroken() {
	if !a.ended {
		a.reportEnd(fleet.OutcomeBroken)
	}
}

// sendEvent sends one event of the answer to the instance and on to the caller. last
// marks the last event, which completes the attempt.
func (a *attempt) sendEvent(last bool) {
	a.eventCount++
	id := fmt.Sprint(a.eventCount)
	if last {
		a.ended = true
	}
	s := a.instance.sim
	s.schedule(s.networkDelay(a.instance.domain, a.engine.target.FailureDomain), func() {
		if forecast := a.send.FirstEventForecast; forecast > 0 {
			a.call.firstEventRatio = float64(s.now-a.sentAt) / float64(forecast)
			a.send.FirstEventForecast = 0
		}
		a.instance.handleEvent(fleet.Progress{Attempt: a.send.Attempt, EventID: id})
		s.schedule(callerDelay, func() { a.call.recordEvent() })
		if last {
			a.instance.handleEvent(fleet.AttemptEnd{Attempt: a.send.Attempt, Outcome: fleet.OutcomeComplete})
		}
	})
}

// injectFault applies a fault to a random running engine, and to others in its scope.
func (s *Simulation) injectFault(fault Fault) {
	running := slices.DeleteFunc(slices.Clone(s.engineList), func(g *engine) bool { return g.crashed })
	if len(running) == 0 {
		return
	}
	drawn := running[s.rng.IntN(len(running))]
	for _, g := range running {
		if g == drawn || fault.Scope == ScopeAll || fault.Scope == ScopeDomain && g.target.FailureDomain == drawn.target.FailureDomain {
			s.injectEngineFault(g, fault)
		}
	}
}

func (s *Simulation) injectEngineFault(g *engine, fault Fault) {
	switch fault.Kind {
	case FaultCrash:
		g.crash()
		s.schedule(fault.Duration, func() {
			replacement := s.addEngine(len(s.engineList))
			for _, in := range s.instances {
				in.handleEvent(fleet.TargetRemoved{ID: g.target.ID})
				in.handleEvent(fleet.TargetListed{Target: replacement.target})
			}
		})
	case FaultSlow:
		g.slowdown = fault.SlowdownFactor
		s.schedule(fault.Duration, func() { g.slowdown = 1 })
	case FaultSilent:
		g.silentUntil = s.now + fault.Duration
		s.schedule(fault.Duration, g.startPass)
	}
}
