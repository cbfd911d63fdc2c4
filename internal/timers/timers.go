// Package timers holds what a state machine without a clock has to do later. Time
// is a monotonic duration that the owner hands in.
package timers

import (
	"container/heap"
	"time"
)

// Queue holds functions with the times at which they are due. Those of the same
// time run in the order in which they were set. The zero value is empty.
type Queue struct {
	timers timerHeap
	seq    uint64
}

// Set has fn run at the first Run at or after at. Timers are not cancelled: fn
// checks whether it still applies.
func (q *Queue) Set(at time.Duration, fn func()) {
	q.seq++
	heap.Push(&q.timers, timer{at: at, seq: q.seq, fn: fn})
}

// Run runs what is due at now, and what that sets for now.
func (q *Queue) Run(now time.Duration) {
	for len(q.timers) > 0 && q.timers[0].at <= now {
		heap.Pop(&q.timers).(timer).fn()
	}
}

// Next returns the time of the next timer; ok is false when there is none.
func (q *Queue) Next() (at time.Duration, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

type timer struct {
	at  time.Duration
	seq uint64 // orders timers of the same time
	fn  func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}
