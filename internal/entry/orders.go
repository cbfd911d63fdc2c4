package entry

import (
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/lease"
	"github.com/medlardeck/medlardeck/internal/order"
	"github.com/medlardeck/medlardeck/internal/store"
	"github.com/medlardeck/medlardeck/internal/target"
)

// alarmOrder begins the alarms of orders that a target did not take.
const alarmOrder = "order-"

// CounterOrders counts orders to targets by their ends.
const CounterOrders = "target_orders"

// Times and limits of orders.
const (
	ordersInterval = time.Second
	// orderTime is the longest time from an order's check of the lease to its
	// arrival or its loss.
	orderTime = 2 * time.Second
	// rereadInterval is the time between two reads of a target's state: an
	// order of an earlier writer that came late is corrected after it.
	rereadInterval = 15 * time.Second
	// maxReadsPerTick bounds the reads of states that orders wait for. Others
	// are read again one in a tick.
	maxReadsPerTick = 64
	// deniedPause is the time without orders to a target that denied one.
	deniedPause = time.Minute
	// DefaultWeightStoreRate is the rate of the weight store for one failure
	// domain, in bytes per second.
	DefaultWeightStoreRate = 4 << 30
)

// orders is the part of an entry that brings targets to the intended models,
// while it is the writer of its failure domain.
type orders struct {
	holder  *lease.Holder
	planner order.Planner
	calls   map[uint64]func(OrderReply)
	running bool
	fence   uint64 // of the present term, zero before the first
	// quietUntil is when orders of an earlier writer have arrived or are lost.
	quietUntil time.Duration
	states     map[string]*orderedTarget
}

// orderedTarget is what the writer knows of a target's models.
type orderedTarget struct {
	have    []order.Model
	known   bool
	readAt  time.Duration
	reading bool
	pending []order.Model
	sentAt  time.Duration // of the last order
	pause   time.Duration // no orders before
}

func (e *Entry) newOrders() orders {
	rate := e.opts.WeightStoreRate
	if rate == 0 {
		rate = DefaultWeightStoreRate
	}
	return orders{
		holder: lease.New(lease.Options{
			Key:  "orders/" + e.opts.FailureDomain,
			Name: e.opts.Name + "-" + strconv.FormatUint(e.opts.Incarnation, 36),
		}),
		planner: order.Planner{BytesPerSecond: rate, WeightBytes: func(m order.Model) int64 {
			if model := e.index.Model(m.Name); model != nil {
				return model.WeightBytes
			}
			return 0
		}},
		calls: make(map[uint64]func(OrderReply)), states: make(map[string]*orderedTarget),
	}
}

// startOrders begins to seek the lease of the failure domain's writer. Only an
// instance with an address for peers does: the others are not in the store.
func (e *Entry) startOrders() {
	if !e.orders.running && e.opts.Address != "" && e.opts.Orders {
		e.orders.running = true
		e.ordersTick()
	}
}

func (e *Entry) ordersTick() {
	o := &e.orders
	if e.stopping {
		e.releaseOrders()
		return
	}
	e.after(ordersInterval, e.ordersTick)
	if e.members.IsGateway() || !o.holder.Idle() {
		e.driveLease()
	}
	fence, ok := o.holder.Held(e.now, orderTime)
	if !ok {
		return
	}
	if fence != o.fence {
		e.beginTerm(fence)
	}
	e.readStates()
	e.giveOrders()
}

// driveLease makes the holder's calls to the store, one at a time.
func (e *Entry) driveLease() {
	if e.stopping && e.orders.holder.Idle() {
		return
	}
	call, ok := e.orders.holder.Next(e.now)
	if !ok {
		return
	}
	e.store(call, func(r store.Reply) {
		e.orders.holder.Replied(e.now, r)
		e.driveLease()
	})
}

// beginTerm forgets what an earlier term knew. Targets that ignore fencing
// numbers get no order until those of the earlier writer are over; its lease
// ended before this one could begin.
func (e *Entry) beginTerm(fence uint64) {
	o := &e.orders
	o.fence, o.quietUntil = fence, e.now
	if o.holder.Previous().Holder != "" {
		o.quietUntil = e.now + orderTime
	}
	o.states = make(map[string]*orderedTarget)
	e.count(CounterOrders, "term")
	e.emit(Log{Event: "orders-term", Pairs: []string{"fence", strconv.FormatUint(fence, 10)}})
}

// orderable calls fn for each engine of the failure domain.
func (e *Entry) orderable(fn func(*target.Target, *orderedTarget)) {
	e.targets.All(func(tg *target.Target) {
		if tg.Kind != configuration.PoolEngine || tg.FailureDomain != e.opts.FailureDomain {
			return
		}
		st := e.orders.states[tg.Name]
		if st == nil {
			st = &orderedTarget{}
			e.orders.states[tg.Name] = st
		}
		fn(tg, st)
	})
}

// readStates reads the models of targets that are unknown or busy with an
// order, and again of those read longest ago.
func (e *Entry) readStates() {
	reads := 0
	var oldest *target.Target
	e.orderable(func(tg *target.Target, st *orderedTarget) {
		switch {
		case st.reading || tg.Dead:
		case !st.known || st.pending != nil:
			if reads < maxReadsPerTick {
				reads++
				e.readState(tg, st)
			}
		case e.now-st.readAt >= rereadInterval:
			if oldest == nil || st.readAt < e.orders.states[oldest.Name].readAt {
				oldest = tg
			}
		}
	})
	if oldest != nil {
		e.readState(oldest, e.orders.states[oldest.Name])
	}
}

func (e *Entry) readState(tg *target.Target, st *orderedTarget) {
	st.reading = true
	asked := e.now
	e.callTarget(tg, OrderCall{Read: true}, func(r OrderReply) {
		st.reading = false
		if r.Status == OrderOK {
			e.learnState(st, asked, r.State)
		}
	})
}

// learnState takes a target's account. An order without an answer stays
// pending until it can't arrive any more.
func (e *Entry) learnState(st *orderedTarget, asked time.Duration, s OrderState) {
	st.have, st.known, st.readAt = s.Models, true, asked
	switch {
	case s.Loading != nil:
		st.pending = s.Loading
	case asked >= st.sentAt+orderTime || st.sentAt == 0:
		st.pending = nil
	}
	e.outran(s.Fence)
}

func (e *Entry) outran(fence uint64) {
	if fence > e.orders.fence {
		e.count(CounterOrders, "outran")
		e.orders.holder.Outran(e.now, fence)
	}
}

func (e *Entry) giveOrders() {
	var targets []order.Target
	e.orderable(func(tg *target.Target, st *orderedTarget) {
		fenced, _ := e.orderRules(tg)
		ready := st.known && e.now >= st.pause && (fenced || e.now >= e.orders.quietUntil)
		targets = append(targets, order.Target{
			Name: tg.Name, Want: e.wantedModels(tg), Have: st.have, Known: ready,
			Serving: tg.Usable(), Pending: st.pending,
		})
	})
	for _, ord := range e.orders.planner.Next(e.now, targets) {
		e.giveOrder(ord)
	}
}

// giveOrder checks the lease once more and sends the order.
func (e *Entry) giveOrder(ord order.Order) {
	fence, ok := e.orders.holder.Held(e.now, orderTime)
	tg, st := e.targets.Get(ord.Target), e.orders.states[ord.Target]
	if !ok || tg == nil {
		return
	}
	_, authenticated := e.orderRules(tg)
	st.pending, st.sentAt = ord.Models, e.now
	if st.pending == nil {
		st.pending = []order.Model{}
	}
	call := OrderCall{Models: ord.Models, Fence: fence, Holder: e.opts.Name, Authenticated: authenticated}
	e.emit(Log{Event: "order-given", Pairs: []string{
		"target", tg.Name, "load", ord.Load.Name, "version", ord.Load.Version, "fence", strconv.FormatUint(fence, 10),
	}})
	e.callTarget(tg, call, func(r OrderReply) {
		e.count(CounterOrders, string(r.Status))
		switch r.Status {
		case OrderOK:
			st.sentAt = 0 // the read that follows tells how far it is
			delete(e.spread.alarms, alarmOrder+string(OrderDenied))
			delete(e.spread.alarms, alarmOrder+string(OrderRefused))
		case OrderStale:
			st.pending = nil
			e.outran(r.State.Fence)
		case OrderDenied, OrderRefused:
			st.pending, st.pause = nil, e.now+deniedPause
			e.alarm(alarmOrder + string(r.Status))
		case OrderUnreached:
			st.pending = nil
		case OrderUnknown:
		}
	})
}

func (e *Entry) callTarget(tg *target.Target, call OrderCall, fn func(OrderReply)) {
	e.nextCall++
	call.ID, call.Target, call.Address, call.Deadline = e.nextCall, tg.Name, tg.Address, e.now+orderTime
	e.orders.calls[call.ID] = fn
	e.emit(call)
}

func (e *Entry) orderReply(ev OrderReply) {
	fn := e.orders.calls[ev.ID]
	if fn == nil {
		return
	}
	delete(e.orders.calls, ev.ID)
	fn(ev)
}

// orderRules tells whether the target checks fencing numbers, and who gives an
// order.
func (e *Entry) orderRules(tg *target.Target) (fenced, authenticated bool) {
	for i := range e.accepted.Intent.Pools {
		if p := &e.accepted.Intent.Pools[i]; p.Name == tg.Pool {
			return p.Fencing, p.AuthenticatedOrders
		}
	}
	return false, false
}

func (e *Entry) wantedModels(tg *target.Target) []order.Model {
	var want []order.Model
	for _, name := range tg.Models {
		if m := e.index.Model(name); m != nil {
			want = append(want, order.Model{Name: m.Name, Version: m.Version})
		}
	}
	return want
}

// releaseOrders hands the lease over once no order is in flight.
func (e *Entry) releaseOrders() {
	if len(e.orders.calls) > 0 {
		e.after(ordersInterval, e.releaseOrders)
		return
	}
	e.orders.holder.Release(e.now)
	e.driveLease()
}

// ordersOver reports whether nothing of the orders keeps a stopping instance.
func (e *Entry) ordersOver() bool {
	return len(e.orders.calls) == 0 && e.orders.holder.Idle()
}
