// Package node runs one entry instance. It feeds events to the state machine in
// package entry, which makes all decisions, and does the I/O that the resulting
// effects ask for. It holds no policy of its own.
package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/store"
)

// Counter counts decisions.
type Counter interface {
	// Add adds one to the named counter under the given reason.
	Add(counter, reason string)
}

// Histograms records durations by the length class of the prompt.
type Histograms interface {
	// Observe adds one value to the named histogram.
	Observe(histogram, class string, value time.Duration)
}

// PeerClient sends messages to other entry instances.
type PeerClient interface {
	// Send returns nil once the peer has accepted the message.
	Send(ctx context.Context, address string, msg entry.Message) error
}

// Options configure a node.
type Options struct {
	// Entry configures the state machine. If Entry.Wall is zero, New sets it from
	// the wall clock.
	Entry entry.Options
	// Peers is nil for an instance without peers.
	Peers PeerClient
	// Client sends requests, polls, orders and group calls to targets.
	Client *engineclient.Client
	// OrderToken authenticates orders to targets that check who sent them.
	OrderToken string
	// Store is the rate-limited client of the platform's store. If it is nil,
	// every call ends with store.StatusUnsent.
	Store   store.Store
	Log     logr.Logger
	Counter Counter
	// Histograms may be nil, which drops all observations.
	Histograms Histograms
	// Speed is the ratio of the entry's clock to the wall clock, for experiments
	// with sped-up targets; zero means 1.
	Speed float64
}

// Node runs one entry instance. It is safe for concurrent use.
//
// Durations and deadlines in events and effects are on the entry's clock, which
// starts at zero with the node and runs at Options.Speed.
type Node struct {
	opts      Options
	startTime time.Time

	mu            sync.Mutex
	entry         *entry.Entry
	lastRequestID entry.RequestID
	exchanges     map[entry.RequestID]*Exchange
	attempts      map[request.AttemptID]attemptInFlight
	index         configuration.Index

	nextWake time.Duration // entry time at which runTimers wakes unless signalled before

	peerSendSlots     chan struct{}
	pendingOperations map[uint64]chan entry.CommandResult
	lastOperationID   uint64

	rearm    chan struct{} // signalled when a timer is due before nextWake
	stopDone chan struct{} // closed when a planned stop is done
	// stopExpired is cancelled by setStopExpired when the time of a planned stop is over.
	stopExpired    context.Context
	setStopExpired context.CancelFunc
	// configured is closed once the first configuration is in force.
	configured     chan struct{}
	configuredOnce sync.Once
	wg             sync.WaitGroup
	closed         bool // spawn starts no more goroutines
	ctx            context.Context
	cancel         context.CancelFunc
}

// recordEpoch is the origin of wall-clock times in stored records. All instances
// share it.
var recordEpoch = time.Date(2020, time.January, 1, 0, 0, 0, 0, time.UTC)

// New starts a node; the caller must call Close.
func New(opts Options) *Node {
	if opts.Speed == 0 {
		opts.Speed = 1
	}
	start := time.Now()
	if opts.Entry.Wall == 0 {
		opts.Entry.Wall = time.Duration(float64(start.Sub(recordEpoch)) * opts.Speed)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopExpired, setStopExpired := context.WithCancel(context.Background())
	n := &Node{
		opts: opts, startTime: start, entry: entry.New(opts.Entry),
		exchanges: make(map[entry.RequestID]*Exchange),
		attempts:  make(map[request.AttemptID]attemptInFlight),
		rearm:     make(chan struct{}, 1), stopDone: make(chan struct{}), configured: make(chan struct{}),
		pendingOperations: make(map[uint64]chan entry.CommandResult),
		peerSendSlots:     make(chan struct{}, maxPeerSends),
		ctx:               ctx, cancel: cancel, stopExpired: stopExpired, setStopExpired: setStopExpired,
	}
	n.wg.Go(n.runTimers)
	return n
}

// Close cancels everything in flight and waits until it has ended.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.wg.Wait()
}

// spawn runs fn in a goroutine that Close waits for. On a closed node it does
// nothing. n.mu is held.
func (n *Node) spawn(fn func()) {
	if n.closed {
		return
	}
	n.wg.Go(fn)
}

// Stop begins a planned stop, after which the process ends within timeout, or when the
// stop is done if timeout is zero. The channel of Stopped is closed when it is done.
func (n *Node) Stop(timeout time.Duration) {
	n.Step(entry.Stop{Timeout: time.Duration(float64(timeout) * n.opts.Speed)})
}

// EndStop ends every request that a planned stop still waits for.
func (n *Node) EndStop() { n.Step(entry.EndStop{}) }

// Stopped returns a channel that is closed when a planned stop is done.
func (n *Node) Stopped() <-chan struct{} { return n.stopDone }

// StopExpired reports whether a planned stop ran out of time.
func (n *Node) StopExpired() bool { return n.stopExpired.Err() != nil }

// OnStopExpired calls fn in a goroutine when the time of a planned stop is over. cancel
// prevents the call; it returns false if it comes too late.
func (n *Node) OnStopExpired(fn func()) (cancel func() bool) {
	return context.AfterFunc(n.stopExpired, fn)
}

// Configured returns a channel that is closed once the first configuration is in
// force.
func (n *Node) Configured() <-chan struct{} { return n.configured }

// AdoptConfiguration passes an accepted configuration to the entry, which may put it in force.
func (n *Node) AdoptConfiguration(acc configuration.Accepted) {
	n.Step(entry.AdoptConfiguration{Accepted: acc})
}

// GaugeValue returns the current value of a gauge.
func (n *Node) GaugeValue(g entry.Gauge) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entry.GaugeValue(g)
}

// Index returns the lookup tables of the configuration in force.
func (n *Node) Index() configuration.Index {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.index
}

// entryNow returns the current time on the entry's clock.
func (n *Node) entryNow() time.Duration {
	return time.Duration(float64(time.Since(n.startTime)) * n.opts.Speed)
}

// wallDuration converts a duration on the entry's clock to wall-clock time.
func (n *Node) wallDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / n.opts.Speed)
}

// Step feeds one event to the entry and applies the resulting effects.
func (n *Node) Step(ev entry.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepLocked(ev)
}

// stepLocked is Step with n.mu held. If the entry now has an earlier timer, it
// makes runTimers set its timer again.
func (n *Node) stepLocked(ev entry.Event) {
	for _, eff := range n.entry.Step(n.entryNow(), ev) {
		n.applyEffect(eff)
	}
	if at, ok := n.entry.NextTimer(); ok && at < n.nextWake {
		notify(n.rearm)
	}
}

// Submit starts a request, whose id it assigns. The caller reads the answer from
// the exchange until its end, or calls Leave or LeaveSlow.
func (n *Node) Submit(ev entry.RequestArrived, upstream Upstream) *Exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastRequestID++
	ev.Request = n.lastRequestID
	x := newExchange(n, ev.Request, upstream)
	n.exchanges[ev.Request] = x
	n.stepLocked(ev)
	return x
}

// applyEffect does the I/O that one effect asks for. It must not block: n.mu is
// held.
func (n *Node) applyEffect(eff entry.Effect) {
	switch eff := eff.(type) {
	case entry.Send:
		n.startAttempt(eff)
	case entry.Cancel:
		n.cancelAttempt(eff.Attempt)
	case entry.Join:
		n.exchanges[eff.Request].joinAnswer(n.exchanges[eff.Leader])
	case entry.OrderCall:
		n.sendOrder(eff)
	case entry.GroupCall:
		n.callGroupMember(eff)
	case entry.Poll:
		n.pollTarget(eff)
	case entry.Finish:
		x := n.exchanges[eff.Request]
		delete(n.exchanges, eff.Request)
		if x != nil {
			x.finish(eff)
		}
	case entry.PeerSend:
		n.sendToPeer(eff)
	case entry.StoreCall:
		n.callStore(eff)
	case entry.ConfigurationAdopted:
		n.index = n.entry.Index()
		n.configuredOnce.Do(func() { close(n.configured) })
	case entry.CommandResult:
		n.answerOperation(eff)
	case entry.Count:
		n.opts.Counter.Add(eff.Counter, eff.Reason)
	case entry.Observe:
		if n.opts.Histograms != nil {
			n.opts.Histograms.Observe(eff.Histogram, eff.Class, eff.Value)
		}
	case entry.Log:
		n.logEvent(eff)
	case entry.Stopped:
		close(n.stopDone)
	case entry.StopExpired:
		n.setStopExpired()
	}
}

// logEvent writes an event of the entry to the log.
func (n *Node) logEvent(eff entry.Log) {
	keysAndValues := make([]any, len(eff.Pairs))
	for i, p := range eff.Pairs {
		keysAndValues[i] = p
	}
	n.opts.Log.Info(eff.Event, keysAndValues...)
}

// runTimers delivers a Tick event to the entry whenever one of its timers is due, and
// at the latest after maxTimerWait, until the node is closed.
func (n *Node) runTimers() {
	timer := time.NewTimer(time.Hour) // reset before the first wait
	defer timer.Stop()
	for {
		timer.Reset(n.armTimer())
		select {
		case <-n.ctx.Done():
			return
		case <-n.rearm:
		case <-timer.C:
			n.Step(entry.Tick{})
		}
	}
}

// maxTimerWait limits the wait for the next timer of the entry, in entry time.
const maxTimerWait = time.Hour

// armTimer sets nextWake to the time of the entry's next timer, at most
// maxTimerWait from now, and returns the wall-clock time until then.
func (n *Node) armTimer() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.entryNow()
	n.nextWake = now + maxTimerWait
	if at, ok := n.entry.NextTimer(); ok {
		n.nextWake = min(n.nextWake, at)
	}
	return max(0, n.wallDuration(n.nextWake-now))
}

// Suspend blocks the node for d of wall-clock time, like a paused process: it
// handles no event meanwhile. Fault tests use it.
func (n *Node) Suspend(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	time.Sleep(d)
}
