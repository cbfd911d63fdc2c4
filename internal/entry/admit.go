package entry

import (
	"math"
	"time"

	"github.com/medlardeck/medlardeck/internal/admission"
	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/routing"
	"github.com/medlardeck/medlardeck/internal/target"
)

// queueCheckInterval is how often queued requests are checked without an event:
// the predicted load of targets falls with time alone.
const queueCheckInterval = 25 * time.Millisecond

// answerSampleWeight is the weight of a new sample in the moving averages.
const answerSampleWeight = 0.1

// answerLengths are moving averages of the answer tokens of each class.
type answerLengths [request.NumClasses]float64

func (l *answerLengths) addSample(c request.Class, tokens int) {
	if l[c] == 0 {
		l[c] = float64(tokens)
		return
	}
	l[c] += answerSampleWeight * (float64(tokens) - l[c])
}

// expectedTokens returns the expected tokens of an answer that is limited to
// maxTokens.
func (l *answerLengths) expectedTokens(c request.Class, maxTokens int) int {
	return min(maxTokens, int(math.Ceil(l[c])))
}

// predictCost predicts the tokens that a request will process: its prompt and
// its answer. Before the first sample of its class, the answer counts in full.
func (e *Entry) predictCost(a *activeRequest) float64 {
	answer := a.need.MaxTokens
	if e.answerLengths[a.class] > 0 {
		answer = e.answerLengths.expectedTokens(a.class, a.need.MaxTokens)
	}
	return float64(a.need.PromptTokens + answer)
}

// admit sends, queues, holds or refuses a request at its arrival.
func (e *Entry) admit(a *activeRequest) {
	e.retryBudget.RecordRequest()
	if a.arrival.Route != "" {
		e.dispatch(a)
		return
	}
	if !e.passesQuarantine(a) {
		return
	}
	if wait, ok := e.takeFromLimit(a); !ok {
		e.refuse(a, result.WorkspaceLimit, admission.RetryAfter(wait, e.rng))
		return
	}
	e.sendOrQueue(a)
}

// sendOrQueue sends, queues or refuses a request that is within the limit of
// its workspace.
func (e *Entry) sendOrQueue(a *activeRequest) {
	if e.needsGroup(a) {
		e.startGroupRun(a)
		return
	}
	if !e.policy.QueuesRequests() {
		e.dispatch(a)
		return
	}
	a.need.Now = e.now
	e.policy.RecordArrival(&a.need)
	choice := e.pickTarget(a)
	if choice.Target == nil {
		e.giveUp(a, result.NoTarget)
		return
	}
	wait, known := e.predictQueueWait(a, choice)
	if known && e.refuseIfLate(a, e.now+wait+e.predictTimeToFinish(a, choice)) {
		return
	}
	if !choice.TargetFull && e.queues.Queue(a.class).Len() == 0 {
		e.sendAdmitted(a, choice)
		return
	}
	e.enqueue(a)
}

// refuseIfLate refuses a request, of which no attempt was sent, if it is predicted to end
// after its deadline or after the end of a stop. It reports whether it did.
func (e *Entry) refuseIfLate(a *activeRequest, end time.Duration) bool {
	if late := end - a.lifecycle.Deadline(); late > 0 {
		e.refuse(a, result.DeadlineUnmet, admission.RetryAfter(late, e.rng))
		return true
	}
	if e.stopEnd > 0 && end > e.stopEnd {
		e.refuseStopping(a)
		return true
	}
	return false
}

// predictQueueWait predicts the time in the queue. known is false while the
// target has no samples of the class: too little to base a refusal on.
func (e *Entry) predictQueueWait(a *activeRequest, choice routing.Choice) (wait time.Duration, known bool) {
	if !e.targets.HasLearntRate(choice.Target, a.class) {
		return 0, false
	}
	if !choice.TargetFull && e.queues.Queue(a.class).Len() == 0 {
		return 0, true
	}
	return e.queues.PredictWait(e.now, a.class, a.arrival.Workspace, a.workspace.Weight)
}

// predictTimeToFinish predicts the time from sending the attempt to the end of
// the answer.
func (e *Entry) predictTimeToFinish(a *activeRequest, choice routing.Choice) time.Duration {
	answer := e.answerLengths.expectedTokens(a.class, a.need.MaxTokens)
	return choice.TimeToFirstToken + time.Duration(answer)*e.targets.InterTokenLatency(choice.Target)
}

// enqueue puts a request into the queue of its class and refuses those that the
// full queue drops for it.
func (e *Entry) enqueue(a *activeRequest) {
	a.queued = true
	refused := e.queues.Queue(a.class).Push(admission.Item{
		ID: uint64(a.arrival.Request), Workspace: a.arrival.Workspace, Weight: a.workspace.Weight,
		Class: a.class, Cost: e.predictCost(a),
		Enqueued: e.now, Deadline: a.lifecycle.Deadline(),
	})
	for _, r := range refused {
		victim := e.requests[RequestID(r.Item.ID)]
		victim.queued = false
		wait, _ := e.queues.PredictWait(e.now, victim.class, victim.arrival.Workspace, victim.workspace.Weight)
		e.refuse(victim, r.Code, admission.RetryAfter(wait, e.rng))
	}
}

// removeFromQueue takes a request out of the queue of its class, if it is
// there.
func (e *Entry) removeFromQueue(a *activeRequest) {
	if a.queued {
		e.queues.Queue(a.class).Remove(a.arrival.Workspace, uint64(a.arrival.Request))
		a.queued = false
	}
}

// sendAdmitted sends a request and records its departure, on which predictions
// of the waiting time are based.
func (e *Entry) sendAdmitted(a *activeRequest, choice routing.Choice) {
	e.queues.RecordSent(e.now, a.class, e.predictCost(a))
	e.sendAttempt(a, choice)
}

// sendQueued sends queued requests, class by class, while a target has room. If
// some remain it sets a timer to try again.
func (e *Entry) sendQueued() {
	if e.queues.Len() == 0 {
		return
	}
	for _, class := range e.queues.ServiceOrder(e.now) {
		for e.handleQueueHead(class) {
		}
	}
	if e.queues.Len() > 0 && !e.queueTimerSet {
		e.queueTimerSet = true
		e.scheduleAfter(queueCheckInterval, func() { e.queueTimerSet = false })
	}
}

// handleQueueHead sends, holds or ends the request at the head of the queue of
// a class. It reports whether the request left the queue.
func (e *Entry) handleQueueHead(class request.Class) bool {
	queue := e.queues.Queue(class)
	head, ok := queue.Head()
	if !ok {
		return false
	}
	a := e.requests[RequestID(head.ID)]
	if !e.passesQuarantine(a) {
		return true
	}
	choice := e.pickTarget(a)
	if choice.Target == nil {
		e.giveUp(a, result.NoTarget)
		return true
	}
	if e.targets.HasLearntRate(choice.Target, class) && e.refuseIfLate(a, e.now+e.predictTimeToFinish(a, choice)) {
		return true
	}
	if choice.TargetFull && e.isLimitedToTargetInUse(a) {
		e.holdRequest(a)
		return true
	}
	if choice.TargetFull {
		return false
	}
	queue.Pop()
	a.queued = false
	e.sendAdmitted(a, choice)
	return true
}

func (e *Entry) pickTarget(a *activeRequest) routing.Choice {
	a.need.Now = e.now
	return e.policy.Pick(&a.need, a.candidates(), e.rng)
}

// recordFirstToken records the first token of an attempt: the target finished
// the prefill and has its prefix in the cache.
func (e *Entry) recordFirstToken(a *activeRequest, id request.AttemptID) {
	if a.target == nil {
		return
	}
	e.targets.RecordFirstToken(e.now, a.target, id)
	e.prefixIndex.Add(a.target, a.need.Prefix)
}

// recordSizes adds the prompt and answer tokens of a complete answer to the
// estimates.
func (e *Entry) recordSizes(a *activeRequest, ev AttemptEnd) {
	if a.arrival.Model == "" || ev.Outcome != OutcomeComplete {
		return
	}
	e.targets.TokenEstimator().AddSample(a.arrival.Model, a.arrival.PromptBytes, ev.PromptTokens)
	e.answerLengths.addSample(a.class, a.lifecycle.Tokens())
}

func (e *Entry) newPolicy(s configuration.Serving) routing.Policy {
	return routing.New(s.Policy, routing.Options{Table: e.targets, Prefixes: e.prefixIndex, Measure: s.Measure})
}

// applyPriorities passes the configured priorities of classes to the queues and
// to the load estimates of targets.
func (e *Entry) applyPriorities() {
	var p target.Priorities
	for c := range p {
		p[c] = e.configIndex.Priority(request.Class(c))
	}
	e.targets.SetPriorities(p)
	e.queues.SetPriorities(p)
}
