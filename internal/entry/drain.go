package entry

import "slices"

// applyDrain starts or ends the drain of this instance as the configuration
// says. Requests in flight are not interrupted.
func (e *Entry) applyDrain() {
	drained := slices.Contains(e.accepted.Intent.Drains.Instances, e.opts.Name)
	if drained == e.drained {
		return
	}
	e.drained = drained
	e.drainedAt = e.now
	e.members.SetLeaving(drained || e.stopping)
	e.emit(Log{Event: "instance-drain", Pairs: []string{"drained", map[bool]string{true: "yes", false: "no"}[drained]}})
}

// refusesWork reports whether new requests are refused: the instance is
// stopping or drained, and StopLag, in which load balancers notice that it is
// not ready, is over.
func (e *Entry) refusesWork() bool {
	return e.refusingWork || e.drained && e.now-e.drainedAt >= e.opts.StopLag
}
