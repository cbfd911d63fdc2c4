package target

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/request"
)

// Parameters of the learnt rates.
const (
	// newSampleWeight is the weight of a new sample in the moving averages.
	newSampleWeight = 0.2
	// defaultPrefillRate is used before any target has answered, in tokens per
	// second.
	defaultPrefillRate = 10_000
	// minPrefillTime is the lower limit of a measured prefill time.
	minPrefillTime = time.Millisecond
)

// rates holds moving averages learnt from answers. They are zero before the first
// sample.
type rates struct {
	prefill  [request.NumClasses]float64 // tokens per second, as seen by a class
	stepTime time.Duration               // time between tokens of an answer
}

func (r *rates) updatePrefillRate(c request.Class, sample float64) {
	r.prefill[c] = movingAverage(r.prefill[c], sample)
}

func (r *rates) updateStepTime(sample time.Duration) {
	r.stepTime = time.Duration(movingAverage(float64(r.stepTime), float64(sample)))
}

// movingAverage adds a sample to an exponential moving average; zero stands for no
// samples yet.
func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + newSampleWeight*(sample-old)
}

// recordPrefillSample adds the sample of one first token to the rates of the target
// and of the fleet: the target prefilled the tokens in d, which includes one decode
// step.
func (t *Table) recordPrefillSample(tg *Target, c request.Class, tokens float64, d time.Duration) {
	if tokens <= 0 {
		return
	}
	d = max(d-t.InterTokenLatency(tg), d/4, minPrefillTime)
	sample := tokens / d.Seconds()
	tg.rates.updatePrefillRate(c, sample)
	t.fleetRates.updatePrefillRate(c, sample)
}

// recordStepSample adds a measured time between tokens to the rates of the target
// and of the fleet.
func (t *Table) recordStepSample(tg *Target, d time.Duration) {
	tg.rates.updateStepTime(d)
	t.fleetRates.updateStepTime(d)
}

// PrefillRate returns the prefill rate of a target as observed by requests of a
// class, in tokens per second.
func (t *Table) PrefillRate(tg *Target, c request.Class) float64 {
	rate, _ := t.prefillRate(tg, c)
	return rate
}

// HasLearntRate reports whether the prefill rate for the class was learnt from answers to
// that class, of the target or of any other.
func (t *Table) HasLearntRate(tg *Target, c request.Class) bool {
	_, learnt := t.prefillRate(tg, c)
	return learnt
}

// prefillRate returns the target's rate for the class or, if that is unknown, the
// fleet's rate for the class, the fleet's rate for another class, or the default.
// learnt is false for the last two.
func (t *Table) prefillRate(tg *Target, c request.Class) (rate float64, learnt bool) {
	if r := tg.rates.prefill[c]; r > 0 {
		return r, true
	}
	if r := t.fleetRates.prefill[c]; r > 0 {
		return r, true
	}
	for other := range request.NumClasses {
		if r := t.fleetRates.prefill[other]; r > 0 {
			return r, false
		}
	}
	return defaultPrefillRate, false
}

// InterTokenLatency returns the learnt time between tokens of an answer, zero if unknown.
func (t *Table) InterTokenLatency(tg *Target) time.Duration {
	if tg.rates.stepTime > 0 {
		return tg.rates.stepTime
	}
	return t.fleetRates.stepTime
}

// PredictTimeToFirstToken predicts the time from now to the first token of a
// request of the class that needs prefillTokens to be prefilled.
func (t *Table) PredictTimeToFirstToken(now time.Duration, tg *Target, c request.Class, prefillTokens int) time.Duration {
	tokens := t.PrefillTokensAhead(now, tg, c) + float64(max(0, prefillTokens))
	return t.InterTokenLatency(tg) + time.Duration(tokens/t.PrefillRate(tg, c)*float64(time.Second))
}

// SetPriorities sets the priorities by which engines order the length classes. The
// sums of tokens ahead of each class that a target already has keep the previous
// priorities until its next report, which recomputes them.
func (t *Table) SetPriorities(p Priorities) { t.priorities = p }

// TokenEstimator returns the estimator of prompt lengths in tokens.
func (t *Table) TokenEstimator() *TokenEstimator { return &t.tokenEstimator }
