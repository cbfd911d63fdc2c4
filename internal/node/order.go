package node

import (
	"context"

	"github.com/medlardeck/medlardeck/internal/entry"
)

// sendOrder reads or sets the models of a target in a goroutine and feeds the
// result back as an OrderReply. n.mu is held.
func (n *Node) sendOrder(eff entry.OrderCall) {
	n.spawn(func() {
		ctx, cancel := context.WithDeadline(n.ctx, n.startTime.Add(n.wallDuration(eff.Deadline)))
		defer cancel()
		status, state := n.opts.Client.Order(ctx, eff, n.opts.OrderToken)
		n.Step(entry.OrderReply{ID: eff.ID, Status: status, State: state})
	})
}
