package entry

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/routing"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Limits on the attempts of one idempotent request. A run on a group of engines
// breaks when any of them dies, so it gets more attempts; each of them can crash
// no more engines than an attempt on a single engine.
const (
	maxAttempts      = 4
	maxGroupAttempts = 16
)

// hasAttemptsLeft reports whether the request may make another attempt.
func (a *activeRequest) hasAttemptsLeft() bool {
	limit := maxAttempts
	if a.usesGroup {
		limit = maxGroupAttempts
	}
	return a.lifecycle.Attempts() < limit
}

// activeRequest is one request between RequestArrived and Finish.
type activeRequest struct {
	arrival         RequestArrived
	arrivedAt       time.Duration
	lifecycle       *request.Lifecycle
	need            routing.Requirements
	class           request.Class
	idempotent      bool
	candidates      func() []*target.Target
	target          *target.Target // of the current attempt
	workspace       *configuration.Workspace
	queued          bool
	deliveredTokens int // tokens of the current attempt
	// answerBytes is how much of the answer was passed to the caller.
	answerBytes   int
	headDelivered bool             // status and headers of a service's answer were passed on
	leader        *activeRequest   // the request whose run this one joined, or nil
	followers     []*activeRequest // the requests that joined this one's run

	lastTarget      *target.Target // target of the last attempt
	sentIncarnation uint64         // incarnation of lastTarget when the attempt was sent
	sentAt          time.Duration
	trialIsolation  *isolation // set while a suspect runs alone on this target
	groupTrial      bool       // a suspect runs on a group, with its turn but no isolated target
	usesGroup       bool       // too large for one engine
	groupRun        *groupRun
	groupWaitSince  time.Duration // since when it waits for room on a group
	// Tokens and time of the longest attempt that broke. A trial that exceeds
	// both clears the request.
	longestBrokenTokens int
	longestBrokenRun    time.Duration
	claim               *claim
	answer              *Answer // of a service call, to record with its claim or to replay
}

// handleRequestArrived starts a request: it is refused, asks for its claim, joins a
// running request or goes through admission.
func (e *Entry) handleRequestArrived(ev RequestArrived) {
	a := &activeRequest{arrival: ev, arrivedAt: e.now, lifecycle: request.New(e.now)}
	e.requests[ev.Request] = a
	if e.refusesWork() {
		e.refuseStopping(a)
		return
	}
	if code, ok := e.resolve(a); !ok {
		e.refuse(a, code, 0)
		return
	}
	e.scheduleAfter(a.lifecycle.Deadline()-e.now, func() { e.handleDeadline(ev.Request) })
	switch {
	case a.needsClaim():
		e.requestClaim(a)
	case !e.joinRunning(a):
		e.admit(a)
	}
}

// resolve looks up the workspace and the model or route of a request in the
// configuration. It returns the code to refuse the request with, or true.
func (e *Entry) resolve(a *activeRequest) (result.Code, bool) {
	if e.accepted.Revision == 0 {
		return result.NoConfiguration, false
	}
	ws := e.configIndex.Workspace(a.arrival.Workspace)
	if ws == nil {
		return result.Unauthenticated, false
	}
	if a.arrival.Route != "" {
		return e.resolveService(a)
	}
	return e.resolveCompletion(a, ws)
}

func (e *Entry) resolveService(a *activeRequest) (result.Code, bool) {
	route := e.configIndex.Route(a.arrival.Route)
	if route == nil {
		return result.UnknownRoute, false
	}
	limit := time.Duration(route.LimitMS) * time.Millisecond
	if limit == 0 {
		limit = e.configIndex.ServiceLimit()
	}
	a.lifecycle = request.New(e.now + limit)
	a.idempotent = route.Retryable(a.arrival.Method)
	a.candidates = func() []*target.Target { return e.targets.InPool(route.Pool) }
	return 0, true
}

func (e *Entry) resolveCompletion(a *activeRequest, ws *configuration.Workspace) (result.Code, bool) {
	model := e.configIndex.Model(a.arrival.Model)
	if model == nil {
		return result.UnknownModel, false
	}
	if !ws.Allows(model.Name) {
		return result.ModelNotAllowed, false
	}
	a.workspace = ws
	a.need.PromptTokens = e.targets.TokenEstimator().Estimate(model.Name, a.arrival.PromptBytes)
	a.need.MaxTokens = a.arrival.MaxTokens
	a.need.Prefix = a.arrival.Prefix
	if a.need.PromptTokens+a.need.MaxTokens > model.ContextTokens {
		return result.PromptTooLong, false
	}
	a.class = request.ClassOf(a.need.PromptTokens)
	a.need.Class = a.class
	limit := e.configIndex.Limit(a.class)
	if a.arrival.Limit > 0 {
		limit = min(limit, a.arrival.Limit)
	}
	a.lifecycle = request.New(e.now + limit)
	a.idempotent = true
	a.candidates = func() []*target.Target { return e.limitToTargetInUse(a, e.targets.ServingModel(model.Name)) }
	return 0, true
}

// dispatch picks a target and sends an attempt, or ends or holds the request.
func (e *Entry) dispatch(a *activeRequest) {
	if !e.passesQuarantine(a) {
		return
	}
	if e.needsGroup(a) {
		e.startGroupRun(a)
		return
	}
	choice := e.pickTarget(a)
	if choice.Target == nil {
		e.giveUp(a, result.NoTarget)
		return
	}
	e.sendAttempt(a, choice)
}

// sendAttempt sends a new attempt to the chosen target.
func (e *Entry) sendAttempt(a *activeRequest, choice routing.Choice) {
	tg := choice.Target
	e.lastAttemptID++
	id := e.lastAttemptID
	a.lifecycle.RecordSent(id)
	a.target, a.deliveredTokens = tg, 0
	a.need.Tried = append(a.need.Tried, tg.Name)
	e.targets.RecordSent(e.now, tg, target.AttemptLoad{
		Attempt: id, Class: a.class,
		PrefillTokens: choice.PrefillTokens, MemoryTokens: a.need.MemoryTokens(),
	})
	e.startHealthWatch(tg)
	e.trackAttempt(a, tg)
	a.lastTarget, a.sentIncarnation, a.sentAt = tg, tg.Report.Incarnation, e.now
	e.attempts[id] = a
	e.emit(Send{
		Request: a.arrival.Request, Attempt: id, Target: tg.Name, Address: tg.Address,
		ResumeAt: a.lifecycle.Tokens(), Priority: e.configIndex.Priority(a.class),
		Once: !a.idempotent, Record: a.claim != nil, Deadline: a.lifecycle.Deadline(),
	})
}
