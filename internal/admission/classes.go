package admission

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/target"
)

// overdueShare is the share of its time limit after which a waiting request is served
// before those of higher priority, so that no class starves.
const overdueShare = 0.25

// drainTimeConstant is the time constant of the measured rate at which work of a class
// is sent to targets.
const drainTimeConstant = 10 * time.Second

// ClassQueues holds the queues of all length classes.
type ClassQueues struct {
	queues      [request.NumClasses]*Queue
	drainMeters [request.NumClasses]rateMeter
	byPriority  [request.NumClasses]request.Class
}

// NewClassQueues returns empty queues with the default priorities: shorter classes first.
func NewClassQueues(limits [request.NumClasses]Limits) *ClassQueues {
	c := &ClassQueues{}
	for i := range c.queues {
		c.queues[i] = NewQueue(limits[i])
	}
	c.SetPriorities(target.DefaultPriorities())
	return c
}

// SetPriorities sets the priorities of the classes. Classes of higher priority are
// served first, and the shorter of two classes with the same priority.
func (c *ClassQueues) SetPriorities(p target.Priorities) {
	for i := range c.byPriority {
		c.byPriority[i] = request.Class(i)
	}
	for i := 1; i < len(c.byPriority); i++ {
		for j := i; j > 0 && p[c.byPriority[j]] > p[c.byPriority[j-1]]; j-- {
			c.byPriority[j], c.byPriority[j-1] = c.byPriority[j-1], c.byPriority[j]
		}
	}
}

// Len returns the number of waiting requests in all classes.
func (c *ClassQueues) Len() int {
	n := 0
	for _, q := range c.queues {
		n += q.Len()
	}
	return n
}

// Queue returns the queue of one class.
func (c *ClassQueues) Queue(class request.Class) *Queue { return c.queues[class] }

// ServiceOrder returns the classes in the order in which their heads are tried: first those
// whose head is overdue, then the others, both by priority.
func (c *ClassQueues) ServiceOrder(now time.Duration) [request.NumClasses]request.Class {
	var ordered [request.NumClasses]request.Class
	n := 0
	var taken [request.NumClasses]bool
	for _, class := range c.byPriority {
		if head, ok := c.queues[class].Head(); ok && Overdue(head, now) {
			ordered[n] = class
			taken[class] = true
			n++
		}
	}
	for _, class := range c.byPriority {
		if !taken[class] {
			ordered[n] = class
			n++
		}
	}
	return ordered
}

// Overdue reports whether the request has waited so long that it is served before
// those of higher priority.
func Overdue(it Item, now time.Duration) bool {
	limit := it.Deadline - it.Enqueued
	return now-it.Enqueued > time.Duration(overdueShare*float64(limit))
}

// RecordSent records that work of a class was sent to a target, whether or not it was queued
// before.
func (c *ClassQueues) RecordSent(now time.Duration, class request.Class, cost float64) {
	c.drainMeters[class].add(now, cost)
}

// PredictWait predicts how long a new request of the workspace would wait. ok is false if
// there is work ahead and no measured drain rate of the class yet.
func (c *ClassQueues) PredictWait(now time.Duration, class request.Class, workspace string, weight float64) (wait time.Duration, ok bool) {
	ahead := c.queues[class].CostAhead(workspace, weight)
	if ahead == 0 {
		return 0, true
	}
	rate := c.drainMeters[class].rate(now)
	if rate <= 0 {
		return 0, false
	}
	return time.Duration(ahead / rate * float64(time.Second)), true
}
