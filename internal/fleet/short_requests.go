package fleet

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the targets that are dedicated to short requests.
const (
	// shortSlotShare is the share of a dedicated target's slots that short requests
	// are planned to fill; the rest is headroom for bursts.
	shortSlotShare = 0.7
	// maxShortTargetShare is the largest share of the targets that is dedicated to
	// short requests: long ones need some as well.
	maxShortTargetShare = 0.75
	// longPrefillShare bounds the prefill of any other prompt at a dedicated target,
	// as a share of the short requests' maximum pause.
	longPrefillShare = 0.25
)

// isShort reports whether a load is that of a short request: its prefill is short
// against its maximum pause, and long prefills in the same passes would delay it.
func (l *trackedLoad) isShort() bool {
	return !l.HelperPart && l.PrefillMS < shortPrefillShare*float64(l.MaxEventGapMS)
}

// shortRequestTargets returns the ids of the candidates that are dedicated to short
// requests, and the smallest maximum pause of those requests in milliseconds
// (infinite if there are none). The number of targets follows the number of short
// requests in flight. The result depends on the loads alone, so that all instances
// that know the same loads choose the same targets. The headroom for the given number of
// unheard short requests is left free at each of them.
func shortRequestTargets(candidates []candidate, unheard float64) (shortTargets map[string]bool, shortestPauseMS float64) {
	type targetCount struct {
		id    string
		short int
	}
	counts := make([]targetCount, len(candidates))
	shortRequests, slots := 0, 0
	shortestPauseMS = math.Inf(1)
	for i := range candidates {
		counts[i].id = candidates[i].ID
		slots += candidates[i].Slots
		for _, tracked := range candidates[i].loads {
			if tracked.isShort() {
				counts[i].short++
				shortestPauseMS = min(shortestPauseMS, float64(tracked.MaxEventGapMS))
			}
		}
		shortRequests += counts[i].short
	}
	if shortRequests == 0 || slots == 0 {
		return nil, shortestPauseMS
	}
	meanSlots := float64(slots) / float64(len(candidates))
	shortPerTarget := min(meanSlots*shortSlotShare, meanSlots-headroom(int(meanSlots), unheard))
	dedicated := int(math.Ceil(float64(shortRequests)/shortPerTarget)) + 1
	dedicated = min(dedicated, int(maxShortTargetShare*float64(len(candidates))))
	slices.SortFunc(counts, func(a, b targetCount) int {
		return cmp.Or(cmp.Compare(b.short, a.short), cmp.Compare(a.id, b.id))
	})
	shortTargets = make(map[string]bool, dedicated)
	for _, c := range counts[:dedicated] {
		shortTargets[c.id] = true
	}
	return shortTargets, shortestPauseMS
}
