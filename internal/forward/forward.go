// Package forward proxies HTTP/1.1 requests from callers to targets. It passes
// events to the decision core in package fleet and executes the effects that
// the core returns; it holds no policy of its own.
package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/membudget"
)

// RequestMetadata is the metadata in the headers of a caller's request.
type RequestMetadata struct {
	// ID is the caller's ID for this request.
	ID string
	// APIKey is the API key that identifies the caller.
	APIKey string
	// TimeLeft is how long the caller waits for a response; zero if the request
	// does not say.
	TimeLeft time.Duration
	// PromptTokens and MaxAnswerTokens are zero if the request does not state
	// them.
	PromptTokens, MaxAnswerTokens int
	// LengthHint is the caller's estimate of the answer's tokens, zero for none.
	LengthHint int
	// SharedParts identify the parts of the prompt that other requests may share.
	SharedParts []uint64
	// WeightsVersion is the version of the weights that the caller expects, empty for any.
	WeightsVersion string
}

// ResponseMetadata is the metadata in the headers of a target's response.
type ResponseMetadata struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// Signed reports whether a target produced the response.
	Signed bool
	// NotRun reports that the target did not run the request and never will.
	NotRun bool
	// FailedAddress is the address of the target that caused the failure, empty if
	// none is named.
	FailedAddress string
	// TargetID is the id of the target that answers, empty if the response does not say.
	TargetID string
	// WeightsVersion is the version of that target's weights, empty if the response does
	// not say.
	WeightsVersion string
	Limit          fleet.Limit
	Leaving        fleet.Leaving
	Quiet          fleet.QuietRequest
	Cold           ColdStatement
}

// HeaderCodec reads and writes the platform's HTTP headers.
type HeaderCodec interface {
	ReadRequest(h http.Header) RequestMetadata
	// WriteRequestHeaders sets the headers of one attempt; timeLeft is how long the
	// target may take.
	WriteRequestHeaders(h http.Header, send fleet.Send, timeLeft time.Duration)
	// WriteRelayHeaders sets the headers of a request that is sent to a peer, which
	// authenticates the caller itself.
	WriteRelayHeaders(h http.Header, timeLeft time.Duration)
	ReadResponse(status int, h http.Header) ResponseMetadata
	// SetRequestID sets the request's ID in a response from this instance.
	SetRequestID(h http.Header, id string)
}

// OrderAnswer is what the answer to an order says of its target. It is zero if there is no
// answer.
type OrderAnswer struct {
	Leaving fleet.Leaving
	Quiet   fleet.QuietRequest
	Cold    ColdStatement
}

// MemoryReserver reserves and releases memory of targets. If a target refuses that, the
// error is an OrderRefusedError.
type MemoryReserver interface {
	Reserve(ctx context.Context, r fleet.Reserve) (OrderAnswer, error)
	Release(ctx context.Context, r fleet.Release) (OrderAnswer, error)
}

// Metrics increments counters and records durations.
type Metrics interface {
	Add(counter, reason string)
	Observe(histogram, class string, value time.Duration)
	ObserveRatio(histogram, class string, value float64)
}

// Options configures a Node.
type Options struct {
	Fleet          fleet.Options
	HeaderCodec    HeaderCodec
	MemoryReserver MemoryReserver
	Log            logr.Logger
	Metrics        Metrics
	// Budget bounds the memory of bodies and answers; nil for no bound.
	Budget *membudget.Budget
	// MaxTargetConns bounds the connections to targets and peers: beyond it, idle ones are
	// closed. Zero for no bound.
	MaxTargetConns int
	// LocalIP is the address from which this instance connects to its peers.
	LocalIP net.IP
	// OnConfig is called when a configuration comes into force; may be nil. It must not
	// block.
	OnConfig func(*fleet.Config)
	// AwaitTargets says that a first fleet.TargetList comes, for which requests wait as for
	// the first configuration.
	AwaitTargets bool
	// ConfigStale reports whether a newer configuration than the given version may be in
	// force at other instances; nil means while the store is unreachable.
	ConfigStale func(version uint64) bool
	// SendGossip sends a message to the peers; nil for an instance without peers. It
	// must not block.
	SendGossip func(fleet.SendGossip)
}

// Node connects the decision core of one instance to callers and targets. It is
// safe for concurrent use.
type Node struct {
	opts  Options
	clock *clock
	pool  *pool
	// transfers are the bodies that are being read, and the answers that are being written.
	transfers transfers
	refusals  *refusalLog
	// unanswered is the number of requests whose answers are not written yet.
	unanswered atomic.Int64

	mu               sync.Mutex
	core             *fleet.Core
	nextID           fleet.RequestID
	exchanges        map[fleet.RequestID]*exchange
	attempts         map[fleet.AttemptID]*exchange
	reservations     reservationCalls
	storeUnreachable bool // as of the last fleet.StoreReachability
	targetsListed    bool // targets have become known
	timer            *time.Timer
	timerDue         time.Duration // clock time that the timer is set to; negative before the first
	// configured is closed when the first configuration is in force.
	configured     chan struct{}
	configuredOnce sync.Once
	ctx            context.Context
	cancel         context.CancelFunc
}

// NewNode returns a running node; Close stops it.
func NewNode(opts Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		opts: opts, clock: newClock(), pool: newPool(opts.MaxTargetConns), core: fleet.New(opts.Fleet),
		exchanges: make(map[fleet.RequestID]*exchange), attempts: make(map[fleet.AttemptID]*exchange),
		refusals: newRefusalLog(opts.Log), transfers: transfers{active: make(map[*transfer]bool)}, configured: make(chan struct{}), ctx: ctx, cancel: cancel, timerDue: -1,
	}
	n.mu.Lock() // the timer fires at once, and its Step resets n.timer
	defer n.mu.Unlock()
	n.timer = time.AfterFunc(0, func() { n.Step(fleet.Tick{}) })
	return n
}

// Close stops the timer, cancels calls in progress and closes idle connections.
func (n *Node) Close() {
	n.cancel()
	n.timer.Stop()
	n.pool.close()
}

// Now returns the time on the clock of the decision core, which also runs while the machine
// is suspended.
func (n *Node) Now() time.Duration { return n.clock.now() }

// Step passes one event to the decision core and executes the effects.
func (n *Node) Step(ev fleet.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepLocked(ev)
}

// stepLocked is Step for callers that hold n.mu.
func (n *Node) stepLocked(ev fleet.Event) {
	switch ev := ev.(type) {
	case fleet.StoreReachability:
		n.storeUnreachable = !ev.Reachable
	case fleet.Stop:
		n.transfers.stop(time.Now().Add(ev.GracePeriod))
	case fleet.EndStop:
		n.transfers.stop(time.Now()) // the end may come sooner, after a suspension
	}
	for _, eff := range n.stepCore(ev) {
		n.executeEffect(eff)
	}
	switch ev.(type) {
	case fleet.Configure:
		if n.opts.OnConfig != nil && n.core.Config() != nil {
			n.opts.OnConfig(n.core.Config())
		}
	case fleet.TargetList, fleet.TargetListed:
		n.targetsListed = true
	}
	if n.core.Config() != nil && (n.targetsListed || !n.opts.AwaitTargets) {
		n.configuredOnce.Do(func() { close(n.configured) })
	}
	due, ok := n.core.NextTimer()
	if ok && (due != n.timerDue) {
		n.timerDue = due
		n.timer.Reset(max(0, due-n.clock.now()))
	}
}

// stepCore is fleet.Core.Step. A panic ends the decision that caused it, and neither the process
// nor the effects before it.
func (n *Node) stepCore(ev fleet.Event) (effects []fleet.Effect) {
	defer func() {
		if cause := recover(); cause != nil {
			n.opts.Log.Info("step-panicked", "stack", string(debug.Stack()))
			effects = n.recoverCore(ev, cause)
		}
	}()
	return n.core.Step(n.clock.now(), ev)
}

// recoverCore is fleet.Core.Recover. Nothing is carried out if that panics, too.
func (n *Node) recoverCore(ev fleet.Event, cause any) (effects []fleet.Effect) {
	defer func() {
		if second := recover(); second != nil {
			n.opts.Log.Info("recovery-panicked", "cause", fmt.Sprint(second), "stack", string(debug.Stack()))
			effects = nil
		}
	}()
	return n.core.Recover(ev, cause)
}

// awaitConfig waits up to firstConfigTimeout for the first configuration and the first list
// of targets, so that callers of an instance that has just started need not retry.
func (n *Node) awaitConfig(ctx context.Context) {
	timer := time.NewTimer(firstConfigTimeout)
	defer timer.Stop()
	select {
	case <-n.configured:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Config returns the configuration in force, nil before the first. It is stale if a newer
// one may be in force at other instances.
func (n *Node) Config() (config *fleet.Config, stale bool) {
	n.mu.Lock()
	config, stale = n.core.Config(), n.storeUnreachable
	n.mu.Unlock()
	if n.opts.ConfigStale != nil && config != nil {
		stale = n.opts.ConfigStale(config.Version)
	}
	return config, stale
}

// Evacuations returns the newest statements about all failure domains, nil if there are none.
func (n *Node) Evacuations() []fleet.EvacuationReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Evacuations()
}

// EvacuatedDomains returns the number of evacuated failure domains, and that of the requests
// of this instance that still run there.
func (n *Node) EvacuatedDomains() (domains, running int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.EvacuatedDomains()
}

// Ready reports whether the instance accepts new callers.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Config() != nil && !n.core.Stopping()
}

// IdleFor reports whether no request is open and none has arrived for the given
// period.
func (n *Node) IdleFor(period time.Duration) bool {
	n.Step(fleet.Tick{})
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.IdleFor(period)
}

// Unanswered returns the number of requests whose answers are not written yet.
func (n *Node) Unanswered() int { return int(n.unanswered.Load()) }

// Stopping reports whether a planned stop has begun.
func (n *Node) Stopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Stopping()
}

// submitRequest registers the exchange and passes its request to the decision
// core.
func (n *Node) submitRequest(ev fleet.RequestArrived, timeLeft time.Duration, x *exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextID++
	ev.Request, x.requestID = n.nextID, n.nextID
	ev.Deadline = n.clock.now() + timeLeft
	n.exchanges[ev.Request] = x
	n.stepLocked(ev)
}

// executeEffect executes one effect. It must not block, since the caller holds
// n.mu.
func (n *Node) executeEffect(eff fleet.Effect) {
	switch eff := eff.(type) {
	case fleet.Send:
		if x := n.exchanges[eff.Request]; x != nil {
			n.attempts[eff.Attempt] = x
			x.queueSend(eff)
		}
	case fleet.Cancel:
		if x := n.attempts[eff.Attempt]; x != nil {
			delete(n.attempts, eff.Attempt)
			x.cancelAttempt(eff.Attempt)
		}
	case fleet.Finish:
		if x := n.exchanges[eff.Request]; x != nil {
			delete(n.exchanges, eff.Request)
			x.queueFinish(eff)
		}
	case fleet.Reserve:
		go n.reserveMemory(n.reservations.begin(n.ctx, eff.Ticket), eff)
	case fleet.Release:
		n.reservations.release(eff.Ticket)
		go n.releaseMemory(eff)
	case fleet.CheckTarget:
		go n.checkTarget(eff)
	case fleet.SendGossip:
		if n.opts.SendGossip != nil {
			n.opts.SendGossip(eff)
		}
	case fleet.Count:
		n.opts.Metrics.Add(eff.Counter, eff.Reason)
	case fleet.Observe:
		n.opts.Metrics.Observe(eff.Histogram, eff.Route, eff.Value)
	case fleet.ObserveRatio:
		n.opts.Metrics.ObserveRatio(eff.Histogram, eff.Route, eff.Value)
	case fleet.Log:
		n.opts.Log.Info(eff.Event, eff.Pairs...)
	}
}

// reserveMemory reserves memory of a target and reports the result to the
// decision core.
func (n *Node) reserveMemory(ctx context.Context, r fleet.Reserve) {
	answer, err := n.opts.MemoryReserver.Reserve(ctx, r)
	n.endReservationCall(r.Ticket)
	n.reportOrderAnswer(r.Target, answer)
	reply := fleet.Reserved{Request: r.Request, Target: r.Target.ID, Ticket: r.Ticket, Granted: err == nil}
	if err != nil {
		reply.Cause = err.Error()
	}
	n.Step(reply)
}

// releaseMemory releases reserved memory of a target. If the call is lost, the
// memory is freed at the end of its hold time.
func (n *Node) releaseMemory(r fleet.Release) {
	answer, err := n.opts.MemoryReserver.Release(n.ctx, r)
	n.reportOrderAnswer(r.Target, answer)
	if err != nil {
		n.opts.Log.Info("release-failed", "target", r.Target.ID, "ticket", r.Ticket, "cause", err.Error())
	}
}
