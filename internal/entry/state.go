package entry

import (
	"strconv"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/store"
	"github.com/medlardeck/medlardeck/internal/target"
)

// adoptAccepted takes a configuration that was handed in whole.
func (e *Entry) adoptAccepted(acc configuration.Accepted) {
	if acc.Revision <= e.accepted.Revision {
		return
	}
	next, err := configuration.NewSnapshot(acc)
	if err != nil {
		e.emit(Log{Event: "configuration-unreadable", Pairs: []string{"error", err.Error()}})
		return
	}
	e.spread.replica.Offer(next)
	e.adopt(acc)
}

// adopt puts a configuration in force if its revision is newer.
func (e *Entry) adopt(acc configuration.Accepted) {
	if acc.Revision <= e.accepted.Revision {
		return
	}
	serving, old := acc.Intent.Serving, e.accepted.Intent.Serving
	if serving.Policy != old.Policy || serving.Measure != old.Measure || e.accepted.Revision == 0 {
		e.policy = e.newPolicy(serving)
	}
	e.accepted = acc
	e.index = configuration.NewIndex(&e.accepted.Intent)
	e.targets.Adopt(&e.accepted.Intent, target.Chooser{Instance: e.opts.Name, FailureDomain: e.opts.FailureDomain})
	e.applyPriorities()
	e.pollEngines()
	e.startOrders()
	e.adoptDrain()
	e.emit(Log{Event: "configuration-adopted", Pairs: []string{"revision", strconv.FormatInt(int64(acc.Revision), 10)}})
	e.emit(Adopted{Revision: acc.Revision})
}

// Index returns the look-ups of the configuration in force.
func (e *Entry) Index() configuration.Index { return e.index }

// Ready reports whether the entry takes new work.
func (e *Entry) Ready() bool { return e.accepted.Revision > 0 && !e.stopping && !e.drained }

// Revision returns the configuration revision in force, zero for none.
func (e *Entry) Revision() configuration.Revision { return e.accepted.Revision }

func (e *Entry) reported(ev Reported) {
	e.polled(ev.Target)
	tg := e.targets.Get(ev.Target)
	if tg == nil {
		return
	}
	old := tg.Report.Incarnation
	restarted := old != 0 && old != ev.Report.Incarnation
	if !e.targets.SetReport(e.now, tg, ev.Report) {
		return
	}
	if restarted {
		e.handleTargetDeath(tg, old)
	}
	e.alive(tg, restarted)
	e.inquiryReported(tg)
}

func (e *Entry) reportFailed(ev ReportFailed) {
	e.polled(ev.Target)
	tg := e.targets.Get(ev.Target)
	if tg == nil {
		return
	}
	if ev.Refused {
		e.refusedPoll(tg)
		return
	}
	tg.Unanswered()
	e.judge(tg)
}

// store calls the platform's store and hands the reply to fn.
func (e *Entry) store(call store.Call, fn func(store.Reply)) {
	e.lastCallID++
	id := e.lastCallID
	e.storeCalls[id] = func(r StoreReply) { fn(r.Reply) }
	e.emit(StoreCall{ID: id, Call: call})
}

func (e *Entry) storeReply(ev StoreReply) {
	fn := e.storeCalls[ev.ID]
	if fn == nil {
		return
	}
	delete(e.storeCalls, ev.ID)
	fn(ev)
}

// stop begins a planned stop: not ready at once, no new work after the lag, all
// in flight ends by itself.
func (e *Entry) stop() {
	if e.stopping {
		return
	}
	e.stopping = true
	e.members.SetLeaving(true)
	if e.opts.StopLag == 0 {
		e.refusingWork = true
		return
	}
	e.scheduleAfter(e.opts.StopLag, func() { e.refusingWork = true })
}

func (e *Entry) checkStopped() {
	if !e.refusingWork || e.stopped || len(e.requests) > 0 || !e.ordersDone() || !e.flushClaims() {
		return
	}
	e.stopped = true
	e.emit(Stopped{})
}

// Reporting returns the number of targets that have reported.
func (e *Entry) Reporting() int {
	count := 0
	e.targets.All(func(tg *target.Target) {
		if tg.Report.Sequence > 0 {
			count++
		}
	})
	return count
}
