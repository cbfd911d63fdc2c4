// Package httpanswer tells answers that a target means from those that net/http takes for one: it
// reads an end, a status or the name of a field where HTTP/1.1 has none.
package httpanswer

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// ErrCut reports an answer without a length whose connection ended before the request was
// written.
var ErrCut = errors.New("the connection ended before the request was written")

// writeResultTime is how long the end of an answer waits for the result of writing its request.
const writeResultTime = 100 * time.Millisecond

// RequestWrite is the writing of a request, which may go on while its answer is read.
type RequestWrite struct {
	ended chan struct{}
	once  sync.Once
	err   error
}

// NewRequestWrite returns a RequestWrite that goes on.
func NewRequestWrite() *RequestWrite { return &RequestWrite{ended: make(chan struct{})} }

// End records the result. Later calls have no effect.
func (w *RequestWrite) End(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.ended)
	})
}

// IsComplete reports whether the request has been written.
func (w *RequestWrite) IsComplete() bool { return w.isCompleteWithin(0) }

func (w *RequestWrite) isCompleteWithin(period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-w.ended:
		return w.err == nil
	default:
	}
	select {
	case <-w.ended:
		return w.err == nil
	case <-timer.C:
		return false
	}
}

// EndsByClose reports whether an answer has neither a length nor chunks, so that only the end of
// its connection ends it.
func EndsByClose(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Guard lets the body of an answer that EndsByClose end with ErrCut if its request was not
// written. A reset is reported to either the writer of the request or the reader of the answer;
// after the writer has seen it, the reader sees an orderly end.
func Guard(resp *http.Response, write *RequestWrite) {
	if EndsByClose(resp) {
		resp.Body = &guardedBody{resp.Body, write}
	}
}

type guardedBody struct {
	io.ReadCloser
	write *RequestWrite
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.write.isCompleteWithin(writeResultTime) {
		err = ErrCut
	}
	return n, err
}
