package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/timers"
)

// Timing of a fleet world. stableWindow is the time that a fleet has to learn
// something in.
const (
	worldHop         = time.Millisecond
	worldPrefill     = 100 * time.Millisecond
	worldEvent       = 90 * time.Millisecond
	worldRestart     = 3 * time.Second
	worldEntryExpiry = 3600 * time.Millisecond
	worldStall       = 1500 * time.Millisecond
	// worldConnectTimeout is how long an instance waits for a connection.
	worldConnectTimeout = 250 * time.Millisecond
	stableWindow        = 3 * time.Second
)

// fleetWorld drives the cores of several instances on one virtual clock against
// targets that end when they begin to answer a request with a crashing part.
type fleetWorld struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	queue     timers.Queue
	config    *Config
	instances []*worldInstance
	targets   []*worldTarget
	// lossRate is the share of the messages between instances that is lost.
	lossRate float64
	// crashing are the parts that crash targets now.
	crashing map[uint64]bool
	cut      string // failure domain that is separated from the others
	// oneTargetDomain says that all targets are in the first failure domain.
	oneTargetDomain bool
	// silenced says that the messages from one instance to another are lost; nil for none.
	silenced func(from, to *worldInstance) bool
	crashes  map[uint64][]time.Duration
	// reached are the times at which requests with a part reached targets.
	reached   map[uint64][]time.Duration
	requests  []*worldRequest
	rejects   float64        // share of the requests that targets reject
	logCounts map[string]int // lines in the logs of all instances, by their event
	// onRun is called for each request that reaches its target, unless it is nil.
	onRun    func(*worldRun)
	refusals int // of requests without a crashing part, by quarantine
}

type worldInstance struct {
	world    *fleetWorld
	name     string
	domain   string
	core     *Core
	timerAt  time.Duration
	lastID   RequestID
	requests map[RequestID]*worldRequest
	runs     map[AttemptID]*worldRun
	relays   map[AttemptID]*worldRelay // requests that a peer serves for this instance
	down     bool
	// cutOff says that there is no path to any target. Connections hang, or are refused
	// if refusing is set.
	cutOff, refusing bool
	// frozenUntil is the time until which all events wait.
	frozenUntil time.Duration
	// sendDelay is the time from the decision to send until the request is written.
	sendDelay time.Duration
}

type worldTarget struct {
	Target
	slot, starts int
	down         bool
	runs         []*worldRun
	limit        Limit           // named in answers
	arrivals     []time.Duration // of requests and of helpers' parts
	arrivedFrom  []string        // the instances that sent them
	// turnAway returns the time in which the target wants no further requests instead of
	// running this one, or zero; nil for targets that run all.
	turnAway func(*worldRun) time.Duration
}

type worldRequest struct {
	route, prompt int
	path, key     string // select the route and the caller instead of route, if set
	parts         []uint64
	fingerprint   uint64
	beginsAtOnce  bool // once it reaches a target
	sentAt        time.Duration
	sends         int
	began         bool // at the first attempt
	finish        *Finish
	endedAt       time.Duration
	relayed       int         // times that it was sent to a peer
	relay         *worldRelay // of an arrival from a peer
	origin        *worldRequest
	config        *Config // in force at the arrival, of requests with a path
	runs          int     // that reached targets, here or by way of peers
}

func newFleetWorld(t *testing.T, seed uint64, instances, targets int) *fleetWorld {
	t.Helper()
	w := &fleetWorld{
		t: t, rng: rand.New(rand.NewPCG(seed, 9)), config: newHarness(t, 0).config, crashing: make(map[uint64]bool),
		logCounts: make(map[string]int), crashes: make(map[uint64][]time.Duration), reached: make(map[uint64][]time.Duration),
	}
	for i := range targets {
		w.targets = append(w.targets, &worldTarget{slot: i})
		w.startTarget(w.targets[i])
	}
	for range instances {
		w.addInstance()
	}
	return w
}

func (w *fleetWorld) domain(i int) string { return string(rune('a' + i%3)) }

// addInstance starts a further instance.
func (w *fleetWorld) addInstance() {
	w.instances = append(w.instances, nil)
	w.startInstance(len(w.instances) - 1)
}

// startInstance starts an instance, or starts it again with nothing in memory.
func (w *fleetWorld) startInstance(i int) {
	if former := w.instances[i]; former != nil {
		former.down = true
		for _, run := range former.runs {
			run.end()
		}
	}
	in := &worldInstance{
		world: w, timerAt: -1, name: fmt.Sprintf("front-%03d", i), domain: w.domain(i),
		requests: make(map[RequestID]*worldRequest), runs: make(map[AttemptID]*worldRun),
		relays: make(map[AttemptID]*worldRelay),
	}
	w.instances[i] = in
	in.core = New(Options{
		Name: in.name, FailureDomain: in.domain, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
		ReservationTTL: 3 * time.Second, Seed: in.world.rng.Uint64(),
	})
	in.step(Configure{in.world.config})
	for _, target := range in.world.targets {
		if !target.down {
			in.step(TargetListed{target.Target})
		}
	}
}

// startTarget starts a target again as another incarnation at the same address.
func (w *fleetWorld) startTarget(target *worldTarget) {
	target.starts++
	target.down, target.runs, target.limit = false, nil, Limit{Statement: LimitNone}
	target.arrivals, target.arrivedFrom = nil, nil
	target.Target = Target{
		ID: fmt.Sprintf("t%d-%d", target.slot, target.starts), Service: "pool", Address: fmt.Sprintf("10.0.0.%d:1", target.slot),
		FailureDomain: w.domain(target.slot), Slots: 16, StartedMS: w.now.Milliseconds() + 1,
	}
	if w.oneTargetDomain {
		target.FailureDomain = w.domain(0)
	}
	for _, in := range w.instances {
		in.step(TargetListed{target.Target})
	}
}

func (w *fleetWorld) after(d time.Duration, fn func()) { w.queue.Set(w.now+d, fn) }

// runUntil advances the virtual clock.
func (w *fleetWorld) runUntil(end time.Duration) {
	for {
		at, ok := w.queue.Next()
		if !ok || at > end {
			w.now = end
			return
		}
		w.now = max(w.now, at)
		w.queue.Run(w.now)
	}
}

func (in *worldInstance) step(ev Event) {
	if in.down {
		return
	}
	if in.frozenUntil > in.world.now {
		in.world.after(in.frozenUntil-in.world.now, func() { in.step(ev) })
		return
	}
	for _, eff := range in.core.Step(in.world.now, ev) {
		in.execute(eff)
	}
	if at, ok := in.core.NextTimer(); ok && (in.timerAt < 0 || at < in.timerAt) {
		in.timerAt = at
		in.world.queue.Set(at, func() {
			if in.timerAt == at {
				in.timerAt = -1
				in.step(Tick{})
			}
		})
	}
}

func (in *worldInstance) execute(eff Effect) {
	w := in.world
	switch eff := eff.(type) {
	case Send:
		in.send(eff)
	case Cancel:
		if run := in.runs[eff.Attempt]; run != nil {
			run.end()
		}
		if relay := in.relays[eff.Attempt]; relay != nil {
			relay.leave()
		}
	case Finish:
		r := in.requests[eff.Request]
		must.Nil(w.t, r.finish, must.Sprint("a request ended twice"))
		r.finish, r.endedAt = &eff, w.now
		if r.relay != nil {
			r.relay.finish(eff)
		}
		if eff.Code.String() == "quarantined" && !w.carriesCrashingPart(r) {
			w.refusals++
		}
	case Log:
		w.logCounts[eff.Event]++
	case Reserve:
		w.after(worldHop, func() {
			in.step(Reserved{Request: eff.Request, Target: eff.Target.ID, Ticket: eff.Ticket, Granted: true})
		})
	case CheckTarget:
		target := w.target(eff.Target)
		w.after(w.connectTime(in), func() { in.step(TargetChecked{eff.Target, w.checkResult(in, target)}) })
	case SendGossip:
		for _, peer := range w.instances {
			if peer == in || eff.Domain != "" && eff.Domain != peer.domain || eff.Peer != "" && eff.Peer != peer.name ||
				w.separated(in.domain, peer.domain) || w.silenced != nil && w.silenced(in, peer) || w.rng.Float64() < w.lossRate {
				continue
			}
			w.after(worldHop, func() {
				peer.step(PeerGossip{From: in.name, Domain: in.domain, RelayAddress: in.name, Gossip: eff.Gossip})
			})
		}
	}
}

func (w *fleetWorld) separated(a, b string) bool { return a != b && (a == w.cut || b == w.cut) }

// target returns the world's target for an incarnation, or nil if it has ended.
func (w *fleetWorld) target(t Target) *worldTarget {
	i := slices.IndexFunc(w.targets, func(target *worldTarget) bool { return target.ID == t.ID })
	if i < 0 {
		return nil
	}
	return w.targets[i]
}

func (w *fleetWorld) checkResult(in *worldInstance, target *worldTarget) CheckResult {
	switch {
	case in.cutOff && !in.refusing:
		return CheckUnreachable
	case target == nil || target.down || in.cutOff:
		return CheckRefused
	case w.separated(in.domain, target.FailureDomain):
		return CheckUnreachable
	}
	return CheckAccepted
}

func (w *fleetWorld) carriesCrashingPart(r *worldRequest) bool {
	return slices.ContainsFunc(r.parts, func(part uint64) bool { return w.crashes[part] != nil || w.crashing[part] })
}

// submit sends a request to an instance.
func (in *worldInstance) submit(route, prompt int, parts ...uint64) *worldRequest {
	r := &worldRequest{route: route, prompt: prompt, parts: parts, fingerprint: in.world.rng.Uint64()}
	in.receive(r)
	return r
}

// receive makes a request arrive at an instance.
func (in *worldInstance) receive(r *worldRequest) {
	r.sentAt = in.world.now
	in.world.requests = append(in.world.requests, r)
	in.lastID++
	in.requests[in.lastID] = r
	in.step(RequestArrived{
		Request: in.lastID, Route: in.world.config.Routes[r.route], Config: in.world.config,
		Deadline: in.world.now + in.world.config.Routes[r.route].Timeout, PromptTokens: r.prompt, MaxAnswerTokens: 400,
		Fingerprint: r.fingerprint, SharedParts: r.parts,
	})
}

func (in *worldInstance) send(s Send) {
	w := in.world
	r := in.requests[s.Request]
	if s.Relay.Address != "" {
		in.relay(r, s)
		return
	}
	r.sends++
	run := &worldRun{instance: in, send: s, attempt: s.Attempt, request: r, target: w.target(s.Target)}
	for _, h := range s.Helpers {
		run.helpers = append(run.helpers, w.target(Target{ID: h.Target}))
	}
	in.runs[s.Attempt] = run
	w.after(w.connectTime(in)-worldHop+in.sendDelay, func() { run.arrive() })
}

// connectTime is the time until an instance knows whether it is connected to a target.
func (w *fleetWorld) connectTime(in *worldInstance) time.Duration {
	if in.cutOff && !in.refusing {
		return worldConnectTimeout
	}
	return 2 * worldHop
}

// root returns the request of a caller that a peer may serve.
func (r *worldRequest) root() *worldRequest {
	if r.origin != nil {
		return r.origin
	}
	return r
}

// endTarget ends a target and breaks all its runs. Runs that it helps break when their
// own target notices.
func (w *fleetWorld) endTarget(target *worldTarget) {
	target.down = true
	w.resetRuns(target)
	for _, other := range w.targets {
		for _, run := range slices.Clone(other.runs) {
			if slices.Contains(run.helpers, target) {
				w.after(worldStall, func() {
					if !run.ended {
						run.report(OutcomeBroken)
					}
				})
			}
		}
	}
	id := target.ID
	w.after(worldEntryExpiry, func() {
		for _, in := range w.instances {
			in.step(TargetRemoved{id})
		}
	})
	w.after(worldRestart, func() { w.startTarget(target) })
}

// resetRuns breaks the connections of all runs at a target.
func (w *fleetWorld) resetRuns(target *worldTarget) {
	for _, run := range slices.Clone(target.runs) {
		run.report(OutcomeBroken)
	}
}

// reachedLate counts the requests with a part that reached targets later than
// stableWindow after its fifth crash.
func (w *fleetWorld) reachedLate(part uint64) int {
	if len(w.crashes[part]) < 5 {
		return 0
	}
	late := 0
	for _, at := range w.reached[part] {
		if at > w.crashes[part][4]+stableWindow {
			late++
		}
	}
	return late
}

// beganShare is the share of the sound requests sent in a span whose first attempt
// began.
func (w *fleetWorld) beganShare(from, to time.Duration, match func(*worldRequest) bool) float64 {
	began, total := 0, 0
	for _, r := range w.requests {
		if r.sentAt >= from && r.sentAt < to && !w.carriesCrashingPart(r) && match(r) {
			total++
			if r.began {
				began++
			}
		}
	}
	return float64(began) / float64(max(1, total))
}
