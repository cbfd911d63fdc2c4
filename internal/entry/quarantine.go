package entry

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/target"
)

// CounterSuspects counts what happened to requests suspected of crashing
// targets. Its reasons "lone-run" and "lone-group" count trials.
const CounterSuspects = "crash_suspects"

// cancelledWindow is how long a request that ended without a complete answer
// still counts as in flight on its target, which may notice the cancel late.
const cancelledWindow = 5 * time.Second

// clearedResumeDelay is the time from a verdict to the next attempt of the
// requests that it cleared. By then, deaths of other targets with the same
// cause are known, and no request goes to a target that has just died.
const clearedResumeDelay = 200 * time.Millisecond

// suspectState is the part of an entry that deals with requests suspected of
// crashing targets.
type suspectState struct {
	registry          *quarantine.Registry
	fingerprintTurns  *quarantine.Turns[quarantine.Fingerprint]
	targetTurns       *quarantine.Turns[string]
	inFlight          map[quarantine.Fingerprint]*inFlightFingerprint
	held              []*activeRequest // requests that wait for a verdict or a trial
	inquiries         map[string]*inquiry
	isolations        []*isolation
	recentlyCancelled []cancelledRun
	doubtedDeaths     map[quarantine.Death]bool // deaths reported by peers, each acted on once
	timerSet          bool
}

// inFlightFingerprint counts the attempts of one fingerprint in flight. Until
// the fingerprint has completed once, they all go to the same target.
type inFlightFingerprint struct {
	target   *target.Target
	attempts int
}

// cancelledRun is a request that ended without a complete answer and may still
// run on its target.
type cancelledRun struct {
	target      *target.Target
	fingerprint quarantine.Fingerprint
	until       time.Duration
}

func newSuspectState(self string) suspectState {
	return suspectState{
		registry:         quarantine.New(),
		fingerprintTurns: quarantine.NewTurns[quarantine.Fingerprint](self),
		targetTurns:      quarantine.NewTurns[string](self),
		inFlight:         make(map[quarantine.Fingerprint]*inFlightFingerprint),
		inquiries:        make(map[string]*inquiry),
		doubtedDeaths:    make(map[quarantine.Death]bool),
	}
}

// Suspects returns what this instance knows of suspected and quarantined
// fingerprints.
func (e *Entry) Suspects() []quarantine.Fact { return e.suspects.registry.All(e.now) }

// fingerprint identifies the request among suspects. It is zero for service
// calls: their targets report no incarnations by which a death could be told.
func (a *activeRequest) fingerprint() quarantine.Fingerprint {
	if a.arrival.Route != "" {
		return 0
	}
	return quarantine.Fingerprint(cmp.Or(a.arrival.PromptHash, a.arrival.Fingerprint))
}

// passesQuarantine reports whether the request may be dispatched now. One that
// may not is ended if its fingerprint is quarantined, else held.
func (e *Entry) passesQuarantine(a *activeRequest) bool {
	fp := a.fingerprint()
	if fp == 0 {
		return true
	}
	switch e.suspects.registry.State(e.now, fp) {
	case quarantine.Quarantined:
		e.endQuarantined(a)
		return false
	case quarantine.Suspect:
		e.holdRequest(a)
		return false
	}
	if e.isUnderInquiry(fp) || e.mustWaitForCopy(a, fp) {
		e.holdRequest(a)
		return false
	}
	return true
}

// mustWaitForCopy reports whether the request has to wait until other attempts
// with its fingerprint end, because it can't be sent to their target.
func (e *Entry) mustWaitForCopy(a *activeRequest, fp quarantine.Fingerprint) bool {
	exp := e.suspects.inFlight[fp]
	if exp == nil || e.suspects.registry.Proven(e.now, fp) {
		return false
	}
	return !exp.target.Usable() || slices.Contains(a.need.Tried, exp.target.Name)
}

// limitToTargetInUse limits the candidates to the target that already runs the
// fingerprint, so that copies of a request can't crash several targets at once.
func (e *Entry) limitToTargetInUse(a *activeRequest, all []*target.Target) []*target.Target {
	if !e.isLimitedToTargetInUse(a) {
		return all
	}
	return []*target.Target{e.suspects.inFlight[a.fingerprint()].target}
}

// isLimitedToTargetInUse reports whether the fingerprint runs and has not
// completed recently.
func (e *Entry) isLimitedToTargetInUse(a *activeRequest) bool {
	fp := a.fingerprint()
	return fp != 0 && e.suspects.inFlight[fp] != nil && !e.suspects.registry.Proven(e.now, fp)
}

// trackAttempt counts an attempt on a target as in flight for its fingerprint.
func (e *Entry) trackAttempt(a *activeRequest, tg *target.Target) {
	fp := a.fingerprint()
	if fp == 0 {
		return
	}
	exp := e.suspects.inFlight[fp]
	if exp == nil {
		exp = &inFlightFingerprint{}
		e.suspects.inFlight[fp] = exp
	}
	exp.target = tg
	exp.attempts++
}

// untrackAttempt reverses trackAttempt when an attempt ends.
func (e *Entry) untrackAttempt(a *activeRequest) {
	fp := a.fingerprint()
	exp := e.suspects.inFlight[fp]
	if fp == 0 || exp == nil {
		return
	}
	exp.attempts--
	if exp.attempts == 0 {
		delete(e.suspects.inFlight, fp)
	}
}

// holdRequest keeps a request unsent until a verdict, a trial or its deadline.
func (e *Entry) holdRequest(a *activeRequest) {
	e.removeFromQueue(a)
	e.suspects.held = append(e.suspects.held, a)
	e.incrementCounter(CounterSuspects, "held")
	e.startSuspectTimer()
}

// removeHeld removes and returns the held requests of a fingerprint.
func (e *Entry) removeHeld(fp quarantine.Fingerprint) []*activeRequest {
	var taken []*activeRequest
	e.suspects.held = slices.DeleteFunc(e.suspects.held, func(a *activeRequest) bool {
		if a.fingerprint() != fp {
			return false
		}
		taken = append(taken, a)
		return true
	})
	return taken
}

// resumeHeld sends the held requests of a fingerprint that is no longer
// suspected; those without an attempt go through admission.
func (e *Entry) resumeHeld(fp quarantine.Fingerprint) {
	for _, a := range e.removeHeld(fp) {
		if a.lifecycle.Attempts() == 0 {
			e.sendOrQueue(a)
			continue
		}
		e.dispatch(a)
	}
}

// endQuarantined ends a request whose fingerprint is quarantined: refused if
// nothing was sent, else failed.
func (e *Entry) endQuarantined(a *activeRequest) {
	if proof := a.lifecycle.NotRunProof(); proof.Valid() {
		e.finish(a, request.Refuse(proof, result.Quarantined, 0))
		return
	}
	e.emit(Log{Event: "crash-suspect-ended", Pairs: []string{
		"workspace", a.arrival.Workspace, "fingerprint", strconv.FormatUint(uint64(a.fingerprint()), 16),
	}})
	e.finish(a, request.Fail(result.CrashSuspect))
}

// recordCompleted records a complete answer, which clears its fingerprint.
func (e *Entry) recordCompleted(a *activeRequest) {
	fp := a.fingerprint()
	if e.suspects.registry.RecordCompletion(e.now, fp) {
		e.announceCleared(fp)
		return
	}
	if e.suspects.registry.Proven(e.now, fp) {
		e.resumeHeld(fp)
	}
}

// clearSurvivor clears the fingerprint of a trial that got further, in tokens
// and in time, than every attempt that broke before.
func (e *Entry) clearSurvivor(a *activeRequest) {
	if a.trialIsolation == nil || a.lifecycle.Tokens() <= a.longestBrokenTokens || e.now-a.sentAt <= a.longestBrokenRun {
		return
	}
	if e.suspects.registry.RecordSurvival(e.now, a.fingerprint()) {
		iso := a.trialIsolation
		e.endTrial(a)
		e.dropIsolation(iso.target)
		e.announceCleared(a.fingerprint())
	}
}

// recordBrokenRun records the tokens and the time that an attempt reached
// before it broke.
func (e *Entry) recordBrokenRun(a *activeRequest) {
	a.longestBrokenTokens = max(a.longestBrokenTokens, a.lifecycle.Tokens())
	a.longestBrokenRun = max(a.longestBrokenRun, e.now-a.sentAt)
}

// announceCleared tells peers that a fingerprint was cleared and resumes its
// held requests.
func (e *Entry) announceCleared(fp quarantine.Fingerprint) {
	e.incrementCounter(CounterSuspects, "cleared")
	e.notifySharers(quarantine.Notice{Facts: e.suspects.registry.Facts(e.now, []quarantine.Fingerprint{fp})})
	e.suspects.fingerprintTurns.DropTurns([]quarantine.Fingerprint{fp})
	e.resumeHeld(fp)
}

// releaseEnded removes a request that ended from the suspects. If no other run
// of its fingerprint is in flight, it resumes the requests that waited for this
// one.
func (e *Entry) releaseEnded(a *activeRequest, code result.Code) {
	fp := a.fingerprint()
	if fp == 0 {
		return
	}
	if a.lastTarget != nil && code != result.Complete {
		e.suspects.recentlyCancelled = append(e.suspects.recentlyCancelled, cancelledRun{a.lastTarget, fp, e.now + cancelledWindow})
	}
	e.suspects.held = slices.DeleteFunc(e.suspects.held, func(b *activeRequest) bool { return a == b })
	e.endTrial(a)
	if e.suspects.inFlight[fp] == nil && !e.isUnderInquiry(fp) && e.suspects.registry.State(e.now, fp) == quarantine.Clear {
		e.resumeHeld(fp)
	}
}

// handleTargetDeath marks the requests in flight on a target that died as
// suspects, and tells peers before any of them is tried again.
func (e *Entry) handleTargetDeath(tg *target.Target, incarnation uint64) {
	if incarnation == 0 {
		incarnation = uint64(e.now)
	}
	e.suspects.registry.Expire(e.now)
	fps := e.fingerprintsOn(tg)
	inq := e.suspects.inquiries[tg.Name]
	delete(e.suspects.inquiries, tg.Name)
	e.dropIsolation(tg)
	e.emit(Log{Event: "target-died", Pairs: []string{"target", tg.Name, "suspects", strconv.Itoa(len(fps))}})
	v := e.suspects.registry.RecordDeath(e.now, quarantine.Death{Target: tg.Name, Incarnation: incarnation}, fps)
	if facts := e.suspects.registry.Facts(e.now, fps); len(facts) > 0 {
		e.notifySharers(quarantine.Notice{Facts: facts})
	}
	e.applyVerdicts(v)
	if inq != nil {
		for _, a := range inq.requests {
			if e.requests[a.arrival.Request] == a {
				e.retryAfterDeath(a)
			}
		}
	}
	e.breakAttempts(tg)
}

// breakAttempts ends the attempts in flight on a target that died: their
// connections may stay open for a long time.
func (e *Entry) breakAttempts(tg *target.Target) {
	var ids []request.AttemptID
	for id, a := range e.attempts {
		if a.target == tg {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if e.attempts[id] == nil {
			continue
		}
		e.emit(Cancel{Attempt: id})
		e.handleAttemptEnd(AttemptEnd{Attempt: id, Outcome: OutcomeBroke})
	}
}

// fingerprintsOn returns the fingerprints that are or may be in flight on a
// target, in ascending order.
func (e *Entry) fingerprintsOn(tg *target.Target) []quarantine.Fingerprint {
	var fps []quarantine.Fingerprint
	for _, a := range e.attempts {
		if fp := a.fingerprint(); fp != 0 && a.target == tg {
			fps = append(fps, fp)
		}
	}
	if inq := e.suspects.inquiries[tg.Name]; inq != nil {
		fps = append(fps, inq.fingerprints...)
	}
	e.suspects.recentlyCancelled = slices.DeleteFunc(e.suspects.recentlyCancelled, func(c cancelledRun) bool { return c.until <= e.now })
	for _, c := range e.suspects.recentlyCancelled {
		if c.target == tg {
			fps = append(fps, c.fingerprint)
		}
	}
	slices.Sort(fps)
	return slices.Compact(fps)
}

// applyVerdicts ends the requests of quarantined fingerprints and resumes those
// of cleared ones after clearedResumeDelay.
func (e *Entry) applyVerdicts(v quarantine.StateChanges) {
	e.suspects.fingerprintTurns.DropTurns(v.Quarantined)
	e.suspects.fingerprintTurns.DropTurns(v.Cleared)
	for _, fp := range v.Quarantined {
		e.incrementCounter(CounterSuspects, "quarantined")
		e.emit(Log{Event: "fingerprint-quarantined", Pairs: []string{"fingerprint", strconv.FormatUint(uint64(fp), 16)}})
		for _, a := range e.removeHeld(fp) {
			e.endQuarantined(a)
		}
		e.cancelQuarantined(fp)
	}
	for _, fp := range v.Cleared {
		e.incrementCounter(CounterSuspects, "cleared")
		e.scheduleAfter(clearedResumeDelay, func() {
			if !e.isUnderInquiry(fp) && e.suspects.registry.State(e.now, fp) == quarantine.Clear {
				e.resumeHeld(fp)
			}
		})
	}
}

// cancelQuarantined cancels the attempts of a quarantined fingerprint and fails
// their requests.
func (e *Entry) cancelQuarantined(fp quarantine.Fingerprint) {
	var ids []request.AttemptID
	for id, a := range e.attempts {
		if a.fingerprint() == fp {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		a := e.attempts[id]
		if a == nil {
			continue
		}
		if tg := a.target; tg != nil {
			tg.ReportsUntilTrusted = minInquiryReports // it may just have died
			e.emit(Poll{Target: tg.Name, Address: tg.Address})
		}
		e.emit(Cancel{Attempt: id})
		e.releaseAttempt(a, id)
		a.lifecycle.RecordEnded(id)
		e.finish(a, request.Fail(result.CrashSuspect))
	}
}
