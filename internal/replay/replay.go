// Package replay feeds recorded traces to entry instances and compares the
// results with the outcomes that the trace expects. docs/TRACES.md documents the
// format.
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

// maxLineBytes limits the length of a line in a trace. It leaves ample room for a
// value of the store in base64.
const maxLineBytes = 4 << 20

// Kinds of lines other than those of events.
const (
	KindStart  = "start"  // an instance starts or restarts
	KindEnd    = "end"    // an instance ends as in a crash
	KindPause  = "pause"  // an instance stops running; its clock continues
	KindResume = "resume" // a paused instance continues
)

// Line is one line of a trace.
type Line struct {
	// Trace is the name of the trace and About its description; they are set in
	// the first line only.
	Trace string `json:"trace,omitempty"`
	About string `json:"about,omitempty"`
	// At is the time of the event in nanoseconds.
	At       time.Duration   `json:"at,omitempty"`
	Instance string          `json:"instance,omitempty"`
	Kind     string          `json:"kind,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
	// Options configures an instance that starts.
	Options *entry.Options `json:"options,omitempty"`
	// Effect refers to the effect that a store reply or the end of an attempt
	// answers; it replaces the ids in the body.
	Effect *EffectRef `json:"to,omitempty"`
	// Outcome is the expected outcome of a request.
	Outcome *Outcome `json:"outcome,omitempty"`
	// ActiveRevision is the configuration revision that is expected to be in
	// force at an instance at this point.
	ActiveRevision *ActiveRevision `json:"in_force,omitempty"`
	// Answer is the expected result of an operator's command.
	Answer *Answer `json:"answer,omitempty"`
}

// ActiveRevision is the configuration revision in force at an instance.
type ActiveRevision struct {
	Instance string                 `json:"instance"`
	Revision configuration.Revision `json:"revision"`
}

// Answer is the result of an operator's command.
type Answer struct {
	Instance  string `json:"instance"`
	Operation uint64 `json:"operation"`
	// Outcome is the verdict of a confirmation, the failure of a command, or
	// "done".
	Outcome string `json:"outcome"`
}

// answerFromEffect returns the result of an operator's command in the form that a
// trace uses.
func answerFromEffect(instance string, eff entry.CommandResult) Answer {
	a := Answer{Instance: instance, Operation: eff.ID, Outcome: "done"}
	switch {
	case eff.Failure != "":
		a.Outcome = string(eff.Failure)
	case eff.Confirmation != nil:
		a.Outcome = string(eff.Confirmation.Verdict)
	}
	return a
}

// EffectRef refers to an effect that an event answers: a store call or an attempt.
type EffectRef struct {
	// Op and Key refer to the oldest open store call with this operation and
	// key.
	Op  store.Op `json:"op,omitempty"`
	Key string   `json:"key,omitempty"`
	// Request refers to the last attempt of this request.
	Request entry.RequestID `json:"request,omitempty"`
}

// Outcome is the result of a request that arrived at an instance.
type Outcome struct {
	Instance    string          `json:"instance"`
	Incarnation uint64          `json:"incarnation"`
	Request     entry.RequestID `json:"request"`
	// Code is the result code. It is zero if the instance ended before the
	// request did.
	Code result.Code `json:"code"`
	// Sends is the number of times the request was sent to a target.
	Sends int `json:"sends"`
}

// Report is the result of a replay.
type Report struct {
	Trace  string `json:"trace"`
	Events int    `json:"events"`
	// Outcomes is the number of expected outcomes, answers and revisions.
	Outcomes int `json:"outcomes"`
	// Differences describes each result that differs from the trace, sorted;
	// empty if there is none.
	Differences []string `json:"differences,omitempty"`
}

// requestKey identifies a request among all instances.
type requestKey struct {
	instance    string
	incarnation uint64
	request     entry.RequestID
}

// replayer is the state of one replay.
type replayer struct {
	report           Report
	now              time.Duration
	instanceNames    []string
	instances        map[string]*instance
	actualOutcomes   map[requestKey]*Outcome
	expectedOutcomes []Outcome
	actualAnswers    map[Answer]bool
	expectedAnswers  []Answer
	revisionChecks   int // number of expected revisions that were compared
}

// Run replays a trace. It returns an error if the trace is invalid or can't be
// read; differences are in the report.
func Run(trace io.Reader) (Report, error) {
	r := &replayer{instances: map[string]*instance{}, actualOutcomes: map[requestKey]*Outcome{}, actualAnswers: map[Answer]bool{}}
	scanner := bufio.NewScanner(trace)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" {
			continue
		}
		var line Line
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			return r.report, fmt.Errorf("read line %d: %w", n, err)
		}
		if err := r.handleLine(line); err != nil {
			return r.report, fmt.Errorf("replay line %d: %w", n, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return r.report, fmt.Errorf("read trace: %w", err)
	}
	if len(r.expectedOutcomes)+len(r.expectedAnswers)+r.revisionChecks == 0 {
		return r.report, fmt.Errorf("read trace: no expected outcomes")
	}
	r.compareResults()
	return r.report, nil
}

// handleLine collects what a line expects, or passes its event to the instance.
func (r *replayer) handleLine(line Line) error {
	switch {
	case line.Trace != "":
		r.report.Trace = line.Trace
		return nil
	case line.Outcome != nil:
		r.expectedOutcomes = append(r.expectedOutcomes, *line.Outcome)
		return nil
	case line.Answer != nil:
		r.expectedAnswers = append(r.expectedAnswers, *line.Answer)
		return nil
	}
	r.runTimersUntil(line.At)
	if line.ActiveRevision != nil {
		return r.compareRevision(*line.ActiveRevision)
	}
	if line.Kind == KindStart {
		return r.startInstance(line)
	}
	in := r.instances[line.Instance]
	if in == nil {
		return fmt.Errorf("instance %q is not started", line.Instance)
	}
	switch line.Kind {
	case KindEnd:
		delete(r.instances, line.Instance)
		r.instanceNames = slices.DeleteFunc(r.instanceNames, func(n string) bool { return n == line.Instance })
		return nil
	case KindPause, KindResume:
		in.paused = line.Kind == KindPause
		return nil
	}
	ev, err := entry.DecodeEvent(entry.TraceLine{At: line.At, Kind: line.Kind, Body: line.Body})
	if err != nil {
		return err
	}
	if in.paused {
		return fmt.Errorf("event for the paused instance %q", line.Instance)
	}
	r.report.Events++
	in.handleEvent(ev, line.Effect)
	return nil
}

func (r *replayer) startInstance(line Line) error {
	if line.Options == nil {
		return fmt.Errorf("start of instance %q without options", line.Instance)
	}
	if r.instances[line.Instance] == nil {
		r.instanceNames = append(r.instanceNames, line.Instance)
	}
	r.instances[line.Instance] = newInstance(r, line.Instance, *line.Options)
	return nil
}

// runTimersUntil runs the timers of all instances that are due before a time, in
// the order of their times, and advances the clock to it. Timers of paused instances
// do not run.
func (r *replayer) runTimersUntil(until time.Duration) {
	for {
		var next *instance
		nextAt := until
		for _, name := range r.instanceNames {
			in := r.instances[name]
			if t, ok := in.entry.NextTimer(); ok && !in.paused && t < nextAt {
				next, nextAt = in, t
			}
		}
		r.now = max(r.now, nextAt)
		if next == nil {
			return
		}
		next.step(entry.Tick{})
	}
}

// compareRevision compares an expected revision with the one in force at the
// instance.
func (r *replayer) compareRevision(expected ActiveRevision) error {
	r.revisionChecks++
	in := r.instances[expected.Instance]
	if in == nil {
		return fmt.Errorf("instance %q is not started", expected.Instance)
	}
	if actual := in.entry.Revision(); actual != expected.Revision {
		r.addDifference("%s has revision %d in force at %v, expected %d", expected.Instance, actual, r.now, expected.Revision)
	}
	return nil
}

// compareResults adds the differences between expected and actual results to the
// report, including requests without an expected outcome and answers that were
// never delivered.
func (r *replayer) compareResults() {
	r.report.Outcomes = len(r.expectedOutcomes) + len(r.expectedAnswers) + r.revisionChecks
	for _, expected := range r.expectedAnswers {
		if !r.actualAnswers[expected] {
			r.addDifference("%s did not answer operation %d with %s", expected.Instance, expected.Operation, expected.Outcome)
		}
	}
	isExpected := map[requestKey]bool{}
	for _, expected := range r.expectedOutcomes {
		id := requestKey{expected.Instance, expected.Incarnation, expected.Request}
		isExpected[id] = true
		actual := r.actualOutcomes[id]
		switch {
		case actual == nil:
			r.addDifference("%s request %d never arrived", expected.Instance, expected.Request)
		case *actual != expected:
			r.addDifference("%s request %d ended with code %d after %d sends, expected %d after %d",
				expected.Instance, expected.Request, actual.Code, actual.Sends, expected.Code, expected.Sends)
		}
	}
	for id := range r.actualOutcomes {
		if !isExpected[id] {
			r.addDifference("%s request %d has no expected outcome", id.instance, id.request)
		}
	}
	for _, name := range r.instanceNames {
		for _, answer := range r.instances[name].pendingAnswers {
			r.addDifference("%s has no call or attempt that matches the %s %s%s", name, answer.event.kind, answer.effect.Op, answer.effect.Key)
		}
	}
	slices.Sort(r.report.Differences)
}

// addDifference adds a formatted line to the differences in the report.
func (r *replayer) addDifference(format string, args ...any) {
	r.report.Differences = append(r.report.Differences, fmt.Sprintf(format, args...))
}
