package entry

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/workspace"
)

// withinLimit takes a request's predicted cost from its workspace's limit. When
// ok is false, wait is the time after which it would fit.
func (e *Entry) withinLimit(a *activeRequest) (wait time.Duration, ok bool) {
	ws := a.workspace
	if ws.TokensPerSecond <= 0 {
		return 0, true
	}
	limit := workspace.Limit{TokensPerSecond: ws.TokensPerSecond, BurstTokens: ws.BurstTokens}
	return e.limits.Take(e.now, ws.Name, limit, e.predictCost(a))
}

// publishUsage returns the demand seen here, for the heartbeats to neighbours,
// and tells it to all other instances. Beyond maxDirect instances none is told,
// and each keeps its equal share.
func (e *Entry) publishUsage() *Usage {
	all := e.members.All()
	e.limits.Known(len(all))
	usage := &Usage{Instance: e.opts.Name, Demands: e.limits.Publish(e.now)}
	if len(all) > maxDirect {
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
