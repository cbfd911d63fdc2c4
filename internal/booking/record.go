package booking

import (
	"encoding/json"
	"fmt"
	"time"
)

// State says what is known of the call that a record's claim permits.
type State string

// States of a record.
const (
	StateClaimed  State = "claimed"  // the call may run or may have run
	StateDone     State = "done"     // the call ran and its answer is known
	StateUnknown  State = "unknown"  // whether the call ran is unknown
	StateReleased State = "released" // the call did not run; the identity may be claimed again
)

// formatVersion is the version of Head's encoding in the store.
const formatVersion = 1

// Record is the stored state of one call identity. Times are on the shared wall
// clock, see Host.WallClock.
type Record struct {
	Key         Key           `json:"k"`
	Claim       ClaimID       `json:"c"`
	Fingerprint uint64        `json:"f,omitempty"`
	State       State         `json:"s"`
	RunDeadline time.Duration `json:"u,omitempty"` // the call has ended by then
	ExpiresAt   time.Duration `json:"e"`
	Answer      *Answer       `json:"a,omitempty"`
}

// Head is the value of a shard's head record.
type Head struct {
	Format int `json:"format"`
	// Writer names the instance that wrote the value.
	Writer string `json:"writer"`
	// Sequence counts the writes of the shard.
	Sequence uint64 `json:"sequence"`
	// Clock is the highest wall-clock time of any writer so far; the shard's
	// clock does not go back below it.
	Clock time.Duration `json:"clock"`
	// Segments lists the sealed segments in ascending order; NextSegment is the
	// number of the next one.
	Segments    []Segment `json:"segments,omitempty"`
	NextSegment int       `json:"next_segment"`
	// Records holds the records written since the last seal, one for each key.
	Records []Record `json:"records,omitempty"`
}

// Segment is a head's reference to an immutable value with sealed records.
// ExpiresAt is when the last of them expires.
type Segment struct {
	Number    int           `json:"number"`
	ExpiresAt time.Duration `json:"expires"`
	Bytes     int           `json:"bytes"`
}

func headKey(shard int) string { return fmt.Sprintf("claims/head/%04d", shard) }

func segmentPrefix(shard int) string { return fmt.Sprintf("claims/segment/%04d/", shard) }

func segmentKey(shard, number int) string {
	return fmt.Sprintf("%s%010d", segmentPrefix(shard), number)
}

func decodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, fmt.Errorf("decode claim head: %w", err)
	}
	if h.Format != formatVersion {
		return Head{}, fmt.Errorf("decode claim head: unsupported format %d, want %d", h.Format, formatVersion)
	}
	return h, nil
}

func decodeSegment(value []byte) ([]Record, error) {
	var records []Record
	if err := json.Unmarshal(value, &records); err != nil {
		return nil, fmt.Errorf("decode claim segment: %w", err)
	}
	return records, nil
}

// encodeJSON returns the JSON encoding of a head or its records. It panics on an
// error, since their types can always be encoded.
func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode claim record: %v", err))
	}
	return data
}

// estimatedSize returns the approximate size of the encoded record in bytes.
func (r *Record) estimatedSize() int {
	const fields = 120 // bytes of keys, quotes and numbers in the JSON encoding
	n := fields + len(r.Key) + len(r.Claim)
	if r.Answer != nil {
		n += 64 + len(r.Answer.ContentType) + len(r.Answer.Body)*4/3
	}
	return n
}
