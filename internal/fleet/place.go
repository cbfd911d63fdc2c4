package fleet

import (
	"cmp"
	"math"
	"slices"
)

// Policy is a way to choose targets.
type Policy string

// Policies. All but PolicyValue are baselines to compare with.
const (
	// PolicyValue takes the choice that serves most requests in time, those
	// already at the targets included.
	PolicyValue Policy = "value"
	// PolicyRoundRobin takes targets in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastOutstanding takes the target with the fewest requests.
	PolicyLeastOutstanding Policy = "least-outstanding"
)

// Weights of the choice by value.
const (
	// lateShare is what an answer behind its target latency is still worth to
	// callers, as a share of one in time.
	lateShare = 0.25
	// tokensPerValue is the prompt size by which a request's value rises by one:
	// longer prompts are rarer and stand for more of a caller's work.
	tokensPerValue = 10_000
	// margin is the share of a limit that is kept free because predictions err.
	margin = 0.3
	// sendMS is the time that a request and its first event travel, beside the
	// target's work: reading it, two hops, and writing it.
	sendMS = 8
	// maxHelpers is the largest number of targets that read parts of a prompt
	// beside the first one, by the engines' protocol.
	maxHelpers = 15
	// packing is the preference for a target that is already busy with short
	// requests over an idle one, as a share of a request's value: idle targets
	// are kept for long prompts.
	packing = 0.06
	// helperCost is the cost of each helper, as a share of a request's value: the
	// message to it and the steps that it spends on the request's context.
	helperCost = 0.004
	// delayCost is the cost of a first event at the very end of its limit,
	// against one at once, as a share of a request's value.
	delayCost = 0.05
	// farCost is the cost of a target in another failure domain.
	farCost = 0.002
	// shortShare is the largest share of the longest pause that a prompt's
	// reading may take to count as short.
	shortShare = 0.25
)

// onTime returns the chance that something predicted to take that long stays
// within the limit.
func onTime(predicted, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return min(1, max(0, (limit-predicted)/(margin*limit)))
}

// plan is a choice of targets for an attempt.
type plan struct {
	first    *runner
	helpers  []*runner
	ticketed bool
	score    float64
	// firstEventMS is the predicted time to the first event.
	firstEventMS float64
	readMS       float64 // of each part
}

func (p *plan) parts() int { return 1 + len(p.helpers) }

// value is what a request that is served in time is worth.
func value(promptTokens int) float64 { return 1 + float64(promptTokens)/tokensPerValue }

// choose returns the best plan for the request, or one without a target.
func (c *Core) choose(a *active) plan {
	pool := c.candidates(a)
	if len(pool) == 0 {
		return plan{}
	}
	e := c.engine(a)
	switch {
	case c.opts.Policy == PolicyRoundRobin:
		c.turn[a.service]++
		return plan{first: pool[c.turn[a.service]%len(pool)], firstEventMS: ms(a.arrive.Route.TargetLatency)}
	case e == nil || a.arrive.PromptTokens == 0 || c.opts.Policy == PolicyLeastOutstanding:
		return plan{first: c.leastOutstanding(pool), firstEventMS: ms(a.arrive.Route.TargetLatency)}
	}
	return c.mostValuable(a, e, pool)
}

func (c *Core) engine(a *active) *Engine {
	if s := a.arrive.Config.Services[a.service]; s != nil {
		return s.Engine
	}
	return nil
}

// candidates returns the targets that may run the request: those that failed it
// or look sick only if there are no others.
func (c *Core) candidates(a *active) []*runner {
	var good, poor []*runner
	for _, r := range c.serviceRunners(a.service) {
		if r.gone || r.leaving {
			continue
		}
		if r.health.usable(c.now) && !slices.Contains(a.tried, r.ID) {
			good = append(good, r)
		} else {
			poor = append(poor, r)
		}
	}
	if len(good) > 0 {
		return good
	}
	return poor
}

func (c *Core) leastOutstanding(pool []*runner) *runner {
	far := func(r *runner) int {
		if r.Domain == c.opts.Domain {
			return 0
		}
		return 1
	}
	start := c.rng.IntN(len(pool))
	best := pool[start]
	for i := range pool {
		r := pool[(start+i)%len(pool)]
		order := cmp.Or(cmp.Compare(len(r.flights), len(best.flights)), cmp.Compare(far(r), far(best)))
		if order < 0 {
			best = r
		}
	}
	return best
}

// candidate is a target with its predicted state.
type candidate struct {
	*runner
	load load
}

func (c *Core) mostValuable(a *active, e *Engine, pool []*runner) plan {
	cands := make([]candidate, 0, len(pool))
	for _, r := range pool {
		r.advance(c.now)
		cands = append(cands, candidate{r, r.loadOf(e)})
	}
	best := plan{score: math.Inf(-1)}
	alone := e.readMS(a.arrive.PromptTokens, 1)
	for parts := 1; parts <= min(maxHelpers+1, len(cands)); parts *= 2 {
		if parts > 1 && alone < a.shortMS() {
			break
		}
		if p, ok := c.bestOf(a, e, cands, parts); ok && p.score > best.score {
			best = p
		}
	}
	if best.first == nil {
		return plan{}
	}
	return best
}

// shortMS is the longest reading time of a request that counts as short.
func (a *active) shortMS() float64 { return shortShare * ms(a.arrive.Route.MaxPause) }

// bestOf returns the best plan with that many parts.
func (c *Core) bestOf(a *active, e *Engine, cands []candidate, parts int) (plan, bool) {
	read := e.readMS(a.arrive.PromptTokens, parts)
	need := a.memoryTokens()
	ticketed := need > e.MemoryTokens*9/10
	if ticketed && parts == 1 {
		return plan{}, false
	}
	firstNeed, helperNeed := need, 0
	if ticketed {
		helperNeed = need/parts + 1
		firstNeed = helperNeed
	}
	helpers := c.pickHelpers(a, e, cands, parts-1, read, helperNeed)
	if len(helpers) < parts-1 {
		return plan{}, false
	}
	best := plan{score: math.Inf(-1)}
	for i := range cands {
		cand := &cands[i]
		if parts > 1 && slices.Contains(helpers, cand) || cand.load.memory+firstNeed > e.MemoryTokens {
			continue
		}
		p := c.score(a, e, cand, helpers, read)
		p.ticketed = ticketed
		if p.score > best.score {
			best = p
		}
	}
	return best, best.first != nil
}

// pickHelpers returns the targets that lose least by reading a part.
func (c *Core) pickHelpers(a *active, e *Engine, cands []candidate, n int, read float64, memory int) []*candidate {
	if n == 0 {
		return nil
	}
	type loss struct {
		*candidate
		harm float64
	}
	var losses []loss
	for i := range cands {
		cand := &cands[i]
		if cand.load.helping >= cand.Slots || cand.load.memory+memory > e.MemoryTokens {
			continue
		}
		losses = append(losses, loss{cand, c.harm(e, cand, read, 0) + farCost*c.far(cand.runner) + 0.01*cand.load.unread/1000})
	}
	slices.SortStableFunc(losses, func(a, b loss) int { return cmp.Compare(a.harm, b.harm) })
	var out []*candidate
	// The one that loses least becomes the first target, which also writes.
	for i := 1; i <= n && i < len(losses); i++ {
		out = append(out, losses[i].candidate)
	}
	return out
}

func (c *Core) far(r *runner) float64 {
	if r.Domain == c.opts.Domain {
		return 0
	}
	return 1
}

// harm is the value that requests at the target lose when it reads that long
// for another one, whose writing adds writerMS to each step.
func (c *Core) harm(e *Engine, cand *candidate, readMS, writerMS float64) float64 {
	if math.IsInf(cand.load.tightest, 1) {
		return 0
	}
	before := e.pass(cand.load, cand.load.unread)
	grown := cand.load
	grown.step += writerMS
	after := e.pass(grown, cand.load.unread+readMS)
	var lost float64
	for _, f := range cand.flights {
		if f.MaxPauseMS > 0 {
			g := float64(f.MaxPauseMS)
			lost += f.Value * (1 - lateShare) * (onTime(before, g) - onTime(after, g))
		}
	}
	return lost
}

// score predicts what a plan is worth.
func (c *Core) score(a *active, e *Engine, first *candidate, helpers []*candidate, read float64) plan {
	parts := 1 + len(helpers)
	context := float64(a.arrive.PromptTokens) / float64(parts)
	writer := e.writerMS(context)
	if parts > 1 {
		writer += e.HopMS
	}
	grown := first.load
	grown.step += writer
	firstEvent := c.firstEventMS(e, first, grown, read)
	harm := c.harm(e, first, read, writer)
	for _, h := range helpers {
		firstEvent = max(firstEvent, c.partMS(e, h, read)+float64(e.Stride)*grown.step)
		harm += c.harm(e, h, read, e.writerMS(context))
	}
	full := a.value
	limit := ms(a.arrive.Route.TargetLatency - (c.now - a.arrivedAt))
	inTime := onTime(firstEvent+sendMS, limit)
	if pause := ms(a.arrive.Route.MaxPause); pause > 0 {
		inTime *= onTime(e.pass(grown, first.load.unread), pause)
	}
	gain := full * (lateShare + (1-lateShare)*inTime)
	if firstEvent > ms(a.deadline-c.now) {
		gain = 0
	}
	score := gain - harm - full*(helperCost*float64(parts-1)+farCost*c.far(first.runner))
	score -= full * delayCost * min(1, firstEvent/max(1, ms(a.arrive.Route.TargetLatency)))
	if parts == 1 && read < a.shortMS() {
		score += full * packing * min(1, float64(first.load.requests)/float64(max(1, first.Slots)))
	}
	p := plan{first: first.runner, score: score, firstEventMS: firstEvent, readMS: read}
	for _, h := range helpers {
		p.helpers = append(p.helpers, h.runner)
	}
	return p
}

// firstEventMS predicts the time to the first event of a request whose reading
// takes readMS.
func (c *Core) firstEventMS(e *Engine, first *candidate, grown load, readMS float64) float64 {
	pass := float64(e.Stride) * first.load.step
	wait := first.slotWait(e, first.load)
	reading := first.load.unread + readMS
	var between float64
	if first.load.writers > 0 {
		between = pass * (0.5 + math.Floor(reading/e.passReadMS()))
	}
	return wait + reading + between + float64(e.Stride)*grown.step
}

// partMS predicts when a helper has read its part.
func (c *Core) partMS(e *Engine, h *candidate, readMS float64) float64 {
	var ahead float64
	for _, f := range h.flights {
		if f.Part {
			ahead += f.unreadMS
		}
	}
	if h.load.writers > 0 {
		ahead += 0.5 * float64(e.Stride) * h.load.step
	}
	return ahead + readMS
}
