package entry

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/store"
)

// Effect is one output of an entry instance, for the I/O layer to carry out. The
// I/O layer keeps the order of effects and makes no decisions of its own.
type Effect interface {
	// effectKind returns the kind of the effect's line in a trace.
	effectKind() string
}

// Send makes the I/O layer send the request to a target as a new attempt.
type Send struct {
	Request RequestID         `json:"request"`
	Attempt request.AttemptID `json:"attempt"`
	Target  string            `json:"target"`
	Address string            `json:"address"`
	// ResumeAt is the number of answer tokens already delivered to the caller;
	// the attempt continues after them.
	ResumeAt int `json:"resume_at,omitempty"`
	// Priority is the priority on the engine: higher goes first.
	Priority int `json:"priority,omitempty"`
	// Reservation and Imports are set when a group of engines generates the
	// answer.
	Reservation string   `json:"reservation,omitempty"`
	Imports     []string `json:"imports,omitempty"`
	// Record asks for the answer in AttemptEnd, to record it with a claim.
	Record bool `json:"record,omitempty"`
	// Once says that the call may run at most once. It gets a connection of its
	// own, and a status on which old clients resend (502, 503, 504) is passed to
	// them as 500.
	Once bool `json:"once,omitempty"`
	// Deadline is the time at which the attempt must have ended.
	Deadline time.Duration `json:"deadline"`
}

// Cancel makes the I/O layer close an attempt; later answers of it are dropped.
type Cancel struct {
	Attempt request.AttemptID `json:"attempt"`
}

// Join makes the I/O layer send a request the answer of another one that is
// already running, from its first byte.
type Join struct {
	Request RequestID `json:"request"`
	Leader  RequestID `json:"leader"`
}

// Finish ends a request. There is exactly one for each RequestArrived.
type Finish struct {
	Request    RequestID     `json:"request"`
	Code       result.Code   `json:"code"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Answer is the recorded answer of a replayed call, nil otherwise.
	Answer *Answer `json:"answer,omitempty"`
}

// Poll makes the I/O layer request a load report from a target.
type Poll struct {
	Target  string `json:"target"`
	Address string `json:"address"`
}

// StoreCall makes the I/O layer call the platform's store; StoreReply answers it.
type StoreCall struct {
	ID   uint64     `json:"id"`
	Call store.Call `json:"call"`
}

// PeerSend makes the I/O layer send a message to another entry instance.
type PeerSend struct {
	To      string  `json:"to"`
	Address string  `json:"address"`
	ID      uint64  `json:"id"`
	Message Message `json:"message"`
}

// Count adds one to a counter with a reason. Metrics about decisions come from
// these effects only.
type Count struct {
	Counter string `json:"counter"`
	Reason  string `json:"reason"`
}

// ConfigurationAdopted says that the configuration of another revision is in force.
type ConfigurationAdopted struct {
	Revision configuration.Revision `json:"revision"`
}

// Observe adds a duration to a histogram, under the length class of a prompt.
type Observe struct {
	Histogram string        `json:"histogram"`
	Class     string        `json:"class"`
	Value     time.Duration `json:"value"`
}

// Log is one event for the log; Pairs alternates keys and values.
type Log struct {
	Event string   `json:"event"`
	Pairs []string `json:"pairs,omitempty"`
}

// Stopped says that a planned stop is complete: nothing is in flight and every
// lease is released.
type Stopped struct{}

// StopExpired says that the time of a planned stop is over: every open request has
// ended, and no other is taken.
type StopExpired struct{}

func (Send) effectKind() string                 { return "send" }
func (Cancel) effectKind() string               { return "cancel" }
func (Join) effectKind() string                 { return "join" }
func (Finish) effectKind() string               { return "finish" }
func (Poll) effectKind() string                 { return "poll" }
func (StoreCall) effectKind() string            { return "store-call" }
func (PeerSend) effectKind() string             { return "peer-send" }
func (Count) effectKind() string                { return "count" }
func (ConfigurationAdopted) effectKind() string { return "adopted" }
func (Observe) effectKind() string              { return "observe" }
func (Log) effectKind() string                  { return "log" }
func (Stopped) effectKind() string              { return "stopped" }
func (StopExpired) effectKind() string          { return "stop-expired" }
