package entry

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
)

// retryHint is the Retry-After of refusals whose cause may be gone after a
// short wait.
const retryHint = time.Second

// refuse ends a request of which no attempt was sent.
func (e *Entry) refuse(a *activeRequest, code result.Code, retryAfter time.Duration) {
	e.finish(a, request.Refuse(a.lifecycle.NotRunProof(), code, retryAfter))
}

// finish ends a request with its outcome, and all that joined its run. Later
// calls for the same request do nothing.
func (e *Entry) finish(a *activeRequest, out request.Outcome) {
	if !a.lifecycle.End() {
		return
	}
	delete(e.requests, a.arrival.Request)
	e.settleClaim(a, out)
	e.removeFromQueue(a)
	e.leaveRun(a)
	e.closeGroupRun(a)
	defer e.releaseEnded(a, out.Code())
	e.emit(Finish{Request: a.arrival.Request, Code: out.Code(), RetryAfter: out.RetryAfter(), Answer: a.replayedAnswer(out)})
	e.incrementCounter(CounterRequestsEnded, out.Code().String())
	if out.Code() == result.Complete {
		e.observeElapsed(a, HistogramCompletion)
	}
	if out.Code().Family() == result.FamilyRefused {
		e.incrementCounter(CounterRefusals, out.Code().String())
	}
	e.finishFollowers(a, out)
}

// replayedAnswer returns the recorded answer if the outcome is a replay, else
// nil.
func (a *activeRequest) replayedAnswer(out request.Outcome) *Answer {
	if out.Code() != result.Replayed {
		return nil
	}
	return a.answer
}

// observeElapsed adds the time since the arrival of a completion to a
// histogram. Service calls are not observed.
func (e *Entry) observeElapsed(a *activeRequest, histogram string) {
	if a.arrival.Model != "" {
		e.emit(Observe{Histogram: histogram, Class: a.class.String(), Value: e.now - a.arrivedAt})
	}
}
