package entry

import (
	"net/http"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Counters of targets taken out of use and returned.
const (
	CounterEjections = "target_ejections"
	CounterReturns   = "target_returns"
)

// Steps of the health timers.
const (
	judgeInterval = time.Second
	rampInterval  = target.SlowStart / 30
)

// attemptHealth records what the end of an attempt says of its target.
func (e *Entry) attemptHealth(tg *target.Target, ev AttemptEnd) {
	switch {
	case tg == nil:
		return
	case ev.End == EndComplete, ev.End == EndCallerSlow, ev.End == EndTooLarge:
		tg.Succeeded(e.now)
	case ev.End == EndError && ev.Status < http.StatusInternalServerError:
		tg.Progressed(e.now) // the request's own fault
	case ev.End == EndNotRun && ev.Status == http.StatusNotFound:
		tg.Progressed(e.now) // its model is not loaded yet
	default:
		tg.Failed(e.now)
	}
	e.judge(tg)
}

// occupy watches a target from its first attempt on, while it has any.
func (e *Entry) occupy(tg *target.Target) {
	if tg.Outstanding == 1 {
		tg.BusySince = e.now
	}
	if !e.healthWatched[tg.Name] {
		e.healthWatched[tg.Name] = true
		e.watchHealth(tg)
	}
}

// watchHealth judges a target with work in flight until it has none.
func (e *Entry) watchHealth(tg *target.Target) {
	e.scheduleAfter(judgeInterval, func() {
		if e.targets.Get(tg.Name) != tg || tg.Outstanding == 0 {
			delete(e.healthWatched, tg.Name)
			return
		}
		e.judge(tg)
		e.watchHealth(tg)
	})
}

func (e *Entry) judge(tg *target.Target) {
	reason := e.targets.Judge(tg, e.now)
	if reason == target.ReasonNone {
		return
	}
	e.eject(tg, reason)
	if tg.Kind == configuration.PoolEngine && (reason == target.ReasonUnreported || reason == target.ReasonHang) {
		tg.Lost = true
		e.handleTargetDeath(tg, tg.Report.Incarnation)
	}
}

// refusedPoll takes a target that refuses connections out of use until it
// reports again.
func (e *Entry) refusedPoll(tg *target.Target) {
	if tg.Dead {
		return
	}
	tg.Dead = true
	e.eject(tg, target.ReasonDied)
	e.handleTargetDeath(tg, tg.Report.Incarnation)
}

// alive records that a target reported, under the same or a new incarnation.
func (e *Entry) alive(tg *target.Target, restarted bool) {
	tg.Answered()
	tg.Lost = false
	tg.Doubts = max(0, tg.Doubts-1)
	if tg.Doubts > 0 {
		e.emit(Poll{Target: tg.Name, Address: tg.Address})
	}
	if tg.Dead || restarted {
		tg.Dead = false
		tg.Return(e.now)
		e.incrementCounter(CounterReturns, string(target.ReasonDied))
		e.ramp(tg)
	}
}

// eject takes a target out of use and plans its return.
func (e *Entry) eject(tg *target.Target, reason target.Reason) {
	backoff := e.targets.Eject(tg, reason)
	if backoff == 0 {
		return
	}
	e.incrementCounter(CounterEjections, string(reason))
	e.emit(Log{Event: "target-ejected", Pairs: []string{"target", tg.Name, "reason", string(reason), "for", backoff.String()}})
	e.scheduleAfter(backoff, func() { e.returnTarget(tg) })
}

// returnTarget ends an ejection. A target known to be dead stays out until it
// reports again.
func (e *Entry) returnTarget(tg *target.Target) {
	if e.targets.Get(tg.Name) != tg || !tg.Ejected() || tg.Dead {
		return
	}
	tg.Return(e.now)
	e.incrementCounter(CounterReturns, "")
	e.emit(Log{Event: "target-returned", Pairs: []string{"target", tg.Name}})
	e.ramp(tg)
}

func (e *Entry) ramp(tg *target.Target) {
	e.scheduleAfter(rampInterval, func() {
		if tg.Ramp(e.now) {
			e.ramp(tg)
		}
	})
}
