package fleet

import (
	"math"
	"slices"
	"time"
)

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMS(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// pairsPerMillion is the unit of Engine.PairsMSPerM.
const pairsPerMillion = 1e6

// readMS returns the milliseconds that an idle engine takes to read one of
// parts even parts of a prompt.
func (e *Engine) readMS(tokens, parts int) float64 {
	n := float64(tokens) / float64(parts)
	pairs := float64(tokens) * float64(tokens) / 2 / float64(parts)
	return n/e.PrefillPerMS + pairs/pairsPerMillion*e.PairsMSPerM + math.Ceil(n/float64(e.Chunk))*e.StepMS
}

// writerMS returns what a writing request adds to each step.
func (e *Engine) writerMS(contextTokens float64) float64 {
	return e.PerSequenceMS + e.ContextMSPerK*contextTokens/1000
}

// requestKey identifies a request among all instances.
type requestKey struct {
	owner   string
	request uint64
}

// reading is a prompt, or a part of one, that waits to be read.
type reading struct {
	ms     float64 // left to read
	chunks float64 // steps that it takes
	// request is the one whose prompt it is.
	request requestKey
	// value is that of the request; its first event satisfies the caller within
	// so many milliseconds, and finds the caller within leaves.
	value, within, leaves float64
}

// load is the predicted state of one engine at one moment.
type load struct {
	requests int     // that hold or wait for a slot
	helping  int     // parts read for requests of other engines
	unread   float64 // milliseconds of reading that wait
	step     float64 // milliseconds of one step with all present writers
	writers  int
	prompts  int // that the engine reads for its own requests
	memory   int // tokens taken or promised
	// queue is what waits to be read, in its order: parts for other engines, the
	// newest first, before the engine's own prompts.
	queue []reading
	// worstPass is the longest pass while the queue is read.
	worstPass float64
}

// loadOf sums up an engine's requests.
func (r *runner) loadOf(e *Engine) load {
	l := load{step: e.StepMS}
	for _, f := range r.flights {
		if f.Part {
			l.helping++
		} else {
			l.requests++
		}
		l.memory += f.MemoryTokens
		// A request that is still read becomes a writer soon.
		l.step += e.writerMS(float64(f.ContextTokens))
		if f.begun {
			l.writers++
		}
		if f.unreadMS <= 0 {
			continue
		}
		if !f.Part {
			l.prompts++
		}
		l.unread += f.unreadMS
		age := ms(r.advancedAt-f.seenAt) + float64(f.AgeMS)
		l.queue = append(l.queue, reading{
			ms: f.unreadMS, chunks: e.chunks(f.ContextTokens) * f.unreadMS / f.ReadMS,
			request: requestKey{f.owner, f.Request}, value: f.Value, within: float64(f.FirstWithinMS) - age, leaves: float64(f.LeavesWithinMS) - age,
		})
	}
	_, l.worstPass = e.readAll(l.queue, l.step, -1)
	return l
}

// chunks returns the number of steps in which tokens are read.
func (e *Engine) chunks(tokens int) float64 { return math.Ceil(float64(tokens) / float64(e.Chunk)) }

// readAll predicts the reading of a queue beside writers whose steps take
// stepMS: when the entry at index is read, in milliseconds from now, and how
// long the longest pass is.
func (e *Engine) readAll(queue []reading, stepMS float64, index int) (readAt, worstPass float64) {
	steps := float64(e.Stride) * stepMS
	room, pass := float64(e.Stride), steps
	worstPass = pass
	var now float64
	for i, q := range queue {
		left := q
		for left.chunks > 0 {
			n := min(room, left.chunks)
			t := left.ms * n / left.chunks
			left.ms, left.chunks = left.ms-t, left.chunks-n
			room, pass, now = room-n, pass+t, now+t
			worstPass = max(worstPass, pass)
			if room <= 0 {
				room, pass, now = float64(e.Stride), steps, now+steps
			}
		}
		if i == index {
			readAt = now
		}
	}
	return readAt, worstPass
}

// with returns the queue with one more entry, and its index. A part for another
// engine goes before everything else.
func (l *load) with(r reading, part bool) (queue []reading, index int) {
	index = len(l.queue)
	if part {
		index = 0
	}
	return slices.Insert(slices.Clone(l.queue), index, r), index
}

// slotWaitSpread is how much longer than on average a wait for a slot is taken to
// be: nine in ten exponential waits are shorter than 2.3 means.
const slotWaitSpread = 2.3

// slotWait returns the predicted milliseconds until a slot is free.
func (r *runner) slotWait(e *Engine, l load) float64 {
	over := l.requests - r.Slots + 1
	if over <= 0 {
		return 0
	}
	// Requests end over the usual time of an answer at distances that vary as
	// much as they are long.
	whole := float64(e.UsualAnswer) * l.step
	return slotWaitSpread * whole * float64(over) / float64(max(1, r.Slots))
}
