package forward

import (
	"errors"
	"io"

	"github.com/medlardeck/medlardeck/internal/membudget"
)

// Sizes of the segments of a body. The first is small, so that a body that stops early holds
// little; a body of a declared length up to maxSegmentBytes has one segment of that length.
const (
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 64 << 10
)

// requestBody is a request body that has been read, kept until no further attempt needs it.
// Segments are allocated as the bytes arrive, each within the memory budget, and never copied.
type requestBody struct {
	charge   membudget.Charge
	segments [][]byte
	size     int
}

// readFrom reads a body to its end. The declared length is negative if it is not known.
// progress is called with the bytes of each read.
func (b *requestBody) readFrom(r io.Reader, declared int64, progress func(bytes int)) error {
	for {
		segment, err := b.nextSegment(declared)
		if err != nil {
			return err
		}
		for len(segment) < cap(segment) {
			n, err := r.Read(segment[len(segment):cap(segment)])
			segment = segment[:len(segment)+n]
			b.size += n
			b.segments[len(b.segments)-1] = segment
			progress(n)
			switch {
			case errors.Is(err, io.EOF):
				return nil
			case err != nil:
				return err
			}
		}
	}
}

// nextSegment appends an empty segment.
func (b *requestBody) nextSegment(declared int64) ([]byte, error) {
	size := minSegmentBytes << min(2*len(b.segments), 4)
	if declared >= 0 {
		// The end of a body is returned with its last bytes, or by one further read.
		size = int(min(max(declared-int64(b.size), 1), maxSegmentBytes))
	}
	if err := b.charge.TryGrow(int64(size)); err != nil {
		return nil, err
	}
	segment := make([]byte, 0, size)
	b.segments = append(b.segments, segment)
	return segment, nil
}

// writeTo writes the body.
func (b *requestBody) writeTo(w io.Writer) error {
	for _, segment := range b.segments {
		if _, err := w.Write(segment); err != nil {
			return err
		}
	}
	return nil
}

// release gives the memory of the body back to the budget.
func (b *requestBody) release() { b.charge.Release() }
