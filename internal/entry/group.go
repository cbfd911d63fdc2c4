package entry

import (
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/admission"
	"github.com/medlardeck/medlardeck/internal/group"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/target"
)

// CounterGroups counts what happened to prompts on groups of engines.
const CounterGroups = "groups"

// Times of groups.
const (
	// DefaultReservationTTL is how long an engine keeps memory reserved for an
	// entry instance that is gone.
	DefaultReservationTTL = 10 * time.Second
	// renewalsPerTTL leaves room for two lost renewals.
	renewalsPerTTL = 3
	// groupWait bounds the wait for room on enough engines.
	groupWait = 2 * time.Minute
	// groupBackoff is the mean wait between two tries, groupSpread its spread.
	groupBackoff = 500 * time.Millisecond
	groupSpread  = 500 * time.Millisecond
)

// estimateMargin is the share by which a prompt may exceed its estimate.
const estimateMargin = 0.05

// groupRun is one run of a request on a group of engines.
type groupRun struct {
	group *group.Group
	id    string // of its reservations
}

// needsGroup reports whether the request exceeds the memory of every engine.
func (e *Entry) needsGroup(a *activeRequest) bool {
	if a.arrival.Route != "" || a.class != request.ClassHuge {
		return false
	}
	known := false
	for _, tg := range a.candidates() {
		capacity := tg.Report.KVCapacityTokens
		if capacity >= a.need.MemoryTokens() {
			return false
		}
		known = known || capacity > 0
	}
	return known
}

// startGroup plans a group and begins to reserve it, waits for room, or ends
// the request.
func (e *Entry) startGroup(a *activeRequest) {
	a.usesGroup = true
	var rooms []group.Room
	for _, tg := range e.targets.ServingModel(a.arrival.Model) {
		free, ok := tg.FreeTokens()
		if !tg.Usable() {
			free = 0
		}
		if ok && !tg.Leaving() {
			rooms = append(rooms, group.Room{Target: tg.Name, Capacity: tg.Report.KVCapacityTokens, Free: free})
		}
	}
	prompt := a.need.PromptTokens + int(estimateMargin*float64(a.need.PromptTokens))
	members, possible := group.Plan(prompt, a.need.MaxTokens, rooms)
	if !possible {
		e.giveUp(a, result.GroupUnavailable)
		return
	}
	if late := e.groupLate(a, rooms); late > 0 {
		e.giveUpLate(a, late)
		return
	}
	if members == nil {
		e.awaitGroup(a)
		return
	}
	e.lastGroupID++
	a.groupRun = &groupRun{
		group: group.New(members),
		id:    e.opts.Name + "-" + strconv.FormatUint(e.opts.Incarnation, 36) + "-g" + strconv.FormatUint(e.lastGroupID, 10),
	}
	e.incrementCounter(CounterGroups, "started")
	e.renewGroup(a, a.groupRun)
	e.stepGroup(a, a.groupRun)
}

// groupLate predicts by how much the request would miss its limit.
func (e *Entry) groupLate(a *activeRequest, rooms []group.Room) time.Duration {
	tg := e.targets.Get(rooms[0].Target)
	if !e.targets.Learnt(tg, a.class) {
		return 0
	}
	prefill := float64(a.need.PromptTokens) / e.targets.PrefillRate(tg, a.class)
	answer := time.Duration(e.answerLengths.expectedTokens(a.class, a.need.MaxTokens)) * e.targets.Step(tg)
	return e.now + time.Duration(prefill*float64(time.Second)) + answer - a.lifecycle.Deadline()
}

func (e *Entry) giveUpLate(a *activeRequest, late time.Duration) {
	if a.lifecycle.Unsent().Valid() {
		e.refuse(a, result.DeadlineUnmet, admission.RetryAfter(late, e.rng))
		return
	}
	e.giveUp(a, result.DeadlineUnmet)
}

// awaitGroup tries again a little later, at random so that two audits don't
// meet again.
func (e *Entry) awaitGroup(a *activeRequest) {
	if a.groupWaitSince == 0 {
		a.groupWaitSince = e.now
	}
	if e.now-a.groupWaitSince > groupWait {
		e.giveUp(a, result.GroupUnavailable)
		return
	}
	e.incrementCounter(CounterGroups, "waited")
	e.scheduleAfter(groupBackoff+time.Duration(e.rng.Int64N(int64(groupSpread))), func() {
		if e.requests[a.arrival.Request] == a && a.groupRun == nil && a.lifecycle.Current() == 0 && e.passesQuarantine(a) {
			e.startGroup(a)
		}
	})
}

// stepGroup does the current step of a run.
func (e *Entry) stepGroup(a *activeRequest, run *groupRun) {
	step, m := run.group.Step()
	tg := e.targets.Get(m.Target)
	if tg == nil {
		e.failGroup(a, run, GroupGone)
		return
	}
	switch step {
	case group.Reserve:
		call := GroupCall{Op: GroupReserve, Tokens: m.Tokens, TTL: e.opts.ReservationTTL}
		e.callGroup(a, run, m, call, func(s GroupStatus) { e.stepped(a, run, s) })
	case group.Prefill:
		e.beginSegment(a, tg, m)
		call := GroupCall{
			Op: GroupPrefill, Attempt: a.lifecycle.Current(), From: m.From, To: m.To, Imports: e.imports(run),
			Priority: e.index.Priority(a.class), Deadline: a.lifecycle.Deadline(),
		}
		e.callGroup(a, run, m, call, func(s GroupStatus) { e.stepped(a, run, s) })
	case group.Decode:
		e.targets.Begin(e.now, tg, target.Flight{Attempt: a.lifecycle.Current(), Class: a.class})
		a.target, a.lastTarget = tg, tg
		e.emit(Send{
			Request: a.arrival.Request, Attempt: a.lifecycle.Current(), Target: tg.Name, Address: tg.Address,
			ResumeAt: a.lifecycle.Tokens(), Priority: e.index.Priority(a.class), Deadline: a.lifecycle.Deadline(),
			Reservation: run.id, Imports: e.imports(run),
		})
	case group.Closed:
	}
}

// beginSegment accounts for the prefill of a segment as work on its engine.
func (e *Entry) beginSegment(a *activeRequest, tg *target.Target, m group.Member) {
	id := a.lifecycle.Current()
	if id == 0 {
		e.lastAttemptID++
		id = e.lastAttemptID
		a.lifecycle.Sent(id)
		a.deliveredTokens = 0
		e.attempts[id] = a
		e.trackAttempt(a, tg)
	}
	a.target, a.lastTarget, a.sentIncarnation, a.sentAt = tg, tg, tg.Report.Incarnation, e.now
	e.targets.Begin(e.now, tg, target.Flight{Attempt: id, Class: a.class, PrefillTokens: m.Tokens})
	e.occupy(tg)
}

// stepped takes the end of a reservation or segment.
func (e *Entry) stepped(a *activeRequest, run *groupRun, status GroupStatus) {
	if a.groupRun != run {
		return
	}
	if status != GroupOK {
		e.failGroup(a, run, status)
		return
	}
	if step, _ := run.group.Step(); step == group.Prefill {
		e.targets.End(e.now, a.target, a.lifecycle.Current(), 0)
		a.target.Succeeded(e.now)
		a.target = nil
	}
	run.group.Advance()
	e.stepGroup(a, run)
}

// failGroup ends a run that can't go on. A run of which nothing was sent yet
// waits for another try. Only the engine that works on the prompt counts as one
// that it may have ended; the others merely keep memory for it.
func (e *Entry) failGroup(a *activeRequest, run *groupRun, status GroupStatus) {
	e.incrementCounter(CounterGroups, string(status))
	id := a.lifecycle.Current()
	if id == 0 {
		e.closeGroup(a)
		e.awaitGroup(a)
		return
	}
	end := EndBroke
	if step, _ := run.group.Step(); step == group.Prefill && len(run.group.Before()) == 0 && (status == GroupRefused || status == GroupUnreached) {
		end = EndNotRun
	}
	e.emit(Cancel{Attempt: id})
	e.handleAttemptEnd(AttemptEnd{Attempt: id, End: end})
}

// closeGroup releases what a run may hold. Engines that don't hear of it let
// the reservation lapse.
func (e *Entry) closeGroup(a *activeRequest) {
	run := a.groupRun
	if run == nil {
		return
	}
	a.groupRun = nil
	for _, m := range run.group.Close() {
		e.callGroup(a, run, m, GroupCall{Op: GroupRelease}, func(GroupStatus) {})
	}
}

// renewGroup renews the reservations of a run until it is closed.
func (e *Entry) renewGroup(a *activeRequest, run *groupRun) {
	e.scheduleAfter(e.opts.ReservationTTL/renewalsPerTTL, func() {
		if a.groupRun != run {
			return
		}
		e.renewGroup(a, run)
		for _, m := range run.group.Reserved() {
			e.callGroup(a, run, m, GroupCall{Op: GroupRenew, TTL: e.opts.ReservationTTL}, func(s GroupStatus) {
				if a.groupRun == run && (s == GroupGone || s == GroupUnreached) {
					e.failGroup(a, run, s)
				}
			})
		}
	})
}

// decodesInGroup reports whether the answer of a group was asked for.
func (a *activeRequest) decodesInGroup() bool {
	if a.groupRun == nil {
		return false
	}
	step, _ := a.groupRun.group.Step()
	return step == group.Decode
}

// imports names the parts before the current one for an engine.
func (e *Entry) imports(run *groupRun) []string {
	var sources []string
	for _, m := range run.group.Before() {
		if tg := e.targets.Get(m.Target); tg != nil {
			sources = append(sources, tg.Address+"/"+run.id)
		}
	}
	return sources
}

// callGroup calls a member and hands the end to fn.
func (e *Entry) callGroup(a *activeRequest, run *groupRun, m group.Member, call GroupCall, fn func(GroupStatus)) {
	tg := e.targets.Get(m.Target)
	if tg == nil {
		return
	}
	e.lastCallID++
	call.ID, call.Request, call.Target, call.Address = e.lastCallID, a.arrival.Request, tg.Name, tg.Address
	call.Reservation = run.id
	e.groupCalls[call.ID] = fn
	e.emit(call)
}

func (e *Entry) groupReply(ev GroupReply) {
	fn := e.groupCalls[ev.ID]
	if fn == nil {
		return
	}
	delete(e.groupCalls, ev.ID)
	fn(ev.Status)
}
