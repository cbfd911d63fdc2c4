package booking

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// reasonWriteUnknown counts writes of a head whose result is unknown.
const reasonWriteUnknown = "write-unknown"

// operation is a claim or a settlement on its way to the store; exactly one of
// the two is set.
type operation struct {
	claim      *Claim
	settlement *Settlement
	id         ClaimID
	key        Key
	// requester is the instance that forwarded the operation, empty if this
	// instance made it.
	requester string
	// addedAt is when the claim was added to the shard.
	addedAt time.Duration
	// deadline is the time limit of the claim; afterwards no request waits for
	// its verdict.
	deadline time.Duration
	// writeBy is the time until which a settlement may be delayed to share a
	// write with others.
	writeBy time.Duration
	// maybeWritten is set if the claim may be in the store; writeInFlight is set
	// while a write of it is in flight.
	maybeWritten  bool
	writeInFlight bool
	// runningReported is set once VerdictRunning was sent.
	runningReported bool
}

// shard holds the records of one head and its segments, and writes them. At most
// one read or compare-and-swap of a shard is in flight; deletions of segments
// are not counted.
type shard struct {
	book   *Coordinator
	number int

	// loaded is set while the records in memory are taken as current.
	loaded bool
	// verifiedAt is the start of the last read or write that showed that the
	// head in memory is current.
	verifiedAt    time.Duration
	head          Head
	revision      int64
	headRecords   map[Key]*Record
	sealedRecords map[Key]*Record // from the loaded segments
	// segmentRevisions maps the numbers of the loaded segments to the revisions
	// of their keys.
	segmentRevisions map[int]int64
	// recordsToRestore holds records that the store lost when it was restored
	// from older data; they are written again.
	recordsToRestore []Record
	// orphanedSegments holds segments that no head refers to.
	orphanedSegments []store.KV

	pendingClaims      []*operation
	pendingSettlements []*operation
	waitingClaims      []*operation

	callInFlight bool
	// unknownWriteBase is the base revision of a write whose result is unknown,
	// -1 if there is none.
	unknownWriteBase    int64
	consecutiveFailures int
	// earliestCallAt delays the next call to the store, for the commit interval
	// or the back-off.
	earliestCallAt  time.Duration
	stepScheduledAt time.Duration
	pollScheduled   bool
}

func newShard(b *Coordinator, number int) *shard {
	return &shard{
		book: b, number: number, unknownWriteBase: -1,
		headRecords: make(map[Key]*Record), sealedRecords: make(map[Key]*Record), segmentRevisions: make(map[int]int64),
	}
}

// addOperation queues a claim or a settlement. A claim that is queued already,
// because its owner is polled, gets its deadline updated. While the shard backs
// off after repeated failures, a claim is refused at once.
func (s *shard) addOperation(o *operation) {
	if o.settlement != nil {
		s.addSettlement(o)
		return
	}
	now := s.book.host.Now()
	if s.consecutiveFailures > 1 && now < s.earliestCallAt && s.refuseClaim(o) {
		return
	}
	if len(s.pendingClaims) >= maxPendingPerShard {
		s.book.sendVerdict(o, Verdict{Kind: VerdictFull})
		return
	}
	sameClaim := func(w *operation) bool { return w.id == o.id }
	s.waitingClaims = slices.DeleteFunc(s.waitingClaims, sameClaim)
	if i := slices.IndexFunc(s.pendingClaims, sameClaim); i >= 0 {
		s.pendingClaims[i].deadline = o.deadline
		return
	}
	o.addedAt = now
	s.pendingClaims = append(s.pendingClaims, o)
	s.runNextStep()
}

// addSettlement queues a settlement. A release is written without delay, other
// states within Options.SettleDelay.
func (s *shard) addSettlement(o *operation) {
	if len(s.pendingSettlements) >= maxPendingPerShard {
		s.book.host.IncrementCounter(CounterShards, "settlement-dropped")
		return
	}
	o.writeBy = s.book.host.Now()
	if o.settlement.State != StateReleased {
		o.writeBy += s.book.opts.SettleDelay
		s.notifyWaitingClaims(o.settlement)
	}
	s.pendingSettlements = append(s.pendingSettlements, o)
	s.runNextStep()
}

// notifyWaitingClaims sends final verdicts to the claims that wait for an
// outcome. This does not wait for the write, since the call has already ended
// and its outcome can't change.
func (s *shard) notifyWaitingClaims(st *Settlement) {
	rec := s.lookupRecord(st.Key)
	if rec == nil || rec.Claim != st.ID {
		return
	}
	next, ok := applySettlement(st, rec, s.clock())
	if !ok {
		return
	}
	s.waitingClaims = slices.DeleteFunc(s.waitingClaims, func(w *operation) bool {
		if w.key != st.Key {
			return false
		}
		result, v := evaluateClaim(w.claim, &next, s.clock())
		if result == evaluationFinal {
			s.book.sendVerdict(w, v)
		}
		return result == evaluationFinal
	})
}

// removeClaim removes a claim from the queues. It reports whether the claim may
// have been written, which it also does for a claim that is not queued.
func (s *shard) removeClaim(id ClaimID) bool {
	maybeWritten := true
	remove := func(o *operation) bool {
		if o.id == id {
			maybeWritten = o.maybeWritten || o.writeInFlight
		}
		return o.id == id
	}
	before := len(s.pendingClaims) + len(s.waitingClaims)
	s.pendingClaims = slices.DeleteFunc(s.pendingClaims, remove)
	s.waitingClaims = slices.DeleteFunc(s.waitingClaims, remove)
	return maybeWritten || before == len(s.pendingClaims)+len(s.waitingClaims)
}

func (s *shard) lookupRecord(key Key) *Record {
	if rec := s.headRecords[key]; rec != nil {
		return rec
	}
	return s.sealedRecords[key]
}

// clock returns the time of the shard: the wall clock of this instance, but not
// less than that of any earlier writer.
func (s *shard) clock() time.Duration { return max(s.head.Clock, s.book.host.WallClock()) }

func (s *shard) sizeBytes() int {
	n := 0
	for _, seg := range s.head.Segments {
		n += seg.Bytes
	}
	for i := range s.head.Records {
		n += s.head.Records[i].estimatedSize()
	}
	return n
}

// runNextStep loads the shard, decides claims or starts a write, whichever is
// due. It does nothing while a call to the store is in flight.
func (s *shard) runNextStep() {
	if s.callInFlight {
		return
	}
	s.dropExpiredClaims()
	dueAt, ok := s.nextStepAt()
	if !ok {
		return
	}
	if now := s.book.host.Now(); dueAt > now {
		s.scheduleStep(dueAt)
		return
	}
	if !s.loaded {
		s.loadHead()
		return
	}
	s.decideClaims()
	if !s.loaded {
		s.loadHead()
		return
	}
	s.writePending()
}

// nextStepAt returns when the next step is due; it returns false if there is
// nothing to do.
func (s *shard) nextStepAt() (time.Duration, bool) {
	if len(s.pendingClaims) > 0 || s.unknownWriteBase >= 0 && len(s.pendingSettlements) > 0 {
		return s.earliestCallAt, true
	}
	if len(s.pendingSettlements) == 0 {
		return 0, false
	}
	earliest := s.pendingSettlements[0].writeBy
	for _, o := range s.pendingSettlements {
		earliest = min(earliest, o.writeBy)
	}
	return max(earliest, s.earliestCallAt), true
}

// scheduleStep schedules runNextStep, unless an earlier call is scheduled.
func (s *shard) scheduleStep(dueAt time.Duration) {
	now := s.book.host.Now()
	if s.stepScheduledAt > now && s.stepScheduledAt <= dueAt {
		return
	}
	s.stepScheduledAt = dueAt
	s.book.host.Schedule(dueAt-now, s.runNextStep)
}

// dropExpiredClaims removes claims whose deadline has passed. If such a claim may
// have been written, the instance that made it releases it.
func (s *shard) dropExpiredClaims() {
	now := s.book.host.Now()
	expired := func(o *operation) bool { return now >= o.deadline }
	s.pendingClaims = slices.DeleteFunc(s.pendingClaims, expired)
	s.waitingClaims = slices.DeleteFunc(s.waitingClaims, expired)
}

// callStore makes a call to the store and runs the next step after its reply.
func (s *shard) callStore(c store.Call, fn func(store.Reply)) {
	s.callInFlight = true
	s.book.host.Store(c, func(r store.Reply) {
		s.callInFlight = false
		fn(r)
		s.runNextStep()
	})
}

// handleFailure backs off after a failed call to the store and refuses the
// claims that can't have been written.
func (s *shard) handleFailure(reason string) {
	host := s.book.host
	host.IncrementCounter(CounterShards, reason)
	s.consecutiveFailures++
	backoff := min(initialBackoff<<min(s.consecutiveFailures, 10), maxBackoff)
	s.earliestCallAt = host.Now() + backoff/2 + host.Jitter(backoff/2)
	if reason == reasonWriteUnknown && s.consecutiveFailures == 1 {
		return // after one unknown result, read the head before refusing claims
	}
	s.pendingClaims = slices.DeleteFunc(s.pendingClaims, s.refuseClaim)
}

// refuseClaim ends a claim that can't be written now, and reports whether it
// did. A verdict from the records in memory takes precedence over VerdictUnavailable,
// which would tell the retry of a call that may have run that it did not run.
func (s *shard) refuseClaim(o *operation) bool {
	if o.maybeWritten {
		return false
	}
	result, v := evaluateClaim(o.claim, s.lookupRecord(o.key), s.clock())
	switch {
	case result == evaluationFinal:
		s.book.sendVerdict(o, v)
	case result == evaluationInFlight:
		s.waitForOutcome(o, v)
	case o.runningReported:
		return false
	default:
		s.book.sendVerdict(o, Verdict{Kind: VerdictUnavailable})
	}
	return true
}

// decideClaims sends the verdicts that need no write.
func (s *shard) decideClaims() {
	clock := s.clock()
	s.pendingClaims = slices.DeleteFunc(s.pendingClaims, func(o *operation) bool {
		result, v := evaluateClaim(o.claim, s.lookupRecord(o.key), clock)
		switch result {
		case evaluationAvailable:
			return s.refuseIfFull(o)
		case evaluationObsolete:
			return true
		case evaluationInFlight:
			s.waitForOutcome(o, v)
			return true
		case evaluationFinal:
			if s.lookupRecord(o.key).State == StateClaimed && s.verifiedAt < o.addedAt {
				s.loaded = false // the outcome may have been written since the last read
				return false
			}
			s.book.sendVerdict(o, v)
		case evaluationGranted:
			s.book.sendVerdict(o, v)
		}
		return true
	})
}

// refuseIfFull refuses a claim if the shard has reached Options.ShardBytes, and
// reports whether it did. A claim that may have been written is not refused.
func (s *shard) refuseIfFull(o *operation) bool {
	if s.sizeBytes() < s.book.opts.ShardBytes || o.maybeWritten {
		return false
	}
	s.book.sendVerdict(o, Verdict{Kind: VerdictFull})
	return true
}

// waitForOutcome queues a claim until the call that runs under another claim is
// settled. A claim of this instance gets VerdictRunning only once; to
// another instance it is sent each time, as the reply to its poll.
func (s *shard) waitForOutcome(o *operation, v Verdict) {
	if !o.runningReported || o.requester != "" {
		o.runningReported = true
		s.book.sendVerdict(o, v)
	}
	s.waitingClaims = append(s.waitingClaims, o)
	if !s.pollScheduled {
		s.pollScheduled = true
		s.book.host.Schedule(pollInterval, s.pollHead)
	}
}

// pollHead causes another read of the head if claims wait for an outcome, since
// another instance may have written it.
func (s *shard) pollHead() {
	s.pollScheduled = false
	s.dropExpiredClaims()
	if len(s.waitingClaims) == 0 {
		return
	}
	if !s.callInFlight {
		s.loaded = false
	}
	s.requeueWaitingClaims()
	s.runNextStep()
}

// requeueWaitingClaims moves the waiting claims back to the pending ones, so that
// they are evaluated again.
func (s *shard) requeueWaitingClaims() {
	s.pendingClaims = append(s.pendingClaims, s.waitingClaims...)
	s.waitingClaims = nil
}

// handleStoreRollback handles a store that was restored from older data: the
// records that this instance has in memory are queued to be written again.
func (s *shard) handleStoreRollback(h Head) {
	s.book.host.IncrementCounter(CounterShards, "store-went-back")
	s.book.host.Log("claims-store-went-back", "shard", strconv.Itoa(s.number),
		"sequence", strconv.FormatUint(h.Sequence, 10), "known", strconv.FormatUint(s.head.Sequence, 10))
	for _, known := range []map[Key]*Record{s.headRecords, s.sealedRecords} {
		for _, key := range slices.Sorted(maps.Keys(known)) {
			s.recordsToRestore = append(s.recordsToRestore, *known[key])
		}
	}
	maps.DeleteFunc(s.segmentRevisions, func(number int, _ int64) bool {
		return !slices.ContainsFunc(h.Segments, func(seg Segment) bool { return seg.Number == number })
	})
}
