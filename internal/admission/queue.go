// Package admission decides which requests wait, in which order they are served, and
// which are refused when there is more work than capacity.
//
// Each length class has its own queue with its own limits, so that short requests never
// wait behind long ones. Within a class, workspaces share capacity by weighted fair
// queueing over predicted cost.
package admission

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
)

// Item is one waiting request.
type Item struct {
	ID        uint64
	Workspace string
	// Weight is the workspace's weight in fair queueing; zero means 1.
	Weight float64
	Class  request.Class
	// Cost is the predicted work, in tokens.
	Cost     float64
	Enqueued time.Duration
	Deadline time.Duration

	virtualStart float64 // start time in fair queueing
}

// Limits bound the queue of one class.
type Limits struct {
	Items int
	Cost  float64 // tokens
}

// DefaultLimits returns the default limits of each class. They are rarely reached
// because the deadline check refuses most work long before.
func DefaultLimits() [request.NumClasses]Limits {
	return [request.NumClasses]Limits{
		request.ClassShort:  {Items: 4096, Cost: 16e6},
		request.ClassMedium: {Items: 1024, Cost: 32e6},
		request.ClassLong:   {Items: 256, Cost: 25e6},
		request.ClassHuge:   {Items: 64, Cost: 64e6},
	}
}

// Refusal is a request that the queue refused or dropped, with the reason.
type Refusal struct {
	Item Item
	Code result.Code
}

// Queue holds the waiting requests of one class.
type Queue struct {
	limits      Limits
	flows       map[string]*flow
	activeFlows []*flow // flows with items, in the order of becoming active
	headFlow    *flow   // cached result of nextFlow; nil if it must be recomputed
	virtualTime float64
	length      int
	cost        float64
}

// flow holds the waiting requests of one workspace.
type flow struct {
	workspace     string
	items         []Item
	virtualFinish float64 // virtual finish time of the last item
	cost          float64
	weight        float64
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{limits: limits, flows: make(map[string]*flow)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Cost returns the predicted work of the waiting requests, in tokens.
func (q *Queue) Cost() float64 { return q.cost }

// CostAhead returns the work that fair queueing serves before a new request of the
// workspace, in tokens: all waiting work of the workspace itself, and from each other
// workspace at most its share in the meantime plus its first request.
func (q *Queue) CostAhead(workspace string, weight float64) float64 {
	weight = weightOrDefault(weight)
	own := 0.0
	if f := q.flows[workspace]; f != nil {
		own = f.cost
	}
	ahead := own
	for _, f := range q.activeFlows {
		if f.workspace != workspace {
			ahead += min(f.cost, (own/weight)*f.weight+f.items[0].Cost)
		}
	}
	return ahead
}

// Push adds a request and returns those refused to stay within the limits. While a
// limit is exceeded, the workspace with the most waiting work relative to its weight
// loses its latest request, which may be the new one. A request that waits alone may
// exceed the limit of the cost.
func (q *Queue) Push(it Item) (refused []Refusal) {
	it.Weight = weightOrDefault(it.Weight)
	q.enqueue(it)
	for q.length > q.limits.Items || q.cost > q.limits.Cost && q.length > 1 {
		victim := q.shedLatest()
		code := result.Shed
		if victim.ID == it.ID {
			code = result.QueueFull
		}
		refused = append(refused, Refusal{Item: victim, Code: code})
	}
	return refused
}

// enqueue appends a request to its workspace's flow and assigns its virtual start time.
func (q *Queue) enqueue(it Item) {
	f := q.flows[it.Workspace]
	if f == nil {
		f = &flow{workspace: it.Workspace}
		q.flows[it.Workspace] = f
	}
	f.weight = it.Weight
	if len(f.items) == 0 {
		q.activeFlows = append(q.activeFlows, f)
		q.headFlow = nil
	}
	it.virtualStart = max(q.virtualTime, f.virtualFinish)
	f.virtualFinish = it.virtualStart + it.Cost/it.Weight
	f.items = append(f.items, it)
	f.cost += it.Cost
	q.length++
	q.cost += it.Cost
}

// shedLatest removes and returns the latest request of the flow with the most waiting
// work relative to its weight.
func (q *Queue) shedLatest() Item {
	worst := q.activeFlows[0]
	for _, f := range q.activeFlows[1:] {
		if f.cost/f.weight > worst.cost/worst.weight {
			worst = f
		}
	}
	last := worst.items[len(worst.items)-1]
	worst.virtualFinish = last.virtualStart
	q.removeAt(worst, len(worst.items)-1)
	return last
}

// Head returns the request to serve next; false if the queue is empty.
func (q *Queue) Head() (Item, bool) {
	f := q.nextFlow()
	if f == nil {
		return Item{}, false
	}
	return f.items[0], true
}

// Pop removes the request that Head returns.
func (q *Queue) Pop() {
	f := q.nextFlow()
	if f == nil {
		return
	}
	q.virtualTime = max(q.virtualTime, f.items[0].virtualStart)
	q.removeAt(f, 0)
}

// Remove removes a request from any position and reports whether it was found.
func (q *Queue) Remove(workspace string, id uint64) bool {
	f := q.flows[workspace]
	if f == nil {
		return false
	}
	for i := range f.items {
		if f.items[i].ID == id {
			q.removeAt(f, i)
			return true
		}
	}
	return false
}

// nextFlow returns the flow whose head has the lowest virtual start time; among equals,
// the one that became active first.
func (q *Queue) nextFlow() *flow {
	if q.headFlow != nil {
		return q.headFlow
	}
	for _, f := range q.activeFlows {
		if q.headFlow == nil || f.items[0].virtualStart < q.headFlow.items[0].virtualStart {
			q.headFlow = f
		}
	}
	return q.headFlow
}

// removeAt removes the item at index i of a flow. A flow without items becomes inactive.
// It is deleted unless its past service still delays its next request.
func (q *Queue) removeAt(f *flow, i int) {
	it := f.items[i]
	if i == 0 {
		q.headFlow = nil
	}
	f.items = append(f.items[:i], f.items[i+1:]...)
	f.cost -= it.Cost
	q.length--
	q.cost -= it.Cost
	if len(f.items) > 0 {
		return
	}
	for j, other := range q.activeFlows {
		if other == f {
			q.activeFlows = append(q.activeFlows[:j], q.activeFlows[j+1:]...)
			break
		}
	}
	if f.virtualFinish <= q.virtualTime || q.length == 0 {
		delete(q.flows, f.workspace)
	}
	q.resetIfEmpty()
}

// resetIfEmpty deletes all flows and resets virtual time when no request waits, because
// past service then no longer affects the order.
func (q *Queue) resetIfEmpty() {
	if q.length == 0 {
		clear(q.flows)
		q.virtualTime, q.cost = 0, 0
	}
}

// weightOrDefault returns the weight, or 1 if it is not positive.
func weightOrDefault(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
