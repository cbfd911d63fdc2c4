package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/request"
)

// Defaults of the scenarios.
const (
	defaultEngines  = 15
	defaultSpeed    = 5
	defaultDuration = 90 * time.Second // engine time
	prefillRate     = 20_000           // tokens per second of one stand-in engine
)

// limits of the scenarios, in milliseconds of engine time: shorter than the
// product's defaults, so that a run sees them pass.
var limits = configuration.ClassValues{Short: 10_000, Medium: 20_000, Long: 60_000, Huge: 120_000}

// spec describes a scenario of mixed lengths.
type spec struct {
	name, summary string
	load          float64
	mix           mix
	duration      time.Duration
	reportLag     time.Duration
	// alone repeats each policy's run with its short arrivals only, for their
	// slowdown.
	alone   bool
	disturb func(ctx context.Context, r *run)
}

func mixedScenarios() []Scenario {
	short := mix{request.ClassShort: {1, 1000, request.MaxShortTokens}}
	return scenariosOf([]spec{
		{name: "short-only", summary: "short prompts alone", load: 0.3, mix: short},
		{name: "mixed", summary: "prompts of 1k to 1M tokens, and the slowdown of the short", load: 0.6, mix: standardMix(), alone: true},
		{name: "mixed-overload", summary: "more prefill work than the engines can do", load: 1.4, mix: standardMix(), duration: 240 * time.Second},
		{name: "stale-reports", summary: "load reports five seconds old", load: 0.6, mix: standardMix(), reportLag: 5 * time.Second},
	})
}

func scenariosOf(specs []spec) []Scenario {
	out := make([]Scenario, len(specs))
	for i, s := range specs {
		out[i] = Scenario{Name: s.name, Summary: s.summary, Run: s.run}
	}
	return out
}

func (s spec) run(ctx context.Context, opts Options) (Result, error) {
	opts = opts.withDefaults(s)
	duration := s.duration
	if duration == 0 {
		duration = defaultDuration
	}
	rate := opts.Load * float64(opts.Engines) * prefillRate / s.mix.meanTokens()
	arrivals := plan(opts.Seed, s.mix, rate, duration)
	res := &Comparison{
		Scenario: s.name, Seed: opts.Seed, Engines: opts.Engines, Entries: dev.Entries, Speed: opts.Speed,
		Load: opts.Load, RequestsPerSecond: rate, DurationSeconds: duration.Seconds(), LimitsMS: limits,
	}
	for _, policy := range opts.Policies {
		f := fleet{
			engines: opts.Engines, speed: opts.Speed, seed: opts.Seed, policy: policy,
			measure: configuration.MeasureFirstToken, limits: limits, reportLag: s.reportLag, disturb: s.disturb,
		}
		fmt.Fprintf(opts.Progress, "%s: %s, %d requests\n", s.name, policy, len(arrivals))
		samples, held, err := execute(ctx, f, arrivals)
		if err != nil {
			return nil, err
		}
		out := summarize(policy, samples, held)
		if s.alone {
			alone := only(arrivals, request.ClassShort)
			fmt.Fprintf(opts.Progress, "%s: %s, %d short requests alone\n", s.name, policy, len(alone))
			samples, _, err := execute(ctx, f, alone)
			if err != nil {
				return nil, err
			}
			out.compareAlone(summarize(policy, samples, 0))
		}
		res.Policies = append(res.Policies, out)
	}
	return res, nil
}

func (o Options) withDefaults(s spec) Options {
	if o.Speed == 0 {
		o.Speed = defaultSpeed
	}
	if o.Engines == 0 {
		o.Engines = defaultEngines
	}
	if o.Load == 0 {
		o.Load = s.load
	}
	if len(o.Policies) == 0 {
		o.Policies = []string{
			string(configuration.PolicyMedlardeck), string(configuration.PolicyRoundRobin), string(configuration.PolicyLeastOutstanding),
		}
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}
