// Package slopes measures how the cost of each role grows with the size that
// drives it, for docs/CAPACITY.md. Every measurement runs at three sizes or
// more, so that a slope is seen to be one.
package slopes

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Measurement is one cost as a function of one size.
type Measurement struct {
	// Name is the key that docs/CAPACITY.md cites.
	Name string
	// Unit is the unit of the cost, Per what the size counts.
	Unit, Per string
	// Sizes are at least three, ascending.
	Sizes []int
	// Run returns the cost at one size.
	Run func(size int) (float64, error)
}

// Result is a measurement with its fitted line cost = Base + Slope × size.
type Result struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Per    string    `json:"per"`
	Sizes  []int     `json:"sizes"`
	Values []float64 `json:"values"`
	Base   float64   `json:"base"`
	Slope  float64   `json:"slope"`
	// R2 is the share of the variance that the line explains; a cost that
	// does not depend on the size has a low one and a slope near zero.
	R2 float64 `json:"r2"`
}

// At returns the fitted cost at a size.
func (r Result) At(size float64) float64 { return r.Base + r.Slope*size }

// Measure runs one measurement at all its sizes.
func Measure(m Measurement) (Result, error) {
	res := Result{Name: m.Name, Unit: m.Unit, Per: m.Per, Sizes: m.Sizes}
	xs := make([]float64, 0, len(m.Sizes))
	for _, size := range m.Sizes {
		v, err := m.Run(size)
		if err != nil {
			return res, fmt.Errorf("measure %s at %d: %w", m.Name, size, err)
		}
		res.Values = append(res.Values, v)
		xs = append(xs, float64(size))
	}
	res.Base, res.Slope = stat.LinearRegression(xs, res.Values, nil, false)
	res.R2 = stat.RSquared(xs, res.Values, nil, res.Base, res.Slope)
	if math.IsNaN(res.R2) || math.IsInf(res.R2, 0) {
		res.R2 = 0 // all values equal
	}
	return res, nil
}

// MeasureAll runs every measurement in turn.
func MeasureAll(ms []Measurement) ([]Result, error) {
	results := make([]Result, 0, len(ms))
	for _, m := range ms {
		r, err := Measure(m)
		if err != nil {
			return results, err
		}
		results = append(results, r)
	}
	return results, nil
}

// WriteTable prints results for people.
func WriteTable(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "name\tunit\tper\tsizes\tvalues\tbase\tslope\tr2")
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%v\t%.4g\t%.4g\t%.4g\t%.3f\n",
			r.Name, r.Unit, r.Per, r.Sizes, r.Values, r.Base, r.Slope, r.R2)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	return nil
}

// Timing of one measured loop.
const (
	rounds   = 5
	roundMin = 40 * time.Millisecond
)

// nanoseconds returns the lowest time of one call of fn over several rounds:
// the others include what else ran on the machine.
func nanoseconds(fn func()) float64 {
	best := math.Inf(1)
	for range rounds {
		n, start := 0, time.Now()
		for time.Since(start) < roundMin {
			fn()
			n++
		}
		best = min(best, float64(time.Since(start).Nanoseconds())/float64(n))
	}
	return best
}

// heapBytes returns how much the heap grows by what build returns.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
