package entry

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/store"
)

// Times and sizes of configuration synchronisation.
const (
	// watchTimeout is how long one watch waits. The root is read again after it,
	// which finds changes that a watch missed.
	watchTimeout = 5 * time.Second
	// gatewayCheckInterval is how often an instance checks whether it has become a
	// gateway.
	gatewayCheckInterval = time.Second
	// storeRetryDelay is the shortest wait after a failed call, storeRetryJitter
	// the largest random time added to it.
	storeRetryDelay  = 500 * time.Millisecond
	storeRetryJitter = 1500 * time.Millisecond
	// listWait, plus a random time below listWaitJitter, is how long a starting
	// instance waits to find itself in the platform's list before it reads the
	// store: peers may have a newer configuration.
	listWait       = 5 * time.Second
	listWaitJitter = 5 * time.Second
	// pullTimeout is how long a pull waits for an answer of the peer.
	pullTimeout = 2 * time.Second
	// maxSegmentBytes bounds the segments in one message.
	maxSegmentBytes = 1 << 20
)

// CounterConfiguration counts configurations that the instance received, by
// source and judgement; CounterAlarms counts conditions that need an operator.
const (
	CounterConfiguration = "configuration"
	CounterAlarms        = "alarms"
)

// Alarms about the configuration.
const (
	AlarmStoreBehind = "store-behind"      // the store holds an older revision
	AlarmConflict    = "revision-conflict" // two plans have the same revision
)

// configSync is the part of an entry that keeps its configuration up to date.
type configSync struct {
	replica        *configuration.Replica
	reading        bool // a read of the root, a fetch or a watch is in progress
	readAllowed    bool
	pull           *peerPull
	alarms         map[string]time.Duration // time of the last raise, by name
	storeAnswering bool
	lastAnswerAt   time.Duration
}

// peerPull is a configuration that is being fetched from a peer.
type peerPull struct {
	from    string
	root    configuration.Root
	index   []configuration.Ref
	missing []string
	fetched map[string][]byte
}

func (e *Entry) startConfigSync() {
	e.scheduleAfter(0, e.checkGatewayLoop)
	e.scheduleAfter(listWait+e.jitter(listWaitJitter), func() { e.configSync.readAllowed = true })
}

// checkGatewayLoop starts to read and watch the store once the instance is a
// gateway.
func (e *Entry) checkGatewayLoop() {
	e.scheduleAfter(gatewayCheckInterval, e.checkGatewayLoop)
	e.readRoot()
}

// readRoot reads the accepted revision from the store and then watches for the
// next, as long as the instance is a gateway.
func (e *Entry) readRoot() {
	if e.configSync.reading || !e.configSync.readAllowed || !e.members.IsGateway() {
		return
	}
	e.configSync.reading = true
	e.callStore(store.Call{Op: store.OpGet, Key: configuration.KeyRoot}, func(r store.Reply) {
		e.recordStoreReply(r)
		switch r.Status {
		case store.StatusOK:
			e.handleRoot(r)
		case store.StatusNotFound:
			e.compareStoreRoot(configuration.Root{})
			e.watchRoot(r.Revision)
		default:
			e.retryReadRoot()
		}
	})
}

// handleRoot fetches the configuration of a root that was read, then watches
// for the next.
func (e *Entry) handleRoot(r store.Reply) {
	root, err := configuration.ParseRoot(r)
	if err != nil {
		e.emit(Log{Event: "configuration-unreadable", Pairs: []string{"error", err.Error()}})
		e.retryReadRoot()
		return
	}
	after := r.KVs[0].Revision
	e.fetchConfiguration(root, func(err error) {
		if err != nil {
			e.retryReadRoot()
			return
		}
		e.watchRoot(after)
	})
}

// watchRoot waits for a change of the root, or for watchTimeout, then reads it.
func (e *Entry) watchRoot(after int64) {
	call := store.Call{Op: store.OpWatch, Key: configuration.KeyRoot, Revision: after, Budget: watchTimeout}
	e.callStore(call, func(r store.Reply) {
		e.recordStoreReply(r)
		if r.Status != store.StatusOK {
			e.retryReadRoot()
			return
		}
		e.configSync.reading = false
		e.readRoot()
	})
}

// retryReadRoot reads the root again after a delay that differs between
// instances.
func (e *Entry) retryReadRoot() {
	e.scheduleAfter(storeRetryDelay+e.jitter(storeRetryJitter), func() {
		e.configSync.reading = false
		e.readRoot()
	})
}

// recordStoreReply records for Status whether the store gave a usable answer.
func (e *Entry) recordStoreReply(r store.Reply) {
	switch r.Status {
	case store.StatusOK, store.StatusNotFound, store.StatusConflict:
		e.configSync.storeAnswering, e.configSync.lastAnswerAt = true, e.now
	default:
		e.configSync.storeAnswering = false
	}
}

// compareStoreRoot raises or clears the alarms about a root of the store and
// reports whether it is newer than the configuration in force.
func (e *Entry) compareStoreRoot(root configuration.Root) bool {
	switch e.configSync.replica.JudgeRoot(root) {
	case configuration.JudgementAdopted:
		return true
	case configuration.JudgementStale:
		e.raiseAlarm(AlarmStoreBehind)
	case configuration.JudgementConflict:
		e.raiseAlarm(AlarmConflict)
	case configuration.JudgementSame:
		delete(e.configSync.alarms, AlarmStoreBehind)
		delete(e.configSync.alarms, AlarmConflict)
	}
	return false
}

// raiseAlarm counts an alarm, and logs it unless it is already raised.
func (e *Entry) raiseAlarm(name string) {
	if _, raised := e.configSync.alarms[name]; !raised {
		e.emit(Log{Event: "alarm", Pairs: []string{"alarm", name}})
	}
	e.configSync.alarms[name] = e.now
	e.incrementCounter(CounterAlarms, name)
}

// fetchConfiguration fetches the configuration of a root of the store, if that
// is newer.
func (e *Entry) fetchConfiguration(root configuration.Root, done func(error)) {
	if !e.compareStoreRoot(root) {
		done(nil)
		return
	}
	f := configuration.NewFetch(e.configSync.replica.Current(), root)
	e.runProcedure(f, func() {
		if f.Err != nil {
			e.emit(Log{Event: "configuration-unread", Pairs: []string{"error", f.Err.Error()}})
			done(f.Err)
			return
		}
		e.offerSnapshot(f.Snapshot, "store")
		done(nil)
	})
}

// runProcedure makes the store calls of a procedure, one after the other, then
// calls done.
func (e *Entry) runProcedure(p configuration.Procedure, done func()) {
	e.continueProcedure(p, store.Reply{}, done)
}

func (e *Entry) continueProcedure(p configuration.Procedure, r store.Reply, done func()) {
	call, more := p.Next(r)
	switch {
	case !more:
		done()
	case call.Op == "":
		e.scheduleAfter(call.Budget, func() { e.continueProcedure(p, store.Reply{}, done) })
	default:
		e.callStore(call, func(r store.Reply) {
			e.recordStoreReply(r)
			e.continueProcedure(p, r, done)
		})
	}
}

// offerSnapshot puts a snapshot in force if it is newer, and announces it to
// peers.
func (e *Entry) offerSnapshot(next *configuration.Snapshot, source string) {
	j := e.configSync.replica.JudgeRoot(next.Root)
	e.incrementCounter(CounterConfiguration, source+"/"+string(j))
	if j != configuration.JudgementAdopted {
		return
	}
	acc, err := next.Accepted()
	if err != nil {
		e.emit(Log{Event: "configuration-unreadable", Pairs: []string{"error", err.Error()}})
		return
	}
	e.configSync.replica.Offer(next)
	delete(e.configSync.alarms, AlarmStoreBehind)
	delete(e.configSync.alarms, AlarmConflict)
	e.adoptConfiguration(acc)
	e.announceRevision()
}

// announceRevision sends a heartbeat with a new revision to the neighbours at
// once, and to the gateways of other failure domains if the instance is a
// gateway.
func (e *Entry) announceRevision() {
	if e.opts.Address == "" {
		return
	}
	e.members.AdvanceHeartbeat(int64(e.accepted.Revision))
	msg := e.newHeartbeat()
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

// compareRevision pulls from a peer that has a newer revision and sends a
// heartbeat to one that has an older one, so that it pulls.
func (e *Entry) compareRevision(hb Heartbeat) {
	cur := e.configSync.replica.Current().Root
	rev := configuration.Revision(hb.Revision)
	switch {
	case rev > cur.Revision:
		e.startPull(hb.Instance)
	case rev < cur.Revision:
		e.sendPeer(hb.Instance, e.newHeartbeat())
	case hb.PlanID != cur.PlanID:
		e.raiseAlarm(AlarmConflict)
	}
}

// startPull starts a pull from a peer unless one is in progress.
func (e *Entry) startPull(name string) {
	if e.configSync.pull != nil {
		return
	}
	p := &peerPull{from: name}
	e.configSync.pull = p
	e.sendPull(p, ConfigPull{})
}

// sendPull asks the peer of a pull, and drops the pull if pullTimeout brings no
// progress.
func (e *Entry) sendPull(p *peerPull, msg ConfigPull) {
	cur := e.configSync.replica.Current().Root
	msg.Revision, msg.PlanID = cur.Revision, cur.PlanID
	e.sendPeer(p.from, Message{ConfigPull: &msg})
	left := len(p.missing)
	e.scheduleAfter(pullTimeout, func() {
		if e.configSync.pull == p && len(p.missing) == left {
			e.configSync.pull = nil // the next heartbeat of a newer peer starts another
		}
	})
}

// answerPull sends what the peer lacks: the segments that it names, else the
// deltas since its revision, else the index.
func (e *Entry) answerPull(to string, ask ConfigPull) {
	cur := e.configSync.replica.Current()
	switch {
	case ask.Of != "" && ask.Of == cur.Root.PlanID:
		e.sendPeer(to, Message{ConfigSegments: segmentsFor(cur, ask.Segments)})
	case ask.Revision >= cur.Root.Revision:
	default:
		if deltas := e.configSync.replica.DeltasSince(ask.Revision, ask.PlanID); deltas != nil {
			e.sendPeer(to, Message{ConfigDeltas: &ConfigDeltas{Deltas: deltas}})
			return
		}
		e.sendPeer(to, Message{ConfigIndex: &ConfigIndex{Root: cur.Root, Index: cur.Index}})
	}
}

// segmentsFor returns as many of the named segments as one message may carry.
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

// handleDeltas applies the deltas that a pull returned, one revision after the
// other.
func (e *Entry) handleDeltas(from string, msg ConfigDeltas) {
	if p := e.configSync.pull; p == nil || p.from != from {
		return
	}
	e.configSync.pull = nil
	for _, d := range msg.Deltas {
		next, err := e.configSync.replica.Current().Apply(d)
		if err != nil {
			e.incrementCounter(CounterConfiguration, "peer/unfit-delta")
			return
		}
		e.offerSnapshot(next, "peer")
	}
}

// handleIndex starts to fetch the segments of an index that are missing here.
func (e *Entry) handleIndex(from string, msg ConfigIndex) {
	p := e.configSync.pull
	if p == nil || p.from != from || e.configSync.replica.JudgeRoot(msg.Root) != configuration.JudgementAdopted {
		return
	}
	p.root, p.index, p.fetched, p.missing = msg.Root, msg.Index, map[string][]byte{}, nil
	for _, ref := range e.configSync.replica.Current().MissingSegments(msg.Index) {
		p.missing = append(p.missing, ref.Name)
	}
	e.continuePull(p)
}

// handleSegments records fetched segments. An answer without a missing segment
// ends the pull.
func (e *Entry) handleSegments(from string, msg ConfigSegments) {
	p := e.configSync.pull
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
		e.configSync.pull = nil
		return
	}
	p.missing = left
	e.continuePull(p)
}

// continuePull asks for the missing segments, or assembles the configuration
// from them.
func (e *Entry) continuePull(p *peerPull) {
	if len(p.missing) > 0 {
		e.sendPull(p, ConfigPull{Of: p.root.PlanID, Segments: p.missing})
		return
	}
	e.configSync.pull = nil
	next, err := e.configSync.replica.Current().Assemble(p.root, p.index, p.fetched)
	if err != nil {
		e.incrementCounter(CounterConfiguration, "peer/unfit-segments")
		return
	}
	e.offerSnapshot(next, "peer")
}

// handleConfigMessage handles the messages of a pull.
func (e *Entry) handleConfigMessage(from string, msg Message) {
	switch {
	case msg.ConfigPull != nil:
		e.answerPull(from, *msg.ConfigPull)
	case msg.ConfigDeltas != nil:
		e.handleDeltas(from, *msg.ConfigDeltas)
	case msg.ConfigIndex != nil:
		e.handleIndex(from, *msg.ConfigIndex)
	case msg.ConfigSegments != nil:
		e.handleSegments(from, *msg.ConfigSegments)
	}
}
