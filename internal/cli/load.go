package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/medlardeck/medlardeck/internal/load"
)

func runLoad(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	fs.SetOutput(stderr)
	scenario := fs.String("scenario", "mixed", "experiment to run; \"list\" names them all")
	policies := fs.String("policies", "medlardeck,round-robin,least-outstanding", "routing policies to compare")
	seed := fs.Uint64("seed", 1, "seed of the arrivals and of every random choice")
	output := fs.String("o", "text", "output: text or json")
	plots := fs.String("plot", "", "directory for plots")
	speed := fs.Float64("speed", 0, "how much faster than the wall clock engines run; 0 takes the scenario's")
	engines := fs.Int("engines", 0, "number of engines; 0 takes the scenario's")
	share := fs.Float64("load", 0, "arriving work as a share of the engines' rate; 0 takes the scenario's")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	if *scenario == "list" {
		for _, s := range load.Scenarios() {
			fmt.Fprintf(stdout, "%-18s %s\n", s.Name, s.Summary)
		}
		return exitOK
	}
	s, err := load.Find(*scenario)
	if err != nil {
		fmt.Fprintln(stderr, "medlardeck load:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	res, err := s.Run(ctx, load.Options{
		Policies: strings.Split(*policies, ","), Seed: *seed, Speed: *speed, Engines: *engines, Load: *share, Progress: stderr,
	})
	if err == nil {
		err = writeResult(res, *output, *plots, stdout)
	}
	if c, ok := res.(load.Checker); ok && err == nil {
		err = c.Failed()
	}
	if err != nil {
		fmt.Fprintln(stderr, "medlardeck load:", err)
		return exitError
	}
	return exitOK
}

func writeResult(res load.Result, output, plots string, stdout io.Writer) error {
	if plots != "" {
		p, ok := res.(load.Plotter)
		if !ok {
			return fmt.Errorf("plot: this scenario has nothing to draw")
		}
		if err := os.MkdirAll(plots, 0o755); err != nil {
			return fmt.Errorf("create plot directory: %w", err)
		}
		if err := p.Plot(plots); err != nil {
			return err
		}
	}
	if output != "json" {
		res.WriteText(stdout)
		return nil
	}
	enc := json.NewEncoder(stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(res); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}
