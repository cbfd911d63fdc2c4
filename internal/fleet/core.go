package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/timers"
)

// Options are the settings of the decisions of one instance.
type Options struct {
	// Name is unique among instances.
	Name   string
	Domain string // failure domain
	// Policy selects how targets are chosen; empty takes PolicyValue.
	Policy Policy
	// RetryRatio and RetrySlack bound the sends beyond the first of each request,
	// by all instances in RetryWindow: ratio x requests + slack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// TicketHold is the longest time that targets set memory aside.
	TicketHold time.Duration
	Seed       uint64
}

// Core holds the decisions of one instance. It is not safe for concurrent use.
type Core struct {
	opts Options
	rng  *rand.Rand
	now  time.Duration
	out  []Effect

	timers timers.Queue

	config    *Config
	runners   map[string]*runner
	byService map[string][]*runner // ordered by id
	store     storeState

	requests map[RequestID]*active
	attempts map[AttemptID]*active
	nextID   AttemptID
	nextKey  uint64
	turn     map[string]int // of round robin, by service

	peers    map[string]*peer
	outbox   outbox
	budgets  map[string]*budget // by service
	suspects map[uint64]*suspect
	demands  map[string]*demand // by service
	errors   map[string]float64 // learnt, by service
	domains  map[string]*domain // with failures since the last success
	stopping bool
	// Callers that come after lagEnds are taken only if they end by stopBy.
	lagEnds, stopBy time.Duration
	arrivedAt       time.Duration // when the last request came
}

// New returns decisions without configuration and targets.
func New(opts Options) *Core {
	c := &Core{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0)),
		runners: make(map[string]*runner), byService: make(map[string][]*runner),
		requests: make(map[RequestID]*active), attempts: make(map[AttemptID]*active),
		turn: make(map[string]int), peers: make(map[string]*peer),
		budgets: make(map[string]*budget), suspects: make(map[uint64]*suspect), domains: make(map[string]*domain),
		demands: make(map[string]*demand), errors: make(map[string]float64),
		store: storeState{reachable: true},
	}
	return c
}

// Step advances to now, handles one event and returns what the rim has to do,
// in order. The returned slice is valid until the next Step.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = max(c.now, now)
	c.out = c.out[:0]
	c.timers.Run(c.now)
	c.handle(ev)
	c.flush()
	return c.out
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case Configure:
		c.configure(ev.Config)
	case TargetListed:
		c.listed(ev.Target)
	case TargetRemoved:
		c.removed(ev.ID)
	case TargetList:
		c.list(ev.Targets)
	case StoreSeen:
		c.storeSeen(ev.Reachable)
	case Arrive:
		c.arrive(ev)
	case Progress:
		c.progress(ev)
	case AttemptEnd:
		c.attemptEnd(ev)
	case CallerLeft:
		c.callerLeft(ev)
	case Reserved:
		c.reserved(ev)
	case PeerLoad:
		c.peerLoad(ev)
	case Stop:
		c.stop(ev)
	case Tick:
	}
}

// Next returns the time of the next timer; ok is false when there is none.
func (c *Core) Next() (at time.Duration, ok bool) {
	return c.timers.Next()
}

// Stopping reports whether a planned stop has begun.
func (c *Core) Stopping() bool { return c.stopping }

func (c *Core) stop(ev Stop) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.lagEnds, c.stopBy = c.now+ev.Lag, c.now+ev.Grace
}

// Quiet reports whether no request is open and none came for a while.
func (c *Core) Quiet(while time.Duration) bool {
	return len(c.requests) == 0 && c.now-c.arrivedAt >= while
}

// endsInTime reports whether a request that comes during a stop can be answered
// before the process ends.
func (c *Core) endsInTime(a *active) bool {
	if !c.stopping || c.now < c.lagEnds {
		return true
	}
	need := stopFactor * a.arrive.Route.TargetLatency
	if e := c.engine(a); e != nil {
		// Answers are of any length up to the bound; one that is cut here is lost.
		step := e.StepMS + float64(e.Slots)*e.writerMS(float64(e.UsualPrompt))
		need += fromMS(e.readMS(a.arrive.PromptTokens, 1) + float64(a.arrive.MaxAnswerTokens)*step)
	}
	return c.now+need < c.stopBy
}

// stopFactor is the multiple of its target latency that a request may take to
// its first event, or to a plain answer, during a stop.
const stopFactor = 2

// Config returns the configuration in force, nil before the first.
func (c *Core) Config() *Config { return c.config }

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) count(counter, reason string) { c.emit(Count{counter, reason}) }

func (c *Core) log(event string, pairs ...any) { c.emit(Log{event, pairs}) }

func (c *Core) configure(config *Config) {
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.log("configuration", "version", config.Version, "routes", len(config.Routes),
		"workspaces", len(config.Workspaces))
	c.config = config
}

// after runs fn at the first Step at or after now+d. Timers are not cancelled:
// fn checks whether it still applies.
func (c *Core) after(d time.Duration, fn func()) {
	c.timers.Set(c.now+d, fn)
}

// suspect counts the runs of one request that ended with a broken connection.
type suspect struct {
	broken int
	until  time.Duration
}

// Bounds of requests that end the targets that run them.
const (
	// maxBroken is the number of broken runs from which a request is refused.
	maxBroken = 3
	// suspicionTime is how long broken runs are remembered: longer than a caller
	// of the usual deadlines goes on sending the request again.
	suspicionTime = time.Minute
)

func (c *Core) suspicious(fingerprint uint64) bool {
	s := c.suspects[fingerprint]
	return s != nil && s.broken >= maxBroken && c.now < s.until
}

// ranBroken notes a run that ended with a broken connection.
func (c *Core) ranBroken(fingerprint uint64) {
	for fp, s := range c.suspects {
		if c.now >= s.until {
			delete(c.suspects, fp)
		}
	}
	s := c.suspects[fingerprint]
	if s == nil {
		s = &suspect{}
		c.suspects[fingerprint] = s
	}
	s.broken++
	s.until = c.now + suspicionTime
}

// serviceRunners returns the targets of a service, ordered by id.
func (c *Core) serviceRunners(service string) []*runner { return c.byService[service] }

func (c *Core) indexRunner(r *runner) {
	pool := c.byService[r.Service]
	i, _ := slices.BinarySearchFunc(pool, r.ID, func(r *runner, id string) int {
		if r.ID < id {
			return -1
		} else if r.ID > id {
			return 1
		}
		return 0
	})
	c.byService[r.Service] = slices.Insert(pool, i, r)
}

func (c *Core) dropRunner(r *runner) {
	delete(c.runners, r.ID)
	c.byService[r.Service] = slices.DeleteFunc(c.byService[r.Service], func(o *runner) bool { return o == r })
}
