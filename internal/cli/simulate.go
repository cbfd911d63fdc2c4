package cli

import (
	"flag"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/simulate"
)

func runSimulate(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("simulate", flag.ContinueOnError)
	fs.SetOutput(stderr)
	var d simulate.Deployment
	fs.IntVar(&d.Instances, "instances", 4, "number of entry instances")
	fs.IntVar(&d.Engines, "engines", 16, "number of engines")
	fs.IntVar(&d.Domains, "domains", 3, "number of failure domains")
	fs.IntVar(&d.Slots, "slots", 16, "requests that an engine runs at once")
	scale := fs.Float64("scale", 1, "multiple of the usual rates")
	troubles := fs.Int("troubles", 0, "number of engines that crash or turn slow in a day")
	days := fs.Int("days", 12, "number of days to play, with seeds that follow each other")
	seed := fs.Uint64("seed", 1, "seed of the first day")
	policies := fs.String("policies", string(fleet.PolicyValue), "policies to compare, separated by commas")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	if min(d.Instances, d.Engines, d.Domains, d.Slots, *days) < 1 || *scale <= 0 {
		fmt.Fprintln(stderr, "medlardeck simulate: numbers of instances, engines, domains, slots and days, and the scale, must be positive")
		return exitUsage
	}
	for policy := range strings.SplitSeq(*policies, ",") {
		d.Policy = fleet.Policy(policy)
		report := simulateDays(d, *scale, *troubles, *days, *seed)
		fmt.Fprintf(stdout, "policy %s, %d days from seed %d\n", policy, *days, *seed)
		if err := report.WriteText(stdout); err != nil {
			fmt.Fprintln(stderr, "medlardeck simulate:", err)
			return exitError
		}
	}
	return exitOK
}

// simulateDays plays days beside one another, one for each processor.
func simulateDays(d simulate.Deployment, scale float64, troubles, days int, seed uint64) *simulate.Report {
	reports := make([]*simulate.Report, days)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wait sync.WaitGroup
	for i := range days {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			s := seed + uint64(i)
			reports[i] = simulate.Run(d, simulate.Draw(scale, troubles, s), s)
		})
	}
	wait.Wait()
	for _, r := range reports[1:] {
		reports[0].Merge(r)
	}
	return reports[0]
}
