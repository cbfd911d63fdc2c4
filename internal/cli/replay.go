package cli

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/medlardeck/medlardeck/internal/replay"
)

// runReplay replays traces, prints one line for each, and fails if an outcome
// differs from the stated one.
func runReplay(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("replay", flag.ContinueOnError)
	fs.SetOutput(stderr)
	output := fs.String("o", "text", "output: text or json")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	if fs.NArg() == 0 {
		fmt.Fprintln(stderr, "usage: medlardeck replay [-o json] FILE...")
		return exitUsage
	}
	code := exitOK
	for _, file := range fs.Args() {
		report, err := replayFile(file)
		if err != nil {
			fmt.Fprintf(stderr, "medlardeck replay: %s: %v\n", file, err)
			code = exitError
			continue
		}
		if len(report.Differences) > 0 {
			code = exitError
		}
		if *output == "json" {
			writeJSON(stdout, report)
			continue
		}
		printReplay(stdout, report)
	}
	return code
}

func replayFile(file string) (replay.Report, error) {
	f, err := os.Open(file)
	if err != nil {
		return replay.Report{}, fmt.Errorf("open trace: %w", err)
	}
	defer func() { _ = f.Close() }()
	return replay.Run(f)
}

func printReplay(w io.Writer, r replay.Report) {
	verdict := "as stated"
	if len(r.Differences) > 0 {
		verdict = "DIFFERS"
	}
	fmt.Fprintf(w, "%s %s events=%d outcomes=%d", r.Trace, verdict, r.Events, r.Outcomes)
	for _, d := range r.Differences {
		fmt.Fprintf(w, "; %s", d)
	}
	fmt.Fprintln(w)
}
