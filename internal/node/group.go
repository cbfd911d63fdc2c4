package node

import (
	"context"
	"time"

	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/entry"
)

// perMille is the scale of GroupCall.From and To, which bound a segment of the
// request body.
const perMille = 1000

// callGroupMember calls one engine of a group that runs a prompt together, in a
// goroutine, and feeds the result back as a GroupReply. A prefill sends a segment
// of the request body, can be cancelled as an attempt and has the deadline of the
// call; other operations have engineclient.GroupCallTimeout. n.mu is held.
func (n *Node) callGroupMember(eff entry.GroupCall) {
	var segment engineclient.Body
	timeout := engineclient.GroupCallTimeout
	x := n.exchanges[eff.Request]
	prefill := eff.Op == entry.GroupPrefill && x != nil
	if prefill {
		timeout = time.Until(n.startTime.Add(n.wallDuration(eff.Deadline)))
		size := x.upstream.Body.Len()
		segment = x.upstream.Body.Slice(size*int64(eff.From)/perMille, size*int64(eff.To)/perMille)
	}
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	if prefill {
		n.attempts[eff.Attempt] = attemptInFlight{x.answer, cancel}
	}
	n.spawn(func() {
		status := n.opts.Client.Group(ctx, eff, n.globalAttemptID(eff.Attempt), segment)
		cancel()
		n.mu.Lock()
		defer n.mu.Unlock()
		if prefill {
			delete(n.attempts, eff.Attempt)
		}
		n.stepLocked(entry.GroupReply{ID: eff.ID, Status: status})
	})
}
