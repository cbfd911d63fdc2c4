package node

import (
	"context"
	"fmt"

	"github.com/medlardeck/medlardeck/internal/entry"
)

// Operate runs an operator's command, to which it assigns an id, and returns the
// answer. If ctx is done first, Operate returns its error, but the command may
// still be carried out.
func (n *Node) Operate(ctx context.Context, ev entry.OperatorCommand) (entry.CommandResult, error) {
	answered := make(chan entry.CommandResult, 1)
	n.mu.Lock()
	n.lastOperationID++
	ev.ID = n.lastOperationID
	n.pendingOperations[ev.ID] = answered
	n.stepLocked(ev)
	n.mu.Unlock()
	select {
	case answer := <-answered:
		return answer, nil
	case <-ctx.Done():
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.pendingOperations, ev.ID)
		return entry.CommandResult{}, fmt.Errorf("operate: %w", ctx.Err())
	}
}

// Ready reports whether the node accepts new work: it has a configuration, and
// no stop has begun.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entry.Ready()
}

// answerOperation passes an answer to the Operate call that waits for it, if any.
// n.mu is held.
func (n *Node) answerOperation(eff entry.CommandResult) {
	if answered := n.pendingOperations[eff.ID]; answered != nil {
		answered <- eff
		delete(n.pendingOperations, eff.ID)
	}
}
