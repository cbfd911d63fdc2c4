package entry

import (
	"slices"

	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
)

// MaxReplayBytes is how much of a completion's answer is kept so that a resend
// can join its run and get the answer from the first byte. Once the answer is
// longer, a resend starts a run of its own.
const MaxReplayBytes = 1 << 20

// CounterJoins counts resends that joined a running request.
const CounterJoins = "resends_joined"

// runKey is what a resend must have in common with a running request to join
// it. It includes workspace, caller and origin, so that no caller gets the
// answer of another.
type runKey struct {
	workspace, caller, origin, model string
	fingerprint                      uint64
}

func (a *activeRequest) runKey() runKey {
	return runKey{a.arrival.Workspace, a.arrival.Caller, a.arrival.Origin, a.arrival.Model, a.arrival.Fingerprint}
}

// joinRunning makes the resend of a running completion wait for the answer of
// that run instead of running again. It reports whether it did; if not, the
// request can be joined itself.
func (e *Entry) joinRunning(a *activeRequest) bool {
	if a.arrival.Model == "" || a.arrival.Fingerprint == 0 {
		return false
	}
	leader := e.joinableRuns[a.runKey()]
	if leader == nil || leader.answerBytes > MaxReplayBytes {
		e.joinableRuns[a.runKey()] = a
		return false
	}
	a.leader = leader
	leader.followers = append(leader.followers, a)
	e.emit(Join{Request: a.arrival.Request, Leader: leader.arrival.Request})
	e.incrementCounter(CounterJoins, "")
	return true
}

// leaveRun removes a request that ended from the run that it leads or joined.
func (e *Entry) leaveRun(a *activeRequest) {
	if e.joinableRuns[a.runKey()] == a {
		delete(e.joinableRuns, a.runKey())
	}
	if a.leader != nil {
		a.leader.followers = slices.DeleteFunc(a.leader.followers, func(f *activeRequest) bool { return f == a })
		a.leader = nil
	}
}

// finishFollowers ends the requests that joined a run with the outcome of the
// run.
func (e *Entry) finishFollowers(a *activeRequest, out request.Outcome) {
	followers := a.followers
	a.followers = nil
	for _, f := range followers {
		f.leader = nil
		e.finish(f, out)
	}
}

// endWithinSharedRun ends one request of a run that several share; the run goes
// on for the others. The code is started if the run was sent, unstarted if not.
// It reports whether the request shared a run.
func (e *Entry) endWithinSharedRun(a *activeRequest, started, unstarted result.Code) bool {
	run := a
	if a.leader != nil {
		run = a.leader
	}
	if len(run.followers) == 0 {
		return false
	}
	out := request.Fail(started)
	if proof := run.lifecycle.NotRunProof(); proof.Valid() {
		out = request.Refuse(proof, unstarted, 0)
	}
	if run == a {
		a = e.handOverRun(run)
	}
	e.finish(a, out)
	return true
}

// handOverRun makes the first request that joined a run its leader, by swapping
// the two requests' arrivals and deadlines. It returns the former leader, which
// is now one of the requests that joined.
func (e *Entry) handOverRun(run *activeRequest) *activeRequest {
	f := run.followers[0]
	queued := run.queued
	e.removeFromQueue(run)
	run.arrival, f.arrival = f.arrival, run.arrival
	run.arrivedAt, f.arrivedAt = f.arrivedAt, run.arrivedAt
	deadline := f.lifecycle.Deadline()
	f.lifecycle = request.New(run.lifecycle.Deadline())
	run.lifecycle.SetDeadline(deadline)
	e.requests[run.arrival.Request], e.requests[f.arrival.Request] = run, f
	if queued {
		e.enqueue(run)
	}
	return f
}
