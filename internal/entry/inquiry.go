package entry

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Limits of an inquiry into the death of a target.
const (
	// inquiryTimeout is how long a target may take to prove that it is alive.
	inquiryTimeout = 2 * time.Second
	// minInquiryReports is the number of load reports that prove it: the first may
	// have left the target before the attempt broke.
	minInquiryReports = 2
)

// inquiry determines whether a target died after an attempt on it broke. Its
// requests are not tried again before that is known.
type inquiry struct {
	target       *target.Target
	fingerprints []quarantine.Fingerprint
	requests     []*activeRequest
	reports      int
}

// retryAfterInquiry retries a request whose attempt broke, once it is known
// whether its target died.
func (e *Entry) retryAfterInquiry(a *activeRequest) {
	fp, tg := a.fingerprint(), a.lastTarget
	if fp == 0 || e.targets.Get(tg.Name) != tg {
		e.retry(a, string(OutcomeBroke))
		return
	}
	if tg.NotListening || tg.Unresponsive || a.sentIncarnation != 0 && tg.Report.Incarnation != a.sentIncarnation {
		e.retryAfterDeath(a) // the death was recorded when it was noticed
		return
	}
	inq := e.suspects.inquiries[tg.Name]
	if inq == nil {
		inq = &inquiry{target: tg}
		e.suspects.inquiries[tg.Name] = inq
		e.emit(Poll{Target: tg.Name, Address: tg.Address})
		e.scheduleAfter(inquiryTimeout, func() { e.handleInquiryTimeout(inq) })
	}
	inq.fingerprints = append(inq.fingerprints, fp)
	inq.requests = append(inq.requests, a)
}

// isUnderInquiry reports whether a run of the fingerprint broke and it is not
// yet known whether its target died.
func (e *Entry) isUnderInquiry(fp quarantine.Fingerprint) bool {
	for _, inq := range e.suspects.inquiries {
		if slices.Contains(inq.fingerprints, fp) {
			return true
		}
	}
	return false
}

// recordInquiryReport counts a report of the incarnation that the attempts ran
// on. The last one needed ends the inquiry and retries its requests.
func (e *Entry) recordInquiryReport(tg *target.Target) {
	inq := e.suspects.inquiries[tg.Name]
	if inq == nil {
		return
	}
	inq.reports++
	if inq.reports < minInquiryReports {
		e.emit(Poll{Target: tg.Name, Address: tg.Address})
		return
	}
	delete(e.suspects.inquiries, tg.Name)
	for _, a := range inq.requests {
		if e.requests[a.arrival.Request] == a {
			e.retry(a, string(OutcomeBroke))
		}
	}
	for _, fp := range inq.fingerprints {
		if e.suspects.inFlight[fp] == nil && e.suspects.registry.State(e.now, fp) == quarantine.Clear {
			e.resumeHeld(fp)
		}
	}
}

// retryAfterDeath retries a request whose attempt broke because its target died,
// or gives it up if it has no attempts left. It takes nothing from the retry
// budget: suspects run one at a time anyway, and the other requests did not cause
// the death.
func (e *Entry) retryAfterDeath(a *activeRequest) {
	if !a.hasAttemptsLeft() {
		e.giveUp(a, result.TargetsRefused)
		return
	}
	e.incrementCounter(CounterRetries, string(target.ReasonDied))
	e.dispatch(a)
}

// handleInquiryTimeout treats a target that did not report in time as dead.
func (e *Entry) handleInquiryTimeout(inq *inquiry) {
	if e.suspects.inquiries[inq.target.Name] == inq {
		e.eject(inq.target, target.ReasonPollsUnanswered)
		e.handleTargetDeath(inq.target, inq.target.Report.Incarnation)
	}
}
