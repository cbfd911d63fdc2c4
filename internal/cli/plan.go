package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/entry"
)

// maxLines bounds the differences that a table shows.
const maxLines = 200

const planUsage = `plan -f INTENT.json | plan drain NAME... | plan undrain NAME... | plan limit WORKSPACE TOKENS_PER_SECOND | plan reassert`

func runPlan(args []string, stdout, stderr io.Writer) int {
	f := newOperatorFlags("plan", planUsage, stderr)
	file := f.String("f", "", "JSON file with the whole intent; - reads standard input")
	rest, err := f.parse(args)
	if err != nil {
		return fail(stderr, err)
	}
	path, body, err := planRequest(*file, rest)
	if err != nil {
		return fail(stderr, err)
	}
	return showPlan(f, path, body, stdout, stderr)
}

func planRequest(file string, args []string) (path string, body []byte, err error) {
	if file != "" {
		if len(args) > 0 {
			return "", nil, errors.New("plan: -f and an edit exclude each other")
		}
		if file == "-" {
			body, err = io.ReadAll(os.Stdin)
		} else {
			body, err = os.ReadFile(file)
		}
		return "/v1/plans", body, err
	}
	edit, err := parseEdit(args)
	if err != nil {
		return "", nil, err
	}
	body, err = json.Marshal(edit)
	return "/v1/edits", body, err
}

func parseEdit(args []string) (configuration.Edit, error) {
	var edit configuration.Edit
	if len(args) == 1 && args[0] == "reassert" {
		return configuration.Edit{Reassert: true}, nil
	}
	if len(args) < 2 {
		return edit, errors.New("usage: medlardeck " + planUsage)
	}
	switch args[0] {
	case "drain":
		edit.Drain = args[1:]
	case "undrain":
		edit.Undrain = args[1:]
	case "limit":
		if len(args) != 3 {
			return edit, errors.New("plan limit: a workspace and a number of tokens a second are expected")
		}
		tokens, err := strconv.ParseFloat(args[2], 64)
		if err != nil {
			return edit, fmt.Errorf("plan limit: %w", err)
		}
		edit.Limits = []configuration.WorkspaceLimit{{Workspace: args[1], TokensPerSecond: tokens}}
	default:
		return edit, fmt.Errorf("plan: unknown edit %q", args[0])
	}
	return edit, nil
}

func runRollback(args []string, stdout, stderr io.Writer) int {
	f := newOperatorFlags("rollback", "rollback REVISION", stderr)
	rest, err := f.parse(args)
	if err != nil {
		return fail(stderr, err)
	}
	if len(rest) != 1 {
		return fail(stderr, errors.New("rollback: one revision is expected"))
	}
	if _, err := strconv.ParseUint(rest[0], 10, 63); err != nil {
		return fail(stderr, fmt.Errorf("rollback: %w", err))
	}
	return showPlan(f, "/v1/rollbacks/"+rest[0], nil, stdout, stderr)
}

// showPlan asks for a plan and prints it.
func showPlan(f *operatorFlags, path string, body []byte, stdout, stderr io.Writer) int {
	c, err := f.client()
	if err != nil {
		return fail(stderr, err)
	}
	out, _, err := c.do(http.MethodPost, path, body)
	if err != nil {
		fmt.Fprintln(stderr, "medlardeck:", err)
		return exitUnavailable
	}
	if out.Plan == nil {
		return exitFailed(stderr, out)
	}
	if f.output == "json" {
		writeJSON(stdout, out.Plan)
		return exitOK
	}
	printPlan(stdout, out.Plan)
	return exitOK
}

func printPlan(w io.Writer, p *configuration.Plan) {
	if p.Empty() {
		fmt.Fprintf(w, "nothing to change at revision %d\n", p.Base)
		return
	}
	if p.Reassert {
		fmt.Fprintln(w, p.Summary())
	}
	for _, d := range p.Differences[:min(maxLines, len(p.Differences))] {
		fmt.Fprintln(w, d)
	}
	if more := len(p.Differences) - maxLines; more > 0 {
		fmt.Fprintf(w, "... and %d more; -o json shows all\n", more)
	}
	printCost(w, p.Cost)
	for _, c := range p.Conflicts {
		fmt.Fprintln(w, "conflict:", c)
	}
	fmt.Fprintf(w, "\nplan %s on revision %d\nconfirm with: medlardeck confirm %s\n", p.ID, p.Base, p.ID)
}

func printCost(w io.Writer, c configuration.Cost) {
	if len(c.Loads) > 0 {
		fmt.Fprintf(w, "\nloads: %d, %.1f GiB", len(c.Loads), float64(c.LoadBytes)/(1<<30))
		if c.LoadTime > 0 {
			fmt.Fprintf(w, ", %v at the weight store's rate", c.LoadTime)
		}
		fmt.Fprintln(w)
	}
	for _, l := range c.Lost {
		fmt.Fprintf(w, "capacity lost: %d of %d targets of pool %s in %s\n", l.Targets, l.Of, l.Pool, l.FailureDomain)
	}
	if c.Moved > 0 {
		fmt.Fprintf(w, "requests to finish there or move: %d\n", c.Moved)
	}
}

func runHistory(args []string, stdout, stderr io.Writer) int {
	f := newOperatorFlags("history", "history [-n REVISIONS]", stderr)
	limit := f.Int("n", 20, "number of revisions")
	if _, err := f.parse(args); err != nil {
		return fail(stderr, err)
	}
	out, code := read(f, "/v1/history?limit="+strconv.Itoa(*limit), stderr)
	if code != exitOK {
		return code
	}
	if f.output == "json" {
		writeJSON(stdout, out.History)
		return exitOK
	}
	t := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "REVISION\tPLAN\tOPERATOR\tAT\tCHANGE")
	for _, r := range out.History {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", r.Revision, r.PlanID, r.Operator, r.At.Format("2006-01-02 15:04:05Z"), r.Summary)
	}
	_ = t.Flush()
	return exitOK
}

// read carries out a command that changes nothing.
func read(f *operatorFlags, path string, stderr io.Writer) (entry.CommandResult, int) {
	c, err := f.client()
	if err != nil {
		return entry.CommandResult{}, fail(stderr, err)
	}
	out, _, err := c.do(http.MethodGet, path, nil)
	if err != nil {
		fmt.Fprintln(stderr, "medlardeck:", err)
		return out, exitUnavailable
	}
	if out.Failure != "" {
		return out, exitFailed(stderr, out)
	}
	return out, exitOK
}
