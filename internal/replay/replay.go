// Package replay drives the decision code by recorded traces and compares what
// it decides with the outcomes that the trace states. docs/TRACES.md documents
// the format.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/store"
)

// maxLineBytes bounds one line of a trace: a value of the store in base64 with
// room to spare.
const maxLineBytes = 4 << 20

// Kinds of line besides those of events.
const (
	KindStart  = "start"  // an instance starts, or starts again after its end
	KindEnd    = "end"    // an instance ends as in a crash
	KindPause  = "pause"  // an instance stops running; its clock goes on
	KindResume = "resume" // it runs on
)

// Line is one line of a trace.
type Line struct {
	// Trace names the trace and About describes it; first line only.
	Trace string `json:"trace,omitempty"`
	About string `json:"about,omitempty"`
	// At is the time of an event, in nanoseconds.
	At       time.Duration   `json:"at,omitempty"`
	Instance string          `json:"instance,omitempty"`
	Kind     string          `json:"kind,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
	// Options are those of a starting instance.
	Options *entry.Options `json:"options,omitempty"`
	// To says what a store's reply or the end of an attempt belongs to, in
	// place of the ids in the body.
	To *To `json:"to,omitempty"`
	// Outcome is stated of one arrival.
	Outcome *Outcome `json:"outcome,omitempty"`
	// InForce states the configuration in force at an instance at this point.
	InForce *InForce `json:"in_force,omitempty"`
	// Answer is stated of one operator's command.
	Answer *Answer `json:"answer,omitempty"`
}

// InForce is the revision that an instance has in force.
type InForce struct {
	Instance string                 `json:"instance"`
	Revision configuration.Revision `json:"revision"`
}

// Answer is how one operator's command ended.
type Answer struct {
	Instance  string `json:"instance"`
	Operation uint64 `json:"operation"`
	// Outcome is the verdict of a confirmation, the failure of a command, or
	// "done".
	Outcome string `json:"outcome"`
}

// answerOf returns the stated form of an answer.
func answerOf(instance string, eff entry.Operated) Answer {
	a := Answer{Instance: instance, Operation: eff.ID, Outcome: "done"}
	switch {
	case eff.Failure != "":
		a.Outcome = string(eff.Failure)
	case eff.Confirmation != nil:
		a.Outcome = string(eff.Confirmation.Verdict)
	}
	return a
}

// To names an effect that an event answers.
type To struct {
	// Op and Key name the oldest open call to the store with them.
	Op  store.Op `json:"op,omitempty"`
	Key string   `json:"key,omitempty"`
	// Request names the last attempt of a request.
	Request entry.RequestID `json:"request,omitempty"`
}

// Outcome is how one arrival ended.
type Outcome struct {
	Instance    string          `json:"instance"`
	Incarnation uint64          `json:"incarnation"`
	Request     entry.RequestID `json:"request"`
	// Code is zero for an arrival whose instance ended first.
	Code result.Code `json:"code"`
	// Sends is how often the request was sent to a target.
	Sends int `json:"sends"`
}

// Report is the end of one replay.
type Report struct {
	Trace    string `json:"trace"`
	Events   int    `json:"events"`
	Outcomes int    `json:"outcomes"`
	// Differences are empty when every stated outcome was met.
	Differences []string `json:"differences,omitempty"`
}

// arrival identifies a request among all instances.
type arrival struct {
	instance    string
	incarnation uint64
	request     entry.RequestID
}

// run is the state of one replay.
type run struct {
	report    Report
	now       time.Duration
	names     []string
	instances map[string]*instance
	outcomes  map[arrival]*Outcome
	stated    []Outcome
	answers   map[Answer]bool
	wanted    []Answer
	inForce   int // statements of revisions
}

// Run replays one trace. The error says that the trace can't be read.
func Run(r io.Reader) (Report, error) {
	x := &run{instances: map[string]*instance{}, outcomes: map[arrival]*Outcome{}, answers: map[Answer]bool{}}
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for n := 1; sc.Scan(); n++ {
		text := strings.TrimSpace(sc.Text())
		if text == "" {
			continue
		}
		var line Line
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			return x.report, fmt.Errorf("read line %d: %w", n, err)
		}
		if err := x.line(line); err != nil {
			return x.report, fmt.Errorf("replay line %d: %w", n, err)
		}
	}
	if err := sc.Err(); err != nil {
		return x.report, fmt.Errorf("read trace: %w", err)
	}
	if len(x.stated)+len(x.wanted)+x.inForce == 0 {
		return x.report, fmt.Errorf("read trace: it states no outcome")
	}
	x.compare()
	return x.report, nil
}

func (x *run) line(line Line) error {
	switch {
	case line.Trace != "":
		x.report.Trace = line.Trace
		return nil
	case line.Outcome != nil:
		x.stated = append(x.stated, *line.Outcome)
		return nil
	case line.Answer != nil:
		x.wanted = append(x.wanted, *line.Answer)
		return nil
	}
	x.advance(line.At)
	if line.InForce != nil {
		return x.compareRevision(*line.InForce)
	}
	if line.Kind == KindStart {
		return x.start(line)
	}
	in := x.instances[line.Instance]
	if in == nil {
		return fmt.Errorf("instance %q is not started", line.Instance)
	}
	switch line.Kind {
	case KindEnd:
		delete(x.instances, line.Instance)
		x.names = slices.DeleteFunc(x.names, func(n string) bool { return n == line.Instance })
		return nil
	case KindPause, KindResume:
		in.paused = line.Kind == KindPause
		return nil
	}
	ev, err := entry.DecodeEvent(entry.Line{At: line.At, Kind: line.Kind, Body: line.Body})
	if err != nil {
		return err
	}
	if in.paused {
		return fmt.Errorf("event for the paused instance %q", line.Instance)
	}
	x.report.Events++
	in.feed(ev, line.To)
	return nil
}

func (x *run) start(line Line) error {
	if line.Options == nil {
		return fmt.Errorf("start of %q without options", line.Instance)
	}
	if x.instances[line.Instance] == nil {
		x.names = append(x.names, line.Instance)
	}
	x.instances[line.Instance] = newInstance(x, line.Instance, *line.Options)
	return nil
}

// advance runs the timers of all instances up to a time, in order.
func (x *run) advance(to time.Duration) {
	for {
		var next *instance
		at := to
		for _, name := range x.names {
			in := x.instances[name]
			if t, ok := in.entry.Next(); ok && !in.paused && t < at {
				next, at = in, t
			}
		}
		x.now = max(x.now, at)
		if next == nil {
			return
		}
		next.step(entry.Tick{})
	}
}

// compareRevision holds a stated revision against an instance's.
func (x *run) compareRevision(want InForce) error {
	x.inForce++
	in := x.instances[want.Instance]
	if in == nil {
		return fmt.Errorf("instance %q is not started", want.Instance)
	}
	if got := in.entry.Revision(); got != want.Revision {
		x.differ("%s has revision %d in force at %v, stated %d", want.Instance, got, x.now, want.Revision)
	}
	return nil
}

// compare lists the differences between what was stated and what happened.
func (x *run) compare() {
	x.report.Outcomes = len(x.stated) + len(x.wanted) + x.inForce
	for _, want := range x.wanted {
		if !x.answers[want] {
			x.differ("%s did not answer operation %d with %s", want.Instance, want.Operation, want.Outcome)
		}
	}
	seen := map[arrival]bool{}
	for _, want := range x.stated {
		id := arrival{want.Instance, want.Incarnation, want.Request}
		seen[id] = true
		got := x.outcomes[id]
		switch {
		case got == nil:
			x.differ("%s request %d never arrived", want.Instance, want.Request)
		case *got != want:
			x.differ("%s request %d ended as %d after %d sends, stated %d after %d",
				want.Instance, want.Request, got.Code, got.Sends, want.Code, want.Sends)
		}
	}
	for id := range x.outcomes {
		if !seen[id] {
			x.differ("%s request %d has no stated outcome", id.instance, id.request)
		}
	}
	for _, name := range x.names {
		for _, h := range x.instances[name].held {
			x.differ("%s was never asked what %s %s%s answers", name, h.ev.kind, h.to.Op, h.to.Key)
		}
	}
	slices.Sort(x.report.Differences)
}

func (x *run) differ(format string, args ...any) {
	x.report.Differences = append(x.report.Differences, fmt.Sprintf(format, args...))
}
