package entry

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/target"
)

// isolationTTL bounds how long a peer's isolation of a target holds after its
// last notice.
const isolationTTL = 30 * time.Second

// maxDoubted bounds the memory of deaths that peers told of.
const maxDoubted = 1024

// maxSharers is the largest number of instances told directly in all failure
// domains. Larger deployments tell their own failure domain only.
const maxSharers = 64

// sharers returns the live instances that may use the same targets: every
// failure domain's, up to maxSharers, else those of the own one.
func (e *Entry) sharers() []string {
	var own, all []string
	for _, domain := range e.members.Domains() {
		for _, f := range e.members.Live(domain) {
			if f.Name == e.opts.Name {
				continue
			}
			all = append(all, f.Name)
			if domain == e.opts.FailureDomain {
				own = append(own, f.Name)
			}
		}
	}
	if len(all) > maxSharers {
		return own
	}
	return all
}

// notify tells the instances that may use the same targets.
func (e *Entry) notify(n quarantine.Notice) {
	msg := Message{Quarantine: &n}
	peers := e.sharers()
	if len(peers) > maxSharers {
		e.broadcast(msg)
		return
	}
	for _, name := range peers {
		e.sendPeer(name, msg)
	}
}

// tellSuspects tells a new peer everything.
func (e *Entry) tellSuspects(peer string) {
	facts := e.suspects.registry.All(e.now)
	if len(facts) > 0 {
		e.sendPeer(peer, Message{Quarantine: &quarantine.Notice{Facts: facts}})
	}
}

func (e *Entry) noticed(peer string, n quarantine.Notice) {
	for _, f := range n.Facts {
		e.doubt(f.Marks)
	}
	e.applyVerdicts(e.suspects.registry.Learn(e.now, n.Facts))
	e.peerIsolations(n)
	e.suspects.fingerprintTurns.Released(peer, n.Done)
	e.suspects.targetTurns.Released(peer, n.Released)
	if n.Ask != 0 {
		e.answerAsk(peer, n)
	}
	if n.Answer != 0 {
		e.handleGrantedTurns(e.suspects.fingerprintTurns.Answered(n.Answer, peer, n.Busy))
	}
	if n.AskTarget != 0 {
		e.answerAskTarget(peer, n)
	}
	if n.AnswerTarget != 0 {
		var busy []string
		if n.TargetBusy {
			busy = []string{n.Target}
		}
		e.handleIsolationAnswers(e.suspects.targetTurns.Answered(n.AnswerTarget, peer, busy))
	}
}

// answerAskTarget stops new work to a target that a peer wants to isolate,
// unless this instance isolates it.
func (e *Entry) answerAskTarget(peer string, n quarantine.Notice) {
	never := func(string) bool { return false }
	busy := len(e.suspects.targetTurns.Requested(e.now, peer, []string{n.Target}, never)) > 0
	if !busy {
		e.yieldIsolation(n.Target)
		e.peerIsolations(quarantine.Notice{Isolated: []string{n.Target}})
	}
	e.sendPeer(peer, Message{Quarantine: &quarantine.Notice{AnswerTarget: n.AskTarget, Target: n.Target, TargetBusy: busy}})
}

// doubt keeps new work from targets that a peer saw die, until they show that
// they live. Work in flight there goes on.
func (e *Entry) doubt(marks []quarantine.Mark) {
	for _, m := range marks {
		tg := e.targets.Get(m.Death.Target)
		if tg == nil || tg.Dead || tg.Report.Incarnation != m.Death.Incarnation || e.suspects.doubtedDeaths[m.Death] {
			continue
		}
		if len(e.suspects.doubtedDeaths) >= maxDoubted {
			clear(e.suspects.doubtedDeaths)
		}
		e.suspects.doubtedDeaths[m.Death] = true
		tg.Doubts = inquiryReports
		e.emit(Poll{Target: tg.Name, Address: tg.Address})
	}
}

func (e *Entry) answerAsk(peer string, n quarantine.Notice) {
	busy := e.suspects.fingerprintTurns.Requested(e.now, peer, n.Fingerprints, e.inFlight)
	e.sendPeer(peer, Message{Quarantine: &quarantine.Notice{
		Answer: n.Ask, Busy: busy, Facts: e.suspects.registry.Facts(e.now, n.Fingerprints),
	}})
}

// inFlight reports whether this instance runs the fingerprint, or does not yet
// know how a run of it ended.
func (e *Entry) inFlight(fp quarantine.Fingerprint) bool {
	return e.suspects.inFlight[fp] != nil || e.inquired(fp)
}

func (e *Entry) peerIsolations(n quarantine.Notice) {
	for _, name := range n.Isolated {
		if tg := e.targets.Get(name); tg != nil && !e.isolates(tg) {
			tg.Isolated, tg.IsolatedUntil = true, e.now+isolationTTL
			e.scheduleAfter(isolationTTL, func() { e.endPeerIsolation(tg) })
		}
	}
	for _, name := range n.Released {
		if tg := e.targets.Get(name); tg != nil && !e.isolates(tg) {
			tg.Isolated = false
		}
	}
}

func (e *Entry) endPeerIsolation(tg *target.Target) {
	if !e.isolates(tg) && tg.IsolatedUntil <= e.now {
		tg.Isolated = false
	}
}

func (e *Entry) isolates(tg *target.Target) bool {
	return slices.ContainsFunc(e.suspects.isolations, func(i *isolation) bool { return i.target == tg })
}
