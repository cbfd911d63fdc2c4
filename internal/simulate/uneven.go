package simulate

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// Uneven describes a deployment whose demand exceeds its capacity at times, and the
// requests that its callers send.
type Uneven struct {
	Deployment Deployment
	Kinds      []Kind
}

// Names of the kinds of UnevenQ and UnevenC.
const (
	kindShort   = "short"
	kindMedium  = "medium"
	kindLongest = "longest"
)

// Delay of messages between instances on machines with a fraction of a core: the sender
// and the recipient wait for the processor.
const (
	minSlowMessageDelay = 5 * time.Millisecond
	maxSlowMessageDelay = 30 * time.Millisecond
)

// UnevenQ returns deployment Q of docs/design/uneven-demand.md.
func UnevenQ() Uneven {
	e := unevenEngine(232_000, 48, 1.02, 206)
	return Uneven{
		Deployment: unevenDeployment(23, 60, 900*time.Microsecond, e),
		Kinds: unevenKinds(e, []Kind{
			{Rate: 74.8, Priority: 0, FirstEventTarget: 250 * time.Millisecond},
			{Rate: 8.84, Priority: 1, FirstEventTarget: 1500 * time.Millisecond},
			{Rate: 2.42, Priority: 1, FirstEventTarget: 6 * time.Second, MeanPromptTokens: 190_000},
		}),
	}
}

// UnevenC returns deployment C of docs/design/uneven-demand.md.
func UnevenC() Uneven {
	e := unevenEngine(344_250, 38, 1.31, 154)
	return Uneven{
		Deployment: unevenDeployment(82, 54, 4500*time.Microsecond, e),
		Kinds: unevenKinds(e, []Kind{
			{Rate: 75.3, Priority: 1, FirstEventTarget: 300 * time.Millisecond},
			{Rate: 5.28, Priority: 1, FirstEventTarget: 1500 * time.Millisecond},
			{Rate: 1.71, Priority: 1, FirstEventTarget: 4 * time.Second, MeanPromptTokens: 260_000},
		}),
	}
}

// unevenEngine returns the figures of an engine with 12 slots. The time for attention
// pairs follows the time for tokens.
func unevenEngine(memory, stepsPerPass int, stepMS, prefillPerMS float64) *fleet.Engine {
	e := engineParams(12)
	e.PairsMSPerM *= e.PrefillPerMS / prefillPerMS
	e.MemoryTokens, e.StepsPerPass, e.StepMS, e.PrefillPerMS = memory, stepsPerPass, stepMS, prefillPerMS
	return e
}

func unevenDeployment(instances, engines int, crossDomainDelay time.Duration, e *fleet.Engine) Deployment {
	return Deployment{
		Instances: instances, Engines: engines, Domains: 3, Slots: e.Slots, Policy: fleet.PolicyValue, Engine: e,
		CrossDomainDelay: crossDomainDelay, MinMessageDelay: minSlowMessageDelay, MaxMessageDelay: maxSlowMessageDelay,
	}
}

// unevenKinds completes the short, medium and longest prompts of a deployment. Mean
// answers have 32, 19 and 16 events.
func unevenKinds(e *fleet.Engine, kinds []Kind) []Kind {
	steps := float64(e.StepsPerPass)
	short, medium, longest := kinds[0], kinds[1], kinds[2]
	short.Name, short.MeanPromptTokens, short.PromptLogStdDev, short.MaxPromptTokens = kindShort, 4960, 0.77, 23_800
	short.MeanAnswerTokens, short.MaxEventGap, short.Deadline = 32*steps, 250*time.Millisecond, 10*time.Second
	short.InTimeValue, short.LateValue = 1.3, 0.33
	medium.Name, medium.MeanPromptTokens, medium.PromptLogStdDev, medium.MaxPromptTokens = kindMedium, 45_000, 0.47, 110_000
	medium.MeanAnswerTokens, medium.MaxEventGap, medium.Deadline = 19*steps, 600*time.Millisecond, 10*time.Second
	medium.InTimeValue, medium.LateValue = 3.9, 0.98
	longest.Name, longest.PromptLogStdDev, longest.MaxPromptTokens = kindLongest, 0.51, 900_000
	longest.MeanAnswerTokens, longest.MaxEventGap, longest.Deadline = 16*steps, time.Second, 15*time.Second
	longest.InTimeValue, longest.LateValue = 15, 3.7
	return []Kind{short, medium, longest}
}

// Bursts returns a day of a minute in which the short prompts rise for 5 s, then the
// longest ones, and then both.
func (u Uneven) Bursts() Day {
	at := func(from, to time.Duration, short, longest float64) Phase {
		return Phase{from * time.Second, to * time.Second, map[string]float64{kindShort: short, kindMedium: 1, kindLongest: longest}}
	}
	return Day{
		Name: "bursts", Duration: time.Minute, Kinds: u.Kinds,
		Phases: []Phase{at(10, 15, 2.2, 1), at(25, 30, 1, 2.4), at(40, 47, 2.2, 2.4)},
	}
}

// Steady returns a day of the given length with constant factors of the usual rates.
func (u Uneven) Steady(length time.Duration, short, longest float64) Day {
	factors := map[string]float64{kindShort: short, kindMedium: 1, kindLongest: longest}
	return Day{Name: "steady", Duration: length, Kinds: u.Kinds, Phases: []Phase{{0, length, factors}}}
}
