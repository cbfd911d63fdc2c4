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
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	State         State
	// StartedMS is the Unix time of its start in milliseconds: the same id with
	// another start time is another incarnation.
	StartedMS int64
	// Outdated says that the platform's store has this entry from the copy that it was
	// restored from: the target may have left since.
	Outdated bool
	// WeightsVersion is the version of the weights of its models, empty if it is not known.
	WeightsVersion string
	// Listed is the position of the entry by which the platform's store named this
	// incarnation first, as far as it is known.
	Listed StorePosition
	// Cold is what the entry says of the target's cold time. Age is the time since the
	// target's start, by the clocks of both, when the entry was read.
	Cold ColdEntry
	Age  time.Duration
}

// TargetListed reports that the platform lists a new or changed target.
type TargetListed struct{ Target Target }

// TargetRemoved reports that the platform no longer lists a target.
type TargetRemoved struct{ ID string }

// TargetList delivers the platform's whole list of targets; targets that it lacks
// are removed.
type TargetList struct {
	Targets []Target
	// Unreadable are the ids of entries that name no target, as other writers store them.
	// Targets that are known by these ids stay as they are.
	Unreadable []string
}

// StoreReachability reports whether the platform's store is reachable from this instance.
type StoreReachability struct{ Reachable bool }

// StoreRestored reports that the platform's store was restored from a copy, which lacks
// its last changes. It comes before the list of the copy.
type StoreRestored struct{}

// RequestArrived reports that a caller's request has been received in full.
type RequestArrived struct {
	Request  RequestID
	ID       string // the caller's request id, for the log
	Route    *Route
	Config   *Config
	Caller   *Workspace // nil on anonymous routes
	Deadline time.Duration
	// PromptTokens and MaxAnswerTokens are the counts that the caller states; zero
	// for requests to services without an engine.
	PromptTokens, MaxAnswerTokens int
	// LengthHint is the caller's estimate of the tokens of the answer, zero for none. It may
	// be far off.
	LengthHint int
	// ResumeAfter is the id of the last event that the caller has received, empty
	// for none.
	ResumeAfter string
	// Fingerprint is a hash of route, caller and body.
	Fingerprint uint64
	// SharedParts identify the parts of the prompt that other requests may share.
	SharedParts []uint64
	// WeightsVersion is the version of the weights that the caller expects, empty for any.
	WeightsVersion string
	// Relayed says that a peer that reaches no target has sent the request in place of its
	// caller. AttemptsLeft is the number of attempts that may then run at targets.
	Relayed      bool
	AttemptsLeft int
}

// Connected reports that a new connection to a target was made.
type Connected struct{ Target string }

// LimitStatement says whether a target's answer names a limit of requests.
type LimitStatement uint8

// Statements about a limit.
const (
	// LimitUnknown means that there is no answer, or that what it says is unreadable.
	LimitUnknown LimitStatement = iota
	// LimitNone means that the target names no limit in its answer to a run.
	LimitNone
	// LimitNamed means that the target names a limit.
	LimitNamed
)

// Limit is what a target's answer says of the requests that it takes from all instances
// together.
type Limit struct {
	Statement LimitStatement
	PerSecond float64
}

// AttemptStarted reports that an attempt has a connection, and that its request is written
// from now on. Until then nothing of it has been sent.
type AttemptStarted struct{ Attempt AttemptID }

// Progress reports that a whole event of the answer was forwarded to the caller.
type Progress struct {
	Attempt AttemptID
	EventID string
	Limit   Limit
}

// CallerBlockedDelay is how long an event of the answer waits for its caller until that is
// reported.
const CallerBlockedDelay = 200 * time.Millisecond

// CallerBlocked reports that an event of the answer has waited for CallerBlockedDelay to be
// written to its caller.
type CallerBlocked struct{ Attempt AttemptID }

// AttemptOutcome is the way in which an attempt ended, as far as it is known.
type AttemptOutcome uint8

// Outcomes of an attempt.
const (
	// OutcomeComplete means that the whole answer arrived and is being forwarded.
	OutcomeComplete AttemptOutcome = iota
	// OutcomeFailed means that the target answered with a failure after a run.
	OutcomeFailed
	// OutcomeNotConnected means that nothing was sent.
	OutcomeNotConnected
	// OutcomeNotRun means that the target answered that it did not run the request.
	OutcomeNotRun
	// OutcomeMisdirected means that the address now belongs to another target.
	OutcomeMisdirected
	// OutcomeOtherWeights means that the target's weights have not the version that the
	// request expects.
	OutcomeOtherWeights
	// OutcomeBroken means that the connection failed after the request was sent.
	OutcomeBroken
	// OutcomeCallerGone means that the caller's connection failed during the attempt.
	OutcomeCallerGone
	// OutcomeWithheld means that nothing was sent, because of Core.MayStart.
	OutcomeWithheld
)

var outcomeNames = [...]string{"complete", "failed", "not-connected", "not-run", "misdirected", "other-weights", "broken", "caller-gone", "withheld"}

func (o AttemptOutcome) String() string { return outcomeNames[o] }

// isAnswer reports whether the target itself has answered.
func (o AttemptOutcome) isAnswer() bool {
	return o == OutcomeComplete || o == OutcomeFailed || o == OutcomeNotRun || o == OutcomeOtherWeights
}

// AttemptEnd reports how an attempt ended.
type AttemptEnd struct {
	Attempt AttemptID
	Outcome AttemptOutcome
	Status  int    // HTTP status of the target's answer, zero for none
	Cause   string // for the log
	// FailedAddress is the address of the target that caused the failure, if the answer
	// names one; it may be a helper.
	FailedAddress string
	// AnsweredBy is the id of the target that has answered, if the answer names it.
	AnsweredBy string
	// WeightsVersion is the version of that target's weights, if the answer names it.
	WeightsVersion string
	// EndedByClose says that a complete answer had no length and ended with its
	// connection, as it also does when its target ends.
	EndedByClose bool
	Limit        Limit
	// Refusal and RetryAfter are those of a peer that did not run the request.
	Refusal    result.Code
	RetryAfter time.Duration
}

// CallerLeft reports that the caller closed its connection.
type CallerLeft struct{ Request RequestID }

// PeerGossip delivers a gossip message from a peer.
type PeerGossip struct {
	// From is the name of the peer, Domain its failure domain. RelayAddress is the
	// host:port at which it serves requests of its peers.
	From, Domain, RelayAddress string
	// Incarnation is that of the peer's process, zero from builds that do not tell it.
	Incarnation uint64
	// StorePosition is up to where the peer has read the platform's store.
	StorePosition StorePosition
	// RelayUnproven says that the peer's build is not known to serve such requests.
	RelayUnproven bool
	Gossip        Gossip
}

// Reserved delivers a target's reply to Reserve.
type Reserved struct {
	Request        RequestID
	Target, Ticket string
	// Granted says that the target has reserved the memory.
	Granted bool
	Cause   string
}

// CheckResult is the result of connecting to a target.
type CheckResult uint8

// Results of connecting to a target.
const (
	// CheckAccepted means that the target accepts connections.
	CheckAccepted CheckResult = iota
	// CheckRefused means that nothing listens at the address: the target has ended.
	CheckRefused
	// CheckUnreachable means that there was no reply; a cut may separate the two.
	CheckUnreachable
)

var checkResultNames = [...]string{"accepted", "refused", "unreachable"}

func (r CheckResult) String() string { return checkResultNames[r] }

// TargetChecked delivers the result of CheckTarget.
type TargetChecked struct {
	Target Target
	Result CheckResult
}

// Tick only advances the time, to run the timers that are due.
type Tick struct{}

// Stop begins a planned stop: the instance no longer reports itself as ready.
type Stop struct {
	// BalancerDelay is the time that the load balancer may take to notice. Requests that
	// arrive later are admitted only if they are expected to end before GracePeriod does.
	BalancerDelay time.Duration
	// GracePeriod is the time by which all requests have to have ended.
	GracePeriod time.Duration
}

// EndStop ends all requests of a planned stop, since the process is about to end, and
// refuses those that arrive later.
type EndStop struct{}

// Helper is a target that prefills a part of a split prompt.
type Helper struct {
	Target, Address string
	// Ticket identifies the memory reserved for the part; empty for none.
	Ticket string
}

// Send sends the request to a target, or to a peer.
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
	// Relay is the peer to which the request is sent instead of a target, if it has an
	// address.
	Relay Relay
	// FirstEventForecast is the predicted time until the first event, zero for targets
	// without a model.
	FirstEventForecast time.Duration
}

// Cancel aborts an attempt; later events of the attempt are ignored.
type Cancel struct{ Attempt AttemptID }

// Finish ends a request. There is exactly one for each RequestArrived.
type Finish struct {
	Request RequestID
	// Code says how the request ended. A code of the refused family means that the
	// request has not run and never will.
	Code result.Code
	// ForwardAnswer says that the answer of the last attempt is forwarded to the caller.
	ForwardAnswer bool
	// RetryAfter is the delay after which a refused caller should retry, or the caller of
	// an answer by which a target refuses it.
	RetryAfter time.Duration
}

// Reserve asks a target to reserve memory for Tokens tokens under a ticket that
// expires after TTL. Repeating it renews the reservation.
type Reserve struct {
	Request RequestID
	Target  Target
	Ticket  string
	Tokens  int
	TTL     time.Duration
}

// Release ends the reservation of a ticket at a target.
type Release struct {
	Target Target
	Ticket string
}

// CheckTarget asks whether a target still accepts connections.
type CheckTarget struct{ Target Target }

// SendGossip sends a gossip message to the peers.
type SendGossip struct {
	// Domain restricts the recipients to the peers of one failure domain, Peer to one
	// peer by its name; empty for no restriction.
	Domain, Peer string
	Gossip       Gossip
}

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

func (Configure) fleetEvent()         {}
func (TargetListed) fleetEvent()      {}
func (TargetRemoved) fleetEvent()     {}
func (TargetList) fleetEvent()        {}
func (StoreReachability) fleetEvent() {}
func (StoreRestored) fleetEvent()     {}
func (Connected) fleetEvent()         {}
func (RequestArrived) fleetEvent()    {}
func (AttemptStarted) fleetEvent()    {}
func (Progress) fleetEvent()          {}
func (CallerBlocked) fleetEvent()     {}
func (AttemptEnd) fleetEvent()        {}
func (CallerLeft) fleetEvent()        {}
func (PeerGossip) fleetEvent()        {}
func (Reserved) fleetEvent()          {}
func (TargetChecked) fleetEvent()     {}
func (Tick) fleetEvent()              {}
func (Stop) fleetEvent()              {}
func (EndStop) fleetEvent()           {}

func (Send) fleetEffect()        {}
func (Cancel) fleetEffect()      {}
func (Finish) fleetEffect()      {}
func (Reserve) fleetEffect()     {}
func (Release) fleetEffect()     {}
func (CheckTarget) fleetEffect() {}
func (SendGossip) fleetEffect()  {}
func (Count) fleetEffect()       {}
func (Observe) fleetEffect()     {}
func (Log) fleetEffect()         {}
