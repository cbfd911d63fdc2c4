package forward

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/result"
)

// callerWriteTimeout is how long a caller may take to read one event or
// response before its connection counts as broken.
const callerWriteTimeout = 10 * time.Second

// limitWriteTime sets the deadline of what is written to a caller next. A broken connection
// fails at the write.
func limitWriteTime(rc *http.ResponseController) {
	_ = rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}

// exchange handles one caller's request and its attempts at targets. The
// attempts run one after the other in the goroutine of the caller's HTTP
// handler.
type exchange struct {
	node      *Node
	requestID fleet.RequestID
	metadata  RequestMetadata
	w         http.ResponseWriter
	r         *http.Request
	rc        *http.ResponseController
	body      *requestBody
	route     *fleet.Route

	commands chan fleet.Effect // fleet.Send or fleet.Finish

	mu             sync.Mutex
	currentAttempt fleet.AttemptID
	conn           *conn // connection of the current attempt, nil between attempts
	cancelDial     context.CancelFunc
	lastCancelled  fleet.AttemptID // attempts up to this ID are cancelled

	limit       fleet.Limit       // as the answer to the current attempt names it
	writing     *transfer         // stream that is being passed on, nil before its head
	headWritten bool              // status and headers of a stream were written to the caller
	streamEnded bool              // the stream was passed on to its end
	lastEventID string            // ID of the last event that the caller received
	buffered    *bufferedResponse // response of the last attempt, not yet written to the caller
	answer      answerMemory      // of buffered, or of an event that is being passed on
}

// bufferedResponse is a target's response, read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// maxQueuedCommands bounds the commands that wait for an exchange: a Send after
// the previous attempt was cancelled, and the Finish.
const maxQueuedCommands = 16

func newExchange(n *Node, w http.ResponseWriter, r *http.Request, metadata RequestMetadata, body *requestBody, route *fleet.Route) *exchange {
	x := &exchange{
		node: n, w: w, r: r, rc: http.NewResponseController(w), metadata: metadata, body: body, route: route,
		commands: make(chan fleet.Effect, maxQueuedCommands), lastEventID: r.Header.Get("Last-Event-Id"),
	}
	x.answer.node = n
	n.opts.Budget.Bind(&x.answer.Charge)
	return x
}

// end gives back what the exchange holds.
func (x *exchange) end() {
	x.answer.Release()
	if x.writing != nil {
		x.node.transfers.end(x.writing)
	}
}

// queueSend queues an attempt for runCommands. node.mu must be held.
func (x *exchange) queueSend(s fleet.Send) { x.commands <- s }

// queueFinish queues the end of the request for runCommands. node.mu must be held.
func (x *exchange) queueFinish(f fleet.Finish) { x.commands <- f }

// attemptContext returns the context in which the connection of an attempt is made, and in
// which its answer waits for memory.
func (x *exchange) attemptContext(id fleet.AttemptID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(x.node.ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelDial = cancel
	if x.lastCancelled >= id {
		cancel()
	}
	return ctx, cancel
}

// cancelAttempt marks the attempt as cancelled and closes its connection.
func (x *exchange) cancelAttempt(id fleet.AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastCancelled = id
	if x.cancelDial != nil {
		x.cancelDial()
	}
	if x.currentAttempt == id && x.conn != nil {
		_ = x.conn.Close()
	}
}

// registerConn records the connection of an attempt, so that cancelAttempt can
// close it. It returns false if the attempt has already been cancelled.
func (x *exchange) registerConn(id fleet.AttemptID, c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lastCancelled >= id {
		return false
	}
	x.currentAttempt, x.conn = id, c
	return true
}

func (x *exchange) isCancelled(id fleet.AttemptID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lastCancelled >= id
}

// clearConn removes the connection of the attempt that ended.
func (x *exchange) clearConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
}

// runCommands executes the commands of the decision core until the request
// ends.
func (x *exchange) runCommands() {
	for command := range x.commands {
		switch command := command.(type) {
		case fleet.Send:
			end := x.runAttempt(command)
			x.node.reportAttemptEnd(command.Attempt, end)
		case fleet.Finish:
			x.finishResponse(command)
			return
		}
	}
}

// reportAttemptEnd passes the end of an attempt to the decision core, unless
// the attempt was cancelled.
func (n *Node) reportAttemptEnd(id fleet.AttemptID, end fleet.AttemptEnd) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.attempts[id]; !ok {
		return
	}
	delete(n.attempts, id)
	end.Attempt = id
	n.stepLocked(end)
}

// finishResponse ends the response to the caller. If no stream has begun, it
// writes the buffered response or an error.
func (x *exchange) finishResponse(f fleet.Finish) {
	if x.headWritten {
		if !f.ForwardAnswer || !x.streamEnded {
			panic(http.ErrAbortHandler) // the caller must see that the stream is incomplete
		}
		return
	}
	if f.ForwardAnswer && x.buffered != nil {
		x.writeBuffered(x.buffered, f.RetryAfter)
		return
	}
	x.node.writeError(x.w, x.metadata.ID, httpStatus(f.Code), f)
}

// httpStatus returns the status of an error response from this instance. The
// platform's callers retry after 503, which says that the request has not run;
// 502 and 504 do not say whether it has.
func httpStatus(code result.Code) int {
	switch {
	case code.Family() == result.FamilyRefused:
		return http.StatusServiceUnavailable
	case code == result.DeadlineRunning || code == result.DeadlineAfterSend:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// headerCode is the header with the result code of an error response from this
// instance.
const headerCode = "X-Medlardeck-Code"

// writeError writes an error response from this instance.
func (n *Node) writeError(w http.ResponseWriter, id string, status int, f fleet.Finish) {
	h := w.Header()
	n.opts.HeaderCodec.SetRequestID(h, id)
	h.Set(headerCode, strconv.Itoa(int(f.Code)))
	setRetryAfter(h, status, f.RetryAfter)
	if n.Stopping() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	text := []byte(f.Code.String() + "\n")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	n.writeAnswer(w, http.NewResponseController(w), status, text, nil) // a caller that has left needs no answer
}

// headerRetryAfter is the header with the delay after which a refused caller retries.
const headerRetryAfter = "Retry-After"

// setRetryAfter sets the delay after which the caller of a response retries, if the
// response allows that and has none.
func setRetryAfter(h http.Header, status int, delay time.Duration) {
	if status == http.StatusServiceUnavailable && delay > 0 && h.Get(headerRetryAfter) == "" {
		h.Set(headerRetryAfter, strconv.FormatFloat(delay.Seconds(), 'f', 2, 64))
	}
}

// writeBuffered writes a target's buffered response to the caller.
func (x *exchange) writeBuffered(resp *bufferedResponse, retryAfter time.Duration) {
	copyEndToEndHeaders(x.w.Header(), resp.header)
	setRetryAfter(x.w.Header(), resp.status, retryAfter)
	x.setCloseIfStopping()
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	if !x.node.writeAnswer(x.w, x.rc, resp.status, resp.body, &x.answer.Charge) {
		panic(http.ErrAbortHandler)
	}
}

// setCloseIfStopping asks the caller to close its connection if this instance
// is stopping.
func (x *exchange) setCloseIfStopping() {
	if x.node.Stopping() {
		x.w.Header().Set("Connection", "close")
	}
}

// writeStreamHead writes the status and headers of a stream, once per request.
func (x *exchange) writeStreamHead(resp *http.Response) {
	if x.headWritten {
		return // another target continues the stream; the caller has the headers of the first
	}
	x.headWritten = true
	x.writing = x.node.transfers.beginWrite(x.rc, &x.answer.Charge)
	limitWriteTime(x.rc)
	copyEndToEndHeaders(x.w.Header(), resp.Header)
	x.w.Header().Del("Content-Length")
	x.setCloseIfStopping()
	x.w.WriteHeader(resp.StatusCode)
}

// writeEvent writes one whole event to the caller and flushes it.
func (x *exchange) writeEvent(event []byte) error {
	limitWriteTime(x.rc)
	x.writing.await()
	defer x.writing.pause()
	if err := x.writing.write(x.w, event); err != nil {
		return err
	}
	return x.rc.Flush()
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true,
}

// copyEndToEndHeaders copies all headers but the hop-by-hop ones, which include
// those that the Connection header names.
func copyEndToEndHeaders(dst, src http.Header) {
	named := make(map[string]bool)
	for _, v := range src.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !hopByHopHeaders[name] && !named[name] {
			dst[name] = values
		}
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil // keeps net/http from guessing it from the body
	}
}

// eventID returns the ID of a stream's event, or an empty string if it has
// none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

// hasData reports whether a stream's event has any data.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// alreadySent reports whether the caller already has the event with this ID.
// Only numeric IDs can be compared; an event with another ID counts as new.
func alreadySent(id, last string) bool {
	a, aerr := strconv.ParseInt(id, 10, 64)
	b, berr := strconv.ParseInt(last, 10, 64)
	return aerr == nil && berr == nil && a <= b
}
