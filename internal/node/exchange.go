package node

import (
	"context"
	"errors"
	"net/http"

	"github.com/medlardeck/medlardeck/internal/booking"
	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Upstream is a request in the form in which targets receive it.
type Upstream struct {
	// Completion is true for a completion and false for a service call.
	Completion bool
	Method     string
	Path       string
	Header     http.Header
	Body       engineclient.Body
}

// Exchange connects the HTTP handler of one caller with the attempts of its
// request.
type Exchange struct {
	node     *Node
	id       entry.RequestID
	upstream Upstream
	reader   *Reader
	done     chan struct{} // closed once outcome is set
	outcome  entry.Finish

	answer *answer // shared with the requests that joined the same run
}

// newExchange returns an exchange with its own answer and one reader. Only the
// answers of completions are kept for joining requests.
func newExchange(n *Node, id entry.RequestID, upstream Upstream) *Exchange {
	x := &Exchange{node: n, id: id, upstream: upstream, done: make(chan struct{})}
	replayBytes := 0
	if upstream.Completion {
		replayBytes = entry.MaxReplayBytes
	}
	x.answer = newAnswer(replayBytes)
	x.reader = x.answer.addReader(x)
	return x
}

// Reader returns the caller's reader of the answer.
func (x *Exchange) Reader() *Reader { return x.reader }

// Head returns the status and headers of a service's response, nil before they
// are known.
func (x *Exchange) Head() *Head {
	x.answer.mu.Lock()
	defer x.answer.mu.Unlock()
	return x.answer.head
}

// Done returns a channel that is closed when the request has its outcome.
func (x *Exchange) Done() <-chan struct{} { return x.done }

// End returns the outcome of the request. It is valid only after Done is closed.
func (x *Exchange) End() entry.Finish { return x.outcome }

// Leave reports that the caller closed its connection and detaches its reader.
func (x *Exchange) Leave() { x.detachCaller(false) }

// LeaveSlow reports to package entry that the caller read its answer too slowly and
// detaches its reader. The caller is too slow if the deadline of a write to it passed
// or its reader lagged more than maxReaderLagBytes behind another reader.
func (x *Exchange) LeaveSlow() { x.detachCaller(true) }

// detachCaller reports to package entry that the caller left and removes its reader.
// slow says that the caller read too slowly, as described at LeaveSlow.
func (x *Exchange) detachCaller(slow bool) {
	x.node.Step(entry.CallerLeft{Request: x.id, Slow: slow})
	x.answer.removeReader(x.reader)
}

// joinAnswer makes the request read the answer of leader from its first byte. It
// changes nothing if that byte is no longer buffered. node.mu is held.
func (x *Exchange) joinAnswer(leader *Exchange) {
	if leader == nil || leader == x {
		return
	}
	if r := leader.answer.addReader(x); r != nil {
		x.answer, x.reader = leader.answer, r
	}
}

// finish records the outcome and closes Done.
func (x *Exchange) finish(eff entry.Finish) {
	x.outcome = eff
	close(x.done)
}

// errSuperseded ends an attempt whose output is no longer accepted because it was
// cancelled or replaced by a newer attempt.
var errSuperseded = errors.New("deliver answer: attempt was superseded")

// attemptSink passes the response of one attempt to the answer of its exchange.
type attemptSink struct {
	ctx      context.Context
	node     *Node
	answer   *answer
	send     entry.Send
	recorded *entry.Answer // nil if the answer is not recorded with a claim
}

// deliver calls write, which adds a part of the response to the answer, if the
// attempt is still the current one, and reports the part to package entry. It
// blocks while too much of the answer is unread, and returns errSuperseded if the
// attempt is not the current one. The check, the write and the report happen
// under one lock, so that an attempt started meanwhile resumes exactly after
// the last byte written.
func (s *attemptSink) deliver(ev entry.Delivered, write func()) error {
	if err := s.answer.waitForReader(s.ctx); err != nil {
		return err
	}
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	current := s.answer.currentAttempt == s.send.Attempt
	if current {
		write()
	}
	ev.Attempt = s.send.Attempt
	s.node.stepLocked(ev)
	if !current {
		return errSuperseded
	}
	return nil
}

// Report implements engineclient.Sink.
func (s *attemptSink) Report(report target.Report) {
	s.node.Step(entry.LoadReported{Target: s.send.Target, Report: report})
}

// Header implements engineclient.Sink.
func (s *attemptSink) Header(status int, h http.Header) error {
	if s.send.Once {
		status = replaceRetriableStatus(status)
	}
	if s.recorded != nil {
		s.recorded.Status, s.recorded.ContentType = status, h.Get("Content-Type")
	}
	return s.deliver(entry.Delivered{Head: true}, func() {
		s.answer.setHead(&Head{Status: status, Header: h})
	})
}

// replaceRetriableStatus replaces 502, 503 and 504 by 500 in the answer to a call
// that must run at most once, because old clients resend a call on these statuses.
func replaceRetriableStatus(status int) int {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return http.StatusInternalServerError
	}
	return status
}

// Events implements engineclient.Sink.
func (s *attemptSink) Events(p []byte, tokens int) error {
	return s.deliver(entry.Delivered{Tokens: tokens, Bytes: len(p)}, func() { s.answer.appendBytes(p) })
}

// Body implements engineclient.Sink. A recorded answer above
// booking.MaxAnswerBytes loses its body and is marked as truncated; the caller
// still gets the whole answer.
func (s *attemptSink) Body(p []byte) error {
	if r := s.recorded; r != nil {
		if len(r.Body)+len(p) > booking.MaxAnswerBytes {
			r.Truncated, r.Body = true, nil
		}
		if !r.Truncated {
			r.Body = append(r.Body, p...)
		}
	}
	return s.deliver(entry.Delivered{Bytes: len(p)}, func() { s.answer.appendBytes(p) })
}
