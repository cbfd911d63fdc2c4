package fleet

import (
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// Times and limits of attempts.
const (
	// stallBase is the least time without an event after which a target counts
	// as silent; a sound one sends something with each pass.
	stallBase = 900 * time.Millisecond
	// stallFactor is how many times the predicted time to the first event a
	// target may take before it counts as silent.
	stallFactor = 2.5
	// patienceShare is the share of a caller's patience with a silent stream after
	// which another target is tried: the rest is for its first event.
	patienceShare = 0.6
	// waitStep is the time between two looks for room: about a pass of an engine.
	waitStep = 40 * time.Millisecond
	// maxUnsent bounds the sends of one request that ended without a run.
	maxUnsent = 3
	// minRetryAfter is the shortest time after which a refused caller is told to
	// come back: a target's state changes with its passes, some of them a second.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is the longest: loads change within seconds.
	maxRetryAfter = 3 * time.Second
	// noTargetRetryAfter is the same where no target is known at all: the time
	// in which a target that starts is listed.
	noTargetRetryAfter = time.Second
)

// Bounds of requests that will be late.
const (
	// hopeless is the chance to be in time below which a request yields.
	hopeless = 0.15
	// calmHarm is the share of a late request's value that others may lose by it,
	// and calmBacklog the share of its reading that may wait before it.
	calmHarm    = 0.05
	calmBacklog = 0.25
	// yieldMargin is the multiple of its reading time, spread over half of the
	// targets, that a request keeps in hand when it yields.
	yieldMargin = 1.5
)

// active is one request between Arrive and Finish.
type active struct {
	arrive    Arrive
	service   string
	value     float64
	arrivedAt time.Duration
	deadline  time.Duration

	attempt      AttemptID // current, 0 for none
	target       *runner   // of the current attempt
	flights      []placed  // loads of the current attempt
	ran          int       // attempts that ran or may have
	unsent       int       // attempts that did not run
	tried        []string  // ids of targets that failed the request
	waiting      bool      // for room at the targets
	cutFrom      string    // domain of a target that could not be connected to
	begun        bool      // an event or more went to the caller
	fresh        bool      // the current attempt has sent an event
	sentAt       time.Duration
	lastAt       time.Duration // of the last event
	predictedMS  float64       // by the model, from sentAt to the first event
	stallAt      time.Duration
	firstAt      time.Duration // from arrival to the first event
	longestPause time.Duration
	lastID       string
	last         AttemptEnd
	answered     bool // the last attempt ended with an answer that may be passed on

	reservation *reservation
}

func (a *active) memoryTokens() int { return a.arrive.PromptTokens + a.arrive.MaxAnswerTokens }

func (c *Core) arrive(ev Arrive) {
	a := &active{
		arrive: ev, arrivedAt: c.now, deadline: ev.Deadline,
		value: value(ev.PromptTokens), lastID: ev.ResumeAfter,
	}
	if t := ev.Route.Timeout; t > 0 {
		a.deadline = min(a.deadline, c.now+t)
	}
	c.requests[ev.Request] = a
	a.service = c.pickService(ev.Route)
	c.countRequest(a.service)
	if e := c.engine(a); e != nil {
		c.demanded(a, e)
	}
	c.arrivedAt = c.now
	if !c.endsInTime(a) {
		c.finish(a, Finish{Code: result.Stopping, RetryAfter: minRetryAfter})
		return
	}
	if c.suspicious(ev.Fingerprint) {
		c.finish(a, Finish{Code: result.Quarantined, RetryAfter: suspicionTime})
		return
	}
	c.after(a.deadline-c.now, func() { c.timeUp(ev.Request) })
	c.dispatch(a)
}

// pickService draws one of the route's services by their weights.
func (c *Core) pickService(r *Route) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	n := c.rng.IntN(total)
	for _, b := range r.Backends {
		if n -= b.Weight; n < 0 {
			return b.Service
		}
	}
	return ""
}

// dispatch chooses targets and sends an attempt, lets the request wait for
// memory, or ends it.
func (c *Core) dispatch(a *active) {
	p := c.choose(a)
	switch {
	case p.first == nil && c.mayWait(a):
		c.wait(a)
	case p.first != nil && c.yields(a, p):
		c.wait(a)
	case p.first != nil && c.unservable(a, p):
		c.giveUp(a, result.DeadlineUnmet, min(maxRetryAfter, max(minRetryAfter, fromMS(p.firstEventMS))))
	case p.first == nil:
		c.giveUp(a, result.NoTarget, noTargetRetryAfter)
	case p.ticketed:
		c.reserve(a, p)
	default:
		c.send(a, p, nil)
	}
}

// firstBy is when the first event has to reach the caller at the latest.
func (a *active) firstBy() time.Duration {
	if p := a.arrive.Route.CallerPatience; p > 0 && !a.begun {
		return min(a.deadline, a.arrivedAt+p)
	}
	return a.deadline
}

// yields reports whether a request had better wait, as long as it can still be
// answered: one that will be late anyway, since requests that can be in time go
// first, or one that would cost others more than it is worth.
func (c *Core) yields(a *active, p plan) bool {
	e := c.engine(a)
	if e == nil || !c.predicts() || a.begun || p.gain-p.harm >= c.price(a, e) && p.inTime >= hopeless {
		return false
	}
	l := p.first.loadOf(e)
	calm := l.requests < p.first.Slots
	if p.long {
		calm = calm && p.harm < calmHarm*a.value && l.unread < p.readMS*calmBacklog
	}
	parts := max(1, len(c.candidates(a))/2)
	spread := fromMS(e.readMS(a.arrive.PromptTokens, parts)*yieldMargin + 2*float64(e.Stride)*l.step)
	return !calm && c.now+spread < a.firstBy()
}

// unservable reports whether the first event would come after the caller left.
func (c *Core) unservable(a *active, p plan) bool {
	return c.engine(a) != nil && c.predicts() && !a.begun && p.gain == 0
}

// mayWait reports whether targets are there that may have room for the request
// in time.
func (c *Core) mayWait(a *active) bool {
	e := c.engine(a)
	pool := c.candidates(a)
	if e == nil || len(pool) == 0 || a.memoryTokens() > e.MemoryTokens*9/10*len(pool) {
		return false
	}
	best := e.readMS(a.arrive.PromptTokens, len(pool))
	return c.now+waitStep+fromMS(best) < a.firstBy()
}

// wait dispatches the request again a little later.
func (c *Core) wait(a *active) {
	if !a.waiting {
		a.waiting = true
		c.log("wait", "request", a.arrive.ID, "prompt", a.arrive.PromptTokens)
	}
	c.after(waitStep, func() {
		if c.requests[a.arrive.Request] == a && a.attempt == 0 && a.reservation == nil {
			c.dispatch(a)
		}
	})
}

func (c *Core) send(a *active, p plan, tickets []string) {
	c.nextID++
	a.attempt, a.target, a.fresh, a.answered = c.nextID, p.first, false, false
	a.sentAt, a.predictedMS = c.now, p.modelMS
	if !a.begun {
		a.lastAt = c.now
	}
	c.attempts[a.attempt] = a
	helpers := make([]Helper, len(p.helpers))
	for i, h := range p.helpers {
		helpers[i] = Helper{Target: h.ID, Address: h.Address}
		if tickets != nil {
			helpers[i].Ticket = tickets[i]
		}
	}
	c.occupy(a, p)
	c.probed(p.first)
	workspace := ""
	if a.arrive.Caller != nil {
		workspace = a.arrive.Caller.Name
	}
	c.log("send", "request", a.arrive.ID, "attempt", a.attempt, "target", p.first.ID, "address", p.first.Address,
		"helpers", p.helperIDs(), "predicted_ms", int(p.firstEventMS), "score", strconv.FormatFloat(p.score, 'f', 2, 64),
		"prompt", a.arrive.PromptTokens, "at_target", len(p.first.flights), "resume_after", a.lastID)
	c.emit(Send{
		Request: a.arrive.Request, Attempt: a.attempt, Target: p.first.Target, Deadline: a.deadline,
		ResumeAfter: a.lastID, Urgency: c.urgency(a, p), Helpers: helpers, Workspace: workspace,
		FreshConnection: !a.arrive.Route.Repeatable(),
	})
	patience := max(stallBase, fromMS(stallFactor*p.firstEventMS))
	a.stallAt = c.now + patience
	c.watch(a, a.attempt, patience)
}

// urgency is the order of admission at targets: by the priorities that the
// operators set, and requests that will be late behind those that need not be.
func (c *Core) urgency(a *active, p plan) int {
	priority := a.arrive.Route.Priority
	if w := a.arrive.Caller; w != nil && w.Priority != nil {
		priority = *w.Priority
	}
	priority = min(lateUrgency-1, max(0, priority))
	if c.engine(a) != nil && c.predicts() && p.inTime < hopeless && !a.begun {
		priority += lateUrgency
	}
	return priority
}

// lateUrgency is the first of the five urgencies of late requests, out of ten
// that engines know.
const lateUrgency = 5

// occupy adds the loads of an attempt and tells peers.
func (c *Core) occupy(a *active, p plan) {
	context := a.arrive.PromptTokens / p.parts()
	add := func(r *runner, part bool, memory int) {
		c.nextKey++
		l := Load{
			Target: r.ID, Key: c.nextKey, ReadMS: p.readMS, ContextTokens: context, MemoryTokens: memory,
			MaxPauseMS: int(ms(a.arrive.Route.MaxPause)), Part: part, Value: a.value, Request: uint64(a.arrive.Request),
			FirstWithinMS:  int(ms(a.arrive.Route.TargetLatency - (c.now - a.arrivedAt))),
			LeavesWithinMS: int(ms(a.firstBy() - c.now)),
		}
		a.flights = append(a.flights, placed{r, r.begin(c.now, "", l)})
		c.outbox.gossip.Loads = append(c.outbox.gossip.Loads, l)
	}
	memory, partMemory := a.memoryTokens(), 0
	if p.ticketed {
		partMemory = memory / p.parts()
		memory = partMemory
	}
	add(p.first, false, memory)
	for _, h := range p.helpers {
		add(h, true, partMemory)
	}
	c.shareSoon()
}

// vacate removes the loads of the current attempt.
func (c *Core) vacate(a *active) {
	for _, pl := range a.flights {
		pl.runner.end(c.now, pl.flight)
		c.outbox.gossip.Ended = append(c.outbox.gossip.Ended, pl.flight.Key)
		if pl.runner.gone && len(pl.runner.flights) == 0 {
			c.dropRunner(pl.runner)
		}
	}
	a.flights = nil
	delete(c.attempts, a.attempt)
	a.attempt = 0
	c.shareSoon()
	c.releaseTickets(a)
}

// again makes another attempt if the route, the retry budget and the time allow
// it, and ends the request otherwise.
func (c *Core) again(a *active, reason string) {
	switch {
	case a.ran > 0 && !a.arrive.Route.Repeatable(),
		a.ran >= max(1, a.arrive.Route.MaxAttempts),
		a.unsent > maxUnsent:
		c.giveUp(a, result.TargetsRefused, minRetryAfter)
	case c.suspicious(a.arrive.Fingerprint):
		c.giveUp(a, result.Quarantined, suspicionTime)
	case !c.takeRepeat(a.service):
		c.giveUp(a, result.RetryBudget, minRetryAfter)
	default:
		c.count("retries", reason)
		c.dispatch(a)
	}
}

// giveUp ends a request for which no further attempt is made. It is refused
// only if nothing of it ran.
func (c *Core) giveUp(a *active, refusal result.Code, retryAfter time.Duration) {
	switch {
	case a.answered && !a.begun:
		c.finish(a, Finish{Code: result.TargetError, PassOn: true})
	case a.ran == 0 && !a.begun:
		c.finish(a, Finish{Code: refusal, RetryAfter: retryAfter})
	case !a.arrive.Route.Repeatable():
		c.finish(a, Finish{Code: result.BrokenAfterSend})
	case a.begun:
		c.finish(a, Finish{Code: result.ResumeFailed})
	default:
		c.finish(a, Finish{Code: result.TargetDied})
	}
}

func (c *Core) finish(a *active, f Finish) {
	if c.requests[a.arrive.Request] != a {
		return
	}
	delete(c.requests, a.arrive.Request)
	c.releaseTickets(a)
	f.Request = a.arrive.Request
	c.log("request-ended", "request", a.arrive.ID, "route", a.arrive.Route.Name, "code", int(f.Code),
		"result", f.Code.String(), "ran", a.ran, "unsent", a.unsent, "after_ms", int(ms(c.now-a.arrivedAt)),
		"first_ms", int(ms(a.firstAt)), "longest_pause_ms", int(ms(a.longestPause)),
		"last_end", a.last.End.String(), "retry_after_ms", int(ms(f.RetryAfter)))
	if f.Code.Family() == result.FamilyComplete {
		c.emit(Observe{"answer_seconds", a.arrive.Route.Name, c.now - a.arrivedAt})
	}
	c.count("requests_ended", f.Code.String())
	c.emit(f)
}

// timeUp ends a request whose time limit is reached.
func (c *Core) timeUp(id RequestID) {
	a := c.requests[id]
	if a == nil {
		return
	}
	if a.attempt != 0 {
		c.emit(Cancel{Attempt: a.attempt})
		a.ran++
		c.vacate(a)
	}
	if a.ran == 0 {
		c.finish(a, Finish{Code: result.QueueTimeout, RetryAfter: minRetryAfter})
		return
	}
	if a.arrive.Route.Repeatable() {
		c.finish(a, Finish{Code: result.DeadlineRunning})
		return
	}
	c.finish(a, Finish{Code: result.DeadlineAfterSend})
}

// callerLeft ends a request whose caller is gone. A call that may not be
// repeated runs on: cutting it would leave open how far it came.
func (c *Core) callerLeft(ev CallerLeft) {
	a := c.requests[ev.Request]
	if a == nil {
		return
	}
	if a.attempt != 0 {
		if !a.arrive.Route.Repeatable() {
			return
		}
		c.emit(Cancel{Attempt: a.attempt})
		a.ran++
		c.vacate(a)
	}
	if a.ran == 0 {
		c.finish(a, Finish{Code: result.CallerGoneUnsent})
		return
	}
	c.finish(a, Finish{Code: result.CallerGone})
}
