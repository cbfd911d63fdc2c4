package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/order"
)

// modelServer simulates the models of one engine. A load takes three seconds.
// Without fencing it ignores fencing numbers.
type modelServer struct {
	fencing    bool
	state      OrderState
	loadEndsAt time.Duration
	lastHolder string
	readCount  int
}

// completeLoad puts the models of a load in service once it is done.
func (m *modelServer) completeLoad(now time.Duration) {
	if m.state.Loading != nil && now >= m.loadEndsAt {
		m.state.Models, m.state.Loading = m.state.Loading, nil
	}
}

// handleCall carries out a read or an order. An order unloads at once the models
// that it does not list and then loads those that it lists.
func (m *modelServer) handleCall(now time.Duration, c OrderCall) OrderStatus {
	m.completeLoad(now)
	if c.Read {
		m.readCount++
		return OrderOK
	}
	if m.fencing && c.Fence < m.state.Fence {
		return OrderStale
	}
	if m.fencing {
		m.state.Fence = c.Fence
	}
	m.lastHolder = c.Holder
	m.state.Models = slices.DeleteFunc(slices.Clone(m.state.Models), func(have order.Model) bool { return !slices.Contains(c.Models, have) })
	m.state.Loading, m.loadEndsAt = c.Models, now+3*time.Second
	return OrderOK
}

// orderSim is a cluster with engines that take orders to load models.
type orderSim struct {
	*cluster
	engines map[string]*modelServer
	// modelWasMissing reports whether at any time no engine had the model draft.
	modelWasMissing bool
	// delaysOrders keeps new orders in delayedOrders, for the test to carry out.
	delaysOrders  bool
	delayedOrders []func()
}

// newOrderSim starts three entries and four engines that serve version 1 of the
// model draft, while the configuration asks for version 2.
func newOrderSim(t *testing.T, fencing bool) *orderSim {
	return newOrderSimWithEngines(t, 4, fencing, "1")
}

// newOrderSimWithEngines starts three entries and a number of engines that serve
// the given version of the model draft, while the configuration asks for version
// 2.
func newOrderSimWithEngines(t *testing.T, engines int, fencing bool, version string) *orderSim {
	intent := testIntent()
	intent.Models[0].Version, intent.Models[0].WeightBytes = "2", 1<<30
	intent.Pools[0].Targets, intent.Pools[0].Fencing = nil, fencing
	sim := &orderSim{cluster: newCluster(3, "domain-a"), engines: map[string]*modelServer{}}
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		intent.Pools[0].Targets = append(intent.Pools[0].Targets, configuration.Target{Name: name, Address: "a:" + name, FailureDomain: "domain-a"})
		sim.engines[name] = &modelServer{fencing: fencing, state: OrderState{Models: []order.Model{{Name: "draft", Version: version}}}}
	}
	intent.Pools[1].Targets[0].FailureDomain = "domain-a"
	for _, e := range sim.entries {
		e.opts.Orders = true
	}
	sim.orderHandler = sim.executeOrder
	sim.withStore(t, intent)
	return sim
}

// executeOrder carries out a call to an engine's models and schedules the reply.
func (sim *orderSim) executeOrder(name string, c OrderCall) {
	caller := sim.entries[name]
	execute := func() {
		status := sim.engines[c.Target].handleCall(sim.now, c)
		sim.scheduled = append(sim.scheduled, scheduledEvent{dueAt: sim.now + time.Millisecond, recipient: name, caller: caller, event: OrderReply{ID: c.ID, Status: status, State: sim.engines[c.Target].state}})
		sim.recordModelAvailability()
	}
	if sim.delaysOrders && !c.Read {
		sim.delayedOrders = append(sim.delayedOrders, execute)
		return
	}
	execute()
}

// recordModelAvailability sets modelWasMissing if no engine has the model now.
func (sim *orderSim) recordModelAvailability() {
	serving := 0
	for _, m := range sim.engines {
		m.completeLoad(sim.now)
		if slices.ContainsFunc(m.state.Models, func(m order.Model) bool { return m.Name == "draft" }) {
			serving++
		}
	}
	sim.modelWasMissing = sim.modelWasMissing || serving == 0
}

// allServeVersion2 reports whether every engine has version 2 of the model and no
// other model.
func (sim *orderSim) allServeVersion2() bool {
	sim.recordModelAvailability()
	for _, m := range sim.engines {
		if !slices.Equal(m.state.Models, []order.Model{{Name: "draft", Version: "2"}}) {
			return false
		}
	}
	return true
}

// await advances the clock until holds returns true. The test fails after limit.
func (sim *orderSim) await(t *testing.T, limit time.Duration, condition string, holds func() bool) {
	t.Helper()
	for end := sim.now + limit; !holds(); sim.advance(100 * time.Millisecond) {
		if sim.now > end {
			t.Fatalf("not within %s: %s", limit, condition)
		}
	}
}

// leaseHolder returns the name of the entry that holds the writer's lease, empty
// if none does. If several hold it, it returns their names joined together, which
// no entry has.
func (sim *orderSim) leaseHolder() string {
	holder := ""
	for _, name := range sim.names {
		if e := sim.entries[name]; e != nil {
			if _, ok := e.orders.holder.FenceIfHeld(sim.now, 0); ok {
				holder += name
			}
		}
	}
	return holder
}

// An update of the model must leave it on at least one engine at all times, and
// all orders must come from one writer.
func TestModelUpdateKeepsTheModelServed(t *testing.T) {
	sim := newOrderSim(t, true)
	sim.await(t, 3*time.Minute, "version 2 everywhere", sim.allServeVersion2)
	must.False(t, sim.modelWasMissing, must.Sprint("no engine had the model"))
	holders := map[string]bool{}
	for _, m := range sim.engines {
		holders[m.lastHolder] = true
	}
	must.MapLen(t, 1, holders)
}

// The writer's traffic must not grow with the number of targets: while there is
// nothing to order it reads at most one target's state a second, and each target
// in turn.
func TestIdleTargetsAreReadInTurn(t *testing.T) {
	const engines = 40
	sim := newOrderSimWithEngines(t, engines, true, "2")
	sim.await(t, time.Minute, "all states read", func() bool {
		for _, m := range sim.engines {
			if m.readCount == 0 {
				return false
			}
		}
		return true
	})
	sim.advance(rereadInterval)
	for _, m := range sim.engines {
		m.readCount = 0
	}
	sim.advance(engines * 2 * ordersInterval)
	total := 0
	for name, m := range sim.engines {
		must.Positive(t, m.readCount, must.Sprint(name))
		total += m.readCount
	}
	must.LessEq(t, engines*2+1, total)
}

// Orders of a writer are delayed in the network and arrive after it crashed and
// its successor gave other orders. A target that checks fencing numbers must
// refuse them; on one that doesn't, the successor must correct the models.
func TestDelayedOrdersOfALostWriterAreRefusedOrCorrected(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %t", fencing), func(t *testing.T) {
			sim := newOrderSim(t, fencing)
			sim.delaysOrders = true
			sim.await(t, time.Minute, "an order", func() bool { return len(sim.delayedOrders) > 0 })
			sim.delaysOrders = false
			lostWriter := sim.leaseHolder()
			sim.killEntry(lostWriter)
			sim.await(t, 3*time.Minute, "version 2 everywhere", sim.allServeVersion2)
			must.NotEq(t, lostWriter, sim.leaseHolder())
			for _, execute := range sim.delayedOrders {
				execute()
			}
			sim.engines["e3"].handleCall(sim.now, OrderCall{Models: []order.Model{{Name: "draft", Version: "0"}}, Fence: 1, Holder: lostWriter})
			must.Eq(t, fencing, sim.engines["e3"].lastHolder != lostWriter)
			sim.await(t, 2*time.Minute, "version 2 everywhere again", sim.allServeVersion2)
			must.False(t, sim.modelWasMissing)
		})
	}
}

func TestPlannedStopHandsOverTheLease(t *testing.T) {
	sim := newOrderSim(t, true)
	sim.await(t, time.Minute, "a writer", func() bool { return sim.leaseHolder() != "" })
	first, start := sim.leaseHolder(), sim.now
	sim.stepEntry(first, Stop{})
	sim.await(t, 20*time.Second, "the end of the stop", func() bool { return len(effectsOf[Stopped](sim.effectsByEntry[first])) == 1 })
	sim.await(t, 30*time.Second, "another writer", func() bool { return sim.leaseHolder() != "" && sim.leaseHolder() != first })
	must.Less(t, 20*time.Second, sim.now-start)
}

// Failure: a stop that begins while the last call of a lease's acquisition is under
// way never ends, since the lease that it brings is renewed by nobody and not released.
func TestPlannedStopEndsWhileTheLeaseIsBeingAcquired(t *testing.T) {
	const storeLatency = 1200 * time.Millisecond // more than ordersInterval
	for at := time.Duration(0); at < 20*time.Second; at += storeLatency / 4 {
		sim := newOrderSim(t, true)
		sim.storeLatency = storeLatency
		sim.advance(at)
		for _, name := range sim.names {
			sim.entries[name].opts.StopLag = 5 * time.Second
			sim.stepEntry(name, Stop{})
		}
		for _, name := range sim.names {
			sim.await(t, 30*time.Second, fmt.Sprintf("the end of the stop of %s begun at %v", name, at), func() bool {
				return len(effectsOf[Stopped](sim.effectsByEntry[name])) == 1
			})
		}
	}
}
