package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Division of a target's limit between the instances.
const (
	// minLimit is the least limit that is kept to, in requests a second: without any
	// requests nobody would notice the end of a limit.
	minLimit = 0.1
	// spareSharers is the number of instances that share a limit of less than one
	// request a second. Others share it by one for each request a second.
	spareSharers = 3
	// limitBurst is the part of an instance's share that may be used at once, in
	// seconds; it is one request at least.
	limitBurst = 0.25
	// shareInterval is the time between two divisions of a limit.
	shareInterval = 200 * time.Millisecond
	// limitRampTime is the time after the end of a limit, or of a quiet time, in which the
	// requests to the target double each second, up to its full use.
	limitRampTime = 5 * time.Second
)

// LimitReport tells peers of a target's limit.
type LimitReport struct {
	_         struct{} `cbor:",toarray"`
	Target    string
	StartedMS int64
	PerSecond float64
	// Ended says that the target names no limit any more; PerSecond is the last one.
	Ended bool
	// Age is the time since the target's last statement.
	Age time.Duration
}

// targetLimit is the limit that a target has named for all instances together. This
// instance keeps to its share by a token bucket.
type targetLimit struct {
	perSecond float64
	statedAt  time.Duration // of the target's last statement, to any instance
	ended     bool          // the target names no limit any more
	endedAt   time.Duration

	tokens     float64
	refilledAt time.Duration
	sharers    int // instances that share the limit, zero if this one does not
	dividedAt  time.Duration
}

// rate is the limit in requests a second at a time, for all instances together.
func (l *targetLimit) rate(now time.Duration) float64 {
	rate := max(minLimit, l.perSecond)
	if l.ended {
		rate *= math.Exp2(min(now-l.endedAt, limitRampTime).Seconds())
	}
	return rate
}

// untilToken is the time from now until this instance's bucket holds a token, if nothing
// is sent meanwhile. After the end of a limit it is at most limitRampTime.
func (l *targetLimit) untilToken(now time.Duration) time.Duration {
	rampLeft := max(0, l.endedAt+limitRampTime-now)
	if l.sharers == 0 {
		return rampLeft
	}
	share := l.rate(now) / float64(l.sharers)
	missing := max(0, 1-l.tokens)
	seconds := math.Log2(1 + missing*math.Ln2/share) // the share doubles each second
	return min(rampLeft, time.Duration(seconds*float64(time.Second)))
}

// recordLimit records what the answer to the current attempt says of its target's
// limit. A limit ends by an answer to a request that was sent after the last answer
// that named it.
func (c *Core) recordLimit(a *activeRequest, limit Limit) {
	known := a.target.limit
	report := LimitReport{Target: a.target.ID, StartedMS: a.target.StartedMS, PerSecond: limit.PerSecond}
	switch {
	case limit.Statement == LimitNamed:
	case limit.Statement == LimitNone && known != nil && !known.ended && a.sentAt > known.statedAt:
		report.PerSecond, report.Ended = known.perSecond, true
	default:
		return
	}
	if c.applyLimit(report) {
		news := c.pendingNews()
		news.Limits = append(news.Limits, report)
	}
}

// applyLimit applies a statement about a limit if it is newer than what is known, and
// reports whether it says something new. An instance that hears of a limit begins
// without tokens.
func (c *Core) applyLimit(report LimitReport) bool {
	target := c.targets[report.Target]
	statedAt := c.now - report.Age
	if target == nil || target.StartedMS != report.StartedMS || target.limit != nil && statedAt < target.limit.statedAt ||
		target.limit == nil && report.Ended {
		return false
	}
	if target.limit == nil {
		target.limit = &targetLimit{refilledAt: c.now, dividedAt: -shareInterval}
	}
	l := target.limit
	l.statedAt = statedAt
	if l.perSecond == report.PerSecond && l.ended == report.Ended {
		return false
	}
	c.refillTokens(target, l)
	c.log("target-limit", "target", target.ID, "per_second", report.PerSecond, "former", l.perSecond, "ended", report.Ended)
	c.incrementCounter("target_limits", target.Service)
	l.perSecond, l.ended, l.endedAt, l.dividedAt = report.PerSecond, report.Ended, statedAt, -shareInterval
	return true
}

// limitReports states all limits, for a full message.
func (c *Core) limitReports() []LimitReport {
	var reports []LimitReport
	for _, target := range c.targets {
		if l := target.limit; l != nil && !target.gone {
			reports = append(reports, LimitReport{
				Target: target.ID, StartedMS: target.StartedMS, PerSecond: l.perSecond, Ended: l.ended, Age: c.now - l.statedAt,
			})
		}
	}
	return reports
}

// limitAllows reports whether a target's limit lets this instance send it a request now.
func (c *Core) limitAllows(target *targetState) bool {
	if target.limit != nil && target.limit.ended && c.now-target.limit.endedAt >= limitRampTime {
		target.limit = nil
	}
	if target.limit == nil {
		return true
	}
	c.refillTokens(target, target.limit)
	return target.limit.tokens >= 1
}

// takeLimitToken counts a request that is sent to a target.
func (c *Core) takeLimitToken(target *targetState) {
	if target.limit != nil {
		target.limit.tokens--
	}
	if target.quiet != nil {
		target.quiet.ramp.tokens--
	}
}

// divideLimit determines this instance's share of a limit of a target from time to time.
func (c *Core) divideLimit(target *targetState, l *targetLimit) {
	if c.now-l.dividedAt >= shareInterval {
		l.sharers, l.dividedAt = c.limitSharers(target, l), c.now
	}
}

// refillTokens adds the tokens of this instance's share of a limit since the last call.
func (c *Core) refillTokens(target *targetState, l *targetLimit) {
	c.divideLimit(target, l)
	elapsed := c.now - l.refilledAt
	l.refilledAt = c.now
	if l.sharers == 0 {
		l.tokens = min(l.tokens, 0)
		return
	}
	share := l.rate(c.now) / float64(l.sharers)
	l.tokens = min(l.tokens+share*elapsed.Seconds(), max(1, limitBurst*share))
}

// limitSharers returns the number of instances that share a target's limit, or zero if
// this one is not among them. A small limit is shared by few: if hundreds of instances
// saved up for one request each, they could send them all at once. All instances that
// hear of each other agree on the sharers, which are among those that know the loads
// at the target.
func (c *Core) limitSharers(target *targetState, l *targetLimit) int {
	maxSharers := int(min(l.rate(max(c.now, l.endedAt)), 1<<20)) + spareSharers
	sharers, ahead, included := c.rankForTarget(target, func(domain string) bool { return c.followsLoads(domain, target) })
	if sharers == 0 { // none of the domains that know the loads has an instance left
		sharers, ahead, included = c.rankForTarget(target, func(string) bool { return true })
	}
	if !included || ahead >= maxSharers {
		return 0
	}
	return min(sharers, maxSharers)
}

// rankForTarget counts the instances in touch in the eligible groups of peers, and those
// among them that come before this one in the target's order of instances. included
// says whether this one is counted.
func (c *Core) rankForTarget(target *targetState, eligible func(domain string) bool) (count, ahead int, included bool) {
	rank := func(name string) uint64 { return xxhash.Sum64String(target.ID + "/" + name) }
	if included = eligible(c.gossipDomain()); included {
		count = 1
	}
	own := rank(c.opts.Name)
	for name, p := range c.peers {
		if c.now-p.lastMessageAt > peerLoadTimeout || !eligible(c.gossipDomainOf(p)) {
			continue
		}
		count++
		if rank(name) > own {
			ahead++
		}
	}
	return count, ahead, included
}

// retryAfterNoTarget is the Retry-After of a request for which there is no target now.
// If the limits of targets are the reason, it is the time in which all instances
// together may send them a request. See also retryAfterQuiet.
func (c *Core) retryAfterNoTarget(a *activeRequest) time.Duration {
	rate := 0.0
	for _, target := range c.serviceTargets(a.service) {
		if target.limit != nil && c.maySendTo(target) {
			rate += target.limit.rate(c.now)
		}
	}
	if rate == 0 {
		return c.retryAfterQuiet(a, noTargetRetryAfter)
	}
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(float64(time.Second)/rate)))
}
