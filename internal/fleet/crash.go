package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlardeck/medlardeck/internal/quarantine"
)

// Detection of requests that crash the targets that run them.
const (
	// targetCheckDelay is the time between a broken run and the check of its target:
	// when a process ends, its connections may close before its listener does.
	targetCheckDelay = 20 * time.Millisecond
	// survivalTime is how long a run has to send events until it counts as survived.
	// A request that crashes its target does so when its answer begins.
	survivalTime = 500 * time.Millisecond
	// crashRepeatTime is how long full messages repeat a crash, in case that earlier
	// messages were lost. maxRepeatedCrashes and maxPendingCrashes bound the crashes in
	// one message, which has to fit a datagram.
	crashRepeatTime    = 3 * fullGossipInterval
	maxRepeatedCrashes = 8
	maxPendingCrashes  = 16
	// quarantineRetryAfter is the Retry-After of a refused request that would crash
	// its target.
	quarantineRetryAfter = time.Minute
)

// reportedCrash is a crash that this instance has told its peers.
type reportedCrash struct {
	quarantine.Crash
	runs quarantine.CrashedRuns
	at   time.Duration
}

// crashSuspects are the runs that may have ended their target.
type crashSuspects struct {
	// brokenAt is the time at which the connection of the first of them broke.
	brokenAt     time.Duration
	fingerprints []quarantine.Fingerprint
	runs         []quarantine.CrashedRun
}

// add adds the current attempt of a request.
func (s *crashSuspects) add(now time.Duration, a *activeRequest) {
	if len(s.fingerprints) == 0 {
		s.brokenAt = now
	}
	s.fingerprints = append(s.fingerprints, a.fingerprints...)
	if duration := s.brokenAt - a.sentAt; duration < quarantine.MaxIncident {
		s.runs = append(s.runs, quarantine.CrashedRun{Fingerprint: a.fingerprints[0], Duration: max(0, duration)})
	}
}

// incarnation identifies one run of a target's process.
type incarnation struct {
	id        string
	startedMS int64
}

func (t *Target) incarnation() incarnation { return incarnation{t.ID, t.StartedMS} }

// targetCheck is a check whether a target has ended, which a broken run alone does not
// show: the connection may have been reset.
type targetCheck struct {
	brokenRuns int           // since the last check
	suspects   crashSuspects // those runs that had not survived yet
	// waiting are the requests that are tried again after the check.
	waiting []*activeRequest
}

// fingerprintsOf returns the fingerprints by which requests that crash targets are
// recognized: that of the whole request, and those of the parts that others share.
func fingerprintsOf(ev *RequestArrived) []quarantine.Fingerprint {
	fingerprints := []quarantine.Fingerprint{quarantine.RequestFingerprint(ev.Fingerprint)}
	for _, part := range ev.SharedParts {
		fingerprints = append(fingerprints, quarantine.PartFingerprint(part))
	}
	return fingerprints
}

// isBlocked reports whether a request must not run, since it would crash its target.
func (c *Core) isBlocked(a *activeRequest) bool {
	if a.trial {
		return false
	}
	admission, fp := c.culprits.Admit(c.now, a.fingerprints, c.ownsTrial)
	switch admission {
	case quarantine.Trial:
		a.trial = true
		c.log("request-on-trial", "request", a.arrival.ID, "fingerprint", formatFingerprint(fp))
	case quarantine.Refused, quarantine.Suspended:
		c.log("request-blocked", "request", a.arrival.ID, "fingerprint", formatFingerprint(fp), "suspended", admission == quarantine.Suspended)
	}
	return admission == quarantine.Refused || admission == quarantine.Suspended
}

// blockedRetryAfter is the Retry-After of a refused request that isBlocked.
func (c *Core) blockedRetryAfter(a *activeRequest) time.Duration {
	if c.admission(a) == quarantine.Suspended {
		return quarantine.MaxIncident
	}
	return quarantineRetryAfter
}

// admission says whether a request may run without a trial.
func (c *Core) admission(a *activeRequest) quarantine.Admission {
	admission, _ := c.culprits.Admit(c.now, a.fingerprints, func(quarantine.Fingerprint) bool { return false })
	return admission
}

// ownsTrial reports whether this instance runs the trials of a fingerprint. All
// instances in touch agree on one, so that a trial ends one target at most.
func (c *Core) ownsTrial(fp quarantine.Fingerprint) bool {
	rank := func(name string) uint64 { return xxhash.Sum64String(name + "/" + formatFingerprint(fp)) }
	for name, p := range c.peers {
		if c.now-p.lastMessageAt <= peerLoadTimeout && rank(name) > rank(c.opts.Name) {
			return false
		}
	}
	return true
}

// recordLongRun records the survival of a run that has sent events for survivalTime.
func (c *Core) recordLongRun(a *activeRequest) {
	if !a.survivalRecorded && c.now-a.firstEventAt >= survivalTime {
		c.recordSurvival(a)
	}
}

// recordSurvival records that the current attempt did not crash its target.
func (c *Core) recordSurvival(a *activeRequest) {
	if a.survivalRecorded {
		return
	}
	a.survivalRecorded = true
	c.recordReleases(c.culprits.RecordSurvival(c.now, a.fingerprints), true)
}

// recordAnswer records the survival of a run that ended with an answer. One that ended
// with its connection may have been cut short by the end of its target.
func (c *Core) recordAnswer(a *activeRequest, ev AttemptEnd) {
	if !ev.EndedByClose {
		c.recordSurvival(a)
	} else if !a.survivalRecorded {
		c.checkBrokenRun(a)
	}
}

// checkBrokenRun checks the target of the current attempt after its connection broke.
// The end of a target that was leaving is no crash. It reports whether the request has
// to wait for the result, since its next run might be the next crash.
func (c *Core) checkBrokenRun(a *activeRequest) (wait bool) {
	target := a.target.Target
	c.log("broken-run", "request", a.arrival.ID, "target", target.ID, "parts", formatParts(a.arrival.SharedParts),
		"event_seen", a.attemptDeliveredEvent)
	if a.target.leaving || a.target.gone {
		return false
	}
	check := c.targetChecks[target.incarnation()]
	if check == nil {
		check = &targetCheck{}
		c.targetChecks[target.incarnation()] = check
		c.afterFunc(targetCheckDelay, func() { c.emit(CheckTarget{target}) })
	}
	check.brokenRuns++
	a.brokenDomains = append(a.brokenDomains, a.target.FailureDomain)
	if a.survivalRecorded || a.attemptDeliveredEvent && c.now-a.firstEventAt >= survivalTime {
		return false
	}
	check.suspects.add(c.now, a)
	if !c.culprits.Suspected(a.fingerprints) {
		return false
	}
	check.waiting = append(check.waiting, a)
	return true
}

// formatParts lists the ids of a prompt's parts for the log.
func formatParts(parts []uint64) string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = strconv.FormatUint(part, 16)
	}
	return strings.Join(ids, ",")
}

func formatFingerprint(fp quarantine.Fingerprint) string { return strconv.FormatUint(uint64(fp), 16) }

// handleTargetChecked records a crash if the target with broken runs has ended.
func (c *Core) handleTargetChecked(ev TargetChecked) {
	c.recordPathCheck(ev)
	check := c.targetChecks[ev.Target.incarnation()]
	if check == nil {
		return
	}
	delete(c.targetChecks, ev.Target.incarnation())
	c.log("target-checked", "target", ev.Target.ID, "result", ev.Result.String(), "broken_runs", check.brokenRuns,
		"suspects", len(check.suspects.fingerprints))
	c.incrementCounter("targets_checked", ev.Result.String())
	if ev.Result == CheckRefused && len(check.suspects.fingerprints) > 0 {
		c.confirmCrash(ev.Target, check.suspects)
	}
	for _, a := range check.waiting {
		if c.requests[a.arrival.Request] == a {
			c.retryOrFail(a, "broken")
		}
	}
}

// reportCrash records a crash that this instance noticed, and tells the peers.
func (c *Core) reportCrash(target Target, suspects crashSuspects) {
	crash := quarantine.Crash{
		Death:         quarantine.Death{Target: target.ID, Incarnation: uint64(target.StartedMS)},
		FailureDomain: target.FailureDomain, Age: c.now - suspects.brokenAt,
		Suspects: c.culprits.SelectSuspects(suspects.fingerprints),
	}
	runs := quarantine.CrashedRuns{Death: crash.Death, Runs: quarantine.SelectRuns(suspects.runs)}
	c.reportedCrashes = append(c.reportedCrashes, reportedCrash{crash, runs, suspects.brokenAt})
	news := c.pendingNews()
	if len(news.Crashes) < maxPendingCrashes {
		news.addCrash(crash, runs)
	}
	for _, fp := range c.recordCrash(crash, runs.Runs) {
		c.announceVerdict(fp)
	}
}

// recordCrash records a crash, here or at a peer, and returns the fingerprints that are
// blocked since.
func (c *Core) recordCrash(crash quarantine.Crash, runs []quarantine.CrashedRun) []quarantine.Fingerprint {
	changes := c.culprits.RecordCrash(c.now, crash, runs...)
	c.recordChanges(changes, crash.Death.Target)
	c.awaitIncidentsEnd()
	return changes.Quarantined
}

// awaitIncidentsEnd has endIncidents called once all incidents have ended.
func (c *Core) awaitIncidentsEnd() {
	if left := c.culprits.UntilIncidentsEnd(c.now); left > 0 && !c.incidentTimer {
		c.incidentTimer = true
		c.afterFunc(left, c.endIncidents)
	}
}

// endIncidents blocks the fingerprints that have turned out to be the cause of an incident.
func (c *Core) endIncidents() {
	c.incidentTimer = false
	c.awaitIncidentsEnd()
	changes := c.culprits.EndIncidents(c.now)
	c.recordChanges(changes, "")
	for _, fp := range changes.Quarantined {
		if slices.ContainsFunc(c.reportedCrashes, func(crash reportedCrash) bool { return slices.Contains(crash.Suspects, fp) }) {
			c.announceVerdict(fp)
		}
	}
}

// announceVerdict tells the peers that a fingerprint is blocked.
func (c *Core) announceVerdict(fp quarantine.Fingerprint) {
	c.announcedVerdicts[fp] = true
	news := c.pendingNews()
	news.Verdicts = append(news.Verdicts, quarantine.Verdict{Fingerprint: fp})
}

// recordChanges records which fingerprints are blocked, and which no longer. The target is
// that of the crash that has brought it about, empty for the end of an incident.
func (c *Core) recordChanges(changes quarantine.StateChanges, target string) {
	for _, fp := range changes.Quarantined {
		c.log("fingerprint-blocked", "fingerprint", formatFingerprint(fp), "target", target)
		c.incrementCounter("fingerprints", "blocked")
	}
	c.recordReleases(changes.Cleared, false)
}

// recordReleases records that fingerprints are no longer blocked. The peers are told
// if they can't know, or if this instance told them of the verdict: those that hear of
// a survival answer only the instance that has stated the verdict.
func (c *Core) recordReleases(released []quarantine.Fingerprint, ownSurvival bool) {
	for _, fp := range released {
		c.log("fingerprint-released", "fingerprint", formatFingerprint(fp))
		c.incrementCounter("fingerprints", "released")
		if ownSurvival || c.announcedVerdicts[fp] {
			news := c.pendingNews()
			news.Survivals = append(news.Survivals, c.culprits.LastSurvival(c.now, fp))
		}
		delete(c.announcedVerdicts, fp)
	}
}
