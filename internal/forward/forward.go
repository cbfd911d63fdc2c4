// Package forward carries requests between callers and targets over HTTP/1.1. It
// feeds the decisions of package fleet and does what they say; it holds no
// policy of its own.
package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// Facts are what a request's headers say.
type Facts struct {
	// ID is the caller's id of this request.
	ID  string
	Key string
	// TimeLeft is how long the caller will wait; zero when it does not say.
	TimeLeft time.Duration
	// PromptTokens and MaxAnswerTokens are zero where the caller gave none.
	PromptTokens, MaxAnswerTokens int
}

// AnswerFacts are what the headers of a target's answer say.
type AnswerFacts struct {
	RequestID string
	// Signed says that a target made the answer.
	Signed bool
	// NotRun says that the target did not run the request and never will.
	NotRun bool
	// Culprit is the address of the target at fault, empty where none is named.
	Culprit string
}

// Dialect knows the names of headers.
type Dialect interface {
	ReadRequest(h http.Header) Facts
	// WriteAttempt sets the headers of one attempt; left is the time that the
	// target may take.
	WriteAttempt(h http.Header, send fleet.Send, left time.Duration)
	ReadAnswer(status int, h http.Header) AnswerFacts
	// NameAnswer sets the request's id in an answer of our own.
	NameAnswer(h http.Header, id string)
}

// Orders sets memory of targets aside and gives it back.
type Orders interface {
	Reserve(ctx context.Context, r fleet.Reserve) error
	Release(ctx context.Context, r fleet.Release) error
}

// Metrics counts decisions and observes times.
type Metrics interface {
	Add(counter, reason string)
	Observe(histogram, class string, value time.Duration)
}

// Options are what a Node is made of.
type Options struct {
	Fleet   fleet.Options
	Dialect Dialect
	Orders  Orders
	Log     logr.Logger
	Metrics Metrics
	// Share passes a message to the peers; nil for an instance without peers. It
	// must not block.
	Share func(fleet.Gossip)
}

// Node runs the decisions of one instance. It is safe for concurrent use.
type Node struct {
	opts  Options
	clock *clock
	pool  *pool

	mu        sync.Mutex
	core      *fleet.Core
	nextID    fleet.RequestID
	exchanges map[fleet.RequestID]*exchange
	attempts  map[fleet.AttemptID]*exchange
	stale     bool // the store is out of reach
	timer     *time.Timer
	armed     time.Duration
	// configured is closed when a configuration is in force.
	configured     chan struct{}
	configuredOnce sync.Once
	ctx            context.Context
	cancel         context.CancelFunc
}

// NewNode returns a running node; Close ends it.
func NewNode(opts Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		opts: opts, clock: newClock(), pool: newPool(), core: fleet.New(opts.Fleet),
		exchanges: make(map[fleet.RequestID]*exchange), attempts: make(map[fleet.AttemptID]*exchange),
		configured: make(chan struct{}), ctx: ctx, cancel: cancel, armed: -1,
	}
	n.mu.Lock() // the timer fires at once, and its step sets it again
	defer n.mu.Unlock()
	n.timer = time.AfterFunc(0, func() { n.Step(fleet.Tick{}) })
	return n
}

// Close ends all that runs.
func (n *Node) Close() {
	n.cancel()
	n.timer.Stop()
	n.pool.close()
}

// Step feeds one event and carries out its effects.
func (n *Node) Step(ev fleet.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.step(ev)
}

// step is Step with n.mu held.
func (n *Node) step(ev fleet.Event) {
	if s, ok := ev.(fleet.StoreSeen); ok {
		n.stale = !s.Reachable
	}
	for _, eff := range n.core.Step(n.clock.now(), ev) {
		n.carryOut(eff)
	}
	if _, ok := ev.(fleet.Configure); ok && n.core.Config() != nil {
		n.configuredOnce.Do(func() { close(n.configured) })
	}
	at, ok := n.core.Next()
	if ok && (at != n.armed) {
		n.armed = at
		n.timer.Reset(max(0, at-n.clock.now()))
	}
}

// awaitConfig waits a moment for the first configuration, so that callers of an
// instance that has just started need not come again.
func (n *Node) awaitConfig(ctx context.Context) {
	timer := time.NewTimer(configPatience)
	defer timer.Stop()
	select {
	case <-n.configured:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Config returns the configuration in force, nil before the first, and whether
// the store is out of reach, so that a newer one may be in force elsewhere.
func (n *Node) Config() (config *fleet.Config, stale bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Config(), n.stale
}

// Ready reports whether new callers may be sent here.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Config() != nil && !n.core.Stopping()
}

// Quiet reports whether no request is open and none came for a while.
func (n *Node) Quiet(while time.Duration) bool {
	n.Step(fleet.Tick{})
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Quiet(while)
}

// Stopping reports whether a planned stop has begun.
func (n *Node) Stopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Stopping()
}

// submit hands a request to the decisions.
func (n *Node) submit(ev fleet.Arrive, timeLeft time.Duration, x *exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextID++
	ev.Request, x.id = n.nextID, n.nextID
	ev.Deadline = n.clock.now() + timeLeft
	n.exchanges[ev.Request] = x
	n.step(ev)
}

// carryOut does one effect. It must not block: n.mu is held.
func (n *Node) carryOut(eff fleet.Effect) {
	switch eff := eff.(type) {
	case fleet.Send:
		if x := n.exchanges[eff.Request]; x != nil {
			n.attempts[eff.Attempt] = x
			x.sendTo(eff)
		}
	case fleet.Cancel:
		if x := n.attempts[eff.Attempt]; x != nil {
			delete(n.attempts, eff.Attempt)
			x.cancel(eff.Attempt)
		}
	case fleet.Finish:
		if x := n.exchanges[eff.Request]; x != nil {
			delete(n.exchanges, eff.Request)
			x.finish(eff)
		}
	case fleet.Reserve:
		go n.reserve(eff)
	case fleet.Release:
		go n.release(eff)
	case fleet.Share:
		if n.opts.Share != nil {
			n.opts.Share(eff.Gossip)
		}
	case fleet.Count:
		n.opts.Metrics.Add(eff.Counter, eff.Reason)
	case fleet.Observe:
		n.opts.Metrics.Observe(eff.Histogram, eff.Route, eff.Value)
	case fleet.Log:
		n.opts.Log.Info(eff.Event, eff.Pairs...)
	}
}

func (n *Node) reserve(r fleet.Reserve) {
	err := n.opts.Orders.Reserve(n.ctx, r)
	reply := fleet.Reserved{Request: r.Request, Target: r.Target.ID, Granted: err == nil}
	if err != nil {
		reply.Cause = err.Error()
	}
	n.Step(reply)
}

// release gives memory back; the hold time frees it if the order is lost.
func (n *Node) release(r fleet.Release) {
	if err := n.opts.Orders.Release(n.ctx, r); err != nil {
		n.opts.Log.Info("release-failed", "target", r.Target.ID, "ticket", r.Ticket, "cause", err.Error())
	}
}
