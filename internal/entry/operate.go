package entry

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
)

// historyLimit bounds the revisions that one command lists or searches.
const historyLimit = 100

// CounterOperations counts operators' commands by outcome.
const CounterOperations = "operations"

// OperatorCommand is an operator's command; exactly one of the fields after At is set.
// CommandResult answers it.
type OperatorCommand struct {
	ID       uint64 `json:"id"`
	Operator string `json:"operator"`
	// At is the wall time of the command, for the record.
	At time.Time `json:"at"`
	// Plan is a whole intent, decoded without unknown fields.
	Plan *configuration.Intent `json:"plan,omitempty"`
	Edit *configuration.Edit   `json:"edit,omitempty"`
	// Rollback is the earlier revision to whose intent a plan returns.
	Rollback configuration.Revision `json:"rollback,omitempty"`
	// Confirm is the id of the plan to put in force.
	Confirm string `json:"confirm,omitempty"`
	// History is how many revisions to list.
	History int  `json:"history,omitempty"`
	Status  bool `json:"status,omitempty"`
}

// CommandFailure says why a command was not carried out.
type CommandFailure string

// Failures of commands.
const (
	CommandFailureInvalid     CommandFailure = "invalid"           // the intent or edit has faults
	CommandFailureUnavailable CommandFailure = "store-unavailable" // the store gave no answer
	CommandFailureBehind      CommandFailure = "store-behind"      // the store holds an older revision than the one in force
	CommandFailureNoPlan      CommandFailure = "no-such-plan"
	CommandFailureNoRevision  CommandFailure = "no-such-revision"
)

// Confirmation is the outcome of confirming a plan.
type Confirmation struct {
	Verdict configuration.Verdict `json:"verdict"`
	PlanID  string                `json:"plan_id"`
	// Revision is the accepted revision of the plan.
	Revision configuration.Revision `json:"revision,omitempty"`
	// Other is the change that was accepted on the same base instead of the plan.
	Other *configuration.Root `json:"other,omitempty"`
}

// CommandResult answers an OperatorCommand; Failure is empty when it was carried out.
type CommandResult struct {
	ID           uint64               `json:"id"`
	Plan         *configuration.Plan  `json:"plan,omitempty"`
	Confirmation *Confirmation        `json:"confirmation,omitempty"`
	History      []configuration.Root `json:"history,omitempty"`
	Status       *Status              `json:"status,omitempty"`
	Failure      CommandFailure       `json:"failure,omitempty"`
	Text         string               `json:"text,omitempty"`
	Faults       configuration.Faults `json:"faults,omitempty"`
}

func (OperatorCommand) eventKind() string { return "operate" }
func (CommandResult) effectKind() string  { return "operated" }

func (e *Entry) handleOperatorCommand(ev OperatorCommand) {
	e.openCommands[ev.ID] = ev
	switch {
	case e.stopExpired && !ev.Status:
		e.answerFailure(ev, errStopping)
	case ev.Plan != nil:
		e.planIntent(ev, func(configuration.Intent) (configuration.Intent, error) { return *ev.Plan, nil })
	case ev.Edit != nil && ev.Edit.Reassert:
		e.planReassertion(ev)
	case ev.Edit != nil:
		e.planIntent(ev, func(in configuration.Intent) (configuration.Intent, error) {
			return ev.Edit.Apply(in, e.isInstance)
		})
	case ev.Rollback != 0:
		e.planRollback(ev)
	case ev.Confirm != "":
		e.confirm(ev)
	case ev.History > 0:
		h := configuration.NewHistory(min(ev.History, historyLimit))
		e.runProcedure(h, func() {
			if h.Err != nil {
				e.answerFailure(ev, h.Err)
				return
			}
			e.answerOperator(ev, CommandResult{History: h.Roots})
		})
	case ev.Status:
		status := e.status()
		e.answerOperator(ev, CommandResult{Status: &status})
	default:
		e.answerOperator(ev, CommandResult{Failure: CommandFailureInvalid, Text: "the command is empty"})
	}
}

func (e *Entry) isInstance(name string) bool {
	_, ok := e.members.Get(name)
	return ok
}

// answerOperator counts the outcome of a command and emits its answer. It drops an answer
// that comes after the end of a stop gave one.
func (e *Entry) answerOperator(ev OperatorCommand, out CommandResult) {
	if _, open := e.openCommands[ev.ID]; !open {
		return
	}
	delete(e.openCommands, ev.ID)
	out.ID = ev.ID
	e.incrementCounter(CounterOperations, operationOutcome(out))
	e.emit(out)
}

func operationOutcome(out CommandResult) string {
	switch {
	case out.Failure != "":
		return string(out.Failure)
	case out.Confirmation != nil:
		return "confirm-" + string(out.Confirmation.Verdict)
	case out.Plan != nil:
		return "plan"
	}
	return "read"
}

// answerFailure answers a command that was not carried out.
func (e *Entry) answerFailure(ev OperatorCommand, err error) {
	out := CommandResult{Failure: CommandFailureUnavailable, Text: err.Error()}
	var faults configuration.Faults
	switch {
	case errors.As(err, &faults):
		out.Failure, out.Faults = CommandFailureInvalid, faults
	case errors.Is(err, configuration.ErrNoPlan):
		out.Failure = CommandFailureNoPlan
	case errors.Is(err, errStoreBehind):
		out.Failure = CommandFailureBehind
	case errors.Is(err, errNoRevision):
		out.Failure = CommandFailureNoRevision
	}
	e.answerOperator(ev, out)
}

var (
	errStoreBehind = errors.New("the store holds an older configuration than the one in force")
	errNoRevision  = errors.New("the revision is not in the history")
	errStopping    = errors.New("the entry instance is stopping")
)

// syncFromStore fetches the accepted configuration and checks that it is the
// one in force. done gets errStoreBehind if the store has an older one.
func (e *Entry) syncFromStore(done func(error)) {
	newest := configuration.Revision(e.members.NewestRevision())
	h := configuration.NewHistory(1)
	e.runProcedure(h, func() {
		if h.Err != nil {
			done(h.Err)
			return
		}
		var root configuration.Root
		if len(h.Roots) > 0 {
			root = h.Roots[0]
		}
		e.fetchConfiguration(root, func(err error) {
			if err == nil && (root.Revision < newest || e.configSync.replica.JudgeRoot(root) != configuration.JudgementSame) {
				err = errStoreBehind
			}
			done(err)
		})
	})
}

// planIntent plans the change that edit makes to the accepted intent.
func (e *Entry) planIntent(ev OperatorCommand, edit func(configuration.Intent) (configuration.Intent, error)) {
	e.syncFromStore(func(err error) {
		if err != nil {
			e.answerFailure(ev, err)
			return
		}
		to, err := edit(e.accepted.Intent)
		if err != nil {
			e.answerFailure(ev, err)
			return
		}
		plan, err := configuration.NewPlan(e.configSync.replica.Current(), to, e.outstandingOn)
		if err != nil {
			e.answerFailure(ev, configuration.Faults{{Path: "$", Text: err.Error()}})
			return
		}
		e.savePlan(ev, plan)
	})
}

// planReassertion plans to write the configuration in force over the older one
// of a store that was restored to an earlier state. Only an instance that has
// the newest revision may do so.
func (e *Entry) planReassertion(ev OperatorCommand) {
	cur := e.configSync.replica.Current()
	if cur.Root.Revision == 0 || int64(cur.Root.Revision) < e.members.NewestRevision() {
		e.answerFailure(ev, errors.New("this instance does not have the newest configuration yet"))
		return
	}
	e.savePlan(ev, configuration.NewReassertion(cur))
}

// savePlan stores a plan, so that any instance can confirm it, and answers with
// it. A plan without changes is answered but not stored.
func (e *Entry) savePlan(ev OperatorCommand, plan configuration.Plan) {
	if plan.Empty() {
		e.answerOperator(ev, CommandResult{Plan: &plan})
		return
	}
	s := configuration.NewSavePlan(&plan)
	e.runProcedure(s, func() {
		if s.Err != nil {
			e.answerFailure(ev, s.Err)
			return
		}
		e.answerOperator(ev, CommandResult{Plan: &plan})
	})
}

// outstandingOn returns this instance's attempts in flight on a target.
func (e *Entry) outstandingOn(name string) int {
	tg := e.targets.Get(name)
	if tg == nil {
		return 0
	}
	return tg.Outstanding
}

// planRollback plans the return to the intent of an earlier revision.
func (e *Entry) planRollback(ev OperatorCommand) {
	h := configuration.NewRevision(ev.Rollback)
	e.runProcedure(h, func() {
		switch {
		case h.Err != nil:
			e.answerFailure(ev, h.Err)
			return
		case len(h.Roots) == 0:
			e.answerFailure(ev, errNoRevision)
			return
		}
		f := configuration.NewFetch(e.configSync.replica.Current(), h.Roots[0])
		e.runProcedure(f, func() {
			if f.Err != nil {
				e.answerFailure(ev, f.Err)
				return
			}
			e.planIntent(ev, func(configuration.Intent) (configuration.Intent, error) { return f.Snapshot.Intent() })
		})
	})
}

// confirm makes a stored plan the accepted configuration.
func (e *Entry) confirm(ev OperatorCommand) {
	if ev.Confirm == e.accepted.PlanID {
		e.answerOperator(ev, CommandResult{Confirmation: &Confirmation{
			Verdict: configuration.VerdictAccepted, PlanID: ev.Confirm, Revision: e.accepted.Revision,
		}})
		return
	}
	l := configuration.NewLoadPlan(ev.Confirm)
	e.runProcedure(l, func() {
		switch {
		case errors.Is(l.Err, configuration.ErrNoPlan):
			e.confirmFromHistory(ev)
		case l.Err != nil:
			e.answerFailure(ev, l.Err)
		case e.accepted.Revision < l.Plan.Base:
			e.syncFromStore(func(err error) {
				if err != nil {
					e.answerFailure(ev, err)
					return
				}
				e.confirmPlan(ev, l.Plan)
			})
		default:
			e.confirmPlan(ev, l.Plan)
		}
	})
}

// confirmPlan writes the plan as the next revision if its base is in force,
// else checks whether it was accepted before.
func (e *Entry) confirmPlan(ev OperatorCommand, plan configuration.Plan) {
	cur := e.configSync.replica.Current()
	newest := configuration.Revision(e.members.NewestRevision())
	c := configuration.NewCheck(plan.ID, plan.Base, newest)
	if cur.Root.Revision == plan.Base && cur.Root.PlanID == plan.BasePlan {
		var err error
		if c, err = configuration.NewConfirm(&plan, cur, newest, ev.Operator, ev.At); err != nil {
			e.answerFailure(ev, err)
			return
		}
	}
	e.runProcedure(c, func() { e.answerConfirmation(ev, plan, c) })
}

// answerConfirmation answers a confirm and puts an accepted configuration in
// force.
func (e *Entry) answerConfirmation(ev OperatorCommand, plan configuration.Plan, c *configuration.Confirm) {
	out := Confirmation{Verdict: c.Verdict, PlanID: plan.ID}
	switch c.Verdict {
	case configuration.VerdictAccepted:
		out.Revision = plan.Base + 1
		e.logAccepted(ev, out.Revision)
		if next := c.Result(); next != nil {
			e.offerSnapshot(next, "confirm")
			e.runProcedure(configuration.NewPrune(out.Revision, configuration.MaxHistoryRevisions), func() {})
		}
	case configuration.VerdictNotAccepted:
		out.Other = &c.Other
	case configuration.VerdictUnavailable, configuration.VerdictUnknown, configuration.VerdictStoreBehind:
	}
	e.answerOperator(ev, CommandResult{Confirmation: &out})
}

// logAccepted logs who changed the configuration, for audits.
func (e *Entry) logAccepted(ev OperatorCommand, rev configuration.Revision) {
	e.emit(Log{Event: "configuration-accepted", Pairs: []string{
		"revision", strconv.FormatInt(int64(rev), 10), "plan", ev.Confirm, "operator", ev.Operator, "at", ev.At.UTC().Format(time.RFC3339),
	}})
}

// confirmFromHistory answers the confirm of a plan that is no longer stored: it
// is accepted if the history lists it.
func (e *Entry) confirmFromHistory(ev OperatorCommand) {
	h := configuration.NewHistory(historyLimit)
	e.runProcedure(h, func() {
		if h.Err != nil {
			e.answerFailure(ev, h.Err)
			return
		}
		for _, root := range h.Roots {
			if root.PlanID == ev.Confirm {
				e.answerOperator(ev, CommandResult{Confirmation: &Confirmation{
					Verdict: configuration.VerdictAccepted, PlanID: root.PlanID, Revision: root.Revision,
				}})
				return
			}
		}
		e.answerFailure(ev, fmt.Errorf("confirm %s: %w", ev.Confirm, configuration.ErrNoPlan))
	})
}
