package forecast

import (
	"cmp"
	"slices"
)

// statedShares are the shares of the samples whose quantiles a Statement has.
var statedShares = [...]float64{0.1, 0.3, 0.5, 0.7, 0.9}

// Statement sums up what was observed of a kind, for others.
type Statement struct {
	Kind Kind
	// Samples is the number of samples by their present weight.
	Samples int
	// Quantiles are those below which 0.1, 0.3, 0.5, 0.7 and 0.9 of the samples lie.
	Quantiles []int
}

// statements returns count statements of what was observed here, in a fixed order of kinds
// from the one at index on; all of them for a count of zero. The next call goes on at next.
func statements(kinds map[Kind]*learned, from, count int) (stated []Statement, next int) {
	var observed []Kind
	for kind, k := range kinds {
		if k.own.Samples() >= 1 {
			observed = append(observed, kind)
		}
	}
	if len(observed) == 0 {
		return nil, 0
	}
	slices.SortFunc(observed, compareKinds)
	if count <= 0 || count > len(observed) {
		count = len(observed)
	}
	for i := range count {
		kind := observed[(from+i)%len(observed)]
		own := &kinds[kind].own
		s := Statement{Kind: kind, Samples: int(own.Samples())}
		for _, share := range statedShares {
			s.Quantiles = append(s.Quantiles, int(own.Quantile(share)))
		}
		stated = append(stated, s)
	}
	return stated, (from + count) % len(observed)
}

func compareKinds(a, b Kind) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Size, b.Size))
}

// fullStatement is the number of samples from which a statement counts fully.
const fullStatement = 30

// adopt adds what another has observed. Statements of it follow one another: each counts for
// some samples, so that the latest ones of all others prevail.
func adopt(kinds map[Kind]*learned, s Statement) {
	if s.Samples <= 0 || len(s.Quantiles) != len(statedShares) {
		return
	}
	told := &kindOf(kinds, s.Kind).told
	for _, quantile := range s.Quantiles {
		told.Add(float64(quantile), min(1, float64(s.Samples)/fullStatement))
	}
}

// Statements returns up to count statements of lengths observed here, from the kind at index
// from on, and the index of the next one.
func (l *Lengths) Statements(from, count int) ([]Statement, int) {
	return statements(l.kinds, from, count)
}

// Adopt adds what another instance has observed.
func (l *Lengths) Adopt(s Statement) { adopt(l.kinds, s) }

// Statements returns up to count statements of ratios observed here, from the kind at index
// from on, and the index of the next one.
func (r *Ratios) Statements(from, count int) ([]Statement, int) {
	return statements(r.kinds, from, count)
}

// Adopt adds what another instance has observed.
func (r *Ratios) Adopt(s Statement) { adopt(r.kinds, s) }
