package forward

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/membudget"
	"github.com/medlardeck/medlardeck/internal/result"
)

const (
	defaultMaxBodyBytes = 4 << 20 // where the configuration sets no limit
	// bodyTimeout bounds reading a request body.
	bodyTimeout = 15 * time.Second
	// unreadBodyTime is how long the rest of a refused body is read, within net/http's bound
	// of 256 KiB, so that the caller sees the response before the connection is closed.
	unreadBodyTime = 500 * time.Millisecond
	// memoryRetryAfter is the Retry-After value of requests that find no memory: by then,
	// bodies without progress have been ended.
	memoryRetryAfter = time.Second
)

// errBodyStalled reports that a body was ended since it made no progress while others found
// no memory or connection.
var errBodyStalled = errors.New("the body made no progress while memory or connections were short")

// readBody reads the request body within the configured size limit, the memory budget,
// bodyTimeout and the time that a planned stop leaves. The body has to be released.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, config *fleet.Config) (*requestBody, error) {
	body := &requestBody{}
	n.opts.Budget.Bind(&body.charge)
	if r.ContentLength == 0 {
		return body, nil
	}
	limit := int64(defaultMaxBodyBytes)
	if config != nil && config.Limits.MaxBodyBytes > 0 {
		limit = int64(config.Limits.MaxBodyBytes)
	}
	rc := http.NewResponseController(w)
	if r.ContentLength > limit {
		_ = rc.SetReadDeadline(time.Now().Add(unreadBodyTime))
		return nil, &http.MaxBytesError{Limit: limit}
	}
	read := n.transfers.beginRead(rc, &body.charge)
	err := body.readFrom(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, read.progress)
	n.transfers.endRead(read, err == nil)
	if err == nil {
		return body, nil
	}
	body.release()
	var exhausted *membudget.ExhaustedError
	if errors.As(err, &exhausted) {
		n.endStalledFor(exhausted.Bytes)
	}
	if read.stalled.Load() {
		err = errBodyStalled
	}
	return nil, err
}

// rejectUnreadableBody answers a request whose body is too large, finds no memory or could
// not be read.
func (n *Node) rejectUnreadableBody(w http.ResponseWriter, r *http.Request, metadata RequestMetadata, err error) {
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	var exhausted *membudget.ExhaustedError
	status, code := http.StatusBadRequest, result.BadRequest
	switch {
	case errors.As(err, &tooLarge):
		status, code = http.StatusRequestEntityTooLarge, result.BodyTooLarge
	case errors.As(err, &exhausted):
		status, code = http.StatusServiceUnavailable, result.MemoryExhausted
	case errors.Is(err, errBodyStalled):
		status, code = http.StatusServiceUnavailable, result.BodyStalled
	case n.transfers.stopped():
		n.refuseRequest(w, r, metadata, result.Stopping)
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, code = http.StatusRequestTimeout, result.BodyTimeout
	}
	n.refusals.info("request-rejected", "request", metadata.ID, "code", int(code), "result", code.String(), "cause", err.Error())
	n.opts.Metrics.Add("refusals", code.String())
	n.writeError(w, metadata.ID, status, fleet.Finish{Code: code, RetryAfter: memoryRetryAfter})
}

// closeUnlessRead makes the connection of a request close after the answer if the body has not
// been read.
func closeUnlessRead(w http.ResponseWriter, r *http.Request, body *requestBody) {
	if body != nil || r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime)) // a broken connection ends the request
}
