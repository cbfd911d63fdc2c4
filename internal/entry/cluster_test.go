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

// cluster joins several entries by a virtual clock; messages take a
// millisecond and are lost where cut says so.
type cluster struct {
	now     time.Duration
	entries map[string]*Entry
	names   []string
	byAddr  map[string]string
	queue   []delivery
	cut     func(from, to string) bool
	store   *standin.Service
	deaf    bool // watches see no changes
	sent    int
	nextOp  uint64
	effects map[string][]Effect
	record  *recording                       // nil: the events are not recorded
	ordered func(name string, eff OrderCall) // carries out orders, nil for none
}

// watchPoll is how often a waiting watch looks for changes.
const watchPoll = 50 * time.Millisecond

// init fixes the seed of random tests; the flag on the command line wins.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

type delivery struct {
	at time.Duration
	to string
	ev Event
	fn func() // in place of ev
	of *Entry // whose call this answers; dropped when that instance is gone
}

func newCluster(n int, domains ...string) *cluster {
	c := &cluster{
		entries: map[string]*Entry{}, byAddr: map[string]string{}, effects: map[string][]Effect{},
		cut: func(string, string) bool { return false },
	}
	for i := range n {
		c.start(fmt.Sprintf("entry-%03d", i), domains[i%len(domains)], 1)
	}
	return c
}

func (c *cluster) start(name, domain string, incarnation uint64) {
	var peers []string
	if len(c.names) > 0 {
		peers = []string{"addr-" + c.names[0], "addr-" + c.names[len(c.names)-1]}
	}
	e := New(Options{
		Name: name, FailureDomain: domain, Address: "addr-" + name, Peers: peers,
		Incarnation: incarnation, Seed: uint64(len(c.names)), Epoch: c.now,
	})
	c.entries[name] = e
	c.record.start(c.now, name, e.opts)
	c.byAddr["addr-"+name] = name
	if !slices.Contains(c.names, name) {
		c.names = append(c.names, name)
	}
}

func (c *cluster) kill(name string) {
	delete(c.entries, name)
}

func (c *cluster) step(name string, ev Event) {
	e := c.entries[name]
	if e == nil {
		return
	}
	c.record.event(c.now, name, ev)
	for _, eff := range slices.Clone(e.Step(c.now, ev)) {
		switch eff := eff.(type) {
		case PeerSend:
			c.send(name, eff)
		case OrderCall:
			if c.ordered != nil {
				c.ordered(name, eff)
			}
		case StoreCall:
			c.record.call(name, eff)
			if c.store != nil {
				c.call(name, eff, c.now)
			}
		default:
			c.effects[name] = append(c.effects[name], eff)
		}
	}
}

// call carries out a call to the stand-in; a watch looks every few
// milliseconds until its budget ends.
func (c *cluster) call(name string, eff StoreCall, start time.Duration) {
	call, delay, caller := eff.Call, time.Millisecond, c.entries[name]
	if call.Op == store.OpWatch {
		call.Budget = 1
	}
	reply := c.store.Local(name).Do(context.Background(), call)
	if c.deaf && call.Op == store.OpWatch {
		reply.KVs = nil
	}
	if reply.Status == store.StatusUnknown {
		delay = store.DefaultDeadline
	}
	if call.Op == store.OpWatch && reply.Status == store.StatusOK && len(reply.KVs) == 0 && c.now-start < eff.Call.Budget {
		c.queue = append(c.queue, delivery{at: c.now + watchPoll, of: caller, to: name, fn: func() { c.call(name, eff, start) }})
		return
	}
	c.queue = append(c.queue, delivery{at: c.now + delay, to: name, of: caller, ev: StoreReply{ID: eff.ID, Reply: reply}})
}

// withStore adds a stand-in store that lists the entries and holds an intent
// as revision 1.
func (c *cluster) withStore(t *testing.T, in configuration.Intent) *cluster {
	t.Helper()
	c.store = standin.New(standin.Options{Now: func() time.Time { return time.Unix(0, 0).Add(c.now) }})
	c.list()
	plan, err := configuration.NewPlan(configuration.EmptySnapshot(), in, func(string) int { return 0 })
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

// list shows the present entries in the platform's list.
func (c *cluster) list() {
	var list []store.Instance
	for _, name := range c.names {
		if e := c.entries[name]; e != nil {
			list = append(list, store.Instance{Name: name, Role: membership.EntryRole, FailureDomain: e.opts.FailureDomain, Address: e.opts.Address})
		}
	}
	c.store.SetInstances(list)
}

// operate starts a command; answer returns its answer once there is one.
func (c *cluster) operate(name string, op Operate) (answer func() *Operated) {
	c.nextOp++
	op.ID, op.At = c.nextOp, time.Unix(0, 0).Add(c.now)
	if op.Operator == "" {
		op.Operator = "ana"
	}
	c.step(name, op)
	return func() *Operated {
		for _, out := range effectsOf[Operated](c.effects[name]) {
			if out.ID == op.ID {
				return &out
			}
		}
		return nil
	}
}

// must runs a command until its answer.
func (c *cluster) must(t *testing.T, name string, op Operate) Operated {
	t.Helper()
	answer := c.operate(name, op)
	for range 600 {
		if out := answer(); out != nil {
			return *out
		}
		c.run(50 * time.Millisecond)
	}
	t.Fatalf("%s gave no answer to %+v", name, op)
	return Operated{}
}

func (c *cluster) revisions() map[configuration.Revision]int {
	out := map[configuration.Revision]int{}
	for _, e := range c.entries {
		out[e.Revision()]++
	}
	return out
}

// untilAll runs until every entry has the revision and returns how long it took.
func (c *cluster) untilAll(t *testing.T, rev configuration.Revision, limit time.Duration) time.Duration {
	t.Helper()
	start := c.now
	for c.now-start <= limit {
		if c.revisions()[rev] == len(c.entries) {
			return c.now - start
		}
		c.run(10 * time.Millisecond)
	}
	t.Fatalf("revision %d not everywhere after %v: %v", rev, limit, c.revisions())
	return 0
}

func (c *cluster) deliver(q delivery) {
	switch {
	case q.of != nil && q.of != c.entries[q.to]:
	case q.fn != nil:
		q.fn()
	default:
		c.step(q.to, q.ev)
	}
}

func (c *cluster) send(from string, eff PeerSend) {
	c.sent++
	to := c.byAddr[eff.Address]
	if c.entries[to] == nil || c.cut(from, to) {
		c.queue = append(c.queue, delivery{at: c.now + time.Second, to: from, of: c.entries[from], ev: PeerFailed{To: eff.To, ID: eff.ID}})
		return
	}
	c.queue = append(c.queue, delivery{at: c.now + time.Millisecond, to: to, ev: PeerMessage{From: from, Message: eff.Message}})
}

// run advances the virtual clock.
func (c *cluster) run(d time.Duration) {
	end := c.now + d
	for {
		at, next := end, -1
		for i, q := range c.queue {
			if q.at < at {
				at, next = q.at, i
			}
		}
		owner := ""
		for _, name := range c.names {
			if e := c.entries[name]; e != nil {
				if t, ok := e.Next(); ok && t < at {
					at, next, owner = t, -1, name
				}
			}
		}
		c.now = max(c.now, at)
		switch {
		case next >= 0:
			q := c.queue[next]
			c.queue = slices.Delete(c.queue, next, next+1)
			c.deliver(q)
		case owner != "":
			c.step(owner, Tick{})
		default:
			return
		}
	}
}

func (c *cluster) revisionInStore(t *testing.T) configuration.Revision {
	t.Helper()
	root, err := configuration.ParseRoot(c.store.Local("test").Do(context.Background(), store.Call{Op: store.OpGet, Key: configuration.KeyRoot}))
	if err != nil {
		return 1 // the fault hides it
	}
	return root.Revision
}
