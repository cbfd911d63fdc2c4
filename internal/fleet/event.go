package fleet

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// RequestID identifies a request within one entry instance.
type RequestID uint64

// AttemptID identifies an attempt within one entry instance.
type AttemptID uint64

// Event is one input of the decisions.
type Event interface{ fleetEvent() }

// Effect is one thing for the rim to do.
type Effect interface{ fleetEffect() }

// Configure hands over a version of the configuration; older ones are ignored.
type Configure struct{ Config *Config }

// State is what the platform's list says of a target.
type State uint8

// States of a target.
const (
	Ready State = iota
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
	// StartedMS is the Unix time of its start in milliseconds: an equal id with
	// another start is another incarnation.
	StartedMS int64
}

// TargetListed says that the platform lists a target, new or changed.
type TargetListed struct{ Target Target }

// TargetRemoved says that the platform no longer lists a target.
type TargetRemoved struct{ ID string }

// TargetList is the platform's whole list at one time.
type TargetList struct{ Targets []Target }

// StoreSeen says whether the platform's store answers this instance.
type StoreSeen struct{ Reachable bool }

// Arrive says that a caller's request was read.
type Arrive struct {
	Request  RequestID
	ID       string // the caller's id of the request, for the log
	Route    *Route
	Config   *Config
	Caller   *Workspace // nil on anonymous routes
	Deadline time.Duration
	// PromptTokens and MaxAnswerTokens are the caller's counts; zero for a plain
	// request.
	PromptTokens, MaxAnswerTokens int
	// ResumeAfter is the id of the last event that the caller has, empty for none.
	ResumeAfter string
	// Fingerprint is a hash of route, caller and body.
	Fingerprint uint64
}

// Progress says that a whole event of the answer was handed to the caller.
type Progress struct {
	Attempt AttemptID
	EventID string
}

// End says what is known of an attempt that ended.
type End uint8

// Ends of an attempt.
const (
	// EndComplete means that the whole answer arrived and is being handed over.
	EndComplete End = iota
	// EndFailed means that the target answered with a failure after a run.
	EndFailed
	// EndNotConnected means that nothing was sent.
	EndNotConnected
	// EndNotRun means that the target itself said that it did not run it.
	EndNotRun
	// EndMisdirected means that another target has the address.
	EndMisdirected
	// EndBroken means that the connection failed after the request was sent.
	EndBroken
	// EndCallerGone means that the caller's connection failed meanwhile.
	EndCallerGone
)

var endNames = [...]string{"complete", "failed", "not-connected", "not-run", "misdirected", "broken", "caller-gone"}

func (e End) String() string { return endNames[e] }

// AttemptEnd says how an attempt ended.
type AttemptEnd struct {
	Attempt AttemptID
	End     End
	Status  int    // of the target's answer, zero for none
	Cause   string // for the log
	// Culprit is the address of the target at fault where the answer names one.
	Culprit string
}

// CallerLeft says that the caller closed its connection.
type CallerLeft struct{ Request RequestID }

// PeerLoad is a message from a peer.
type PeerLoad struct {
	From   string
	Gossip Gossip
}

// Reserved is the reply to Reserve.
type Reserved struct {
	Request RequestID
	Target  string
	// Granted is true when the memory is set aside.
	Granted bool
	Cause   string
}

// Tick says that time has passed.
type Tick struct{}

// Stop begins a planned stop: the instance is no longer ready.
type Stop struct {
	// Lag is the time in which callers still come because the balancer has not
	// noticed yet; later ones are taken only if they end in time.
	Lag time.Duration
	// Grace is the time until everything has to have ended.
	Grace time.Duration
}

// Helper is a target that reads a part of a prompt.
type Helper struct {
	Target, Address string
	// Ticket names the memory set aside for the part; empty for none.
	Ticket string
}

// Send tells the rim to send the request to a target.
type Send struct {
	Request  RequestID
	Attempt  AttemptID
	Target   Target
	Deadline time.Duration
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
	// Urgency is the order of admission at the target, 0 first to 9.
	Urgency int
	Helpers []Helper
	// Workspace is passed to the target.
	Workspace string
	// FreshConnection forbids a kept connection: a break there would leave it
	// open whether the request ran.
	FreshConnection bool
}

// Cancel tells the rim to close an attempt; nothing more of it counts.
type Cancel struct{ Attempt AttemptID }

// Finish ends a request; there is exactly one for each Arrive.
type Finish struct {
	Request RequestID
	// Code says how it ended. A code of the refused family says that the request
	// has not run and never will.
	Code result.Code
	// PassOn tells the rim to hand over the answer that the last attempt brought.
	PassOn bool
	// RetryAfter is when a refused caller had better come again.
	RetryAfter time.Duration
}

// Reserve tells the rim to set memory aside at a target under a ticket.
type Reserve struct {
	Request RequestID
	Target  Target
	Ticket  string
	Tokens  int
	Hold    time.Duration
}

// Release tells the rim to give memory back.
type Release struct {
	Target Target
	Ticket string
}

// Share tells the rim to pass this instance's state to its peers.
type Share struct{ Gossip Gossip }

// Count adds one to a counter under a reason.
type Count struct{ Counter, Reason string }

// Observe adds a time to a histogram under a route.
type Observe struct {
	Histogram, Route string
	Value            time.Duration
}

// Log is one event for the log; Pairs alternate keys and values.
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
