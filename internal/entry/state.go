package entry

import (
	"strconv"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/store"
	"github.com/medlardeck/medlardeck/internal/target"
)

// handleAdoptConfiguration puts a complete configuration in force that came as an event.
func (e *Entry) handleAdoptConfiguration(acc configuration.Accepted) {
	if acc.Revision <= e.accepted.Revision {
		return
	}
	next, err := configuration.NewSnapshot(acc)
	if err != nil {
		e.emit(Log{Event: "configuration-unreadable", Pairs: []string{"error", err.Error()}})
		return
	}
	e.configSync.replica.Offer(next)
	e.adoptConfiguration(acc)
}

// adoptConfiguration puts a configuration in force if its revision is newer.
func (e *Entry) adoptConfiguration(acc configuration.Accepted) {
	if acc.Revision <= e.accepted.Revision {
		return
	}
	serving, old := acc.Intent.Serving, e.accepted.Intent.Serving
	if serving.Policy != old.Policy || serving.Measure != old.Measure || e.accepted.Revision == 0 {
		e.policy = e.newPolicy(serving)
	}
	e.accepted = acc
	e.configIndex = configuration.NewIndex(&e.accepted.Intent)
	e.targets.ApplyIntent(&e.accepted.Intent, target.CandidateSelector{Instance: e.opts.Name, FailureDomain: e.opts.FailureDomain})
	e.applyPriorities()
	e.resetPolling()
	e.startOrders()
	e.applyDrain()
	e.emit(Log{Event: "configuration-adopted", Pairs: []string{"revision", strconv.FormatInt(int64(acc.Revision), 10)}})
	e.emit(ConfigurationAdopted{Revision: acc.Revision})
}

// Index returns the lookup tables of the configuration in force.
func (e *Entry) Index() configuration.Index { return e.configIndex }

// Ready reports whether the entry accepts new work.
func (e *Entry) Ready() bool { return e.accepted.Revision > 0 && !e.stopping && !e.drained }

// Revision returns the configuration revision in force, zero for none.
func (e *Entry) Revision() configuration.Revision { return e.accepted.Revision }

// handleLoadReported records a load report. A changed incarnation means that the
// target died and restarted.
func (e *Entry) handleLoadReported(ev LoadReported) {
	e.recordPollReply(ev.Target)
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
	e.recordAlive(tg, restarted)
	e.recordInquiryReport(tg)
}

// handlePollFailed records a failed poll. A refused connection means that the
// target is dead.
func (e *Entry) handlePollFailed(ev PollFailed) {
	e.recordPollReply(ev.Target)
	tg := e.targets.Get(ev.Target)
	if tg == nil {
		return
	}
	if ev.Refused {
		e.handleRefusedPoll(tg)
		return
	}
	tg.RecordPollFailure()
	e.checkHealth(tg)
}

// callStore calls the platform's store and passes the reply to fn.
func (e *Entry) callStore(call store.Call, fn func(store.Reply)) {
	e.lastCallID++
	id := e.lastCallID
	e.pendingStoreCalls[id] = func(r StoreReply) { fn(r.Reply) }
	e.emit(StoreCall{ID: id, Call: call})
}

func (e *Entry) handleStoreReply(ev StoreReply) {
	fn := e.pendingStoreCalls[ev.ID]
	if fn == nil {
		return
	}
	delete(e.pendingStoreCalls, ev.ID)
	fn(ev)
}

// ReportingTargets returns the number of targets that have reported.
func (e *Entry) ReportingTargets() int {
	count := 0
	e.targets.ForEach(func(tg *target.Target) {
		if tg.Report.Sequence > 0 {
			count++
		}
	})
	return count
}
