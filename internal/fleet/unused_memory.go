package fleet

import "time"

// Limits of attempts whose reserved memory nobody uses.
const (
	// unusedMemoryShare is the share of Options.MaxIdleReservation after which the reserved
	// memory of an attempt without any event is given back: the release takes a call.
	unusedMemoryShare = 0.8
	// unusedMemoryFactor is the multiple of the predicted time to the first event after which
	// the target is taken to have never begun: a slow prefill uses the memory.
	unusedMemoryFactor = 3
)

// leavesMemoryUnused reports whether the target of the current attempt seems not to use the
// memory that is reserved at helpers: it hangs, although it may answer other requests.
func (c *Core) leavesMemoryUnused(a *activeRequest) bool {
	limit := time.Duration(unusedMemoryShare * float64(c.opts.MaxIdleReservation))
	elapsed := c.now - a.sentAt
	return limit > 0 && a.reservation != nil && a.reservation.granted && !a.attemptDeliveredEvent &&
		elapsed >= limit && elapsed >= unusedMemoryFactor*a.predictedFirstEvent
}

// abandonUnusedMemory ends an attempt that leavesMemoryUnused, releases its reservations and
// makes another attempt if that is allowed.
func (c *Core) abandonUnusedMemory(a *activeRequest) {
	c.log("reservation-unused", "request", a.arrival.ID, "target", a.target.ID, "silent_ms", int(toMS(c.now-a.sentAt)),
		"predicted_ms", int(toMS(a.predictedFirstEvent)))
	c.incrementCounter("reservations", "unused")
	c.emit(Cancel{Attempt: a.attempt})
	c.recordTargetFailure(a, false)
	c.removeAttemptLoads(a)
	a.attemptsRun++
	c.retryOrFail(a, "unused-memory")
}
