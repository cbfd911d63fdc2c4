package simulate

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// maxQueuedPerSlot is the number of requests per slot that an engine queues before it
// refuses more.
const maxQueuedPerSlot = 2

// engine models an inference engine with continuous batching and chunked prefill. It
// works in passes: while sequences are decoding, a pass has params.Stride steps;
// otherwise it has one. Each step may also prefill one chunk of prompt tokens.
type engine struct {
	sim    *Simulation
	target fleet.Target
	params *fleet.Engine
	// slowdown multiplies the duration of each pass; it is 1 for a healthy engine.
	slowdown float64

	waiting       []*sequence    // for a slot or memory; most urgent first
	running       []*sequence    // in order of admission
	assignedParts []*prefillPart // prefilled for other engines; newest first
	reservations  map[string]int // tokens by ticket
	passRunning   bool
	crashed       bool
	silentUntil   time.Duration // no pass begins or ends before
}

// sequence is the execution of one attempt on its engine.
type sequence struct {
	attempt         *attempt
	engine          *engine
	prefilledTokens int // of the prompt, on this engine
	ownPromptTokens int // prompt tokens to prefill on this engine
	pendingParts    int // helperParts that are not prefilled yet
	helperParts     []*prefillPart
	generatedTokens int
	decoding        bool
}

// prefillPart is a part of a prompt that a helper engine prefills for another engine.
// If it is reserved, its memory is part of a reservation on the helper.
type prefillPart struct {
	owner           *sequence
	engine          *engine
	tokens          int
	prefilledTokens int
	reserved        bool
}

// committedTokens returns the memory, in tokens, that running sequences and
// reservations take.
func (g *engine) committedTokens() int {
	total := 0
	for _, seq := range g.running {
		total += seq.memoryTokens()
	}
	for _, tokens := range g.reservations {
		total += tokens
	}
	return total
}

// memoryTokens returns the memory, in tokens, that the sequence takes on its own
// engine: the whole prompt and answer without the parts reserved on helpers.
func (seq *sequence) memoryTokens() int {
	total := seq.attempt.call.promptTokens + seq.attempt.call.answerTokens
	for _, p := range seq.helperParts {
		if p.reserved {
			total -= p.tokens
		}
	}
	return total
}

// prefilledSum is the number of prompt tokens that have been prefilled for the sequence.
func (seq *sequence) prefilledSum() int {
	total := seq.prefilledTokens
	for _, p := range seq.helperParts {
		total += p.prefilledTokens
	}
	return total
}

// submit queues an attempt by urgency. It returns false if the engine has crashed, its
// queue is full or the attempt would never fit into its memory.
func (g *engine) submit(a *attempt) bool {
	seq := &sequence{attempt: a, engine: g, generatedTokens: a.eventCount * g.params.StepsPerPass}
	n := 1 + len(a.send.Helpers)
	seq.ownPromptTokens = a.call.promptTokens / n
	if g.crashed || len(g.waiting) >= maxQueuedPerSlot*g.params.Slots || seq.ownPromptTokens+a.call.answerTokens > g.params.MemoryTokens {
		return false
	}
	a.sequence = seq
	i := slices.IndexFunc(g.waiting, func(o *sequence) bool { return o.attempt.send.Urgency > a.send.Urgency })
	if i < 0 {
		i = len(g.waiting)
	}
	g.waiting = slices.Insert(g.waiting, i, seq)
	g.startPass()
	return true
}

// removeSequence removes a sequence from the engine and its parts from the helpers.
func (g *engine) removeSequence(seq *sequence) {
	drop := func(o *sequence) bool { return o == seq }
	g.waiting = slices.DeleteFunc(g.waiting, drop)
	g.running = slices.DeleteFunc(g.running, drop)
	for _, p := range seq.helperParts {
		p.engine.assignedParts = slices.DeleteFunc(p.engine.assignedParts, func(o *prefillPart) bool { return o == p })
	}
}

// reserveMemory reserves memory under a ticket and returns whether it is reserved. A
// repeated call for the same ticket succeeds and changes nothing.
func (g *engine) reserveMemory(ticket string, tokens int) bool {
	if _, ok := g.reservations[ticket]; ok {
		return true
	}
	if g.crashed || g.committedTokens()+tokens > g.params.MemoryTokens {
		return false
	}
	g.reservations[ticket] = tokens
	return true
}

// admitWaiting admits waiting sequences in order while slots are free and the first
// one fits into memory, and sends their parts to the helpers.
func (g *engine) admitWaiting() {
	for len(g.waiting) > 0 && len(g.running) < g.params.Slots {
		seq := g.waiting[0]
		need := seq.attempt.call.promptTokens + seq.attempt.call.answerTokens
		if len(seq.attempt.send.Helpers) > 0 && seq.attempt.send.Helpers[0].Ticket != "" {
			need = seq.ownPromptTokens + seq.attempt.call.answerTokens
		}
		if g.committedTokens()+need > g.params.MemoryTokens {
			return
		}
		g.waiting = g.waiting[1:]
		g.running = append(g.running, seq)
		for _, h := range seq.attempt.send.Helpers {
			p := &prefillPart{owner: seq, engine: g.sim.engines[h.Target], tokens: seq.ownPromptTokens, reserved: h.Ticket != ""}
			seq.helperParts = append(seq.helperParts, p)
			seq.pendingParts++
			g.sim.schedule(g.sim.networkDelay(g.target.FailureDomain, p.engine.target.FailureDomain), func() { p.engine.addPart(p) })
		}
	}
}

// addPart queues a part for prefill, unless its attempt ended during the transfer.
func (g *engine) addPart(p *prefillPart) {
	if p.owner.attempt.ended {
		return
	}
	g.assignedParts = slices.Insert(g.assignedParts, 0, p)
	g.startPass()
}

// startPass admits waiting sequences and starts a pass if the engine is idle and has
// work.
func (g *engine) startPass() {
	if g.passRunning || g.crashed || g.sim.now < g.silentUntil {
		return
	}
	g.admitWaiting()
	var decodingSeqs []*sequence
	for _, seq := range g.running {
		if seq.decoding {
			decodingSeqs = append(decodingSeqs, seq)
		}
	}
	ms, active := g.executePass(decodingSeqs)
	if !active {
		return
	}
	g.passRunning = true
	g.sim.schedule(time.Duration(ms*g.slowdown*float64(time.Millisecond)), func() { g.finishPass(decodingSeqs) })
}

// executePass advances the prefill by one pass and returns the pass's duration in
// milliseconds. active is false if there is nothing to prefill or decode.
func (g *engine) executePass(decodingSeqs []*sequence) (ms float64, active bool) {
	step, steps := g.params.StepMS, 1
	for _, seq := range decodingSeqs {
		step += g.params.PerSequenceMS + g.params.ContextMSPerK*float64(seq.ownPromptTokens+seq.generatedTokens)/1000
		if len(seq.helperParts) > 0 {
			step += g.params.SplitStepMS
		}
		steps = g.params.StepsPerPass
	}
	active = len(decodingSeqs) > 0
	for range steps {
		prefillMS, prefilled := g.prefillChunk()
		active = active || prefilled
		ms += step + prefillMS
	}
	return ms, active
}

// prefillChunk prefills up to params.Chunk tokens, parts for other engines first, then
// the engine's own prompts in order of admission. It returns the duration in
// milliseconds and whether any token was prefilled.
func (g *engine) prefillChunk() (ms float64, prefilled bool) {
	remaining := g.params.PrefillChunkTokens
	for _, p := range g.assignedParts {
		n := min(remaining, p.tokens-p.prefilledTokens)
		ms += g.prefillMS(n, p.owner.attentionPairsPerToken(p.prefilledTokens, n))
		p.prefilledTokens, remaining = p.prefilledTokens+n, remaining-n
		g.sim.prefilledTokens += n
	}
	for _, seq := range g.running {
		n := min(remaining, seq.ownPromptTokens-seq.prefilledTokens)
		ms += g.prefillMS(n, seq.attentionPairsPerToken(seq.prefilledTokens, n))
		seq.prefilledTokens, remaining = seq.prefilledTokens+n, remaining-n
		g.sim.prefilledTokens += n
	}
	return ms, remaining < g.params.PrefillChunkTokens
}

// prefillMS returns the milliseconds that the prefill of tokens takes: a cost per token
// and a cost per attention pair.
func (g *engine) prefillMS(tokens int, pairsPerToken float64) float64 {
	return float64(tokens)/g.params.PrefillPerMS + float64(tokens)*pairsPerToken/1e6*g.params.PairsMSPerM
}

// attentionPairsPerToken returns the mean number of earlier tokens that each of the
// n tokens attends to, if read tokens come before them. In a prompt that is split over
// engines, every part has an equal share of all pairs.
func (seq *sequence) attentionPairsPerToken(read, n int) float64 {
	if len(seq.attempt.send.Helpers) > 0 {
		return float64(seq.attempt.call.promptTokens) / 2
	}
	return float64(read) + float64(n)/2
}

// finishPass delivers the results of a pass: an event for each decoding sequence, the
// parts and prompts whose prefill is complete. Then it starts the next pass.
func (g *engine) finishPass(decodingSeqs []*sequence) {
	if g.sim.now < g.silentUntil {
		g.sim.schedule(g.silentUntil-g.sim.now, func() { g.finishPass(decodingSeqs) })
		return
	}
	g.passRunning = false
	if g.crashed {
		return
	}
	for _, seq := range decodingSeqs {
		if seq.attempt.ended {
			continue
		}
		seq.generatedTokens += g.params.StepsPerPass
		done := seq.generatedTokens >= seq.attempt.call.answerTokens
		if done {
			g.removeSequence(seq)
		}
		seq.attempt.sendEvent(done)
	}
	for _, p := range slices.Clone(g.assignedParts) {
		if p.prefilledTokens >= p.tokens {
			g.assignedParts = slices.DeleteFunc(g.assignedParts, func(o *prefillPart) bool { return o == p })
			g.sim.schedule(g.sim.networkDelay(g.target.FailureDomain, p.owner.engine.target.FailureDomain), func() { p.owner.recordPartDone() })
		}
	}
	for _, seq := range slices.Clone(g.running) {
		if !seq.decoding && seq.prefilledTokens >= seq.ownPromptTokens {
			seq.startDecoding()
		}
	}
	g.startPass()
}

// recordPartDone records that a helper has prefilled its part, and starts decoding if
// it was the last and the engine is between passes.
func (seq *sequence) recordPartDone() {
	seq.pendingParts--
	if !seq.engine.passRunning && !seq.attempt.ended && seq.prefilledTokens >= seq.ownPromptTokens {
		seq.startDecoding()
		seq.engine.startPass()
	}
}

// startDecoding sends the first token and starts decoding, unless helpers still have
// parts to prefill. It is called once this engine's own share is prefilled: the first
// token comes at the end of the pass that prefills the last prompt tokens.
func (seq *sequence) startDecoding() {
	if seq.pendingParts > 0 || seq.attempt.ended {
		return
	}
	seq.decoding = true
	seq.generatedTokens++
	seq.attempt.sendEvent(false)
}

// crash stops the engine and breaks all attempts on it, including those that it
// prefills parts for.
func (g *engine) crash() {
	g.crashed = true
	for _, seq := range slices.Concat(g.waiting, g.running) {
		seq.attempt.reportBroken()
	}
	for _, p := range slices.Clone(g.assignedParts) {
		p.owner.attempt.reportBroken()
	}
	g.waiting, g.running, g.assignedParts = nil, nil, nil
}
