// Package forecast learns from finished requests how long those to come will take. It has no
// clock and no I/O: it is told what was observed, and its memory is bounded.
package forecast

import "math"

const (
	// bucketsPerOctave is the resolution of a Histogram: neighbouring limits differ by 19 %.
	bucketsPerOctave = 4
	bucketCount      = 22 * bucketsPerOctave
	// sampleMemory is the number of samples after which the weight of a sample has fallen to
	// 1/e: a change shows within about a hundred answers of a kind.
	sampleMemory = 120
	// maxIncrement bounds the weight of the newest sample; above it all weights are scaled.
	maxIncrement = 1e6
)

// Histogram is a histogram of positive values with logarithmic buckets, in which the weight of
// samples decays with the number of later ones. The zero value is empty.
type Histogram struct {
	buckets   [bucketCount]float32
	below     [bucketCount]float32 // sums of the buckets before each one, unless stale
	stale     bool
	total     float64
	increment float64 // weight of the next sample
}

// bucketOf returns the bucket of a value and the share of the bucket that lies below it.
func bucketOf(value float64) (bucket int, below float64) {
	if value <= 1 {
		return 0, 0
	}
	position := math.Log2(value) * bucketsPerOctave
	if position >= bucketCount {
		return bucketCount - 1, 1
	}
	bucket = int(position)
	return bucket, position - float64(bucket)
}

// valueAt is the inverse of bucketOf.
func valueAt(position float64) float64 { return math.Exp2(position / bucketsPerOctave) }

// Add adds a sample of the given weight, 1 for an ordinary one.
func (h *Histogram) Add(value, weight float64) {
	if !(value > 0) || !(weight > 0) || math.IsInf(value, 1) { // also not a number
		return
	}
	if h.increment == 0 {
		h.increment = 1
	}
	h.increment *= 1 + weight/sampleMemory
	bucket, _ := bucketOf(value)
	h.buckets[bucket] += float32(h.increment * weight)
	h.total, h.stale = h.total+h.increment*weight, true
	if h.increment > maxIncrement {
		for i := range h.buckets {
			h.buckets[i] /= float32(h.increment)
		}
		h.total, h.increment = h.total/h.increment, 1
	}
}

// Samples is the number of samples by their present weight, up to about sampleMemory.
func (h *Histogram) Samples() float64 {
	if h.increment == 0 {
		return 0
	}
	return h.total / h.increment
}

// Below returns the share of the samples below a value, 0 for an empty histogram.
func (h *Histogram) Below(value float64) float64 {
	if h.total == 0 {
		return 0
	}
	bucket, share := bucketOf(value)
	if h.stale {
		h.sumUp()
	}
	return min(1, (float64(h.below[bucket])+share*float64(h.buckets[bucket]))/h.total)
}

func (h *Histogram) sumUp() {
	var sum float32
	for i, weight := range h.buckets {
		h.below[i], sum = sum, sum+weight
	}
	h.stale = false
}

// Quantile returns the value below which the given share of the samples lies, 0 for an empty
// histogram.
func (h *Histogram) Quantile(share float64) float64 {
	left := share * h.total
	if h.total == 0 {
		return 0
	}
	last := 0
	for i, weight := range h.buckets {
		if weight == 0 {
			continue
		}
		if left <= float64(weight) {
			return valueAt(float64(i) + max(0, left)/float64(weight))
		}
		left, last = left-float64(weight), i+1
	}
	return valueAt(float64(last))
}
