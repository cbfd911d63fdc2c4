// Package node runs one entry instance: it feeds events to the decisions in
// package entry and carries their effects out. It holds no policy.
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

// Counter takes counts of decisions.
type Counter interface {
	Add(counter, reason string)
}

// Histograms takes times of decisions by length class.
type Histograms interface {
	Observe(histogram, class string, value time.Duration)
}

// PeerClient sends messages to other entry instances.
type PeerClient interface {
	// Send returns nil once the peer took the message.
	Send(ctx context.Context, address string, msg entry.Message) error
}

// Options are what a node is made of.
type Options struct {
	Entry entry.Options
	// Peers is nil for an instance without peers.
	Peers  PeerClient
	Client *engineclient.Client
	// OrderToken is shown to targets that check who gives an order.
	OrderToken string
	// Store is the budgeted client of the platform's store; nil answers every
	// call as unsent.
	Store   store.Store
	Log     logr.Logger
	Counter Counter
	// Histograms is nil where nobody reads them.
	Histograms Histograms
	// Speed is how fast the entry's clock runs against the wall clock; zero
	// means 1. Experiments with sped-up targets use it.
	Speed float64
}

// Node runs one entry instance. It is safe for concurrent use.
type Node struct {
	opts  Options
	start time.Time

	mu        sync.Mutex
	entry     *entry.Entry
	nextID    entry.RequestID
	exchanges map[entry.RequestID]*Exchange
	attempts  map[request.AttemptID]running
	index     configuration.Index

	armed time.Duration // when the ticking goroutine wakes by itself

	peerSends     chan struct{}
	operations    map[uint64]chan entry.Operated
	nextOperation uint64

	wake    chan struct{}
	stopped chan struct{}
	// configured is closed once a configuration is in force.
	configured     chan struct{}
	configuredOnce sync.Once
	wg             sync.WaitGroup
	closed         bool // starts no goroutine
	ctx            context.Context
	cancel         context.CancelFunc
}

// wallOrigin is where the wall clock of records in the store begins.
var wallOrigin = time.Date(2020, time.January, 1, 0, 0, 0, 0, time.UTC)

// New returns a running node; Close ends it.
func New(opts Options) *Node {
	if opts.Speed == 0 {
		opts.Speed = 1
	}
	start := time.Now()
	if opts.Entry.Wall == 0 {
		opts.Entry.Wall = time.Duration(float64(start.Sub(wallOrigin)) * opts.Speed)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		opts: opts, start: start, entry: entry.New(opts.Entry),
		exchanges: make(map[entry.RequestID]*Exchange),
		attempts:  make(map[request.AttemptID]running),
		wake:      make(chan struct{}, 1), stopped: make(chan struct{}), configured: make(chan struct{}),
		operations: make(map[uint64]chan entry.Operated),
		peerSends:  make(chan struct{}, maxPeerSends),
		ctx:        ctx, cancel: cancel,
	}
	n.wg.Go(n.tick)
	return n
}

// Close cancels everything in flight and waits for it.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	n.wg.Wait()
}

// spawn runs fn in a goroutine that Close waits for; a closed node starts none.
// n.mu is held.
func (n *Node) spawn(fn func()) {
	if n.closed {
		return
	}
	n.wg.Go(fn)
}

// Stop begins a planned stop; Stopped is closed when it is done.
func (n *Node) Stop() { n.Step(entry.Stop{}) }

// Stopped returns a channel that is closed when a planned stop is done.
func (n *Node) Stopped() <-chan struct{} { return n.stopped }

// Configured returns a channel that is closed once a configuration is in force.
func (n *Node) Configured() <-chan struct{} { return n.configured }

// Adopt hands the node an accepted configuration.
func (n *Node) Adopt(acc configuration.Accepted) { n.Step(entry.Adopt{Accepted: acc}) }

// Read returns the present value of a gauge.
func (n *Node) Read(g entry.Gauge) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entry.Read(g)
}

// Index returns the look-ups of the configuration in force.
func (n *Node) Index() configuration.Index {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.index
}

// now returns the time of the entry's clock.
func (n *Node) now() time.Duration {
	return time.Duration(float64(time.Since(n.start)) * n.opts.Speed)
}

// wall converts a time of the entry's clock to one of the wall clock.
func (n *Node) wall(d time.Duration) time.Duration {
	return time.Duration(float64(d) / n.opts.Speed)
}

// Step feeds one event and carries out its effects.
func (n *Node) Step(ev entry.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepLocked(ev)
}

func (n *Node) stepLocked(ev entry.Event) {
	for _, eff := range n.entry.Step(n.now(), ev) {
		n.carryOut(eff)
	}
	if at, ok := n.entry.Next(); ok && at < n.armed {
		notify(n.wake)
	}
}

// Submit starts a request; the caller reads the exchange until its end.
func (n *Node) Submit(ev entry.Arrive, up Upstream) *Exchange {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextID++
	ev.Request = n.nextID
	x := newExchange(n, ev.Request, up)
	n.exchanges[ev.Request] = x
	n.stepLocked(ev)
	return x
}

// carryOut does one effect. It must not block: n.mu is held.
func (n *Node) carryOut(eff entry.Effect) {
	switch eff := eff.(type) {
	case entry.Send:
		n.send(eff)
	case entry.Cancel:
		n.cancelAttempt(eff.Attempt)
	case entry.Join:
		n.exchanges[eff.Request].join(n.exchanges[eff.Leader])
	case entry.OrderCall:
		n.orderCall(eff)
	case entry.GroupCall:
		n.groupCall(eff)
	case entry.Poll:
		n.poll(eff)
	case entry.Finish:
		x := n.exchanges[eff.Request]
		delete(n.exchanges, eff.Request)
		if x != nil {
			x.finish(eff)
		}
	case entry.PeerSend:
		n.peerSend(eff)
	case entry.StoreCall:
		n.callStore(eff)
	case entry.Adopted:
		n.index = n.entry.Index()
		n.configuredOnce.Do(func() { close(n.configured) })
	case entry.Operated:
		n.operated(eff)
	case entry.Count:
		n.opts.Counter.Add(eff.Counter, eff.Reason)
	case entry.Observe:
		if n.opts.Histograms != nil {
			n.opts.Histograms.Observe(eff.Histogram, eff.Class, eff.Value)
		}
	case entry.Log:
		n.log(eff)
	case entry.Stopped:
		close(n.stopped)
	}
}

func (n *Node) log(eff entry.Log) {
	kv := make([]any, len(eff.Pairs))
	for i, p := range eff.Pairs {
		kv[i] = p
	}
	n.opts.Log.Info(eff.Event, kv...)
}

// tick feeds Tick events at the times the entry asks for.
func (n *Node) tick() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(n.arm())
		select {
		case <-n.ctx.Done():
			return
		case <-n.wake:
		case <-timer.C:
			n.Step(entry.Tick{})
		}
	}
}

// maxSleep bounds the wait for a timer of the entry.
const maxSleep = time.Hour

// arm returns the time until the entry's next timer.
func (n *Node) arm() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.armed = now + maxSleep
	if at, ok := n.entry.Next(); ok {
		n.armed = min(n.armed, at)
	}
	return max(0, n.wall(n.armed-now))
}

// Suspend holds all decisions back for a wall time, as a paused process does.
// Fault tests use it.
func (n *Node) Suspend(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	time.Sleep(d)
}
