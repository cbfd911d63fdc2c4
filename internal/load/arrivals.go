package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/request"
)

// arrival is one planned request.
type arrival struct {
	at        time.Duration // engine time from the start
	tokens    int           // of the prompt
	maxTokens int           // of the answer
	class     request.Class
	workspace int
	entry     int    // entry instance that the balancer picks
	unique    uint64 // makes the prompt's text its own
}

// mix is the share of each length class and its range of prompt tokens, drawn
// log-uniformly.
type mix [request.NumClasses]struct {
	share    float64
	min, max int
}

// standardMix has one prompt in fifty over a hundred thousand tokens.
func standardMix() mix {
	return mix{
		request.ClassShort:  {0.60, 1000, request.MaxShortTokens},
		request.ClassMedium: {0.28, request.MaxShortTokens + 1, request.MaxMediumTokens},
		request.ClassLong:   {0.10, request.MaxMediumTokens + 1, request.MaxLongTokens},
		request.ClassHuge:   {0.02, request.MaxLongTokens + 1, 1_000_000},
	}
}

// meanTokens returns the mean prompt of the mix.
func (m mix) meanTokens() float64 {
	sum := 0.0
	for _, c := range m {
		if c.share == 0 {
			continue
		}
		lo, hi := float64(c.min), float64(c.max)
		sum += c.share * (hi - lo) / math.Log(hi/lo)
	}
	return sum
}

func (m mix) draw(rng *rand.Rand) (request.Class, int) {
	u := rng.Float64()
	class := request.ClassShort
	for c, part := range m {
		if part.share > 0 {
			class = request.Class(c)
		}
		if u -= part.share; u < 0 {
			break
		}
	}
	part := m[class]
	ratio := float64(part.max) / float64(part.min)
	return class, int(float64(part.min) * math.Pow(ratio, rng.Float64()))
}

// workspaceShares are the requests of ten workspaces, a few of them large.
var workspaceShares = []float64{0.30, 0.20, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05}

// workspaceName returns the name of a workspace by its index.
func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }

func drawWorkspace(rng *rand.Rand) int {
	u := rng.Float64()
	for i, share := range workspaceShares {
		if u -= share; u < 0 {
			return i
		}
	}
	return len(workspaceShares) - 1
}

// Lengths of answers, in tokens.
const (
	minAnswer = 20
	maxAnswer = 150
)

// plan draws Poisson arrivals at a rate of requests per second for a time.
func plan(seed uint64, m mix, rate float64, duration time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 0x6c6f6164))
	var out []arrival
	at := 0.0
	for {
		at += rng.ExpFloat64() / rate
		a := arrival{at: time.Duration(at * float64(time.Second)), unique: rng.Uint64()}
		if a.at >= duration {
			return out
		}
		a.class, a.tokens = m.draw(rng)
		a.maxTokens = minAnswer + rng.IntN(maxAnswer-minAnswer+1)
		a.workspace = drawWorkspace(rng)
		a.entry = rng.IntN(dev.Entries)
		out = append(out, a)
	}
}

// only keeps the arrivals of one class.
func only(all []arrival, class request.Class) []arrival {
	var out []arrival
	for _, a := range all {
		if a.class == class {
			out = append(out, a)
		}
	}
	return out
}
