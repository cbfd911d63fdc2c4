package booking

import (
	"strconv"

	"github.com/medlardeck/medlardeck/internal/store"
)

// load reads the head record and the segments that are not yet known.
func (s *shard) load() {
	start := s.book.host.Now()
	s.call(store.Call{Op: store.OpGet, Key: headKey(s.number), Budget: readBudget}, func(r store.Reply) {
		if r.Status == store.StatusOK || r.Status == store.StatusNotFound {
			s.freshAt = start
		}
		switch r.Status {
		case store.StatusOK:
			h, err := decodeHead(r.KVs[0].Value)
			if err != nil {
				s.book.host.Log("claims-head-faulty", "shard", strconv.Itoa(s.number), "error", err.Error())
				s.failed("head-faulty")
				return
			}
			s.adopt(h, r.Revision)
		case store.StatusNotFound:
			s.adopt(Head{Format: formatVersion}, 0)
		case store.StatusConflict, store.StatusUnsent, store.StatusUnknown, store.StatusRefused:
			s.failed("load-" + string(r.Status))
		}
	})
}

// adopt takes the head as read.
func (s *shard) adopt(h Head, revision int64) {
	if h.Sequence < s.head.Sequence {
		s.restored(h)
	}
	if s.doubt >= 0 && revision != s.doubt {
		s.doubt = -1 // the write without answer took effect or never will
	}
	s.head, s.revision = h, revision
	s.index()
	if s.missing() {
		s.loadSegments("")
		return
	}
	s.ready()
}

func (s *shard) ready() {
	s.loaded = true
	s.failures = 0
	s.retryWaiters()
}

// index rebuilds the look-up of the head's records.
func (s *shard) index() {
	clear(s.open)
	for i := range s.head.Records {
		rec := &s.head.Records[i]
		s.open[rec.Key] = rec
	}
}

func (s *shard) missing() bool {
	for _, seg := range s.head.Segments {
		if _, ok := s.segments[seg.Number]; !ok {
			return true
		}
	}
	return false
}

// loadSegments reads all segments after a key in pages.
func (s *shard) loadSegments(after string) {
	call := store.Call{Op: store.OpRange, Key: segmentPrefix(s.number), After: after, Budget: readBudget}
	if after == "" {
		call.After = s.lastKnownSegment()
	}
	s.call(call, func(r store.Reply) {
		if r.Status != store.StatusOK {
			s.failed("load-" + string(r.Status))
			return
		}
		for _, kv := range r.KVs {
			s.takeSegment(kv)
		}
		switch {
		case r.More && len(r.KVs) > 0:
			s.loadSegments(r.KVs[len(r.KVs)-1].Key)
		case s.missing():
			// Another instance dropped it since the head was read, or the store
			// lost it; either way the head is read again.
			s.failed("segment-missing")
		default:
			s.ready()
		}
	})
}

// lastKnownSegment returns the key up to which all referred segments are known.
func (s *shard) lastKnownSegment() string {
	last := ""
	for _, seg := range s.head.Segments {
		if _, ok := s.segments[seg.Number]; !ok {
			break
		}
		last = segmentKey(s.number, seg.Number)
	}
	return last
}

func (s *shard) takeSegment(kv store.KV) {
	for _, seg := range s.head.Segments {
		if segmentKey(s.number, seg.Number) != kv.Key {
			continue
		}
		if _, ok := s.segments[seg.Number]; ok {
			return
		}
		records, err := decodeSegment(kv.Value)
		if err != nil {
			s.book.host.Log("claims-segment-faulty", "key", kv.Key, "error", err.Error())
			return
		}
		s.keepSegment(seg.Number, kv.Revision, records)
		return
	}
	if kv.Key < segmentKey(s.number, s.head.NextSegment) {
		s.stale = append(s.stale, kv) // left by an instance that ended before its head was written
	}
}

func (s *shard) keepSegment(number int, revision int64, records []Record) {
	s.segments[number] = revision
	for i := range records {
		rec := &records[i]
		s.sealed[rec.Key] = rec
	}
}
