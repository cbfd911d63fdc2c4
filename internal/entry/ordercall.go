package entry

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/order"
)

// OrderCall makes the I/O layer read or set a target's models; OrderReply answers
// it.
type OrderCall struct {
	ID      uint64 `json:"id"`
	Target  string `json:"target"`
	Address string `json:"address"`
	// Read asks for the state and changes nothing.
	Read bool `json:"read,omitempty"`
	// Models is the whole set that the target should have.
	Models []order.Model `json:"models,omitempty"`
	// Fence is the fencing number, Holder the instance that sends the order.
	Fence  uint64 `json:"fence,omitempty"`
	Holder string `json:"holder,omitempty"`
	// Authenticated says that the target authenticates the sender.
	Authenticated bool `json:"authenticated,omitempty"`
	// Deadline is the time after which the order must not be sent any more.
	Deadline time.Duration `json:"deadline"`
}

// OrderStatus is the outcome of an order.
type OrderStatus string

// Outcomes of an order.
const (
	OrderOK        OrderStatus = "ok"
	OrderStale     OrderStatus = "stale"     // the target has seen a higher fencing number
	OrderDenied    OrderStatus = "denied"    // the target does not accept orders of this sender
	OrderRefused   OrderStatus = "refused"   // the target can't carry the order out
	OrderUnreached OrderStatus = "unreached" // no connection was made
	OrderUnknown   OrderStatus = "unknown"   // no answer; it may be carried out
)

// OrderState is what a target reports about its models.
type OrderState struct {
	// Fence is the highest fencing number seen, zero if the target ignores it.
	Fence  uint64        `json:"fence,omitempty"`
	Models []order.Model `json:"models"`
	// Loading is the set of an order that is being carried out.
	Loading []order.Model `json:"loading,omitempty"`
}

// OrderReply answers an OrderCall.
type OrderReply struct {
	ID     uint64      `json:"id"`
	Status OrderStatus `json:"status"`
	State  OrderState  `json:"state"`
}

func (OrderCall) effectKind() string { return "order-call" }
func (OrderReply) eventKind() string { return "order-reply" }
