package fleet

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

func (c *Core) progress(ev Progress) {
	a := c.attempts[ev.Attempt]
	if a == nil {
		return
	}
	if a.begun {
		a.longestPause = max(a.longestPause, c.now-a.lastAt)
	} else {
		a.firstAt = c.now - a.arrivedAt
		c.emit(Observe{"first_event_seconds", a.arrive.Route.Name, a.firstAt})
	}
	a.begun, a.lastAt = true, c.now
	a.target.aliveAt = c.now
	if ev.EventID != "" {
		a.lastID = ev.EventID
	}
	a.stallAt = c.now + c.pausePatience(a)
	if a.fresh {
		return
	}
	a.fresh = true
	c.learnFirstEvent(a)
	c.succeeded(a.target)
	c.log("first-event", "request", a.arrive.ID, "attempt", ev.Attempt, "after_ms", int(ms(c.now-a.sentAt)))
	for _, pl := range a.flights {
		pl.runner.aliveAt = c.now
		pl.runner.firstEvent(c.now, pl.flight)
		c.outbox.gossip.Begun = append(c.outbox.gossip.Begun, pl.flight.Key)
	}
	c.shareSoon()
}

// pausePatience is the longest pause after which a target counts as silent.
func (c *Core) pausePatience(a *active) time.Duration {
	return max(stallBase, time.Duration(stallFactor*float64(a.arrive.Route.MaxPause)))
}

// watch looks for a silent target at the times it should have sent something.
func (c *Core) watch(a *active, id AttemptID, wait time.Duration) {
	if !a.arrive.Route.Repeatable() {
		return
	}
	c.after(wait, func() {
		if a.attempt != id {
			return
		}
		due := a.stallAt
		if c.engine(a) != nil {
			// A target that serves others is late, not silent: what it has read
			// for this request would be lost elsewhere.
			due = max(due, a.target.aliveAt+c.silence(a))
			if p := a.arrive.Route.CallerPatience; a.begun && p > 0 {
				due = min(due, a.lastAt+time.Duration(patienceShare*float64(p)))
			}
		}
		if c.now < due {
			c.watch(a, id, due-c.now)
			return
		}
		c.stalled(a)
	})
}

// silence is how long a target may send nothing to anyone: while it reads what
// waits there, or runs one pass if it writes for this request.
func (c *Core) silence(a *active) time.Duration {
	if a.fresh {
		a.target.advance(c.now)
		return stallBase + fromMS(a.target.loadOf(c.engine(a)).worstPass)
	}
	pending := float64(0)
	for _, f := range a.target.flights {
		if !f.begun {
			pending += f.ReadMS
		}
	}
	return stallBase + fromMS(pending)
}

func (c *Core) stalled(a *active) {
	if a.ran+1 >= a.arrive.Route.MaxAttempts || len(c.candidates(a)) == 0 {
		return
	}
	c.log("target-silent", "request", a.arrive.ID, "attempt", a.attempt, "target", a.target.ID,
		"silent_ms", int(ms(c.now-a.lastAt)), "alive_ms_ago", int(ms(c.now-a.target.aliveAt)))
	c.emit(Cancel{Attempt: a.attempt})
	c.failedTarget(a, true)
	c.vacate(a)
	a.ran++
	c.again(a, "silent")
}

func (c *Core) failedTarget(a *active, severe bool) {
	weight := 1.0
	if !severe {
		weight = 0.5
	}
	a.tried = append(a.tried, a.target.ID)
	a.target.health.failed(c.now, weight, severe)
	if severe {
		c.outbox.gossip.Failed = append(c.outbox.gossip.Failed, a.target.ID)
		c.shareSoon()
	}
}

func (c *Core) attemptEnd(ev AttemptEnd) {
	a := c.attempts[ev.Attempt]
	if a == nil {
		c.count("answers_dropped", "late-end")
		return
	}
	target := a.target
	a.last = ev
	if ev.End != EndComplete {
		c.log("attempt-ended", "request", a.arrive.ID, "attempt", ev.Attempt, "target", target.ID,
			"end", ev.End.String(), "status", ev.Status, "cause", ev.Cause, "culprit", ev.Culprit,
			"after_ms", int(ms(c.now-a.sentAt)))
		c.count("attempts_ended", ev.End.String())
	}
	switch ev.End {
	case EndComplete:
		c.succeeded(target)
		c.vacate(a)
		c.finish(a, Finish{Code: result.Complete, PassOn: true})
	case EndFailed:
		c.failedTarget(a, false)
		c.vacate(a)
		a.ran++
		a.answered = true
		c.again(a, "failed")
	case EndNotConnected:
		c.failedTarget(a, true)
		a.cutFrom = target.Domain
		c.vacate(a)
		c.domainFailed(target)
		a.unsent++
		c.again(a, "not-connected")
	case EndNotRun, EndMisdirected:
		c.notRun(a, ev)
	case EndBroken:
		c.failedTarget(a, true)
		c.vacate(a)
		a.ran++
		c.ranBroken(a.arrive.Fingerprint)
		c.outbox.gossip.Suspects = append(c.outbox.gossip.Suspects, a.arrive.Fingerprint)
		c.again(a, "broken")
	case EndCallerGone:
		c.vacate(a)
		a.ran++
		c.finish(a, Finish{Code: result.CallerGone})
	}
}

// notRun goes on after a target said that it did not run the request.
func (c *Core) notRun(a *active, ev AttemptEnd) {
	a.tried = append(a.tried, a.target.ID)
	culprit := a.target
	if ev.Culprit != "" && ev.Culprit != a.target.Address {
		for _, pl := range a.flights {
			if pl.runner.Address == ev.Culprit {
				culprit = pl.runner
			}
		}
	}
	if ev.End == EndMisdirected {
		culprit.gone = true
		c.log("target-gone", "target", culprit.ID, "why", "address-reused")
	} else {
		culprit.health.failed(c.now, 1, culprit != a.target)
	}
	c.vacate(a)
	a.unsent++
	c.again(a, ev.End.String())
}
