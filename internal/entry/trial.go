package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/routing"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Times and limits of trials. A trial runs a suspected request alone on an
// isolated target, so that a death of the target can only be its fault.
const (
	// suspectInterval is the time between two rounds of processSuspects.
	suspectInterval = 200 * time.Millisecond
	// agreementTimeout is how long peers may take to agree to a trial or an
	// isolation. A peer that takes longer counts as unreachable, and so as one
	// that agrees.
	agreementTimeout = 500 * time.Millisecond
	// isolationSettleDelay is the time after which requests that peers sent to a
	// target before they agreed to its isolation show in its load reports.
	isolationSettleDelay = 200 * time.Millisecond
	// isolationDrainTimeout is how long an isolated target may take to finish its
	// other requests. After it, an idle target is isolated instead if there is
	// one.
	isolationDrainTimeout = time.Second
	// isolationNoticeInterval is the time between the notices that keep an
	// isolation from expiring at peers.
	isolationNoticeInterval = isolationTTL / 3
	// targetsPerIsolation limits the isolated targets of a model to one in so
	// many, at least one.
	targetsPerIsolation = 4
)

// isolation keeps a target free of other requests, so that a suspect can run
// there alone.
type isolation struct {
	target       *target.Target
	agreed       bool           // by all peers that answered in time
	settledAt    time.Duration  // when earlier requests of peers have arrived
	trial        *activeRequest // the suspect that runs there, or nil
	lastNoticeAt time.Duration
}

// startSuspectTimer starts processSuspects unless it is already running.
func (e *Entry) startSuspectTimer() {
	if e.suspects.timerSet {
		return
	}
	e.suspects.timerSet = true
	e.scheduleAfter(0, e.processSuspects)
}

// processSuspects requests turns for held suspects, starts trials and maintains
// isolations, again and again until there are no held suspects and no
// isolations.
func (e *Entry) processSuspects() {
	e.requestTurns()
	e.startTrials()
	e.maintainIsolations()
	if len(e.suspects.held) == 0 && len(e.suspects.isolations) == 0 {
		e.suspects.timerSet = false
		return
	}
	e.scheduleAfter(suspectInterval, e.processSuspects)
}

// requestTurns asks peers for the turn of each held suspect: the right to be
// the only instance that runs its fingerprint.
func (e *Entry) requestTurns() {
	var fps []quarantine.Fingerprint
	for _, a := range e.suspects.held {
		fp := a.fingerprint()
		if e.suspects.registry.State(e.now, fp) == quarantine.Suspect && !e.isInFlight(fp) &&
			e.suspects.fingerprintTurns.CanRequest(e.now, fp, e.isLivePeer) {
			fps = append(fps, fp)
		}
	}
	slices.Sort(fps)
	fps = slices.Compact(fps)
	if len(fps) == 0 {
		return
	}
	peers := e.targetSharers()
	id := e.suspects.fingerprintTurns.Request(fps, peers)
	if len(peers) == 0 {
		e.handleGrantedTurns(e.suspects.fingerprintTurns.CloseRequest(id))
		return
	}
	notice := quarantine.Notice{Ask: id, Fingerprints: fps, Facts: e.suspects.registry.Facts(e.now, fps)}
	for _, name := range peers {
		e.sendPeer(name, Message{Quarantine: &notice})
	}
	e.scheduleAfter(agreementTimeout, func() { e.handleGrantedTurns(e.suspects.fingerprintTurns.CloseRequest(id)) })
}

// isLivePeer reports whether the named instance lives and may use the same
// targets.
func (e *Entry) isLivePeer(name string) bool { return slices.Contains(e.targetSharers(), name) }

// handleGrantedTurns starts trials with the turns that peers granted and
// releases those that are no longer needed. Turns that were denied are
// requested again at the next tick.
func (e *Entry) handleGrantedTurns(granted, _ []quarantine.Fingerprint) {
	for _, fp := range granted {
		if e.suspects.registry.State(e.now, fp) != quarantine.Suspect {
			e.releaseTurn(fp)
		}
	}
	e.startTrials()
}

// releaseTurn gives up the turn of a fingerprint, if this instance has it, and
// tells peers.
func (e *Entry) releaseTurn(fp quarantine.Fingerprint) {
	if e.suspects.fingerprintTurns.Release(fp) {
		e.notifySharers(quarantine.Notice{Done: []quarantine.Fingerprint{fp}})
	}
}

// startTrials starts the suspects whose turn this instance has, one of each
// fingerprint, on isolated targets. The earliest deadline goes first, then the
// request with the fewest tokens: it is the likeliest to have caused the death,
// and its verdict clears the others.
func (e *Entry) startTrials() {
	var ready []*activeRequest
	for _, a := range e.suspects.held {
		fp := a.fingerprint()
		same := func(b *activeRequest) bool { return b.fingerprint() == fp }
		if e.suspects.fingerprintTurns.HasTurn(fp) && e.suspects.inFlight[fp] == nil && !slices.ContainsFunc(ready, same) {
			ready = append(ready, a)
		}
	}
	slices.SortStableFunc(ready, func(a, b *activeRequest) int {
		return cmp.Or(cmp.Compare(a.lifecycle.Deadline(), b.lifecycle.Deadline()), cmp.Compare(a.lifecycle.Tokens(), b.lifecycle.Tokens()))
	})
	for _, a := range ready {
		if e.needsGroup(a) {
			e.startGroupTrial(a)
			continue
		}
		if iso := e.findIsolation(a); iso != nil && iso.trial == nil && e.isIsolationDrained(iso) {
			e.startTrial(a, iso)
		}
	}
}

// startGroupTrial runs a suspect that needs a group of engines. It needs its
// turn, but its engines are not isolated: that would take a large part of them
// out of use.
func (e *Entry) startGroupTrial(a *activeRequest) {
	e.suspects.held = slices.DeleteFunc(e.suspects.held, func(b *activeRequest) bool { return a == b })
	e.incrementCounter(CounterSuspects, "lone-group")
	a.groupTrial = true
	e.startGroupRun(a)
}

// startTrial sends a suspect to the isolated target, on which nothing else
// runs.
func (e *Entry) startTrial(a *activeRequest, iso *isolation) {
	e.suspects.held = slices.DeleteFunc(e.suspects.held, func(b *activeRequest) bool { return a == b })
	a.trialIsolation, iso.trial = iso, a
	e.incrementCounter(CounterSuspects, "lone-run")
	e.sendAttempt(a, routing.Choice{Target: iso.target, PrefillTokens: a.need.PromptTokens})
}

// findIsolation returns an isolation that is free for the request, or a new one
// if the limit of isolated targets allows it, or nil. An isolation whose target
// takes too long to drain is dropped if another candidate is idle.
func (e *Entry) findIsolation(a *activeRequest) *isolation {
	candidates := a.candidates()
	for _, iso := range e.suspects.isolations {
		if iso.trial != nil || iso.target.Leaving() || iso.target.Ejected() || !slices.Contains(candidates, iso.target) {
			continue
		}
		if !e.isDrainOverdue(iso) || !slices.ContainsFunc(candidates, isIdle) {
			return iso
		}
		e.dropIsolation(iso.target)
		break
	}
	var best *target.Target
	usable, isolated := 0, 0
	for _, tg := range candidates {
		if tg.Isolated {
			isolated++
		}
		if !tg.Usable() {
			continue
		}
		usable++
		if best == nil || compareLoad(tg, best) < 0 {
			best = tg
		}
	}
	if usable < 2 || isolated >= max(1, len(candidates)/targetsPerIsolation) {
		return nil
	}
	return e.isolateTarget(best)
}

// isolateTarget stops sending new work to a target and asks peers to do the
// same.
func (e *Entry) isolateTarget(tg *target.Target) *isolation {
	iso := &isolation{target: tg, lastNoticeAt: e.now}
	tg.Isolated = true
	e.suspects.isolations = append(e.suspects.isolations, iso)
	peers := e.targetSharers()
	id := e.suspects.targetTurns.Request([]string{tg.Name}, peers)
	if len(peers) == 0 {
		e.handleIsolationAnswers(e.suspects.targetTurns.CloseRequest(id))
		return iso
	}
	for _, name := range peers {
		e.sendPeer(name, Message{Quarantine: &quarantine.Notice{AskTarget: id, Target: tg.Name}})
	}
	e.scheduleAfter(agreementTimeout, func() { e.handleIsolationAnswers(e.suspects.targetTurns.CloseRequest(id)) })
	return iso
}

// handleIsolationAnswers records the isolations that peers agreed to and gives
// up those that they denied.
func (e *Entry) handleIsolationAnswers(granted, denied []string) {
	for _, iso := range slices.Clone(e.suspects.isolations) {
		if slices.Contains(granted, iso.target.Name) {
			iso.agreed = true
			iso.settledAt = e.now
			if len(e.targetSharers()) > 0 {
				iso.settledAt += isolationSettleDelay
			}
		}
		if slices.Contains(denied, iso.target.Name) {
			e.yieldIsolation(iso.target.Name)
		}
	}
	for _, name := range granted {
		if tg := e.targets.Get(name); tg == nil || !e.isIsolating(tg) { // dropped before all peers answered
			e.suspects.targetTurns.DropTurns([]string{name})
			e.notifySharers(quarantine.Notice{Released: []string{name}})
		}
	}
}

// yieldIsolation drops this instance's isolation of a target in favour of a
// peer that isolates it. The target stays isolated until the peer's isolation
// ends.
func (e *Entry) yieldIsolation(name string) {
	e.suspects.isolations = slices.DeleteFunc(e.suspects.isolations, func(i *isolation) bool {
		if i.target.Name != name {
			return false
		}
		i.target.IsolatedUntil = e.now + isolationTTL
		e.scheduleAfter(isolationTTL, func() { e.endPeerIsolation(i.target) })
		return true
	})
}

// isDrainOverdue reports whether an isolated target still runs other requests
// isolationDrainTimeout after all peers agreed to send it none.
func (e *Entry) isDrainOverdue(iso *isolation) bool {
	return iso.agreed && e.now > iso.settledAt+isolationDrainTimeout && !e.isIsolationDrained(iso)
}

// isIdle reports whether a target is usable and no request is known to run on
// it.
func isIdle(tg *target.Target) bool {
	return tg.Usable() && tg.Outstanding == 0 && knownLoad(tg) == targetLoad{}
}

// targetLoad is the known work that has to end before a target is free: memory
// in tokens, and running or queued requests.
type targetLoad struct{ memory, requests int }

// knownLoad returns the memory that the target reports, in tokens, and the number of
// its requests: this instance's outstanding attempts or the running and queued
// requests that the target reports, whichever are more.
func knownLoad(tg *target.Target) targetLoad {
	return targetLoad{
		memory:   tg.Report.KVUsedTokens + tg.Report.KVHeldTokens,
		requests: max(tg.Outstanding, tg.Report.Running+tg.Report.Queued),
	}
}

// compareLoad orders targets by memory in use, then by requests.
func compareLoad(a, b *target.Target) int {
	x, y := knownLoad(a), knownLoad(b)
	return cmp.Or(cmp.Compare(x.memory, y.memory), cmp.Compare(x.requests, y.requests))
}

// isIsolationDrained reports whether nothing else runs on an isolated target. A target
// that sends load reports has to say so itself, in a report from after the
// isolation settled.
func (e *Entry) isIsolationDrained(iso *isolation) bool {
	rep := iso.target.Report
	if !iso.agreed || e.now < iso.settledAt || iso.target.Outstanding > 0 || e.suspects.inquiries[iso.target.Name] != nil {
		return false
	}
	return rep.Incarnation == 0 || iso.target.ReportedAt() >= iso.settledAt && rep.Running == 0 && rep.Queued == 0
}

// maintainIsolations drops isolations that no held suspect needs, polls the
// targets of the others and renews the isolations at peers.
func (e *Entry) maintainIsolations() {
	for _, iso := range slices.Clone(e.suspects.isolations) {
		switch {
		case iso.trial != nil:
		case !e.isIsolationNeeded(iso) || iso.target.Leaving() || iso.target.Ejected():
			e.dropIsolation(iso.target)
			continue
		case iso.target.Report.Incarnation != 0:
			e.emit(Poll{Target: iso.target.Name, Address: iso.target.Address})
		}
		if iso.agreed && e.now-iso.lastNoticeAt >= isolationNoticeInterval {
			iso.lastNoticeAt = e.now
			e.notifySharers(quarantine.Notice{Isolated: []string{iso.target.Name}})
		}
	}
}

// isIsolationNeeded reports whether a held suspect whose turn this instance has
// may run on the isolated target.
func (e *Entry) isIsolationNeeded(iso *isolation) bool {
	return slices.ContainsFunc(e.suspects.held, func(a *activeRequest) bool {
		return e.suspects.fingerprintTurns.HasTurn(a.fingerprint()) && slices.Contains(a.candidates(), iso.target)
	})
}

// endTrial releases the turn and the isolated target of a trial; it does
// nothing for other requests.
func (e *Entry) endTrial(a *activeRequest) {
	if a.trialIsolation == nil && !a.groupTrial {
		return
	}
	if a.trialIsolation != nil {
		a.trialIsolation.trial = nil
	}
	a.trialIsolation, a.groupTrial = nil, false
	e.releaseTurn(a.fingerprint())
	e.startSuspectTimer()
}

// dropIsolation ends this instance's isolation of a target, if any, and tells
// peers.
func (e *Entry) dropIsolation(tg *target.Target) {
	n := len(e.suspects.isolations)
	e.suspects.isolations = slices.DeleteFunc(e.suspects.isolations, func(i *isolation) bool { return i.target == tg })
	if len(e.suspects.isolations) < n {
		tg.Isolated = false
		e.suspects.targetTurns.DropTurns([]string{tg.Name})
		e.notifySharers(quarantine.Notice{Released: []string{tg.Name}})
	}
}
