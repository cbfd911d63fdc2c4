// Package quarantine tracks which requests are suspected of crashing the targets
// that run them, and which are quarantined and no longer run.
//
// When a target dies, the requests in flight there become suspects. A second
// death with the same fingerprint in flight quarantines that fingerprint. Both
// deaths are then attributed to it, and every other suspect of them is cleared.
// A fingerprint is also cleared when a request with it completes.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of the registry.
const (
	// DeathLimit is the number of deaths that quarantines a fingerprint.
	DeathLimit = 2
	// maxProvisionalClears is the number of deaths per fingerprint, cleared for
	// another reason than a completed run, that do not count toward DeathLimit.
	maxProvisionalClears = 1
	// SuspectTTL is how long the deaths recorded for a fingerprint are kept after the
	// latest one, unless it is quarantined.
	SuspectTTL = 10 * time.Minute
	// QuarantineTTL is how long a fingerprint stays quarantined.
	QuarantineTTL = time.Hour
	// ProvenTTL is how long after a completed run a fingerprint is exempt from
	// one death.
	ProvenTTL = 10 * time.Minute
	// MaxRecords and MaxProven limit the number of fingerprints in a registry:
	// with recorded deaths, and with a recent completed run.
	MaxRecords = 8192
	MaxProven  = 16384
)

// Fingerprint is a hash of all parts of a request that reach the target. Zero
// means unknown; it is never suspected.
type Fingerprint uint64

// Death identifies the crash of one incarnation of a target.
type Death struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation"`
}

// Mark is a death that occurred while a fingerprint was in flight.
type Mark struct {
	Death Death `json:"death"`
	// Cleared is set when the death no longer makes the fingerprint a suspect.
	Cleared bool `json:"cleared,omitempty"`
	// By says why a death was cleared: it is the fingerprint to which the death
	// was attributed, the marked fingerprint itself if it ran alone for longer
	// than on the target that died, or zero if a run of it completed.
	By Fingerprint `json:"by,omitempty"`
}

// Fact is what an entry instance knows of one fingerprint, in the form that is
// sent to peers and shown to operators.
type Fact struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Marks       []Mark        `json:"marks,omitempty"`
	Quarantined bool          `json:"quarantined,omitempty"`
	Remaining   time.Duration `json:"remaining"` // time until the fact expires
}

// State says whether and how requests with a fingerprint may run.
type State int

// States of a fingerprint.
const (
	Clear       State = iota // may run anywhere
	Suspect                  // may run only alone on a target
	Quarantined              // may not run
)

// StateChanges lists the fingerprints whose state changed after new deaths or facts,
// each list in ascending order.
type StateChanges struct {
	Quarantined []Fingerprint
	Cleared     []Fingerprint
}

// record holds the marks and the state of one fingerprint.
type record struct {
	marks       []Mark
	quarantined bool
	expiresAt   time.Duration
}

// countOpenMarks returns the number of marks that are not cleared.
func (r *record) countOpenMarks() int {
	n := 0
	for _, m := range r.marks {
		if !m.Cleared {
			n++
		}
	}
	return n
}

// isEvidence reports whether the mark may count against the fingerprint: it is
// not cleared, or it was cleared without a completed run.
func (m Mark) isEvidence() bool { return !m.Cleared || m.By != 0 }

// countSharedDeaths returns the number of deaths that are evidence against both
// records.
func (r *record) countSharedDeaths(other *record) int {
	n := 0
	for _, m := range r.marks {
		matches := func(o Mark) bool { return o.Death == m.Death && o.isEvidence() }
		if m.isEvidence() && slices.ContainsFunc(other.marks, matches) {
			n++
		}
	}
	return n
}

func (r *record) state() State {
	switch {
	case r.quarantined:
		return Quarantined
	case r.countOpenMarks() > 0:
		return Suspect
	}
	return Clear
}

// mergeMark adds a mark or merges it with the one for the same death. A cleared
// mark stays cleared, and clearing by a completed run takes precedence over
// other reasons.
func (r *record) mergeMark(m Mark) {
	for i := range r.marks {
		existing := &r.marks[i]
		if existing.Death != m.Death {
			continue
		}
		if m.Cleared && (!existing.Cleared || m.By == 0) {
			existing.Cleared, existing.By = true, m.By
		}
		return
	}
	r.marks = append(r.marks, m)
}

// Registry holds what one entry instance knows of suspected, quarantined and
// recently completed fingerprints. It is not safe for concurrent use.
type Registry struct {
	records map[Fingerprint]*record
	// culprits maps deaths to the quarantined fingerprint that caused them.
	culprits map[Death]Fingerprint
	// provenUntil maps fingerprints with a completed run to the time until which
	// they are exempt from one death.
	provenUntil map[Fingerprint]time.Duration
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		records:     make(map[Fingerprint]*record),
		culprits:    make(map[Death]Fingerprint),
		provenUntil: make(map[Fingerprint]time.Duration),
	}
}

// State returns the state of a fingerprint at now.
func (r *Registry) State(now time.Duration, fp Fingerprint) State {
	rec := r.records[fp]
	if rec == nil || rec.expiresAt <= now {
		return Clear
	}
	return rec.state()
}

// Proven reports whether a request with the fingerprint completed within
// ProvenTTL and the exemption that this gives is not used up.
func (r *Registry) Proven(now time.Duration, fp Fingerprint) bool { return r.provenUntil[fp] > now }

// RecordDeath records the death of a target with the given fingerprints in flight. A
// fingerprint that is proven, see Proven, is exempt from this one death, which
// uses up the exemption.
func (r *Registry) RecordDeath(now time.Duration, d Death, suspects []Fingerprint) StateChanges {
	var facts []Fact
	for _, fp := range suspects {
		if fp == 0 {
			continue
		}
		if r.Proven(now, fp) {
			delete(r.provenUntil, fp)
			continue
		}
		facts = append(facts, Fact{Fingerprint: fp, Marks: []Mark{{Death: d}}, Remaining: SuspectTTL})
	}
	return r.MergeFacts(now, facts)
}

// MergeFacts merges facts from this instance or from peers and returns the resulting
// changes of state.
func (r *Registry) MergeFacts(now time.Duration, facts []Fact) StateChanges {
	previousStates := make(map[Fingerprint]State)
	savePreviousState := func(fp Fingerprint) {
		if _, ok := previousStates[fp]; !ok {
			previousStates[fp] = r.State(now, fp)
		}
	}
	for _, f := range facts {
		savePreviousState(f.Fingerprint)
		r.mergeFact(now, f)
	}
	for _, f := range facts {
		if r.State(now, f.Fingerprint) == Quarantined {
			r.clearOtherSuspects(now, f.Fingerprint, savePreviousState)
		}
	}
	return r.stateChanges(now, previousStates)
}

// mergeFact merges a fact into the record of its fingerprint. Deaths that are
// already attributed to another fingerprint are cleared.
func (r *Registry) mergeFact(now time.Duration, f Fact) {
	rec := r.records[f.Fingerprint]
	if rec == nil || rec.expiresAt <= now {
		rec = &record{}
		r.records[f.Fingerprint] = rec
	}
	for _, m := range f.Marks {
		culprit := r.culprits[m.Death]
		if culprit != 0 && culprit != f.Fingerprint && !m.Cleared && !f.Quarantined && !rec.quarantined {
			m.Cleared, m.By = true, culprit
		}
		rec.mergeMark(m)
	}
	rec.expiresAt = max(rec.expiresAt, now+min(f.Remaining, QuarantineTTL))
	switch {
	case rec.quarantined:
	case f.Quarantined:
		rec.quarantined = true
	case r.isCulprit(rec):
		rec.quarantined = true
		rec.expiresAt = now + QuarantineTTL
	}
	r.evictRecords()
}

// clearOtherSuspects attributes the deaths of a quarantined fingerprint to it,
// unless they are attributed to another, and clears them for all fingerprints
// that are not quarantined. It then quarantines those for which isCulprit holds.
// savePreviousState is called before a mark of a fingerprint is cleared.
func (r *Registry) clearOtherSuspects(now time.Duration, culprit Fingerprint, savePreviousState func(Fingerprint)) {
	for _, m := range r.records[culprit].marks {
		if m.Cleared || r.culprits[m.Death] != 0 {
			continue
		}
		r.culprits[m.Death] = culprit
	}
	for fp, rec := range r.records {
		if rec.quarantined {
			continue
		}
		for i := range rec.marks {
			m := &rec.marks[i]
			if r.culprits[m.Death] == culprit && !m.Cleared {
				savePreviousState(fp)
				m.Cleared, m.By = true, culprit
			}
		}
		if r.isCulprit(rec) {
			rec.quarantined = true
			rec.expiresAt = now + QuarantineTTL
		}
	}
}

// isCulprit reports whether a record has enough deaths for quarantine, which is
// DeathLimit, at least one of them not cleared. A fingerprint that shares this
// many deaths with a quarantined one is quarantined as well, since the evidence
// can't tell them apart.
//
// Up to maxProvisionalClears deaths that were cleared without a completed run do
// not count. Such a death may have been cleared wrongly: a partitioned instance
// may attribute it to the wrong fingerprint, and some requests crash targets at
// varying points of a run. Any further ones therefore count again, so that no
// request is cleared indefinitely.
func (r *Registry) isCulprit(rec *record) bool {
	provisional := 0
	for _, m := range rec.marks {
		if m.Cleared && m.isEvidence() {
			provisional++
		}
	}
	if open := rec.countOpenMarks(); open > 0 && open+max(0, provisional-maxProvisionalClears) >= DeathLimit {
		return true
	}
	return slices.ContainsFunc(rec.marks, func(m Mark) bool {
		other := r.records[m.By]
		return m.By != 0 && other != nil && other.quarantined && rec.countSharedDeaths(other) >= DeathLimit
	})
}

// stateChanges returns the fingerprints that became quarantined or clear since
// the previous states were saved.
func (r *Registry) stateChanges(now time.Duration, previousStates map[Fingerprint]State) StateChanges {
	var v StateChanges
	for fp, previous := range previousStates {
		state := r.State(now, fp)
		if state != previous && state == Quarantined {
			v.Quarantined = append(v.Quarantined, fp)
		}
		if state != previous && state == Clear {
			v.Cleared = append(v.Cleared, fp)
		}
	}
	slices.Sort(v.Quarantined)
	slices.Sort(v.Cleared)
	return v
}

// RecordCompletion records a completed run, which clears a suspect. It reports whether
// the fingerprint was a suspect. A quarantined fingerprint stays quarantined.
func (r *Registry) RecordCompletion(now time.Duration, fp Fingerprint) bool {
	if fp == 0 || r.State(now, fp) == Quarantined {
		return false
	}
	r.provenUntil[fp] = now + ProvenTTL
	evictLowest(r.provenUntil, MaxProven, cmp.Compare[time.Duration])
	return r.clearMarks(now, fp, 0)
}

// RecordSurvival clears a suspect that ran alone on a target for longer than it had run
// on the target that died. It reports whether the fingerprint was a suspect.
func (r *Registry) RecordSurvival(now time.Duration, fp Fingerprint) bool {
	return r.State(now, fp) == Suspect && r.clearMarks(now, fp, fp)
}

// clearMarks clears the marks of a fingerprint and reports whether it was a
// suspect. clearedBy is the fingerprint itself if it survived alone on a target, or
// zero if a run completed; zero also replaces the reason of marks already cleared.
func (r *Registry) clearMarks(now time.Duration, fp, clearedBy Fingerprint) bool {
	rec := r.records[fp]
	if rec == nil {
		return false
	}
	wasSuspect := r.State(now, fp) == Suspect
	for i := range rec.marks {
		if m := &rec.marks[i]; !m.Cleared || clearedBy == 0 {
			m.Cleared, m.By = true, clearedBy
		}
	}
	return wasSuspect
}

// Facts returns the facts about the given fingerprints; unknown and expired ones
// are left out.
func (r *Registry) Facts(now time.Duration, fps []Fingerprint) []Fact {
	var facts []Fact
	for _, fp := range fps {
		if rec := r.records[fp]; rec != nil && rec.expiresAt > now {
			facts = append(facts, Fact{
				Fingerprint: fp, Marks: slices.Clone(rec.marks),
				Quarantined: rec.quarantined, Remaining: rec.expiresAt - now,
			})
		}
	}
	return facts
}

// All returns the facts about all fingerprints, in ascending order.
func (r *Registry) All(now time.Duration) []Fact {
	return r.Facts(now, slices.Sorted(maps.Keys(r.records)))
}

// Expire removes expired entries. It returns the fingerprints that were suspect
// or quarantined until then, in ascending order.
func (r *Registry) Expire(now time.Duration) []Fingerprint {
	var ended []Fingerprint
	for fp, rec := range r.records {
		if rec.expiresAt > now {
			continue
		}
		if rec.state() != Clear {
			ended = append(ended, fp)
		}
		delete(r.records, fp)
	}
	maps.DeleteFunc(r.culprits, func(_ Death, by Fingerprint) bool { return r.records[by] == nil })
	maps.DeleteFunc(r.provenUntil, func(_ Fingerprint, until time.Duration) bool { return until <= now })
	slices.Sort(ended)
	return ended
}

// evictRecords keeps the number of records within MaxRecords. It removes cleared
// fingerprints first, then suspects, then quarantined ones; among those, the
// ones that expire soonest first.
func (r *Registry) evictRecords() {
	evictLowest(r.records, MaxRecords, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.state(), b.state()), cmp.Compare(a.expiresAt, b.expiresAt))
	})
}

// evictLowest removes the lowest entries, in the order of compare, from a map
// that exceeds its limit. It removes an eighth of the limit at once, so that the
// cost of sorting is spread over many insertions.
func evictLowest[V any](m map[Fingerprint]V, limit int, compare func(a, b V) int) {
	if len(m) <= limit {
		return
	}
	keys := slices.SortedFunc(maps.Keys(m), func(a, b Fingerprint) int {
		return cmp.Or(compare(m[a], m[b]), cmp.Compare(a, b))
	})
	for _, fp := range keys[:len(m)-limit*7/8] {
		delete(m, fp)
	}
}
