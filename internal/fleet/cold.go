package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sends to cold targets, which all instances together keep below a rate without a message
// about it: each has a fixed share of whole sends in a sliding window.
const (
	// coldWindow is the window in which the sends to a cold target are counted. It is longer
	// than the second for which the rate is stated, since requests that are written a second
	// apart may arrive a little closer.
	coldWindow = 1050 * time.Millisecond
	// coldRosterTime is the time without a considerable growth of the number of known
	// instances after which shares are taken: an instance that has just started knows few.
	coldRosterTime = time.Second
	// maxRosterGrowth is the growth of the number of instances in coldRosterTime that is not
	// considerable.
	maxRosterGrowth = 1.25
	// coldAloneSharers is the number of instances that share the rate in the eyes of an
	// instance that knows no others: its messages may be lost.
	coldAloneSharers = 4
	// coldClockMargin is how far the clocks of targets and instances may differ.
	coldClockMargin = 500 * time.Millisecond
	// minColdChange is the least change of the end of a cold time by an answer: answers under
	// way for different times name different ends.
	minColdChange = 100 * time.Millisecond
	// maxColdTime bounds the time that one statement names.
	maxColdTime = time.Minute
	// coldSendCost is the cost of a send to a cold target, in units of value: a long prompt
	// makes more of it than a short one.
	coldSendCost = 0.05
)

// ColdEntry is what a target's entry says of how long the target stays cold.
type ColdEntry struct {
	// Stated says that the entry says something of it.
	Stated bool
	// Left is that time, from the writing of the entry on.
	Left time.Duration
	// SinceStart says that the entry was written when the target started.
	SinceStart bool
}

// readColdEntry is a ColdEntry with the age of its entry at the time when it was read.
type readColdEntry struct {
	ColdEntry
	age, readAt time.Duration
	// inForce says that no answer of the target has said something newer.
	inForce bool
}

// ColdStated delivers what an answer of a target says of how long the target stays cold; zero
// if it is warm.
type ColdStated struct {
	Target Target
	Left   time.Duration
}

func (ColdStated) fleetEvent() {}

// coldSend is a send of this instance to a target with a limit for its cold time. It counts
// from its decision until coldWindow after it was written, or until its attempt ended
// unwritten. Sends to warm targets count from when they are written.
type coldSend struct {
	attempt AttemptID
	written bool
	at      time.Duration
}

// coldSendLog holds the sends to an incarnation of a target that count. It outlasts the cold
// time: a target may be cold again, or said to be cold late, within the window of its sends.
type coldSendLog struct {
	sends []coldSend
}

// active returns the sends that still count.
func (l *coldSendLog) active(now, window time.Duration) []coldSend {
	l.sends = slices.DeleteFunc(l.sends, func(s coldSend) bool { return s.written && now-s.at >= window })
	return l.sends
}

// targetCold is the cold time of an incarnation of a target.
type targetCold struct {
	*coldSendLog
	target  Target
	begunAt time.Duration
	until   time.Duration
	endsAt  time.Duration // of the next timer that looks at until
	sent    int           // requests while it was cold
	// share is the share of this instance as of rosterEpoch and quota.
	share, quota, rosterEpoch int
}

// instanceRoster follows the number of known instances.
type instanceRoster struct {
	epoch          int // incremented by each instance that comes or goes
	size, baseSize int // baseSize is that of coldRosterTime before the last growth or earlier
	baseAt         time.Duration
	startedAt      time.Duration
	grownAt        time.Duration
}

// start records the start of this instance, which knows no others yet.
func (r *instanceRoster) start(now time.Duration) { r.startedAt, r.baseAt, r.grownAt = now, now, now }

// update records the number of known instances.
func (r *instanceRoster) update(now time.Duration, size int) {
	r.epoch++
	if size > r.size {
		if now-r.baseAt >= coldRosterTime {
			r.baseSize, r.baseAt = r.size, now
		}
		r.grownAt = now
	}
	r.size = size
}

// settledIn returns the time until the number of known instances is trusted.
func (r *instanceRoster) settledIn(now time.Duration) time.Duration {
	if now-r.startedAt >= coldRosterTime && float64(r.size) <= maxRosterGrowth*float64(r.baseSize) {
		return 0
	}
	return max(0, r.grownAt+coldRosterTime-now)
}

// coldRate returns the requests in a second that a cold target of a service can handle, zero
// if the service has no such limit.
func (c *Core) coldRate(service string) float64 {
	if c.config == nil || c.config.Services[service] == nil {
		return 0
	}
	return c.config.Services[service].ColdPerSecond
}

// applyColdEntry applies what an entry says. Entries may be read late: they lengthen the cold
// time only.
func (c *Core) applyColdEntry(target *targetState, t Target) {
	isNew := t.Listed == StorePosition{} || t.Listed.compare(target.coldEntryAt) > 0
	if !isNew || t.Outdated && target.coldEntryAt != (StorePosition{}) {
		return
	}
	target.coldEntryAt = t.Listed
	target.coldEntry = readColdEntry{ColdEntry: t.Cold, age: t.Age, readAt: c.now, inForce: true}
	c.applyReadColdEntry(target)
}

// applyReadColdEntry applies the last entry of a target as of the time when it was read.
func (c *Core) applyReadColdEntry(target *targetState) {
	entry := target.coldEntry
	left := entry.Left
	if !entry.Stated && c.config != nil && c.config.Services[target.Service] != nil {
		left = c.config.Services[target.Service].ColdTime
	}
	if !entry.Stated || entry.SinceStart {
		left = min(left, left+coldClockMargin-entry.age)
	}
	left -= c.now - entry.readAt
	if known := target.cold; left > 0 && (known == nil || c.now+left > known.until) {
		c.setCold(target, left, "entry")
	}
}

// applyColdConfig applies the entries of targets again whose service has other settings for
// cold targets than in the former configuration: entries are read before the configuration, too.
func (c *Core) applyColdConfig(former *Config) {
	for _, name := range slices.Sorted(maps.Keys(c.config.Services)) {
		service := c.config.Services[name]
		if former != nil && former.Services[name] != nil {
			before := former.Services[name]
			if before.ColdTime == service.ColdTime && before.ColdPerSecond == service.ColdPerSecond {
				continue
			}
		}
		for _, target := range c.serviceTargets(name) {
			if target.coldEntry.inForce {
				c.applyReadColdEntry(target)
			}
		}
	}
}

// handleTargetStatement applies what an answer says of its target besides the request.
func (c *Core) handleTargetStatement(ev Event) {
	switch ev := ev.(type) {
	case LeavingStated:
		c.handleLeavingStated(ev)
	case ColdStated:
		c.handleColdStated(ev)
	}
}

// handleColdStated applies what an answer says, which is the target's newest word.
func (c *Core) handleColdStated(ev ColdStated) {
	target := c.targets[ev.Target.ID]
	if target == nil || target.StartedMS != ev.Target.StartedMS {
		return
	}
	target.coldEntry.inForce = false
	if ev.Left <= 0 && target.cold == nil {
		return
	}
	if change := target.cold.change(c.now + ev.Left); ev.Left > 0 && change < minColdChange {
		return
	}
	c.setCold(target, ev.Left, "answer")
}

// change returns by how much a new end of the cold time differs from the known one; infinite if
// there is none.
func (cold *targetCold) change(until time.Duration) time.Duration {
	if cold == nil {
		return math.MaxInt64
	}
	return max(until-cold.until, cold.until-until)
}

// setCold sets the time for which a target stays cold.
func (c *Core) setCold(target *targetState, left time.Duration, source string) {
	cold := target.cold
	if cold == nil {
		cold = &targetCold{coldSendLog: target.sendLog(), target: target.Target, rosterEpoch: -1}
		target.cold, c.colds[target.incarnation()] = cold, cold
	}
	wasCold := c.now < cold.until
	cold.until = c.now + min(left, maxColdTime)
	c.scheduleColdEnd(cold)
	if !wasCold && left > 0 {
		cold.begunAt, cold.sent = c.now, 0
		if c.isCold(target) {
			c.log("target-cold", "target", target.ID, "service", target.Service, "domain", target.FailureDomain,
				"for_ms", int(toMS(left)), "source", source)
			c.incrementCounter("target_cold", source)
		}
	}
}

// scheduleColdEnd sets a timer for the end of a cold time, unless there is one before it.
func (c *Core) scheduleColdEnd(cold *targetCold) {
	if cold.endsAt > c.now && cold.endsAt <= cold.until {
		return
	}
	cold.endsAt = cold.until
	c.afterFunc(cold.until-c.now, func() { c.endCold(cold) })
}

// endCold forgets the cold time of a target once it has passed.
func (c *Core) endCold(cold *targetCold) {
	if c.now < cold.until {
		c.scheduleColdEnd(cold)
		return
	}
	if c.colds[cold.target.incarnation()] != cold {
		return
	}
	if c.coldRate(cold.target.Service) > 0 {
		c.log("target-warm", "target", cold.target.ID, "after_ms", int(toMS(c.now-cold.begunAt)), "sent", cold.sent)
		c.incrementCounter("target_cold", "ended")
	}
	delete(c.colds, cold.target.incarnation())
	if target := c.targets[cold.target.ID]; target != nil && target.cold == cold {
		target.cold = nil
	}
}

// coldDomain takes the targets of a domain for cold whose evacuation has ended: usually they
// are, and their entries may not say so yet.
func (c *Core) coldDomain(domain string) {
	var domainTargets []*targetState
	for _, target := range c.targets {
		if target.FailureDomain == domain && c.coldRate(target.Service) > 0 {
			domainTargets = append(domainTargets, target)
		}
	}
	slices.SortFunc(domainTargets, func(a, b *targetState) int { return cmp.Compare(a.ID, b.ID) })
	for _, target := range domainTargets {
		coldTime := c.config.Services[target.Service].ColdTime
		if coldTime > 0 && (target.cold == nil || target.cold.until < c.now+coldTime) {
			c.setCold(target, coldTime, "evacuation-ended")
		}
	}
}

// isCold reports whether a target is cold and its service has a limit for that.
func (c *Core) isCold(target *targetState) bool {
	return target.cold != nil && c.now < target.cold.until && c.coldRate(target.Service) > 0
}

// coldAllows reports whether this instance's share of the sends to a target allows another
// one now. It does for targets that are not cold.
func (c *Core) coldAllows(target *targetState) bool {
	return !c.isCold(target) || len(target.cold.active(c.now, c.coldWindowOf(target))) < c.coldShare(target)
}

// sendLog returns the sends to a target that count.
func (t *targetState) sendLog() *coldSendLog {
	if t.coldSends == nil {
		t.coldSends = &coldSendLog{}
	}
	return t.coldSends
}

// coldWindowOf is the window in which a target's quota counts: longer than coldWindow for
// rates of less than one request a second.
func (c *Core) coldWindowOf(target *targetState) time.Duration {
	return max(coldWindow, time.Duration(float64(coldWindow)/c.coldRate(target.Service)))
}

// coldShare returns the number of sends to a cold target in a window that this instance may
// make. All instances that know the same others agree on the shares, whose sum is the quota.
// The instances that follow the target's loads have the shares, in an order by hash.
func (c *Core) coldShare(target *targetState) int {
	if c.roster.settledIn(c.now) > 0 {
		return 0
	}
	cold, quota := target.cold, max(1, int(c.coldRate(target.Service)))
	if cold.rosterEpoch == c.roster.epoch && cold.quota == quota {
		return cold.share
	}
	guest := c.guestDomain(target)
	sharers, ahead, included := c.rankForCold(target, func(domain string) bool { return domain == target.FailureDomain || domain == guest })
	if sharers == 0 { // neither domain has an instance
		sharers, ahead, included = c.rankForCold(target, func(string) bool { return true })
	}
	if len(c.peers) == 0 {
		sharers = coldAloneSharers
	}
	cold.share = 0
	if included {
		cold.share = quota / sharers
		if ahead < quota%sharers {
			cold.share++
		}
	}
	cold.quota, cold.rosterEpoch = quota, c.roster.epoch
	return cold.share
}

// rankForCold counts the instances known in the last peerExpiry in the eligible domains, and
// those among them that come before this one in the target's order. Silent ones keep their
// shares that long: they may only be out of touch. included says whether this one counts.
func (c *Core) rankForCold(target *targetState, eligible func(domain string) bool) (count, ahead int, included bool) {
	rank := func(name string) uint64 { return xxhash.Sum64String(target.ID + "/" + name) }
	if included = eligible(c.opts.FailureDomain); included {
		count = 1
	}
	own := rank(c.opts.Name)
	for name, p := range c.peers {
		if eligible(p.domain) {
			count++
			if rank(name) > own {
				ahead++
			}
		}
	}
	return count, ahead, included
}

// recordColdSend counts the current attempt against the share of its target, if that is cold
// or may be soon.
func (c *Core) recordColdSend(a *activeRequest, written bool) {
	isCold := c.isCold(a.target)
	if !isCold && (!written || c.coldRate(a.target.Service) == 0) {
		return
	}
	log := a.target.sendLog()
	log.sends = append(log.active(c.now, c.coldWindowOf(a.target)), coldSend{a.attempt, written, c.now})
	if isCold {
		a.target.cold.sent++
	}
}

// holdsColdSend reports whether an attempt counts against the share of its target.
func (t *targetState) holdsColdSend(attempt AttemptID) bool {
	return t.coldSends != nil &&
		slices.ContainsFunc(t.coldSends.sends, func(s coldSend) bool { return s.attempt == attempt })
}

// startColdSend records that the current attempt is written now. Its target may have become
// cold since the decision.
func (c *Core) startColdSend(a *activeRequest) {
	if a.target == nil {
		return
	}
	if a.target.holdsColdSend(a.attempt) {
		for i, s := range a.target.coldSends.sends {
			if s.attempt == a.attempt {
				a.target.coldSends.sends[i].written, a.target.coldSends.sends[i].at = true, c.now
			}
		}
		return
	}
	c.recordColdSend(a, true)
}

// dropColdSend takes back the count of the current attempt, which has not reached its target.
func (c *Core) dropColdSend(a *activeRequest) {
	if a.target == nil || !a.target.holdsColdSend(a.attempt) {
		return
	}
	log := a.target.coldSends
	log.sends = selectFunc(log.sends, func(s coldSend) bool { return s.attempt != a.attempt })
	if cold := a.target.cold; cold != nil {
		cold.sent = max(0, cold.sent-1)
	}
}

// untilColdSend is the time until this instance may send another request to a cold target.
func (c *Core) untilColdSend(target *targetState) time.Duration {
	if c.coldAllows(target) {
		return 0
	}
	untilWarm := target.cold.until - c.now
	if wait := c.roster.settledIn(c.now); wait > 0 {
		return min(wait, untilWarm)
	}
	share := c.coldShare(target)
	if share == 0 {
		return untilWarm
	}
	window := c.coldWindowOf(target)
	var ends []time.Duration
	for _, s := range target.cold.active(c.now, window) {
		if s.written {
			ends = append(ends, s.at+window-c.now)
		} else {
			ends = append(ends, window)
		}
	}
	slices.Sort(ends)
	// While it was warm, more than the share may have been sent.
	return min(ends[len(ends)-share], untilWarm)
}

// anyColdWithheld reports whether a target of a service is cold without a share left.
func (c *Core) anyColdWithheld(service string) bool {
	return slices.ContainsFunc(c.listedTargets(service), func(target *targetState) bool { return !c.coldAllows(target) })
}

// coldCost is the cost of a send to a target, in units of value, that its share makes scarce.
func (c *Core) coldCost(target *targetState) float64 {
	if !c.isCold(target) {
		return 0
	}
	return coldSendCost
}

// ColdTargets returns the number of targets that are cold.
func (c *Core) ColdTargets() int {
	count := 0
	for _, target := range c.targets {
		if !target.gone && c.isCold(target) {
			count++
		}
	}
	return count
}
