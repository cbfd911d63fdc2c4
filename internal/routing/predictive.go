package routing

import (
	"math/rand/v2"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/prefix"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Predictive is the default policy. It picks the best predicted time to first
// token in a small random sample of targets, and limits long classes to a share
// of the targets that follows their demand.
type Predictive struct {
	table      *target.Table
	prefixes   *target.PrefixIndex
	longShare  longShare
	sampleSize int
}

// NewPredictive returns a Predictive policy that has observed no demand yet.
func NewPredictive(opts Options) *Predictive {
	return &Predictive{table: opts.Table, prefixes: opts.Prefixes, longShare: newLongShare(opts.Measure), sampleSize: sampleSize}
}

// QueuesRequests implements Policy.
func (*Predictive) QueuesRequests() bool { return true }

// RecordArrival implements Policy.
func (p *Predictive) RecordArrival(need *Requirements) { p.longShare.recordArrival(need) }

// Pick implements Policy.
func (p *Predictive) Pick(need *Requirements, candidates []*target.Target, rng *rand.Rand) Choice {
	if len(candidates) == 0 {
		return Choice{}
	}
	if candidates[0].Kind == configuration.PoolService {
		return pickServiceTarget(need, candidates, rng)
	}
	openTargets := candidates
	if need.Class >= request.ClassLong {
		openTargets = candidates[:p.longShare.openTargetCount(len(candidates))]
	}
	if c := p.pickBest(need, openTargets, rng); c.Target != nil {
		return c
	}
	return p.pickBest(need, candidates, rng)
}

// pickBest returns the best-scored target among a random sample of the
// candidates and the target that caches the prompt's prefix.
func (p *Predictive) pickBest(need *Requirements, candidates []*target.Target, rng *rand.Rand) Choice {
	var best score
	holder, cached := p.prefixHolder(need, candidates)
	if holder != nil {
		best = p.scoreTarget(need, holder, cached)
	}
	found := 0
	draws := newSampler(candidates, rng)
	for drawn := 0; found < p.sampleSize; drawn++ {
		tg := draws.next()
		if tg == nil || drawn >= maxDrawsPerSampledTarget*p.sampleSize && best.choice.Target != nil {
			break
		}
		if tg == holder || !eligible(need, tg) {
			continue
		}
		found++
		if s := p.scoreTarget(need, tg, 0); best.choice.Target == nil || s.less(best) {
			best = s
		}
	}
	return best.choice
}

// prefixHolder returns the eligible target that caches the longest part of the
// prompt according to the prefix index, and the number of cached tokens. It
// returns nil if there is none or if another target is the only candidate. At
// least one token is always left to prefill.
func (p *Predictive) prefixHolder(need *Requirements, candidates []*target.Target) (*target.Target, int) {
	if p.prefixes == nil || len(need.Prefix) == 0 {
		return nil, 0
	}
	tg, blocks := p.prefixes.LongestMatch(need.Prefix)
	if tg == nil || !eligible(need, tg) || len(candidates) == 1 && candidates[0] != tg {
		return nil, 0
	}
	return tg, min(blocks*prefix.BlockTokens, need.PromptTokens-1)
}

// pickServiceTarget returns the target with the fewest outstanding attempts in a
// random sample of the candidates.
func pickServiceTarget(need *Requirements, candidates []*target.Target, rng *rand.Rand) Choice {
	var best *target.Target
	found := 0
	draws := newSampler(candidates, rng)
	for drawn := 0; found < sampleSize; drawn++ {
		tg := draws.next()
		if tg == nil || drawn >= maxDrawsPerSampledTarget*sampleSize && best != nil {
			break
		}
		if !eligible(need, tg) {
			continue
		}
		found++
		if best == nil || tg.Outstanding < best.Outstanding {
			best = tg
		}
	}
	return Choice{Target: best}
}
