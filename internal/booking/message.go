package booking

import (
	"maps"
	"slices"
	"time"
)

// Message is sent between instances; exactly one field is set.
type Message struct {
	// Claim asks the receiver to decide and write a claim, Settle to write an
	// outcome.
	Claim  *Request    `json:"claim,omitempty"`
	Settle *Settlement `json:"settle,omitempty"`
	// Reply answers Claim with a verdict; Settled answers Settle when the outcome
	// is in the store.
	Reply   *Reply   `json:"reply,omitempty"`
	Settled *Settled `json:"settled,omitempty"`
}

// Request forwards a claim to the owner of its shard.
type Request struct {
	Claim Claim `json:"claim"`
}

// Reply returns a verdict to the instance that forwarded the claim.
type Reply struct {
	ID      ClaimID `json:"id"`
	Verdict Verdict `json:"verdict"`
}

// Settled confirms that a settlement is in the store.
type Settled struct {
	ID ClaimID `json:"id"`
}

// reasonOwnerWithoutStore counts claims that an owner refused because its calls to
// the store fail; the owner has not tried to write the claim.
const reasonOwnerWithoutStore = "without-store"

// forwardedOperation is an operation that was sent to the owner of its shard.
type forwardedOperation struct {
	operation *operation
	owner     string
	// lastReplyAt is when the owner last replied, or when the operation was sent.
	lastReplyAt time.Duration
}

// routeOperation forwards an operation to the owner of its shard. It adds the
// operation to the local shard if this instance is the owner, or if there is no
// owner or it is unknown.
func (b *Coordinator) routeOperation(o *operation) {
	s := b.shardFor(o.key)
	owner := b.host.Owner(s.number)
	if owner == "" || owner == b.opts.Instance || !b.forward(o, owner) {
		s.addOperation(o)
	}
}

// forward sends an operation to the owner of its shard; it returns false if the
// owner is unknown.
func (b *Coordinator) forward(o *operation, owner string) bool {
	if !b.host.Send(owner, b.forwardMessage(o)) {
		return false
	}
	f := &forwardedOperation{operation: o, owner: owner, lastReplyAt: b.host.Now()}
	b.forwarded[o.id] = f
	b.host.Schedule(ownerReplyTimeout, func() { b.checkForwarded(f) })
	return true
}

// forwardMessage returns the message that forwards an operation. A claim carries
// its remaining time, since its deadline is on this instance's monotonic clock.
func (b *Coordinator) forwardMessage(o *operation) Message {
	if o.settlement != nil {
		return Message{Settle: o.settlement}
	}
	claim := *o.claim
	claim.Limit = max(0, o.deadline-b.host.Now())
	return Message{Claim: &Request{Claim: claim}}
}

// checkForwarded sends a forwarded operation again to poll for its result, or
// takes the operation over if the owner is unknown or has not replied in time.
func (b *Coordinator) checkForwarded(f *forwardedOperation) {
	if b.forwarded[f.operation.id] != f {
		return
	}
	now := b.host.Now()
	if f.operation.settlement == nil && now >= f.operation.deadline {
		delete(b.forwarded, f.operation.id)
		return
	}
	if now-f.lastReplyAt >= ownerReplyTimeout+pollInterval || !f.operation.runningReported && now-f.lastReplyAt >= ownerReplyTimeout {
		b.takeOver(f, "silent")
		return
	}
	if !b.host.Send(f.owner, b.forwardMessage(f.operation)) {
		b.takeOver(f, "unknown")
		return
	}
	b.host.Schedule(pollInterval, func() { b.checkForwarded(f) })
}

// takeOver adds a forwarded operation to the local shard, which writes it. If
// the owner writes it too, the compare-and-swap makes one of the writes fail.
func (b *Coordinator) takeOver(f *forwardedOperation, reason string) {
	delete(b.forwarded, f.operation.id)
	// Only an explicit refusal by the owner rules out that it wrote the claim.
	f.operation.maybeWritten = f.operation.maybeWritten || reason != reasonOwnerWithoutStore
	b.host.IncrementCounter(CounterShards, "owner-"+reason)
	b.shardFor(f.operation.key).addOperation(f.operation)
}

// TakeOverFromPeer takes over the operations that were forwarded to an instance to
// which a message could not be delivered.
func (b *Coordinator) TakeOverFromPeer(instance string) {
	for _, id := range slices.Sorted(maps.Keys(b.forwarded)) {
		if f := b.forwarded[id]; f != nil && f.owner == instance {
			b.takeOver(f, "unreachable")
		}
	}
}

// HandleMessage handles a message from another instance.
func (b *Coordinator) HandleMessage(from string, msg Message) {
	switch {
	case msg.Claim != nil:
		c := msg.Claim.Claim
		b.shardFor(c.Key).addOperation(&operation{claim: &c, id: c.ID, key: c.Key, requester: from, deadline: b.host.Now() + c.Limit})
	case msg.Settle != nil:
		st := *msg.Settle
		s := b.shardFor(st.Key)
		s.removeClaim(st.ID)
		s.addOperation(&operation{settlement: &st, id: st.ID, key: st.Key, requester: from})
	case msg.Reply != nil:
		b.handleReply(*msg.Reply)
	case msg.Settled != nil:
		if f := b.forwarded[msg.Settled.ID]; f != nil && f.operation.settlement != nil {
			delete(b.forwarded, msg.Settled.ID)
		}
	}
}

// handleReply handles an owner's verdict about a forwarded claim. A grant may
// come after the claim was taken over; it is delivered, and the local claim
// removed.
func (b *Coordinator) handleReply(r Reply) {
	f := b.forwarded[r.ID]
	if f == nil || f.operation.settlement != nil {
		if key, ok := b.unsettled[r.ID]; ok && r.Verdict.Kind == VerdictGranted {
			b.shardFor(key).removeClaim(r.ID)
			b.deliverVerdict(r.ID, r.Verdict)
		}
		return
	}
	f.lastReplyAt = b.host.Now()
	switch r.Verdict.Kind {
	case VerdictRunning:
		if !f.operation.runningReported {
			f.operation.runningReported = true
			b.deliverVerdict(r.ID, r.Verdict)
		}
	case VerdictUnavailable:
		b.takeOver(f, reasonOwnerWithoutStore)
	case VerdictGranted, VerdictReplayed, VerdictNotRepeated, VerdictConflict, VerdictFull:
		delete(b.forwarded, r.ID)
		b.deliverVerdict(r.ID, r.Verdict)
	}
}
