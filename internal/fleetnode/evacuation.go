package fleetnode

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
	"github.com/medlardeck/medlardeck/internal/forward"
	"github.com/medlardeck/medlardeck/internal/telemetry"
)

// applyListedEvacuations passes the evacuations of a list of the store to the decision core,
// unless the list is of an era before the known one.
func (m *mirror) applyListedEvacuations(items []follow.Item, position follow.Position) {
	if m.decoder.EvacuationsPrefix == "" || !m.advanceEra(position.Era, position.Revision) {
		return
	}
	m.node.Step(fleet.EvacuationList{
		InForce: m.evacuationReports(items, position), Position: fleet.StorePosition(position), Settling: m.eraSettling(),
	})
}

// needsRelist reports, at most once in settleDuration, whether an evacuation of an earlier era
// is in force: a restored store may have lost it, so that only a later list can end it. Peers
// may tell of it at any time.
func (m *mirror) needsRelist() bool {
	evacuations := m.node.Evacuations()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	isOfEarlierEra := func(r fleet.EvacuationReport) bool { return !r.Ended && r.Era < m.era }
	if now.Sub(m.relistAskedAt) < settleDuration || !slices.ContainsFunc(evacuations, isOfEarlierEra) {
		return false
	}
	m.relistAskedAt = now
	return true
}

// applyEvacuationChanges passes changes of evacuations to the decision core.
func (m *mirror) applyEvacuationChanges(items []follow.Item, position follow.Position) {
	if reports := m.evacuationReports(items, position); len(reports) > 0 {
		m.node.Step(fleet.EvacuationsStated{Reports: reports, Source: fleet.EvacuationWatched})
	}
}

// applyPeerEvacuations passes the evacuations that a peer knows to the decision core.
func (m *mirror) applyPeerEvacuations(reports []fleet.EvacuationReport) {
	if len(reports) > 0 {
		m.node.Step(fleet.EvacuationsStated{Reports: reports, Source: fleet.EvacuationFromSnapshot})
	}
}

// evacuationReports returns the statements on evacuations among items of the store. An item
// without a revision has that of the response.
func (m *mirror) evacuationReports(items []follow.Item, position follow.Position) []fleet.EvacuationReport {
	prefix := m.decoder.EvacuationsPrefix
	var reports []fleet.EvacuationReport
	for _, item := range items {
		if prefix == "" || !strings.HasPrefix(item.Key, prefix) {
			continue
		}
		report := fleet.EvacuationReport{
			Domain: m.decoder.EvacuatedDomain(item.Key), Ended: item.Removed, Era: position.Era, Revision: item.Revision,
		}
		if report.Revision == 0 {
			report.Revision = position.Revision
		}
		reports = append(reports, report)
	}
	return reports
}

// eraSettling reports whether the store may have been restored shortly before: its era has
// become known just now.
func (m *mirror) eraSettling() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.eraKnownAt) < settleDuration
}

// addTargetGauges adds the gauges of evacuated failure domains and cold targets.
func addTargetGauges(metrics *telemetry.Metrics, node *forward.Node) error {
	return errors.Join(
		metrics.Gauge("evacuated_domains", func() int { domains, _ := node.EvacuatedDomains(); return domains }),
		metrics.Gauge("evacuated_domain_requests", func() int { _, running := node.EvacuatedDomains(); return running }),
		metrics.Gauge("cold_targets", node.ColdTargets),
	)
}
