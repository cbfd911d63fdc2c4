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

// Times and sizes of the protocol.
const (
	// Interval is the time between the heartbeats of an instance.
	Interval = time.Second
	// SuspicionTimeout is how long a suspect has to show a newer beat.
	SuspicionTimeout = 4 * time.Second
	// TombstoneTime is how long a dead instance is remembered, so that an old
	// fact does not revive it.
	TombstoneTime = 5 * time.Minute
	// Degree is the number of neighbours that an instance sends heartbeats to.
	Degree = 4
	// GatewaysPerDomain is how many instances of a failure domain watch the
	// store and talk to other failure domains.
	GatewaysPerDomain = 2
	// EntryRole is the role of entry instances in the platform's list.
	EntryRole = "entry"
)

type member struct {
	Fact
	rank   uint64 // place on the ring
	listed bool   // by the platform's list, when last read
	// listedLeaving says that the list calls it leaving.
	listedLeaving bool
	since         time.Duration // when the state last changed
	heard         time.Duration // when a newer fact last came
	told          int           // how often the fact was passed on
}

// Table holds what one instance believes of all of them. It is not safe for
// concurrent use.
type Table struct {
	self    Fact
	members map[string]*member // without self
	updates map[string]bool    // names whose facts are still to be passed on
	probe   int

	byDomain map[string][]Fact // cache of Live, nil when stale
}

// New returns a table that knows only the instance itself.
func New(self Fact) *Table {
	return &Table{self: self, members: map[string]*member{}, updates: map[string]bool{}}
}

// Self returns the instance's own fact.
func (t *Table) Self() Fact { return t.self }

// Beat advances the instance's own beat and returns its fact.
func (t *Table) Beat(revision int64) Fact {
	t.self.Beat++
	t.self.Revision = revision
	t.byDomain = nil
	return t.self
}

// SetLeaving says whether the instance itself is leaving.
func (t *Table) SetLeaving(leaving bool) {
	t.self.Leaving = leaving
	t.byDomain = nil
}

// Observe merges a fact and reports whether it changed who is believed to
// live. A fact against the instance itself is refuted by a newer beat, which is
// news too.
func (t *Table) Observe(now time.Duration, f Fact) bool {
	if f.Name == t.self.Name {
		return t.refute(f)
	}
	m := t.members[f.Name]
	if m == nil {
		if f.State == Dead {
			return false
		}
		t.set(now, &member{Fact: f, rank: rank(f.Name), heard: now})
		return true
	}
	if !f.supersedes(m.Fact) {
		return false
	}
	changed := m.State != f.State || m.Incarnation != f.Incarnation || m.Leaving != f.Leaving || m.Address != f.Address
	// The first word of a listed instance is no news to those who read the list.
	expected := m.Incarnation == 0 && m.State == f.State && m.Address == f.Address && !f.Leaving
	f.Revision = max(f.Revision, m.revisionOf(f.Incarnation))
	m.heard = now
	if m.Fact = f; changed {
		t.set(now, m)
	}
	if expected {
		delete(t.updates, m.Name)
	}
	t.byDomain = nil
	return changed
}

func (m *member) revisionOf(incarnation uint64) int64 {
	if m.Incarnation != incarnation {
		return 0
	}
	return m.Revision
}

func (t *Table) refute(f Fact) bool {
	if f.Incarnation != t.self.Incarnation || f.State == Alive || f.Beat < t.self.Beat {
		return false
	}
	t.self.Beat = f.Beat + 1
	t.byDomain = nil
	return true
}

func (t *Table) set(now time.Duration, m *member) {
	m.since, m.told = now, 0
	t.members[m.Name] = m
	t.byDomain = nil
	if m.FailureDomain == t.self.FailureDomain {
		t.updates[m.Name] = true // others learn of it from their own gateways
	}
}

// Failed says that a message to an instance could not be delivered. It reports
// whether that is news.
func (t *Table) Failed(now time.Duration, name string) bool {
	m := t.members[name]
	if m == nil || m.State != Alive {
		return false
	}
	m.State = Suspect
	t.set(now, m)
	return true
}

// Listed merges the platform's list. It adds instances that were unknown; it
// neither revives nor ends one that heartbeats speak of, since it lags.
func (t *Table) Listed(now time.Duration, list []store.Instance) {
	for _, m := range t.members {
		m.listed = false
	}
	for _, in := range list {
		if in.Role != EntryRole || in.Name == t.self.Name {
			continue
		}
		m := t.members[in.Name]
		if m == nil {
			m = &member{Fact: Fact{Name: in.Name, FailureDomain: in.FailureDomain, Address: in.Address}, rank: rank(in.Name)}
			t.set(now, m)
			delete(t.updates, m.Name) // the others read the list themselves
		}
		m.listed, m.listedLeaving = true, in.Leaving
	}
	t.byDomain = nil
}

// Expire ends suspects whose time is over and forgets the long dead. It
// returns the names of those that died now, sorted.
func (t *Table) Expire(now time.Duration) []string {
	var died []string
	for name, m := range t.members {
		switch {
		case m.State == Suspect && now-m.since >= SuspicionTimeout:
			m.State = Dead
			t.set(now, m)
			died = append(died, name)
		case m.State == Dead && now-m.since >= TombstoneTime && !m.listed:
			delete(t.members, name)
			delete(t.updates, name)
		}
	}
	slices.Sort(died)
	return died
}

// Get returns what is known of an instance.
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

// Heard returns how long ago the last newer fact of an instance came; ok is
// false when it is known from the list only.
func (t *Table) Heard(now time.Duration, name string) (ago time.Duration, ok bool) {
	if name == t.self.Name {
		return 0, true
	}
	m := t.members[name]
	if m == nil || m.Incarnation == 0 {
		return 0, false
	}
	return now - m.heard, true
}

// Newest returns the highest configuration revision heard of.
func (t *Table) Newest() int64 {
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

// Live returns the instances of a failure domain that are not believed dead,
// the instance itself and leaving ones included, in the order of the ring. The
// slice is shared and must not be changed.
func (t *Table) Live(domain string) []Fact {
	if t.byDomain == nil {
		t.byDomain = t.ring()
	}
	return t.byDomain[domain]
}

func (t *Table) ring() map[string][]Fact {
	live := []*member{{Fact: t.self, rank: rank(t.self.Name)}}
	for _, m := range t.members {
		if m.State != Dead {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.Name, b.Name))
	})
	out := map[string][]Fact{}
	for _, m := range live {
		f := m.Fact
		f.Leaving = f.Leaving || m.listedLeaving
		out[m.FailureDomain] = append(out[m.FailureDomain], f)
	}
	return out
}

// Domains returns the failure domains that have live instances, sorted.
func (t *Table) Domains() []string {
	t.Live("")
	out := make([]string, 0, len(t.byDomain))
	for d := range t.byDomain {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// Neighbours returns the live instances of the own failure domain that get
// this instance's heartbeats: all of them up to Degree, else those one step and
// a square root of the ring away, in both directions. So each instance hears
// those whom it watches, and a suspicion is never against an old beat.
func (t *Table) Neighbours() []Fact {
	live := t.Live(t.self.FailureDomain)
	at := slices.IndexFunc(live, func(f Fact) bool { return f.Name == t.self.Name })
	n := len(live)
	var out []Fact
	if n <= Degree+1 {
		for i := 1; i < n; i++ {
			out = append(out, live[(at+i)%n])
		}
		return out
	}
	root := int(math.Sqrt(float64(n)))
	for _, step := range [Degree]int{1, n - 1, root, n - root} {
		out = append(out, live[(at+step)%n])
	}
	return out
}

// Gateways returns the instances of a failure domain that watch the store and
// talk to other failure domains: the first on the ring that are not suspect
// and not leaving.
func (t *Table) Gateways(domain string) []Fact {
	var out []Fact
	for _, f := range t.Live(domain) {
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

// Probe returns in turn one listed instance that is believed dead, so that a
// healed partition is noticed.
func (t *Table) Probe() (Fact, bool) {
	var dead []Fact
	for _, f := range t.All() {
		if m := t.members[f.Name]; m != nil && m.State == Dead {
			dead = append(dead, f)
		}
	}
	if len(dead) == 0 {
		return Fact{}, false
	}
	t.probe++
	return dead[t.probe%len(dead)], true
}

// tellings is how often an instance passes a fact on: twice to each neighbour,
// since each of them does the same.
const tellings = 2 * Degree

// Updates returns at most limit facts to pass on with a heartbeat, those told
// least often first.
func (t *Table) Updates(limit int) []Fact {
	pending := make([]*member, 0, len(t.updates))
	for name := range t.updates {
		pending = append(pending, t.members[name])
	}
	slices.SortFunc(pending, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.told, b.told), strings.Compare(a.Name, b.Name))
	})
	var out []Fact
	for _, m := range pending[:min(limit, len(pending))] {
		out = append(out, m.Fact)
		if m.told++; m.told >= tellings {
			delete(t.updates, m.Name)
		}
	}
	return out
}

func rank(name string) uint64 { return xxhash.Sum64String(name) }
