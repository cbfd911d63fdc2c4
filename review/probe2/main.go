// Command probe2 plays cases of a review: it starts instances as processes, with stand-ins for
// the platform's store and balancer, for runners and for clients, and judges one rule.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the number of their folder. Each reports whether the rule was broken.
// Without trouble it does the same without the disruption.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"6":  rollingStops,
	"7":  foreignEntry,
	"8":  largeEntries,
	"9":  movedStore,
	"10": negativeSlots,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := &record{w: file, began: time.Now()}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		rec.add("not-run", "", "cause", err)
		code = exitNotRun
	case broken:
		code = exitBroken
	}
	rec.add("end", "", "exit", code)
	_ = file.Close()
	os.Exit(code)
}

// record is what was sent, answered and run, with the seconds since the begin.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	began time.Time
}

// add writes a line: what happened, to which request, and pairs of names and values.
func (r *record) add(event, id string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s", time.Since(r.began).Seconds(), event)
	if id != "" {
		fmt.Fprintf(r.w, " %s", id)
	}
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(r.w, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.w)
}
