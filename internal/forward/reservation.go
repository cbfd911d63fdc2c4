package forward

import "context"

// reservationCalls are the calls in progress that reserve memory, by ticket. Those of a ticket
// that is released are cancelled: one that still waits for its connection would reserve memory
// for nothing, perhaps at a target that gets nothing new by now.
type reservationCalls map[string]*ticketCalls

// ticketCalls are the calls of one ticket: the first, and renewals.
type ticketCalls struct {
	ctx    context.Context
	cancel context.CancelFunc
	count  int
}

// begin adds a call and returns its context.
func (c *reservationCalls) begin(ctx context.Context, ticket string) context.Context {
	if *c == nil {
		*c = make(reservationCalls)
	}
	calls := (*c)[ticket]
	if calls == nil {
		calls = &ticketCalls{}
		calls.ctx, calls.cancel = context.WithCancel(ctx)
		(*c)[ticket] = calls
	}
	calls.count++
	return calls.ctx
}

// release cancels the calls of a ticket.
func (c reservationCalls) release(ticket string) {
	if calls := c[ticket]; calls != nil {
		calls.cancel()
	}
}

// end removes a call that has ended.
func (c reservationCalls) end(ticket string) {
	calls := c[ticket]
	if calls.count--; calls.count == 0 {
		calls.cancel()
		delete(c, ticket)
	}
}

// endReservationCall removes a call to reserve memory that has ended.
func (n *Node) endReservationCall(ticket string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reservations.end(ticket)
}
