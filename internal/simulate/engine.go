package simulate

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// queueFactor is how many requests wait at an engine for each of its slots before
// it refuses more.
const queueFactor = 2

// engine is one model engine. It works in passes: with requests that write, a
// pass takes the figures' stride of steps, each of which may also read a chunk of
// prompts; without, it is one step.
type engine struct {
	sim    *Simulation
	target fleet.Target
	e      *fleet.Engine
	// pace multiplies the time of each pass; above 1 the engine is slow.
	pace float64

	waiting []*work // for a slot or for memory, the most urgent first
	running []*work // in the order of admission
	parts   []*part // read for other engines, the newest first
	tickets map[string]int
	busy    bool
	gone    bool
}

// work is one attempt at its engine.
type work struct {
	attempt *attempt
	engine  *engine
	read    int // prompt tokens read here
	own     int // prompt tokens to read here
	pending int // parts at other engines that are not read yet
	parts   []*part
	written int
	writes  bool
}

// part is a share of a prompt that an engine reads for another one.
type part struct {
	owner    *work
	engine   *engine
	tokens   int
	read     int
	ticketed bool
}

// memory returns the tokens that are taken or promised.
func (g *engine) memory() int {
	total := 0
	for _, w := range g.running {
		total += w.memory()
	}
	for _, tokens := range g.tickets {
		total += tokens
	}
	return total
}

// memory is what the attempt takes at its first engine: all of it, but for what
// lies in tickets elsewhere.
func (w *work) memory() int {
	total := w.attempt.call.prompt + w.attempt.call.answer
	for _, p := range w.parts {
		if p.ticketed {
			total -= p.tokens
		}
	}
	return total
}

// submit takes an attempt, or returns false if the engine is full.
func (g *engine) submit(a *attempt) bool {
	w := &work{attempt: a, engine: g, written: a.events * g.e.Stride}
	n := 1 + len(a.send.Helpers)
	w.own = a.call.prompt / n
	if g.gone || len(g.waiting) >= queueFactor*g.e.Slots || w.own+a.call.answer > g.e.MemoryTokens {
		return false
	}
	a.work = w
	i := slices.IndexFunc(g.waiting, func(o *work) bool { return o.attempt.send.Urgency > a.send.Urgency })
	if i < 0 {
		i = len(g.waiting)
	}
	g.waiting = slices.Insert(g.waiting, i, w)
	g.wake()
	return true
}

// cancel drops an attempt and its parts.
func (g *engine) cancel(w *work) {
	drop := func(o *work) bool { return o == w }
	g.waiting = slices.DeleteFunc(g.waiting, drop)
	g.running = slices.DeleteFunc(g.running, drop)
	for _, p := range w.parts {
		p.engine.parts = slices.DeleteFunc(p.engine.parts, func(o *part) bool { return o == p })
	}
}

// reserve sets memory aside, or returns false if it is not free.
func (g *engine) reserve(ticket string, tokens int) bool {
	if _, ok := g.tickets[ticket]; ok {
		return true
	}
	if g.gone || g.memory()+tokens > g.e.MemoryTokens {
		return false
	}
	g.tickets[ticket] = tokens
	return true
}

// admit gives slots to waiting requests as long as memory lasts.
func (g *engine) admit() {
	for len(g.waiting) > 0 && len(g.running) < g.e.Slots {
		w := g.waiting[0]
		need := w.attempt.call.prompt + w.attempt.call.answer
		if len(w.attempt.send.Helpers) > 0 && w.attempt.send.Helpers[0].Ticket != "" {
			need = w.own + w.attempt.call.answer
		}
		if g.memory()+need > g.e.MemoryTokens {
			return
		}
		g.waiting = g.waiting[1:]
		g.running = append(g.running, w)
		for _, h := range w.attempt.send.Helpers {
			p := &part{owner: w, engine: g.sim.engines[h.Target], tokens: w.own, ticketed: h.Ticket != ""}
			w.parts = append(w.parts, p)
			w.pending++
			g.sim.after(g.sim.hop(g.target.Domain, p.engine.target.Domain), func() { p.engine.help(p) })
		}
	}
}

// help takes a part, unless its request was cancelled on the way.
func (g *engine) help(p *part) {
	if p.owner.attempt.ended {
		return
	}
	g.parts = slices.Insert(g.parts, 0, p)
	g.wake()
}

// wake starts a pass at an idle engine.
func (g *engine) wake() {
	if g.busy || g.gone {
		return
	}
	g.admit()
	var writers []*work
	for _, w := range g.running {
		if w.writes {
			writers = append(writers, w)
		}
	}
	ms, active := g.pass(writers)
	if !active {
		return
	}
	g.busy = true
	g.sim.after(time.Duration(ms*g.pace*float64(time.Millisecond)), func() { g.endPass(writers) })
}

// pass reads prompts and returns the milliseconds that it takes; active is false
// if there is nothing to do.
func (g *engine) pass(writers []*work) (ms float64, active bool) {
	step, steps := g.e.StepMS, 1
	for _, w := range writers {
		step += g.e.PerSequenceMS + g.e.ContextMSPerK*float64(w.own+w.written)/1000
		if len(w.parts) > 0 {
			step += g.e.HopMS
		}
		steps = g.e.Stride
	}
	active = len(writers) > 0
	for range steps {
		read, any := g.readChunk()
		active = active || any
		ms += step + read
	}
	return ms, active
}

// readChunk reads up to a chunk: parts for other engines first, then the engine's
// own prompts in the order of admission.
func (g *engine) readChunk() (ms float64, any bool) {
	left := g.e.Chunk
	for _, p := range g.parts {
		n := min(left, p.tokens-p.read)
		ms += g.readMS(n, p.owner.pairsPerToken(p.read, n))
		p.read, left = p.read+n, left-n
	}
	for _, w := range g.running {
		n := min(left, w.own-w.read)
		ms += g.readMS(n, w.pairsPerToken(w.read, n))
		w.read, left = w.read+n, left-n
	}
	return ms, left < g.e.Chunk
}

func (g *engine) readMS(tokens int, pairsPerToken float64) float64 {
	return float64(tokens)/g.e.PrefillPerMS + float64(tokens)*pairsPerToken/1e6*g.e.PairsMSPerM
}

// pairsPerToken is the mean number of earlier tokens before each of n tokens: of
// a prompt in parts, each part has its share of the whole.
func (w *work) pairsPerToken(read, n int) float64 {
	if len(w.attempt.send.Helpers) > 0 {
		return float64(w.attempt.call.prompt) / 2
	}
	return float64(read) + float64(n)/2
}

// endPass hands over what was written and read.
func (g *engine) endPass(writers []*work) {
	g.busy = false
	if g.gone {
		return
	}
	for _, w := range writers {
		if w.attempt.ended {
			continue
		}
		w.written += g.e.Stride
		done := w.written >= w.attempt.call.answer
		if done {
			g.cancel(w)
		}
		w.attempt.event(done)
	}
	for _, p := range slices.Clone(g.parts) {
		if p.read >= p.tokens {
			g.parts = slices.DeleteFunc(g.parts, func(o *part) bool { return o == p })
			g.sim.after(g.sim.hop(g.target.Domain, p.owner.engine.target.Domain), func() { p.owner.partRead() })
		}
	}
	for _, w := range slices.Clone(g.running) {
		if !w.writes && w.read >= w.own {
			w.partsRead()
		}
	}
	g.wake()
}

// partRead notes that another engine has read its part.
func (w *work) partRead() {
	w.pending--
	if !w.engine.busy && !w.attempt.ended && w.read >= w.own {
		w.partsRead()
		w.engine.wake()
	}
}

// partsRead begins the answer, with its first token, once the whole prompt is
// read: at the end of the pass that read the last of it.
func (w *work) partsRead() {
	if w.pending > 0 || w.attempt.ended {
		return
	}
	w.writes = true
	w.written++
	w.attempt.event(false)
}

// fail ends the engine: everything on it breaks off.
func (g *engine) fail() {
	g.gone = true
	for _, w := range slices.Concat(g.waiting, g.running) {
		w.attempt.broken()
	}
	for _, p := range slices.Clone(g.parts) {
		p.owner.attempt.broken()
	}
	g.waiting, g.running, g.parts = nil, nil, nil
}
