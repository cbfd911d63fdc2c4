package fleet

import "time"

// Pauses of this instance itself: it may be short of processor time, collect garbage, or be
// frozen. What has arrived meanwhile is read after the timers that became due.
const (
	// pulseInterval is the longest time between two timers while attempts run, so that a pause
	// shows as a late timer.
	pulseInterval = 50 * time.Millisecond
	// maxTimerDelay is the delay of a timer up to which nothing is waiting to be read.
	maxTimerDelay = 30 * time.Millisecond
	// minSettleTime and maxSettleTime bound the time after a pause in which what has arrived is
	// read: as long as the pause itself.
	minSettleTime = 50 * time.Millisecond
	maxSettleTime = 200 * time.Millisecond
)

// recordHoldUp notes whether this instance was held up: a timer is late. It is called before
// the timers run.
func (c *Core) recordHoldUp() {
	dueAt, ok := c.timers.Next()
	if delay := c.now - dueAt; ok && delay > maxTimerDelay {
		c.settledAt = c.now + min(maxSettleTime, max(minSettleTime, delay))
	}
}

// startPulse sets timers at short intervals while attempts run.
func (c *Core) startPulse() {
	if c.hasPulse {
		return
	}
	c.hasPulse = true
	c.afterFunc(pulseInterval, func() {
		c.hasPulse = false
		if len(c.attempts) > 0 {
			c.startPulse()
		}
	})
}

// settleWait is the time for which a silent attempt is not judged, since this instance was
// held up and may not have read what has arrived. One that is held up all the time judges
// an attempt maxSettleTime late.
func (c *Core) settleWait(a *activeRequest) time.Duration {
	if c.now >= c.settledAt {
		return 0
	}
	if a.judgedAt == 0 {
		a.judgedAt = c.now + maxSettleTime
	}
	return max(0, min(c.settledAt, a.judgedAt)-c.now)
}
