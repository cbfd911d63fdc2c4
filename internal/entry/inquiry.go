package entry

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Limits of an inquiry.
const (
	// inquiryTimeout is how long a target may take to show that it lives.
	inquiryTimeout = 2 * time.Second
	// inquiryReports is the number of reports that show it: the first may have
	// left the target before the attempt broke.
	inquiryReports = 2
)

// inquiry asks whether a target died after an attempt on it broke. Its
// requests are not tried again before the answer.
type inquiry struct {
	target       *target.Target
	fingerprints []quarantine.Fingerprint
	requests     []*activeRequest
	reports      int
}

// retryBroken tries a request again whose attempt broke, once it is known
// whether its target died.
func (e *Entry) retryBroken(a *activeRequest) {
	fp, tg := a.fingerprint(), a.lastTarget
	if fp == 0 || e.targets.Get(tg.Name) != tg {
		e.retry(a, string(EndBroke))
		return
	}
	if tg.Dead || tg.Lost || a.sentIncarnation != 0 && tg.Report.Incarnation != a.sentIncarnation {
		e.afterDeath(a) // the death was recorded when it was noticed
		return
	}
	inq := e.suspects.inquiries[tg.Name]
	if inq == nil {
		inq = &inquiry{target: tg}
		e.suspects.inquiries[tg.Name] = inq
		e.emit(Poll{Target: tg.Name, Address: tg.Address})
		e.scheduleAfter(inquiryTimeout, func() { e.inquiryUnanswered(inq) })
	}
	inq.fingerprints = append(inq.fingerprints, fp)
	inq.requests = append(inq.requests, a)
}

// inquired reports whether an inquiry into a run of the fingerprint is open.
func (e *Entry) inquired(fp quarantine.Fingerprint) bool {
	for _, inq := range e.suspects.inquiries {
		if slices.Contains(inq.fingerprints, fp) {
			return true
		}
	}
	return false
}

// inquiryReported takes a report of the incarnation that the attempts ran on.
func (e *Entry) inquiryReported(tg *target.Target) {
	inq := e.suspects.inquiries[tg.Name]
	if inq == nil {
		return
	}
	inq.reports++
	if inq.reports < inquiryReports {
		e.emit(Poll{Target: tg.Name, Address: tg.Address})
		return
	}
	delete(e.suspects.inquiries, tg.Name)
	for _, a := range inq.requests {
		if e.requests[a.arrival.Request] == a {
			e.retry(a, string(EndBroke))
		}
	}
	for _, fp := range inq.fingerprints {
		if e.suspects.inFlight[fp] == nil && e.suspects.registry.State(e.now, fp) == quarantine.Clear {
			e.resumeHeld(fp)
		}
	}
}

// afterDeath tries a request again whose target ended. It takes nothing from
// the retry budget: suspects run one at a time anyway, and the others did
// nothing to cause it.
func (e *Entry) afterDeath(a *activeRequest) {
	if !a.hasAttemptsLeft() {
		e.giveUp(a, result.TargetsRefused)
		return
	}
	e.incrementCounter(CounterRetries, string(target.ReasonDied))
	e.dispatch(a)
}

// inquiryUnanswered takes a target that does not answer for dead.
func (e *Entry) inquiryUnanswered(inq *inquiry) {
	if e.suspects.inquiries[inq.target.Name] == inq {
		e.eject(inq.target, target.ReasonUnreported)
		e.handleTargetDeath(inq.target, inq.target.Report.Incarnation)
	}
}
