package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	standin "github.com/medlardeck/medlardeck/internal/standin/platform"
)

func TestRejectedConfirmationShowsTheAcceptedChange(t *testing.T) {
	c := newSettledCluster(t, 4, "a", "b")
	mine := c.runOperation(t, "entry-000", limitEdit(100))
	other := limitEdit(200)
	other.Operator = "blas"
	theirs := c.runOperation(t, "entry-001", other)
	must.NotEq(t, mine.Plan.ID, theirs.Plan.ID)
	won := c.runOperation(t, "entry-001", OperatorCommand{Confirm: theirs.Plan.ID, Operator: "blas"})
	must.Eq(t, configuration.VerdictAccepted, won.Confirmation.Verdict)
	for _, name := range []string{"entry-000", "entry-002"} {
		lost := c.runOperation(t, name, OperatorCommand{Confirm: mine.Plan.ID}).Confirmation
		must.Eq(t, configuration.VerdictNotAccepted, lost.Verdict)
		must.Eq(t, "blas", lost.Other.Operator)
		must.StrContains(t, lost.Other.Summary, "200")
	}
	again := c.runOperation(t, "entry-003", OperatorCommand{Confirm: theirs.Plan.ID}).Confirmation
	must.Eq(t, configuration.VerdictAccepted, again.Verdict)
}

func TestRootSwapWithLostReplyIsReadBack(t *testing.T) {
	c := newSettledCluster(t, 4, "a")
	plan := c.runOperation(t, "entry-000", limitEdit(100)).Plan
	c.store.SetFaults(standin.Faults{LostAnswers: 1, Prefix: configuration.KeyRoot})
	got := c.runOperation(t, "entry-000", OperatorCommand{Confirm: plan.ID}).Confirmation
	must.Eq(t, configuration.VerdictAccepted, got.Verdict)
	must.Eq(t, 2, got.Revision)
}

// A confirmation that can't reach the store must be reported as not carried out,
// or as unknown if the root may have been written. Neither may be guessed.
func TestConfirmationWithoutStoreIsUnavailableOrUnknown(t *testing.T) {
	c := newSettledCluster(t, 4, "a")
	plan := c.runOperation(t, "entry-000", limitEdit(100)).Plan
	c.store.SetFaults(standin.Faults{Outage: true, Prefix: configuration.KeyRoot})
	must.Eq(t, configuration.VerdictUnavailable, c.runOperation(t, "entry-000", OperatorCommand{Confirm: plan.ID}).Confirmation.Verdict)
	c.store.SetFaults(standin.Faults{LostAnswers: 1, Prefix: configuration.KeyRoot})
	answer := c.startOperation("entry-001", OperatorCommand{Confirm: plan.ID})
	for c.storedRevision(t) == 1 {
		c.advance(time.Millisecond)
	}
	c.store.SetFaults(standin.Faults{Outage: true}) // the root was written, but the reply is lost and can't be read back
	c.advance(30 * time.Second)
	must.Eq(t, configuration.VerdictUnknown, answer().Confirmation.Verdict)
	must.Eq(t, CommandFailureUnavailable, c.runOperation(t, "entry-000", limitEdit(300)).Failure)
	c.store.SetFaults(standin.Faults{})
	must.Eq(t, configuration.VerdictAccepted, c.runOperation(t, "entry-000", OperatorCommand{Confirm: plan.ID}).Confirmation.Verdict)
	c.awaitRevision(t, 2, maxPropagationTime)
}

func TestRollbackIsAcceptedAsANewRevision(t *testing.T) {
	c := newSettledCluster(t, 4, "a")
	c.acceptChange(t, "entry-000", limitEdit(100))
	c.acceptChange(t, "entry-000", OperatorCommand{Edit: &configuration.Edit{Drain: []string{"e0", "entry-003"}}})
	rev := c.acceptChange(t, "entry-001", OperatorCommand{Rollback: 1})
	must.Eq(t, 4, rev)
	c.awaitRevision(t, 4, maxPropagationTime)
	intent := c.entries["entry-002"].accepted.Intent
	must.Eq(t, 0, intent.Workspaces[0].TokensPerSecond)
	must.Len(t, 0, intent.Drains.Targets)
	roots := c.runOperation(t, "entry-003", OperatorCommand{History: 10}).History
	must.Len(t, 4, roots)
	must.Eq(t, "ana", roots[1].Operator)
	must.Eq(t, CommandFailureNoRevision, c.runOperation(t, "entry-000", OperatorCommand{Rollback: 99}).Failure)
}

func TestInvalidOperationsAreRefused(t *testing.T) {
	c := newSettledCluster(t, 2, "a")
	unknown := c.runOperation(t, "entry-000", OperatorCommand{Edit: &configuration.Edit{Drain: []string{"nobody"}, Undrain: []string{"e1"}}})
	must.Eq(t, CommandFailureInvalid, unknown.Failure)
	must.Len(t, 2, unknown.Faults)
	must.Eq(t, CommandFailureNoPlan, c.runOperation(t, "entry-000", OperatorCommand{Confirm: "feedfeedfeedfeed"}).Failure)
}
