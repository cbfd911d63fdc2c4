package simulate

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// serviceName is the pool that all requests go to.
const serviceName = "pool"

// Settings of the instances: those of a small deployment.
const (
	retryRatio  = 0.2
	retrySlack  = 100
	retryWindow = 10 * time.Second
	ticketHold  = 20 * time.Second
)

// Kind is one kind of request.
type Kind struct {
	Name string
	// Rate is the mean number of arrivals a second, over all instances.
	Rate float64
	// Prompt is the mean number of prompt tokens, Spread the standard deviation of
	// its logarithm, MaxPrompt the largest.
	Prompt, Spread, MaxPrompt float64
	// Answer is the mean number of tokens written.
	Answer float64
	// Target is the time to the first event that callers are content with, Pause
	// the longest pause, Deadline the longest wait.
	Target, Pause, Deadline time.Duration
	// Worth is what an answer in time of mean size is worth, Late a later one.
	Worth, Late float64
}

// Phase is a stretch of a day; Factors multiply the rates by kind.
type Phase struct {
	From, To time.Duration
	Factors  map[string]float64
}

// TroubleKind is one kind of trouble.
type TroubleKind uint8

// Kinds of trouble.
const (
	// TroubleCrash ends an engine; another one is listed after For.
	TroubleCrash TroubleKind = iota
	// TroubleSlow makes the passes of an engine Factor times as long.
	TroubleSlow
)

// Trouble is one thing that happens to an engine.
type Trouble struct {
	Kind   TroubleKind
	At     time.Duration
	For    time.Duration
	Factor float64
}

// Day is what is played.
type Day struct {
	Name     string
	Length   time.Duration
	Kinds    []Kind
	Phases   []Phase
	Troubles []Trouble
}

// Kinds returns short, medium and long prompts whose rates fill about half of 16
// engines, multiplied by scale.
func Kinds(scale float64) []Kind {
	const answerTokens = 43 // written in one pass
	return []Kind{
		{
			Name: "short", Rate: 34 * scale, Prompt: 5000, Spread: 0.77, MaxPrompt: 23_800, Answer: 32 * answerTokens,
			Target: 300 * time.Millisecond, Pause: 250 * time.Millisecond, Deadline: 10 * time.Second, Worth: 1.3, Late: 0.33,
		},
		{
			Name: "medium", Rate: 1.9 * scale, Prompt: 45_000, Spread: 0.47, MaxPrompt: 110_000, Answer: 19 * answerTokens,
			Target: 1500 * time.Millisecond, Pause: 600 * time.Millisecond, Deadline: 10 * time.Second, Worth: 3.9, Late: 0.98,
		},
		{
			Name: "long", Rate: 1.6 * scale, Prompt: 133_000, Spread: 0.51, MaxPrompt: 600_000, Answer: 16 * answerTokens,
			Target: 3 * time.Second, Pause: time.Second, Deadline: 15 * time.Second, Worth: 15, Late: 3.7,
		},
	}
}

// phaseLength is about the length of the bursts that the platform's users see.
const phaseLength = 10 * time.Second

// Draw returns a day of bursts by kind, alternating between short and long
// prompts, with rates drawn by the seed.
func Draw(scale float64, troubles int, seed uint64) Day {
	rng := rand.New(rand.NewPCG(seed, 2))
	day := Day{Name: "drawn", Length: 4 * phaseLength, Kinds: Kinds(scale)}
	longFirst := rng.IntN(2)
	for i := range 4 {
		f := map[string]float64{"short": 2.1 + rng.Float64(), "medium": 0.5, "long": 0.05}
		if i%2 == longFirst {
			f = map[string]float64{"short": 0.3 + 0.2*rng.Float64(), "medium": 1.1 + 0.4*rng.Float64(), "long": 2 + 1.2*rng.Float64()}
		}
		day.Phases = append(day.Phases, Phase{time.Duration(i) * phaseLength, time.Duration(i+1) * phaseLength, f})
	}
	for i := range troubles {
		t := Trouble{Kind: TroubleCrash, At: time.Duration(rng.Float64() * float64(day.Length)), For: 3 * time.Second}
		if i%2 == 1 {
			t.Kind, t.Factor, t.For = TroubleSlow, 2+4*rng.Float64(), 5*time.Second
		}
		day.Troubles = append(day.Troubles, t)
	}
	return day
}

// factor returns the multiple of a kind's rate at a time.
func (d *Day) factor(kind string, at time.Duration) float64 {
	for _, p := range d.Phases {
		if at >= p.From && at < p.To {
			return p.Factors[kind]
		}
	}
	return 1
}

// size draws a number of prompt tokens.
func (k *Kind) size(rng *rand.Rand) int {
	median := k.Prompt / math.Exp(k.Spread*k.Spread/2)
	return int(min(k.MaxPrompt, max(100, median*math.Exp(k.Spread*rng.NormFloat64()))))
}

// configuration has one route for each kind.
func configuration(kinds []Kind, slots int) *fleet.Config {
	config := &fleet.Config{Version: 1, Services: map[string]*fleet.Service{serviceName: {
		Name: serviceName, Engine: engineFigures(slots),
	}}}
	for _, k := range kinds {
		config.Routes = append(config.Routes, fleet.Route{
			Name: k.Name, Host: "host", Prefix: "/" + k.Name + "/", Kind: fleet.KindStream, Resumable: true, Timeout: k.Deadline,
			TargetLatency: k.Target, MaxPause: k.Pause, CallerPatience: patience(k), MaxAttempts: 2, Priority: 1,
			Backends: []fleet.Backend{{Service: serviceName, Weight: 1}},
		})
	}
	config.Index()
	return config
}

// engineFigures are those of a model of 70 billion parameters on two
// accelerators.
func engineFigures(slots int) *fleet.Engine {
	return &fleet.Engine{
		Slots: slots, MemoryTokens: engineMemory, Stride: 43, StepMS: 1.02, PerSequenceMS: 0.00226, ContextMSPerK: 0.00431,
		PrefillPerMS: 206, PairsMSPerM: 0.138, Chunk: 2048, HopMS: 0.075, UsualPrompt: 12_000, UsualAnswer: 1300,
	}
}
