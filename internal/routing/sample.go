package routing

import (
	"math/rand/v2"

	"github.com/medlardeck/medlardeck/internal/target"
)

// sampleSize is how many eligible targets are scored for one attempt. The best
// of a few is close to the best of all, and entry instances with the same stale
// reports do not all choose the same target. Larger samples cause herding.
const sampleSize = 4

// maxDrawsPerSampledTarget bounds the candidates drawn to fill a sample when many
// are ineligible. It applies once an eligible target was found.
const maxDrawsPerSampledTarget = 4

// sampler iterates over candidates in random order without repetition. It starts
// at a random position and advances by a random stride that is coprime to the
// number of candidates.
type sampler struct {
	candidates       []*target.Target
	position, stride int
	remaining        int
}

func newSampler(candidates []*target.Target, rng *rand.Rand) sampler {
	n := len(candidates)
	if n == 0 {
		return sampler{}
	}
	stride := 1 + rng.IntN(n)
	for gcd(stride, n) != 1 {
		stride++
	}
	return sampler{candidates: candidates, position: rng.IntN(n), stride: stride, remaining: n}
}

// next returns the next candidate, or nil after all were returned.
func (s *sampler) next() *target.Target {
	if s.remaining == 0 {
		return nil
	}
	s.remaining--
	tg := s.candidates[s.position]
	s.position = (s.position + s.stride) % len(s.candidates)
	return tg
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
