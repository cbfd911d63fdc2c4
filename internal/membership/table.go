package membership

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Parameters of the membership protocol.
const (
	// HeartbeatInterval is the time between the heartbeats of an instance.
	HeartbeatInterval = time.Second
	// SuspicionTimeout is the time within which a newer heartbeat of a suspect
	// must be known, or it is considered dead.
	SuspicionTimeout = 4 * time.Second
	// TombstoneTTL is how long the fact of a dead instance is kept, so that an
	// older fact does not revive it.
	TombstoneTTL = 5 * time.Minute
	// HeartbeatFanout is the number of neighbours to which an instance sends heartbeats.
	HeartbeatFanout = 4
	// GatewaysPerDomain is the number of instances of a failure domain that
	// watch the store and exchange messages with other failure domains.
	GatewaysPerDomain = 2
	// EntryRole is the role of entry instances in the platform's list.
	EntryRole = "entry"
)

// member holds what is known of another instance.
type member struct {
	Fact
	ringPosition uint64 // hash of the name
	listed       bool   // contained in the platform's list, when last read
	// listedLeaving is set if the list marks the instance as leaving.
	listedLeaving bool
	changedAt     time.Duration // when the fact last changed other than by its counters
	lastFactAt    time.Duration // when a newer fact was last received
	transmissions int           // how often NextUpdates returned the fact since changedAt
}

// Table holds the membership as one instance sees it. It is not safe for
// concurrent use.
type Table struct {
	self           Fact
	members        map[string]*member // by name, without self
	pendingUpdates map[string]bool    // names whose facts are still to be sent to neighbours
	probeCount     int

	liveByDomain map[string][]Fact // cache for LiveInDomain, nil when invalid
}

// New returns a table that knows only the instance itself.
func New(self Fact) *Table {
	return &Table{self: self, members: map[string]*member{}, pendingUpdates: map[string]bool{}}
}

// Self returns the instance's own fact.
func (t *Table) Self() Fact { return t.self }

// AdvanceHeartbeat increments the instance's own heartbeat counter, sets the configuration
// revision in force and returns the instance's fact.
func (t *Table) AdvanceHeartbeat(revision int64) Fact {
	t.self.Beat++
	t.self.Revision = revision
	t.liveByDomain = nil
	return t.self
}

// SetLeaving sets whether the instance itself is leaving.
func (t *Table) SetLeaving(leaving bool) {
	t.self.Leaving = leaving
	t.liveByDomain = nil
}

// MergeFact merges a fact and reports whether it changed the membership. A fact
// that calls the instance itself suspect or dead, or that a former process has left
// behind, is refuted by a higher one, which is reported as a change too.
func (t *Table) MergeFact(now time.Duration, f Fact) bool {
	if f.Name == t.self.Name {
		return t.refuteSuspicion(f)
	}
	m := t.members[f.Name]
	if m == nil {
		if f.State == Dead {
			return false
		}
		t.recordChange(now, &member{Fact: f, ringPosition: ringPosition(f.Name), lastFactAt: now})
		return true
	}
	if !f.supersedes(m.Fact) {
		return false
	}
	changed := m.State != f.State || m.Incarnation != f.Incarnation || m.Leaving != f.Leaving || m.Address != f.Address
	// The first heartbeat of a listed instance is not relayed if it adds nothing
	// to the list, which the other instances read too.
	alreadyListed := m.Incarnation == 0 && m.State == f.State && m.Address == f.Address && !f.Leaving
	f.Revision = max(f.Revision, m.revisionOf(f.Incarnation))
	m.lastFactAt = now
	if m.Fact = f; changed {
		t.recordChange(now, m)
	}
	if alreadyListed {
		delete(t.pendingUpdates, m.Name)
	}
	t.liveByDomain = nil
	return changed
}

// revisionOf returns the configuration revision known for an incarnation, zero
// if the fact is about another one.
func (m *member) revisionOf(incarnation uint64) int64 {
	if m.Incarnation != incarnation {
		return 0
	}
	return m.Revision
}

// refuteSuspicion raises the own heartbeat counter above that of a fact that
// calls the instance suspect or dead, or the own incarnation above that of a former
// process at the same address, whose clock was ahead. It reports whether it did so.
func (t *Table) refuteSuspicion(f Fact) bool {
	if f.Incarnation > t.self.Incarnation && f.Incarnation < math.MaxUint64 && f.Address == t.self.Address {
		t.self.Incarnation = f.Incarnation + 1
		t.liveByDomain = nil
		return true
	}
	if f.Incarnation != t.self.Incarnation || f.State == Alive || f.Beat < t.self.Beat {
		return false
	}
	t.self.Beat = f.Beat + 1
	t.liveByDomain = nil
	return true
}

// recordChange stores a new or changed member and queues its fact for
// relaying if it belongs to the own failure domain.
func (t *Table) recordChange(now time.Duration, m *member) {
	m.changedAt, m.transmissions = now, 0
	t.members[m.Name] = m
	t.liveByDomain = nil
	if m.FailureDomain == t.self.FailureDomain {
		t.pendingUpdates[m.Name] = true // other failure domains get it through their own gateways
	}
}

// MarkSuspect marks an instance as suspect because a message to it could not be
// delivered. It reports whether the instance was considered alive before.
func (t *Table) MarkSuspect(now time.Duration, name string) bool {
	m := t.members[name]
	if m == nil || m.State != Alive {
		return false
	}
	m.State = Suspect
	t.recordChange(now, m)
	return true
}

// MergeList merges the platform's instance list. It adds unknown instances and
// updates whether an instance is listed and leaving; it does not change the
// state of a known instance, since the list lags behind the heartbeats.
func (t *Table) MergeList(now time.Duration, list []store.Instance) {
	for _, m := range t.members {
		m.listed = false
	}
	for _, in := range list {
		if in.Role != EntryRole || in.Name == t.self.Name {
			continue
		}
		m := t.members[in.Name]
		if m == nil {
			m = &member{Fact: Fact{Name: in.Name, FailureDomain: in.FailureDomain, Address: in.Address}, ringPosition: ringPosition(in.Name)}
			t.recordChange(now, m)
			delete(t.pendingUpdates, m.Name) // the other instances read the list themselves
		}
		m.listed, m.listedLeaving = true, in.Leaving
	}
	t.liveByDomain = nil
}

// Expire marks suspects as dead after SuspicionTimeout and removes dead, unlisted
// instances after TombstoneTTL. It returns the names of the instances that it
// marked as dead, sorted.
func (t *Table) Expire(now time.Duration) []string {
	var died []string
	for name, m := range t.members {
		switch {
		case m.State == Suspect && now-m.changedAt >= SuspicionTimeout:
			m.State = Dead
			t.recordChange(now, m)
			died = append(died, name)
		case m.State == Dead && now-m.changedAt >= TombstoneTTL && !m.listed:
			delete(t.members, name)
			delete(t.pendingUpdates, name)
		}
	}
	slices.Sort(died)
	return died
}

// Get returns the fact of an instance; it returns false if the instance is
// unknown.
func (t *Table) Get(name string) (Fact, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	m := t.members[name]
	if m == nil {
		return Fact{}, false
	}
	return m.Fact, true
}

// LastFactAge returns how long ago the newest fact about an instance was received; ok
// is false if the instance is unknown or known from the list only.
func (t *Table) LastFactAge(now time.Duration, name string) (ago time.Duration, ok bool) {
	if name == t.self.Name {
		return 0, true
	}
	m := t.members[name]
	if m == nil || m.Incarnation == 0 {
		return 0, false
	}
	return now - m.lastFactAt, true
}

// NewestRevision returns the highest configuration revision that any instance reported.
func (t *Table) NewestRevision() int64 {
	newest := t.self.Revision
	for _, m := range t.members {
		newest = max(newest, m.Revision)
	}
	return newest
}

// All returns every known instance, itself included, sorted by name.
func (t *Table) All() []Fact {
	out := []Fact{t.self}
	for _, m := range t.members {
		out = append(out, m.Fact)
	}
	slices.SortFunc(out, func(a, b Fact) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// LiveInDomain returns the instances of a failure domain that are not dead, in ring
// order. It includes the instance itself, suspects and leaving instances. The
// slice is shared and must not be modified.
func (t *Table) LiveInDomain(domain string) []Fact {
	if t.liveByDomain == nil {
		t.liveByDomain = t.buildRings()
	}
	return t.liveByDomain[domain]
}

// buildRings returns the instances that are not dead by failure domain, each in
// ring order.
func (t *Table) buildRings() map[string][]Fact {
	live := []*member{{Fact: t.self, ringPosition: ringPosition(t.self.Name)}}
	for _, m := range t.members {
		if m.State != Dead {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), strings.Compare(a.Name, b.Name))
	})
	out := map[string][]Fact{}
	for _, m := range live {
		f := m.Fact
		f.Leaving = f.Leaving || m.listedLeaving
		out[m.FailureDomain] = append(out[m.FailureDomain], f)
	}
	return out
}

// Domains returns the failure domains that have instances that are not dead,
// sorted.
func (t *Table) Domains() []string {
	t.LiveInDomain("")
	out := make([]string, 0, len(t.liveByDomain))
	for d := range t.liveByDomain {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// Neighbours returns the live instances of the own failure domain to which this
// instance sends heartbeats: all others if there are at most HeartbeatFanout, else those
// that are one step and the square root of the ring's size away, in both
// directions. The relation is symmetric: each instance also receives the
// heartbeats of those to which it sends, so that it never suspects one on the
// basis of an outdated heartbeat counter.
func (t *Table) Neighbours() []Fact {
	live := t.LiveInDomain(t.self.FailureDomain)
	selfIndex := slices.IndexFunc(live, func(f Fact) bool { return f.Name == t.self.Name })
	n := len(live)
	var out []Fact
	if n <= HeartbeatFanout+1 {
		for i := 1; i < n; i++ {
			out = append(out, live[(selfIndex+i)%n])
		}
		return out
	}
	longStep := int(math.Sqrt(float64(n)))
	for _, step := range [HeartbeatFanout]int{1, n - 1, longStep, n - longStep} {
		out = append(out, live[(selfIndex+step)%n])
	}
	return out
}

// Gateways returns the instances of a failure domain that watch the store and
// exchange messages with other failure domains: the first GatewaysPerDomain in
// ring order that are alive and not leaving.
func (t *Table) Gateways(domain string) []Fact {
	var out []Fact
	for _, f := range t.LiveInDomain(domain) {
		if f.State == Alive && !f.Leaving && len(out) < GatewaysPerDomain {
			out = append(out, f)
		}
	}
	return out
}

// IsGateway reports whether the instance itself is one of its failure domain's
// gateways.
func (t *Table) IsGateway() bool {
	return slices.ContainsFunc(t.Gateways(t.self.FailureDomain), func(f Fact) bool { return f.Name == t.self.Name })
}

// NextDeadInstance returns one of the dead instances, a different one on each call, so that
// the caller can contact it and detect that a partition has healed.
func (t *Table) NextDeadInstance() (Fact, bool) {
	var dead []Fact
	for _, f := range t.All() {
		if m := t.members[f.Name]; m != nil && m.State == Dead {
			dead = append(dead, f)
		}
	}
	if len(dead) == 0 {
		return Fact{}, false
	}
	t.probeCount++
	return dead[t.probeCount%len(dead)], true
}

// maxTransmissions is how often an instance relays a fact: twice per neighbour,
// which is enough because each neighbour relays it as well.
const maxTransmissions = 2 * HeartbeatFanout

// NextUpdates returns at most limit facts to relay with a heartbeat, those that were
// sent least often first.
func (t *Table) NextUpdates(limit int) []Fact {
	pending := make([]*member, 0, len(t.pendingUpdates))
	for name := range t.pendingUpdates {
		pending = append(pending, t.members[name])
	}
	slices.SortFunc(pending, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), strings.Compare(a.Name, b.Name))
	})
	var out []Fact
	for _, m := range pending[:min(limit, len(pending))] {
		out = append(out, m.Fact)
		if m.transmissions++; m.transmissions >= maxTransmissions {
			delete(t.pendingUpdates, m.Name)
		}
	}
	return out
}

// ringPosition returns the position of an instance on the ring.
func ringPosition(name string) uint64 { return xxhash.Sum64String(name) }
