package load

import (
	"context"

	"github.com/medlardeck/medlardeck/internal/soak"
)

// soakScenario runs the whole deployment under every fault, singly and in pairs.
func soakScenario() Scenario {
	return Scenario{
		Name: "faults", Summary: "every fault singly and in pairs, with the promises checked afterwards",
		Run: func(ctx context.Context, opts Options) (Result, error) {
			return soak.Run(ctx, soak.Options{Seed: opts.Seed, Speed: opts.Speed, Progress: opts.Progress})
		},
	}
}
