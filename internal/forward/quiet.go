package forward

import (
	"errors"
	"fmt"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// OrderRefusedError reports that a target refused an order.
type OrderRefusedError struct {
	Op, Target string
	Status     int
	Quiet      fleet.QuietRequest
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

// reportRefusedOrder is reportQuiet for the error of an order, nil for none.
func (n *Node) reportRefusedOrder(target fleet.Target, err error) {
	var refused *OrderRefusedError
	if errors.As(err, &refused) {
		n.reportQuiet(target, 0, refused.Quiet)
	}
}
