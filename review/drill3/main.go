// Command drill3 runs the scripted cases of the third review. It starts entry instances as
// separate processes and plays the platform's store, the runners and the clients itself, all on
// loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by the name of their folder.
var cases = map[string]func(*drill) (broken bool, err error){
	"heads":    runHeads,
	"cutwatch": runCutWatch,
	"poison":   runPoison,
	"foreign":  runForeign,
	"tenants":  runTenants,
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	binary := flag.String("binary", "target/medlardeck", "`path` of the program under test")
	record := flag.String("record", "record.txt", "`path` of the record")
	flag.Parse()
	os.Exit(run(*name, *binary, *record))
}

func run(name, binary, recordPath string) int {
	play, ok := cases[name]
	if !ok {
		_, _ = fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	d, err := newDrill(binary, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		d.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(d)
	switch {
	case err != nil:
		d.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		d.note("verdict: the rule was broken")
		return exitBroken
	}
	d.note("verdict: the rule held")
	return exitHeld
}
