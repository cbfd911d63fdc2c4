package entry

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/store"
)

// Effect is one output of an entry instance: something for the rim to do. The
// rim carries effects out in order and adds no decision of its own.
type Effect interface{ effectKind() string }

// Send tells the rim to send the request to a target as a new attempt.
type Send struct {
	Request RequestID         `json:"request"`
	Attempt request.AttemptID `json:"attempt"`
	Target  string            `json:"target"`
	Address string            `json:"address"`
	// ResumeAt is the number of answer tokens already delivered to the caller;
	// the attempt starts after them.
	ResumeAt int `json:"resume_at,omitempty"`
	// Priority is the engine's priority: higher goes first.
	Priority int `json:"priority,omitempty"`
	// Reservation and Imports are set for the answer of a group of engines.
	Reservation string   `json:"reservation,omitempty"`
	Imports     []string `json:"imports,omitempty"`
	// Record asks for the answer in AttemptEnd, to be recorded with a claim.
	Record bool `json:"record,omitempty"`
	// Once says that the call may run at most once. It must not share a
	// connection, and a status on which old callers resend (502, 503, 504) is
	// passed to them as 500.
	Once bool `json:"once,omitempty"`
	// Deadline is the time by which the attempt has to end.
	Deadline time.Duration `json:"deadline"`
}

// Cancel tells the rim to close an attempt; answers of it are dropped.
type Cancel struct {
	Attempt request.AttemptID `json:"attempt"`
}

// Join tells the rim to give a request the answer of another one that already
// runs, from its first byte.
type Join struct {
	Request RequestID `json:"request"`
	Leader  RequestID `json:"leader"`
}

// Finish ends a request. There is exactly one for each Arrive.
type Finish struct {
	Request    RequestID     `json:"request"`
	Code       result.Code   `json:"code"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Answer is the recorded answer of a replayed call, nil otherwise.
	Answer *Answer `json:"answer,omitempty"`
}

// Poll tells the rim to ask a target for a load report.
type Poll struct {
	Target  string `json:"target"`
	Address string `json:"address"`
}

// StoreCall tells the rim to call the platform's store; StoreReply has its end.
type StoreCall struct {
	ID   uint64     `json:"id"`
	Call store.Call `json:"call"`
}

// PeerSend tells the rim to send a message to another entry instance.
type PeerSend struct {
	To      string  `json:"to"`
	Address string  `json:"address"`
	ID      uint64  `json:"id"`
	Message Message `json:"message"`
}

// Count adds one to a counter with a reason, the metrics' only source for
// decisions.
type Count struct {
	Counter string `json:"counter"`
	Reason  string `json:"reason"`
}

// Adopted says that another configuration is in force.
type Adopted struct {
	Revision configuration.Revision `json:"revision"`
}

// Observe adds a time to a histogram, by the length class of a prompt.
type Observe struct {
	Histogram string        `json:"histogram"`
	Class     string        `json:"class"`
	Value     time.Duration `json:"value"`
}

// Log is one event for the log; Pairs alternate keys and values.
type Log struct {
	Event string   `json:"event"`
	Pairs []string `json:"pairs,omitempty"`
}

// Stopped says that a planned stop is done: nothing is in flight and every
// lease is handed over.
type Stopped struct{}

func (Send) effectKind() string      { return "send" }
func (Cancel) effectKind() string    { return "cancel" }
func (Join) effectKind() string      { return "join" }
func (Finish) effectKind() string    { return "finish" }
func (Poll) effectKind() string      { return "poll" }
func (StoreCall) effectKind() string { return "store-call" }
func (PeerSend) effectKind() string  { return "peer-send" }
func (Count) effectKind() string     { return "count" }
func (Adopted) effectKind() string   { return "adopted" }
func (Observe) effectKind() string   { return "observe" }
func (Log) effectKind() string       { return "log" }
func (Stopped) effectKind() string   { return "stopped" }
