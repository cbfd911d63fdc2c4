// Package timers provides a timer queue for state machines that read no clock. Times
// are monotonic durations since an origin that the owner of the queue chooses.
package timers

import (
	"container/heap"
	"time"
)

// Queue is a queue of functions ordered by the times at which they are due. Functions
// due at the same time run in the order in which they were set. The zero value is an
// empty queue.
type Queue struct {
	timers timerHeap
	seq    uint64
}

// Set schedules fn for the first call of Run at or after dueAt. Timers cannot be
// cancelled: fn has to check whether it still applies.
func (q *Queue) Set(dueAt time.Duration, fn func()) {
	q.seq++
	heap.Push(&q.timers, timer{dueAt: dueAt, seq: q.seq, fn: fn})
}

// Run runs the functions that are due at now, including those that they set for now
// or earlier.
func (q *Queue) Run(now time.Duration) {
	for len(q.timers) > 0 && q.timers[0].dueAt <= now {
		heap.Pop(&q.timers).(timer).fn()
	}
}

// Next returns the time at which the next function is due; ok is false if the queue is
// empty.
func (q *Queue) Next() (dueAt time.Duration, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].dueAt, true
}

type timer struct {
	dueAt time.Duration
	seq   uint64 // orders timers of the same time
	fn    func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}
