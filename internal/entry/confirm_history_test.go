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

// confirmInput is the input of an operation of the sequential model that the
// linearizability check compares confirmations with. The model is one register
// that holds the accepted plan.
type confirmInput struct {
	plan     string
	base     configuration.Revision
	basePlan string
}

// confirmState is the state of the sequential model.
type confirmState struct {
	rev           configuration.Revision
	plan          string
	acceptedPlans string // ids of all accepted plans, separated by spaces
}

func (s confirmState) withAccepted(in confirmInput) confirmState {
	return confirmState{rev: in.base + 1, plan: in.plan, acceptedPlans: s.acceptedPlans + " " + in.plan}
}

// nextConfirmStates returns the states that may follow a confirmation with this
// verdict. None means that the verdict is false. The test never restores older
// data, so the verdict store-behind is always false.
func nextConfirmStates(s confirmState, in confirmInput, verdict configuration.Verdict) []any {
	alreadyAccepted := strings.Contains(s.acceptedPlans, in.plan)
	baseIsCurrent := s.rev == in.base && s.plan == in.basePlan
	switch verdict {
	case configuration.VerdictAccepted:
		if alreadyAccepted {
			return []any{s}
		}
		if baseIsCurrent {
			return []any{s.withAccepted(in)}
		}
	case configuration.VerdictNotAccepted:
		if !alreadyAccepted && !baseIsCurrent {
			return []any{s}
		}
	case configuration.VerdictUnavailable:
		return []any{s}
	case configuration.VerdictUnknown:
		if baseIsCurrent && !alreadyAccepted {
			return []any{s, s.withAccepted(in)}
		}
		return []any{s}
	case configuration.VerdictStoreBehind:
	}
	return nil
}

func confirmModel(initialRoot configuration.Root) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{confirmState{rev: initialRoot.Revision, plan: initialRoot.PlanID}} },
		Step: func(state, in, out any) []any {
			return nextConfirmStates(state.(confirmState), in.(confirmInput), out.(configuration.Verdict))
		},
	}
	return model.ToModel()
}

// confirmCall is one confirmation in the history under test. endedAt is zero while
// it has no answer.
type confirmCall struct {
	input    confirmInput
	calledAt time.Duration
	endedAt  time.Duration
	answer   func() *CommandResult
}

// confirmMachine applies random operations and faults to a cluster.
type confirmMachine struct {
	cluster          *cluster
	initialRoot      configuration.Root
	plans            []configuration.Plan
	confirmCalls     []*confirmCall
	highestRevisions map[string]configuration.Revision // by instance and incarnation
	restartCounts    map[string]uint64
}

// advance moves the clock and notes when confirmations were answered.
func (m *confirmMachine) advance(d time.Duration) {
	m.cluster.advance(d)
	for _, conf := range m.confirmCalls {
		if conf.endedAt == 0 && conf.answer() != nil {
			conf.endedAt = m.cluster.now
		}
	}
}

func (m *confirmMachine) drawInstance(t *rapid.T) string {
	return rapid.SampledFrom(m.cluster.names).Draw(t, "instance")
}

// Plan asks an instance for a plan and keeps it for Confirm.
func (m *confirmMachine) Plan(t *rapid.T) {
	name := m.drawInstance(t)
	answer := m.cluster.startOperation(name, limitEdit(float64(rapid.IntRange(1, 1000).Draw(t, "tokens"))))
	m.advance(3 * time.Second)
	if out := answer(); out != nil && out.Plan != nil && !out.Plan.Empty() {
		m.plans = append(m.plans, *out.Plan)
	}
}

// Confirm starts the confirmation of one of the plans at any instance.
func (m *confirmMachine) Confirm(t *rapid.T) {
	if len(m.plans) == 0 {
		t.Skip("no plan")
	}
	p := rapid.SampledFrom(m.plans).Draw(t, "plan")
	m.confirmCalls = append(m.confirmCalls, &confirmCall{
		input: confirmInput{p.ID, p.Base, p.BasePlan}, calledAt: m.cluster.now,
		answer: m.cluster.startOperation(m.drawInstance(t), OperatorCommand{Confirm: p.ID}),
	})
	m.advance(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
}

// ChangeFaults sets the faults of the store and the partition between instances.
func (m *confirmMachine) ChangeFaults(t *rapid.T) {
	instance := m.drawInstance(t)
	m.cluster.store.SetFaults(rapid.SampledFrom([]standin.Faults{
		{},
		{LostAnswers: 0.7, Prefix: configuration.KeyRoot},
		{LostAnswers: 0.3, Refusals: 0.2},
		{Outage: true, Prefix: configuration.KeyRoot},
		{Cut: []string{instance}},
	}).Draw(t, "faults"))
	partitionedInstance := rapid.SampledFrom([]string{"", instance}).Draw(t, "parted")
	m.cluster.partitioned = func(from, to string) bool { return from == partitionedInstance || to == partitionedInstance }
}

// ReplaceInstance kills an instance and starts a new incarnation after a while.
func (m *confirmMachine) ReplaceInstance(t *rapid.T) {
	name := m.drawInstance(t)
	domain := m.cluster.entries[name].opts.FailureDomain
	m.cluster.killEntry(name)
	m.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	m.restartCounts[name]++
	m.cluster.startEntry(name, domain, 1+m.restartCounts[name])
	m.cluster.publishInstances()
}

// Wait lets time pass.
func (m *confirmMachine) Wait(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
}

// CheckRevisions runs after every action and checks that no incarnation goes back
// to an older revision.
func (m *confirmMachine) CheckRevisions(t *rapid.T) {
	for name, e := range m.cluster.entries {
		key := fmt.Sprint(name, e.opts.Incarnation)
		must.GreaterEq(t, m.highestRevisions[key], e.Revision())
		m.highestRevisions[key] = e.Revision()
	}
}

// healAndCheck ends all faults and checks that every instance has the stored
// revision in force and that the confirmations are linearizable. One whose
// verdict is unknown stays open, since it may take effect at any later time.
func (m *confirmMachine) healAndCheck(t *rapid.T) {
	m.cluster.store.SetFaults(standin.Faults{})
	m.cluster.partitioned = func(string, string) bool { return false }
	m.advance(45 * time.Second)
	root, err := configuration.ParseRoot(m.cluster.store.Local("test").Do(context.Background(), store.Call{Op: store.OpGet, Key: configuration.KeyRoot}))
	must.NoError(t, err)
	must.Eq(t, map[configuration.Revision]int{root.Revision: len(m.cluster.entries)}, m.cluster.countRevisions())
	var ops []porcupine.Operation
	for i, conf := range m.confirmCalls {
		verdict, ended := configuration.VerdictUnknown, int64(math.MaxInt64)
		if out := conf.answer(); out != nil && out.Confirmation != nil {
			verdict = out.Confirmation.Verdict
		} else if out != nil {
			verdict = configuration.VerdictUnavailable // failed before the root was written
		}
		if verdict != configuration.VerdictUnknown {
			ended = int64(conf.endedAt)
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: conf.input, Call: int64(conf.calledAt), Output: verdict, Return: ended})
	}
	must.True(t, porcupine.CheckOperations(confirmModel(m.initialRoot), ops), must.Sprintf("%+v", ops))
}

func TestConfirmationsAreLinearizableUnderFaults(t *testing.T) {
	verdicts := map[configuration.Verdict]int{}
	rapid.Check(t, func(rt *rapid.T) {
		c := newSettledCluster(t, 4, "a", "b")
		m := &confirmMachine{
			cluster: c, initialRoot: c.entries["entry-000"].configSync.replica.Current().Root,
			highestRevisions: map[string]configuration.Revision{}, restartCounts: map[string]uint64{},
		}
		rt.Repeat(map[string]func(*rapid.T){
			"plan": m.Plan, "confirm": m.Confirm, "confirm again": m.Confirm, "fault": m.ChangeFaults,
			"restart": m.ReplaceInstance, "wait": m.Wait, "": m.CheckRevisions,
		})
		m.healAndCheck(rt)
		for _, conf := range m.confirmCalls {
			if out := conf.answer(); out != nil && out.Confirmation != nil {
				verdicts[out.Confirmation.Verdict]++
			}
		}
	})
	t.Logf("verdicts: %v", verdicts)
}

// Two plans on the same base can't both be accepted. The linearizability check
// would prove nothing if its model allowed that.
func TestConfirmModelRejectsAFalseVerdict(t *testing.T) {
	initialRoot := configuration.Root{Revision: 1, PlanID: "p1"}
	ops := []porcupine.Operation{
		{ClientId: 0, Input: confirmInput{"p2", 1, "p1"}, Call: 0, Output: configuration.VerdictAccepted, Return: 1},
		{ClientId: 1, Input: confirmInput{"p3", 1, "p1"}, Call: 2, Output: configuration.VerdictAccepted, Return: 3},
	}
	must.False(t, porcupine.CheckOperations(confirmModel(initialRoot), ops))
	ops[1].Output = configuration.VerdictNotAccepted
	must.True(t, porcupine.CheckOperations(confirmModel(initialRoot), ops))
}
