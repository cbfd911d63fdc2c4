package fleet

import (
	"cmp"
	"slices"

	"github.com/medlardeck/medlardeck/internal/forecast"
)

// CostReport states what its sender itself has observed of the cost of one kind of request,
// or of one target.
type CostReport struct {
	_ struct{} `cbor:",toarray"`
	// Service is the service that runs the requests, Class their route, or what is known of
	// it, and Size their size.
	Service, Class string
	Size           uint8
	// Samples is the number of observations, at most some hundred, and Quantiles are the
	// values below which 0.1, 0.3, 0.5, 0.7 and 0.9 of them lie: tokens of answers, or ratios
	// of the observed to the predicted time of first events, in 2048ths.
	Samples   int
	Quantiles []int
	// FirstEvents says that the report is one of first events.
	FirstEvents bool
	// Target is the id of a target that is slower than configured, in place of a kind, and
	// Excess the share by which its passes are longer, in hundredths.
	Target string
	Excess int
}

const (
	// costReportsPerMessage bounds the reports of each sort in a full message, about 45 bytes
	// each.
	costReportsPerMessage = 2
	// costMessagesPerSecond is about the number of messages with reports that an instance
	// receives in a second: with more peers, each sends them less often.
	costMessagesPerSecond = 10
	// joinerReports bounds the reports of each sort to a peer that has just started.
	joinerReports = 12
	// maxToldQuantile bounds what a report may state.
	maxToldQuantile = 1 << 22
	// toldPaceWeight is the weight of a peer's statement about a target's pace, which does
	// not count while the target's passes are observed here.
	toldPaceWeight = 0.5
)

// costTurn is where the reports go on in the next message.
type costTurn struct{ messages, lengths, firstEvents int }

// turnCostReports returns the reports of the next full messages: nil in most of them if there
// are many peers.
func (c *Core) turnCostReports() []CostReport {
	turn := &c.nextCosts
	turn.messages++
	if turn.messages%(1+c.peerCount()/costMessagesPerSecond) != 0 {
		return nil
	}
	lengths, next := c.lengths.Statements(turn.lengths, costReportsPerMessage)
	turn.lengths = next
	firstEvents, next := c.firstEvents.Statements(turn.firstEvents, costReportsPerMessage)
	turn.firstEvents = next
	return append(costReports(lengths, firstEvents), c.slowTargetReports(costReportsPerMessage)...)
}

// joinerCostReports returns the reports for a peer that has just started.
func (c *Core) joinerCostReports() []CostReport {
	lengths, _ := c.lengths.Statements(0, joinerReports)
	firstEvents, _ := c.firstEvents.Statements(0, joinerReports)
	return append(costReports(lengths, firstEvents), c.slowTargetReports(joinerReports)...)
}

func costReports(lengths, firstEvents []forecast.Statement) []CostReport {
	var reports []CostReport
	add := func(s forecast.Statement, ofFirstEvents bool) {
		reports = append(reports, CostReport{
			Service: s.Kind.Service, Class: s.Kind.Class, Size: s.Kind.Size,
			Samples: s.Samples, Quantiles: s.Quantiles, FirstEvents: ofFirstEvents,
		})
	}
	for _, s := range lengths {
		add(s, false)
	}
	for _, s := range firstEvents {
		add(s, true)
	}
	return reports
}

// slowTargetReports names the slowest targets that are slow by what was observed here.
func (c *Core) slowTargetReports(count int) []CostReport {
	var reports []CostReport
	for _, t := range c.targets {
		if t.pace.observed && t.pace.excess >= leastSlowness && c.now-t.pace.updatedAt < slownessMemory {
			reports = append(reports, CostReport{Service: t.Service, Target: t.ID, Excess: int(100 * t.pace.observedExcess)})
		}
	}
	slices.SortFunc(reports, func(a, b CostReport) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(a.Target, b.Target))
	})
	return reports[:min(count, len(reports))]
}

// applyCosts adopts what a peer has observed.
func (c *Core) applyCosts(reports []CostReport) {
	for _, r := range reports {
		if r.Target != "" {
			c.applyTargetCost(r)
			continue
		}
		if slices.ContainsFunc(r.Quantiles, func(q int) bool { return q <= 0 || q > maxToldQuantile }) {
			continue
		}
		s := forecast.Statement{Kind: forecast.Kind{Service: r.Service, Class: r.Class, Size: r.Size}, Samples: r.Samples, Quantiles: r.Quantiles}
		if r.FirstEvents {
			c.firstEvents.Adopt(s)
		} else {
			c.lengths.Adopt(s)
		}
	}
}

// applyTargetCost adopts what a peer has observed of a target's pace, unless it is observed
// here.
func (c *Core) applyTargetCost(r CostReport) {
	t := c.targets[r.Target]
	if t == nil || r.Excess < 0 || t.pace.observed && c.now-t.pace.updatedAt < slownessMemory {
		return
	}
	t.pace.observed = false
	c.learnPace(t, min(maxSlowness, float64(r.Excess)/100), toldPaceWeight)
}
