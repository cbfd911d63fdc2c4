package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of Culprits.
const (
	// culpritIncidents is the number of crashes that a fingerprint has to explain to be
	// blocked, and provenIncidents that of a fingerprint with which runs have survived.
	culpritIncidents = 3
	provenIncidents  = 5
	// rivalMargin is the number of crashes by which another explanation has to be
	// better than that by a blocked fingerprint to replace it.
	rivalMargin = 2
	// Crashes in one failure domain with gaps of up to incidentGap, within
	// MaxIncident, are one incident: they may have another common cause.
	incidentGap = 250 * time.Millisecond
	MaxIncident = time.Second
	// reportDelay is how much later than its sender an instance may date a crash that it
	// is told of.
	reportDelay = 10 * time.Millisecond
	// TrialInterval is the time between two trial runs of a blocked fingerprint.
	TrialInterval = SuspectTTL
	// maxCrashes, maxSuspects and maxVerdicts limit what is kept: crashes, suspects of
	// one crash, and blocked fingerprints.
	maxCrashes  = 128
	maxSuspects = 192
	maxVerdicts = 256
	// maxCrashedRuns limits the runs of one crash that are told.
	maxCrashedRuns = 64
	// expiryInterval is the time between two removals of expired entries.
	expiryInterval = 10 * time.Second
)

// Crash is the end of a target with the fingerprints of the runs that may have caused
// it. Reports of the same death add up.
type Crash struct {
	_             struct{} `cbor:",toarray"`
	Death         Death
	FailureDomain string
	// Age is the time since the crash.
	Age      time.Duration
	Suspects []Fingerprint
}

// CrashedRuns are the runs of whole requests that had begun at a target within
// MaxIncident before it crashed.
type CrashedRuns struct {
	_     struct{} `cbor:",toarray"`
	Death Death
	Runs  []CrashedRun
}

// CrashedRun is a run that ended with its target.
type CrashedRun struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// Duration is the time from the beginning of the run to the crash.
	Duration time.Duration
}

// Verdict says that requests with a fingerprint are blocked.
type Verdict struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// EvidenceAge is the time since the last crash that the fingerprint explains,
	// SeenAge that since the last request with it.
	EvidenceAge, SeenAge time.Duration
}

// Survival says that a run with a fingerprint did not crash its target.
type Survival struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Age         time.Duration
}

// Culprits finds the fingerprints that crash targets. Unlike Registry, which runs
// suspects alone, it compares crashes with each other: each has all fingerprints of
// the runs that may have caused it as suspects, of which a request has several, such
// as the parts of its prompt. The smallest set of fingerprints that explains the
// crashes is blocked. A fingerprint is exonerated by a run that survives.
//
// It is not safe for concurrent use.
type Culprits struct {
	crashes      []*crash // in the order in which they became known
	lastIncident int
	// survivedAt holds the times of the last survived runs.
	survivedAt map[Fingerprint]time.Duration
	verdicts   map[Fingerprint]*verdict
	expiredAt  time.Duration // when expired entries were last removed
}

// crash is the local record of a Crash.
type crash struct {
	death    Death
	domain   string
	at       time.Duration
	incident int
	suspects map[Fingerprint]bool
	// runs are the times at which runs of suspects began, as far as they are known.
	runs map[Fingerprint]time.Duration
}

// verdict is the local record of a Verdict.
type verdict struct {
	evidenceAt, seenAt time.Duration
	trialAt            time.Duration // of the last trial run, zero for none
}

// NewCulprits returns an empty Culprits.
func NewCulprits() *Culprits {
	return &Culprits{survivedAt: make(map[Fingerprint]time.Duration), verdicts: make(map[Fingerprint]*verdict)}
}

// RecordCrash records a crash with what is known of the runs there, and returns the
// fingerprints that are blocked and those that are no longer, each in ascending order.
func (c *Culprits) RecordCrash(now time.Duration, report Crash, runs ...CrashedRun) StateChanges {
	c.expire(now)
	if report.Age > SuspectTTL {
		return StateChanges{}
	}
	record := c.crashRecord(report, now-report.Age)
	added := record.addSuspects(report.Suspects)
	if record.addRuns(now-report.Age, runs) {
		added = true
	}
	if !added || !slices.ContainsFunc(report.Suspects, func(fp Fingerprint) bool { return c.mayBeCulprit(now, fp) }) {
		return StateChanges{}
	}
	return c.updateVerdicts(now)
}

// EndIncidents blocks and releases fingerprints as RecordCrash does: what counts once
// while an incident lasts may be more when it has ended.
func (c *Culprits) EndIncidents(now time.Duration) StateChanges {
	if len(c.crashes) < culpritIncidents {
		return StateChanges{}
	}
	return c.updateVerdicts(now)
}

// UntilIncidentsEnd returns the time until EndIncidents is to be called, zero if no
// incident lasts.
func (c *Culprits) UntilIncidentsEnd(now time.Duration) (left time.Duration) {
	for _, record := range c.crashes {
		left = max(left, record.at+incidentGap+time.Millisecond-now)
	}
	return left
}

// addSuspects reports whether any of the suspects is new.
func (r *crash) addSuspects(fps []Fingerprint) (added bool) {
	for _, fp := range fps {
		if len(r.suspects) < maxSuspects && !r.suspects[fp] {
			r.suspects[fp], added = true, true
		}
	}
	return added
}

// addRuns adds runs of suspects that ended at the given time. Of several runs with a
// fingerprint the one that began first counts. It reports whether anything changed.
func (r *crash) addRuns(endedAt time.Duration, runs []CrashedRun) (changed bool) {
	for _, run := range runs {
		beganAt := endedAt - run.Duration
		if known, ok := r.runs[run.Fingerprint]; !r.suspects[run.Fingerprint] || ok && known <= beganAt {
			continue
		}
		if r.runs == nil {
			r.runs = make(map[Fingerprint]time.Duration)
		}
		r.runs[run.Fingerprint], changed = beganAt, true
	}
	return changed
}

// SelectSuspects returns up to maxSuspects distinct ones of the fingerprints of runs
// that a crash ended: those with which no run has survived first.
func (c *Culprits) SelectSuspects(fps []Fingerprint) []Fingerprint {
	selected := slices.Compact(slices.Sorted(slices.Values(fps)))
	proven := func(fp Fingerprint) int {
		if _, ok := c.survivedAt[fp]; ok {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(selected, func(a, b Fingerprint) int { return cmp.Compare(proven(a), proven(b)) })
	return selected[:min(len(selected), maxSuspects)]
}

// SelectRuns returns up to maxCrashedRuns of the runs that a crash ended: those that
// began last.
func SelectRuns(runs []CrashedRun) []CrashedRun {
	selected := slices.SortedFunc(slices.Values(runs), func(a, b CrashedRun) int { return cmp.Compare(a.Duration, b.Duration) })
	return selected[:min(len(selected), maxCrashedRuns)]
}

// mayBeCulprit reports whether a fingerprint is blocked or has enough crashes to be.
func (c *Culprits) mayBeCulprit(now time.Duration, fp Fingerprint) bool {
	count, _ := c.evidence(fp, now)
	return count >= culpritIncidents || c.verdicts[fp] != nil
}

// crashRecord returns the record of a death, a new one if it is not known.
func (c *Culprits) crashRecord(report Crash, at time.Duration) *crash {
	for _, record := range c.crashes {
		if record.death == report.Death {
			return record
		}
	}
	record := &crash{
		death: report.Death, domain: report.FailureDomain, at: at,
		incident: c.incidentOf(report.FailureDomain, at), suspects: make(map[Fingerprint]bool),
	}
	c.crashes = append(c.crashes, record)
	if len(c.crashes) > maxCrashes {
		c.crashes = slices.Delete(c.crashes, 0, 1)
	}
	return record
}

// Suspected reports whether a crash counts against a fingerprint with which no run has
// survived yet.
func (c *Culprits) Suspected(fps []Fingerprint) bool {
	return slices.ContainsFunc(fps, func(fp Fingerprint) bool {
		_, proven := c.survivedAt[fp]
		return !proven && slices.ContainsFunc(c.crashes, func(record *crash) bool { return record.suspects[fp] })
	})
}

// updateVerdicts blocks and releases fingerprints after new evidence. A blocked
// fingerprint is released if others explain all of its crashes better; one whose
// crashes are not known here stays blocked.
func (c *Culprits) updateVerdicts(now time.Duration) StateChanges {
	var changes StateChanges
	explanations := c.explain(now)
	for fp, evidenceAt := range explanations {
		known := c.verdicts[fp]
		if known == nil {
			known = &verdict{seenAt: now}
			c.verdicts[fp] = known
			changes.Quarantined = append(changes.Quarantined, fp)
		}
		known.evidenceAt = max(known.evidenceAt, evidenceAt)
	}
	for fp := range c.verdicts {
		_, chosen := explanations[fp]
		hasEvidence := slices.ContainsFunc(c.crashes, func(record *crash) bool { return c.isEvidence(record, fp) })
		if !chosen && hasEvidence {
			delete(c.verdicts, fp)
			c.survivedAt[fp] = now
			changes.Cleared = append(changes.Cleared, fp)
		}
	}
	c.evictVerdicts()
	slices.Sort(changes.Quarantined)
	slices.Sort(changes.Cleared)
	return changes
}

// evictVerdicts keeps the verdicts within maxVerdicts.
func (c *Culprits) evictVerdicts() {
	evictLowest(c.verdicts, maxVerdicts, func(a, b *verdict) int { return cmp.Compare(a.seenAt, b.seenAt) })
}

// RecordSurvival records that a run with the fingerprints did not crash its target, and
// returns those that are no longer blocked.
func (c *Culprits) RecordSurvival(at time.Duration, fps []Fingerprint) []Fingerprint {
	var released []Fingerprint
	for _, fp := range fps {
		if fp&requestBit != 0 && !c.mayBeSuspect(fp) {
			continue // most requests come once
		}
		c.survivedAt[fp] = max(c.survivedAt[fp], at)
		if c.verdicts[fp] == nil {
			continue
		}
		if count, _ := c.evidence(fp, endOfTime); count < provenIncidents {
			delete(c.verdicts, fp)
			released = append(released, fp)
		}
	}
	evictLowest(c.survivedAt, MaxProven, cmp.Compare[time.Duration])
	return released
}

// mayBeSuspect reports whether anything is known against a fingerprint.
func (c *Culprits) mayBeSuspect(fp Fingerprint) bool {
	return c.verdicts[fp] != nil || slices.ContainsFunc(c.crashes, func(record *crash) bool { return record.suspects[fp] })
}

// LastSurvival returns the last survival of a fingerprint that has been released.
func (c *Culprits) LastSurvival(now time.Duration, fp Fingerprint) Survival {
	return Survival{Fingerprint: fp, Age: now - c.survivedAt[fp]}
}

// AdoptVerdict adopts a peer's verdict; adopted reports whether the fingerprint was not
// blocked before. If a run has survived that refutes the verdict, by the crashes known
// here, this survival is returned for the peer, which may know nothing of it. The
// verdict is adopted nevertheless if the peer has evidence that is not known here.
func (c *Culprits) AdoptVerdict(now time.Duration, v Verdict) (survival *Survival, adopted bool) {
	evidenceAt, seenAt := now-v.EvidenceAge, now-v.SeenAge
	if survivedAt, ok := c.survivedAt[v.Fingerprint]; ok {
		count, last := c.evidence(v.Fingerprint, endOfTime)
		if count < provenIncidents {
			survival = &Survival{Fingerprint: v.Fingerprint, Age: now - survivedAt}
			if max(last, survivedAt)+incidentGap >= evidenceAt {
				return survival, false
			}
		}
	}
	known := c.verdicts[v.Fingerprint]
	if known == nil {
		known, adopted = &verdict{evidenceAt: evidenceAt, seenAt: seenAt}, true
		c.verdicts[v.Fingerprint] = known
		c.evictVerdicts()
	}
	known.evidenceAt, known.seenAt = max(known.evidenceAt, evidenceAt), max(known.seenAt, seenAt)
	return survival, adopted
}

// Admission says whether a request may run.
type Admission int

// Admissions of a request.
const (
	Admitted Admission = iota
	// Trial admits one request with a blocked fingerprint, to see whether it still
	// crashes targets.
	Trial
	Refused
	// Suspended refuses a request for MaxIncident at most: the crashes of an incident that
	// may have another cause would block it.
	Suspended
)

// Admit decides on a request by its fingerprints and returns the blocked one that
// decides, if any; that of a whole request comes first. A verdict holds as long as such requests come. Each TrialInterval
// since the last evidence, mayTry is asked whether this instance may run a trial.
func (c *Culprits) Admit(now time.Duration, fps []Fingerprint, mayTry func(Fingerprint) bool) (Admission, Fingerprint) {
	admission, decisive := Admitted, Fingerprint(0)
	for _, fp := range fps {
		known := c.verdicts[fp]
		if known == nil || now-known.seenAt > SuspectTTL {
			continue
		}
		known.seenAt = now
		if admission == Refused {
			continue
		}
		admission, decisive = Refused, fp
		if now-max(known.evidenceAt, known.trialAt) >= TrialInterval && mayTry(fp) {
			known.trialAt = now
			admission = Trial
		}
	}
	if admission == Admitted && len(fps) > 0 && c.isSuspended(now, fps[0]) {
		return Suspended, fps[0]
	}
	return admission, decisive
}

// isSuspended reports whether a request would be blocked if all incidents had ended.
func (c *Culprits) isSuspended(now time.Duration, fp Fingerprint) bool {
	if fp&requestBit == 0 || !c.mayBeSuspect(fp) {
		return false
	}
	needed := c.neededCrashes(fp)
	count, last := c.evidence(fp, endOfTime)
	return count >= needed && now-last <= MaxIncident
}

// Verdicts returns all verdicts, in ascending order of the fingerprints.
func (c *Culprits) Verdicts(now time.Duration) []Verdict {
	c.expire(now)
	var verdicts []Verdict
	for _, fp := range slices.Sorted(maps.Keys(c.verdicts)) {
		known := c.verdicts[fp]
		verdicts = append(verdicts, Verdict{Fingerprint: fp, EvidenceAge: now - known.evidenceAt, SeenAge: now - known.seenAt})
	}
	return verdicts
}

// expire removes crashes and verdicts that are older than SuspectTTL, and survived
// runs older than ProvenTTL.
func (c *Culprits) expire(now time.Duration) {
	if now-c.expiredAt < expiryInterval {
		return
	}
	c.expiredAt = now
	c.crashes = slices.DeleteFunc(c.crashes, func(record *crash) bool { return now-record.at > SuspectTTL })
	maps.DeleteFunc(c.verdicts, func(_ Fingerprint, known *verdict) bool { return now-known.seenAt > SuspectTTL })
	maps.DeleteFunc(c.survivedAt, func(_ Fingerprint, at time.Duration) bool { return now-at > ProvenTTL })
}

// requestBit separates the fingerprints of whole requests from those of parts.
const requestBit Fingerprint = 1 << 63

// RequestFingerprint returns the fingerprint of a whole request. It is larger than
// those of parts: as an explanation it is preferred, since it concerns no other
// request.
func RequestFingerprint(hash uint64) Fingerprint { return Fingerprint(hash) | requestBit }

// PartFingerprint returns the fingerprint of a part that requests share.
func PartFingerprint(id uint64) Fingerprint { return Fingerprint(id) &^ requestBit }
