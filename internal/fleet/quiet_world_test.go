package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

const (
	// quietSlack is the time after an answer in which further requests of the instance
	// that got it may reach the target. maxLateArrivals is how many may come later.
	quietSlack      = 500 * time.Millisecond
	maxLateArrivals = 2
	// worldQueue is the number of requests beyond its slots that a target lets wait.
	worldQueue = 4
)

// askForQuiet answers a run that its target turns away, and reports whether it does so.
func (run *worldRun) askForQuiet() bool {
	if run.target.turnAway == nil {
		return false
	}
	period := run.target.turnAway(run)
	if period == 0 {
		return false
	}
	in, target := run.instance, run.target
	in.world.after(worldHop, func() {
		in.step(QuietRequested{Target: target.Target, Attempt: run.attempt, Quiet: QuietRequest{Period: period}})
	})
	run.report(OutcomeNotRun)
	return true
}

// quietSpan is a time in which a target wants no requests from an instance.
type quietSpan struct {
	target      *worldTarget
	instance    string
	from, until time.Duration
}

// turnAwayWhen lets a target turn requests away while the condition holds, and records
// the times that it asks for in the list.
func (w *fleetWorld) turnAwayWhen(target *worldTarget, spans *[]quietSpan, condition func() bool, period func() time.Duration) {
	target.turnAway = func(run *worldRun) time.Duration {
		if !condition() {
			return 0
		}
		p := period()
		*spans = append(*spans, quietSpan{target, run.instance.name, w.now, w.now + p})
		return p
	}
}

// randomPeriod returns a time between a half and three seconds.
func (w *fleetWorld) randomPeriod() time.Duration {
	return 500*time.Millisecond + time.Duration(w.rng.Int64N(int64(2500*time.Millisecond)))
}

// during returns a condition that holds between two times.
func (w *fleetWorld) during(from, to time.Duration) func() bool {
	return func() bool { return w.now >= from && w.now < to }
}

// returnRefused lets callers that are refused come back to any instance, after the time
// that they are told.
func (w *fleetWorld) returnRefused(end time.Duration) {
	returned := make(map[*worldRequest]bool)
	w.repeat(10*time.Millisecond, end, func() {
		for _, r := range w.requests {
			if r.finish == nil || returned[r] || r.finish.Code.Family() != result.FamilyRefused {
				continue
			}
			returned[r] = true
			w.after(r.finish.RetryAfter, func() { w.anyInstance().submit(r.route, r.prompt, r.parts...) })
		}
	})
}

// checkQuiet checks that in each of the times at most maxLateArrivals requests and parts
// of the instance reached the target later than quietSlack after the answer.
func (w *fleetWorld) checkQuiet(seed uint64, spans []quietSpan) {
	w.t.Helper()
	must.SliceNotEmpty(w.t, spans)
	for _, span := range spans {
		late := 0
		for i, at := range span.target.arrivals {
			if span.target.arrivedFrom[i] == span.instance && at > span.from+quietSlack && at < span.until {
				late++
			}
		}
		must.LessEq(w.t, maxLateArrivals, late, must.Sprintf("seed %d: %s at %s, asked at %v until %v", seed, span.instance, span.target.ID, span.from, span.until))
	}
}

// One target turns all instances away for a while, with times that overlap and come out
// of order: each instance keeps away, and the requests go to the other targets.
func TestQuietOfOneTargetHoldsAtAllInstances(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := newFleetWorld(t, 1500+seed, 6, 9)
		var spans []quietSpan
		w.turnAwayWhen(w.targets[0], &spans, w.during(5*time.Second, 20*time.Second), w.randomPeriod)
		w.sendSoundRequests(40, 30*time.Second)
		w.runUntil(34 * time.Second)
		w.checkQuiet(seed, spans)
		for _, r := range w.requests {
			must.Eq(t, "complete", r.finish.Code.String(), must.Sprintf("seed %d", seed))
		}
		must.GreaterEq(t, 1, w.arrivalRate(0, 28*time.Second, 30*time.Second), must.Sprintf("seed %d: not used again", seed))
	}
}

// Instances freeze while a target wants quiet, and one needs long until it writes a
// request: requests that were on their way reached the target late in the quiet time.
func TestQuietHoldsAtFrozenAndSlowInstances(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := newFleetWorld(t, 1600+seed, 6, 6)
		var spans []quietSpan
		for _, target := range w.targets[:2] {
			w.turnAwayWhen(target, &spans, w.during(5*time.Second, 20*time.Second), w.randomPeriod)
		}
		w.instances[3].sendDelay = 900 * time.Millisecond
		for i := range 12 {
			w.after(5*time.Second+time.Duration(i)*1200*time.Millisecond, func() {
				w.instances[i%3].frozenUntil = w.now + 800*time.Millisecond
			})
		}
		w.sendSoundRequests(45, 22*time.Second)
		w.runUntil(25 * time.Second)
		w.checkQuiet(seed, spans)
	}
}

// All targets of a service want quiet: callers are refused at once. Those that come back
// do not make a target ask again, nor fill half of its slots within a second.
func TestQuietOfAllTargetsRefusesAndRampsUp(t *testing.T) {
	t.Parallel()
	const begin, end = 5 * time.Second, 7 * time.Second
	for seed := range uint64(4) {
		w := newFleetWorld(t, 1700+seed, 6, 4)
		var spans []quietSpan
		for _, target := range w.targets {
			overloaded := func() bool { return len(target.runs) > target.Slots+worldQueue }
			w.turnAwayWhen(target, &spans, overloaded, func() time.Duration { return time.Second })
		}
		w.after(begin, func() {
			for _, target := range w.targets {
				for _, in := range w.instances {
					in.step(QuietRequested{Target: target.Target, Quiet: QuietRequest{Period: end - begin}})
					spans = append(spans, quietSpan{target, in.name, begin, end})
				}
			}
		})
		w.sendSoundRequests(30, 30*time.Second)
		w.returnRefused(30 * time.Second)
		w.runUntil(32 * time.Second)
		w.checkQuiet(seed, spans)
		must.SliceLen(t, len(w.targets)*len(w.instances), spans, must.Sprintf("seed %d: a target asks again", seed))
		refused := 0
		for _, r := range w.requests {
			if r.sentAt >= begin && r.sentAt < end-maxQuietWait {
				must.Eq(t, result.FamilyRefused, r.finish.Code.Family(), must.Sprintf("seed %d", seed))
				must.Eq(t, r.sentAt, r.endedAt, must.Sprintf("seed %d", seed))
				must.Greater(t, 0, r.finish.RetryAfter)
				refused++
			}
		}
		must.Greater(t, 30, refused)
		for i, target := range w.targets {
			must.LessEq(t, float64(target.Slots)/2, w.arrivalRate(i, end, end+time.Second), must.Sprintf("seed %d", seed))
		}
		must.GreaterEq(t, 0.9, w.beganShare(20*time.Second, 29*time.Second, func(*worldRequest) bool { return true }), must.Sprintf("seed %d", seed))
	}
}

// In a large fleet, instances that do not know all loads at a target are asked for the
// same end: none of them sends before it, and together they do not make it ask again.
func TestQuietHoldsAtManyInstances(t *testing.T) {
	t.Parallel()
	const begin, end = 4 * time.Second, 8 * time.Second
	w := newFleetWorld(t, 1800, 45, 12)
	var spans []quietSpan
	target := w.targets[0]
	overloaded := func() bool { return w.now >= begin && w.now < end || len(target.runs) > target.Slots+worldQueue }
	w.turnAwayWhen(target, &spans, overloaded, func() time.Duration { return max(end-w.now, time.Second) })
	w.sendSoundRequests(125, 18*time.Second)
	w.runUntil(20 * time.Second)
	w.checkQuiet(1800, spans)
	asked := make(map[string]bool)
	for _, span := range spans {
		must.Less(t, end, span.from) // none asks again
		asked[span.instance] = true
	}
	must.Greater(t, 10, len(asked))
	must.GreaterEq(t, 1, w.arrivalRate(0, 14*time.Second, 18*time.Second))
}
