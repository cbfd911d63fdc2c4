package fleet

import (
	"slices"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// Timing of memory reservations.
const (
	// ticketRenewalShare is the share of the hold time after which the reservations
	// are renewed.
	ticketRenewalShare = 0.4
	// reserveRetryDelay is the delay before the request is placed again after a
	// target denied a reservation.
	reserveRetryDelay = 150 * time.Millisecond
	// memoryDenialTime is how long a target that denied a reservation gets none of the same
	// size or a larger one, unless a load ends there before.
	memoryDenialTime = 500 * time.Millisecond
)

// memoryDenial is the last denial of a reservation by a target: it holds memory for others
// that this instance does not know of, such as a former process.
type memoryDenial struct {
	tokens int
	until  time.Duration
}

// covers reports whether a reservation is likely to be denied again.
func (d memoryDenial) covers(now time.Duration, tokens int) bool {
	return now < d.until && tokens >= d.tokens
}

// reservation is the memory reserved at the helpers for the parts of a prompt that
// does not fit into the memory of one engine.
type reservation struct {
	placement placement
	tickets   []string        // by index of the helper
	replied   map[string]bool // tickets of which a reply has come
	denied    bool            // by at least one helper
	granted   bool            // by all helpers
	released  bool
}

// reserveMemory reserves memory at each helper. The request is sent once all of them
// have granted it.
func (c *Core) reserveMemory(a *activeRequest, p placement) {
	res := &reservation{placement: p, replied: make(map[string]bool, len(p.helpers))}
	a.reservation = res
	c.endWait(a)
	for range p.helpers {
		res.tickets = append(res.tickets, c.newTicket())
	}
	c.log("reserve", "request", a.arrival.ID, "targets", len(p.helpers), "prompt", a.arrival.PromptTokens)
	c.sendReservations(a, res)
}

// newTicket returns a name for a reservation that no other process has used or will use, also
// none that has had the name of this instance: a target takes a name that it knows for a
// renewal.
func (c *Core) newTicket() string {
	c.lastKey++
	return c.opts.Name + "-" + strconv.FormatUint(c.opts.Incarnation, 36) + "-" + strconv.FormatUint(c.lastKey, 36)
}

// ticketTokens is the memory in tokens that is reserved at each helper.
func (c *Core) ticketTokens(a *activeRequest, res *reservation) int {
	return a.memoryTokens()/res.placement.partCount() + 1
}

// sendReservations sends the reservations, and renews them until they are released.
func (c *Core) sendReservations(a *activeRequest, res *reservation) {
	if res.released {
		return
	}
	for i, h := range res.placement.helpers {
		c.emit(Reserve{
			Request: a.arrival.Request, Target: h.Target, Ticket: res.tickets[i],
			Tokens: c.ticketTokens(a, res), TTL: c.opts.ReservationTTL,
		})
	}
	c.afterFunc(time.Duration(ticketRenewalShare*float64(c.opts.ReservationTTL)), func() { c.sendReservations(a, res) })
}

// handleReserved records a helper's reply, perhaps one to a renewal. After the last reply it
// sends the request, or, if any helper denied the memory or a target leaves, releases the
// others' reservations and places the request again.
func (c *Core) handleReserved(ev Reserved) {
	a := c.requests[ev.Request]
	if a == nil || a.reservation == nil || a.reservation.granted || !slices.Contains(a.reservation.tickets, ev.Ticket) {
		return
	}
	res := a.reservation
	res.replied[ev.Ticket] = true
	if !ev.Granted {
		res.denied = true
		c.log("reserve-denied", "request", a.arrival.ID, "target", ev.Target, "cause", ev.Cause)
		if target := c.targets[ev.Target]; target != nil {
			target.denial = memoryDenial{c.ticketTokens(a, res), c.now + memoryDenialTime}
		}
	}
	if len(res.replied) < len(res.tickets) {
		return
	}
	if c.isBlocked(a) {
		c.refuseOrFail(a, result.Quarantined, c.blockedRetryAfter(a))
		return
	}
	if !res.denied && c.anyWantsQuiet(&res.placement) {
		res.denied = true
		c.log("reserve-denied", "request", a.arrival.ID, "cause", "a target wants quiet since")
	}
	if !c.canSendBeforeStopEnds(a, res.placement) {
		c.refuseOrFail(a, result.Stopping, minRetryAfter)
		return
	}
	if !res.denied && c.maySendToAll(&res.placement) {
		c.sendReserved(a, res)
		return
	}
	c.releaseTickets(a)
	if !res.denied { // a target has left meanwhile, or its domain is evacuated
		c.dispatch(a)
		return
	}
	c.afterFunc(reserveRetryDelay, func() {
		if c.requests[ev.Request] == a && a.attempt == 0 && a.reservation == nil {
			c.dispatch(a)
		}
	})
}

// sendReserved sends a request whose memory has been granted. The targets have got other work
// since they were chosen, and the caller has waited: what would be too late now is refused.
func (c *Core) sendReserved(a *activeRequest, res *reservation) {
	p := c.predictAgain(a, res.placement)
	if c.servesTooLate(a, p) {
		c.log("granted-too-late", "request", a.arrival.ID, "predicted_ms", int(p.firstEventMS), "waited_ms", int(toMS(c.now-a.arrivedAt)))
		c.refuseLate(a, p)
		return
	}
	res.granted = true
	c.sendAttempt(a, p, res.tickets)
}

// releaseTickets releases the reservations of a request, if there are any.
func (c *Core) releaseTickets(a *activeRequest) {
	res := a.reservation
	if res == nil {
		return
	}
	res.released = true
	a.reservation = nil
	for i, h := range res.placement.helpers {
		c.emit(Release{Target: h.Target, Ticket: res.tickets[i]})
	}
}
