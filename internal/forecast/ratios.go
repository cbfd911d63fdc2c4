package forecast

import "math"

const (
	// ratioScale is the value of a ratio of 1 in a histogram of ratios.
	ratioScale = 2048
	// minCorrection and maxCorrection bound the corrections: what lies beyond is not the
	// model's error but a state of the targets that it does not know.
	minCorrection, maxCorrection = 0.6, 1.8
)

// Ratios learns the ratio of observed to predicted times by kind.
type Ratios struct{ kinds map[Kind]*learned }

// NewRatios returns Ratios that have observed nothing.
func NewRatios() *Ratios { return &Ratios{kinds: make(map[Kind]*learned)} }

// Observe records an observed time and what was predicted for it without a correction.
func (r *Ratios) Observe(kind Kind, observed, predicted float64) {
	if predicted > 0 && observed > 0 {
		kindOf(r.kinds, kind).own.Add(ratioScale*observed/predicted, 1)
	}
}

// Correction is the factor by which predictions of the kind are to be multiplied: about the
// median of the ratios, and 1 while nothing is known.
func (r *Ratios) Correction(kind Kind) float64 {
	k := r.kinds[kind]
	if k == nil {
		return 1
	}
	own, told := k.own.Samples(), k.told.Samples()
	logSum := own*logMedian(&k.own) + told*logMedian(&k.told)
	return min(maxCorrection, max(minCorrection, math.Exp(logSum/(own+told+priorSamples))))
}

func logMedian(h *Histogram) float64 {
	if h.Samples() == 0 {
		return 0
	}
	return math.Log(h.Quantile(0.5) / ratioScale)
}
