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
	// maxIncident, count as one: they may have another common cause.
	incidentGap = 250 * time.Millisecond
	maxIncident = time.Second
	// TrialInterval is the time between two trial runs of a blocked fingerprint.
	TrialInterval = SuspectTTL
	// maxCrashes, maxSuspects and maxVerdicts limit what is kept: crashes, suspects of
	// one crash, and blocked fingerprints.
	maxCrashes  = 128
	maxSuspects = 192
	maxVerdicts = 256
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

// RecordCrash records a crash and returns the fingerprints that are blocked and those
// that are no longer, each in ascending order.
func (c *Culprits) RecordCrash(now time.Duration, report Crash) StateChanges {
	c.expire(now)
	if report.Age > SuspectTTL {
		return StateChanges{}
	}
	record := c.crashRecord(report, now-report.Age)
	added := false
	for _, fp := range report.Suspects {
		if len(record.suspects) < maxSuspects && !record.suspects[fp] {
			record.suspects[fp], added = true, true
		}
	}
	if !added || !slices.ContainsFunc(report.Suspects, c.mayBeCulprit) {
		return StateChanges{}
	}
	return c.updateVerdicts(now)
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

// mayBeCulprit reports whether a fingerprint is blocked or has enough crashes to be.
func (c *Culprits) mayBeCulprit(fp Fingerprint) bool {
	count, _ := c.incidents(fp)
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

// incidentOf returns the number of the incident that a crash belongs to.
func (c *Culprits) incidentOf(domain string, at time.Duration) int {
	for _, other := range slices.Backward(c.crashes) {
		if other.domain == domain && (at-other.at).Abs() <= incidentGap && (at-c.incidentBegin(other.incident)).Abs() <= maxIncident {
			return other.incident
		}
	}
	c.lastIncident++
	return c.lastIncident
}

// incidentBegin returns the time of an incident's first crash.
func (c *Culprits) incidentBegin(incident int) time.Duration {
	i := slices.IndexFunc(c.crashes, func(record *crash) bool { return record.incident == incident })
	return c.crashes[i].at
}

// isEvidence reports whether a crash counts against a fingerprint: no run with it
// has survived since.
func (c *Culprits) isEvidence(record *crash, fp Fingerprint) bool {
	survivedAt, ok := c.survivedAt[fp]
	return record.suspects[fp] && (!ok || survivedAt < record.at)
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
	explanations := c.explain()
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

// explain returns the fingerprints that explain the crashes, with the time of the last
// crash that each explains. It picks the one that explains most and goes on with the
// crashes that are left, so that a fingerprint that only shared targets with a culprit
// is not blocked.
func (c *Culprits) explain() map[Fingerprint]time.Duration {
	explanations := make(map[Fingerprint]time.Duration)
	left := slices.Clone(c.crashes)
	for {
		fp, ok := c.bestExplanation(left)
		if !ok {
			return explanations
		}
		left = slices.DeleteFunc(left, func(record *crash) bool {
			explained := c.isEvidence(record, fp)
			if explained {
				explanations[fp] = max(explanations[fp], record.at)
			}
			return explained
		})
	}
}

// bestExplanation returns the fingerprint that explains the most incidents. Of equals
// it prefers one with which no run has survived, and then the largest: see
// RequestFingerprint.
func (c *Culprits) bestExplanation(crashes []*crash) (best Fingerprint, ok bool) {
	incidents := make(map[Fingerprint]map[int]bool)
	for _, record := range crashes {
		for fp := range record.suspects {
			if !c.isEvidence(record, fp) {
				continue
			}
			if incidents[fp] == nil {
				incidents[fp] = make(map[int]bool)
			}
			incidents[fp][record.incident] = true
		}
	}
	var bestScore, bestUnproven int
	for fp, seen := range incidents {
		needed, score, unproven := culpritIncidents, len(seen), 1
		if _, proven := c.survivedAt[fp]; proven {
			needed, unproven = provenIncidents, 0
		}
		if c.verdicts[fp] != nil {
			needed, score = 1, score+rivalMargin-1
		}
		if len(seen) >= needed && (!ok || cmp.Or(cmp.Compare(score, bestScore), cmp.Compare(unproven, bestUnproven), cmp.Compare(fp, best)) > 0) {
			best, bestScore, bestUnproven, ok = fp, score, unproven, true
		}
	}
	return best, ok
}

// incidents returns the number of incidents that count against a fingerprint, and the
// time of the last of its crashes.
func (c *Culprits) incidents(fp Fingerprint) (count int, last time.Duration) {
	var seen []int
	for _, record := range c.crashes {
		if !c.isEvidence(record, fp) {
			continue
		}
		last = max(last, record.at)
		if !slices.Contains(seen, record.incident) {
			seen = append(seen, record.incident)
		}
	}
	return len(seen), last
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
		if count, _ := c.incidents(fp); count < provenIncidents {
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
		count, last := c.incidents(v.Fingerprint)
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
)

// Admit decides on a request by its fingerprints and returns the blocked one that
// decides, if any. A verdict holds as long as such requests come. Each TrialInterval
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
	return admission, decisive
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
