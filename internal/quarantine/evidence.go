package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// incidentOf returns the number of the incident that a crash belongs to.
func (c *Culprits) incidentOf(domain string, at time.Duration) int {
	for _, other := range slices.Backward(c.crashes) {
		if other.domain == domain && (at-other.at).Abs() <= incidentGap && (at-c.incidentBegin(other.incident)).Abs() <= MaxIncident {
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

// explain returns the fingerprints that explain the crashes, with the time of the last
// crash that each explains. It picks the one that explains most and goes on with the
// crashes that are left, so that a fingerprint that only shared targets with a culprit
// is not blocked.
func (c *Culprits) explain(now time.Duration) map[Fingerprint]time.Duration {
	explanations := make(map[Fingerprint]time.Duration)
	left := slices.Clone(c.crashes)
	for {
		fp, ok := c.bestExplanation(now, left)
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

// bestExplanation returns the fingerprint that explains the most crashes, as
// countCrashes counts them. Of equals it prefers one with which no run has survived,
// and then the largest: see RequestFingerprint.
func (c *Culprits) bestExplanation(now time.Duration, crashes []*crash) (best Fingerprint, ok bool) {
	explained := make(map[Fingerprint][]*crash)
	for _, record := range crashes {
		for fp := range record.suspects {
			if c.isEvidence(record, fp) {
				explained[fp] = append(explained[fp], record)
			}
		}
	}
	var bestScore, bestUnproven int
	for fp, records := range explained {
		needed, bonus, unproven := c.neededCrashes(fp), 0, 1
		if needed == provenIncidents {
			unproven = 0
		}
		if c.verdicts[fp] != nil {
			needed, bonus = 1, rivalMargin-1
		}
		if len(records) < needed {
			continue
		}
		count := c.countCrashes(fp, records, now)
		score := count + bonus
		if count >= needed && (!ok || cmp.Or(cmp.Compare(score, bestScore), cmp.Compare(unproven, bestUnproven), cmp.Compare(fp, best)) > 0) {
			best, bestScore, bestUnproven, ok = fp, score, unproven, true
		}
	}
	return best, ok
}

// neededCrashes returns the number of crashes from which a fingerprint is blocked.
func (c *Culprits) neededCrashes(fp Fingerprint) int {
	if _, proven := c.survivedAt[fp]; proven {
		return provenIncidents
	}
	return culpritIncidents
}

// endOfTime is later than the end of any incident.
const endOfTime = time.Duration(math.MaxInt64)

// evidence returns the number of crashes that count against a fingerprint at a time, and
// the time of the last.
func (c *Culprits) evidence(fp Fingerprint, at time.Duration) (count int, last time.Duration) {
	var records []*crash
	for _, record := range c.crashes {
		if c.isEvidence(record, fp) {
			records = append(records, record)
			last = max(last, record.at)
		}
	}
	return c.countCrashes(fp, records, at), last
}

// countCrashes counts crashes that a fingerprint explains. Those of an incident count
// once, unless it has ended and a request was at all of its crashes: then each counts
// that ended a run which began after the crash before, since the request brought it
// about where it went.
func (c *Culprits) countCrashes(fp Fingerprint, records []*crash, now time.Duration) int {
	byIncident := make(map[int][]*crash)
	for _, record := range records {
		byIncident[record.incident] = append(byIncident[record.incident], record)
	}
	count := 0
	for incident, ofIncident := range byIncident {
		if len(ofIncident) > 1 && fp&requestBit != 0 && c.hasEnded(incident, now) && c.isAtAllCrashes(fp, incident) {
			count += countSuccessiveRuns(fp, ofIncident)
		} else {
			count++
		}
	}
	return count
}

// hasEnded reports whether no crash will belong to an incident any more, but for late
// reports.
func (c *Culprits) hasEnded(incident int, now time.Duration) bool {
	return !slices.ContainsFunc(c.crashes, func(record *crash) bool {
		return record.incident == incident && now-record.at <= incidentGap && now-c.incidentBegin(incident) <= MaxIncident
	})
}

// isAtAllCrashes reports whether a fingerprint is a suspect of all crashes of an
// incident.
func (c *Culprits) isAtAllCrashes(fp Fingerprint, incident int) bool {
	return !slices.ContainsFunc(c.crashes, func(record *crash) bool {
		return record.incident == incident && !record.suspects[fp]
	})
}

// countSuccessiveRuns returns the largest number of crashes of which each ended a run
// that began after the crash before.
func countSuccessiveRuns(fp Fingerprint, records []*crash) int {
	byTime := slices.SortedFunc(slices.Values(records), func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	count, endedAt := 1, byTime[0].at
	for _, record := range byTime[1:] {
		if beganAt, ok := record.runs[fp]; ok && beganAt+reportDelay >= endedAt {
			count, endedAt = count+1, record.at
		}
	}
	return count
}
