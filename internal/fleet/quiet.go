package fleet

import (
	"math"
	"slices"
	"time"
)

// Times in which a target wants no requests from this instance.
const (
	// maxQuietPeriod bounds the time that one answer asks for.
	maxQuietPeriod = time.Hour
	// quietRampSlotShare is the rate of requests from all instances together with which
	// the target's use begins again, in requests a second for each of its slots.
	quietRampSlotShare = 0.25
	// maxQuietRampUse is the share of the target's slots up to which requests are sent
	// during the ramp: several instances may see the same free slot.
	maxQuietRampUse = 0.75
	// maxQuietWait is how long a request waits for a target that gets requests again
	// soon: a refused caller would not come back earlier.
	maxQuietWait = minRetryAfter
	// quietReturnSpread is the span over which refused callers come back.
	quietReturnSpread = time.Second
	// minLoggedQuietExtension is the least change of the end of the time that is logged.
	minLoggedQuietExtension = 500 * time.Millisecond
	// unreadableQuietLogInterval is the time between two log lines about unreadable
	// answers of a target.
	unreadableQuietLogInterval = time.Minute
)

// QuietRequest is what a target's answer says of a time in which the target wants nothing
// from this instance.
type QuietRequest struct {
	// Period is the length of that time from the answer on; zero for none.
	Period time.Duration
	// Unreadable is the beginning of a text that states no length, empty for none.
	Unreadable string
}

// QuietRequested reports, as soon as the head of an answer is read, that it has a
// QuietRequest.
type QuietRequested struct {
	Target Target
	// Attempt is the attempt that was answered, zero for an order to the target.
	Attempt AttemptID
	Quiet   QuietRequest
}

func (QuietRequested) fleetEvent() {}

// targetQuiet is a time in which an incarnation of a target gets nothing from this
// instance, and the ramp after it.
type targetQuiet struct {
	target      Target
	begunAt     time.Duration
	until       time.Duration
	loggedUntil time.Duration
	answers     int // that asked for it
	// ramp limits the requests after the end of the time, like the limit that a target
	// names after that has ended.
	ramp *targetLimit
}

// handleQuietRequested begins or extends a target's quiet time. Several answers bind
// together: the time ends when the last of them allows it.
func (c *Core) handleQuietRequested(ev QuietRequested) {
	c.recordUnreadableQuiet(ev)
	if ev.Quiet.Period <= 0 {
		return
	}
	request := ""
	if a := c.attempts[ev.Attempt]; a != nil {
		a.quietAttempt = ev.Attempt
		request = a.arrival.ID
	}
	until := c.now + min(ev.Quiet.Period, maxQuietPeriod)
	q := c.quiets[ev.Target.incarnation()]
	begins := q == nil || c.now >= q.until
	switch {
	case q == nil:
		q = c.newQuiet(ev.Target)
	case begins: // the ramp was too steep
		q.ramp.perSecond = max(minLimit, q.ramp.perSecond/2)
	}
	q.answers++
	c.extendQuiet(q, until)
	if begins {
		q.begunAt = c.now
		c.incrementCounter("target_quiet", "begun")
		c.afterFunc(until-c.now, func() { c.endQuiet(q) })
	} else {
		c.incrementCounter("target_quiet", "repeated")
	}
	if begins || q.until >= q.loggedUntil+minLoggedQuietExtension {
		q.loggedUntil = q.until
		c.log("target-quiet", "target", ev.Target.ID, "request", request, "asked_ms", int(toMS(ev.Quiet.Period)),
			"for_ms", int(toMS(q.until-c.now)), "extends", !begins)
	}
}

// newQuiet adds a target to those that want quiet.
func (c *Core) newQuiet(t Target) *targetQuiet {
	q := &targetQuiet{target: t, ramp: &targetLimit{
		perSecond: max(1, quietRampSlotShare*float64(t.Slots)), ended: true, dividedAt: -shareInterval,
	}}
	c.quiets[t.incarnation()] = q
	if target := c.targets[t.ID]; target != nil && target.incarnation() == t.incarnation() {
		target.quiet = q
	}
	return q
}

// extendQuiet moves the end of the time, and with it the begin of the ramp. The bucket
// begins with a random debt: instances that are asked for the same end would otherwise
// send at the same instants.
func (c *Core) extendQuiet(q *targetQuiet, until time.Duration) {
	q.until = max(q.until, until)
	q.ramp.endedAt, q.ramp.refilledAt, q.ramp.tokens = q.until, q.until, -c.rng.Float64()
}

// endQuiet begins the ramp at the end of the time.
func (c *Core) endQuiet(q *targetQuiet) {
	if c.now < q.until {
		c.afterFunc(q.until-c.now, func() { c.endQuiet(q) })
		return
	}
	c.log("target-quiet-ended", "target", q.target.ID, "after_ms", int(toMS(c.now-q.begunAt)), "answers", q.answers)
	c.incrementCounter("target_quiet", "ended")
	q.answers = 0
	until := q.until
	c.afterFunc(until+limitRampTime-c.now, func() {
		if q.until != until {
			return
		}
		delete(c.quiets, q.target.incarnation())
		if target := c.targets[q.target.ID]; target != nil && target.quiet == q {
			target.quiet = nil
		}
	})
}

// recordUnreadableQuiet counts answers whose quiet time can't be read, and logs some of
// them.
func (c *Core) recordUnreadableQuiet(ev QuietRequested) {
	if ev.Quiet.Unreadable == "" {
		return
	}
	c.incrementCounter("target_quiet", "unreadable")
	target := c.targets[ev.Target.ID]
	if target == nil || c.now < target.nextUnreadableQuietLog {
		return
	}
	target.nextUnreadableQuietLog = c.now + unreadableQuietLogInterval
	c.log("target-quiet-unreadable", "target", target.ID, "value", ev.Quiet.Unreadable)
}

// wantsQuiet reports whether a target wants nothing from this instance now.
func (c *Core) wantsQuiet(target *targetState) bool {
	return target.quiet != nil && c.now < target.quiet.until
}

// quietAllows reports whether a request may be sent to a target now: it does not want
// quiet, and the ramp after that leaves a token and a slot.
func (c *Core) quietAllows(target *targetState) bool {
	switch {
	case target.quiet == nil:
		return true
	case c.wantsQuiet(target):
		return false
	}
	c.refillTokens(target, target.quiet.ramp)
	return target.quiet.ramp.tokens >= 1 && float64(len(target.loads)) < max(1, maxQuietRampUse*float64(target.Slots))
}

// nextQuietEnd returns the time until the first of a service's targets that want quiet, or
// are cold without a share left, gets a request again. ok is false if there is none, all says
// whether there are no others.
func (c *Core) nextQuietEnd(service string) (opensIn time.Duration, all, ok bool) {
	if len(c.quiets)+len(c.colds) == 0 {
		return 0, false, false
	}
	opensIn, all = math.MaxInt64, true
	for _, target := range c.listedTargets(service) {
		wait := c.untilColdSend(target)
		if target.quiet == nil && wait == 0 {
			all = false
			continue
		}
		ok = true
		if target.quiet != nil {
			c.divideLimit(target, target.quiet.ramp)
			from := max(c.now, target.quiet.until)
			wait = max(wait, from-c.now+target.quiet.ramp.untilToken(from))
		}
		opensIn = min(opensIn, wait)
	}
	return opensIn, all, ok
}

// canWaitForQuiet reports whether a request without any target should wait for the first
// one that gets requests again. A stream under way may wait as long as its caller does.
func (c *Core) canWaitForQuiet(a *activeRequest) bool {
	opensIn, _, ok := c.nextQuietEnd(a.service)
	if !ok || len(c.candidateTargets(a)) > 0 {
		return false
	}
	if !a.anyEventDelivered {
		return c.now+opensIn <= min(a.arrivedAt+maxQuietWait, a.firstEventDeadline())
	}
	neededTime := time.Duration(0)
	if e := c.engineOf(a); e != nil {
		neededTime = fromMS(e.prefillMS(a.arrival.PromptTokens, 1))
	}
	return c.now+opensIn+neededTime < a.callerLeavesAt()
}

// retryAfterQuiet returns the Retry-After of a refused request. If all targets of its
// service want quiet, or are cold, it is the time until the first of them gets requests again, with a
// random part so that the callers do not all come back at once; otherwise that of another
// reason. Other instances may be wanted, so callers are not kept away longer than
// maxRetryAfter.
func (c *Core) retryAfterQuiet(a *activeRequest, otherwise time.Duration) time.Duration {
	opensIn, all, ok := c.nextQuietEnd(a.service)
	if !ok || !all {
		return otherwise
	}
	if c.anyColdWithheld(a.service) {
		opensIn = min(opensIn, coldWindow) // other instances have shares
		c.incrementCounter("cold_withheld", "all-targets")
	}
	c.log("all-targets-quiet", "request", a.arrival.ID, "service", a.service, "next_in_ms", int(toMS(opensIn)))
	earliest := min(max(opensIn, minRetryAfter), maxRetryAfter-quietReturnSpread)
	return earliest + time.Duration(c.rng.Int64N(int64(quietReturnSpread)))
}

// anyWantsQuiet reports whether a target of a placement wants quiet.
func (c *Core) anyWantsQuiet(p *placement) bool {
	return c.wantsQuiet(p.primary) || slices.ContainsFunc(p.helpers, c.wantsQuiet)
}
