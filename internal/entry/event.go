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

// Event is one input of an entry instance. Each event also exists as a line of
// JSON; see Line.
type Event interface{ eventKind() string }

// Arrive says that a caller's request was parsed. It carries facts only: no
// body, no key.
type Arrive struct {
	Request   RequestID `json:"request"`
	Workspace string    `json:"workspace"`
	// Caller is a hash of the key.
	Caller string `json:"caller"`
	// Origin tells devices that share a key from one another; it is part of
	// what scopes the joining of resends.
	Origin string `json:"origin,omitempty"`
	// Model is set for completions, Route for service calls.
	Model string `json:"model,omitempty"`
	Route string `json:"route,omitempty"`
	// Method is the HTTP method of a service call.
	Method      string `json:"method,omitempty"`
	PromptBytes int    `json:"prompt_bytes,omitempty"`
	// MaxTokens bounds the answer; zero means the default of the entry.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Prefix holds chained hashes of the prompt's leading blocks, for matching
	// cache events.
	Prefix []uint64 `json:"prefix,omitempty"`
	// Fingerprint is a hash of everything that reaches the target.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
	// PromptHash is a hash of the model and the prompt of a completion, without
	// the fields that resends may change; zero takes Fingerprint.
	PromptHash uint64 `json:"prompt_hash,omitempty"`
	// Identity is what identifies a resend of a non-idempotent call; empty for
	// none.
	Identity string `json:"identity,omitempty"`
	// Limit is asked for by the caller; zero takes the configured limit.
	Limit time.Duration `json:"limit,omitempty"`
}

// Delivered says that tokens of an attempt passed to the caller.
type Delivered struct {
	Attempt request.AttemptID `json:"attempt"`
	Tokens  int               `json:"tokens"`
	// Bytes are those handed to the caller.
	Bytes int `json:"bytes,omitempty"`
	// Head says that the status and headers of a service's answer passed: no
	// other attempt can take over.
	Head bool `json:"head,omitempty"`
}

// AttemptEnd says how an attempt ended.
type AttemptEnd struct {
	Attempt request.AttemptID `json:"attempt"`
	End     End               `json:"end"`
	// Status is the target's HTTP status, zero when there was none.
	Status int `json:"status,omitempty"`
	// Answer is the answer of a service call that is to be recorded with its
	// claim; nil for completions.
	Answer *Answer `json:"answer,omitempty"`
	// PromptTokens is the target's own count, zero when it gave none.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// CachedTokens is how many of them the target found in its cache.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// End says what is known of an attempt that ended.
type End string

// Ends of an attempt.
const (
	EndComplete     End = "complete"      // the whole answer arrived
	EndNotConnected End = "not-connected" // no connection was made; nothing was written
	EndNotRun       End = "not-run"       // the target said that it did not run it
	EndError        End = "error"         // the target answered with an error after starting
	EndBroke        End = "broke"         // the connection broke after a write
	EndCallerSlow   End = "caller-slow"   // the caller did not read in time
	EndTooLarge     End = "too-large"     // the answer exceeds the buffer limit
)

// Answer is the recorded answer of a non-idempotent service call.
type Answer = booking.Answer

// CallerLeft says that the caller closed its connection.
type CallerLeft struct {
	Request RequestID `json:"request"`
	// Slow says that the caller did not read its answer in time.
	Slow bool `json:"slow,omitempty"`
}

// Reported is a load report of a target, polled or carried by an answer.
type Reported struct {
	Target string        `json:"target"`
	Report target.Report `json:"report"`
}

// ReportFailed says that a target did not answer a poll.
type ReportFailed struct {
	Target string `json:"target"`
	// Refused says that the connection was refused: nothing listens there.
	Refused bool `json:"refused,omitempty"`
}

// StoreReply is the end of a StoreCall.
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

// Adopt hands the entry an accepted configuration.
type Adopt struct {
	Accepted configuration.Accepted `json:"accepted"`
}

// Tick says only that time has passed.
type Tick struct{}

// Stop begins a planned stop.
type Stop struct{}

func (Arrive) eventKind() string       { return "arrive" }
func (Delivered) eventKind() string    { return "delivered" }
func (AttemptEnd) eventKind() string   { return "attempt-end" }
func (CallerLeft) eventKind() string   { return "caller-left" }
func (Reported) eventKind() string     { return "reported" }
func (ReportFailed) eventKind() string { return "report-failed" }
func (StoreReply) eventKind() string   { return "store-reply" }
func (PeerMessage) eventKind() string  { return "peer-message" }
func (PeerFailed) eventKind() string   { return "peer-failed" }
func (Adopt) eventKind() string        { return "adopt" }
func (Tick) eventKind() string         { return "tick" }
func (Stop) eventKind() string         { return "stop" }
