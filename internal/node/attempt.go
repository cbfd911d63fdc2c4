package node

import (
	"context"
	"strconv"

	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/request"
)

// attemptInFlight is an attempt that was started and has not ended: a request to
// a target, or the prefill of one segment of a prompt.
type attemptInFlight struct {
	answer *answer
	cancel context.CancelFunc
}

// startAttempt sends the request to a target in a goroutine. From now on only
// the output of this attempt is accepted for the request. n.mu is held.
func (n *Node) startAttempt(eff entry.Send) {
	x := n.exchanges[eff.Request]
	if x == nil {
		return
	}
	// The context has no deadline: package entry cancels an attempt at the
	// deadline of its request, which moves when the run passes to a request that
	// joined it.
	ctx, cancel := context.WithCancel(n.ctx)
	n.attempts[eff.Attempt] = attemptInFlight{x.answer, cancel}
	x.answer.currentAttempt = eff.Attempt
	n.spawn(func() {
		end := n.runAttempt(ctx, eff, x)
		cancel()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.attempts, eff.Attempt)
		n.stepLocked(end)
	})
}

// cancelAttempt cancels an attempt whose output is no longer accepted. n.mu is
// held.
func (n *Node) cancelAttempt(id request.AttemptID) {
	r, ok := n.attempts[id]
	if !ok {
		return
	}
	r.cancel()
	if r.answer.currentAttempt == id {
		r.answer.currentAttempt = 0
	}
}

// runAttempt sends the request to the target, passes the response to the
// exchange's answer and returns how the attempt ended.
func (n *Node) runAttempt(ctx context.Context, eff entry.Send, x *Exchange) entry.AttemptEnd {
	call := engineclient.Call{
		Attempt: n.globalAttemptID(eff.Attempt), Address: eff.Address,
		Method: x.upstream.Method, Path: x.upstream.Path, Header: x.upstream.Header, Body: x.upstream.Body,
		Resume: eff.ResumeAt, Priority: eff.Priority, Once: eff.Once,
		Reservation: eff.Reservation, Imports: eff.Imports,
	}
	sink := &attemptSink{ctx: ctx, node: n, answer: x.answer, send: eff}
	if eff.Record {
		sink.recorded = &entry.Answer{}
	}
	var end entry.AttemptEnd
	if x.upstream.Completion {
		end = n.opts.Client.Complete(ctx, call, sink)
	} else {
		end = n.opts.Client.Serve(ctx, call, sink)
	}
	end.Attempt = eff.Attempt
	if end.Outcome == entry.OutcomeComplete {
		end.Answer = sink.recorded
	}
	return end
}

// globalAttemptID returns an id of an attempt that is unique across all
// instances and their restarts.
func (n *Node) globalAttemptID(id request.AttemptID) string {
	return n.opts.Entry.Name + "-" + strconv.FormatUint(n.opts.Entry.Incarnation, 36) +
		"-" + strconv.FormatUint(uint64(id), 10)
}
