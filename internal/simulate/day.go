package simulate

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// serviceName is the service that all requests are routed to.
const serviceName = "pool"

// Settings of the instances, with the values of a small deployment.
const (
	retryRatio      = 0.2
	retrySlack      = 100
	retryWindow     = 10 * time.Second
	reservationHold = 20 * time.Second
)

// Kind describes one kind of request.
type Kind struct {
	Name string
	// Rate is the mean number of arrivals per second over all instances.
	Rate float64
	// The number of prompt tokens has a log-normal distribution: its mean, the
	// standard deviation of its logarithm, and its upper limit.
	MeanPromptTokens, PromptLogStdDev, MaxPromptTokens float64
	// MeanAnswerTokens is the mean number of generated tokens.
	MeanAnswerTokens float64
	// An answer is in time if its first event comes within FirstEventTarget and no
	// pause between events exceeds MaxEventGap. Deadline is the request's deadline, from
	// its arrival.
	FirstEventTarget, MaxEventGap, Deadline time.Duration
	// InTimeValue is the value of an answer in time to a prompt of mean size, and
	// LateValue that of a late one.
	InTimeValue, LateValue float64
	// Priority is that of the kind's route.
	Priority int
	// Workspace is the workspace of the kind's callers; empty for anonymous ones.
	Workspace string
}

// Phase is the part of a day from From up to To. RateFactors multiplies the arrival
// rates; its keys are names of kinds.
type Phase struct {
	From, To    time.Duration
	RateFactors map[string]float64
}

// FaultKind is a kind of engine fault.
type FaultKind uint8

// Kinds of engine faults.
const (
	// FaultCrash crashes an engine; a new one replaces it after Duration.
	FaultCrash FaultKind = iota
	// FaultSlow makes the passes of an engine SlowdownFactor times as long.
	FaultSlow
	// FaultSilent stops engines for Duration, after which they go on.
	FaultSilent
)

// FaultScope says which engines a fault hits.
type FaultScope uint8

// Scopes of faults.
const (
	// ScopeEngine is one engine, which is drawn from those running.
	ScopeEngine FaultScope = iota
	// ScopeDomain is all engines in the failure domain of the one that is drawn.
	ScopeDomain
	// ScopeAll is all engines.
	ScopeAll
)

// Fault is a fault of engines at the time At.
type Fault struct {
	Kind           FaultKind
	Scope          FaultScope
	At             time.Duration
	Duration       time.Duration
	SlowdownFactor float64
}

// Day is the workload of one simulated day and the faults during it. Phases apply
// factors to the rates of Kinds; outside them the factor is 1.
type Day struct {
	Name     string
	Duration time.Duration
	Kinds    []Kind
	Phases   []Phase
	Faults   []Fault
	// InstancesLostAt is when every second instance ends without a stop, zero for never.
	InstancesLostAt time.Duration
}

// DefaultKinds returns requests with short, medium and long prompts. At scale 1 their
// rates use about half the capacity of 16 engines; scale multiplies the rates.
func DefaultKinds(scale float64) []Kind {
	const tokensPerPass = 43 // tokens that an engine generates in one pass
	return []Kind{
		{
			Name: "short", Rate: 34 * scale, MeanPromptTokens: 5000, PromptLogStdDev: 0.77, MaxPromptTokens: 23_800, MeanAnswerTokens: 32 * tokensPerPass,
			FirstEventTarget: 300 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Deadline: 10 * time.Second, InTimeValue: 1.3, LateValue: 0.33, Priority: 1,
		},
		{
			Name: "medium", Rate: 1.9 * scale, MeanPromptTokens: 45_000, PromptLogStdDev: 0.47, MaxPromptTokens: 110_000, MeanAnswerTokens: 19 * tokensPerPass,
			FirstEventTarget: 1500 * time.Millisecond, MaxEventGap: 600 * time.Millisecond, Deadline: 10 * time.Second, InTimeValue: 3.9, LateValue: 0.98, Priority: 1,
		},
		{
			Name: "long", Rate: 1.6 * scale, MeanPromptTokens: 133_000, PromptLogStdDev: 0.51, MaxPromptTokens: 600_000, MeanAnswerTokens: 16 * tokensPerPass,
			FirstEventTarget: 3 * time.Second, MaxEventGap: time.Second, Deadline: 15 * time.Second, InTimeValue: 15, LateValue: 3.7, Priority: 1,
		},
	}
}

const (
	// phaseLength is about the length of the bursts that the platform's users see.
	phaseLength  = 10 * time.Second
	phasesPerDay = 4
	// minPromptTokens is the lower limit of a drawn prompt size.
	minPromptTokens = 100
)

// Draw returns a random day of phases that alternate between bursts of short and of
// long prompts, with the given number of faults. The same seed gives the same day;
// scale is that of DefaultKinds.
func Draw(scale float64, faults int, seed uint64) Day {
	rng := rand.New(rand.NewPCG(seed, 2))
	day := Day{Name: "drawn", Duration: phasesPerDay * phaseLength, Kinds: DefaultKinds(scale)}
	longFirst := rng.IntN(2)
	for i := range phasesPerDay {
		f := map[string]float64{"short": 2.1 + rng.Float64(), "medium": 0.5, "long": 0.05}
		if i%2 == longFirst {
			f = map[string]float64{"short": 0.3 + 0.2*rng.Float64(), "medium": 1.1 + 0.4*rng.Float64(), "long": 2 + 1.2*rng.Float64()}
		}
		day.Phases = append(day.Phases, Phase{time.Duration(i) * phaseLength, time.Duration(i+1) * phaseLength, f})
	}
	for i := range faults {
		t := Fault{Kind: FaultCrash, At: time.Duration(rng.Float64() * float64(day.Duration)), Duration: 3 * time.Second}
		if i%2 == 1 {
			t.Kind, t.SlowdownFactor, t.Duration = FaultSlow, 2+4*rng.Float64(), 5*time.Second
		}
		day.Faults = append(day.Faults, t)
	}
	return day
}

// rateFactor returns the factor of a kind's arrival rate at a time of the day.
func (d *Day) rateFactor(kind string, at time.Duration) float64 {
	for _, p := range d.Phases {
		if at >= p.From && at < p.To {
			return p.RateFactors[kind]
		}
	}
	return 1
}

// drawPromptTokens draws a number of prompt tokens. The median follows from the mean
// of the log-normal distribution before its limits apply.
func (k *Kind) drawPromptTokens(rng *rand.Rand) int {
	median := k.MeanPromptTokens / math.Exp(k.PromptLogStdDev*k.PromptLogStdDev/2)
	return int(min(k.MaxPromptTokens, max(minPromptTokens, median*math.Exp(k.PromptLogStdDev*rng.NormFloat64()))))
}

// buildConfig returns a configuration with one route for each kind, all to one
// service with the given engines.
func buildConfig(kinds []Kind, engine *fleet.Engine) *fleet.Config {
	config := &fleet.Config{Version: 1, Services: map[string]*fleet.Service{serviceName: {
		Name: serviceName, Engine: engine,
	}}}
	for _, k := range kinds {
		config.Routes = append(config.Routes, &fleet.Route{
			Name: k.Name, Host: "host", Prefix: "/" + k.Name + "/", Kind: fleet.KindStream, Resumable: true, Timeout: k.Deadline,
			TargetLatency: k.FirstEventTarget, MaxEventGap: k.MaxEventGap, CallerTimeout: callerTimeout(k), MaxAttempts: 2, Priority: k.Priority,
			Backends: []fleet.Backend{{Service: serviceName, Weight: 1}},
		})
	}
	config.BuildIndexes()
	return config
}

// engineParams returns the performance parameters of a model of 70 billion
// parameters on two accelerators.
func engineParams(slots int) *fleet.Engine {
	return &fleet.Engine{
		Slots: slots, MemoryTokens: engineMemoryTokens, StepsPerPass: 43, StepMS: 1.02, PerSequenceMS: 0.00226, ContextMSPerK: 0.00431,
		PrefillPerMS: 206, PairsMSPerM: 0.138, PrefillChunkTokens: 2048, SplitStepMS: 0.075, MeanPromptTokens: 12_000, MeanAnswerTokens: 1300,
	}
}
