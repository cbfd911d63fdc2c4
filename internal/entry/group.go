package entry

import (
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/group"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/target"
)

// CounterGroups counts what happened to prompts that run on groups of engines.
const CounterGroups = "groups"

// Times of runs on groups.
const (
	// DefaultReservationTTL is how long an engine keeps memory reserved without a
	// renewal, for instance after the entry instance died.
	DefaultReservationTTL = 10 * time.Second
	// renewalsPerTTL leaves room for two lost renewals.
	renewalsPerTTL = 3
	// maxGroupWait bounds the wait for room on enough engines.
	maxGroupWait = 2 * time.Minute
	// groupBackoff is the shortest wait between two tries, groupBackoffJitter the
	// largest random time added to it.
	groupBackoff       = 500 * time.Millisecond
	groupBackoffJitter = 500 * time.Millisecond
)

// promptEstimateMargin is the fraction by which a prompt may exceed its
// estimated tokens.
const promptEstimateMargin = 0.05

// groupRun is one run of a request on a group of engines.
type groupRun struct {
	group         *group.Group
	reservationID string // names its reservation on each engine
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

// startGroupRun plans a group and starts to reserve its engines. It waits if
// there is no room, and ends a request that can't be served in time or at all.
func (e *Entry) startGroupRun(a *activeRequest) {
	a.usesGroup = true
	var engines []group.EngineMemory
	for _, tg := range e.targets.ServingModel(a.arrival.Model) {
		free, ok := tg.FreeTokens()
		if !tg.Usable() {
			free = 0
		}
		if ok && !tg.Leaving() {
			engines = append(engines, group.EngineMemory{Target: tg.Name, Capacity: tg.Report.KVCapacityTokens, Free: free})
		}
	}
	prompt := a.need.PromptTokens + int(promptEstimateMargin*float64(a.need.PromptTokens))
	members, possible := group.Plan(prompt, a.need.MaxTokens, engines)
	if !possible {
		e.giveUp(a, result.GroupUnavailable)
		return
	}
	if end, known := e.predictGroupEnd(a, engines); known && e.giveUpIfLate(a, end) {
		return
	}
	if members == nil {
		e.retryGroupLater(a)
		return
	}
	e.lastGroupID++
	a.groupRun = &groupRun{
		group:         group.New(members),
		reservationID: e.opts.Name + "-" + strconv.FormatUint(e.opts.Incarnation, 36) + "-g" + strconv.FormatUint(e.lastGroupID, 10),
	}
	e.incrementCounter(CounterGroups, "started")
	e.renewReservations(a, a.groupRun)
	e.runGroupStep(a, a.groupRun)
}

// predictGroupEnd predicts when the answer ends. known is false while the target has no
// samples of the class.
func (e *Entry) predictGroupEnd(a *activeRequest, engines []group.EngineMemory) (end time.Duration, known bool) {
	tg := e.targets.Get(engines[0].Target)
	if !e.targets.HasLearntRate(tg, a.class) {
		return 0, false
	}
	prefill := float64(a.need.PromptTokens) / e.targets.PrefillRate(tg, a.class)
	answer := time.Duration(e.answerLengths.expectedTokens(a.class, a.need.MaxTokens)) * e.targets.InterTokenLatency(tg)
	return e.now + time.Duration(prefill*float64(time.Second)) + answer, true
}

// giveUpIfLate ends a request that would end after its deadline, or that has not been
// sent and would end after the end of a stop. It reports whether it did.
func (e *Entry) giveUpIfLate(a *activeRequest, end time.Duration) bool {
	if a.lifecycle.NotRunProof().Valid() {
		return e.refuseIfLate(a, end)
	}
	if end <= a.lifecycle.Deadline() {
		return false
	}
	e.giveUp(a, result.DeadlineUnmet)
	return true
}

// retryGroupLater tries again after a random wait, so that two requests that
// compete for the same engines don't collide again.
func (e *Entry) retryGroupLater(a *activeRequest) {
	if a.groupWaitSince == 0 {
		a.groupWaitSince = e.now
	}
	if e.now-a.groupWaitSince > maxGroupWait {
		e.giveUp(a, result.GroupUnavailable)
		return
	}
	e.incrementCounter(CounterGroups, "waited")
	e.scheduleAfter(groupBackoff+time.Duration(e.rng.Int64N(int64(groupBackoffJitter))), func() {
		if e.requests[a.arrival.Request] == a && a.groupRun == nil && a.lifecycle.Current() == 0 && e.passesQuarantine(a) {
			e.startGroupRun(a)
		}
	})
}

// runGroupStep starts the current step of a run.
func (e *Entry) runGroupStep(a *activeRequest, run *groupRun) {
	step, m := run.group.Step()
	tg := e.targets.Get(m.Target)
	if tg == nil {
		e.failGroupRun(a, run, GroupGone)
		return
	}
	switch step {
	case group.Reserve:
		call := GroupCall{Op: GroupReserve, Tokens: m.Tokens, TTL: e.opts.ReservationTTL}
		e.callGroupMember(a, run, m, call, func(s GroupStatus) { e.handleGroupStep(a, run, s) })
	case group.Prefill:
		e.startSegment(a, tg, m)
		call := GroupCall{
			Op: GroupPrefill, Attempt: a.lifecycle.Current(), From: m.From, To: m.To, Imports: e.importSources(run),
			Priority: e.configIndex.Priority(a.class), Deadline: a.lifecycle.Deadline(),
		}
		e.callGroupMember(a, run, m, call, func(s GroupStatus) { e.handleGroupStep(a, run, s) })
	case group.Decode:
		e.targets.RecordSent(e.now, tg, target.AttemptLoad{Attempt: a.lifecycle.Current(), Class: a.class})
		a.target, a.lastTarget = tg, tg
		e.emit(Send{
			Request: a.arrival.Request, Attempt: a.lifecycle.Current(), Target: tg.Name, Address: tg.Address,
			ResumeAt: a.lifecycle.Tokens(), Priority: e.configIndex.Priority(a.class), Deadline: a.lifecycle.Deadline(),
			Reservation: run.reservationID, Imports: e.importSources(run),
		})
	case group.Closed:
	}
}

// startSegment accounts for the prefill of a segment as work on its engine.
func (e *Entry) startSegment(a *activeRequest, tg *target.Target, m group.Member) {
	id := a.lifecycle.Current()
	if id == 0 {
		e.lastAttemptID++
		id = e.lastAttemptID
		a.lifecycle.RecordSent(id)
		a.deliveredTokens = 0
		e.attempts[id] = a
		e.trackAttempt(a, tg)
	}
	a.target, a.lastTarget, a.sentIncarnation, a.sentAt = tg, tg, tg.Report.Incarnation, e.now
	e.targets.RecordSent(e.now, tg, target.AttemptLoad{Attempt: id, Class: a.class, PrefillTokens: m.Tokens})
	e.startHealthWatch(tg)
}

// handleGroupStep continues a run after the reply to a reservation or a
// prefill.
func (e *Entry) handleGroupStep(a *activeRequest, run *groupRun, status GroupStatus) {
	if a.groupRun != run {
		return
	}
	if status != GroupOK {
		e.failGroupRun(a, run, status)
		return
	}
	if step, _ := run.group.Step(); step == group.Prefill {
		e.targets.RecordEnd(e.now, a.target, a.lifecycle.Current(), 0)
		a.target.RecordSuccess(e.now)
		a.target = nil
	}
	run.group.Advance()
	e.runGroupStep(a, run)
}

// failGroupRun ends a run after a failed call. A run that only reserved memory
// so far waits for another try. Of the engines in the group, only the one that
// works on the prompt can have been crashed by it; the others merely hold
// memory for it.
func (e *Entry) failGroupRun(a *activeRequest, run *groupRun, status GroupStatus) {
	e.incrementCounter(CounterGroups, string(status))
	id := a.lifecycle.Current()
	if id == 0 {
		e.closeGroupRun(a)
		e.retryGroupLater(a)
		return
	}
	end := OutcomeBroke
	if step, _ := run.group.Step(); step == group.Prefill && len(run.group.PrecedingMembers()) == 0 && (status == GroupRefused || status == GroupUnreached) {
		end = OutcomeNotRun
	}
	e.emit(Cancel{Attempt: id})
	e.handleAttemptEnd(AttemptEnd{Attempt: id, Outcome: end})
}

// closeGroupRun releases the memory that a run may have reserved. On engines
// that the call does not reach, the reservation expires.
func (e *Entry) closeGroupRun(a *activeRequest) {
	run := a.groupRun
	if run == nil {
		return
	}
	a.groupRun = nil
	for _, m := range run.group.Close() {
		e.callGroupMember(a, run, m, GroupCall{Op: GroupRelease}, func(GroupStatus) {})
	}
}

// renewReservations renews the reservations of a run until it is closed.
func (e *Entry) renewReservations(a *activeRequest, run *groupRun) {
	e.scheduleAfter(e.opts.ReservationTTL/renewalsPerTTL, func() {
		if a.groupRun != run {
			return
		}
		e.renewReservations(a, run)
		for _, m := range run.group.Reserved() {
			e.callGroupMember(a, run, m, GroupCall{Op: GroupRenew, TTL: e.opts.ReservationTTL}, func(s GroupStatus) {
				if a.groupRun == run && (s == GroupGone || s == GroupUnreached) {
					e.failGroupRun(a, run, s)
				}
			})
		}
	})
}

// decodesInGroup reports whether a group finished the prefill and generates the
// answer.
func (a *activeRequest) decodesInGroup() bool {
	if a.groupRun == nil {
		return false
	}
	step, _ := a.groupRun.group.Step()
	return step == group.Decode
}

// importSources returns where the current engine gets the segments before its
// own: address, slash, reservation.
func (e *Entry) importSources(run *groupRun) []string {
	var sources []string
	for _, m := range run.group.PrecedingMembers() {
		if tg := e.targets.Get(m.Target); tg != nil {
			sources = append(sources, tg.Address+"/"+run.reservationID)
		}
	}
	return sources
}

// callGroupMember calls an engine of the group and passes the status to fn.
func (e *Entry) callGroupMember(a *activeRequest, run *groupRun, m group.Member, call GroupCall, fn func(GroupStatus)) {
	tg := e.targets.Get(m.Target)
	if tg == nil {
		return
	}
	e.lastCallID++
	call.ID, call.Request, call.Target, call.Address = e.lastCallID, a.arrival.Request, tg.Name, tg.Address
	call.Reservation = run.reservationID
	e.pendingGroupCalls[call.ID] = fn
	e.emit(call)
}

func (e *Entry) handleGroupReply(ev GroupReply) {
	fn := e.pendingGroupCalls[ev.ID]
	if fn == nil {
		return
	}
	delete(e.pendingGroupCalls, ev.ID)
	fn(ev.Status)
}
