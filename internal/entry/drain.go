package entry

import "slices"

// adoptDrain follows the operators' drain of this instance. Requests in flight
// end by themselves.
func (e *Entry) adoptDrain() {
	drained := slices.Contains(e.accepted.Intent.Drains.Instances, e.opts.Name)
	if drained == e.drained {
		return
	}
	e.drained = drained
	e.drainedAt = e.now
	e.members.SetLeaving(drained || e.stopping)
	e.emit(Log{Event: "instance-drain", Pairs: []string{"drained", map[bool]string{true: "yes", false: "no"}[drained]}})
}

// refusing reports whether new work is refused: the instance is stopping or
// drained, and the lag in which the balancer sees that it is not ready is over.
func (e *Entry) refusing() bool {
	return e.refusingWork || e.drained && e.now-e.drainedAt >= e.opts.StopLag
}
