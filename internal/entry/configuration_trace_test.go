package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	standin "github.com/medlardeck/medlardeck/internal/standin/platform"
)

// traceRecorder records the events of a cluster as a trace. A nil traceRecorder
// records nothing.
type traceRecorder struct {
	buffer     bytes.Buffer
	storeCalls map[string]StoreCall // by instance and id
}

func (r *traceRecorder) writeLine(v map[string]any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	r.buffer.Write(append(raw, '\n'))
}

func (r *traceRecorder) recordStart(at time.Duration, name string, opts Options) {
	if r != nil {
		r.writeLine(map[string]any{"at": at, "instance": name, "kind": "start", "options": opts})
	}
}

func (r *traceRecorder) recordCall(name string, eff StoreCall) {
	if r != nil {
		r.storeCalls[fmt.Sprint(name, eff.ID)] = eff
	}
}

// recordEvent adds an event to the trace. Ticks are left out. A store reply names
// the call that it belongs to in place of an id, as the replay command expects.
func (r *traceRecorder) recordEvent(at time.Duration, name string, ev Event) {
	if r == nil || ev == Event(Tick{}) {
		return
	}
	line := map[string]any{"at": at, "instance": name, "kind": ev.eventKind(), "body": ev}
	if reply, ok := ev.(StoreReply); ok {
		call := r.storeCalls[fmt.Sprint(name, reply.ID)].Call
		reply.ID = 0
		line["body"], line["to"] = reply, map[string]any{"op": call.Op, "key": call.Key}
	}
	r.writeLine(line)
}

// recordRevisions adds lines to the trace that state the revision which each of
// the instances has in force now.
func (c *cluster) recordRevisions(names ...string) {
	for _, name := range names {
		c.recorder.writeLine(map[string]any{"at": c.now, "in_force": map[string]any{"instance": name, "revision": c.entries[name].Revision()}})
	}
}

// expectOutcome runs an operator's command, checks its outcome and adds a line to
// the trace that states it.
func (c *cluster) expectOutcome(t *testing.T, name string, op OperatorCommand, outcome string) CommandResult {
	t.Helper()
	operated := c.runOperation(t, name, op)
	got := "done"
	switch {
	case operated.Failure != "":
		got = string(operated.Failure)
	case operated.Confirmation != nil:
		got = string(operated.Confirmation.Verdict)
	}
	must.Eq(t, outcome, got)
	c.recorder.writeLine(map[string]any{"answer": map[string]any{"instance": name, "operation": operated.ID, "outcome": outcome}})
	return operated
}

// configurationScenarios are runs that are recorded as traces for the replay
// command.
var configurationScenarios = []struct {
	name, about string
	run         func(t *testing.T, c *cluster)
}{
	{"configuration-race", "two operators plan on one revision; one confirmation wins, the other is told so", func(t *testing.T, c *cluster) {
		mine := c.expectOutcome(t, "entry-000", limitEdit(100), "done").Plan
		theirs := c.expectOutcome(t, "entry-001", limitEdit(200), "done").Plan
		c.expectOutcome(t, "entry-001", OperatorCommand{Confirm: theirs.ID}, "accepted")
		c.expectOutcome(t, "entry-000", OperatorCommand{Confirm: mine.ID}, "not-accepted")
		c.advance(2 * time.Second)
		c.recordRevisions("entry-000", "entry-001")
	}},
	{"configuration-lost-answer", "the swap of the root takes effect and its answer is lost", func(t *testing.T, c *cluster) {
		plan := c.expectOutcome(t, "entry-000", limitEdit(100), "done").Plan
		c.store.SetFaults(standin.Faults{LostAnswers: 1, Prefix: configuration.KeyRoot})
		c.expectOutcome(t, "entry-000", OperatorCommand{Confirm: plan.ID}, "accepted")
		c.advance(2 * time.Second)
		c.recordRevisions("entry-000", "entry-001")
	}},
	{"configuration-restored-store", "the store goes back to an older revision; instances keep the newer one and write it again", func(t *testing.T, c *cluster) {
		c.store.Snapshot()
		plan := c.expectOutcome(t, "entry-000", limitEdit(100), "done").Plan
		c.expectOutcome(t, "entry-000", OperatorCommand{Confirm: plan.ID}, "accepted")
		c.advance(2 * time.Second)
		c.store.Restore()
		c.advance(8 * time.Second)
		c.recordRevisions("entry-000", "entry-001")
		c.expectOutcome(t, "entry-001", limitEdit(300), string(CommandFailureBehind))
		again := c.expectOutcome(t, "entry-001", OperatorCommand{Edit: &configuration.Edit{Reassert: true}}, "done").Plan
		c.expectOutcome(t, "entry-001", OperatorCommand{Confirm: again.ID}, "accepted")
		c.advance(2 * time.Second)
		c.recordRevisions("entry-000", "entry-001")
	}},
}

func TestConfigurationScenariosEndAsExpected(t *testing.T) {
	for _, s := range configurationScenarios {
		t.Run(s.name, func(t *testing.T) {
			c := newCluster(0)
			c.recorder = &traceRecorder{storeCalls: map[string]StoreCall{}}
			c.recorder.writeLine(map[string]any{"trace": s.name, "about": s.about})
			c.startEntry("entry-000", "a", 1)
			c.startEntry("entry-001", "a", 1)
			c.withStore(t, loopbackIntent())
			c.awaitRevision(t, 1, 20*time.Second)
			s.run(t, c)
			if *updateTraces {
				must.NoError(t, os.WriteFile(filepath.Join("..", "..", "testdata", "traces", s.name+".jsonl"), c.recorder.buffer.Bytes(), 0o644))
			}
		})
	}
}
