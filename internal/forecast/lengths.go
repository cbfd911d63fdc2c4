package forecast

import (
	"math"
	"math/bits"
)

// Kind is a kind of request whose answers are alike.
type Kind struct {
	Service string
	// Class is the route; or another name that stands for requests of which less is known.
	Class string
	// Size is a class of prompt sizes, see SizeOf.
	Size uint8
}

// SizeOf returns the class of a prompt: sizes in it differ by less than a factor of four.
func SizeOf(promptTokens int) uint8 { return uint8((bits.Len(uint(max(0, promptTokens))) + 1) / 2) }

const (
	// maxKinds and maxHinters bound the memory: 128 kinds of 1,500 bytes and 64 hinters of 750. What comes
	// in addition takes the place of that with the fewest samples.
	maxKinds   = 128
	maxHinters = 64
	// priorSamples is the number of samples that what was assumed before counts for.
	priorSamples = 6
	// hintScale is the value of a length in a histogram of ratios that is just as hinted.
	hintScale = 2048
	// trustMemory is the number of answers after which what a hinter's answers have shown of
	// its hints has fallen to 1/e, and initialTrust the trust in a hinter that is not known.
	trustMemory  = 40
	initialTrust = 0.3
	// minDensity bounds what a single answer says for or against hints.
	minDensity = 0.01
)

// Lengths learns the lengths of answers, in tokens.
type Lengths struct {
	kinds   map[Kind]*learned
	hinters map[string]*hinter
}

// learned is what is known of a kind: what was observed here, and what others have told.
type learned struct{ own, told Histogram }

// hinter is a source of hints.
type hinter struct {
	ratios Histogram // of length to hint
	// evidence is the decaying sum of the logarithms of the likelihood of the lengths by the
	// hints to that by their kinds.
	evidence float64
}

// NewLengths returns Lengths that have observed nothing.
func NewLengths() *Lengths {
	return &Lengths{kinds: make(map[Kind]*learned), hinters: make(map[string]*hinter)}
}

// Length is the distribution of the length of one answer.
type Length struct {
	kind        *learned
	hinter      *hinter
	hint, trust float64
	mean, limit float64 // assumed where nothing is known
}

// Predict returns the distribution of the length of an answer of a kind. The hint of its
// client, zero for none, comes from the hinter. The mean is assumed while nothing is known,
// and no answer is longer than limit tokens unless that is zero.
func (l *Lengths) Predict(kind Kind, hinterName string, hint int, mean, limit float64) Length {
	d := Length{kind: l.kinds[kind], mean: max(1, mean), limit: limit}
	if hint <= 0 {
		return d
	}
	d.hint, d.trust = float64(hint), initialTrust
	if d.hinter = l.hinters[hinterName]; d.hinter != nil {
		d.trust = d.hinter.trust()
	}
	return d
}

// trust is the weight of a hint against what is known of its kind.
func (h *hinter) trust() float64 {
	odds := initialTrust / (1 - initialTrust) * math.Exp(min(20, max(-20, h.evidence)))
	return odds / (1 + odds)
}

// EndsWithin returns the probability that the answer ends within the next tokens after the first
// sent ones.
func (d *Length) EndsWithin(sent, tokens float64) float64 {
	if tokens <= 0 {
		return 0
	}
	base := d.Below(sent)
	if base >= 1 {
		return 1
	}
	return (d.Below(sent+tokens) - base) / (1 - base)
}

// Below returns the probability that the answer has fewer tokens.
func (d *Length) Below(tokens float64) float64 {
	if d.limit > 0 && tokens >= d.limit {
		return 1
	}
	if tokens <= 0 {
		return 0
	}
	byKind := d.belowByKind(tokens)
	if d.trust == 0 {
		return byKind
	}
	return (1-d.trust)*byKind + d.trust*d.belowByHint(tokens)
}

func (d *Length) belowByKind(tokens float64) float64 {
	below, samples := (1-math.Exp(-tokens/d.mean))*priorSamples, float64(priorSamples)
	if d.kind != nil {
		own, told := d.kind.own.Samples(), d.kind.told.Samples()
		below += own*d.kind.own.Below(tokens) + told*d.kind.told.Below(tokens)
		samples += own + told
	}
	return below / samples
}

func (d *Length) belowByHint(tokens float64) float64 {
	// A hint of which nothing is known is taken for half to twice the length.
	ratio := tokens / d.hint
	below, samples := min(1, max(0, (math.Log2(ratio)+1)/2))*priorSamples, float64(priorSamples)
	if d.hinter != nil {
		known := d.hinter.ratios.Samples()
		below, samples = below+known*d.hinter.ratios.Below(ratio*hintScale), samples+known
	}
	return below / samples
}

// quantileSteps is the number of halvings by which a quantile is searched: up to 1 % of it.
const quantileSteps = 14

// Remaining returns the number of further tokens after the first sent ones that the answer
// has with the given probability at most.
func (d *Length) Remaining(sent, probability float64) float64 {
	base := d.Below(sent)
	if base >= 1 {
		return 0
	}
	goal := base + (1-base)*probability
	low, high := sent, max(2*sent, 2*d.mean)
	for range quantileSteps {
		if d.Below(high) >= goal {
			break
		}
		low, high = high, 2*high
	}
	for range quantileSteps {
		middle := (low + high) / 2
		if d.Below(middle) < goal {
			low = middle
		} else {
			high = middle
		}
	}
	return high - sent
}

// Expected returns about the mean of the length: that of its quantiles.
func (d *Length) Expected() float64 {
	const points = 8
	var sum float64
	for i := range points {
		sum += d.Remaining(0, (float64(i)+0.5)/points)
	}
	return sum / points
}

// Observe records the length of an answer.
func (l *Lengths) Observe(kind Kind, hinterName string, hint int, tokens float64) {
	if !(tokens > 0) {
		return
	}
	k := l.kindOf(kind)
	if hint > 0 {
		l.hinterOf(hinterName).observe(&k.own, float64(hint), tokens)
	}
	k.own.Add(tokens, 1)
}

// observe compares how likely the length was by the hint and by its kind.
func (h *hinter) observe(kind *Histogram, hint, tokens float64) {
	ratio := hintScale * tokens / hint
	if h.ratios.Samples() >= priorSamples && kind.Samples() >= priorSamples {
		likelihood := math.Log(max(minDensity, smoothed(&h.ratios, ratio)) / max(minDensity, smoothed(kind, tokens)))
		h.evidence = h.evidence*(1-1.0/trustMemory) + likelihood
	}
	h.ratios.Add(ratio, 1)
}

// smoothed is the density around a value, over an octave: few samples leave buckets empty.
func smoothed(h *Histogram, value float64) float64 {
	return (h.Below(value*math.Sqrt2) - h.Below(value/math.Sqrt2)) / bucketsPerOctave
}

// kindOf returns what is known of a kind, which it adds if there is nothing.
func (l *Lengths) kindOf(kind Kind) *learned {
	if k := l.kinds[kind]; k != nil {
		return k
	}
	evictLeast(l.kinds, maxKinds, func(k *learned) float64 { return k.own.Samples() + k.told.Samples() },
		func(a, b Kind) bool {
			return a.Service < b.Service || a.Service == b.Service && (a.Class < b.Class || a.Class == b.Class && a.Size < b.Size)
		})
	k := &learned{}
	l.kinds[kind] = k
	return k
}

func (l *Lengths) hinterOf(name string) *hinter {
	if h := l.hinters[name]; h != nil {
		return h
	}
	evictLeast(l.hinters, maxHinters, func(h *hinter) float64 { return h.ratios.Samples() }, func(a, b string) bool { return a < b })
	h := &hinter{}
	l.hinters[name] = h
	return h
}

// evictLeast removes the entry with the fewest samples, the first in order among equals, from
// a full map.
func evictLeast[K comparable, V any](entries map[K]V, limit int, samples func(V) float64, less func(a, b K) bool) {
	if len(entries) < limit {
		return
	}
	var least K
	fewest, found := 0.0, false
	for key, value := range entries {
		if n := samples(value); !found || n < fewest || n == fewest && less(key, least) {
			least, fewest, found = key, n, true
		}
	}
	delete(entries, least)
}
