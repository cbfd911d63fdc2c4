package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// Limits of what is kept and told of evacuations.
const (
	// evacuationRepeatTime is how long the full messages repeat statements after the last
	// evacuation ended, for peers that were out of touch.
	evacuationRepeatTime = 60 * time.Second
	// maxEndedEvacuations bounds the statements on domains that are not evacuated: operators
	// may name any domain.
	maxEndedEvacuations = 64
)

// EvacuationReport is the newest statement of the operators about a failure domain that its
// sender knows.
type EvacuationReport struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	// Ended says that the evacuation was taken back.
	Ended bool
	// Era and Revision are the position of the statement in the platform's store.
	Era, Revision uint64
}

func (r *EvacuationReport) position() StorePosition { return StorePosition{r.Era, r.Revision} }

// compare returns -1 if p is earlier than other, 1 if it is later, and 0 otherwise.
func (p StorePosition) compare(other StorePosition) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// EvacuationSource is the way by which a statement about an evacuation has come.
type EvacuationSource uint8

// Sources of statements.
const (
	EvacuationWatched EvacuationSource = iota
	EvacuationListed
	// EvacuationFromSnapshot statements come with the snapshot of a peer.
	EvacuationFromSnapshot
	EvacuationToldByPeer
)

var evacuationSourceNames = [...]string{"watch", "list", "snapshot", "peer"}

func (s EvacuationSource) String() string { return evacuationSourceNames[s] }

// EvacuationsStated delivers statements about failure domains, in their order.
type EvacuationsStated struct {
	Reports []EvacuationReport
	Source  EvacuationSource
}

// EvacuationList delivers all evacuations in force as of a list of the platform's store.
type EvacuationList struct {
	InForce  []EvacuationReport
	Position StorePosition
	// Settling says that the store may have been restored shortly before: the list may lack
	// what was stated in an earlier era.
	Settling bool
}

func (EvacuationsStated) fleetEvent() {}
func (EvacuationList) fleetEvent()    {}

// evacuationState is what this instance knows of evacuated failure domains.
type evacuationState struct {
	newest  map[string]EvacuationReport // newest statement, by domain
	inForce map[string]bool             // the evacuated domains
	// told are the positions of the statements that this instance has told all peers.
	told map[string]StorePosition
	// busy are the evacuated domains where requests of this instance still run.
	busy map[string]bool
	// listedAt is the position of the last list: domains without a statement were not
	// evacuated then. settledEra is the era for which this also refutes statements of
	// earlier eras.
	listedAt   StorePosition
	settledEra uint64
	// repeatUntil is the time until which the full messages repeat all statements.
	repeatUntil time.Duration
}

// isEvacuated reports whether no new work may be sent to targets in a failure domain.
func (c *Core) isEvacuated(domain string) bool { return c.evacuations.inForce[domain] }

// isServiceEvacuated reports whether all targets of a service that would otherwise take work
// are in evacuated domains, and there are some.
func (c *Core) isServiceEvacuated(service string) bool {
	if len(c.evacuations.inForce) == 0 {
		return false
	}
	hasTargets := false
	for _, target := range c.serviceTargets(service) {
		if !target.takesWork() {
			continue
		}
		if !c.isEvacuated(target.FailureDomain) {
			return false
		}
		hasTargets = true
	}
	return hasTargets
}

// refuseEvacuated ends a request whose service is evacuated as a whole. No peer is asked: the
// operators' statement holds for all instances.
func (c *Core) refuseEvacuated(a *activeRequest) {
	c.incrementCounter("evacuation_withheld", "all-domains")
	c.refuseOrFail(a, result.NoTarget, noTargetRetryAfter)
}

// handleEvacuations applies what the store or a peer's snapshot says of evacuations.
func (c *Core) handleEvacuations(ev Event) {
	switch ev := ev.(type) {
	case EvacuationsStated:
		c.applyEvacuations(ev.Reports, ev.Source)
	case EvacuationList:
		c.handleEvacuationList(ev)
	}
}

// handleEvacuationList applies a list: known evacuations that it lacks have ended.
func (c *Core) handleEvacuationList(list EvacuationList) {
	e := &c.evacuations
	listed := make(map[string]bool, len(list.InForce))
	for _, report := range list.InForce {
		listed[report.Domain] = true
	}
	reports := slices.Clone(list.InForce)
	for _, report := range c.sortedEvacuations() {
		mayBeMissing := list.Settling && report.Era < list.Position.Era
		if !report.Ended && !listed[report.Domain] && !mayBeMissing {
			reports = append(reports, EvacuationReport{Domain: report.Domain, Ended: true, Era: list.Position.Era, Revision: list.Position.Revision})
		}
	}
	c.applyEvacuations(reports, EvacuationListed)
	if list.Position.compare(e.listedAt) > 0 {
		e.listedAt = list.Position
	}
	if !list.Settling {
		e.settledEra = max(e.settledEra, list.Position.Era)
	}
}

// applyEvacuations applies statements. What had been reserved in the domains is given up after
// all of them: it must not be reserved in another of these domains then.
func (c *Core) applyEvacuations(reports []EvacuationReport, source EvacuationSource) {
	for _, report := range reports {
		c.applyEvacuation(report, source)
	}
	if len(reports) > 0 && len(c.evacuations.inForce) > 0 {
		c.withdrawReservations()
	}
}

// applyEvacuation applies a statement unless a newer one is known.
func (c *Core) applyEvacuation(report EvacuationReport, source EvacuationSource) {
	e := &c.evacuations
	known, ok := e.newest[report.Domain]
	switch {
	case report.Domain == "":
		return
	case !ok && c.isRefutedByList(report):
		known = EvacuationReport{Domain: report.Domain, Ended: true, Era: e.listedAt.Era, Revision: e.listedAt.Revision}
		c.recordEvacuation(known)
		c.answerOutdatedEvacuation(report, known)
		return
	case ok && report.position().compare(known.position()) <= 0:
		c.answerOutdatedEvacuation(report, known)
		if report == known {
			c.tellEvacuation(report, source)
		}
		return
	}
	c.recordEvacuation(report)
	wasInForce := ok && !known.Ended
	if wasInForce == !report.Ended {
		return
	}
	if report.Ended {
		c.endEvacuation(report, source)
	} else {
		c.beginEvacuation(report, source)
	}
	c.tellEvacuation(report, source)
}

// tellEvacuation tells all peers of a statement at once, unless this instance has done so. In a
// large fleet only those do that have it from the store: otherwise each statement would cost as
// many messages as the square of the fleet.
func (c *Core) tellEvacuation(report EvacuationReport, source EvacuationSource) {
	isFromStore := source == EvacuationWatched || source == EvacuationListed
	if c.evacuations.told[report.Domain] == report.position() || !isFromStore && (c.isLargeFleet() || source == EvacuationFromSnapshot) {
		return
	}
	c.evacuations.told[report.Domain] = report.position()
	news := c.pendingNews()
	news.Evacuations = append(news.Evacuations, report)
}

// isRefutedByList reports whether a list of the store has shown that an evacuation has ended
// of which nothing else is known.
func (c *Core) isRefutedByList(report EvacuationReport) bool {
	e := &c.evacuations
	return !report.Ended && report.position().compare(e.listedAt) <= 0 &&
		(report.Era == e.listedAt.Era || e.settledEra == e.listedAt.Era)
}

// answerOutdatedEvacuation lets the full messages state again what is known, for a peer that
// knows only what was before.
func (c *Core) answerOutdatedEvacuation(report, known EvacuationReport) {
	if report.Ended != known.Ended {
		c.evacuations.repeatUntil = max(c.evacuations.repeatUntil, c.now+evacuationRepeatTime)
	}
}

// recordEvacuation takes over a statement, and forgets the oldest on domains that are not
// evacuated if there are many.
func (c *Core) recordEvacuation(report EvacuationReport) {
	e := &c.evacuations
	if e.newest == nil {
		e.newest, e.inForce, e.busy = make(map[string]EvacuationReport), make(map[string]bool), make(map[string]bool)
		e.told = make(map[string]StorePosition)
	}
	e.newest[report.Domain] = report
	if report.Ended {
		delete(e.inForce, report.Domain)
	} else {
		e.inForce[report.Domain] = true
	}
	for len(e.newest)-len(e.inForce) > maxEndedEvacuations {
		var oldest *EvacuationReport
		for _, other := range c.sortedEvacuations() {
			if other.Ended && (oldest == nil || other.position().compare(oldest.position()) < 0) {
				oldest = &other
			}
		}
		delete(e.newest, oldest.Domain)
		delete(e.told, oldest.Domain)
	}
}

// beginEvacuation stops sending work to a domain.
func (c *Core) beginEvacuation(report EvacuationReport, source EvacuationSource) {
	running := c.requestsIn(report.Domain)
	c.log("domain-evacuated", "domain", report.Domain, "era", report.Era, "revision", report.Revision, "source", source.String(), "running", running)
	c.incrementCounter("evacuations", "begun")
	if running > 0 {
		c.evacuations.busy[report.Domain] = true
	}
}

// withdrawReservations releases the reservations of prompts that have not been sent and would
// have a part in an evacuated domain. The requests are placed again.
func (c *Core) withdrawReservations() {
	var reserving []*activeRequest
	for _, a := range c.requests {
		if res := a.reservation; res != nil && !res.granted && c.isPartEvacuated(&res.placement) {
			reserving = append(reserving, a)
		}
	}
	slices.SortFunc(reserving, func(a, b *activeRequest) int { return cmp.Compare(a.arrival.Request, b.arrival.Request) })
	for _, a := range reserving {
		c.log("reservation-withdrawn", "request", a.arrival.ID)
		c.incrementCounter("evacuation_withheld", "reservation")
		c.releaseTickets(a)
		c.dispatch(a)
	}
}

// isPartEvacuated reports whether any target of a placement is in an evacuated domain.
func (c *Core) isPartEvacuated(p *placement) bool {
	return c.isEvacuated(p.primary.FailureDomain) || slices.ContainsFunc(p.helpers, func(h *targetState) bool { return c.isEvacuated(h.FailureDomain) })
}

// endEvacuation lets work be sent to a domain again.
func (c *Core) endEvacuation(report EvacuationReport, source EvacuationSource) {
	c.log("evacuation-ended", "domain", report.Domain, "era", report.Era, "revision", report.Revision, "source", source.String())
	c.incrementCounter("evacuations", "ended")
	delete(c.evacuations.busy, report.Domain)
	c.evacuations.repeatUntil = c.now + evacuationRepeatTime
	c.coldDomain(report.Domain)
}

// requestsIn returns the number of requests of this instance that run in a failure domain,
// or whose prompt has a part there.
func (c *Core) requestsIn(domain string) int {
	count := 0
	for _, a := range c.attempts {
		if slices.ContainsFunc(a.loads, func(placed placedLoad) bool { return placed.target.FailureDomain == domain }) {
			count++
		}
	}
	return count
}

// recordEvacuatedEnds logs the evacuated domains where the last request of this instance has
// ended.
func (c *Core) recordEvacuatedEnds() {
	if len(c.evacuations.busy) == 0 {
		return
	}
	for _, report := range c.sortedEvacuations() {
		if c.evacuations.busy[report.Domain] && c.requestsIn(report.Domain) == 0 {
			delete(c.evacuations.busy, report.Domain)
			c.log("evacuated-domain-idle", "domain", report.Domain, "era", report.Era, "revision", report.Revision)
		}
	}
}

// sortedEvacuations returns the newest statements, ordered by domain.
func (c *Core) sortedEvacuations() []EvacuationReport {
	reports := make([]EvacuationReport, 0, len(c.evacuations.newest))
	for _, report := range c.evacuations.newest {
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b EvacuationReport) int { return cmp.Compare(a.Domain, b.Domain) })
	return reports
}

// repeatedEvacuations returns the statements for a full message, nil if there is nothing to
// say.
func (c *Core) repeatedEvacuations() []EvacuationReport {
	e := &c.evacuations
	if len(e.newest) == 0 || len(e.inForce) == 0 && c.now >= e.repeatUntil {
		return nil
	}
	return c.sortedEvacuations()
}

// Evacuations returns the newest statements about all failure domains, nil if there are none.
func (c *Core) Evacuations() []EvacuationReport {
	if len(c.evacuations.newest) == 0 {
		return nil
	}
	return c.sortedEvacuations()
}

// EvacuatedDomains returns the number of evacuated failure domains, and that of the requests
// of this instance that still run there.
func (c *Core) EvacuatedDomains() (domains, running int) {
	for _, a := range c.attempts {
		if slices.ContainsFunc(a.loads, func(placed placedLoad) bool { return c.isEvacuated(placed.target.FailureDomain) }) {
			running++
		}
	}
	return len(c.evacuations.inForce), running
}
