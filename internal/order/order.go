// Package order plans the orders that bring the models of targets to the desired
// state set by operators. An order is declarative: it contains the full set of
// models that a target should have, so that one that is repeated or delayed has
// no effect beyond what the next order corrects.
package order

import (
	"slices"
	"time"
)

// Model is one version of a model.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Target holds the desired and the actual state of one target.
type Target struct {
	Name string
	// Desired is the set of models that the target should have, Actual the set that the target has.
	Desired []Model
	Actual  []Model
	// Known is set if Actual was read from the target.
	Known bool
	// Serving is set if the target currently accepts requests.
	Serving bool
	// Pending is the set of models of an order that is not completed, nil if
	// there is none.
	Pending []Model
}

// Order sets the models of a target.
type Order struct {
	Target string
	// Models is the full set that the target should have.
	Models []Model
	// Load is the model that the order adds, zero if it only removes one.
	Load Model
}

// Planner plans orders and limits the rate of loads to that of the weight store.
// It is not safe for concurrent use.
type Planner struct {
	// BytesPerSecond is the rate at which the weight store serves this failure
	// domain; zero means unlimited.
	BytesPerSecond float64
	// WeightBytes returns the size of a model in the weight store in bytes.
	WeightBytes func(Model) int64

	weightStoreFreeAt time.Duration // when the weight store has served the loads ordered so far
}

// NextOrders returns the orders to send at now. Each changes one model of a target that
// has no pending order. A load is delayed until the weight store has had time to
// serve the loads before it. A model is removed from a serving target only if
// another target keeps serving it.
func (p *Planner) NextOrders(now time.Duration, targets []Target) []Order {
	var orders []Order
	serving := countServing(targets)
	for i := range targets {
		t := &targets[i]
		if !t.Known || t.Pending != nil || sameModels(t.Desired, t.Actual) {
			continue
		}
		order, ok := p.nextChange(now, t, serving)
		if !ok {
			continue
		}
		orders = append(orders, order)
		for _, m := range t.Actual {
			if t.Serving && !slices.Contains(order.Models, m) {
				serving[m.Name]--
			}
		}
	}
	return orders
}

// nextChange returns the order for the next change of one model of a target; it
// returns false if no change is possible now. Loads precede removals.
func (p *Planner) nextChange(now time.Duration, t *Target, serving map[string]int) (Order, bool) {
	for _, m := range t.Desired {
		if slices.Contains(t.Actual, m) {
			continue
		}
		if now < p.weightStoreFreeAt || !canReplace(t, m, serving) {
			continue
		}
		if p.BytesPerSecond > 0 {
			p.weightStoreFreeAt = now + time.Duration(float64(p.WeightBytes(m))/p.BytesPerSecond*float64(time.Second))
		}
		models := slices.DeleteFunc(slices.Clone(t.Actual), func(h Model) bool { return h.Name == m.Name })
		return Order{Target: t.Name, Models: append(models, m), Load: m}, true
	}
	for _, m := range t.Actual {
		wanted := slices.ContainsFunc(t.Desired, func(w Model) bool { return w.Name == m.Name })
		if wanted || t.Serving && serving[m.Name] < 2 {
			continue
		}
		models := slices.DeleteFunc(slices.Clone(t.Actual), func(h Model) bool { return h == m })
		return Order{Target: t.Name, Models: models}, true
	}
	return Order{}, false
}

// canReplace reports whether the target may drop its current version of the model
// while the new one loads: it has none, does not serve, or another target serves
// the model.
func canReplace(t *Target, m Model, serving map[string]int) bool {
	loaded := slices.ContainsFunc(t.Actual, func(h Model) bool { return h.Name == m.Name })
	return !loaded || !t.Serving || serving[m.Name] >= 2
}

// countServing returns the number of targets that serve each model, by the
// model's name. A target with a pending order is sure to serve only the models
// that it has both before and after that order.
func countServing(targets []Target) map[string]int {
	serving := make(map[string]int)
	for _, t := range targets {
		if !t.Known || !t.Serving {
			continue
		}
		for _, m := range t.Actual {
			if t.Pending == nil || slices.Contains(t.Pending, m) {
				serving[m.Name]++
			}
		}
	}
	return serving
}

// sameModels reports whether two sets of distinct models are equal.
func sameModels(a, b []Model) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !slices.Contains(b, m) {
			return false
		}
	}
	return true
}
