package entry

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/medlardeck/medlardeck/internal/configuration"
	standin "github.com/medlardeck/medlardeck/internal/standin/platform"
	"github.com/medlardeck/medlardeck/internal/store"
)

// confirmInput and confirmState are the input and the state of the sequential
// model of confirmations: one register of the accepted plan.
type confirmInput struct {
	plan     string
	base     configuration.Revision
	basePlan string
}

type confirmState struct {
	rev      configuration.Revision
	plan     string
	accepted string // ids of all accepted plans
}

func (s confirmState) accept(in confirmInput) confirmState {
	return confirmState{rev: in.base + 1, plan: in.plan, accepted: s.accepted + " " + in.plan}
}

// stepConfirm returns the states that may follow; none says that the verdict
// is false.
func stepConfirm(s confirmState, in confirmInput, verdict configuration.Verdict) []any {
	already := strings.Contains(s.accepted, in.plan)
	onBase := s.rev == in.base && s.plan == in.basePlan
	switch verdict {
	case configuration.VerdictAccepted:
		if already {
			return []any{s}
		}
		if onBase {
			return []any{s.accept(in)}
		}
	case configuration.VerdictNotAccepted:
		if !already && !onBase {
			return []any{s}
		}
	case configuration.VerdictUnavailable:
		return []any{s}
	case configuration.VerdictUnknown:
		if onBase && !already {
			return []any{s, s.accept(in)}
		}
		return []any{s}
	case configuration.VerdictStoreBehind:
	}
	return nil
}

func confirmModel(first configuration.Root) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{confirmState{rev: first.Revision, plan: first.PlanID}} },
		Step: func(state, in, out any) []any {
			return stepConfirm(state.(confirmState), in.(confirmInput), out.(configuration.Verdict))
		},
	}
	return model.ToModel()
}

// confirmation is one confirm of the history under test.
type confirmation struct {
	input  confirmInput
	called time.Duration
	ended  time.Duration
	answer func() *Operated
}

// confirmMachine drives a cluster at random.
type confirmMachine struct {
	c        *cluster
	first    configuration.Root
	plans    []configuration.Plan
	confirms []*confirmation
	seen     map[string]configuration.Revision // highest by instance and start
	starts   map[string]uint64
}

func (m *confirmMachine) run(d time.Duration) {
	m.c.run(d)
	for _, conf := range m.confirms {
		if conf.ended == 0 && conf.answer() != nil {
			conf.ended = m.c.now
		}
	}
}

func (m *confirmMachine) name(t *rapid.T) string {
	return rapid.SampledFrom(m.c.names).Draw(t, "instance")
}

// Plan asks for a plan and keeps it.
func (m *confirmMachine) Plan(t *rapid.T) {
	name := m.name(t)
	answer := m.c.operate(name, limitEdit(float64(rapid.IntRange(1, 1000).Draw(t, "tokens"))))
	m.run(3 * time.Second)
	if out := answer(); out != nil && out.Plan != nil && !out.Plan.Empty() {
		m.plans = append(m.plans, *out.Plan)
	}
}

// Confirm starts the confirmation of a known plan.
func (m *confirmMachine) Confirm(t *rapid.T) {
	if len(m.plans) == 0 {
		t.Skip("no plan")
	}
	p := rapid.SampledFrom(m.plans).Draw(t, "plan")
	m.confirms = append(m.confirms, &confirmation{
		input: confirmInput{p.ID, p.Base, p.BasePlan}, called: m.c.now,
		answer: m.c.operate(m.name(t), Operate{Confirm: p.ID}),
	})
	m.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
}

// Fault changes what goes wrong at the store and between instances.
func (m *confirmMachine) Fault(t *rapid.T) {
	cut := m.name(t)
	m.c.store.SetFaults(rapid.SampledFrom([]standin.Faults{
		{},
		{LostAnswers: 0.7, Prefix: configuration.KeyRoot},
		{LostAnswers: 0.3, Refusals: 0.2},
		{Outage: true, Prefix: configuration.KeyRoot},
		{Cut: []string{cut}},
	}).Draw(t, "faults"))
	parted := rapid.SampledFrom([]string{"", cut}).Draw(t, "parted")
	m.c.cut = func(from, to string) bool { return from == parted || to == parted }
}

// Restart replaces an instance by a fresh one.
func (m *confirmMachine) Restart(t *rapid.T) {
	name := m.name(t)
	domain := m.c.entries[name].opts.FailureDomain
	m.c.kill(name)
	m.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	m.starts[name]++
	m.c.start(name, domain, 1+m.starts[name])
	m.c.list()
}

// Wait lets time pass.
func (m *confirmMachine) Wait(t *rapid.T) {
	m.run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
}

// Check holds after every action: revisions only rise.
func (m *confirmMachine) Check(t *rapid.T) {
	for name, e := range m.c.entries {
		key := fmt.Sprint(name, e.opts.Incarnation)
		must.GreaterEq(t, m.seen[key], e.Revision())
		m.seen[key] = e.Revision()
	}
}

// finish heals everything and checks what the instances and the verdicts say.
func (m *confirmMachine) finish(t *rapid.T) {
	m.c.store.SetFaults(standin.Faults{})
	m.c.cut = func(string, string) bool { return false }
	m.run(45 * time.Second)
	root, err := configuration.ParseRoot(m.c.store.Local("test").Do(context.Background(), store.Call{Op: store.OpGet, Key: configuration.KeyRoot}))
	must.NoError(t, err)
	must.Eq(t, map[configuration.Revision]int{root.Revision: len(m.c.entries)}, m.c.revisions())
	var ops []porcupine.Operation
	for i, conf := range m.confirms {
		verdict, ended := configuration.VerdictUnknown, int64(math.MaxInt64)
		if out := conf.answer(); out != nil && out.Confirmation != nil {
			verdict = out.Confirmation.Verdict
		} else if out != nil {
			verdict = configuration.VerdictUnavailable // failed before the swap
		}
		if verdict != configuration.VerdictUnknown {
			ended = int64(conf.ended)
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: conf.input, Call: int64(conf.called), Output: verdict, Return: ended})
	}
	must.True(t, porcupine.CheckOperations(confirmModel(m.first), ops), must.Sprintf("%+v", ops))
}

func TestConfirmationsAreLinearizableUnderFaults(t *testing.T) {
	verdicts := map[configuration.Verdict]int{}
	rapid.Check(t, func(rt *rapid.T) {
		c := settled(t, 4, "a", "b")
		m := &confirmMachine{
			c: c, first: c.entries["entry-000"].configSync.replica.Current().Root,
			seen: map[string]configuration.Revision{}, starts: map[string]uint64{},
		}
		rt.Repeat(map[string]func(*rapid.T){
			"plan": m.Plan, "confirm": m.Confirm, "confirm again": m.Confirm, "fault": m.Fault,
			"restart": m.Restart, "wait": m.Wait, "": m.Check,
		})
		m.finish(rt)
		for _, conf := range m.confirms {
			if out := conf.answer(); out != nil && out.Confirmation != nil {
				verdicts[out.Confirmation.Verdict]++
			}
		}
	})
	t.Logf("verdicts: %v", verdicts)
}

func TestModelRefutesAFalseVerdict(t *testing.T) {
	first := configuration.Root{Revision: 1, PlanID: "p1"}
	ops := []porcupine.Operation{
		{ClientId: 0, Input: confirmInput{"p2", 1, "p1"}, Call: 0, Output: configuration.VerdictAccepted, Return: 1},
		{ClientId: 1, Input: confirmInput{"p3", 1, "p1"}, Call: 2, Output: configuration.VerdictAccepted, Return: 3},
	}
	must.False(t, porcupine.CheckOperations(confirmModel(first), ops))
	ops[1].Output = configuration.VerdictNotAccepted
	must.True(t, porcupine.CheckOperations(confirmModel(first), ops))
}
