package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/entry"
)

// Times of the progress of a rollout.
const (
	progressInterval = 250 * time.Millisecond
	progressLimit    = 15 * time.Second
)

func runConfirm(args []string, stdout, stderr io.Writer) int {
	f := newOperatorFlags("confirm", "confirm PLAN", stderr)
	wait := f.Bool("wait", true, "show progress until the revision is in force everywhere")
	rest, err := f.parse(args)
	if err != nil {
		return fail(stderr, err)
	}
	if len(rest) != 1 {
		return fail(stderr, errors.New("confirm: one plan id is expected"))
	}
	c, err := f.client()
	if err != nil {
		return fail(stderr, err)
	}
	out, lost, err := c.do(http.MethodPost, "/v1/plans/"+rest[0]+"/confirmation", nil)
	if err != nil {
		fmt.Fprintln(stderr, "medlardeck:", err)
		return sayUnknown(stdout, f.output, rest[0], lost)
	}
	if out.Confirmation == nil && !lost {
		return exitFailed(stderr, out)
	}
	if out.Confirmation == nil || lost && out.Confirmation.Verdict == configuration.VerdictUnavailable {
		return sayUnknown(stdout, f.output, rest[0], true)
	}
	code := printConfirmation(stdout, f.output, out.Confirmation)
	if code == exitOK && *wait && f.output == "table" {
		return progress(c, out.Confirmation.Revision, stdout)
	}
	return code
}

// sayUnknown reports a confirmation without an answer. If no instance took it,
// nothing was sent to the store.
func sayUnknown(stdout io.Writer, output, plan string, lost bool) int {
	verdict := configuration.VerdictUnavailable
	if lost {
		verdict = configuration.VerdictUnknown
	}
	return printConfirmation(stdout, output, &entry.Confirmation{Verdict: verdict, PlanID: plan})
}

func printConfirmation(w io.Writer, output string, c *entry.Confirmation) int {
	if output == "json" {
		writeJSON(w, c)
		return exitOfVerdict(c.Verdict)
	}
	switch c.Verdict {
	case configuration.VerdictAccepted:
		fmt.Fprintf(w, "accepted: plan %s is revision %d\n", c.PlanID, c.Revision)
	case configuration.VerdictNotAccepted:
		fmt.Fprintf(w, "not accepted: the base of plan %s moved\n", c.PlanID)
		if o := c.Other; o != nil {
			fmt.Fprintf(w, "revision %d by %s at %s, plan %s: %s\n", o.Revision, o.Operator, o.At.Format(time.RFC3339), o.PlanID, o.Summary)
		}
	case configuration.VerdictUnavailable:
		fmt.Fprintf(w, "not sent: the store did not answer; plan %s can be confirmed again\n", c.PlanID)
	case configuration.VerdictUnknown:
		fmt.Fprintf(w, "unknown: plan %s was sent and no answer came; the same confirm again tells\n", c.PlanID)
	case configuration.VerdictStoreBehind:
		fmt.Fprintln(w, "refused: the store holds an older configuration than the one in force")
	}
	return exitOfVerdict(c.Verdict)
}

func exitOfVerdict(v configuration.Verdict) int {
	switch v {
	case configuration.VerdictAccepted:
		return exitOK
	case configuration.VerdictNotAccepted, configuration.VerdictStoreBehind:
		return exitConflict
	case configuration.VerdictUnavailable:
		return exitUnavailable
	case configuration.VerdictUnknown:
	}
	return exitUnknown
}

// progress prints how many live instances have the revision until all have.
func progress(c *operatorClient, rev configuration.Revision, w io.Writer) int {
	last := -1
	for start := time.Now(); time.Since(start) < progressLimit; time.Sleep(progressInterval) {
		out, _, err := c.do(http.MethodGet, "/v1/status", nil)
		if err != nil || out.Status == nil {
			continue
		}
		have, live := 0, 0
		for _, in := range out.Status.Instances {
			if in.State == "dead" {
				continue
			}
			if live++; in.Revision >= rev {
				have++
			}
		}
		if have != last {
			fmt.Fprintf(w, "in force at %d of %d instances after %.1f s\n", have, live, time.Since(start).Seconds())
			last = have
		}
		if have == live {
			return exitOK
		}
	}
	fmt.Fprintln(w, "accepted, and not yet heard from every instance; see: medlardeck status")
	return exitSpreading
}
