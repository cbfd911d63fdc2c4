package entry

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/store"
)

// Times and sizes of the spread of configurations.
const (
	// watchTime is how long one watch waits; the root is read again after it,
	// which finds changes that a watch skipped.
	watchTime = 5 * time.Second
	// watchCheck is how often an instance looks whether it has become a
	// gateway.
	watchCheck = time.Second
	// storePause and storeSpread make the wait after a failed call.
	storePause  = 500 * time.Millisecond
	storeSpread = 1500 * time.Millisecond
	// listLag is how long a starting instance waits to see itself in the
	// platform's list before it reads the store, while peers may know more.
	listLag       = 5 * time.Second
	listLagSpread = 5 * time.Second
	// pullTimeout is how long an answer of a peer is waited for.
	pullTimeout = 2 * time.Second
	// maxSegmentBytes bounds the segments in one message.
	maxSegmentBytes = 1 << 20
)

// CounterConfiguration counts what happened to configurations offered to the
// instance; CounterAlarms what operators have to look at.
const (
	CounterConfiguration = "configuration"
	CounterAlarms        = "alarms"
)

// Alarms of the configuration.
const (
	AlarmStoreBehind = "store-behind"      // the store holds an older revision
	AlarmConflict    = "revision-conflict" // a revision of two plans
)

// spread is the part of an entry that keeps its configuration up to date.
type spread struct {
	replica  *configuration.Replica
	reading  bool // a read of the root, a fetch or a watch is under way
	mayRead  bool
	pull     *pull
	alarms   map[string]time.Duration // by name, when last raised
	storeOK  bool
	answered time.Duration
}

// pull is a configuration on its way from a peer.
type pull struct {
	from    string
	root    configuration.Root
	index   []configuration.Ref
	missing []string
	fetched map[string][]byte
}

func (e *Entry) startSpread() {
	e.scheduleAfter(0, e.watchLoop)
	e.scheduleAfter(listLag+e.jitter(listLagSpread), func() { e.spread.mayRead = true })
}

// watchLoop starts the watch once the instance is a gateway.
func (e *Entry) watchLoop() {
	e.scheduleAfter(watchCheck, e.watchLoop)
	e.readRoot()
}

// readRoot reads the accepted revision and then watches for the next, as long
// as the instance is a gateway.
func (e *Entry) readRoot() {
	if e.spread.reading || !e.spread.mayRead || !e.members.IsGateway() {
		return
	}
	e.spread.reading = true
	e.store(store.Call{Op: store.OpGet, Key: configuration.KeyRoot}, func(r store.Reply) {
		e.heardStore(r)
		switch r.Status {
		case store.StatusOK:
			e.sawRoot(r)
		case store.StatusNotFound:
			e.judgeRoot(configuration.Root{})
			e.watch(r.Revision)
		default:
			e.readLater()
		}
	})
}

func (e *Entry) sawRoot(r store.Reply) {
	root, err := configuration.ParseRoot(r)
	if err != nil {
		e.emit(Log{Event: "configuration-unreadable", Pairs: []string{"error", err.Error()}})
		e.readLater()
		return
	}
	after := r.KVs[0].Revision
	e.fetch(root, func(err error) {
		if err != nil {
			e.readLater()
			return
		}
		e.watch(after)
	})
}

func (e *Entry) watch(after int64) {
	call := store.Call{Op: store.OpWatch, Key: configuration.KeyRoot, Revision: after, Budget: watchTime}
	e.store(call, func(r store.Reply) {
		e.heardStore(r)
		if r.Status != store.StatusOK {
			e.readLater()
			return
		}
		e.spread.reading = false
		e.readRoot()
	})
}

// readLater continues after a pause that differs between instances.
func (e *Entry) readLater() {
	e.scheduleAfter(storePause+e.jitter(storeSpread), func() {
		e.spread.reading = false
		e.readRoot()
	})
}

func (e *Entry) heardStore(r store.Reply) {
	switch r.Status {
	case store.StatusOK, store.StatusNotFound, store.StatusConflict:
		e.spread.storeOK, e.spread.answered = true, e.now
	default:
		e.spread.storeOK = false
	}
}

// judgeRoot raises the alarms that a root of the store calls for and reports
// whether it is newer than the configuration in force.
func (e *Entry) judgeRoot(root configuration.Root) bool {
	switch e.spread.replica.Judge(root) {
	case configuration.JudgementAdopted:
		return true
	case configuration.JudgementStale:
		e.alarm(AlarmStoreBehind)
	case configuration.JudgementConflict:
		e.alarm(AlarmConflict)
	case configuration.JudgementSame:
		delete(e.spread.alarms, AlarmStoreBehind)
		delete(e.spread.alarms, AlarmConflict)
	}
	return false
}

func (e *Entry) alarm(name string) {
	if _, raised := e.spread.alarms[name]; !raised {
		e.emit(Log{Event: "alarm", Pairs: []string{"alarm", name}})
	}
	e.spread.alarms[name] = e.now
	e.incrementCounter(CounterAlarms, name)
}

// fetch brings the replica up to a root of the store, if that is newer.
func (e *Entry) fetch(root configuration.Root, done func(error)) {
	if !e.judgeRoot(root) {
		done(nil)
		return
	}
	f := configuration.NewFetch(e.spread.replica.Current(), root)
	e.run(f, func() {
		if f.Err != nil {
			e.emit(Log{Event: "configuration-unread", Pairs: []string{"error", f.Err.Error()}})
			done(f.Err)
			return
		}
		e.offer(f.Snapshot, "store")
		done(nil)
	})
}

// run carries a procedure through the store.
func (e *Entry) run(p configuration.Procedure, done func()) { e.runOn(p, store.Reply{}, done) }

func (e *Entry) runOn(p configuration.Procedure, r store.Reply, done func()) {
	call, more := p.Next(r)
	switch {
	case !more:
		done()
	case call.Op == "":
		e.scheduleAfter(call.Budget, func() { e.runOn(p, store.Reply{}, done) })
	default:
		e.store(call, func(r store.Reply) {
			e.heardStore(r)
			e.runOn(p, r, done)
		})
	}
}

// offer puts a snapshot in force if it is newer and tells the neighbours.
func (e *Entry) offer(next *configuration.Snapshot, source string) {
	j := e.spread.replica.Judge(next.Root)
	e.incrementCounter(CounterConfiguration, source+"/"+string(j))
	if j != configuration.JudgementAdopted {
		return
	}
	acc, err := next.Accepted()
	if err != nil {
		e.emit(Log{Event: "configuration-unreadable", Pairs: []string{"error", err.Error()}})
		return
	}
	e.spread.replica.Offer(next)
	delete(e.spread.alarms, AlarmStoreBehind)
	delete(e.spread.alarms, AlarmConflict)
	e.adopt(acc)
	e.announce()
}

// announce tells neighbours of a new revision at once, and other failure
// domains if the instance is a gateway.
func (e *Entry) announce() {
	if e.opts.Address == "" {
		return
	}
	e.members.Beat(int64(e.accepted.Revision))
	msg := e.heartbeat()
	e.sendNeighbours("", msg)
	if !e.members.IsGateway() {
		return
	}
	for _, domain := range e.members.Domains() {
		if domain == e.opts.FailureDomain {
			continue
		}
		for _, f := range e.members.Gateways(domain) {
			e.sendTo(f.Name, f.Address, msg)
		}
	}
}

// compareRevision pulls from a peer that is ahead and tells one that is behind.
func (e *Entry) compareRevision(hb Heartbeat) {
	cur := e.spread.replica.Current().Root
	rev := configuration.Revision(hb.Revision)
	switch {
	case rev > cur.Revision:
		e.pullFrom(hb.Instance)
	case rev < cur.Revision:
		e.sendPeer(hb.Instance, e.heartbeat())
	case hb.PlanID != cur.PlanID:
		e.alarm(AlarmConflict)
	}
}

func (e *Entry) pullFrom(name string) {
	if e.spread.pull != nil {
		return
	}
	p := &pull{from: name}
	e.spread.pull = p
	e.sendPull(p, ConfigPull{})
}

func (e *Entry) sendPull(p *pull, msg ConfigPull) {
	cur := e.spread.replica.Current().Root
	msg.Revision, msg.PlanID = cur.Revision, cur.PlanID
	e.sendPeer(p.from, Message{ConfigPull: &msg})
	left := len(p.missing)
	e.scheduleAfter(pullTimeout, func() {
		if e.spread.pull == p && len(p.missing) == left {
			e.spread.pull = nil // the next heartbeat of a peer starts another
		}
	})
}

// answerPull sends what the peer lacks.
func (e *Entry) answerPull(to string, ask ConfigPull) {
	cur := e.spread.replica.Current()
	switch {
	case ask.Of != "" && ask.Of == cur.Root.PlanID:
		e.sendPeer(to, Message{ConfigSegments: segmentsFor(cur, ask.Segments)})
	case ask.Revision >= cur.Root.Revision:
	default:
		if deltas := e.spread.replica.Since(ask.Revision, ask.PlanID); deltas != nil {
			e.sendPeer(to, Message{ConfigDeltas: &ConfigDeltas{Deltas: deltas}})
			return
		}
		e.sendPeer(to, Message{ConfigIndex: &ConfigIndex{Root: cur.Root, Index: cur.Index}})
	}
}

// segmentsFor returns as many of the named segments as one message may hold.
func segmentsFor(s *configuration.Snapshot, names []string) *ConfigSegments {
	out := &ConfigSegments{PlanID: s.Root.PlanID, Segments: map[string][]byte{}}
	size := 0
	for _, name := range names {
		raw := s.Segment(name)
		if size += len(raw); size > maxSegmentBytes && len(out.Segments) > 0 {
			break
		}
		out.Segments[name] = raw
	}
	return out
}

func (e *Entry) gotDeltas(from string, msg ConfigDeltas) {
	if p := e.spread.pull; p == nil || p.from != from {
		return
	}
	e.spread.pull = nil
	for _, d := range msg.Deltas {
		next, err := e.spread.replica.Current().Apply(d)
		if err != nil {
			e.incrementCounter(CounterConfiguration, "peer/unfit-delta")
			return
		}
		e.offer(next, "peer")
	}
}

func (e *Entry) gotIndex(from string, msg ConfigIndex) {
	p := e.spread.pull
	if p == nil || p.from != from || e.spread.replica.Judge(msg.Root) != configuration.JudgementAdopted {
		return
	}
	p.root, p.index, p.fetched, p.missing = msg.Root, msg.Index, map[string][]byte{}, nil
	for _, ref := range e.spread.replica.Current().Missing(msg.Index) {
		p.missing = append(p.missing, ref.Name)
	}
	e.continuePull(p)
}

func (e *Entry) gotSegments(from string, msg ConfigSegments) {
	p := e.spread.pull
	if p == nil || p.from != from || p.root.PlanID != msg.PlanID {
		return
	}
	left := p.missing[:0:0]
	for _, name := range p.missing {
		raw, ok := msg.Segments[name]
		if !ok {
			left = append(left, name)
			continue
		}
		p.fetched[name] = raw
	}
	if len(left) == len(p.missing) {
		e.spread.pull = nil
		return
	}
	p.missing = left
	e.continuePull(p)
}

func (e *Entry) continuePull(p *pull) {
	if len(p.missing) > 0 {
		e.sendPull(p, ConfigPull{Of: p.root.PlanID, Segments: p.missing})
		return
	}
	e.spread.pull = nil
	next, err := e.spread.replica.Current().Assemble(p.root, p.index, p.fetched)
	if err != nil {
		e.incrementCounter(CounterConfiguration, "peer/unfit-segments")
		return
	}
	e.offer(next, "peer")
}

// spreadMessage handles the messages of the spread.
func (e *Entry) spreadMessage(from string, msg Message) {
	switch {
	case msg.ConfigPull != nil:
		e.answerPull(from, *msg.ConfigPull)
	case msg.ConfigDeltas != nil:
		e.gotDeltas(from, *msg.ConfigDeltas)
	case msg.ConfigIndex != nil:
		e.gotIndex(from, *msg.ConfigIndex)
	case msg.ConfigSegments != nil:
		e.gotSegments(from, *msg.ConfigSegments)
	}
}
