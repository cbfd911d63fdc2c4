package forward

import (
	"fmt"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// OrderRefusedError reports that a target refused an order.
type OrderRefusedError struct {
	Op, Target string
	Status     int
}

// Error implements error.
func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("%s at target %q: status %d", e.Op, e.Target, e.Status)
}

// reportQuiet tells the decision core what an answer says of a target's quiet time.
func (n *Node) reportQuiet(target fleet.Target, attempt fleet.AttemptID, quiet fleet.QuietRequest) {
	if quiet != (fleet.QuietRequest{}) {
		n.Step(fleet.QuietRequested{Target: target, Attempt: attempt, Quiet: quiet})
	}
}

// reportOrderAnswer tells the decision core what the answer to an order says of its target.
func (n *Node) reportOrderAnswer(target fleet.Target, answer OrderAnswer) {
	n.stepLeaving(target, answer.Leaving)
	n.stepCold(target, answer.Cold)
	n.reportQuiet(target, 0, answer.Quiet)
}
