package booking

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// maxUpdateBytes limits what one write adds to a head, well below the largest
// value that the store accepts.
const maxUpdateBytes = store.MaxValueBytes / 2

// writePending commits the pending claims and settlements, as many as fit into one
// update. If the head has outgrown Options.HeadBytes, it seals the head instead and
// leaves the commit to a later step.
func (s *shard) writePending() {
	if s.headSizeBytes() > s.book.opts.HeadBytes && len(s.head.Records) > 0 {
		s.sealHead()
		return
	}
	s.commitPending()
}

func (s *shard) headSizeBytes() int {
	n := 0
	for i := range s.head.Records {
		n += s.head.Records[i].estimatedSize()
	}
	return n
}

// commitPending writes the head with the pending claims and settlements. If they
// change nothing, no records are to be restored and no earlier write has an
// unknown result, it only confirms the settlements.
func (s *shard) commitPending() {
	update := s.buildUpdate()
	if update.changes == 0 && s.unknownWriteBase < 0 && len(s.recordsToRestore) == 0 {
		s.confirmSettlements(update.settlements)
		return
	}
	s.writeHead(update)
}

// headUpdate is one write of a head and the operations that it includes.
type headUpdate struct {
	nextHead    Head
	claims      []*operation
	settlements []*operation
	restored    int // number of records taken from the shard's recordsToRestore
	changes     int
}

// headDraft collects the records of the next head of a shard.
type headDraft struct {
	shard   *shard
	now     time.Duration
	records map[Key]*Record
	bytes   int
}

func (d *headDraft) lookupRecord(key Key) *Record {
	if rec := d.records[key]; rec != nil {
		return rec
	}
	return d.shard.sealedRecords[key]
}

func (d *headDraft) putRecord(rec Record) {
	d.bytes += rec.estimatedSize()
	d.records[rec.Key] = &rec
}

func (d *headDraft) hasRoom() bool { return d.bytes < maxUpdateBytes }

// buildUpdate returns the next write of the head: records to restore first, then
// settlements, then claims whose identity is available, up to maxUpdateBytes.
func (s *shard) buildUpdate() headUpdate {
	d := &headDraft{shard: s, now: s.clock(), records: maps.Clone(s.headRecords)}
	update := headUpdate{nextHead: s.head}
	for _, rec := range s.recordsToRestore {
		if !d.hasRoom() {
			break
		}
		update.restored++
		if d.records[rec.Key] == nil {
			d.putRecord(rec)
		}
	}
	for _, o := range s.pendingSettlements {
		if !d.hasRoom() {
			break
		}
		if rec, ok := applySettlement(o.settlement, d.lookupRecord(o.key), d.now); ok {
			d.putRecord(rec)
			update.changes++
		}
		update.settlements = append(update.settlements, o)
	}
	for _, o := range s.pendingClaims {
		prev := d.lookupRecord(o.key)
		if result, _ := evaluateClaim(o.claim, prev, d.now); result == evaluationAvailable && d.hasRoom() {
			d.putRecord(s.newClaimRecord(o, prev, d.now))
			update.claims = append(update.claims, o)
			update.changes++
		}
	}
	s.completeHead(&update.nextHead, d)
	return update
}

// completeHead fills in the next head from the draft, without expired records
// and segments.
func (s *shard) completeHead(next *Head, d *headDraft) {
	next.Format, next.Writer = formatVersion, s.book.opts.Instance
	next.Sequence, next.Clock = s.head.Sequence+1, d.now
	next.Records = make([]Record, 0, len(d.records))
	for _, key := range slices.Sorted(maps.Keys(d.records)) {
		if rec := d.records[key]; rec.ExpiresAt > d.now {
			next.Records = append(next.Records, *rec)
		}
	}
	next.Segments = slices.DeleteFunc(slices.Clone(s.head.Segments), func(seg Segment) bool {
		return seg.ExpiresAt <= d.now
	})
}

// newClaimRecord returns the record of a claim that replaces prev, which may be
// nil. The record expires no earlier than prev: a copy of prev in a segment
// would otherwise become visible again.
func (s *shard) newClaimRecord(o *operation, prev *Record, clock time.Duration) Record {
	retention := o.claim.Keep
	if retention == 0 {
		retention = DefaultRetention
	}
	runDeadline := clock + max(0, o.deadline-s.book.host.Now())
	expiresAt := runDeadline + max(retention, clockSkewAllowance)
	if prev != nil {
		expiresAt = max(expiresAt, prev.ExpiresAt)
	}
	return Record{
		Key: o.key, Claim: o.id, Fingerprint: o.claim.Fingerprint, State: StateClaimed,
		RunDeadline: runDeadline, ExpiresAt: expiresAt,
	}
}

// writeHead replaces the head with a compare-and-swap on the revision that was
// read. After a conflict or an unknown result the head is read again.
func (s *shard) writeHead(update headUpdate) {
	for _, o := range update.claims {
		o.writeInFlight = true
	}
	host := s.book.host
	baseRevision, startedAt := s.revision, host.Now()
	s.earliestCallAt = host.Now() + s.book.opts.CommitInterval
	call := store.Call{Op: store.OpCAS, Key: headKey(s.number), Value: encodeJSON(update.nextHead), Revision: baseRevision, Budget: writeTimeout}
	s.callStore(call, func(r store.Reply) {
		host.IncrementCounter(CounterCommits, string(r.Status))
		for _, o := range update.claims {
			o.writeInFlight = false
			o.maybeWritten = o.maybeWritten || r.Status == store.StatusUnknown
		}
		switch r.Status {
		case store.StatusOK:
			s.verifiedAt = startedAt
			s.applyCommit(update, r.Revision)
		case store.StatusConflict:
			s.loaded = false
			s.earliestCallAt = host.Now() + host.Jitter(initialBackoff)
		case store.StatusUnknown:
			s.loaded = false
			s.unknownWriteBase = baseRevision
			s.handleFailure(reasonWriteUnknown)
		case store.StatusUnsent, store.StatusRefused, store.StatusNotFound:
			s.handleFailure("write-" + string(r.Status))
		}
	})
}

// applyCommit adopts a head that was written: it confirms the settlements,
// deletes unreferenced segments and grants the claims of the update.
func (s *shard) applyCommit(update headUpdate, revision int64) {
	unreferenced := s.takeUnreferencedSegments(update.nextHead)
	s.head, s.revision, s.unknownWriteBase, s.consecutiveFailures = update.nextHead, revision, -1, 0
	s.recordsToRestore = s.recordsToRestore[update.restored:]
	s.indexHeadRecords()
	s.confirmSettlements(update.settlements)
	s.deleteSegments(unreferenced)
	s.pendingClaims = slices.DeleteFunc(s.pendingClaims, func(o *operation) bool {
		granted := slices.Contains(update.claims, o)
		if granted {
			s.book.sendVerdict(o, Verdict{Kind: VerdictGranted})
		}
		return granted
	})
	s.requeueWaitingClaims()
}

// confirmSettlements removes settlements that need no further write and notifies
// the instances that forwarded them.
func (s *shard) confirmSettlements(written []*operation) {
	s.pendingSettlements = slices.DeleteFunc(s.pendingSettlements, func(o *operation) bool { return slices.Contains(written, o) })
	for _, o := range written {
		if o.requester != "" {
			s.book.host.Send(o.requester, Message{Settled: &Settled{ID: o.id}})
		}
	}
}

// sealHead moves the head's records into a new segment. The segment is written
// first, so that the head never refers to a segment that does not exist.
func (s *shard) sealHead() {
	seg := Segment{Number: s.head.NextSegment, Bytes: s.headSizeBytes()}
	records := s.head.Records
	for i := range records {
		seg.ExpiresAt = max(seg.ExpiresAt, records[i].ExpiresAt)
	}
	call := store.Call{
		Op: store.OpCAS, Key: segmentKey(s.number, seg.Number), Value: encodeJSON(records), Budget: writeTimeout,
	}
	s.callStore(call, func(r store.Reply) {
		s.book.host.IncrementCounter(CounterShards, "seal-"+string(r.Status))
		switch r.Status {
		case store.StatusOK:
			s.commitSegmentReference(seg, r.Revision, records)
		case store.StatusConflict, store.StatusUnknown:
			// The segment number is taken, perhaps by an earlier write whose
			// reply was lost.
			s.head.NextSegment++
			if r.Status == store.StatusUnknown {
				s.handleFailure("seal-unknown")
			}
		case store.StatusUnsent, store.StatusRefused, store.StatusNotFound:
			s.handleFailure("write-" + string(r.Status))
		}
	})
}

// commitSegmentReference writes a head that refers to the new segment and has no
// records of its own.
func (s *shard) commitSegmentReference(seg Segment, revision int64, records []Record) {
	next := s.head
	next.Sequence++
	next.Writer = s.book.opts.Instance
	next.Records = nil
	next.Segments = append(slices.Clone(s.head.Segments), seg)
	next.NextSegment = seg.Number + 1
	s.writeHead(headUpdate{nextHead: next})
	s.earliestCallAt = s.book.host.Now()
	s.cacheSegment(seg.Number, revision, records)
}

// takeUnreferencedSegments returns the segments that the next head no longer
// refers to and the orphaned ones that no head ever referred to, and removes
// them from the shard.
func (s *shard) takeUnreferencedSegments(next Head) []store.KV {
	unreferenced := s.orphanedSegments
	s.orphanedSegments = nil
	for _, seg := range s.head.Segments {
		if slices.Contains(next.Segments, seg) {
			continue
		}
		unreferenced = append(unreferenced, store.KV{Key: segmentKey(s.number, seg.Number), Revision: s.segmentRevisions[seg.Number]})
		delete(s.segmentRevisions, seg.Number)
	}
	return unreferenced
}

// deleteSegments deletes segments from the store that are orphaned or whose
// records have all expired, and removes expired records from memory.
func (s *shard) deleteSegments(unreferenced []store.KV) {
	if len(unreferenced) == 0 {
		return
	}
	s.book.host.IncrementCounter(CounterShards, "segments-dropped")
	s.book.host.Log("claims-segments-dropped", "shard", strconv.Itoa(s.number), "segments", strconv.Itoa(len(unreferenced)))
	clock := s.clock()
	maps.DeleteFunc(s.sealedRecords, func(_ Key, rec *Record) bool { return rec.ExpiresAt <= clock })
	for _, kv := range unreferenced {
		s.book.host.Store(store.Call{Op: store.OpDelete, Key: kv.Key, Revision: kv.Revision, Budget: writeTimeout}, func(store.Reply) {})
	}
}
