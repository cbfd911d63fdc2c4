// Package entry joins the aggregates of one entry instance into one state
// machine: Step(now, event) → effects. It does no I/O, starts no goroutine and
// reads no clock, so the daemon, the replay tool and tests drive the same
// code. Same inputs give the same outputs.
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
	// Peers are addresses of other instances, asked while none is known from
	// the platform's list.
	Peers []string
	// Incarnation rises with each start of an instance of this name.
	Incarnation uint64
	// StopLag is the time between the begin of a planned stop, when the
	// instance is no longer ready, and the first refusal of new work: what a
	// balancer needs to notice.
	StopLag time.Duration
	// Epoch is the monotonic time at which the instance starts.
	Epoch time.Duration
	// ReservationTTL is how long engines keep memory reserved for a group
	// without a renewal; zero takes DefaultReservationTTL.
	ReservationTTL time.Duration
	// Orders lets the instance seek to be the writer of its failure domain, who
	// gives orders to targets.
	Orders bool
	// WeightStoreRate is that of the weight store for the failure domain, in
	// bytes per second; zero takes DefaultWeightStoreRate.
	WeightStoreRate float64
	// Wall is the wall clock at monotonic time zero, from an origin that all
	// instances share, for records that outlive the instance.
	Wall time.Duration
	// Claims are the settings of claims; zero values take the defaults.
	Claims booking.Options
	// Seed makes the random choices; equal seeds give equal runs.
	Seed uint64
}

// Entry is one entry instance's decisions. It is not safe for concurrent use.
type Entry struct {
	opts Options
	rng  *rand.Rand
	now  time.Duration
	out  []Effect

	timers timers.Queue

	accepted configuration.Accepted
	index    configuration.Index
	targets  *target.Table
	policy   routing.Policy
	prefixes *target.PrefixIndex
	limits   *workspace.Limits
	waiting  *admission.Classes
	retries  *admission.RetryBudget
	answers  answerLengths
	pumping  bool // a timer is set to look at the queues again

	poller poller
	runs   map[runKey]*active // completions that a resend may join

	requests    map[RequestID]*active
	attempts    map[request.AttemptID]*active
	nextAttempt request.AttemptID

	watched map[string]bool // targets with a pending health timer

	storeCalls map[uint64]func(StoreReply)
	nextCall   uint64

	suspicion suspicion

	orders orders

	leavingTargets []string // by the platform's list

	groupCalls map[uint64]func(GroupStatus)
	nextGroup  uint64

	members *membership.Table
	peers   peers
	spread  spread

	refusals map[string]int64
	claims   claims

	drained   bool // by operators
	drainedAt time.Duration
	stopping  bool // not ready
	closed    bool // to new work, by a stop
	stopped   bool
}

// New returns an entry without a configuration; it refuses requests until it
// adopts one.
func New(opts Options) *Entry {
	if opts.ReservationTTL == 0 {
		opts.ReservationTTL = DefaultReservationTTL
	}
	e := &Entry{
		refusals:   make(map[string]int64),
		opts:       opts,
		now:        opts.Epoch,
		rng:        rand.New(rand.NewPCG(opts.Seed, opts.Incarnation)),
		targets:    target.NewTable(),
		prefixes:   target.NewPrefixIndex(),
		limits:     workspace.New(),
		waiting:    admission.NewClasses(admission.DefaultLimits()),
		retries:    admission.NewRetryBudget(),
		runs:       make(map[runKey]*active),
		requests:   make(map[RequestID]*active),
		attempts:   make(map[request.AttemptID]*active),
		watched:    make(map[string]bool),
		suspicion:  newSuspicion(opts.Name),
		groupCalls: make(map[uint64]func(GroupStatus)),
		storeCalls: make(map[uint64]func(StoreReply)),
	}
	e.policy = e.newPolicy(configuration.Serving{})
	e.orders = e.newOrders()
	e.startPeers()
	e.startClaims()
	return e
}

// Step advances the entry to now, handles one event and returns what the rim
// has to do, in order. now must not run backwards; an earlier time counts as
// the last one. The returned slice is valid until the next Step.
func (e *Entry) Step(now time.Duration, ev Event) []Effect {
	e.now = max(e.now, now)
	e.out = e.out[:0]
	e.timers.Run(e.now)
	switch ev := ev.(type) {
	case Arrive:
		e.arrive(ev)
	case Delivered:
		e.delivered(ev)
	case AttemptEnd:
		e.attemptEnd(ev)
	case CallerLeft:
		e.callerLeft(ev)
	case Reported:
		e.reported(ev)
	case ReportFailed:
		e.reportFailed(ev)
	case OrderReply:
		e.orderReply(ev)
	case GroupReply:
		e.groupReply(ev)
	case StoreReply:
		e.storeReply(ev)
	case PeerMessage:
		e.peerMessage(ev)
	case PeerFailed:
		e.peerFailed(ev)
	case Operate:
		e.operate(ev)
	case Adopt:
		e.adoptAccepted(ev.Accepted)
	case Stop:
		e.stop()
	case Tick:
	}
	e.decideClaims()
	if _, ok := ev.(Delivered); !ok { // a token gives no room that the timer would miss
		e.pump()
	}
	e.checkStopped()
	return e.out
}

// Next returns the time of the next timer; ok is false when there is none.
func (e *Entry) Next() (at time.Duration, ok bool) {
	return e.timers.Next()
}

func (e *Entry) emit(eff Effect) { e.out = append(e.out, eff) }

func (e *Entry) count(counter, reason string) {
	if counter == CounterRefusals {
		e.refusals[reason]++
	}
	e.emit(Count{Counter: counter, Reason: reason})
}

// after runs fn at the first Step at or after now+d. Timers are not cancelled:
// fn checks whether it still applies.
func (e *Entry) after(d time.Duration, fn func()) {
	e.timers.Set(e.now+d, fn)
}
