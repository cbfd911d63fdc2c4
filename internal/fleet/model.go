package fleet

import (
	"math"
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

// passReadMS returns the longest time that one pass with writers spends reading.
func (e *Engine) passReadMS() float64 {
	return float64(e.Stride*e.Chunk) / e.PrefillPerMS
}

// load is the predicted state of one engine at one moment.
type load struct {
	requests int     // that hold or wait for a slot
	helping  int     // parts read for requests of other engines
	unread   float64 // milliseconds of reading that wait
	step     float64 // milliseconds of one step with all present writers
	writers  int
	memory   int // tokens taken or promised
	tightest float64
}

// loadOf sums up an engine's requests.
func (r *runner) loadOf(e *Engine) load {
	l := load{step: e.StepMS, tightest: math.Inf(1)}
	for _, f := range r.flights {
		if f.Part {
			l.helping++
		} else {
			l.requests++
		}
		l.unread += f.unreadMS
		l.memory += f.MemoryTokens
		// A request that is still read becomes a writer soon.
		l.step += e.writerMS(float64(f.ContextTokens))
		if f.begun {
			l.writers++
		}
		if !f.Part && f.MaxPauseMS > 0 {
			l.tightest = min(l.tightest, float64(f.MaxPauseMS))
		}
	}
	return l
}

// pass returns the predicted time of a pass in milliseconds while readMS of
// reading waits.
func (e *Engine) pass(l load, readMS float64) float64 {
	return float64(e.Stride)*l.step + min(readMS, e.passReadMS())
}

// slotWait returns the predicted milliseconds until a slot is free.
func (r *runner) slotWait(e *Engine, l load) float64 {
	over := l.requests - r.Slots
	if over < 0 {
		return 0
	}
	// Requests end at about even distances over the usual time of an answer.
	whole := float64(e.UsualAnswer) * l.step
	return whole * float64(over+1) / float64(max(1, r.Slots))
}
