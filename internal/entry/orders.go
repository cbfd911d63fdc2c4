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

// alarmOrderPrefix starts the names of alarms about orders that a target
// rejected.
const alarmOrderPrefix = "order-"

// CounterOrders counts orders to targets by outcome, the terms of this writer,
// and fencing numbers of targets that exceeded its own.
const CounterOrders = "target_orders"

// Times and limits of orders.
const (
	ordersInterval = time.Second
	// orderTimeout is the longest time from the check of the lease before an order
	// to the order's arrival or loss.
	orderTimeout = 2 * time.Second
	// rereadInterval is the time between two reads of a target's models. A read
	// finds, and the next order corrects, the late effect of an order of an
	// earlier writer.
	rereadInterval = 15 * time.Second
	// maxReadsPerTick bounds the reads in one tick on which an order depends. Of
	// the other targets, one is read again in each tick.
	maxReadsPerTick = 64
	// deniedRetryDelay is the time without orders to a target that denied or
	// refused one.
	deniedRetryDelay = time.Minute
	// DefaultWeightStoreBytesPerSecond is the rate of the weight store for one failure
	// domain, in bytes per second.
	DefaultWeightStoreBytesPerSecond = 4 << 30
)

// orders is the part of an entry that orders targets to load the intended
// models, while the instance is the writer of its failure domain.
type orders struct {
	holder       *lease.Holder
	planner      order.Planner
	pendingCalls map[uint64]func(OrderReply)
	started      bool
	fence        uint64 // of the current term; zero before the first
	// earlierOrdersUntil is the time by which orders of an earlier writer have
	// arrived or are lost.
	earlierOrdersUntil time.Duration
	modelStates        map[string]*targetModelState
}

// targetModelState is what the writer knows of a target's models.
type targetModelState struct {
	models        []order.Model
	known         bool
	readAt        time.Duration
	reading       bool
	pendingModels []order.Model
	orderSentAt   time.Duration // time of the last order; zero once the target accepted it
	pausedUntil   time.Duration // no orders before this time
}

func (e *Entry) newOrders() orders {
	rate := e.opts.WeightStoreRate
	if rate == 0 {
		rate = DefaultWeightStoreBytesPerSecond
	}
	return orders{
		holder: lease.New(lease.Options{
			KeyPrefix: "orders/" + e.opts.FailureDomain,
			Name:      e.opts.Name + "-" + strconv.FormatUint(e.opts.Incarnation, 36),
		}),
		planner: order.Planner{BytesPerSecond: rate, WeightBytes: func(m order.Model) int64 {
			if model := e.configIndex.Model(m.Name); model != nil {
				return model.WeightBytes
			}
			return 0
		}},
		pendingCalls: make(map[uint64]func(OrderReply)), modelStates: make(map[string]*targetModelState),
	}
}

// startOrders starts to compete for the lease of the failure domain's writer.
// Only instances with an address for peers do: others are not listed in the
// store.
func (e *Entry) startOrders() {
	if !e.orders.started && e.opts.Address != "" && e.opts.Orders {
		e.orders.started = true
		e.ordersTick()
	}
}

// ordersTick acquires or renews the lease and, while it holds, reads the models
// of targets and sends orders.
func (e *Entry) ordersTick() {
	o := &e.orders
	if e.stopping {
		e.releaseOrdersLease()
		return
	}
	e.scheduleAfter(ordersInterval, e.ordersTick)
	if e.members.IsGateway() || !o.holder.Idle() {
		e.callLeaseStore()
	}
	fence, ok := o.holder.FenceIfHeld(e.now, orderTimeout)
	if !ok {
		return
	}
	if fence != o.fence {
		e.startTerm(fence)
	}
	e.readModelStates()
	e.sendOrders()
}

// callLeaseStore makes the lease holder's calls to the store, one at a time.
func (e *Entry) callLeaseStore() {
	if e.stopping && e.orders.holder.Idle() {
		return
	}
	call, ok := e.orders.holder.NextCall(e.now)
	if !ok {
		return
	}
	e.callStore(call, func(r store.Reply) {
		e.orders.holder.HandleReply(e.now, r)
		if e.stopping { // the call may have completed an acquisition
			e.releaseOrdersLease()
			return
		}
		e.callLeaseStore()
	})
}

// startTerm drops what was known from an earlier term. Targets that ignore
// fencing numbers get no order until the orders of an earlier writer have
// arrived or are lost: its lease ended before this term started, but its last
// order may still be under way.
func (e *Entry) startTerm(fence uint64) {
	o := &e.orders
	o.fence, o.earlierOrdersUntil = fence, e.now
	if o.holder.PreviousRecord().Holder != "" {
		o.earlierOrdersUntil = e.now + orderTimeout
	}
	o.modelStates = make(map[string]*targetModelState)
	e.incrementCounter(CounterOrders, "term")
	e.emit(Log{Event: "orders-term", Pairs: []string{"fence", strconv.FormatUint(fence, 10)}})
}

// forEachOrderableTarget calls fn for each engine of the failure domain.
func (e *Entry) forEachOrderableTarget(fn func(*target.Target, *targetModelState)) {
	e.targets.ForEach(func(tg *target.Target) {
		if tg.Kind != configuration.PoolEngine || tg.FailureDomain != e.opts.FailureDomain {
			return
		}
		st := e.orders.modelStates[tg.Name]
		if st == nil {
			st = &targetModelState{}
			e.orders.modelStates[tg.Name] = st
		}
		fn(tg, st)
	})
}

// readModelStates reads the models of targets whose models are unknown or that
// carry out an order, and in addition of the one that was read longest ago.
func (e *Entry) readModelStates() {
	reads := 0
	var oldest *target.Target
	e.forEachOrderableTarget(func(tg *target.Target, st *targetModelState) {
		switch {
		case st.reading || tg.NotListening:
		case !st.known || st.pendingModels != nil:
			if reads < maxReadsPerTick {
				reads++
				e.readModelState(tg, st)
			}
		case e.now-st.readAt >= rereadInterval:
			if oldest == nil || st.readAt < e.orders.modelStates[oldest.Name].readAt {
				oldest = tg
			}
		}
	})
	if oldest != nil {
		e.readModelState(oldest, e.orders.modelStates[oldest.Name])
	}
}

func (e *Entry) readModelState(tg *target.Target, st *targetModelState) {
	st.reading = true
	asked := e.now
	e.callTarget(tg, OrderCall{Read: true}, func(r OrderReply) {
		st.reading = false
		if r.Status == OrderOK {
			e.recordModelState(st, asked, r.State)
		}
	})
}

// recordModelState records the models that a target reports. An order without
// an answer stays pending until it can't arrive any more.
func (e *Entry) recordModelState(st *targetModelState, asked time.Duration, s OrderState) {
	st.models, st.known, st.readAt = s.Models, true, asked
	switch {
	case s.Loading != nil:
		st.pendingModels = s.Loading
	case asked >= st.orderSentAt+orderTimeout || st.orderSentAt == 0:
		st.pendingModels = nil
	}
	e.reportHigherFence(s.Fence)
}

// reportHigherFence tells the lease holder of a fencing number that a target
// has seen, if it exceeds the own: another instance has become the writer.
func (e *Entry) reportHigherFence(fence uint64) {
	if fence > e.orders.fence {
		e.incrementCounter(CounterOrders, "outran")
		e.orders.holder.ObserveFence(e.now, fence)
	}
}

// sendOrders sends the orders that lead from the known to the intended models.
func (e *Entry) sendOrders() {
	var targets []order.Target
	e.forEachOrderableTarget(func(tg *target.Target, st *targetModelState) {
		fenced, _ := e.poolOrderSettings(tg)
		ready := st.known && e.now >= st.pausedUntil && (fenced || e.now >= e.orders.earlierOrdersUntil)
		targets = append(targets, order.Target{
			Name: tg.Name, Desired: e.intendedModels(tg), Actual: st.models, Known: ready,
			Serving: tg.Usable(), Pending: st.pendingModels,
		})
	})
	for _, ord := range e.orders.planner.NextOrders(e.now, targets) {
		e.sendOrder(ord)
	}
}

// sendOrder checks the lease once more and sends the order.
func (e *Entry) sendOrder(ord order.Order) {
	fence, ok := e.orders.holder.FenceIfHeld(e.now, orderTimeout)
	tg, st := e.targets.Get(ord.Target), e.orders.modelStates[ord.Target]
	if !ok || tg == nil {
		return
	}
	_, authenticated := e.poolOrderSettings(tg)
	st.pendingModels, st.orderSentAt = ord.Models, e.now
	if st.pendingModels == nil {
		st.pendingModels = []order.Model{}
	}
	call := OrderCall{Models: ord.Models, Fence: fence, Holder: e.opts.Name, Authenticated: authenticated}
	e.emit(Log{Event: "order-given", Pairs: []string{
		"target", tg.Name, "load", ord.Load.Name, "version", ord.Load.Version, "fence", strconv.FormatUint(fence, 10),
	}})
	e.callTarget(tg, call, func(r OrderReply) {
		e.incrementCounter(CounterOrders, string(r.Status))
		switch r.Status {
		case OrderOK:
			st.orderSentAt = 0 // reads of the target show its progress from here on
			delete(e.configSync.alarms, alarmOrderPrefix+string(OrderDenied))
			delete(e.configSync.alarms, alarmOrderPrefix+string(OrderRefused))
		case OrderStale:
			st.pendingModels = nil
			e.reportHigherFence(r.State.Fence)
		case OrderDenied, OrderRefused:
			st.pendingModels, st.pausedUntil = nil, e.now+deniedRetryDelay
			e.raiseAlarm(alarmOrderPrefix + string(r.Status))
		case OrderUnreached:
			st.pendingModels = nil
		case OrderUnknown:
		}
	})
}

// callTarget emits the call and passes the reply to fn.
func (e *Entry) callTarget(tg *target.Target, call OrderCall, fn func(OrderReply)) {
	e.lastCallID++
	call.ID, call.Target, call.Address, call.Deadline = e.lastCallID, tg.Name, tg.Address, e.now+orderTimeout
	e.orders.pendingCalls[call.ID] = fn
	e.emit(call)
}

// handleOrderReply passes the reply of a target to the function that callTarget
// registered for the call. A reply to an unknown call is ignored.
func (e *Entry) handleOrderReply(ev OrderReply) {
	fn := e.orders.pendingCalls[ev.ID]
	if fn == nil {
		return
	}
	delete(e.orders.pendingCalls, ev.ID)
	fn(ev)
}

// poolOrderSettings reports whether the targets of the pool check fencing
// numbers and whether they authenticate the sender of an order.
func (e *Entry) poolOrderSettings(tg *target.Target) (fenced, authenticated bool) {
	for i := range e.accepted.Intent.Pools {
		if p := &e.accepted.Intent.Pools[i]; p.Name == tg.Pool {
			return p.Fencing, p.AuthenticatedOrders
		}
	}
	return false, false
}

// intendedModels returns the models that the configuration assigns to a target.
func (e *Entry) intendedModels(tg *target.Target) []order.Model {
	var want []order.Model
	for _, name := range tg.Models {
		if m := e.configIndex.Model(name); m != nil {
			want = append(want, order.Model{Name: m.Name, Version: m.Version})
		}
	}
	return want
}

// releaseOrdersLease releases the lease once no order is in flight.
func (e *Entry) releaseOrdersLease() {
	if len(e.orders.pendingCalls) > 0 {
		e.scheduleAfter(ordersInterval, e.releaseOrdersLease)
		return
	}
	e.orders.holder.Release(e.now)
	e.callLeaseStore()
}

// ordersDone reports whether a stopping instance has no order in flight and
// holds no lease.
func (e *Entry) ordersDone() bool {
	return len(e.orders.pendingCalls) == 0 && e.orders.holder.Idle()
}
