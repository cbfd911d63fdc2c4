package routing

import (
	"math"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
)

// Parameters of the share of a model's targets that is open to long classes.
const (
	// minLongShare and maxLongShare bound the share.
	minLongShare = 0.25
	maxLongShare = 1.0
	// slowdownLongShare replaces maxLongShare if operators chose the slowdown of
	// short requests as the measure instead of the time to first token.
	slowdownLongShare = 0.8
	// longShareHeadroom multiplies the long classes' share of the prompt tokens to
	// get the share of targets that is open to them.
	longShareHeadroom = 1.3
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = 30 * time.Second
)

// longShare measures the share of prefill work that comes from long classes and
// derives how many targets are open to it. These are the first of the ranked
// candidates, so that entry instances agree without communicating.
type longShare struct {
	maxShare                float64
	updatedAt               time.Duration
	longTokens, otherTokens float64 // decayed sums of prompt tokens
}

func newLongShare(m configuration.Measure) longShare {
	if m == configuration.MeasureShortSlowdown {
		return longShare{maxShare: slowdownLongShare}
	}
	return longShare{maxShare: maxLongShare}
}

// recordArrival adds an arriving request to the decayed sums.
func (s *longShare) recordArrival(need *Requirements) {
	if need.Now > s.updatedAt {
		decay := math.Exp(-float64(need.Now-s.updatedAt) / float64(demandTimeConstant))
		s.longTokens *= decay
		s.otherTokens *= decay
		s.updatedAt = need.Now
	}
	if need.Class >= request.ClassLong {
		s.longTokens += float64(need.PromptTokens)
		return
	}
	s.otherTokens += float64(need.PromptTokens)
}

// openTargetCount returns how many of n targets are open to long classes.
func (s *longShare) openTargetCount(n int) int {
	share := s.maxShare
	if sum := s.longTokens + s.otherTokens; sum > 0 {
		share = min(s.maxShare, max(minLongShare, longShareHeadroom*s.longTokens/sum))
	}
	return min(n, max(1, int(math.Ceil(share*float64(n)))))
}
