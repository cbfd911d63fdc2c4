package entry

import (
	"github.com/medlardeck/medlardeck/internal/booking"
	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/store"
	"github.com/medlardeck/medlardeck/internal/target"
)

// CounterStoreCalls counts calls of the platform's store by kind and status. The
// store client counts them, not the entry.
const CounterStoreCalls = "store_calls"

// CounterInfo documents one counter: /metrics serves it as
// medlardeck_NAME_total with a label "reason".
type CounterInfo struct {
	Name    string
	Meaning string
	// Reasons are all values of the label; empty for a counter without.
	Reasons []string
}

// Counters returns every counter in the order of the documentation.
func Counters() []CounterInfo {
	return []CounterInfo{
		{CounterRequestsEnded, "requests that ended, by result code", codeNames(result.FamilyComplete, result.FamilyRefused, result.FamilyFailed, result.FamilyUnknown)},
		{CounterRefusals, "requests refused as not run, by result code", codeNames(result.FamilyRefused)},
		{CounterRetries, "further attempts, by what ended the one before", []string{string(OutcomeNotConnected), string(OutcomeNotRun), string(OutcomeBroke), string(target.ReasonDied)}},
		{CounterDroppedAnswers, "late or foreign answers dropped by attempt id", []string{"late-tokens", "late-end"}},
		{CounterJoins, "resends that joined a running request", nil},
		{CounterSuspects, "what happened to requests suspected of ending targets", []string{"held", "lone-run", "lone-group", "cleared", "quarantined"}},
		{CounterGroups, "steps of groups of engines", []string{"started", "waited", string(GroupOK), string(GroupRefused), string(GroupGone), string(GroupUnreached), string(GroupBroke)}},
		{CounterEjections, "targets taken out of use", []string{string(target.ReasonConsecutive), string(target.ReasonErrorShare), string(target.ReasonPollsUnanswered), string(target.ReasonHang), string(target.ReasonDied)}},
		{CounterReturns, "targets returned to use; with a reason, at once", []string{"", string(target.ReasonDied)}},
		{CounterOrders, "orders to targets, by their end", []string{"term", "outran", string(OrderOK), string(OrderStale), string(OrderDenied), string(OrderRefused), string(OrderUnreached), string(OrderUnknown)}},
		{booking.CounterClaims, "claims, by verdict", []string{"late", string(booking.VerdictGranted), string(booking.VerdictRunning), string(booking.VerdictReplayed), string(booking.VerdictNotRepeated), string(booking.VerdictConflict), string(booking.VerdictUnavailable), string(booking.VerdictFull)}},
		{booking.CounterCommits, "writes of claim records, by status", statusNames("")},
		{booking.CounterShards, "events of claim shards", append(statusNames("seal-"), booking.ShardReasons()...)},
		{CounterConfiguration, "configurations offered, by source and judgement", configurationReasons()},
		{CounterOperations, "operators' commands, by outcome", operationReasons()},
		{CounterAlarms, "alarms raised", []string{AlarmStoreBehind, AlarmConflict, "order-" + string(OrderDenied), "order-" + string(OrderRefused)}},
		{CounterPeers, "changes of membership", []string{"joined", "died"}},
		{CounterPeerFailure, "messages to peers that may not have been delivered", []string{"undelivered"}},
		{CounterStoreCalls, "calls of the platform's store, by kind and status", storeCallReasons()},
	}
}

func codeNames(families ...result.Family) []string {
	var names []string
	for _, f := range families {
		for _, c := range result.All() {
			if c.Family() == f {
				names = append(names, c.String())
			}
		}
	}
	return names
}

func statusNames(prefix string) []string {
	var names []string
	for _, s := range store.Statuses() {
		names = append(names, prefix+string(s))
	}
	return names
}

func storeCallReasons() []string {
	var names []string
	for _, op := range store.Ops() {
		names = append(names, statusNames(string(op)+"/")...)
	}
	return names
}

func configurationReasons() []string {
	var names []string
	for _, source := range []string{"store/", "peer/", "confirm/"} {
		for _, j := range configuration.Judgements() {
			names = append(names, source+string(j))
		}
	}
	return append(names, "peer/unfit-delta", "peer/unfit-segments")
}

func operationReasons() []string {
	names := []string{"read", "plan"}
	for _, f := range []CommandFailure{CommandFailureInvalid, CommandFailureUnavailable, CommandFailureBehind, CommandFailureNoPlan, CommandFailureNoRevision} {
		names = append(names, string(f))
	}
	for _, v := range configuration.Verdicts() {
		names = append(names, "confirm-"+string(v))
	}
	return names
}
