// Package entry is the state machine of one entry instance:
// Step(now, event) → effects. It does no I/O, starts no goroutine and reads no
// clock, so the daemon, the replay tool and tests drive the same code. The same
// inputs give the same outputs.
package entry

import (
	"math/rand/v2"
	"time"

	"github.com/medlardeck/medlardeck/internal/admission"
	"github.com/medlardeck/medlardeck/internal/booking"
	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/routing"
	"github.com/medlardeck/medlardeck/internal/target"
	"github.com/medlardeck/medlardeck/internal/timers"
	"github.com/medlardeck/medlardeck/internal/workspace"
)

// Options are the settings of one entry instance.
type Options struct {
	// Name is unique among entry instances.
	Name          string
	FailureDomain string
	// Address is where peers reach this instance, host:port; empty for an
	// instance without peers.
	Address string
	// Peers are addresses of other instances. They get heartbeats while this
	// instance knows no other, for instance from the platform's list.
	Peers []string
	// Incarnation increases with each start of an instance of this name, and is never that of
	// a former start: the names that others remember carry it.
	Incarnation uint64
	// StopLag is the time between the start of a planned stop, when the
	// instance reports that it is not ready, and the first refusal of new work.
	// It has to cover the time in which a load balancer notices.
	StopLag time.Duration
	// Epoch is the monotonic time at which the instance starts.
	Epoch time.Duration
	// ReservationTTL is how long engines keep memory reserved for a group
	// without a renewal; zero means DefaultReservationTTL.
	ReservationTTL time.Duration
	// Orders lets the instance compete to be the writer of its failure domain:
	// the one instance that tells targets which models to load.
	Orders bool
	// WeightStoreRate is the rate at which the weight store serves the failure
	// domain, in bytes per second; zero means
	// DefaultWeightStoreBytesPerSecond.
	WeightStoreRate float64
	// Wall is the wall-clock time at monotonic time zero, counted from an origin
	// that all instances share. It dates records that outlive the instance.
	Wall time.Duration
	// Claims are the settings of claims; zero values mean the defaults.
	Claims booking.Options
	// Seed seeds the random choices; equal seeds give equal runs.
	Seed uint64
}

// Entry makes all decisions of one entry instance. It is not safe for
// concurrent use.
type Entry struct {
	opts    Options
	rng     *rand.Rand
	now     time.Duration
	effects []Effect

	timers timers.Queue

	accepted        configuration.Accepted
	configIndex     configuration.Index
	targets         *target.Table
	policy          routing.Policy
	prefixIndex     *target.PrefixIndex
	workspaceLimits *workspace.Limiter
	queues          *admission.ClassQueues
	retryBudget     *admission.RetryBudget
	answerLengths   answerLengths
	queueTimerSet   bool // the timer that calls sendQueued again is set

	poller       poller
	joinableRuns map[runKey]*activeRequest // running completions that a resend may join

	requests      map[RequestID]*activeRequest
	attempts      map[request.AttemptID]*activeRequest
	lastAttemptID request.AttemptID

	healthWatched map[string]bool // targets with a pending health timer, by name

	openCommands map[uint64]OperatorCommand // operators' commands without an answer, by id

	pendingStoreCalls map[uint64]func(StoreReply)
	lastCallID        uint64

	suspects suspectState

	orders orders

	leavingTargets []string // as the platform's list shows them

	pendingGroupCalls map[uint64]func(GroupStatus)
	lastGroupID       uint64

	members    *membership.Table
	peers      peers
	configSync configSync

	refusalCounts map[string]int64
	claims        claims

	drained      bool // by operators
	drainedAt    time.Duration
	stopping     bool          // not ready
	refusingWork bool          // since a planned stop, after its lag
	stopEnd      time.Duration // when open requests end because of a planned stop; zero for no such time
	stopExpired  bool
	stopped      bool
}

// New returns an entry without a configuration; it refuses requests until it
// adopts one.
func New(opts Options) *Entry {
	if opts.ReservationTTL == 0 {
		opts.ReservationTTL = DefaultReservationTTL
	}
	e := &Entry{
		refusalCounts:     make(map[string]int64),
		opts:              opts,
		now:               opts.Epoch,
		rng:               rand.New(rand.NewPCG(opts.Seed, opts.Incarnation)),
		targets:           target.NewTable(),
		prefixIndex:       target.NewPrefixIndex(),
		workspaceLimits:   workspace.New(),
		queues:            admission.NewClassQueues(admission.DefaultLimits()),
		retryBudget:       admission.NewRetryBudget(),
		joinableRuns:      make(map[runKey]*activeRequest),
		requests:          make(map[RequestID]*activeRequest),
		attempts:          make(map[request.AttemptID]*activeRequest),
		healthWatched:     make(map[string]bool),
		suspects:          newSuspectState(opts.Name),
		pendingGroupCalls: make(map[uint64]func(GroupStatus)),
		pendingStoreCalls: make(map[uint64]func(StoreReply)),
		openCommands:      make(map[uint64]OperatorCommand),
	}
	e.policy = e.newPolicy(configuration.Serving{})
	e.orders = e.newOrders()
	e.startPeers()
	e.initClaims()
	return e
}

// Step advances the entry to now, handles one event and returns the effects
// that the I/O layer has to carry out, in order. now must not run backwards; an
// earlier time counts as the last one. The returned slice is valid until the
// next Step.
func (e *Entry) Step(now time.Duration, ev Event) []Effect {
	e.now = max(e.now, now)
	e.effects = e.effects[:0]
	e.timers.Run(e.now)
	switch ev := ev.(type) {
	case RequestArrived:
		e.handleRequestArrived(ev)
	case Delivered:
		e.handleDelivered(ev)
	case AttemptEnd:
		e.handleAttemptEnd(ev)
	case CallerLeft:
		e.handleCallerLeft(ev)
	case LoadReported:
		e.handleLoadReported(ev)
	case PollFailed:
		e.handlePollFailed(ev)
	case OrderReply:
		e.handleOrderReply(ev)
	case GroupReply:
		e.handleGroupReply(ev)
	case StoreReply:
		e.handleStoreReply(ev)
	case PeerMessage:
		e.handlePeerMessage(ev)
	case PeerFailed:
		e.handlePeerFailed(ev)
	case OperatorCommand:
		e.handleOperatorCommand(ev)
	case AdoptConfiguration:
		e.handleAdoptConfiguration(ev.Accepted)
	case Stop:
		e.handleStop(ev.Timeout)
	case EndStop:
		e.endStop()
	case Tick:
	}
	e.applyClaimVerdicts()
	if _, ok := ev.(Delivered); !ok { // tokens free so little room that the timer of the queues suffices
		e.sendQueued()
	}
	e.finishStop()
	return e.effects
}

// NextTimer returns the time of the next timer; ok is false when there is none.
func (e *Entry) NextTimer() (at time.Duration, ok bool) {
	return e.timers.Next()
}

func (e *Entry) emit(eff Effect) { e.effects = append(e.effects, eff) }

// incrementCounter emits a Count and keeps the refusals for Status.
func (e *Entry) incrementCounter(counter, reason string) {
	if counter == CounterRefusals {
		e.refusalCounts[reason]++
	}
	e.emit(Count{Counter: counter, Reason: reason})
}

// scheduleAfter runs fn at the first Step at or after now+d. Timers can't be
// cancelled: fn checks whether it still applies.
func (e *Entry) scheduleAfter(d time.Duration, fn func()) {
	e.timers.Set(e.now+d, fn)
}
