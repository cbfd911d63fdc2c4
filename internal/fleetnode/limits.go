package fleetnode

import (
	"net/http"
	"time"

	"github.com/medlardeck/medlardeck/internal/drainconn"
	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/result"
)

// Limits of callers where the configuration sets none, and of other listeners.
const (
	headerTimeout         = 10 * time.Second
	idleTimeout           = 120 * time.Second
	defaultMaxHeaderBytes = 64 << 10
)

const (
	// maxHeaderBytes bounds the configured limit of a head.
	maxHeaderBytes = 1 << 20
	// relayHeadBytes is by how much the head of a relayed request may be longer than its
	// caller's.
	relayHeadBytes = 4 << 10
)

// newLimitSource returns the limits before the first configuration. A lower limit is in
// force within maxConfigDelay: the configuration takes two thirds of it at most, see
// watchesPerConfigDelay, and callers may rely on the former limit for the rest.
func newLimitSource(maxConfigDelay time.Duration) *drainconn.LimitSource {
	return drainconn.NewLimitSource(callerLimits(fleet.Limits{}), maxConfigDelay/watchesPerConfigDelay)
}

// callerLimits returns the limits of a configuration, with defaults for those that it does
// not set.
func callerLimits(l fleet.Limits) drainconn.Limits {
	limits := drainconn.Limits{HeadBytes: defaultMaxHeaderBytes, HeadTime: headerTimeout, IdleTime: idleTimeout}
	if l.MaxHeaderBytes > 0 {
		limits.HeadBytes = min(l.MaxHeaderBytes, maxHeaderBytes)
	}
	if l.HeaderTimeout > 0 {
		limits.HeadTime = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		limits.IdleTime = l.IdleTimeout
	}
	return limits
}

// refuseHead records that the head of a request is refused, and returns headers of the
// answer.
func (i *Instance) refuseHead(r drainconn.Rejection) http.Header {
	code := result.Stopping
	switch r {
	case drainconn.ConnectionsFull:
		code = result.ConnectionsFull
	case drainconn.MemoryExhausted:
		code = result.MemoryExhausted
	case drainconn.HeadTooLarge:
		code = result.HeadersTooLarge
	case drainconn.HeadTooSlow:
		code = result.HeaderTimeout
	}
	return i.node.RefuseHead(r.Status(), code)
}

func (i *Instance) countIdleTimeout() { i.metrics.Add("connections_closed", "idle-timeout") }

func (i *Instance) countYield() { i.metrics.Add("connections_closed", "connections-full") }

func (i *Instance) countRefusedConn() { i.metrics.Add("connections_closed", "refused") }
