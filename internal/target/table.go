package target

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlardeck/medlardeck/internal/configuration"
)

// Target is the state that this entry instance has for one target.
type Target struct {
	Name          string
	Address       string
	FailureDomain string
	Pool          string
	Kind          configuration.PoolKind
	Models        []string
	// Draining is set while operators drain the target: it gets no new work.
	Draining bool
	// ListedAsLeaving is set while the platform's list shows the target as leaving.
	ListedAsLeaving bool
	// NotListening is set if nothing listened at the target's address when it was last
	// polled.
	NotListening bool
	// Unresponsive is set if the target has neither reported nor made progress for too
	// long.
	Unresponsive bool
	// ReportsUntilTrusted is the number of reports that must arrive from the target before it
	// gets new work, after a peer reported that it died.
	ReportsUntilTrusted int
	// Isolated is set while the target is reserved for requests suspected of
	// crashing targets.
	Isolated bool
	// IsolatedUntil is the time at which an isolation requested by a peer ends
	// unless the peer renews it.
	IsolatedUntil time.Duration
	// Outstanding counts the attempts of this entry instance in flight.
	Outstanding int
	// BusySince is the time at which Outstanding last rose from zero.
	BusySince time.Duration
	// Report is the last load report; zero before the first.
	Report Report

	health health
	load   loadEstimate
	rates  rates
}

// Table holds all targets that this entry instance may use.
type Table struct {
	byName  map[string]*Target
	ordered []*Target // in the order of the configuration
	byModel map[string][]*Target
	byPool  map[string][]*Target

	// fleetRates is learnt from all targets and used for targets that have not
	// answered yet.
	fleetRates     rates
	tokenEstimator TokenEstimator
	priorities     Priorities
}

// NewTable returns an empty table with the default priorities.
func NewTable() *Table {
	return &Table{byName: map[string]*Target{}, priorities: DefaultPriorities()}
}

// ApplyIntent replaces the set of targets with that of the intent. Targets that remain
// at the same address keep their state. chooser identifies the entry instance
// whose candidates ServingModel returns.
func (t *Table) ApplyIntent(in *configuration.Intent, chooser CandidateSelector) {
	previous := t.byName
	t.byName = make(map[string]*Target, len(previous))
	t.ordered = t.ordered[:0]
	t.byModel = make(map[string][]*Target)
	t.byPool = make(map[string][]*Target)
	for _, pool := range in.Pools {
		for _, ct := range pool.Targets {
			t.addTarget(previous[ct.Name], pool, ct, slices.Contains(in.Drains.Targets, ct.Name))
		}
	}
	for model, targets := range t.byModel {
		t.byModel[model] = chooser.selectCandidates(targets)
		slices.SortFunc(t.byModel[model], compareNameHash)
	}
}

// addTarget adds a configured target. It reuses tg, the state from the previous
// configuration, if tg has the same address.
func (t *Table) addTarget(tg *Target, pool configuration.Pool, ct configuration.Target, draining bool) {
	if tg == nil || tg.Address != ct.Address {
		tg = &Target{Name: ct.Name, Address: ct.Address}
	}
	tg.FailureDomain, tg.Pool, tg.Kind, tg.Draining = ct.FailureDomain, pool.Name, pool.Kind, draining
	tg.Models = pool.Models
	if len(ct.Models) > 0 {
		tg.Models = ct.Models
	}
	t.byName[tg.Name] = tg
	t.ordered = append(t.ordered, tg)
	t.byPool[pool.Name] = append(t.byPool[pool.Name], tg)
	for _, m := range tg.Models {
		t.byModel[m] = append(t.byModel[m], tg)
	}
}

// Get returns the named target, or nil if there is none.
func (t *Table) Get(name string) *Target { return t.byName[name] }

// ServingModel returns the candidates of this entry instance for a model, ordered
// by a hash of their names. The order is the same at every entry instance and does
// not change when targets are added or removed. The slice is shared and must not be
// modified.
func (t *Table) ServingModel(model string) []*Target { return t.byModel[model] }

// InPool returns the targets of a pool. The slice is shared and must not be
// modified.
func (t *Table) InPool(pool string) []*Target { return t.byPool[pool] }

// ForEach calls fn for each target in the order of the configuration.
func (t *Table) ForEach(fn func(*Target)) {
	for _, tg := range t.ordered {
		fn(tg)
	}
}

// compareNameHash orders targets by the hash of their names.
func compareNameHash(a, b *Target) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}
