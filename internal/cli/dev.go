package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/telemetry"
)

func runDev(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("dev", flag.ContinueOnError)
	fs.SetOutput(stderr)
	basePort := fs.Int("base-port", 18080, "callers' port of the first entry instance; operators' ports lie 100 above")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d, err := dev.Start(dev.Options{BasePort: *basePort, Log: telemetry.NewLog(stderr)})
	if err != nil {
		fmt.Fprintln(stderr, "medlardeck dev:", err)
		return exitError
	}
	defer d.Close()
	printExamples(stdout, d)
	printOperatorExamples(stdout, d)
	<-ctx.Done()
	return exitOK
}

// printOperatorExamples prints commands of an operator to paste.
func printOperatorExamples(w io.Writer, d *dev.Deployment) {
	fmt.Fprintf(w, "# as an operator: status, a plan to drain a target, its confirmation\nexport %s=%s %s=%s\n", envOperators, d.Operators[0], envToken, dev.OperatorToken)
	fmt.Fprintf(w, "medlardeck status\nmedlardeck plan drain engine-00\nmedlardeck confirm PLAN\n\n")
}

func printExamples(w io.Writer, d *dev.Deployment) {
	key := dev.DevelopmentKey("museum")
	for i := range d.Callers {
		fmt.Fprintf(w, "entry %d: callers %s, operators %s\n", i, d.Callers[i], d.Operators[i])
	}
	fmt.Fprintf(w, "\n# a streamed prompt\ncurl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'\n",
		d.Callers[0], key, `{"model":"draft","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"a tank of 3 m"}]}`)
	fmt.Fprintf(w, "\n# a booking, at most once\ncurl -X POST %s/bookings -H 'Authorization: Bearer %s' -H 'Idempotency-Key: cut-17' -d '{\"glass\":\"19mm\"}'\n",
		d.Callers[1], key)
	fmt.Fprintf(w, "\n# a status look-up\ncurl %s/status/cut-17 -H 'Authorization: Bearer %s'\n\n", d.Callers[2], key)
}
