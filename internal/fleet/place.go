package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"
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
	// firstMargin and firstMarginMS are the same for first events: they err by a
	// share of what is predicted, and by the passes that stand between.
	firstMargin   = 0.15
	firstMarginMS = 130
	// sendMS is the time that a request and its first event travel, beside the
	// target's work: reading it, two hops, and writing it.
	sendMS = 8
	// packing is the preference for a target that is already busy with short
	// requests over an idle one, as a share of a request's value: idle targets
	// are kept for long prompts.
	packing = 0.3
	// gatherUntil is the share of all places in use up to which short requests are
	// gathered even if no long prompts came lately: a burst of those comes without
	// notice, and there is room for both.
	gatherUntil = 0.5
	// maxScatter is the random part of a short request's choice, as a share of its
	// value, among very many instances: those that decide at the same time should
	// not all take the same target. halfScatterPeers is the number of peers at
	// which it is half of that.
	maxScatter       = 0.12
	halfScatterPeers = 8
	// helperCost is the cost of each helper, as a share of a request's value: the
	// message to it and the steps that it spends on the request's context.
	helperCost = 0.004
	// delayCost is the cost of a first event at the very end of its limit,
	// against one at once, as a share of a request's value.
	delayCost = 0.05
	// farCost is the cost of a target in another failure domain.
	farCost = 0.002
	// blindFarCost is the same where the loads of other domains are known only to
	// the second.
	blindFarCost = 0.1
	// openCost is the cost of a first target without writers for a long prompt, as
	// a share of its value where all of the demand is long: its passes get the
	// steps of a writer, and it reads less from then on.
	openCost = 0.3
	// maxBacklogMS bounds the reading that waits at the targets that a long prompt
	// is sent to. Parts go first, so a longer queue would starve the older ones.
	maxBacklogMS = 350
	// manyParts is the least number of parts of a long prompt where enough targets
	// are free: each pass then reads little, and nobody waits long for one engine.
	manyParts = 4
	// shortShare is the largest share of the longest pause that a prompt's
	// reading may take to count as short.
	shortShare = 0.25
	// wholeShare is the same for the kind of request that targets are kept for: it
	// is not split, since the first event waits for the slowest of the parts.
	wholeShare = 0.6
)

// firstInTime returns the chance that a first event predicted to take that long
// comes within the limit.
func firstInTime(predicted, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return min(1, max(0, (limit-predicted)/(firstMargin*limit+firstMarginMS)))
}

// partCounts are the numbers of even parts that a prompt may be read in, the most
// first.
var partCounts = []int{16, 12, 8, 6, 4, 3, 2, 1}

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
	// long says that the prompt is read for longer than short requests may pause.
	long  bool
	score float64
	// firstEventMS is the predicted time to the first event.
	firstEventMS float64
	modelMS      float64 // the same without the learnt error
	readMS       float64 // of each part
	// inTime is the chance that the request satisfies its caller, harm the value
	// that others lose.
	inTime, harm float64
	// gain is what the request itself is worth by this plan; zero if its caller
	// would not wait so long.
	gain float64
}

func (p *plan) parts() int { return 1 + len(p.helpers) }

// helperIDs lists the helpers for the log.
func (p *plan) helperIDs() string {
	ids := make([]string, len(p.helpers))
	for i, h := range p.helpers {
		ids[i] = h.ID
	}
	return strings.Join(ids, ",")
}

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
	case e == nil || a.arrive.PromptTokens == 0 || !c.predicts():
		return plan{first: c.leastOutstanding(pool), firstEventMS: ms(a.arrive.Route.TargetLatency)}
	}
	return c.mostValuable(a, e, pool)
}

// predicts reports whether plans carry predictions; those of the baselines don't.
func (c *Core) predicts() bool {
	return c.opts.Policy != PolicyRoundRobin && c.opts.Policy != PolicyLeastOutstanding
}

// engine returns the engines' figures, nil for plain services.
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
		if r.health.usable(c.now) && c.domainUsable(r.Domain) && !slices.Contains(a.tried, r.ID) &&
			(r.Domain != a.cutFrom || r.Domain == c.opts.Domain) {
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
	// longest is the longest reading in milliseconds that the target takes: it is
	// bounded where targets are kept for short requests.
	longest float64
	// backlog bounds the reading that may wait there, in milliseconds.
	backlog float64
}

// takes reports whether the target has room for a reading that needs so many
// tokens of memory.
func (cand *candidate) takes(e *Engine, r reading, memory int) bool {
	return r.ms <= cand.longest && cand.load.unread <= cand.backlog && cand.load.memory+memory <= e.MemoryTokens
}

// choice is what a choice of targets is made from.
type choice struct {
	a     *active
	e     *Engine
	cands []candidate
	// long says that the prompt is read for longer than short requests may pause.
	long bool
	// used is the share of all places that is in use.
	used float64
}

func (c *Core) mostValuable(a *active, e *Engine, pool []*runner) plan {
	ch := c.choiceOf(a, e, pool)
	best := plan{score: math.Inf(-1)}
	for _, parts := range partCounts {
		if parts > len(ch.cands) || parts > 1 && !ch.long {
			continue
		}
		if parts < manyParts && best.first != nil {
			break
		}
		if p, ok := c.bestOf(ch, parts); ok && p.score > best.score {
			best = p
		}
	}
	if best.first == nil {
		return plan{}
	}
	best.long = ch.long
	return best
}

// choiceOf predicts the state of the targets and what they may read.
func (c *Core) choiceOf(a *active, e *Engine, pool []*runner) *choice {
	cands := make([]candidate, 0, len(pool))
	requests, places := 0, 0
	for _, r := range pool {
		r.advance(c.now)
		cand := candidate{runner: r, load: r.loadOf(e)}
		cands = append(cands, cand)
		requests, places = requests+cand.load.requests, places+r.Slots
	}
	kept, pause := reserved(cands)
	sameKind := ms(a.arrive.Route.MaxPause) <= pause // as those that targets are kept for
	alone := e.readMS(a.arrive.PromptTokens, 1)
	long := alone >= a.shortMS() && !(sameKind && alone < wholeShare*ms(a.arrive.Route.MaxPause))
	for i := range cands {
		cands[i].longest, cands[i].backlog = math.Inf(1), math.Inf(1)
		if kept[cands[i].ID] && !sameKind {
			cands[i].longest = longPart * pause
		}
		if long {
			cands[i].backlog = min(maxBacklogMS, cands[i].longest)
		}
	}
	return &choice{a: a, e: e, cands: cands, long: long, used: float64(requests) / float64(max(1, places))}
}

// shortMS is the longest reading time of a request that counts as short.
func (a *active) shortMS() float64 { return shortShare * ms(a.arrive.Route.MaxPause) }

// bestOf returns the best plan with that many parts. The memory of the parts is
// set aside at the helpers if no target has room for the whole.
func (c *Core) bestOf(ch *choice, parts int) (plan, bool) {
	memory := ch.a.memoryTokens()
	if p, ok := c.bestWith(ch, parts, memory, 0); ok || parts == 1 {
		return p, ok
	}
	share := memory/parts + 1
	p, ok := c.bestWith(ch, parts, share, share)
	p.ticketed = true
	return p, ok
}

// bestWith is bestOf with the memory needed at the first target and at helpers.
func (c *Core) bestWith(ch *choice, parts, firstNeed, helperNeed int) (plan, bool) {
	prompt := ch.a.arrive.PromptTokens
	read := reading{ms: ch.e.readMS(prompt, parts), chunks: ch.e.chunks(prompt / parts)}
	best := plan{score: math.Inf(-1)}
	helpers := c.pickHelpers(ch, parts-1, read, helperNeed)
	if len(helpers) < parts-1 {
		return plan{}, false
	}
	for i := range ch.cands {
		cand := &ch.cands[i]
		if slices.Contains(helpers, cand) || !cand.takes(ch.e, read, firstNeed) {
			continue
		}
		if p := c.score(ch, cand, helpers, read); p.score > best.score {
			best = p
		}
	}
	return best, best.first != nil
}

// pickHelpers returns the targets that lose least by reading a part.
func (c *Core) pickHelpers(ch *choice, n int, read reading, memory int) []*candidate {
	if n == 0 {
		return nil
	}
	type loss struct {
		*candidate
		harm float64
	}
	var losses []loss
	for i := range ch.cands {
		cand := &ch.cands[i]
		if cand.load.helping >= cand.Slots || !cand.takes(ch.e, read, memory) {
			continue
		}
		harm := c.harm(ch.e, cand, read, true, 0) + delayLosses([]*candidate{cand}, read.ms)
		losses = append(losses, loss{cand, harm + delayCost*cand.load.unread/1000 + c.far(cand.runner)})
	}
	slices.SortStableFunc(losses, func(a, b loss) int { return cmp.Compare(a.harm, b.harm) })
	var out []*candidate
	// The one that loses least becomes the first target, which also writes.
	for i := 1; i <= n && i < len(losses); i++ {
		out = append(out, losses[i].candidate)
	}
	return out
}

// far is the cost of a target's distance, as a share of a request's value.
func (c *Core) far(r *runner) float64 {
	switch {
	case r.Domain == c.opts.Domain:
		return 0
	case c.knownPeers() > ExactPeers:
		return blindFarCost
	default:
		return farCost
	}
}

// harm is the value that requests which write at the target lose by longer pauses
// when it reads that much for another one, whose writing adds writerMS to each step.
func (c *Core) harm(e *Engine, cand *candidate, r reading, part bool, writerMS float64) float64 {
	if len(cand.flights) == 0 {
		return 0
	}
	queue, _ := cand.load.with(r, part)
	_, after := e.readAll(queue, cand.load.step+writerMS, -1)
	var lost float64
	for _, f := range cand.flights {
		if f.MaxPauseMS > 0 && !f.Part {
			g := float64(f.MaxPauseMS)
			lost += f.Value * (1 - lateShare) * (onTime(cand.load.worstPass, g) - onTime(after, g))
		}
	}
	return lost
}

// delayLoss passes on the value that each reading in the queue loses when a part
// for another engine, which goes first, delays it.
func (l *load) delayLoss(delayMS float64, lost func(requestKey, float64)) {
	var ahead float64
	for _, q := range l.queue {
		ahead += q.ms
		after := ahead + delayMS
		late := q.value * (1 - lateShare) * (onTime(ahead, q.within) - onTime(after, q.within))
		left := q.value * lateShare * (onTime(ahead, q.leaves) - onTime(after, q.leaves))
		if late+left > 0 {
			lost(q.request, late+left)
		}
	}
}

// delayLosses is what other prompts lose when each of the helpers reads a part
// first. A prompt in parts is read when its last part is: it loses once, by the
// part that is delayed most.
func delayLosses(helpers []*candidate, delayMS float64) float64 {
	worst := make(map[requestKey]float64)
	var sum float64
	for _, h := range helpers {
		h.load.delayLoss(delayMS, func(k requestKey, lost float64) {
			sum += max(0, lost-worst[k])
			worst[k] = max(worst[k], lost)
		})
	}
	return sum
}

// scatter is the random part of a short request's choice.
func (c *Core) scatter() float64 {
	n := float64(c.knownPeers())
	return maxScatter * n / (n + halfScatterPeers)
}

// score predicts what a plan is worth.
func (c *Core) score(ch *choice, first *candidate, helpers []*candidate, read reading) plan {
	a, e := ch.a, ch.e
	parts := 1 + len(helpers)
	context := float64(a.arrive.PromptTokens) / float64(parts)
	writer := e.writerMS(context)
	if parts > 1 {
		writer += e.HopMS
	}
	step := first.load.step + writer
	firstPass := float64(e.Stride) * step
	readAt, worst := e.readBeside(first, read, false, step)
	firstEvent := first.slotWait(e, first.load) + readAt
	harm := c.harm(e, first, read, false, writer)
	for _, h := range helpers {
		at, _ := e.readBeside(h, read, true, h.load.step)
		firstEvent = max(firstEvent, at)
		harm += c.harm(e, h, read, true, e.writerMS(context))
	}
	harm += delayLosses(helpers, read.ms)
	firstEvent += first.load.firstStepsMS(firstPass, e.StepMS)
	modelMS := firstEvent
	firstEvent *= c.predictionError(a.service)
	full := a.value
	limit := ms(a.arrive.Route.TargetLatency - (c.now - a.arrivedAt))
	inTime := firstInTime(firstEvent+sendMS, limit)
	if pause := ms(a.arrive.Route.MaxPause); pause > 0 {
		inTime *= onTime(min(worst, firstPass*2), pause)
	}
	gain := full * (lateShare + (1-lateShare)*inTime)
	if firstEvent > ms(a.firstBy()-c.now) {
		gain = 0
	}
	score := gain - harm - full*(helperCost*float64(parts-1)+c.far(first.runner))
	score -= full * delayCost * min(1, firstEvent/max(1, ms(a.arrive.Route.TargetLatency)))
	score += full * c.preference(ch, first)
	p := plan{first: first.runner, score: score, firstEventMS: firstEvent, modelMS: modelMS, readMS: read.ms, inTime: inTime, harm: harm, gain: gain}
	for _, h := range helpers {
		p.helpers = append(p.helpers, h.runner)
	}
	return p
}

// firstStepsMS is the time from the end of the reading to the first event: the
// rest of a pass beside other writers, one step at an engine without any.
func (l *load) firstStepsMS(passMS, stepMS float64) float64 {
	if l.writers+l.prompts == 0 {
		return stepMS
	}
	return passMS
}

// preference is the share of a request's value by which a first target is better
// or worse for requests to come: writers are gathered at few targets, and the
// others read.
func (c *Core) preference(ch *choice, first *candidate) float64 {
	long := max(c.longShare(ch.a.service), 1-ch.used/gatherUntil)
	if !ch.long {
		used := float64(first.load.requests) / float64(max(1, first.Slots))
		return packing*long*min(1, used) + c.scatter()*c.rng.Float64()
	}
	if first.load.writers+first.load.prompts == 0 {
		return -openCost * long
	}
	return 0
}

// readBeside predicts when a prompt, or a part of one, is read at the target,
// and the longest pass meanwhile. A pass that runs has to end first.
func (e *Engine) readBeside(cand *candidate, r reading, part bool, stepMS float64) (readAt, worstPass float64) {
	queue, index := cand.load.with(r, part)
	readAt, worstPass = e.readAll(queue, cand.load.step, index)
	if cand.load.writers > 0 {
		readAt += float64(e.Stride) * cand.load.step / 2
	}
	return readAt, max(worstPass, float64(e.Stride)*stepMS)
}
