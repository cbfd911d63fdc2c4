package routing

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/target"
)

// score rates a target for an attempt; lower is better.
type score struct {
	choice  Choice
	penalty time.Duration
}

// less reports whether s is better: a target with capacity comes before a full
// one, then the lower sum of predicted time and penalty wins.
func (s score) less(other score) bool {
	if s.choice.TargetFull != other.choice.TargetFull {
		return !s.choice.TargetFull
	}
	return s.choice.TimeToFirstToken+s.penalty < other.choice.TimeToFirstToken+other.penalty
}

// memoryPenalty is the penalty of a target with full memory, scaled by the used
// share: decode slows down and cached prefixes are evicted before the memory
// overflows.
const memoryPenalty = 200 * time.Millisecond

// longPrefillPenalty moves shorter classes away from targets that prefill long
// prompts if other targets are about as fast.
const longPrefillPenalty = 300 * time.Millisecond

// slowStartPenalty moves work away from targets that return from an ejection. It
// is the penalty of a target at half of its full load share.
const slowStartPenalty = 200 * time.Millisecond

// scoreTarget scores the target for the attempt, with cachedTokens of the prompt
// already in the target's cache.
func (p *Predictive) scoreTarget(need *Requirements, tg *target.Target, cachedTokens int) score {
	prefill := max(1, need.PromptTokens-cachedTokens)
	s := score{choice: Choice{
		Target:           tg,
		TimeToFirstToken: p.table.PredictTimeToFirstToken(need.Now, tg, need.Class, prefill),
		PrefillTokens:    prefill,
		TargetFull:       !p.hasCapacity(need, tg),
	}}
	if free, ok := tg.FreeTokens(); ok {
		used := 1 - float64(free)/float64(tg.Report.KVCapacityTokens)
		s.penalty += time.Duration(used * float64(memoryPenalty))
	}
	s.penalty += time.Duration((1/tg.LoadShare() - 1) * float64(slowStartPenalty))
	if need.Class < request.ClassLong && tg.LongPrefillTokens() > 0 {
		s.penalty += longPrefillPenalty
	}
	return s
}
