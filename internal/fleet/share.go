package fleet

import (
	"cmp"
	"math"
	"slices"
)

// Bounds of the share of the targets that is kept for short requests.
const (
	// shortFill is the share of a target's slots that short requests fill at the
	// targets kept for them, so that a burst finds places.
	shortFill = 0.7
	// maxShortShare is the largest share of the targets that is kept for short
	// requests: long ones need some as well.
	maxShortShare = 0.75
	// longPart is the part of a short request's longest pause that a prompt of
	// another kind may take to be read at a target kept for short requests.
	longPart = 0.25
)

// short reports whether a load is that of a short request, which long reads in
// the same passes would delay.
func (f *flight) short() bool {
	return !f.Part && f.ReadMS < shortShare*float64(f.MaxPauseMS)
}

// reserved returns the candidates that are kept for short requests, and the
// shortest of those requests' longest pauses in milliseconds. Their number
// follows the short requests in flight; all instances that see the same loads
// come to the same answer.
func reserved(cands []candidate) (kept map[string]bool, pauseMS float64) {
	type count struct {
		id    string
		short int
	}
	counts := make([]count, len(cands))
	total, slots := 0, 0
	pauseMS = math.Inf(1)
	for i := range cands {
		counts[i].id = cands[i].ID
		slots += cands[i].Slots
		for _, f := range cands[i].flights {
			if f.short() {
				counts[i].short++
				pauseMS = min(pauseMS, float64(f.MaxPauseMS))
			}
		}
		total += counts[i].short
	}
	if total == 0 || slots == 0 {
		return nil, pauseMS
	}
	perTarget := float64(slots) / float64(len(cands)) * shortFill
	n := int(math.Ceil(float64(total)/perTarget)) + 1
	n = min(n, int(maxShortShare*float64(len(cands))))
	slices.SortFunc(counts, func(a, b count) int {
		return cmp.Or(cmp.Compare(b.short, a.short), cmp.Compare(a.id, b.id))
	})
	kept = make(map[string]bool, n)
	for _, c := range counts[:n] {
		kept[c.id] = true
	}
	return kept, pauseMS
}
