package fleet

import (
	"fmt"
	"slices"
	"time"
)

// worldRun is an attempt of a request at a target of a fleet world.
type worldRun struct {
	instance *worldInstance
	send     Send
	attempt  AttemptID
	request  *worldRequest
	target   *worldTarget
	helpers  []*worldTarget
	arrived  bool
	ended    bool
}

func (run *worldRun) end() {
	run.ended = true
	if run.target != nil {
		run.target.runs = slices.DeleteFunc(run.target.runs, func(other *worldRun) bool { return other == run })
	}
}

func (run *worldRun) report(outcome AttemptOutcome) {
	run.end()
	var limit Limit
	if outcome != OutcomeNotConnected && outcome != OutcomeWithheld && outcome != OutcomeBroken {
		limit = run.target.limit
	}
	run.instance.world.after(worldHop, func() {
		run.instance.step(AttemptEnd{Attempt: run.attempt, Outcome: outcome, Limit: limit})
	})
}

// arrive begins a run, which reads its prompt first.
func (run *worldRun) arrive() {
	w := run.instance.world
	if run.ended {
		return
	}
	if !run.instance.core.MayStart(run.send) {
		run.report(OutcomeWithheld)
		return
	}
	if result := w.checkResult(run.instance, run.target); result != CheckAccepted {
		run.report(OutcomeNotConnected)
		return
	}
	run.arrived = true
	run.instance.step(AttemptStarted{run.attempt})
	run.request.root().runs++
	if w.onRun != nil {
		w.onRun(run)
	}
	run.instance.step(Connected{run.target.ID})
	for _, part := range run.request.parts {
		w.reached[part] = append(w.reached[part], w.now)
	}
	run.target.runs = append(run.target.runs, run)
	for _, target := range append(run.helpers, run.target) {
		if target != nil {
			target.arrivals = append(target.arrivals, w.now)
			target.arrivedFrom = append(target.arrivedFrom, run.instance.name)
		}
	}
	if run.askForQuiet() {
		return
	}
	if w.rejects > 0 && w.rng.Float64() < w.rejects {
		run.report(OutcomeNotRun)
		return
	}
	if run.request.beginsAtOnce {
		run.begin()
		return
	}
	w.after(worldPrefill+time.Duration(w.rng.Int64N(int64(worldPrefill))), run.begin)
}

// begin begins the answer. It ends the target if the prompt has a crashing part.
func (run *worldRun) begin() {
	w := run.instance.world
	if run.ended {
		return
	}
	run.request.began = run.request.began || run.request.sends == 1
	culprit := false
	for _, part := range run.request.parts {
		if w.crashing[part] {
			w.crashes[part] = append(w.crashes[part], w.now)
			culprit = true
		}
	}
	if culprit {
		w.endTarget(run.target)
		return
	}
	run.sendEvent(1)
}

func (run *worldRun) sendEvent(id int) {
	w := run.instance.world
	if run.ended {
		return
	}
	limit := run.target.limit
	w.after(worldHop, func() {
		run.instance.step(Progress{Attempt: run.attempt, EventID: fmt.Sprint(id), Limit: limit})
		if relay := run.request.relay; relay != nil {
			relay.event(id)
		}
	})
	if id == 12 {
		run.report(OutcomeComplete)
		return
	}
	w.after(worldEvent, func() { run.sendEvent(id + 1) })
}
