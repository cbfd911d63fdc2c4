package entry

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/booking"
	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/store"
	"github.com/medlardeck/medlardeck/internal/target"
)

// RequestID identifies a request within one entry instance.
type RequestID uint64

// Event is one input of an entry instance. Traces record each as a TraceLine.
type Event interface {
	// eventKind returns the kind of the event's line in a trace.
	eventKind() string
}

// RequestArrived says that a caller's request was parsed. It carries neither the body nor
// the caller's key.
type RequestArrived struct {
	Request   RequestID `json:"request"`
	Workspace string    `json:"workspace"`
	// Caller is a hash of the caller's key.
	Caller string `json:"caller"`
	// Origin distinguishes devices that share a key. A resend joins only runs of
	// the same origin.
	Origin string `json:"origin,omitempty"`
	// Model is set for completions, Route for service calls.
	Model string `json:"model,omitempty"`
	Route string `json:"route,omitempty"`
	// Method is the HTTP method of a service call.
	Method      string `json:"method,omitempty"`
	PromptBytes int    `json:"prompt_bytes,omitempty"`
	// MaxTokens limits the answer; the parser fills in a default if the caller
	// gave none.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Prefix holds chained hashes of the prompt's leading blocks, for matching
	// cache events.
	Prefix []uint64 `json:"prefix,omitempty"`
	// Fingerprint is a hash of the parts of the request that reach the target.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
	// PromptHash is a hash of the model and the prompt of a completion, without
	// the fields that resends may change; if zero, Fingerprint is used.
	PromptHash uint64 `json:"prompt_hash,omitempty"`
	// Identity is the same for all resends of a non-idempotent call; empty if
	// the call has none.
	Identity string `json:"identity,omitempty"`
	// Limit is the time limit that the caller asked for; zero means the
	// configured limit.
	Limit time.Duration `json:"limit,omitempty"`
}

// Delivered says that tokens of an attempt were passed to the caller.
type Delivered struct {
	Attempt request.AttemptID `json:"attempt"`
	Tokens  int               `json:"tokens"`
	// Bytes is the number of bytes passed to the caller.
	Bytes int `json:"bytes,omitempty"`
	// Head says that the status and headers of a service's answer were passed
	// on: no other attempt can continue it.
	Head bool `json:"head,omitempty"`
}

// AttemptEnd says how an attempt ended.
type AttemptEnd struct {
	Attempt request.AttemptID `json:"attempt"`
	Outcome AttemptOutcome    `json:"end"`
	// Status is the target's HTTP status, zero when there was none.
	Status int `json:"status,omitempty"`
	// Answer is the answer of a service call, to be recorded with its claim; nil
	// for completions.
	Answer *Answer `json:"answer,omitempty"`
	// PromptTokens is the target's own count; zero when it gave none.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// CachedTokens is how many of PromptTokens the target found in its cache.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// AttemptOutcome is the way in which an attempt ended.
type AttemptOutcome string

// Outcomes of an attempt.
const (
	OutcomeComplete     AttemptOutcome = "complete"      // the whole answer arrived
	OutcomeNotConnected AttemptOutcome = "not-connected" // no connection was made; nothing was written
	OutcomeNotRun       AttemptOutcome = "not-run"       // the target said that it did not run the request
	OutcomeError        AttemptOutcome = "error"         // the target answered with an error after starting
	OutcomeBroke        AttemptOutcome = "broke"         // the connection broke after something was written
	OutcomeCallerSlow   AttemptOutcome = "caller-slow"   // the caller did not read in time
	OutcomeTooLarge     AttemptOutcome = "too-large"     // the answer exceeds the buffer limit
)

// Answer is the recorded answer of a non-idempotent service call.
type Answer = booking.Answer

// CallerLeft says that the caller closed its connection.
type CallerLeft struct {
	Request RequestID `json:"request"`
	// Slow says that the caller was cut off because it did not read in time.
	Slow bool `json:"slow,omitempty"`
}

// LoadReported is a load report of a target, from a poll or from an answer.
type LoadReported struct {
	Target string        `json:"target"`
	Report target.Report `json:"report"`
}

// PollFailed says that a target did not answer a poll.
type PollFailed struct {
	Target string `json:"target"`
	// Refused says that the connection was refused: nothing listens there.
	Refused bool `json:"refused,omitempty"`
}

// StoreReply answers a StoreCall.
type StoreReply struct {
	ID    uint64      `json:"id"`
	Reply store.Reply `json:"reply"`
}

// PeerMessage is a message from another entry instance.
type PeerMessage struct {
	From    string  `json:"from"`
	Message Message `json:"message"`
}

// PeerFailed says that a message could not be delivered.
type PeerFailed struct {
	To string `json:"to"`
	ID uint64 `json:"id"`
}

// AdoptConfiguration passes a complete accepted configuration to the entry.
type AdoptConfiguration struct {
	Accepted configuration.Accepted `json:"accepted"`
}

// Tick advances the time and nothing else.
type Tick struct{}

// Stop begins a planned stop.
type Stop struct {
	// Timeout is the time after which the process ends; zero means that the stop
	// takes as long as it needs.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// EndStop ends what a planned stop still waits for.
type EndStop struct{}

func (RequestArrived) eventKind() string     { return "arrive" }
func (Delivered) eventKind() string          { return "delivered" }
func (AttemptEnd) eventKind() string         { return "attempt-end" }
func (CallerLeft) eventKind() string         { return "caller-left" }
func (LoadReported) eventKind() string       { return "reported" }
func (PollFailed) eventKind() string         { return "report-failed" }
func (StoreReply) eventKind() string         { return "store-reply" }
func (PeerMessage) eventKind() string        { return "peer-message" }
func (PeerFailed) eventKind() string         { return "peer-failed" }
func (AdoptConfiguration) eventKind() string { return "adopt" }
func (Tick) eventKind() string               { return "tick" }
func (Stop) eventKind() string               { return "stop" }
func (EndStop) eventKind() string            { return "end-stop" }
