package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Policy selects the algorithm that chooses targets.
type Policy string

// Policies. All but PolicyValue are baselines for comparison.
const (
	// PolicyValue chooses the targets that maximize the value of all requests served
	// in time, including those already at the targets.
	PolicyValue Policy = "value"
	// PolicyRoundRobin chooses targets in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastOutstanding chooses the target with the fewest requests in flight.
	PolicyLeastOutstanding Policy = "least-outstanding"
)

// firstEventInTimeChance returns the chance that a first event predicted after
// predictedMS comes within the limit.
func firstEventInTimeChance(predictedMS, limitMS float64) float64 {
	if limitMS <= 0 {
		return 0
	}
	return min(1, max(0, (limitMS-predictedMS)/(firstEventMargin*limitMS+firstEventMarginMS)))
}

// partCounts are the numbers of even parts that a prompt may be split into, in
// descending order.
var partCounts = []int{16, 12, 8, 6, 4, 3, 2, 1}

// withinLimitChance returns the chance that a predicted duration stays within the
// limit.
func withinLimitChance(predictedMS, limitMS float64) float64 {
	if limitMS <= 0 {
		return 0
	}
	return min(1, max(0, (limitMS-predictedMS)/(limitMargin*limitMS)))
}

// placement is a choice of targets for an attempt.
type placement struct {
	primary      *targetState   // decodes the answer; nil for no placement
	helpers      []*targetState // prefill the other parts of a split prompt
	needsTickets bool           // memory has to be reserved at the helpers first
	// longPrompt says that the prefill of the prompt would cause pauses too long for
	// short requests.
	longPrompt bool
	score      float64
	// firstEventMS is the predicted time to the first event.
	firstEventMS            float64
	uncorrectedFirstEventMS float64 // the same without the correction that is learned
	prefillMS               float64 // of each part
	slotWaitMS              float64 // until the primary target has a slot, the median
	// inTimeChance is the chance that the request meets its latency objectives, harm
	// the value that other requests lose.
	inTimeChance, harm float64
	// ownValue is the expected value of the request itself; zero if its caller would
	// disconnect before the first event.
	ownValue float64
}

func (p *placement) partCount() int { return 1 + len(p.helpers) }

// helperIDs lists, for the log, the targets that prefill the other parts of a split
// prompt.
func (p *placement) helperIDs() string {
	ids := make([]string, len(p.helpers))
	for i, h := range p.helpers {
		ids[i] = h.ID
	}
	return strings.Join(ids, ",")
}

// requestValue is the value of serving a request in time.
func requestValue(promptTokens int) float64 { return 1 + float64(promptTokens)/tokensPerValue }

// choosePlacement returns the best placement for the request by the policy, or one
// without a primary target if there is none.
func (c *Core) choosePlacement(a *activeRequest) placement {
	pool := c.candidateTargets(a)
	if len(pool) == 0 {
		return placement{}
	}
	e := c.engineOf(a)
	switch {
	case c.opts.Policy == PolicyRoundRobin:
		c.roundRobin[a.service]++
		return placement{primary: pool[c.roundRobin[a.service]%len(pool)], firstEventMS: toMS(a.arrival.Route.TargetLatency)}
	case !c.usesPredictions():
		return placement{primary: c.leastOutstanding(pool), firstEventMS: toMS(a.arrival.Route.TargetLatency)}
	case e == nil || a.arrival.PromptTokens == 0:
		return placement{primary: c.leastOutstanding(c.localTargets(a.outsideBrokenDomains(pool))), firstEventMS: toMS(a.arrival.Route.TargetLatency)}
	}
	return c.bestPlacement(a, e, pool)
}

// usesPredictions reports whether the policy predicts latencies; the baseline policies
// do not.
func (c *Core) usesPredictions() bool {
	return c.opts.Policy != PolicyRoundRobin && c.opts.Policy != PolicyLeastOutstanding
}

// engineOf returns the engine model of the request's service, or nil if its targets
// are not inference engines.
func (c *Core) engineOf(a *activeRequest) *Engine {
	if s := a.arrival.Config.Services[a.service]; s != nil {
		return s.Engine
	}
	return nil
}

// leastOutstanding returns the target with the fewest loads, preferring this
// instance's failure domain among equals. The search starts at a random target.
func (c *Core) leastOutstanding(pool []*targetState) *targetState {
	domainRank := func(target *targetState) int {
		if target.FailureDomain == c.opts.FailureDomain {
			return 0
		}
		return 1
	}
	start := c.rng.IntN(len(pool))
	best := pool[start]
	for i := range pool {
		target := pool[(start+i)%len(pool)]
		order := cmp.Or(cmp.Compare(len(target.loads), len(best.loads)), cmp.Compare(domainRank(target), domainRank(best)))
		if order < 0 {
			best = target
		}
	}
	return best
}

// candidate is a target with its predicted state.
type candidate struct {
	*targetState
	state engineState
	// maxPrefillMS bounds a single prefill at the target; it is infinite unless the
	// target is dedicated to short requests.
	maxPrefillMS float64
	// maxPendingMS bounds the prefill that may already be pending at the target.
	maxPendingMS float64
}

// hasRoom reports whether the target may take a prefill that needs the given memory in
// tokens.
func (cand *candidate) hasRoom(e *Engine, p prefill, memory int) bool {
	return p.remainingMS <= cand.maxPrefillMS && cand.state.pendingPrefillMS <= cand.maxPendingMS &&
		cand.state.memoryTokens+memory <= e.MemoryTokens
}

// placementInput is the input of PolicyValue for one request.
type placementInput struct {
	request    *activeRequest
	engine     *Engine
	candidates []candidate
	longPrompt bool // see placement
	// utilization is the share of the candidates' slots that is in use.
	utilization float64
	// unseenChances are the probabilities of numbers of unknown requests at a target.
	unseenChances [maxUnseen + 1]float64
}

// bestPlacement returns the placement with the highest score. Long prompts are split
// into fewer than preferredParts parts only if more are not possible; short ones are
// not split.
func (c *Core) bestPlacement(a *activeRequest, e *Engine, pool []*targetState) placement {
	input := c.newPlacementInput(a, e, pool)
	best := placement{score: math.Inf(-1)}
	for _, parts := range partCounts {
		if parts > len(input.candidates) || parts > 1 && !input.longPrompt {
			continue
		}
		if parts < preferredParts && best.primary != nil {
			break
		}
		if p, ok := c.bestWithParts(input, parts); ok && p.score > best.score {
			best = p
		}
	}
	if best.primary == nil {
		return placement{}
	}
	best.longPrompt = input.longPrompt
	return best
}

// newPlacementInput predicts the state of the targets and sets the limits of the
// prefill that they may take.
func (c *Core) newPlacementInput(a *activeRequest, e *Engine, pool []*targetState) *placementInput {
	candidates := make([]candidate, 0, len(pool))
	requests, slots := 0, 0
	for _, target := range pool {
		target.advancePrefills(c.now)
		cand := candidate{targetState: target, state: target.predictState(e)}
		candidates = append(candidates, cand)
		requests, slots = requests+cand.state.requests, slots+target.Slots
	}
	shortTargets, shortestPauseMS := shortRequestTargets(candidates, c.unheardArrivals(a.service))
	needsShortPauses := toMS(a.arrival.Route.MaxEventGap) <= shortestPauseMS // like the requests that targets are dedicated to
	prefillMS := e.prefillMS(a.arrival.PromptTokens, 1)
	longPrompt := prefillMS >= a.maxShortPrefillMS() && !(needsShortPauses && prefillMS < unsplitPrefillShare*toMS(a.arrival.Route.MaxEventGap))
	for i := range candidates {
		candidates[i].maxPrefillMS, candidates[i].maxPendingMS = math.Inf(1), math.Inf(1)
		if shortTargets[candidates[i].ID] && !needsShortPauses {
			candidates[i].maxPrefillMS = longPrefillShare * shortestPauseMS
		}
		if longPrompt {
			candidates[i].maxPendingMS = min(maxBacklogMS, candidates[i].maxPrefillMS)
		}
	}
	return &placementInput{
		request: a, engine: e, candidates: candidates, longPrompt: longPrompt,
		utilization: float64(requests) / float64(max(1, slots)), unseenChances: c.unseen.slotChances(a.service),
	}
}

// maxShortPrefillMS is the longest prefill of a request that counts as short.
func (a *activeRequest) maxShortPrefillMS() float64 {
	return shortPrefillShare * toMS(a.arrival.Route.MaxEventGap)
}

// bestWithParts returns the best placement with the given number of parts. If no
// target has the memory for the whole prompt, each holds its own part, and the memory
// has to be reserved at the helpers.
func (c *Core) bestWithParts(input *placementInput, parts int) (placement, bool) {
	memory := input.request.memoryTokens()
	if p, ok := c.bestWithMemory(input, parts, memory, 0); ok || parts == 1 {
		return p, ok
	}
	partMemory := memory/parts + 1
	p, ok := c.bestWithMemory(input, parts, partMemory, partMemory)
	p.needsTickets = true
	return p, ok
}

// bestWithMemory is bestWithParts with the given memory needed at the primary target
// and at each helper, in tokens.
func (c *Core) bestWithMemory(input *placementInput, parts, primaryMemory, helperMemory int) (placement, bool) {
	promptTokens := input.request.arrival.PromptTokens
	partPrefill := prefill{
		remainingMS: input.engine.prefillMS(promptTokens, parts), remainingChunks: input.engine.prefillChunks(promptTokens / parts),
		decodes: parts == 1,
	}
	best := placement{score: math.Inf(-1)}
	cheapest := c.cheapestHelpers(input, parts, partPrefill, helperMemory)
	if len(cheapest) < parts-1 {
		return placement{}, false
	}
	for i := range input.candidates {
		cand := &input.candidates[i]
		helpers := helpersFor(cand, cheapest, parts-1)
		if len(helpers) < parts-1 || !cand.hasRoom(input.engine, partPrefill, primaryMemory) {
			continue
		}
		if p := c.scorePlacement(input, cand, helpers, partPrefill); p.score > best.score {
			best = p
		}
	}
	return best, best.primary != nil
}

// helpersFor returns the helpers of a primary target: the given number of the cheapest
// targets without the primary one. If that is not among them, the very cheapest is
// left out, where the next request finds an idle target then.
func helpersFor(primary *candidate, cheapest []*candidate, count int) []*candidate {
	helpers := selectFunc(cheapest, func(cand *candidate) bool { return cand != primary })
	return helpers[max(0, len(helpers)-count):]
}

// cheapestHelpers returns up to count targets at which a part of the prompt costs
// least, in ascending order of the cost; none for a prompt of one part. A part is a
// request to its target: those with a limit or a ramp, and cold ones, are left to whole requests.
func (c *Core) cheapestHelpers(input *placementInput, count int, partPrefill prefill, memory int) []*candidate {
	if count == 1 {
		return nil
	}
	type helperOption struct {
		*candidate
		cost float64
	}
	var options []helperOption
	for i := range input.candidates {
		cand := &input.candidates[i]
		if cand.limit != nil || cand.quiet != nil || c.isCold(cand.targetState) || cand.state.helperParts >= cand.Slots || !cand.hasRoom(input.engine, partPrefill, memory) ||
			memory > 0 && cand.denial.covers(c.now, memory) {
			continue
		}
		harm := c.pauseHarm(input.engine, cand, partPrefill, true, 0) + delayHarm([]*candidate{cand}, partPrefill.remainingMS)
		options = append(options, helperOption{cand, harm + delayCost*cand.state.pendingPrefillMS/1000 + c.domainCost(cand.targetState)})
	}
	slices.SortStableFunc(options, func(a, b helperOption) int { return cmp.Compare(a.cost, b.cost) })
	var cheapest []*candidate
	for _, option := range options[:min(count, len(options))] {
		cheapest = append(cheapest, option.candidate)
	}
	return cheapest
}

// domainCost is the cost of the target's failure domain, as a share of the request's
// value.
func (c *Core) domainCost(target *targetState) float64 {
	switch {
	case target.FailureDomain == c.opts.FailureDomain:
		return 0
	case c.isLargeFleet():
		return guestDomainCost
	default:
		return remoteDomainCost
	}
}

// pauseHarm is the value that the requests at a target lose by longer pauses between
// their events if the target takes the prefill p of another request whose decoding
// adds addedDecodeMS to each step.
func (c *Core) pauseHarm(e *Engine, cand *candidate, p prefill, helperPart bool, addedDecodeMS float64) float64 {
	if len(cand.loads) == 0 {
		return 0
	}
	queue, _ := cand.state.withPrefill(p, helperPart)
	_, longestPassMS := e.predictPrefills(queue, cand.state.stepMS+addedDecodeMS, 0, cand.state.decoding > 0, -1)
	var lostValue float64
	for _, tracked := range cand.loads {
		if tracked.MaxEventGapMS > 0 && !tracked.HelperPart {
			maxPauseMS := float64(tracked.MaxEventGapMS)
			lostValue += tracked.Value * (1 - lateValueShare) * (withinLimitChance(cand.state.longestPassMS, maxPauseMS) - withinLimitChance(longestPassMS, maxPauseMS))
		}
	}
	return lostValue
}

// visitDelayLosses calls visit with the value that each request in the queue loses if
// a helper part, which goes first, delays its prefill by delayMS. It loses value by
// missing its target latency, and by missing its caller.
func (s *engineState) visitDelayLosses(delayMS float64, visit func(requestKey, float64)) {
	var doneMS float64
	for _, q := range s.queue {
		doneMS += q.remainingMS
		delayedMS := doneMS + delayMS
		lateLoss := q.value * (1 - lateValueShare) * (withinLimitChance(doneMS, q.firstEventLimitMS) - withinLimitChance(delayedMS, q.firstEventLimitMS))
		leaveLoss := q.value * lateValueShare * (withinLimitChance(doneMS, q.callerLimitMS) - withinLimitChance(delayedMS, q.callerLimitMS))
		if lateLoss+leaveLoss > 0 {
			visit(q.request, lateLoss+leaveLoss)
		}
	}
}

// delayHarm is the value that other requests lose if each of the helpers prefills a
// part first. The prefill of a split prompt is done when its last part is, so each
// request counts once, by its part with the largest loss.
func delayHarm(helpers []*candidate, delayMS float64) float64 {
	largestLoss := make(map[requestKey]float64)
	var total float64
	for _, h := range helpers {
		h.state.visitDelayLosses(delayMS, func(key requestKey, lost float64) {
			total += max(0, lost-largestLoss[key])
			largestLoss[key] = max(largestLoss[key], lost)
		})
	}
	return total
}

// jitter is the largest random part of a short request's score, as a share of its
// value.
func (c *Core) jitter() float64 {
	peers := float64(c.peerCount())
	return maxJitter * peers / (peers + halfJitterPeers)
}

// scorePlacement predicts the timing and the score of a placement.
func (c *Core) scorePlacement(input *placementInput, primary *candidate, helpers []*candidate, partPrefill prefill) placement {
	a, e := input.request, input.engine
	parts := 1 + len(helpers)
	contextTokens := float64(a.arrival.PromptTokens) / float64(parts)
	decodeMS := e.decodeMS(contextTokens)
	if parts > 1 {
		decodeMS += e.SplitStepMS
	}
	stepMS := primary.state.stepMS + decodeMS
	passMS := float64(e.StepsPerPass) * stepMS
	slotWaitMS, lateSlotWaitMS := primary.predictSlotWaitMS(e, primary.state)
	firstEventMS, longestPassMS := e.predictPrefill(primary, partPrefill, false, stepMS, slotWaitMS)
	harm := c.pauseHarm(e, primary, partPrefill, false, decodeMS)
	assignedMS := max(slotWaitMS, primary.state.passLeftMS) // when the helpers get their parts
	for _, h := range helpers {
		helperDoneMS, _ := e.predictPrefill(h, partPrefill, true, h.state.stepMS, assignedMS)
		firstEventMS = max(firstEventMS, helperDoneMS+primary.state.predictPassLeft(e))
		harm += c.pauseHarm(e, h, partPrefill, true, e.decodeMS(contextTokens))
	}
	harm += delayHarm(helpers, partPrefill.remainingMS)
	uncorrectedMS := firstEventMS
	firstEventMS *= c.firstEvents.Correction(firstEventKind(a, parts))
	value := a.value
	limitMS := toMS(a.arrival.Route.TargetLatency - (c.now - a.arrivedAt))
	inTimeChance := c.firstEventChance(input, primary, firstEventMS+transferMS-slotWaitMS, limitMS)
	if maxPauseMS := toMS(a.arrival.Route.MaxEventGap); maxPauseMS > 0 {
		inTimeChance *= withinLimitChance(min(longestPassMS, passMS*2), maxPauseMS)
	}
	ownValue := value * (lateValueShare + (1-lateValueShare)*inTimeChance)
	if firstEventMS+lateSlotWaitMS-slotWaitMS > toMS(a.firstEventDeadline()-c.now) {
		ownValue = 0
	}
	score := ownValue - harm - value*(helperCost*float64(parts-1)+c.domainCost(primary.targetState)+a.brokenDomainCost(primary.targetState)) - c.coldCost(primary.targetState)
	score -= value * delayCost * min(1, firstEventMS/max(1, toMS(a.arrival.Route.TargetLatency)))
	score += value * c.packingPreference(input, primary)
	p := placement{
		primary: primary.targetState, score: score, firstEventMS: firstEventMS, uncorrectedFirstEventMS: uncorrectedMS,
		prefillMS: partPrefill.remainingMS, slotWaitMS: slotWaitMS, inTimeChance: inTimeChance, harm: harm, ownValue: ownValue,
	}
	for _, h := range helpers {
		p.helpers = append(p.helpers, h.targetState)
	}
	return p
}

// packingPreference is the share of a request's value by which a primary target is
// better or worse for future requests: decoding is packed onto few targets, which
// leaves the others to prefill.
func (c *Core) packingPreference(input *placementInput, primary *candidate) float64 {
	longDemand := max(c.longDemandShare(input.request.service), 1-input.utilization/packingUtilization)
	if !input.longPrompt {
		packed := packedShare(primary.state.requests, primary.Slots, c.unheardArrivals(input.request.service))
		return packingBonus*longDemand*packed + c.jitter()*c.rng.Float64()
	}
	if primary.state.decoding+primary.state.ownPrefills == 0 {
		return -idleTargetCost * longDemand
	}
	return 0
}

// predictPrefill predicts the milliseconds until the end of the pass in which a target has
// done the prefill p, if that does not begin before afterMS, and the longest pass meanwhile.
func (e *Engine) predictPrefill(cand *candidate, p prefill, helperPart bool, stepMS, afterMS float64) (doneMS, longestPassMS float64) {
	queue, index := cand.state.withPrefill(p, helperPart)
	startMS := cand.state.passLeftMS
	if afterMS > startMS {
		startMS = afterMS
		if helperPart { // in the middle of another pass
			startMS += cand.state.predictPassLeft(e)
		}
	}
	doneMS, longestPassMS = e.predictPrefills(queue, stepMS, startMS, cand.state.decoding > 0, index)
	return doneMS, max(longestPassMS, float64(e.StepsPerPass)*stepMS)
}
