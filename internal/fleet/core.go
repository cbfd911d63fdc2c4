package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/forecast"
	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/timers"
)

// Options configure the Core of one entry instance.
type Options struct {
	// Name is unique among instances.
	Name string
	// Incarnation tells the processes apart that have or had the same Name. Whatever
	// others remember by a name is named by it, too.
	Incarnation   uint64
	FailureDomain string
	// Policy selects how targets are chosen; empty means PolicyValue.
	Policy Policy
	// RetryRatio and RetrySlack bound the retries that all instances together make
	// to one service in RetryWindow: RetryRatio x requests + RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ReservationTTL is the time after which a target drops a memory reservation that
	// was not renewed.
	ReservationTTL time.Duration
	// MaxIdleReservation is the longest time for which reserved memory may stay unused; zero
	// for no bound.
	MaxIdleReservation time.Duration
	Seed               uint64
}

// Core is the state machine that makes the routing decisions of one instance. It
// is not safe for concurrent use.
type Core struct {
	opts    Options
	rng     *rand.Rand
	now     time.Duration
	effects []Effect

	timers timers.Queue

	config           *Config
	targets          map[string]*targetState
	targetsByService map[string][]*targetState // ordered by id
	quiets           map[incarnation]*targetQuiet
	colds            map[incarnation]*targetCold
	roster           instanceRoster
	store            storeState
	evacuations      evacuationState
	saidLeaving      map[incarnation]time.Duration // targets that said that they leave, and when they were last listed

	requests      map[RequestID]*activeRequest
	attempts      map[AttemptID]*activeRequest
	lastAttemptID AttemptID
	deciding      *activeRequest // request that the present Step dispatches or whose attempt it ends, see Recover
	lastKey       uint64         // numbers loads and reservation tickets of this process
	roundRobin    map[string]int // position of PolicyRoundRobin, by service

	peers                map[string]*peer
	instanceDomains      []string // failure domains with instances, in order
	instanceDomainsEpoch int      // incremented by each change of instanceDomains
	outbox               outbox

	retryBudgets        map[string]*retryBudget // by service
	culprits            *quarantine.Culprits
	announcedVerdicts   map[quarantine.Fingerprint]bool // by this instance
	incidentTimer       bool                            // the timer of endIncidents is running
	reportedCrashes     []reportedCrash                 // own ones that the full messages repeat
	targetChecks        map[incarnation]*targetCheck    // of targets with broken runs
	demands             map[string]*demand              // by service
	prefillDemands      map[string]*prefillDemand       // by service
	peerArrivals        map[string]*arrivalCount        // of short requests, by service
	waiting             map[RequestID]*activeRequest    // that wait for room at the targets
	waitingPeers        map[*peerProcess]bool           // of which requests are known to wait
	waitingRepeated     bool                            // a timer of repeatWaiting is set
	returnsBookedUntil  map[string]time.Duration        // see bookReturn, by service
	lengths             *forecast.Lengths
	unseen              unseenSends
	firstEvents         *forecast.Ratios
	nextCosts           costTurn
	domains             map[string]*domainHealth // failure domains that failed since their last success
	paths               map[string]*targetPath   // by service
	outdatedPathChecks  map[string]bool          // ids of targets whose checks began before the path was found sound
	relayedCount        int                      // requests of peers in flight
	stop                stopState
	lastArrivalAt       time.Duration
	hasPulse            bool          // a timer of startPulse is set
	replacementSearches int           // in this Step
	settledAt           time.Duration // what arrived while this instance was held up is read until then
}

// New returns a Core without configuration and targets.
func New(opts Options) *Core {
	c := &Core{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0)),
		targets: make(map[string]*targetState), targetsByService: make(map[string][]*targetState),
		requests: make(map[RequestID]*activeRequest), attempts: make(map[AttemptID]*activeRequest),
		quiets: make(map[incarnation]*targetQuiet), colds: make(map[incarnation]*targetCold), roster: instanceRoster{size: 1, baseSize: 1},
		roundRobin: make(map[string]int), peers: make(map[string]*peer),
		retryBudgets: make(map[string]*retryBudget), culprits: quarantine.NewCulprits(), announcedVerdicts: make(map[quarantine.Fingerprint]bool), domains: make(map[string]*domainHealth),
		targetChecks: make(map[incarnation]*targetCheck), demands: make(map[string]*demand), prefillDemands: make(map[string]*prefillDemand), peerArrivals: make(map[string]*arrivalCount), waiting: make(map[RequestID]*activeRequest), waitingPeers: make(map[*peerProcess]bool), returnsBookedUntil: make(map[string]time.Duration), paths: make(map[string]*targetPath), outdatedPathChecks: make(map[string]bool), lengths: forecast.NewLengths(), firstEvents: forecast.NewRatios(),
		store:       storeState{reachable: true, departed: make(map[incarnation]time.Duration)},
		saidLeaving: make(map[incarnation]time.Duration),
	}
	c.updateInstanceDomains()
	return c
}

// Step advances the time to now, runs the timers that are due, handles one event
// and returns the effects that the caller has to carry out, in order. A target's answer is
// handled before the timers. The returned slice is valid until the next Step. After a panic,
// Recover has to be called before the next Step.
func (c *Core) Step(now time.Duration, ev Event) []Effect {
	c.now = max(c.now, now)
	c.effects = c.effects[:0]
	c.replacementSearches, c.deciding = 0, nil
	c.recordHoldUp()
	if isFromTarget(ev) { // it has arrived before the timers that are due now
		c.handleEvent(ev)
		c.deciding = nil
		c.timers.Run(c.now)
	} else {
		c.timers.Run(c.now)
		c.handleEvent(ev)
	}
	c.emitGossip()
	return c.effects
}

// isFromTarget reports whether an event is a part of a target's answer.
func isFromTarget(ev Event) bool {
	switch ev.(type) {
	case Progress, CallerBlocked, AttemptEnd:
		return true
	}
	return false
}

func (c *Core) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case Configure:
		c.applyConfig(ev.Config)
	case TargetListed:
		c.updateTarget(ev.Target)
	case TargetRemoved:
		c.removeTarget(ev.ID)
	case TargetList:
		c.syncTargets(ev)
	case StoreReachability:
		c.setStoreReachable(ev.Reachable)
	case EvacuationsStated, EvacuationList:
		c.handleEvacuations(ev)
	case StoreRestored:
		c.log("store-restored")
		c.deferRemovals()
	case RequestArrived:
		c.handleRequestArrived(ev)
	case Connected:
		c.recordConnected(ev.Target)
	case LeavingStated, ColdStated:
		c.handleTargetStatement(ev)
	case AttemptStarted:
		c.handleAttemptStarted(ev)
	case Progress:
		c.handleProgress(ev)
	case CallerBlocked:
		c.handleCallerBlocked(ev)
	case AttemptEnd:
		c.handleAttemptEnd(ev)
	case CallerLeft:
		c.handleCallerLeft(ev)
	case Reserved:
		c.handleReserved(ev)
	case TargetChecked:
		c.handleTargetChecked(ev)
	case QuietRequested:
		c.handleQuietRequested(ev)
	case PeerGossip:
		c.handlePeerGossip(ev)
	case Stop:
		c.beginStop(ev)
	case EndStop:
		c.endStop()
	case Tick:
	}
}

// NextTimer returns the time at which the next timer is due, when Step has to be called
// even without an event; ok is false if there is no timer.
func (c *Core) NextTimer() (dueAt time.Duration, ok bool) {
	return c.timers.Next()
}

// Config returns the configuration in force, or nil before the first one.
func (c *Core) Config() *Config { return c.config }

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) incrementCounter(counter, reason string) { c.emit(Count{counter, reason}) }

func (c *Core) log(event string, pairs ...any) {
	c.emit(Log{event, pairs})
}

// applyConfig puts a configuration in force unless it is no newer than the present
// one.
func (c *Core) applyConfig(config *Config) {
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.log("configuration", "version", config.Version, "routes", len(config.Routes),
		"workspaces", len(config.Workspaces), "keys_required", config.RequiresKeys())
	former := c.config
	c.config = config
	c.applyKnownServices(former)
	c.applyColdConfig(former)
}

// afterFunc runs fn in the first Step at or after now+delay. Timers cannot be
// cancelled: fn has to check whether it still applies.
func (c *Core) afterFunc(delay time.Duration, fn func()) {
	c.timers.Set(c.now+delay, fn)
}

// serviceTargets returns the targets of a service, ordered by id.
func (c *Core) serviceTargets(service string) []*targetState { return c.targetsByService[service] }

// addTarget inserts a target into the index by service, in the order of ids.
func (c *Core) addTarget(target *targetState) {
	pool := c.targetsByService[target.Service]
	i, _ := slices.BinarySearchFunc(pool, target.ID, func(target *targetState, id string) int {
		if target.ID < id {
			return -1
		} else if target.ID > id {
			return 1
		}
		return 0
	})
	c.targetsByService[target.Service] = slices.Insert(pool, i, target)
}

// deleteTarget removes a target from both indexes. Another incarnation that has its id by now
// stays.
func (c *Core) deleteTarget(target *targetState) {
	if c.targets[target.ID] == target {
		delete(c.targets, target.ID)
	}
	if c.hasSaidLeaving(target.Target) {
		c.rememberLeaving(target.incarnation())
	}
	c.targetsByService[target.Service] = slices.DeleteFunc(c.targetsByService[target.Service], func(other *targetState) bool { return other == target })
}
