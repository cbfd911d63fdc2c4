package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// Bounds of answers.
const (
	// maxAnswerBytes bounds a whole answer that is held in memory.
	maxAnswerBytes = 8 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// deadlineGrace is how long behind its deadline an answer is still awaited,
	// so that the target's own answer at the deadline arrives.
	deadlineGrace = 300 * time.Millisecond
	// inlineBytes is the size up to which a body is written before the answer is
	// read: it fits the smallest socket buffers.
	inlineBytes = 1 << 10
	// maxForeign bounds the late answers to earlier requests that are dropped on
	// one connection.
	maxForeign = 4
)

var (
	errForeign  = errors.New("answer belongs to another request")
	errUnsigned = errors.New("success without the target's signature")
	errEncoded  = errors.New("answer is encoded")
	errTooLarge = errors.New("answer is too large")
)

func broken(cause error) fleet.AttemptEnd {
	return fleet.AttemptEnd{End: fleet.EndBroken, Cause: cause.Error()}
}

// attempt sends the request to a target and passes the answer on.
func (x *exchange) attempt(send fleet.Send) fleet.AttemptEnd {
	x.held = nil
	key := send.Target.ID + "@" + send.Target.Address
	c, err := x.node.pool.get(x.node.ctx, key, send.Target.Address, send.FreshConnection)
	if err != nil {
		return fleet.AttemptEnd{End: fleet.EndNotConnected, Cause: err.Error()}
	}
	if !x.open(send.Attempt, c) {
		_ = c.Close()
		return broken(errors.New("cancelled"))
	}
	defer x.close()
	left := send.Deadline - x.node.clock.now()
	if err := c.SetDeadline(time.Now().Add(left + deadlineGrace)); err != nil {
		_ = c.Close()
		return fleet.AttemptEnd{End: fleet.EndNotConnected, Cause: err.Error()}
	}
	written := x.write(c, send, left)
	end, resp := x.read(c, send)
	x.settle(c, resp, written, end)
	return end
}

// settle keeps or closes the connection after an attempt.
func (x *exchange) settle(c *conn, resp *http.Response, written <-chan error, end fleet.AttemptEnd) {
	whole := end.End == fleet.EndComplete || end.End == fleet.EndFailed || end.End == fleet.EndNotRun
	if whole && resp != nil && !resp.Close {
		select {
		case err := <-written:
			if err == nil {
				x.node.pool.put(c, resp.Header)
				return
			}
		default: // the rest of the body is still on its way
		}
	}
	_ = c.Close()
}

// write sends the request. A long body is written beside the reading of the
// answer, since a target may answer before it has read all of it.
func (x *exchange) write(c *conn, send fleet.Send, left time.Duration) <-chan error {
	h := make(http.Header, len(x.r.Header)+4)
	copyHeader(h, x.r.Header)
	if h["Content-Type"] == nil {
		delete(h, "Content-Type")
	}
	h.Del("Content-Length")
	if x.lastID != "" {
		h.Set("Last-Event-Id", x.lastID)
	}
	if len(x.body) > 0 || x.r.ContentLength == 0 && x.r.Header.Get("Content-Length") != "" {
		h.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	x.node.opts.Dialect.WriteAttempt(h, send, left)
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.r.Method, x.r.RequestURI, x.r.Host)
	_ = h.Write(&head) // a buffer takes every write
	head.WriteString("\r\n")
	done := make(chan error, 1)
	if len(x.body) <= inlineBytes {
		head.Write(x.body)
		_, err := c.Write(head.Bytes())
		done <- err
		return done
	}
	go func() {
		_, err := c.Write(head.Bytes())
		if err == nil {
			_, err = c.Write(x.body)
		}
		done <- err
	}()
	return done
}

// read takes the answer; the returned response is nil without one.
func (x *exchange) read(c *conn, send fleet.Send) (fleet.AttemptEnd, *http.Response) {
	resp, facts, err := x.readHead(c)
	if err != nil {
		return broken(err), nil
	}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return fleet.AttemptEnd{End: fleet.EndMisdirected, Status: resp.StatusCode, Culprit: facts.Culprit}, resp
	case facts.NotRun:
		// Whether the rest of the answer arrives decides only on the connection.
		_, derr := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
		resp.Close = resp.Close || derr != nil
		return fleet.AttemptEnd{End: fleet.EndNotRun, Status: resp.StatusCode, Culprit: facts.Culprit}, resp
	case resp.Header.Get("Content-Encoding") != "":
		return broken(errEncoded), resp
	case resp.StatusCode/100 == 2 && !facts.Signed:
		return broken(errUnsigned), resp
	case resp.StatusCode == http.StatusOK && x.route.Kind == fleet.KindStream && isEventStream(resp.Header):
		return x.relay(send, resp), resp
	}
	return x.hold(resp, facts), resp
}

func isEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// readHead reads the head of the answer to this request; late answers to earlier
// requests on the connection are dropped.
func (x *exchange) readHead(c *conn) (*http.Response, AnswerFacts, error) {
	req := &http.Request{Method: x.r.Method}
	for range maxForeign {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, AnswerFacts{}, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		facts := x.node.opts.Dialect.ReadAnswer(resp.StatusCode, resp.Header)
		if facts.RequestID == x.facts.ID || facts.RequestID == "" && facts.NotRun {
			return resp, facts, nil
		}
		x.node.opts.Metrics.Add("answers_dropped", "foreign")
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
			return nil, AnswerFacts{}, fmt.Errorf("%w: %w", errForeign, err)
		}
	}
	return nil, AnswerFacts{}, errForeign
}

// hold reads a whole answer, to be passed on or replaced by that of another
// attempt.
func (x *exchange) hold(resp *http.Response, facts AnswerFacts) fleet.AttemptEnd {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errTooLarge
	}
	if err != nil {
		return broken(err)
	}
	end := fleet.AttemptEnd{End: fleet.EndComplete, Status: resp.StatusCode, Culprit: facts.Culprit}
	if resp.StatusCode >= http.StatusInternalServerError {
		end.End = fleet.EndFailed
	}
	if facts.Signed || resp.StatusCode < http.StatusInternalServerError {
		x.held = &answer{resp.StatusCode, resp.Header, body}
	}
	return end
}

// relay passes a stream on, one whole event at a time.
func (x *exchange) relay(send fleet.Send, resp *http.Response) fleet.AttemptEnd {
	br := bufio.NewReaderSize(resp.Body, connBufferBytes)
	for {
		event, err := readEvent(br)
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) == 0 {
				x.start(resp)
				return fleet.AttemptEnd{End: fleet.EndComplete, Status: resp.StatusCode}
			}
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return broken(err)
		}
		if x.isCancelled(send.Attempt) {
			return broken(errors.New("cancelled"))
		}
		id := eventID(event)
		if id != "" && repeats(id, x.lastID) {
			continue
		}
		x.start(resp)
		if err := x.writeEvent(event); err != nil {
			return fleet.AttemptEnd{End: fleet.EndCallerGone, Cause: err.Error()}
		}
		if id != "" {
			x.lastID = id
		}
		x.node.Step(fleet.Progress{Attempt: send.Attempt, EventID: id})
	}
}

// readEvent reads up to the blank line that ends an event. At the end of the
// stream it returns io.EOF with what came behind the last event.
func readEvent(br *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if len(event) > maxEventBytes {
			return nil, errTooLarge
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}
