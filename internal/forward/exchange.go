package forward

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/result"
)

// callerWriteTimeout is how long a caller may take to read one event or answer
// before its connection counts as broken.
const callerWriteTimeout = 10 * time.Second

// exchange connects one caller's request with its attempts. Its attempts run one
// after the other in the goroutine of the caller's handler.
type exchange struct {
	node  *Node
	id    fleet.RequestID
	facts Facts
	w     http.ResponseWriter
	r     *http.Request
	rc    *http.ResponseController
	body  []byte
	route *fleet.Route

	commands chan fleet.Effect // Send or Finish

	mu        sync.Mutex
	current   fleet.AttemptID
	conn      *conn // of the current attempt
	cancelled fleet.AttemptID

	started bool    // the head of an answer went to the caller
	lastID  string  // of the last event that went to the caller
	held    *answer // whole answer of the last attempt, not yet passed on
}

// answer is a whole answer of a target.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// maxCommands bounds the effects that wait for an exchange: a Send after its
// predecessor was cancelled, and the Finish.
const maxCommands = 16

func newExchange(n *Node, w http.ResponseWriter, r *http.Request, facts Facts, body []byte, route *fleet.Route) *exchange {
	return &exchange{
		node: n, w: w, r: r, rc: http.NewResponseController(w), facts: facts, body: body, route: route,
		commands: make(chan fleet.Effect, maxCommands), lastID: r.Header.Get("Last-Event-Id"),
	}
}

// sendTo queues an attempt. node.mu is held.
func (x *exchange) sendTo(s fleet.Send) { x.commands <- s }

// finish queues the end. node.mu is held.
func (x *exchange) finish(f fleet.Finish) { x.commands <- f }

// cancel breaks the attempt off.
func (x *exchange) cancel(id fleet.AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = id
	if x.current == id && x.conn != nil {
		_ = x.conn.Close()
	}
}

// open notes the connection of an attempt; it returns false when the attempt was
// cancelled meanwhile.
func (x *exchange) open(id fleet.AttemptID, c *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelled >= id {
		return false
	}
	x.current, x.conn = id, c
	return true
}

func (x *exchange) isCancelled(id fleet.AttemptID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled >= id
}

// close forgets the connection of the attempt that ended.
func (x *exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
}

// run does what the decisions say until the request has its end.
func (x *exchange) run() {
	for command := range x.commands {
		switch command := command.(type) {
		case fleet.Send:
			end := x.attempt(command)
			x.node.ended(command.Attempt, end)
		case fleet.Finish:
			x.conclude(command)
			return
		}
	}
}

// ended reports the end of an attempt unless it was cancelled.
func (n *Node) ended(id fleet.AttemptID, end fleet.AttemptEnd) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.attempts[id]; !ok {
		return
	}
	delete(n.attempts, id)
	end.Attempt = id
	n.step(end)
}

// conclude writes the last of the answer.
func (x *exchange) conclude(f fleet.Finish) {
	if x.started {
		if !f.PassOn {
			panic(http.ErrAbortHandler) // a stream cut short must look cut short
		}
		return
	}
	if f.PassOn && x.held != nil {
		x.passOn(x.held)
		return
	}
	x.node.fail(x.w, x.facts.ID, statusOf(f.Code), f)
}

// statusOf is the status of an answer of our own. Callers of the platform send a
// request again after 503, which says that it has not run; 502 and 504 promise
// nothing.
func statusOf(code result.Code) int {
	switch {
	case code.Family() == result.FamilyRefused:
		return http.StatusServiceUnavailable
	case code == result.DeadlineRunning || code == result.DeadlineAfterSend:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// headerCode carries the result code of an answer of our own.
const headerCode = "X-Medlardeck-Code"

// fail writes an answer of our own.
func (n *Node) fail(w http.ResponseWriter, id string, status int, f fleet.Finish) {
	h := w.Header()
	n.opts.Dialect.NameAnswer(h, id)
	h.Set(headerCode, strconv.Itoa(int(f.Code)))
	if status == http.StatusServiceUnavailable && f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 2, 64))
	}
	if n.Stopping() {
		h.Set("Connection", "close")
	}
	http.Error(w, f.Code.String(), status)
}

// passOn writes a target's whole answer.
func (x *exchange) passOn(a *answer) {
	copyHeader(x.w.Header(), a.header)
	x.closeIfStopping()
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	_ = x.rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) closeIfStopping() {
	if x.node.Stopping() {
		x.w.Header().Set("Connection", "close")
	}
}

// start writes the head of a stream.
func (x *exchange) start(resp *http.Response) {
	if x.started {
		return // the stream goes on under the head of its first target
	}
	x.started = true
	copyHeader(x.w.Header(), resp.Header)
	x.w.Header().Del("Content-Length")
	x.closeIfStopping()
	x.w.WriteHeader(resp.StatusCode)
}

// writeEvent hands one whole event to the caller.
func (x *exchange) writeEvent(event []byte) error {
	_ = x.rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	return x.rc.Flush()
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true,
}

// copyHeader copies the headers that concern both ends.
func copyHeader(dst, src http.Header) {
	named := make(map[string]bool)
	for _, v := range src.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !hopHeaders[name] && !named[name] {
			dst[name] = values
		}
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil // otherwise it would be guessed from the body
	}
}

// eventID returns the id of an event of a stream, empty for none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

// repeats reports whether an event with this id has been handed over already.
func repeats(id, last string) bool {
	a, aerr := strconv.ParseInt(id, 10, 64)
	b, berr := strconv.ParseInt(last, 10, 64)
	return aerr == nil && berr == nil && a <= b
}
