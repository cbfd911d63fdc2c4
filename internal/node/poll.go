package node

import (
	"context"
	"time"

	"github.com/medlardeck/medlardeck/internal/entry"
)

// pollTimeout limits one poll of a target's load report.
const pollTimeout = time.Second

// pollTarget asks a target for its load report in a goroutine and feeds the result
// back as a LoadReported or PollFailed event. n.mu is held.
func (n *Node) pollTarget(eff entry.Poll) {
	n.spawn(func() {
		ctx, cancel := context.WithTimeout(n.ctx, pollTimeout)
		defer cancel()
		report, refused, err := n.opts.Client.FetchReport(ctx, eff.Address)
		if err != nil {
			n.Step(entry.PollFailed{Target: eff.Target, Refused: refused})
			return
		}
		n.Step(entry.LoadReported{Target: eff.Target, Report: report})
	})
}

// ReportingTargets returns the number of targets that have reported their load.
func (n *Node) ReportingTargets() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entry.ReportingTargets()
}
