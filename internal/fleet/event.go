package fleet

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// RequestID identifies a request within one entry instance.
type RequestID uint64

// AttemptID identifies an attempt within one entry instance.
type AttemptID uint64

// Event is one input of Core.Step.
type Event interface{ fleetEvent() }

// Effect is one action that the caller of Core.Step has to carry out.
type Effect interface{ fleetEffect() }

// Configure delivers a version of the configuration. A version that is not newer
// than the one in force is ignored.
type Configure struct{ Config *Config }

// State is the state of a target as the platform lists it.
type State uint8

// States of a target.
const (
	// Ready targets accept requests.
	Ready State = iota
	// Draining targets finish their requests and get no new ones.
	Draining
)

// Target is one incarnation of a target as the platform lists it.
type Target struct {
	ID      string
	Service string
	Address string
	Domain  string // failure domain
	Slots   int
	State   State
	// StartedMS is the Unix time of its start in milliseconds: the same id with
	// another start time is another incarnation.
	StartedMS int64
}

// TargetListed reports that the platform lists a new or changed target.
type TargetListed struct{ Target Target }

// TargetRemoved reports that the platform no longer lists a target.
type TargetRemoved struct{ ID string }

// TargetList delivers the platform's whole list of targets; targets that it lacks
// are removed.
type TargetList struct{ Targets []Target }

// StoreSeen reports whether the platform's store is reachable from this instance.
type StoreSeen struct{ Reachable bool }

// Arrive reports that a caller's request has been received in full.
type Arrive struct {
	Request  RequestID
	ID       string // the caller's request id, for the log
	Route    *Route
	Config   *Config
	Caller   *Workspace // nil on anonymous routes
	Deadline time.Duration
	// PromptTokens and MaxAnswerTokens are the counts that the caller states; zero
	// for requests to services without an engine.
	PromptTokens, MaxAnswerTokens int
	// ResumeAfter is the id of the last event that the caller has received, empty
	// for none.
	ResumeAfter string
	// Fingerprint is a hash of route, caller and body.
	Fingerprint uint64
}

// Progress reports that a whole event of the answer was forwarded to the caller.
type Progress struct {
	Attempt AttemptID
	EventID string
}

// End is the way in which an attempt ended, as far as it is known.
type End uint8

// Ends of an attempt.
const (
	// EndComplete means that the whole answer arrived and is being forwarded.
	EndComplete End = iota
	// EndFailed means that the target answered with a failure after a run.
	EndFailed
	// EndNotConnected means that nothing was sent.
	EndNotConnected
	// EndNotRun means that the target answered that it did not run the request.
	EndNotRun
	// EndMisdirected means that the address now belongs to another target.
	EndMisdirected
	// EndBroken means that the connection failed after the request was sent.
	EndBroken
	// EndCallerGone means that the caller's connection failed during the attempt.
	EndCallerGone
)

var endNames = [...]string{"complete", "failed", "not-connected", "not-run", "misdirected", "broken", "caller-gone"}

func (e End) String() string { return endNames[e] }

// AttemptEnd reports how an attempt ended.
type AttemptEnd struct {
	Attempt AttemptID
	End     End
	Status  int    // HTTP status of the target's answer, zero for none
	Cause   string // for the log
	// Culprit is the address of the target that caused the failure, if the answer
	// names one; it may be a helper.
	Culprit string
}

// CallerLeft reports that the caller closed its connection.
type CallerLeft struct{ Request RequestID }

// PeerLoad delivers a gossip message from a peer.
type PeerLoad struct {
	From   string
	Gossip Gossip
}

// Reserved delivers a target's reply to Reserve.
type Reserved struct {
	Request RequestID
	Target  string
	// Granted says that the target has reserved the memory.
	Granted bool
	Cause   string
}

// Tick only advances the time, to run the timers that are due.
type Tick struct{}

// Stop begins a planned stop: the instance no longer reports itself as ready.
type Stop struct {
	// Lag is the time that the load balancer may take to notice. Requests that
	// arrive later are admitted only if they are expected to end before Grace does.
	Lag time.Duration
	// Grace is the time by which all requests have to have ended.
	Grace time.Duration
}

// Helper is a target that prefills a part of a split prompt.
type Helper struct {
	Target, Address string
	// Ticket identifies the memory reserved for the part; empty for none.
	Ticket string
}

// Send sends the request to a target.
type Send struct {
	Request  RequestID
	Attempt  AttemptID
	Target   Target
	Deadline time.Duration
	// ResumeAfter is the id of the last event that the caller has received.
	ResumeAfter string
	// Urgency is the order of admission at the target, from 0 (first) to 9 (last).
	Urgency int
	Helpers []Helper
	// Workspace is the name of the caller's workspace, which is passed to the target;
	// empty on anonymous routes.
	Workspace string
	// FreshConnection forbids the reuse of a connection: if a reused one broke, it
	// would be unknown whether the request ran.
	FreshConnection bool
}

// Cancel aborts an attempt; later events of the attempt are ignored.
type Cancel struct{ Attempt AttemptID }

// Finish ends a request. There is exactly one for each Arrive.
type Finish struct {
	Request RequestID
	// Code says how the request ended. A code of the refused family means that the
	// request has not run and never will.
	Code result.Code
	// PassOn says that the answer of the last attempt is forwarded to the caller.
	PassOn bool
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
}

// Reserve asks a target to reserve memory for Tokens tokens under a ticket, for the
// time of Hold. Repeating it renews the reservation.
type Reserve struct {
	Request RequestID
	Target  Target
	Ticket  string
	Tokens  int
	Hold    time.Duration
}

// Release ends the reservation of a ticket at a target.
type Release struct {
	Target Target
	Ticket string
}

// Share sends a gossip message to the peers.
type Share struct{ Gossip Gossip }

// Count adds one to the counter with the given reason label.
type Count struct{ Counter, Reason string }

// Observe records a time in the histogram with the given route label.
type Observe struct {
	Histogram, Route string
	Value            time.Duration
}

// Log writes one structured log event; Pairs alternate keys and values.
type Log struct {
	Event string
	Pairs []any
}

func (Configure) fleetEvent()     {}
func (TargetListed) fleetEvent()  {}
func (TargetRemoved) fleetEvent() {}
func (TargetList) fleetEvent()    {}
func (StoreSeen) fleetEvent()     {}
func (Arrive) fleetEvent()        {}
func (Progress) fleetEvent()      {}
func (AttemptEnd) fleetEvent()    {}
func (CallerLeft) fleetEvent()    {}
func (PeerLoad) fleetEvent()      {}
func (Reserved) fleetEvent()      {}
func (Tick) fleetEvent()          {}
func (Stop) fleetEvent()          {}

func (Send) fleetEffect()    {}
func (Cancel) fleetEffect()  {}
func (Finish) fleetEffect()  {}
func (Reserve) fleetEffect() {}
func (Release) fleetEffect() {}
func (Share) fleetEffect()   {}
func (Count) fleetEffect()   {}
func (Observe) fleetEffect() {}
func (Log) fleetEffect()     {}
