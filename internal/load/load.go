// Package load drives a whole deployment on loopback with open-loop arrivals
// and measures what callers see: time to first token by prompt length, the
// slowdown of short requests, goodput, refusals, and the memory that engines
// hold in the end.
//
// Arrivals are planned ahead from a seed, and every latency counts from the
// planned time, so that a system that falls behind is not asked less. Engines
// and the clocks of the entry instances run faster than the wall clock by a
// factor; all times in results are those of the engines.
package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Options of one experiment.
type Options struct {
	// Policies are compared in one run, with equal arrivals.
	Policies []string
	Seed     uint64
	// Speed is how much faster than the wall clock engines and entry instances
	// run; zero takes the default of the scenario.
	Speed float64
	// Engines is the number of engines; zero takes the scenario's.
	Engines int
	// Load is the arriving prefill work as a share of what the engines can do;
	// zero takes the scenario's.
	Load float64
	// Progress gets a line for each step; nil discards them.
	Progress io.Writer
}

// Result of an experiment. It is written as JSON, or as text for people.
type Result interface {
	WriteText(w io.Writer)
}

// Plotter is a Result that can draw itself.
type Plotter interface {
	// Plot writes files into a directory that exists.
	Plot(dir string) error
}

// Checker is a Result that can fail.
type Checker interface {
	// Failed returns an error when a promise did not hold.
	Failed() error
}

// Scenario is one experiment.
type Scenario struct {
	Name    string
	Summary string
	Run     func(ctx context.Context, opts Options) (Result, error)
}

// Scenarios returns every scenario, sorted by name.
func Scenarios() []Scenario {
	all := slices.Concat(mixedScenarios(), faultScenarios(), spreadScenarios(),
		[]Scenario{crashScenario(), bookingScenario(), claimScenario(), soakScenario(), slopesScenario()})
	slices.SortFunc(all, func(a, b Scenario) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Find returns the scenario of that name.
func Find(name string) (Scenario, error) {
	all := Scenarios()
	names := make([]string, len(all))
	for i, s := range all {
		if s.Name == name {
			return s, nil
		}
		names[i] = s.Name
	}
	return Scenario{}, fmt.Errorf("find scenario %q: known are %s", name, strings.Join(names, ", "))
}
