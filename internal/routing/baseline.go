package routing

import (
	"math/rand/v2"

	"github.com/medlardeck/medlardeck/internal/target"
)

// RoundRobin picks the eligible targets in turn. It is a baseline to compare
// other policies with.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(need *Requirements, candidates []*target.Target, _ *rand.Rand) Choice {
	for range candidates {
		tg := candidates[p.next%len(candidates)]
		p.next++
		if eligible(need, tg) {
			return Choice{Target: tg, PrefillTokens: need.PromptTokens}
		}
	}
	return Choice{}
}

// QueuesRequests implements Policy.
func (*RoundRobin) QueuesRequests() bool { return false }

// RecordArrival implements Policy.
func (*RoundRobin) RecordArrival(*Requirements) {}

// LeastOutstanding picks the eligible target with the fewest attempts of this
// entry instance in flight and breaks ties at random. It is a baseline to
// compare other policies with.
type LeastOutstanding struct{}

// Pick implements Policy.
func (LeastOutstanding) Pick(need *Requirements, candidates []*target.Target, rng *rand.Rand) Choice {
	var best *target.Target
	ties := 0
	for _, tg := range candidates {
		if !eligible(need, tg) {
			continue
		}
		switch {
		case best == nil || tg.Outstanding < best.Outstanding:
			best, ties = tg, 1
		case tg.Outstanding == best.Outstanding:
			ties++
			if rng.IntN(ties) == 0 {
				best = tg
			}
		}
	}
	return Choice{Target: best, PrefillTokens: need.PromptTokens}
}

// QueuesRequests implements Policy.
func (LeastOutstanding) QueuesRequests() bool { return false }

// RecordArrival implements Policy.
func (LeastOutstanding) RecordArrival(*Requirements) {}
