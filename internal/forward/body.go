package forward

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/result"
)

const (
	defaultMaxBodyBytes = 4 << 20 // where the configuration sets no limit
	// bodyTimeout bounds reading a request body.
	bodyTimeout = 15 * time.Second
)

// bodyReads are the bodies of requests that are being read. A planned stop shortens their
// time, so that their callers get a refusal before the connections are closed.
type bodyReads struct {
	mu        sync.Mutex
	readers   map[*http.ResponseController]time.Time // with their deadlines
	stopAt    time.Time                              // zero while no stop is in progress
	stopBegun bool
}

// begin sets the deadline of a body that is about to be read. The returned function removes
// it when the body has been read.
func (b *bodyReads) begin(rc *http.ResponseController) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	deadline := time.Now().Add(bodyTimeout)
	if b.stopBegun && b.stopAt.Before(deadline) {
		deadline = b.stopAt
	}
	b.readers[rc] = deadline
	_ = rc.SetReadDeadline(deadline) // a broken connection fails at the next read
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.readers, rc)
		_ = rc.SetReadDeadline(time.Time{})
	}
}

// stop lets the reads fail that last longer than until the given time. A later call counts
// if its time is earlier.
func (b *bodyReads) stop(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopBegun && !at.Before(b.stopAt) {
		return
	}
	b.stopBegun, b.stopAt = true, at
	for rc, deadline := range b.readers {
		if at.Before(deadline) {
			_ = rc.SetReadDeadline(at)
		}
	}
}

// stopped reports whether a planned stop has ended the reads.
func (b *bodyReads) stopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopBegun && !time.Now().Before(b.stopAt)
}

// readBody reads the request body within the configured size limit, bodyTimeout and the
// time that a planned stop leaves.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, config *fleet.Config) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(defaultMaxBodyBytes)
	if config != nil && config.Limits.MaxBodyBytes > 0 {
		limit = int64(config.Limits.MaxBodyBytes)
	}
	defer n.bodies.begin(http.NewResponseController(w))()
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

// rejectUnreadableBody answers a request whose body is too large or could not
// be read.
func (n *Node) rejectUnreadableBody(w http.ResponseWriter, r *http.Request, metadata RequestMetadata, err error) {
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	status, code := http.StatusBadRequest, result.BadRequest
	switch {
	case errors.As(err, &tooLarge):
		status, code = http.StatusRequestEntityTooLarge, result.BodyTooLarge
	case n.bodies.stopped():
		n.refuseRequest(w, r, metadata, result.Stopping)
		return
	}
	n.opts.Log.Info("request-rejected", "request", metadata.ID, "code", int(code), "result", code.String(), "cause", err.Error())
	n.opts.Metrics.Add("refusals", code.String())
	n.writeError(w, metadata.ID, status, fleet.Finish{Code: code})
}
