package entry

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/membership"
	standin "github.com/medlardeck/medlardeck/internal/standin/platform"
	"github.com/medlardeck/medlardeck/internal/store"
)

// cluster runs several entries on a virtual clock. A message to a peer takes a
// millisecond; where partitioned returns true it is lost and the sender learns
// of the failure after a second.
type cluster struct {
	now                time.Duration
	entries            map[string]*Entry
	names              []string
	nameByAddress      map[string]string
	scheduled          []scheduledEvent
	partitioned        func(from, to string) bool
	store              *standin.Service
	storeLatency       time.Duration // of each call, a millisecond unless set
	watchesMissChanges bool          // watches wait out their budget and return no changes
	peerMessagesSent   int
	lastOperation      uint64
	effectsByEntry     map[string][]Effect
	recorder           *traceRecorder                   // records the trace, nil for none
	orderHandler       func(name string, eff OrderCall) // carries out calls to targets' models, nil to ignore them
}

// watchPollInterval is the time between two reads of the store by a simulated
// watch.
const watchPollInterval = 50 * time.Millisecond

// init sets a fixed seed for the property-based tests, so that every run checks
// the same cases. The flag -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// scheduledEvent is an event or a function call that is due at a virtual time.
type scheduledEvent struct {
	dueAt     time.Duration
	recipient string
	event     Event
	run       func() // called instead of delivering event
	caller    *Entry // the entry that made the call; the event is dropped once it was replaced or killed
}

// newCluster starts n entries, distributed over the failure domains in turn.
func newCluster(n int, domains ...string) *cluster {
	c := &cluster{
		entries: map[string]*Entry{}, nameByAddress: map[string]string{}, effectsByEntry: map[string][]Effect{},
		partitioned: func(string, string) bool { return false },
	}
	for i := range n {
		c.startEntry(fmt.Sprintf("entry-%03d", i), domains[i%len(domains)], 1)
	}
	return c
}

// startEntry starts an entry that is given the addresses of the first and the
// last entry in names as its peers.
func (c *cluster) startEntry(name, domain string, incarnation uint64) {
	var peers []string
	if len(c.names) > 0 {
		peers = []string{"addr-" + c.names[0], "addr-" + c.names[len(c.names)-1]}
	}
	e := New(Options{
		Name: name, FailureDomain: domain, Address: "addr-" + name, Peers: peers,
		Incarnation: incarnation, Seed: uint64(len(c.names)), Epoch: c.now,
	})
	c.entries[name] = e
	c.recorder.recordStart(c.now, name, e.opts)
	c.nameByAddress["addr-"+name] = name
	if !slices.Contains(c.names, name) {
		c.names = append(c.names, name)
	}
}

// killEntry ends an entry as a crash does: nothing is written or handed over.
func (c *cluster) killEntry(name string) {
	delete(c.entries, name)
}

// stepEntry passes an event to an entry. It carries out calls to peers, to the
// store and to targets' models, and keeps all other effects for the test.
func (c *cluster) stepEntry(name string, ev Event) {
	e := c.entries[name]
	if e == nil {
		return
	}
	c.recorder.recordEvent(c.now, name, ev)
	for _, eff := range slices.Clone(e.Step(c.now, ev)) {
		switch eff := eff.(type) {
		case PeerSend:
			c.sendPeerMessage(name, eff)
		case OrderCall:
			if c.orderHandler != nil {
				c.orderHandler(name, eff)
			}
		case StoreCall:
			c.recorder.recordCall(name, eff)
			if c.store != nil {
				c.executeStoreCall(name, eff, c.now)
			}
		default:
			c.effectsByEntry[name] = append(c.effectsByEntry[name], eff)
		}
	}
}

// executeStoreCall carries out a call to the simulated store. A watch that began
// at start reads the store every watchPollInterval until there is a change or its
// budget ends. A call without an answer ends as unknown after the store's default
// deadline.
func (c *cluster) executeStoreCall(name string, eff StoreCall, start time.Duration) {
	call, delay, caller := eff.Call, max(time.Millisecond, c.storeLatency), c.entries[name]
	if call.Op == store.OpWatch {
		call.Budget = 1
	}
	reply := c.store.Local(name).Do(context.Background(), call)
	if c.watchesMissChanges && call.Op == store.OpWatch {
		reply.KVs = nil
	}
	if reply.Status == store.StatusUnknown {
		delay = store.DefaultDeadline
	}
	if call.Op == store.OpWatch && reply.Status == store.StatusOK && len(reply.KVs) == 0 && c.now-start < eff.Call.Budget {
		c.scheduled = append(c.scheduled, scheduledEvent{dueAt: c.now + watchPollInterval, caller: caller, recipient: name, run: func() { c.executeStoreCall(name, eff, start) }})
		return
	}
	c.scheduled = append(c.scheduled, scheduledEvent{dueAt: c.now + delay, recipient: name, caller: caller, event: StoreReply{ID: eff.ID, Reply: reply}})
}

// withStore adds a simulated store that lists the entries as instances and holds
// the intent as the accepted revision 1.
func (c *cluster) withStore(t *testing.T, intent configuration.Intent) *cluster {
	t.Helper()
	c.store = standin.New(standin.Options{Now: func() time.Time { return time.Unix(0, 0).Add(c.now) }})
	c.publishInstances()
	plan, err := configuration.NewPlan(configuration.EmptySnapshot(), intent, func(string) int { return 0 })
	must.NoError(t, err)
	confirm, err := configuration.NewConfirm(&plan, configuration.EmptySnapshot(), 0, "test", time.Unix(0, 0))
	must.NoError(t, err)
	var r store.Reply
	for {
		call, more := confirm.Next(r)
		if !more {
			break
		}
		r = c.store.Local("seed").Do(context.Background(), call)
	}
	must.Eq(t, configuration.VerdictAccepted, confirm.Verdict)
	return c
}

// publishInstances sets the platform's list of instances to the running entries.
func (c *cluster) publishInstances() {
	var instances []store.Instance
	for _, name := range c.names {
		if e := c.entries[name]; e != nil {
			instances = append(instances, store.Instance{Name: name, Role: membership.EntryRole, FailureDomain: e.opts.FailureDomain, Address: e.opts.Address})
		}
	}
	c.store.SetInstances(instances)
}

// startOperation starts an operator's command. answer returns its result, nil
// while there is none.
func (c *cluster) startOperation(name string, op OperatorCommand) (answer func() *CommandResult) {
	c.lastOperation++
	op.ID, op.At = c.lastOperation, time.Unix(0, 0).Add(c.now)
	if op.Operator == "" {
		op.Operator = "ana"
	}
	c.stepEntry(name, op)
	return func() *CommandResult {
		for _, operated := range effectsOf[CommandResult](c.effectsByEntry[name]) {
			if operated.ID == op.ID {
				return &operated
			}
		}
		return nil
	}
}

// runOperation runs an operator's command and returns its result. The test fails
// if there is none within 30 s.
func (c *cluster) runOperation(t *testing.T, name string, op OperatorCommand) CommandResult {
	t.Helper()
	answer := c.startOperation(name, op)
	for range 600 {
		if operated := answer(); operated != nil {
			return *operated
		}
		c.advance(50 * time.Millisecond)
	}
	t.Fatalf("%s gave no answer to %+v", name, op)
	return CommandResult{}
}

// countRevisions returns the number of entries by the revision that they have in
// force.
func (c *cluster) countRevisions() map[configuration.Revision]int {
	counts := map[configuration.Revision]int{}
	for _, e := range c.entries {
		counts[e.Revision()]++
	}
	return counts
}

// awaitRevision advances the clock until every entry has the revision in force
// and returns how long that took. The test fails after limit.
func (c *cluster) awaitRevision(t *testing.T, rev configuration.Revision, limit time.Duration) time.Duration {
	t.Helper()
	start := c.now
	for c.now-start <= limit {
		if c.countRevisions()[rev] == len(c.entries) {
			return c.now - start
		}
		c.advance(10 * time.Millisecond)
	}
	t.Fatalf("revision %d is not in force everywhere after %v: %v", rev, limit, c.countRevisions())
	return 0
}

// deliver runs a due function or delivers a due event to its recipient. It drops a
// reply whose caller was replaced or killed since the call.
func (c *cluster) deliver(q scheduledEvent) {
	switch {
	case q.caller != nil && q.caller != c.entries[q.recipient]:
	case q.run != nil:
		q.run()
	default:
		c.stepEntry(q.recipient, q.event)
	}
}

// sendPeerMessage schedules the delivery of a message, or its failure if the
// recipient is gone or partitioned from the sender.
func (c *cluster) sendPeerMessage(from string, eff PeerSend) {
	c.peerMessagesSent++
	to := c.nameByAddress[eff.Address]
	if c.entries[to] == nil || c.partitioned(from, to) {
		c.scheduled = append(c.scheduled, scheduledEvent{dueAt: c.now + time.Second, recipient: from, caller: c.entries[from], event: PeerFailed{To: eff.To, ID: eff.ID}})
		return
	}
	c.scheduled = append(c.scheduled, scheduledEvent{dueAt: c.now + time.Millisecond, recipient: to, event: PeerMessage{From: from, Message: eff.Message}})
}

// advance moves the virtual clock forward by d and runs all events and timers
// that become due before its end.
func (c *cluster) advance(d time.Duration) {
	end := c.now + d
	for {
		at, next := end, -1
		for i, q := range c.scheduled {
			if q.dueAt < at {
				at, next = q.dueAt, i
			}
		}
		timerOwner := ""
		for _, name := range c.names {
			if e := c.entries[name]; e != nil {
				if t, ok := e.NextTimer(); ok && t < at {
					at, next, timerOwner = t, -1, name
				}
			}
		}
		c.now = max(c.now, at)
		switch {
		case next >= 0:
			q := c.scheduled[next]
			c.scheduled = slices.Delete(c.scheduled, next, next+1)
			c.deliver(q)
		case timerOwner != "":
			c.stepEntry(timerOwner, Tick{})
		default:
			return
		}
	}
}

// storedRevision returns the accepted revision in the store. A fault of the store
// can make the read fail; it then returns 1, the revision of withStore.
func (c *cluster) storedRevision(t *testing.T) configuration.Revision {
	t.Helper()
	root, err := configuration.ParseRoot(c.store.Local("test").Do(context.Background(), store.Call{Op: store.OpGet, Key: configuration.KeyRoot}))
	if err != nil {
		return 1
	}
	return root.Revision
}
