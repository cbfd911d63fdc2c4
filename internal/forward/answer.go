package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/medlardeck/medlardeck/internal/membudget"
)

// answerMemory is the memory of an answer of the current attempt.
type answerMemory struct {
	membudget.Charge
	node     *Node
	deadline time.Time // of the attempt
}

// grow adds bytes. It waits for room until the deadline, or until the context is done, and ends
// transfers without progress meanwhile.
func (m *answerMemory) grow(ctx context.Context, bytes int64) error {
	if m.TryGrow(bytes) == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, m.deadline)
	defer cancel()
	go m.node.endStalledUntil(ctx, bytes)
	return m.Grow(ctx, bytes)
}

// readAnswer reads the body of a response. It waits until the memory budget has room, so that
// a request that has run is not lost: the room for a declared length is taken at once, since
// answers that wait with a part of theirs would wait for each other.
func (x *exchange) readAnswer(ctx context.Context, resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	if resp.ContentLength >= 0 && resp.Body != http.NoBody {
		if err := x.answer.grow(ctx, resp.ContentLength); err != nil {
			return nil, err
		}
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := growCharged(ctx, &x.answer, body)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxResponseBytes:
			return nil, errResponseTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// growCharged returns a copy of a full buffer with twice the room.
func growCharged(ctx context.Context, memory *answerMemory, buffer []byte) ([]byte, error) {
	size := max(2*cap(buffer), minSegmentBytes)
	if err := memory.grow(ctx, int64(size-cap(buffer))); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	return grown, nil
}

// writeAnswer writes a whole answer, and reports whether the caller has taken it. It returns
// when the answer has left this process, so that a caller that does not read it is noticed.
// The end of a stalled answer gives back the charge, nil for none.
func (n *Node) writeAnswer(w http.ResponseWriter, rc *http.ResponseController, status int, body []byte, charge *membudget.Charge) bool {
	t := n.transfers.beginWrite(rc, charge)
	defer n.transfers.end(t)
	limitWriteTime(rc)
	t.await()
	w.WriteHeader(status)
	if err := t.write(w, body); err != nil {
		return false
	}
	return rc.Flush() == nil
}

// dropAnswer drops the answer of the attempt before, if there is one.
func (x *exchange) dropAnswer() {
	x.buffered = nil
	x.answer.Release()
}

// eventReader reads the events of a stream, one at a time, within the memory budget.
type eventReader struct {
	br     *bufio.Reader
	memory *answerMemory
	buffer []byte // of the last event
}

// next reads one event, including the blank line that ends it. At the end of the stream it
// returns io.EOF and the bytes after the last event. The bytes are valid until the next call.
func (e *eventReader) next(ctx context.Context) ([]byte, error) {
	if cap(e.buffer) > maxSegmentBytes && len(e.buffer) < cap(e.buffer)/4 { // the large events have ended
		e.buffer = nil
		e.memory.Release()
	}
	event := e.buffer[:0]
	for {
		line, err := e.br.ReadSlice('\n')
		for len(event)+len(line) > cap(event) {
			grown, gerr := growCharged(ctx, e.memory, event)
			if gerr != nil {
				return nil, gerr
			}
			event = grown
		}
		event = append(event, line...)
		e.buffer = event
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if len(event) > maxEventBytes {
			return nil, errResponseTooLarge
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}
