package entry

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/target"
)

// isolationTTL is how long a peer's isolation of a target lasts after its last
// notice.
const isolationTTL = 30 * time.Second

// maxDoubtedDeaths bounds the memory of deaths that peers reported.
const maxDoubtedDeaths = 1024

// maxDirectSharers is the largest number of instances, in all failure domains,
// that each get notices. Larger deployments send them only within the failure
// domain.
const maxDirectSharers = 64

// targetSharers returns the live instances that may use the same targets: those
// of all failure domains, or beyond maxDirectSharers those of the own one.
func (e *Entry) targetSharers() []string {
	var own, all []string
	for _, domain := range e.members.Domains() {
		for _, f := range e.members.LiveInDomain(domain) {
			if f.Name == e.opts.Name {
				continue
			}
			all = append(all, f.Name)
			if domain == e.opts.FailureDomain {
				own = append(own, f.Name)
			}
		}
	}
	if len(all) > maxDirectSharers {
		return own
	}
	return all
}

// notifySharers sends a notice to the instances that may use the same targets.
func (e *Entry) notifySharers(n quarantine.Notice) {
	msg := Message{Quarantine: &n}
	peers := e.targetSharers()
	if len(peers) > maxDirectSharers {
		e.broadcast(msg)
		return
	}
	for _, name := range peers {
		e.sendPeer(name, msg)
	}
}

// sendSuspects sends all known suspects to a peer that joined.
func (e *Entry) sendSuspects(peer string) {
	facts := e.suspects.registry.All(e.now)
	if len(facts) > 0 {
		e.sendPeer(peer, Message{Quarantine: &quarantine.Notice{Facts: facts}})
	}
}

// handleNotice merges the facts of a peer's notice, then handles its questions
// and answers about turns and isolations.
func (e *Entry) handleNotice(peer string, n quarantine.Notice) {
	for _, f := range n.Facts {
		e.doubtTargets(f.Marks)
	}
	e.applyVerdicts(e.suspects.registry.MergeFacts(e.now, n.Facts))
	e.applyPeerIsolations(n)
	e.suspects.fingerprintTurns.HandleRelease(peer, n.Done)
	e.suspects.targetTurns.HandleRelease(peer, n.Released)
	if n.Ask != 0 {
		e.answerTurnRequest(peer, n)
	}
	if n.Answer != 0 {
		e.handleGrantedTurns(e.suspects.fingerprintTurns.HandleAnswer(n.Answer, peer, n.Busy))
	}
	if n.AskTarget != 0 {
		e.answerIsolationRequest(peer, n)
	}
	if n.AnswerTarget != 0 {
		var busy []string
		if n.TargetBusy {
			busy = []string{n.Target}
		}
		e.handleIsolationAnswers(e.suspects.targetTurns.HandleAnswer(n.AnswerTarget, peer, busy))
	}
}

// answerIsolationRequest stops sending new work to a target that a peer wants
// to isolate, unless this instance isolates it.
func (e *Entry) answerIsolationRequest(peer string, n quarantine.Notice) {
	never := func(string) bool { return false }
	busy := len(e.suspects.targetTurns.HandleRequest(e.now, peer, []string{n.Target}, never)) > 0
	if !busy {
		e.yieldIsolation(n.Target)
		e.applyPeerIsolations(quarantine.Notice{Isolated: []string{n.Target}})
	}
	e.sendPeer(peer, Message{Quarantine: &quarantine.Notice{AnswerTarget: n.AskTarget, Target: n.Target, TargetBusy: busy}})
}

// doubtTargets stops sending new work to targets whose death a peer observed,
// until they prove that they are alive. Work in flight there continues.
func (e *Entry) doubtTargets(marks []quarantine.Mark) {
	for _, m := range marks {
		tg := e.targets.Get(m.Death.Target)
		if tg == nil || tg.NotListening || tg.Report.Incarnation != m.Death.Incarnation || e.suspects.doubtedDeaths[m.Death] {
			continue
		}
		if len(e.suspects.doubtedDeaths) >= maxDoubtedDeaths {
			clear(e.suspects.doubtedDeaths)
		}
		e.suspects.doubtedDeaths[m.Death] = true
		tg.ReportsUntilTrusted = minInquiryReports
		e.emit(Poll{Target: tg.Name, Address: tg.Address})
	}
}

// answerTurnRequest tells a peer for which of the fingerprints it may not take
// the turn.
func (e *Entry) answerTurnRequest(peer string, n quarantine.Notice) {
	busy := e.suspects.fingerprintTurns.HandleRequest(e.now, peer, n.Fingerprints, e.isInFlight)
	e.sendPeer(peer, Message{Quarantine: &quarantine.Notice{
		Answer: n.Ask, Busy: busy, Facts: e.suspects.registry.Facts(e.now, n.Fingerprints),
	}})
}

// isInFlight reports whether this instance runs the fingerprint, or does not
// yet know how a run of it ended.
func (e *Entry) isInFlight(fp quarantine.Fingerprint) bool {
	return e.suspects.inFlight[fp] != nil || e.isUnderInquiry(fp)
}

// applyPeerIsolations stops sending new work to the targets that a peer
// isolates and allows it again for those that it released.
func (e *Entry) applyPeerIsolations(n quarantine.Notice) {
	for _, name := range n.Isolated {
		if tg := e.targets.Get(name); tg != nil && !e.isIsolating(tg) {
			tg.Isolated, tg.IsolatedUntil = true, e.now+isolationTTL
			e.scheduleAfter(isolationTTL, func() { e.endPeerIsolation(tg) })
		}
	}
	for _, name := range n.Released {
		if tg := e.targets.Get(name); tg != nil && !e.isIsolating(tg) {
			tg.Isolated = false
		}
	}
}

// endPeerIsolation ends a peer's isolation of a target that was not renewed in
// time.
func (e *Entry) endPeerIsolation(tg *target.Target) {
	if !e.isIsolating(tg) && tg.IsolatedUntil <= e.now {
		tg.Isolated = false
	}
}

// isIsolating reports whether this instance isolates the target.
func (e *Entry) isIsolating(tg *target.Target) bool {
	return slices.ContainsFunc(e.suspects.isolations, func(i *isolation) bool { return i.target == tg })
}
