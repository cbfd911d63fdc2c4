package fleet

import (
	"strconv"
	"strings"
	"time"
)

// targetCheckDelay is the time between a broken run and the check of its target: when
// a process ends, its connections may close before its listener does.
const targetCheckDelay = 20 * time.Millisecond

// incarnation identifies one run of a target's process.
type incarnation struct {
	id        string
	startedMS int64
}

func (t *Target) incarnation() incarnation { return incarnation{t.ID, t.StartedMS} }

// targetCheck is a check whether a target has ended, which a broken run alone does not
// show: the connection may have been reset.
type targetCheck struct {
	brokenRuns int // since the last check
}

// checkBrokenRun checks the target of the current attempt after its connection broke.
func (c *Core) checkBrokenRun(a *activeRequest) {
	target := a.target.Target
	c.log("broken-run", "request", a.arrival.ID, "target", target.ID, "parts", formatParts(a.arrival.SharedParts),
		"event_seen", a.attemptDeliveredEvent)
	check := c.targetChecks[target.incarnation()]
	if check == nil {
		check = &targetCheck{}
		c.targetChecks[target.incarnation()] = check
		c.afterFunc(targetCheckDelay, func() { c.emit(CheckTarget{target}) })
	}
	check.brokenRuns++
}

// formatParts lists the ids of a prompt's parts for the log.
func formatParts(parts []uint64) string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = strconv.FormatUint(part, 16)
	}
	return strings.Join(ids, ",")
}

// handleTargetChecked records whether the broken runs of a target were due to its end.
func (c *Core) handleTargetChecked(ev TargetChecked) {
	check := c.targetChecks[ev.Target.incarnation()]
	if check == nil {
		return
	}
	delete(c.targetChecks, ev.Target.incarnation())
	c.log("target-checked", "target", ev.Target.ID, "result", ev.Result.String(), "broken_runs", check.brokenRuns)
	c.incrementCounter("targets_checked", ev.Result.String())
}
