// Package httpanswer detects truncated and invalid HTTP/1.1 responses that net/http accepts.
package httpanswer

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// ErrTruncated reports a response without a length whose connection was closed before the whole
// request had been written.
var ErrTruncated = errors.New("the connection was closed before the request was written")

// writeResultTime bounds the wait at the end of a response for the result of writing its request.
const writeResultTime = 100 * time.Millisecond

// RequestWrite is the result of writing a request, which may still be in progress while the
// response is read.
type RequestWrite struct {
	ended chan struct{}
	once  sync.Once
	err   error
}

// NewRequestWrite returns a RequestWrite that is in progress.
func NewRequestWrite() *RequestWrite { return &RequestWrite{ended: make(chan struct{})} }

// End records the result. Later calls have no effect.
func (w *RequestWrite) End(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.ended)
	})
}

// IsComplete reports whether the whole request has been written without an error.
func (w *RequestWrite) IsComplete() bool {
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}

// await returns when the writing has ended, or after a period.
func (w *RequestWrite) await(period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-w.ended:
	case <-timer.C:
	}
}

// EndsByClose reports whether a response has neither a length nor chunks, so that the end of the
// connection delimits it.
func EndsByClose(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Guard makes the body of a response that EndsByClose end with ErrTruncated unless its request was
// written. The kernel reports a reset once: if the writer of the request gets it, the reader of
// the response sees io.EOF.
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
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.write.await(writeResultTime)
	if !b.write.IsComplete() {
		err = ErrTruncated
	}
	return n, err
}
