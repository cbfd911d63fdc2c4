package fleet

import (
	"strconv"
	"time"
)

// Times of memory that is set aside.
const (
	// renewShare is the share of the hold time after which tickets are renewed.
	renewShare = 0.4
	// reserveRetry is the wait before memory that was not free is sought again.
	reserveRetry = 150 * time.Millisecond
)

// reservation is the memory set aside for the parts of a large prompt.
type reservation struct {
	plan    plan
	tickets []string // by helper
	replies int
	denied  bool
	ready   bool
	ended   bool
}

// reserve sets memory aside at each helper before the request is sent.
func (c *Core) reserve(a *active, p plan) {
	res := &reservation{plan: p}
	a.reservation = res
	for range p.helpers {
		c.nextKey++
		res.tickets = append(res.tickets, c.opts.Name+"-"+strconv.FormatUint(c.nextKey, 36))
	}
	c.log("reserve", "request", a.arrive.ID, "targets", len(p.helpers), "prompt", a.arrive.PromptTokens)
	c.renew(a, res)
}

func (c *Core) ticketTokens(a *active, res *reservation) int {
	return a.memoryTokens()/res.plan.parts() + 1
}

// renew sends the reservations, first and again while the request needs them.
func (c *Core) renew(a *active, res *reservation) {
	if res.ended {
		return
	}
	for i, h := range res.plan.helpers {
		c.emit(Reserve{
			Request: a.arrive.Request, Target: h.Target, Ticket: res.tickets[i],
			Tokens: c.ticketTokens(a, res), Hold: c.opts.TicketHold,
		})
	}
	c.after(time.Duration(renewShare*float64(c.opts.TicketHold)), func() { c.renew(a, res) })
}

func (c *Core) reserved(ev Reserved) {
	a := c.requests[ev.Request]
	if a == nil || a.reservation == nil || a.reservation.ready {
		return
	}
	res := a.reservation
	res.replies++
	if !ev.Granted {
		res.denied = true
		c.log("reserve-denied", "request", a.arrive.ID, "target", ev.Target, "cause", ev.Cause)
	}
	if res.replies < len(res.tickets) {
		return
	}
	if !res.denied {
		res.ready = true
		c.send(a, res.plan, res.tickets)
		return
	}
	c.releaseTickets(a)
	c.after(reserveRetry, func() {
		if c.requests[ev.Request] == a && a.attempt == 0 && a.reservation == nil {
			c.dispatch(a)
		}
	})
}

// releaseTickets gives the memory back.
func (c *Core) releaseTickets(a *active) {
	res := a.reservation
	if res == nil {
		return
	}
	res.ended = true
	a.reservation = nil
	for i, h := range res.plan.helpers {
		c.emit(Release{Target: h.Target, Ticket: res.tickets[i]})
	}
}
