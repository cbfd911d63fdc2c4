package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/httpanswer"
)

// Limits of one attempt at a target.
const (
	// maxResponseBytes bounds a response that is buffered in memory.
	maxResponseBytes = 8 << 20
	// maxResponseHeadBytes bounds the status line and the headers of a response, and of
	// the interim and late ones before it.
	maxResponseHeadBytes = 64 << 10
	// maxDiscardedBytes and discardTimeout bound a body that is read only to use its
	// connection again. A late response before the awaited one may be as long as any.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 100 * time.Millisecond
	// maxEventBytes bounds one event of an event stream.
	maxEventBytes = 1 << 20
	// deadlineGrace is how long after its deadline an attempt still waits for
	// the response, so that a response that the target sends at the deadline
	// arrives.
	deadlineGrace = 300 * time.Millisecond
	// maxInlineBodyBytes is the size up to which a request body is written
	// before the response is read: it fits the smallest socket buffers.
	maxInlineBodyBytes = 1 << 10
	// maxStaleResponses bounds the late responses to earlier requests that are
	// discarded on one connection.
	maxStaleResponses = 4
)

var (
	errRequestMismatch  = errors.New("response belongs to another request")
	errUnsigned         = errors.New("successful response without the target's signature")
	errEncodedResponse  = errors.New("response has a content encoding")
	errResponseTooLarge = errors.New("response is too large")
	errCancelled        = errors.New("cancelled")
	errNoStream         = errors.New("response to a resumed stream is no stream")
)

// brokenAttempt returns the end of an attempt that failed without a complete
// response.
func brokenAttempt(cause error) fleet.AttemptEnd {
	return fleet.AttemptEnd{Outcome: fleet.OutcomeBroken, Cause: cause.Error()}
}

// runAttempt sends the request to a target and relays or buffers the response.
func (x *exchange) runAttempt(send fleet.Send) fleet.AttemptEnd {
	x.dropAnswer()
	x.limit = fleet.Limit{}
	withheld := fleet.AttemptEnd{Outcome: fleet.OutcomeWithheld}
	if !x.node.mayStart(send) {
		return withheld
	}
	ctx, cancel := x.attemptContext(send.Attempt)
	defer cancel()
	c, err := x.connect(ctx, send)
	if err != nil {
		if !x.node.mayStart(send) {
			return withheld
		}
		return fleet.AttemptEnd{Outcome: fleet.OutcomeNotConnected, Cause: err.Error()}
	}
	timeLeft := send.Deadline - x.node.clock.now()
	c.deadline = time.Now().Add(timeLeft + deadlineGrace)
	x.answer.deadline = c.deadline
	if err := c.SetDeadline(c.deadline); err != nil {
		_ = c.Close()
		return fleet.AttemptEnd{Outcome: fleet.OutcomeNotConnected, Cause: err.Error()}
	}
	// The connection can be closed by a cancellation before anything is written to it.
	if !x.registerConn(send.Attempt, c) || !x.node.startAttempt(send) {
		x.clearConn()
		_ = c.Close()
		return withheld
	}
	defer x.clearConn()
	written := x.writeRequest(c, send, timeLeft)
	end, resp := x.readResponse(ctx, c, send, written)
	end.Limit = x.limit
	x.releaseConn(c, resp, written, end)
	return end
}

// connect returns a connection to the target or peer of an attempt. The decision core
// learns of a new one to a target.
func (x *exchange) connect(ctx context.Context, send fleet.Send) (*conn, error) {
	pool := x.node.pool
	if relay := send.Relay; relay.Address != "" {
		return pool.get(ctx, "peer "+relay.Peer+"@"+relay.Address, relay.Address, x.node.opts.LocalIP, send.FreshConnection)
	}
	c, err := pool.get(ctx, send.Target.ID+"@"+send.Target.Address, send.Target.Address, nil, send.FreshConnection)
	if err == nil && !c.reused {
		c.target = send.Target
		x.node.Step(fleet.Connected{Target: send.Target.ID})
	}
	return c, err
}

// releaseConn returns the connection to the pool after a complete request and
// response; otherwise it closes the connection.
func (x *exchange) releaseConn(c *conn, resp *http.Response, written *httpanswer.RequestWrite, end fleet.AttemptEnd) {
	complete := end.Outcome == fleet.OutcomeComplete || end.Outcome == fleet.OutcomeFailed || end.Outcome == fleet.OutcomeNotRun
	if complete && resp != nil && !resp.Close && written.IsComplete() {
		x.node.pool.put(c, resp.Header)
		return
	}
	_ = c.Close()
}

// writeRequest sends the request. A body longer than maxInlineBodyBytes is written concurrently with reading the
// response, since a target may respond before it has read the whole body.
func (x *exchange) writeRequest(c *conn, send fleet.Send, timeLeft time.Duration) *httpanswer.RequestWrite {
	h := make(http.Header, len(x.r.Header)+4)
	copyEndToEndHeaders(h, x.r.Header)
	if h["Content-Type"] == nil {
		delete(h, "Content-Type")
	}
	h.Del("Content-Length")
	if x.lastEventID != "" {
		h.Set("Last-Event-Id", x.lastEventID)
	}
	if x.body.size > 0 || x.r.ContentLength == 0 && x.r.Header.Get("Content-Length") != "" {
		h.Set("Content-Length", strconv.Itoa(x.body.size))
	}
	if send.Relay.Address != "" {
		x.node.opts.HeaderCodec.WriteRelayHeaders(h, timeLeft)
		h.Set(headerAttemptsLeft, strconv.Itoa(send.Relay.AttemptsLeft))
	} else {
		x.node.opts.HeaderCodec.WriteRequestHeaders(h, send, timeLeft)
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.r.Method, x.r.RequestURI, x.r.Host)
	_ = h.Write(&head) // writes to a buffer cannot fail
	head.WriteString("\r\n")
	written := httpanswer.NewRequestWrite()
	if x.body.size <= maxInlineBodyBytes {
		_ = x.body.writeTo(&head)
		_, err := c.Write(head.Bytes())
		written.End(err)
		return written
	}
	go func() {
		_, err := c.Write(head.Bytes())
		if err == nil {
			err = x.body.writeTo(c)
		}
		written.End(err)
	}()
	return written
}

// readResponse reads the response and relays or buffers it. The returned
// response is nil if its head could not be read.
func (x *exchange) readResponse(ctx context.Context, c *conn, send fleet.Send, written *httpanswer.RequestWrite) (fleet.AttemptEnd, *http.Response) {
	resp, metadata, err := x.readResponseHead(c)
	if err != nil {
		return brokenAttempt(err), nil
	}
	httpanswer.Guard(resp, written)
	if metadata.NotRun && httpanswer.EndsByClose(resp) && isCut(discardBody(c, resp, maxDiscardedBytes), written) {
		return brokenAttempt(httpanswer.ErrTruncated), resp // not believed: the request may have run
	}
	x.limit = metadata.Limit
	if send.Relay.Address == "" {
		x.node.reportQuiet(send.Target, send.Attempt, metadata.Quiet)
		if resp.StatusCode == http.StatusServiceUnavailable {
			resp.Header.Del(headerRetryAfter) // it is meant for this instance
		}
	}
	switch {
	case isPeerError(send, resp.Header, metadata.Signed):
		return readPeerError(c, resp), resp
	case resp.StatusCode == http.StatusMisdirectedRequest:
		end := x.misdirectedAttempt(send, metadata)
		// Only the connection of a request that was not run is used again.
		resp.Close = resp.Close || end.Outcome == fleet.OutcomeNotRun && discardBody(c, resp, maxDiscardedBytes) != nil
		return end, resp
	case metadata.NotRun:
		// A failure to read the body only rules out reuse of the connection.
		resp.Close = resp.Close || discardBody(c, resp, maxDiscardedBytes) != nil
		return fleet.AttemptEnd{Outcome: fleet.OutcomeNotRun, Status: resp.StatusCode, FailedAddress: metadata.FailedAddress}, resp
	case resp.Header.Get("Content-Encoding") != "":
		return brokenAttempt(errEncodedResponse), resp
	case resp.StatusCode/100 == 2 && !metadata.Signed:
		return brokenAttempt(errUnsigned), resp
	case resp.StatusCode == http.StatusOK && x.route.Kind == fleet.KindStream && isEventStream(resp.Header):
		return x.relayStream(ctx, send, resp), resp
	case x.headWritten:
		// The caller has the head of a stream, which no other answer can go on with.
		resp.Close = resp.Close || discardBody(c, resp, maxDiscardedBytes) != nil
		return fleet.AttemptEnd{Outcome: fleet.OutcomeFailed, Status: resp.StatusCode, Cause: errNoStream.Error(), FailedAddress: metadata.FailedAddress}, resp
	}
	return x.bufferResponse(ctx, resp, metadata), resp
}

// isCut reports whether a connection has ended with an error, or before the request was written.
func isCut(err error, written *httpanswer.RequestWrite) bool {
	return err != nil && !errors.Is(err, errResponseTooLarge) && !errors.Is(err, os.ErrDeadlineExceeded) && !written.IsComplete()
}

// misdirectedAttempt returns the end of an attempt that was answered with status 421. A target
// that answers under its own id lacks the weights that the request expects, if it expects
// any. Without an id, or about a helper, the answer to such a request proves no other target
// at the address.
func (x *exchange) misdirectedAttempt(send fleet.Send, metadata ResponseMetadata) fleet.AttemptEnd {
	end := fleet.AttemptEnd{
		Outcome: fleet.OutcomeMisdirected, Status: http.StatusMisdirectedRequest, FailedAddress: metadata.FailedAddress,
		AnsweredBy: metadata.TargetID, WeightsVersion: metadata.WeightsVersion,
	}
	ofHelper := metadata.FailedAddress != "" && metadata.FailedAddress != send.Target.Address
	isItself := !ofHelper && metadata.TargetID == send.Target.ID
	switch {
	case x.metadata.WeightsVersion != "" && (isItself || ofHelper || metadata.TargetID == ""):
		end.Outcome = fleet.OutcomeOtherWeights
	case isItself:
		end.Outcome = fleet.OutcomeNotRun
	}
	return end
}

func isEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// readResponseHead reads the head of the response to this request. It discards
// late responses to earlier requests on the same connection.
func (x *exchange) readResponseHead(c *conn) (*http.Response, ResponseMetadata, error) {
	req := &http.Request{Method: x.r.Method}
	c.limiter.limited, c.limiter.left = true, maxResponseHeadBytes
	defer func() { c.limiter.limited = false }()
	for range maxStaleResponses {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, ResponseMetadata{}, err
		}
		if err := httpanswer.CheckHead(resp); err != nil {
			x.node.opts.Metrics.Add("answers_dropped", "invalid-head")
			return nil, ResponseMetadata{}, err
		}
		metadata := x.node.opts.HeaderCodec.ReadResponse(resp.StatusCode, resp.Header)
		x.node.reportLeaving(c, resp, metadata)
		if resp.StatusCode/100 == 1 {
			continue
		}
		if metadata.RequestID == x.metadata.ID || metadata.RequestID == "" && (metadata.NotRun || isRefusedHead(c, resp, metadata)) {
			return resp, metadata, nil
		}
		x.node.opts.Metrics.Add("answers_dropped", "foreign")
		c.limiter.limited = false
		if err := discardBody(c, resp, maxResponseBytes); err != nil {
			return nil, ResponseMetadata{}, fmt.Errorf("%w: %w", errRequestMismatch, err)
		}
		c.limiter.limited = true
	}
	return nil, ResponseMetadata{}, errRequestMismatch
}

// isRefusedHead reports whether a peer has refused a request before it knew the request's ID.
func isRefusedHead(c *conn, resp *http.Response, metadata ResponseMetadata) bool {
	return c.target.ID == "" && !metadata.Signed && resp.Header.Get(headerCode) != ""
}

// discardBody reads a body to its end. It fails if the body has maxBytes or more or does not
// end soon; the connection can't be used again then.
func discardBody(c *conn, resp *http.Response, maxBytes int64) error {
	if err := c.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBytes))
	if err == nil && n == maxBytes {
		err = errResponseTooLarge
	}
	return errors.Join(err, c.SetReadDeadline(c.deadline))
}

// bufferResponse reads the whole response into memory. It is written to the
// caller when the request ends, unless the response of another attempt replaces
// it.
func (x *exchange) bufferResponse(ctx context.Context, resp *http.Response, metadata ResponseMetadata) fleet.AttemptEnd {
	body, err := x.readAnswer(ctx, resp)
	if err != nil {
		x.dropAnswer()
		return brokenAttempt(err)
	}
	end := fleet.AttemptEnd{Outcome: fleet.OutcomeComplete, Status: resp.StatusCode, FailedAddress: metadata.FailedAddress, EndedByClose: httpanswer.EndsByClose(resp)}
	if resp.StatusCode >= http.StatusInternalServerError {
		end.Outcome = fleet.OutcomeFailed
	}
	if metadata.Signed || resp.StatusCode < http.StatusInternalServerError {
		x.buffered = &bufferedResponse{resp.StatusCode, resp.Header, body}
	}
	return end
}

// relayStream passes an event stream on to the caller, one whole event at a
// time. It skips events that the caller already has from an earlier attempt. Comments are
// passed on, but do not show that the target makes progress.
func (x *exchange) relayStream(ctx context.Context, send fleet.Send, resp *http.Response) fleet.AttemptEnd {
	events := eventReader{br: bufio.NewReaderSize(resp.Body, connBufferBytes), memory: &x.answer}
	defer x.answer.Release()
	for first := true; ; first = false {
		event, err := events.next(ctx)
		if err != nil {
			return x.endStream(resp, err, len(event) > 0 || first && httpanswer.EndsByClose(resp))
		}
		if x.isCancelled(send.Attempt) {
			return brokenAttempt(errCancelled)
		}
		id := eventID(event)
		if id != "" && alreadySent(id, x.lastEventID) {
			continue
		}
		x.writeStreamHead(resp)
		blocked := time.AfterFunc(fleet.CallerBlockedDelay, func() { x.node.Step(fleet.CallerBlocked{Attempt: send.Attempt}) })
		err = x.writeEvent(event)
		blocked.Stop()
		if err != nil {
			return fleet.AttemptEnd{Outcome: fleet.OutcomeCallerGone, Cause: err.Error()}
		}
		if id != "" {
			x.lastEventID = id
		}
		if id != "" || hasData(event) {
			x.node.Step(fleet.Progress{Attempt: send.Attempt, EventID: id, Limit: x.limit})
		}
	}
}

// endStream returns the end of an attempt whose stream ended with an error, io.EOF for a
// regular end. truncated says that the stream ended too early all the same.
func (x *exchange) endStream(resp *http.Response, err error, truncated bool) fleet.AttemptEnd {
	switch {
	case !errors.Is(err, io.EOF):
		return brokenAttempt(err)
	case truncated:
		return brokenAttempt(io.ErrUnexpectedEOF)
	}
	x.writeStreamHead(resp)
	x.streamEnded = true
	return fleet.AttemptEnd{Outcome: fleet.OutcomeComplete, Status: resp.StatusCode, EndedByClose: httpanswer.EndsByClose(resp)}
}
