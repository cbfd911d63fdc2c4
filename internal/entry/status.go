package entry

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/booking"
	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Status is what one entry instance knows of the whole deployment.
type Status struct {
	Instance      string                 `json:"instance"`
	FailureDomain string                 `json:"failure_domain"`
	Revision      configuration.Revision `json:"revision"`
	PlanID        string                 `json:"plan_id,omitempty"`
	Stopping      bool                   `json:"stopping,omitempty"`
	Gateway       bool                   `json:"gateway,omitempty"`
	// Instances are all known entry instances with their last known revision.
	Instances []InstanceStatus `json:"instances"`
	Targets   []TargetStatus   `json:"targets"`
	Store     StoreStatus      `json:"store"`
	Alarms    []string         `json:"alarms,omitempty"`
	// Refusals counts refusals of this instance by result code name.
	Refusals map[string]int64 `json:"refusals,omitempty"`
	// Quarantined are the fingerprints of requests that crashed targets.
	Quarantined []string `json:"quarantined,omitempty"`
	// Writer is the fencing number under which this instance sends orders to
	// targets; zero if it is not the writer.
	Writer uint64 `json:"writer,omitempty"`
	// Claims describes the claims that this instance knows.
	Claims booking.Stats `json:"claims"`
	// Requests is the number of requests in progress at this instance.
	Requests int `json:"requests"`
}

// InstanceStatus is one entry instance as this instance sees it.
type InstanceStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// State is "alive", "suspect", "dead", or "listed" for an instance that is
	// known from the platform's list only.
	State    string                 `json:"state"`
	Leaving  bool                   `json:"leaving,omitempty"`
	Revision configuration.Revision `json:"revision"`
	// Heard is the age of what is known of the instance.
	Heard time.Duration `json:"heard_ns"`
}

// TargetStatus is one target as this instance sees it.
type TargetStatus struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	FailureDomain string `json:"failure_domain"`
	// State is "up", "leaving", "dead", "ejected", "isolated" for a target that is
	// kept free for a suspect, "doubted" for one that has to prove that it is
	// alive, or "returning" while it gets less than its full share.
	State string `json:"state"`
	// Outstanding counts this instance's attempts in flight.
	Outstanding int `json:"outstanding"`
}

// StoreStatus is the health of the platform's store as this instance sees it.
type StoreStatus struct {
	// Answering is false after a call without a usable answer. Instances that are
	// not gateways call rarely, so their value may be old.
	Answering bool `json:"answering"`
	// LastAnswer is the age of the last answer.
	LastAnswer time.Duration `json:"last_answer_ns"`
}

func (e *Entry) status() Status {
	s := Status{
		Instance: e.opts.Name, FailureDomain: e.opts.FailureDomain, Revision: e.accepted.Revision, PlanID: e.accepted.PlanID,
		Stopping: e.stopping, Gateway: e.members.IsGateway(), Requests: len(e.requests),
		Store:  StoreStatus{Answering: e.configSync.storeAnswering, LastAnswer: e.now - e.configSync.lastAnswerAt},
		Alarms: slices.Sorted(maps.Keys(e.configSync.alarms)), Refusals: maps.Clone(e.refusalCounts), Claims: e.ClaimStats(),
	}
	if fence, ok := e.orders.holder.FenceIfHeld(e.now, 0); ok {
		s.Writer = fence
	}
	for _, f := range e.Suspects() {
		if f.Quarantined {
			s.Quarantined = append(s.Quarantined, strconv.FormatUint(uint64(f.Fingerprint), 16))
		}
	}
	for _, f := range e.members.All() {
		s.Instances = append(s.Instances, e.instanceStatus(f))
	}
	e.targets.ForEach(func(tg *target.Target) {
		s.Targets = append(s.Targets, TargetStatus{
			Name: tg.Name, Pool: tg.Pool, FailureDomain: tg.FailureDomain, State: targetState(tg), Outstanding: tg.Outstanding,
		})
	})
	return s
}

func (e *Entry) instanceStatus(f membership.Fact) InstanceStatus {
	rev := configuration.Revision(f.Revision)
	if f.Name == e.opts.Name {
		rev = e.accepted.Revision
	}
	state := f.State.String()
	ago, heard := e.members.LastFactAge(e.now, f.Name)
	if !heard && f.State == membership.Alive {
		state = "listed"
	}
	return InstanceStatus{
		Name: f.Name, FailureDomain: f.FailureDomain, Address: f.Address, State: state, Leaving: f.Leaving,
		Revision: rev, Heard: ago,
	}
}

func targetState(tg *target.Target) string {
	switch {
	case tg.Leaving():
		return "leaving"
	case tg.NotListening:
		return "dead"
	case tg.Ejected():
		return "ejected"
	case tg.Isolated:
		return "isolated"
	case tg.ReportsUntilTrusted > 0:
		return "doubted"
	case tg.LoadShare() < 1:
		return "returning"
	}
	return "up"
}
