package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/medlardeck/medlardeck/internal/entry"
)

func runStatus(args []string, stdout, stderr io.Writer) int {
	f := newOperatorFlags("status", "status", stderr)
	if _, err := f.parse(args); err != nil {
		return fail(stderr, err)
	}
	out, code := read(f, "/v1/status", stderr)
	if code != exitOK {
		return code
	}
	if f.output == "json" {
		writeJSON(stdout, out.Status)
		return exitOK
	}
	printStatus(stdout, out.Status)
	return exitOK
}

func printStatus(w io.Writer, s *entry.Status) {
	fmt.Fprintf(w, "instance %s in %s: revision %d, plan %s, %d requests\n", s.Instance, s.FailureDomain, s.Revision, s.PlanID, s.Requests)
	if s.Writer > 0 {
		fmt.Fprintf(w, "gives the orders to targets, fencing number %d\n", s.Writer)
	}
	answering := "answers"
	if !s.Store.Answering {
		answering = "does not answer"
	}
	fmt.Fprintf(w, "store %s, last answer %v ago\n", answering, s.Store.LastAnswer.Round(time.Millisecond))
	c := s.Claims
	fmt.Fprintf(w, "claims: %d records in %d bytes, %d to be written, %d of %d shards fail\n",
		c.Records, c.Bytes, c.Pending, c.Failing, c.Shards)
	for _, a := range s.Alarms {
		fmt.Fprintln(w, "ALARM", a)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nINSTANCE\tDOMAIN\tSTATE\tREVISION\tHEARD\tADDRESS")
	for _, in := range s.Instances {
		state := in.State
		if in.Leaving {
			state += ",leaving"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.1fs ago\t%s\n", in.Name, in.FailureDomain, state, in.Revision, in.Heard.Seconds(), in.Address)
	}
	fmt.Fprintln(t, "\nTARGET\tPOOL\tDOMAIN\tSTATE\tOUTSTANDING")
	for _, tg := range s.Targets {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\n", tg.Name, tg.Pool, tg.FailureDomain, tg.State, tg.Outstanding)
	}
	if len(s.Refusals) > 0 {
		fmt.Fprintln(t, "\nREFUSED BECAUSE\tREQUESTS")
		for _, reason := range slices.Sorted(maps.Keys(s.Refusals)) {
			fmt.Fprintf(t, "%s\t%d\n", reason, s.Refusals[reason])
		}
	}
	_ = t.Flush()
	if len(s.Quarantined) > 0 {
		fmt.Fprintln(w, "\nquarantined fingerprints:", strings.Join(s.Quarantined, " "))
	}
}
