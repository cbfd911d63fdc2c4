package entry

import (
	"net/http"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Counters of target ejections and returns.
const (
	CounterEjections = "target_ejections"
	CounterReturns   = "target_returns"
)

// Intervals of the health timers.
const (
	healthCheckInterval = time.Second
	rampInterval        = target.SlowStartDuration / 30
)

// recordAttemptHealth records what the end of an attempt says about its
// target's health.
func (e *Entry) recordAttemptHealth(tg *target.Target, ev AttemptEnd) {
	switch {
	case tg == nil:
		return
	case ev.Outcome == OutcomeComplete, ev.Outcome == OutcomeCallerSlow, ev.Outcome == OutcomeTooLarge:
		tg.RecordSuccess(e.now)
	case ev.Outcome == OutcomeError && ev.Status < http.StatusInternalServerError:
		tg.RecordProgress(e.now) // the request is at fault, not the target
	case ev.Outcome == OutcomeNotRun && ev.Status == http.StatusNotFound:
		tg.RecordProgress(e.now) // its model is not loaded yet
	default:
		tg.RecordFailure(e.now)
	}
	e.checkHealth(tg)
}

// startHealthWatch checks a target from its first attempt on, while it has any
// in flight.
func (e *Entry) startHealthWatch(tg *target.Target) {
	if tg.Outstanding == 1 {
		tg.BusySince = e.now
	}
	if !e.healthWatched[tg.Name] {
		e.healthWatched[tg.Name] = true
		e.watchHealth(tg)
	}
}

// watchHealth checks a target again and again until it has no work in flight.
func (e *Entry) watchHealth(tg *target.Target) {
	e.scheduleAfter(healthCheckInterval, func() {
		if e.targets.Get(tg.Name) != tg || tg.Outstanding == 0 {
			delete(e.healthWatched, tg.Name)
			return
		}
		e.checkHealth(tg)
		e.watchHealth(tg)
	})
}

// checkHealth ejects a target that fails its health criteria. An engine that
// hangs or stopped reporting counts as dead.
func (e *Entry) checkHealth(tg *target.Target) {
	reason := e.targets.EjectionReason(tg, e.now)
	if reason == target.ReasonNone {
		return
	}
	e.eject(tg, reason)
	if tg.Kind == configuration.PoolEngine && (reason == target.ReasonPollsUnanswered || reason == target.ReasonHang) {
		tg.Unresponsive = true
		e.handleTargetDeath(tg, tg.Report.Incarnation)
	}
}

// handleRefusedPoll treats a target that refuses connections as dead until it
// reports again.
func (e *Entry) handleRefusedPoll(tg *target.Target) {
	if tg.NotListening {
		return
	}
	tg.NotListening = true
	e.eject(tg, target.ReasonDied)
	e.handleTargetDeath(tg, tg.Report.Incarnation)
}

// recordAlive records that a target reported. One that was dead or restarted
// returns to use.
func (e *Entry) recordAlive(tg *target.Target, restarted bool) {
	tg.RecordPollAnswer()
	tg.Unresponsive = false
	tg.ReportsUntilTrusted = max(0, tg.ReportsUntilTrusted-1)
	if tg.ReportsUntilTrusted > 0 {
		e.emit(Poll{Target: tg.Name, Address: tg.Address})
	}
	if tg.NotListening || restarted {
		tg.NotListening = false
		tg.BeginSlowStart(e.now)
		e.incrementCounter(CounterReturns, string(target.ReasonDied))
		e.scheduleSlowStartUpdate(tg)
	}
}

// eject takes a target out of use and schedules its return.
func (e *Entry) eject(tg *target.Target, reason target.Reason) {
	backoff := e.targets.Eject(tg, reason)
	if backoff == 0 {
		return
	}
	e.incrementCounter(CounterEjections, string(reason))
	e.emit(Log{Event: "target-ejected", Pairs: []string{"target", tg.Name, "reason", string(reason), "for", backoff.String()}})
	e.scheduleAfter(backoff, func() { e.returnTarget(tg) })
}

// returnTarget ends an ejection after its backoff. A target that is known to be
// dead stays out until it reports again.
func (e *Entry) returnTarget(tg *target.Target) {
	if e.targets.Get(tg.Name) != tg || !tg.Ejected() || tg.NotListening {
		return
	}
	tg.BeginSlowStart(e.now)
	e.incrementCounter(CounterReturns, "")
	e.emit(Log{Event: "target-returned", Pairs: []string{"target", tg.Name}})
	e.scheduleSlowStartUpdate(tg)
}

// scheduleSlowStartUpdate raises the share of a returned target step by step.
func (e *Entry) scheduleSlowStartUpdate(tg *target.Target) {
	e.scheduleAfter(rampInterval, func() {
		if tg.UpdateSlowStart(e.now) {
			e.scheduleSlowStartUpdate(tg)
		}
	})
}
