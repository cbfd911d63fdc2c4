package booking

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// maxBatchBytes bounds what one commit adds to a head, well below the largest
// value of the store.
const maxBatchBytes = store.MaxValueBytes / 2

// write commits what waits, after sealing a head that has grown full.
func (s *shard) write() {
	if s.headBytes() > s.book.opts.HeadBytes && len(s.head.Records) > 0 {
		s.seal()
		return
	}
	s.commit()
}

func (s *shard) headBytes() int {
	n := 0
	for i := range s.head.Records {
		n += s.head.Records[i].size()
	}
	return n
}

// commit writes the head with everything that waits, if that changes it.
func (s *shard) commit() {
	bt := s.build()
	if bt.changes == 0 && s.doubt < 0 && len(s.carry) == 0 {
		s.confirm(bt.settles)
		return
	}
	s.commitHead(bt)
}

// batch is one change of a head and the operations that it carries.
type batch struct {
	next    Head
	claims  []*op
	settles []*op
	carried int // of the shard's carry
	changes int
}

// draft collects the records of the next head.
type draft struct {
	s       *shard
	clock   time.Duration
	records map[Key]*Record
	bytes   int
}

func (d *draft) lookup(key Key) *Record {
	if rec := d.records[key]; rec != nil {
		return rec
	}
	return d.s.sealed[key]
}

func (d *draft) put(rec Record) {
	d.bytes += rec.size()
	d.records[rec.Key] = &rec
}

func (d *draft) room() bool { return d.bytes < maxBatchBytes }

// build returns the next batch.
func (s *shard) build() batch {
	d := &draft{s: s, clock: s.clock(), records: maps.Clone(s.open)}
	bt := batch{next: s.head}
	for _, rec := range s.carry {
		if !d.room() {
			break
		}
		bt.carried++
		if d.records[rec.Key] == nil {
			d.put(rec)
		}
	}
	for _, o := range s.settles {
		if !d.room() {
			break
		}
		if rec, ok := settled(o.settle, d.lookup(o.key), d.clock); ok {
			d.put(rec)
			bt.changes++
		}
		bt.settles = append(bt.settles, o)
	}
	for _, o := range s.claims {
		prev := d.lookup(o.key)
		if j, _ := judge(o.claim, prev, d.clock); j == judgeFree && d.room() {
			d.put(s.claimed(o, prev, d.clock))
			bt.claims = append(bt.claims, o)
			bt.changes++
		}
	}
	s.fill(&bt.next, d)
	return bt
}

// fill completes the next head from the draft; what has expired stays out.
func (s *shard) fill(next *Head, d *draft) {
	next.Format, next.Writer = formatVersion, s.book.opts.Instance
	next.Sequence, next.Clock = s.head.Sequence+1, d.clock
	next.Records = make([]Record, 0, len(d.records))
	for _, key := range slices.Sorted(maps.Keys(d.records)) {
		if rec := d.records[key]; rec.Expires > d.clock {
			next.Records = append(next.Records, *rec)
		}
	}
	next.Segments = slices.DeleteFunc(slices.Clone(s.head.Segments), func(seg Segment) bool {
		return seg.Expires <= d.clock
	})
}

// claimed returns the record of a claim that takes the place of prev. It
// outlives prev, whose sealed copy would show again otherwise.
func (s *shard) claimed(o *op, prev *Record, clock time.Duration) Record {
	keep := o.claim.Keep
	if keep == 0 {
		keep = DefaultKeep
	}
	until := clock + max(0, o.expires-s.book.host.Now())
	expires := until + max(keep, grace)
	if prev != nil {
		expires = max(expires, prev.Expires)
	}
	return Record{
		Key: o.key, Claim: o.id, Fingerprint: o.claim.Fingerprint, State: StateClaimed,
		Until: until, Expires: expires,
	}
}

// commitHead writes a head in place of the one that was read.
func (s *shard) commitHead(bt batch) {
	for _, o := range bt.claims {
		o.flying = true
	}
	host := s.book.host
	base, start := s.revision, host.Now()
	s.notBefore = host.Now() + s.book.opts.CommitInterval
	call := store.Call{Op: store.OpCAS, Key: headKey(s.number), Value: encode(bt.next), Revision: base, Budget: writeBudget}
	s.call(call, func(r store.Reply) {
		host.Count(CounterCommits, string(r.Status))
		for _, o := range bt.claims {
			o.flying = false
			o.attempted = o.attempted || r.Status == store.StatusUnknown
		}
		switch r.Status {
		case store.StatusOK:
			s.freshAt = start
			s.committed(bt, r.Revision)
		case store.StatusConflict:
			s.loaded = false
			s.notBefore = host.Now() + host.Jitter(backoffBase)
		case store.StatusUnknown:
			s.loaded = false
			s.doubt = base
			s.failed(reasonWriteUnknown)
		case store.StatusUnsent, store.StatusRefused, store.StatusNotFound:
			s.failed("write-" + string(r.Status))
		}
	})
}

func (s *shard) committed(bt batch, revision int64) {
	dropped := s.droppedSegments(bt.next)
	s.head, s.revision, s.doubt, s.failures = bt.next, revision, -1, 0
	s.carry = s.carry[bt.carried:]
	s.index()
	s.confirm(bt.settles)
	s.dropSegments(dropped)
	s.claims = slices.DeleteFunc(s.claims, func(o *op) bool {
		granted := slices.Contains(bt.claims, o)
		if granted {
			s.book.decide(o, Verdict{Kind: Granted})
		}
		return granted
	})
	s.retryWaiters()
}

// confirm ends settlements that are written.
func (s *shard) confirm(settles []*op) {
	s.settles = slices.DeleteFunc(s.settles, func(o *op) bool { return slices.Contains(settles, o) })
	for _, o := range settles {
		if o.from != "" {
			s.book.host.Tell(o.from, Message{Settled: &Settled{ID: o.id}})
		}
	}
}

// seal moves the head's records into a segment, which is written first, so
// that the head never refers to a segment that is not there.
func (s *shard) seal() {
	seg := Segment{Number: s.head.NextSegment, Bytes: s.headBytes()}
	records := s.head.Records
	for i := range records {
		seg.Expires = max(seg.Expires, records[i].Expires)
	}
	call := store.Call{
		Op: store.OpCAS, Key: segmentKey(s.number, seg.Number), Value: encode(records), Budget: writeBudget,
	}
	s.call(call, func(r store.Reply) {
		s.book.host.Count(CounterShards, "seal-"+string(r.Status))
		switch r.Status {
		case store.StatusOK:
			s.referTo(seg, r.Revision, records)
		case store.StatusConflict, store.StatusUnknown:
			// The number is taken, perhaps by the write whose answer was lost.
			s.head.NextSegment++
			if r.Status == store.StatusUnknown {
				s.failed("seal-unknown")
			}
		case store.StatusUnsent, store.StatusRefused, store.StatusNotFound:
			s.failed("write-" + string(r.Status))
		}
	})
}

// referTo writes the head that refers to a new segment in place of its records.
func (s *shard) referTo(seg Segment, revision int64, records []Record) {
	next := s.head
	next.Sequence++
	next.Writer = s.book.opts.Instance
	next.Records = nil
	next.Segments = append(slices.Clone(s.head.Segments), seg)
	next.NextSegment = seg.Number + 1
	s.commitHead(batch{next: next})
	s.notBefore = s.book.host.Now()
	s.keepSegment(seg.Number, revision, records)
}

// droppedSegments returns the keys of segments that the next head refers to no
// more, and of those that no head ever did.
func (s *shard) droppedSegments(next Head) []store.KV {
	dropped := s.stale
	s.stale = nil
	for _, seg := range s.head.Segments {
		if slices.Contains(next.Segments, seg) {
			continue
		}
		dropped = append(dropped, store.KV{Key: segmentKey(s.number, seg.Number), Revision: s.segments[seg.Number]})
		delete(s.segments, seg.Number)
	}
	return dropped
}

// dropSegments deletes segments whose records have all expired.
func (s *shard) dropSegments(dropped []store.KV) {
	if len(dropped) == 0 {
		return
	}
	s.book.host.Count(CounterShards, "segments-dropped")
	s.book.host.Log("claims-segments-dropped", "shard", strconv.Itoa(s.number), "segments", strconv.Itoa(len(dropped)))
	clock := s.clock()
	maps.DeleteFunc(s.sealed, func(_ Key, rec *Record) bool { return rec.Expires <= clock })
	for _, kv := range dropped {
		s.book.host.Store(store.Call{Op: store.OpDelete, Key: kv.Key, Revision: kv.Revision, Budget: writeBudget}, func(store.Reply) {})
	}
}
