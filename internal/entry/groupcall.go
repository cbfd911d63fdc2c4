package entry

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/request"
)

// GroupOp is a kind of call to a member of a group of engines.
type GroupOp string

// Kinds of calls to one member of a group.
const (
	GroupReserve GroupOp = "reserve" // reserve memory for all of Tokens on the member, or for none
	GroupRenew   GroupOp = "renew"   // extend a reservation
	GroupPrefill GroupOp = "prefill" // prefill a segment of the prompt
	GroupRelease GroupOp = "release" // release the memory
)

// GroupCall makes the I/O layer call a member of a group; GroupReply answers it.
type GroupCall struct {
	ID          uint64            `json:"id"`
	Op          GroupOp           `json:"op"`
	Request     RequestID         `json:"request"`
	Attempt     request.AttemptID `json:"attempt,omitempty"`
	Target      string            `json:"target"`
	Address     string            `json:"address"`
	Reservation string            `json:"reservation"`
	Tokens      int               `json:"tokens,omitempty"`
	TTL         time.Duration     `json:"ttl,omitempty"`
	// From and To bound the segment to prefill, in per mille of the body.
	From int `json:"from,omitempty"`
	To   int `json:"to,omitempty"`
	// Imports name the segments before it: address, slash, reservation.
	Imports  []string      `json:"imports,omitempty"`
	Priority int           `json:"priority,omitempty"`
	Deadline time.Duration `json:"deadline,omitempty"`
}

// GroupStatus is the outcome of a group call.
type GroupStatus string

// Outcomes of a group call.
const (
	GroupOK        GroupStatus = "ok"
	GroupRefused   GroupStatus = "refused"   // the engine did not carry it out
	GroupGone      GroupStatus = "gone"      // the engine knows no such reservation
	GroupUnreached GroupStatus = "unreached" // no connection was made
	GroupBroke     GroupStatus = "broke"     // no answer; it may have been carried out
)

// GroupReply answers a GroupCall.
type GroupReply struct {
	ID     uint64      `json:"id"`
	Status GroupStatus `json:"status"`
}

func (GroupCall) effectKind() string { return "group-call" }
func (GroupReply) eventKind() string { return "group-reply" }
