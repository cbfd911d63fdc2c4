package fleet

import (
	"time"
)

// CostReport states what its sender has learned about the cost of one kind of request.
type CostReport struct {
	_ struct{} `cbor:",toarray"`
	// Service is the service that runs the requests.
	Service string
}

// firstEventForecast is the predicted time from sending a placement to its first event, zero
// for services without engines.
func (c *Core) firstEventForecast(a *activeRequest, p placement) time.Duration {
	if c.engineOf(a) == nil || !c.usesPredictions() {
		return 0
	}
	return fromMS(p.firstEventMS)
}
