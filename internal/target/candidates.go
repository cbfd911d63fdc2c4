package target

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxCandidates is the default limit of the targets of one model that an entry
// instance uses. With more, each would be polled so rarely that its reports would
// be too old to be useful. All present fleets are smaller.
const MaxCandidates = 24

// CandidateSelector identifies the entry instance that candidates are selected for. The
// zero value is an instance without a name and failure domain.
type CandidateSelector struct {
	Instance      string
	FailureDomain string
	// Max limits the candidates of one model; zero means MaxCandidates.
	Max int
}

// selectCandidates returns the targets that the instance uses out of all that
// serve a model. Targets in its own failure domain come first, then the order is
// by rendezvous hashing of the instance's and the target's name, which spreads
// instances evenly and changes few candidates when targets are added or removed.
func (c CandidateSelector) selectCandidates(all []*Target) []*Target {
	limit := c.Max
	if limit == 0 {
		limit = MaxCandidates
	}
	if len(all) <= limit {
		return all
	}
	type ranked struct {
		target *Target
		rank   uint64
		remote bool
	}
	ranks := make([]ranked, len(all))
	for i, tg := range all {
		ranks[i] = ranked{tg, xxhash.Sum64String(c.Instance + "\x00" + tg.Name), tg.FailureDomain != c.FailureDomain}
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		if a.remote != b.remote {
			if a.remote {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.target.Name, b.target.Name))
	})
	selected := make([]*Target, limit)
	for i := range selected {
		selected[i] = ranks[i].target
	}
	return selected
}

// ForEachCandidate calls fn for each target that is a candidate for at least one model,
// in the order of the configuration.
func (t *Table) ForEachCandidate(fn func(*Target)) {
	chosen := make(map[*Target]bool)
	for _, targets := range t.byModel {
		for _, tg := range targets {
			chosen[tg] = true
		}
	}
	for _, tg := range t.ordered {
		if chosen[tg] {
			fn(tg)
		}
	}
}
