package httpapi

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/node"
	"github.com/medlardeck/medlardeck/internal/result"
)

// HeaderLimit lets a caller shorten the time limit of its request, in
// milliseconds.
const HeaderLimit = "X-Request-Timeout-Ms"

var errLimit = errors.New("header " + HeaderLimit + " is not a positive number of milliseconds")

// callerLimit returns the time limit that the caller asked for, zero for none.
func callerLimit(r *http.Request) (time.Duration, error) {
	value := r.Header.Get(HeaderLimit)
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms <= 0 {
		return 0, errLimit
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readRequest takes the caller's time limit and the body, or refuses the
// request; see readBody for release.
func (a *API) readRequest(w http.ResponseWriter, r *http.Request) (limit time.Duration, body []byte, release func(), ok bool) {
	limit, err := callerLimit(r)
	if err != nil {
		a.refuse(w, result.BadRequest, err.Error())
		return 0, nil, nil, false
	}
	body, release, ok = a.readBody(w, r)
	return limit, body, release, ok
}

// readBody buffers the body once; release has to be called when it is no longer
// needed. A body announced as too large is refused before it is read, so that a
// caller that waits for 100 Continue sends none. So is one that would exceed
// the memory for bodies; one of unknown length counts as the largest.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), ok bool) {
	if r.ContentLength > a.opts.MaxBodyBytes {
		a.refuse(w, result.BodyTooLarge, "")
		return nil, nil, false
	}
	held := r.ContentLength
	if held < 0 {
		held = a.opts.MaxBodyBytes
	}
	if a.buffered.Add(held) > a.opts.MaxBufferedBytes {
		a.buffered.Add(-held)
		a.refuse(w, result.Shed, "the memory for bodies is used up")
		return nil, nil, false
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(a.opts.BodyTimeout))
	ended := a.endReadWithStop(rc)
	body, err := readAll(http.MaxBytesReader(w, r.Body, a.opts.MaxBodyBytes), r.ContentLength)
	stopExpired := ended()
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		a.buffered.Add(int64(len(body)) - held)
		return body, func() { a.buffered.Add(-int64(len(body))) }, true
	}
	a.buffered.Add(-held)
	if stopExpired {
		a.refuseUnread(w)
		return nil, nil, false
	}
	code := result.BadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		code = result.BodyTooLarge
	}
	a.refuse(w, code, "the body could not be read")
	return nil, nil, false
}

// endReadWithStop makes reads fail once the time of a planned stop is over. The returned
// function ends that and reports whether it has happened.
func (a *API) endReadWithStop(rc *http.ResponseController) (ended func() bool) {
	done := make(chan struct{})
	cancel := a.node.OnStopExpired(func() {
		defer close(done)
		_ = rc.SetReadDeadline(time.Unix(1, 0)) // a broken connection fails without it
	})
	return func() bool {
		if cancel() {
			return false
		}
		<-done
		return true
	}
}

// refuseUnread answers a request whose body had not arrived when the time of a stop was
// over. The decisions refuse every request by then, whatever it asks for.
func (a *API) refuseUnread(w http.ResponseWriter) {
	x := a.node.Submit(entry.RequestArrived{}, node.Upstream{})
	<-x.Done()
	writeError(w, x.End(), "")
}

// readAll reads into one buffer, of the announced size where there is one.
func readAll(body io.Reader, announced int64) ([]byte, error) {
	if announced >= 0 {
		buf := make([]byte, announced)
		_, err := io.ReadFull(body, buf)
		return buf, err
	}
	var buf bytes.Buffer
	_, err := buf.ReadFrom(body)
	return buf.Bytes(), err
}
