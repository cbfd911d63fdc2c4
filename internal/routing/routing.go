// Package routing decides which target runs an attempt: filters remove targets
// that cannot take it, a scorer predicts the time to first token on a sample of
// the rest, and a picker takes the best.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Requirements describes the attempt to route.
type Requirements struct {
	// Now is the time of the decision on the entry instance's monotonic clock.
	Now          time.Duration
	Class        request.Class
	PromptTokens int
	MaxTokens    int // limit of the answer's length
	// Prefix holds chained hashes of the prompt's leading blocks.
	Prefix []uint64
	// Tried holds the names of the targets that this request has tried before.
	Tried []string
}

// MemoryTokens returns the most KV memory that the attempt can take, in tokens.
func (n *Requirements) MemoryTokens() int { return n.PromptTokens + n.MaxTokens }

// Choice is the target chosen for an attempt.
type Choice struct {
	// Target is nil when no candidate can take the attempt.
	Target *target.Target
	// TimeToFirstToken is the predicted time from now to the first token.
	TimeToFirstToken time.Duration
	// PrefillTokens counts the prompt tokens that are not expected in the
	// target's cache.
	PrefillTokens int
	// TargetFull reports that the target lacks capacity now: the attempt would wait
	// there.
	TargetFull bool
}

// Policy chooses a target among candidates. Implementations draw randomness
// only from rng.
type Policy interface {
	Pick(need *Requirements, candidates []*target.Target, rng *rand.Rand) Choice
	// QueuesRequests reports whether requests wait in the entry instance while targets
	// are full; otherwise they are sent immediately.
	QueuesRequests() bool
	// RecordArrival adds the arrival of a completion to the measured demand.
	RecordArrival(need *Requirements)
}

// Options are the inputs of a policy.
type Options struct {
	Table *target.Table
	// Prefixes hints at which targets cache which prefixes; nil for no hints.
	Prefixes *target.PrefixIndex
	Measure  configuration.Measure
}

// New returns the named policy, or Predictive if the name is unknown.
func New(name configuration.RoutingPolicy, opts Options) Policy {
	switch name {
	case configuration.PolicyRoundRobin:
		return &RoundRobin{}
	case configuration.PolicyLeastOutstanding:
		return LeastOutstanding{}
	}
	return NewPredictive(opts)
}
