package forward

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// ColdStatement is what an answer says of how long its target stays cold.
type ColdStatement struct {
	// Stated says that the answer says something of it.
	Stated bool
	// Left is that time, zero for a warm target.
	Left time.Duration
}

// stepCold passes what an answer says of its target's cold time to the decision core.
func (n *Node) stepCold(target fleet.Target, cold ColdStatement) {
	if cold.Stated {
		n.Step(fleet.ColdStated{Target: target, Left: cold.Left})
	}
}

// ColdTargets returns the number of targets that are cold.
func (n *Node) ColdTargets() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.ColdTargets()
}
