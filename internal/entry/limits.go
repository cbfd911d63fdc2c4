package entry

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/workspace"
)

// takeFromLimit takes the predicted cost of a request from the limit of its
// workspace. If ok is false, the request would fit after wait.
func (e *Entry) takeFromLimit(a *activeRequest) (wait time.Duration, ok bool) {
	ws := a.workspace
	if ws.TokensPerSecond <= 0 {
		return 0, true
	}
	limit := workspace.Limit{TokensPerSecond: ws.TokensPerSecond, BurstTokens: ws.BurstTokens}
	return e.workspaceLimits.Take(e.now, ws.Name, limit, e.predictCost(a))
}

// publishUsage returns the demand seen here, for the heartbeats to neighbours,
// and sends it to all other instances. With more than maxDirectPeers instances
// it is sent to none, and each instance keeps an equal share of the limit.
func (e *Entry) publishUsage() *Usage {
	all := e.members.All()
	e.workspaceLimits.SetInstanceCount(len(all))
	usage := &Usage{Instance: e.opts.Name, Demands: e.workspaceLimits.PublishDemand(e.now)}
	if len(all) > maxDirectPeers {
		return nil
	}
	neighbours := e.members.Neighbours()
	for _, f := range all {
		if !slices.ContainsFunc(neighbours, func(n membership.Fact) bool { return n.Name == f.Name }) {
			e.sendPeer(f.Name, Message{Usage: usage})
		}
	}
	return usage
}
