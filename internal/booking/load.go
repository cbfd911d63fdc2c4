package booking

import (
	"strconv"

	"github.com/medlardeck/medlardeck/internal/store"
)

// loadHead reads the head record, and then the segments that are not loaded yet.
func (s *shard) loadHead() {
	startedAt := s.book.host.Now()
	s.callStore(store.Call{Op: store.OpGet, Key: headKey(s.number), Budget: readTimeout}, func(r store.Reply) {
		if r.Status == store.StatusOK || r.Status == store.StatusNotFound {
			s.verifiedAt = startedAt
		}
		switch r.Status {
		case store.StatusOK:
			h, err := decodeHead(r.KVs[0].Value)
			if err != nil {
				s.book.host.Log("claims-head-faulty", "shard", strconv.Itoa(s.number), "error", err.Error())
				s.handleFailure("head-faulty")
				return
			}
			s.applyHead(h, r.Revision)
		case store.StatusNotFound:
			s.applyHead(Head{Format: formatVersion}, 0)
		case store.StatusConflict, store.StatusUnsent, store.StatusUnknown, store.StatusRefused:
			s.handleFailure("load-" + string(r.Status))
		}
	})
}

// applyHead adopts a head that was read from the store.
func (s *shard) applyHead(h Head, revision int64) {
	if h.Sequence < s.head.Sequence {
		s.handleStoreRollback(h)
	}
	if s.unknownWriteBase >= 0 && revision != s.unknownWriteBase {
		s.unknownWriteBase = -1 // the revision changed: the write took effect or never will
	}
	s.head, s.revision = h, revision
	s.indexHeadRecords()
	if s.hasUnloadedSegments() {
		s.loadSegments("")
		return
	}
	s.markLoaded()
}

// markLoaded marks the shard as up to date and queues the waiting claims for
// another evaluation.
func (s *shard) markLoaded() {
	s.loaded = true
	s.consecutiveFailures = 0
	s.requeueWaitingClaims()
}

// indexHeadRecords rebuilds the map of the head's records.
func (s *shard) indexHeadRecords() {
	clear(s.headRecords)
	for i := range s.head.Records {
		rec := &s.head.Records[i]
		s.headRecords[rec.Key] = rec
	}
}

func (s *shard) hasUnloadedSegments() bool {
	for _, seg := range s.head.Segments {
		if _, ok := s.segmentRevisions[seg.Number]; !ok {
			return true
		}
	}
	return false
}

// loadSegments reads the segments after a key, page by page. With an empty key it
// starts after the leading segments that are already loaded.
func (s *shard) loadSegments(after string) {
	call := store.Call{Op: store.OpRange, Key: segmentPrefix(s.number), After: after, Budget: readTimeout}
	if after == "" {
		call.After = s.lastLoadedSegmentKey()
	}
	s.callStore(call, func(r store.Reply) {
		if r.Status != store.StatusOK {
			s.handleFailure("load-" + string(r.Status))
			return
		}
		for _, kv := range r.KVs {
			s.addReadSegment(kv)
		}
		switch {
		case r.More && len(r.KVs) > 0:
			s.loadSegments(r.KVs[len(r.KVs)-1].Key)
		case s.hasUnloadedSegments():
			// Another instance deleted the segment after the head was read, or
			// the store lost it; in both cases the head is read again.
			s.handleFailure("segment-missing")
		default:
			s.markLoaded()
		}
	})
}

// lastLoadedSegmentKey returns the key up to which all segments of the head are
// loaded, empty if the first one is not.
func (s *shard) lastLoadedSegmentKey() string {
	last := ""
	for _, seg := range s.head.Segments {
		if _, ok := s.segmentRevisions[seg.Number]; !ok {
			break
		}
		last = segmentKey(s.number, seg.Number)
	}
	return last
}

// addReadSegment decodes and caches a segment that was read from the store, or
// notes it as orphaned if the head doesn't refer to it.
func (s *shard) addReadSegment(kv store.KV) {
	for _, seg := range s.head.Segments {
		if segmentKey(s.number, seg.Number) != kv.Key {
			continue
		}
		if _, ok := s.segmentRevisions[seg.Number]; ok {
			return
		}
		records, err := decodeSegment(kv.Value)
		if err != nil {
			s.book.host.Log("claims-segment-faulty", "key", kv.Key, "error", err.Error())
			return
		}
		s.cacheSegment(seg.Number, kv.Revision, records)
		return
	}
	if kv.Key < segmentKey(s.number, s.head.NextSegment) {
		s.orphanedSegments = append(s.orphanedSegments, kv) // its writer stopped before it wrote the head
	}
}

func (s *shard) cacheSegment(number int, revision int64, records []Record) {
	s.segmentRevisions[number] = revision
	for i := range records {
		rec := &records[i]
		s.sealedRecords[rec.Key] = rec
	}
}
