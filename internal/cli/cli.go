// Package cli is the command line: one file for each subcommand.
package cli

import (
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"strings"
)

// Exit codes of every subcommand.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
	// Exit codes of the operators' commands.
	exitInvalid     = 3 // the intent has faults, or there is no such plan or revision
	exitConflict    = 4 // not accepted: the base moved, or the store is behind
	exitUnavailable = 5 // nothing was changed: no instance or no store answered
	exitUnknown     = 6 // the change was sent and no answer came
	exitSpreading   = 7 // accepted, and not yet heard from every instance
)

// command is one subcommand; run gets the arguments behind its name.
type command struct {
	summary string
	run     func(args []string, stdout, stderr io.Writer) int
}

func commands() map[string]command {
	return map[string]command{
		"dev":      {"run everything in one process on loopback", runDev},
		"fleet":    {"run one entry instance on the platform", runFleet},
		"plan":     {"show what an intent or edit would change", runPlan},
		"confirm":  {"make a plan the accepted configuration", runConfirm},
		"rollback": {"plan the return to an earlier revision", runRollback},
		"history":  {"list accepted configurations", runHistory},
		"status":   {"show instances, targets, the store and what is refused", runStatus},
		"keys":     {"make and hash keys of workspaces and tokens of operators", runKeys},
		"load":     {"measure callers' view under load and faults", runLoad},
		"replay":   {"replay recorded traces against their stated outcomes", runReplay},
		"serve":    {"run one entry instance", runServe},
		"simulate": {"play days before modelled engines over virtual time", runSimulate},
		"standin":  {"run a stand-in of the platform, an engine or a service", runStandin},
		"version":  {"print the version", runVersion},
	}
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr)
		return exitUsage
	}
	cmd, ok := commands()[args[0]]
	if !ok {
		usage(stderr)
		return exitUsage
	}
	return cmd.run(args[1:], stdout, stderr)
}

func usage(w io.Writer) {
	cmds := commands()
	names := make([]string, 0, len(cmds))
	for name := range cmds {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	b.WriteString("usage: medlardeck COMMAND [flags]\n\n")
	for _, name := range names {
		fmt.Fprintf(&b, "  %-10s %s\n", name, cmds[name].summary)
	}
	fmt.Fprint(w, b.String())
}

func runVersion(_ []string, stdout, _ io.Writer) int {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	fmt.Fprintln(stdout, "medlardeck", version)
	return exitOK
}
