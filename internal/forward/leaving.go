package forward

import (
	"net/http"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// reportLeaving passes on what the head of an answer says of its target's leaving. The
// connections of a target that leaves are not used again.
func (n *Node) reportLeaving(c *conn, resp *http.Response, metadata ResponseMetadata) {
	if c.target.ID == "" || isFromAnotherTarget(c, resp, metadata) {
		return
	}
	n.stepLeaving(c.target, metadata.Leaving)
	n.stepCold(c.target, metadata.Cold)
	if metadata.Leaving.Statement == fleet.LeavingSaid {
		resp.Close = true
		n.pool.drop(c.targetKey)
	}
}

// isFromAnotherTarget reports whether the address of a connection's target belongs to
// another one now, and not that of a helper that the target was sent to.
func isFromAnotherTarget(c *conn, resp *http.Response, metadata ResponseMetadata) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest && metadata.TargetID != c.target.ID && (metadata.FailedAddress == "" || metadata.FailedAddress == c.target.Address)
}

// stepLeaving passes what an answer says of its target's leaving to the decision core.
func (n *Node) stepLeaving(target fleet.Target, leaving fleet.Leaving) {
	if leaving.Statement != fleet.LeavingUnsaid {
		n.Step(fleet.LeavingStated{Target: target, Leaving: leaving})
	}
}

// startAttempt reports whether an attempt may be written now. The decision core takes it
// for one that may have run from then on.
func (n *Node) startAttempt(send fleet.Send) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.attempts[send.Attempt] == nil || !n.core.MayStart(send) {
		return false
	}
	n.stepLocked(fleet.AttemptStarted{Attempt: send.Attempt})
	return true
}

// mayStart reports whether an attempt of which nothing has been sent yet may still start.
func (n *Node) mayStart(send fleet.Send) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.MayStart(send)
}
