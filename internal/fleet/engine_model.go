package fleet

import (
	"math"
	"slices"
	"time"
)

func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMS returns a period of v milliseconds, at most maxPredictedMS; zero if v is not a number.
func fromMS(v float64) time.Duration {
	if math.IsNaN(v) {
		return 0
	}
	return time.Duration(min(maxPredictedMS, max(-maxPredictedMS, v)) * float64(time.Millisecond))
}

// maxPredictedMS is longer than any request may take. Sums of some such periods fit a
// time.Duration.
const maxPredictedMS = 1e11

// pairsUnit is the number of pairs that Engine.PairsMSPerM is the time of.
const pairsUnit = 1e6

// prefillMS returns the milliseconds that an idle engine takes to prefill one part
// of a prompt that is split evenly into parts parts.
func (e *Engine) prefillMS(tokens, parts int) float64 {
	partTokens := float64(tokens) / float64(parts)
	pairs := float64(tokens) * float64(tokens) / 2 / float64(parts)
	return partTokens/e.PrefillPerMS + pairs/pairsUnit*e.PairsMSPerM + math.Ceil(partTokens/float64(e.PrefillChunkTokens))*e.StepMS
}

// decodeMS returns the milliseconds that a decoding request adds to each step.
func (e *Engine) decodeMS(contextTokens float64) float64 {
	return e.PerSequenceMS + e.ContextMSPerK*contextTokens/1000
}

// fullStepMS returns the milliseconds of a step while all slots are in use.
func (e *Engine) fullStepMS() float64 {
	return e.StepMS + float64(e.Slots)*e.decodeMS(float64(e.MeanPromptTokens))
}

// requestKey identifies a request among all instances.
type requestKey struct {
	owner   loadOwner
	request uint64
}

// prefill is the pending prefill of a prompt or of a part of one.
type prefill struct {
	remainingMS     float64
	remainingChunks float64 // number of steps that the rest takes
	decodes         bool    // the engine decodes the request next: it is no part of one
	request         requestKey
	// value is the value of the request. Its first event meets the target latency
	// within firstEventLimitMS and comes before the caller disconnects within
	// callerLimitMS, both from now.
	value, firstEventLimitMS, callerLimitMS float64
}

// engineState is the predicted state of one engine at one moment.
type engineState struct {
	requests         int     // that hold or wait for a slot
	slowness         float64 // factor of all times
	helperParts      int     // parts that the engine prefills for other engines
	pendingPrefillMS float64 // sum over the queue
	stepMS           float64 // time of one step once all present requests decode
	decoding         int     // loads whose first event has come
	ownPrefills      int     // pending prefills of the engine's own requests
	memoryTokens     int     // KV cache in use or reserved
	// queue holds the pending prefills in the order of execution: parts for other
	// engines, the newest first, before the engine's own prompts.
	queue []prefill
	// passLeftMS is the time until the pass in progress ends.
	passLeftMS float64
	// longestPassMS is the time of the longest pass while the queue is prefilled.
	longestPassMS float64
}

// predictState sums up the loads of the target's engine.
func (t *targetState) predictState(e *Engine) engineState {
	state := engineState{stepMS: e.StepMS, slowness: t.slowness()}
	for _, tracked := range t.loads {
		if tracked.HelperPart {
			state.helperParts++
		} else {
			state.requests++
		}
		state.memoryTokens += tracked.MemoryTokens
		// A request whose prefill is pending will decode soon.
		state.stepMS += e.decodeMS(float64(tracked.ContextTokens))
		if tracked.firstEventSeen {
			state.decoding++
		}
		if tracked.pendingPrefillMS <= 0 {
			continue
		}
		if !tracked.HelperPart {
			state.ownPrefills++
		}
		state.pendingPrefillMS += tracked.pendingPrefillMS * state.slowness
		ageMS := toMS(t.advancedAt-tracked.addedAt) + float64(tracked.AgeMS)
		state.queue = append(state.queue, prefill{
			remainingMS:     tracked.pendingPrefillMS * state.slowness,
			remainingChunks: e.prefillChunks(tracked.ContextTokens) * tracked.pendingPrefillMS / tracked.PrefillMS,
			decodes:         tracked.decodesNext(),
			request:         requestKey{tracked.owner, tracked.Request}, value: tracked.Value,
			firstEventLimitMS: float64(tracked.FirstEventLimitMS) - ageMS,
			callerLimitMS:     float64(tracked.CallerLimitMS) - ageMS,
		})
	}
	state.stepMS *= state.slowness
	state.passLeftMS = state.predictPassLeft(e)
	_, state.longestPassMS = e.predictPrefills(state.queue, state.stepMS, 0, state.decoding > 0, -1)
	return state
}

// decodesNext reports whether the target decodes the answer once the prefill of the load is
// done: other parts of a split prompt may take longer.
func (l *trackedLoad) decodesNext() bool { return !l.HelperPart && l.isWholePrompt() }

// isWholePrompt reports whether the load is that of a prompt that is not split: its value
// states the size of the prompt, by the weight of one of the priorities.
func (l *TargetLoad) isWholePrompt() bool {
	for priority := range firstLateUrgency {
		promptTokens := (l.Value/priorityWeight(priority) - 1) * tokensPerValue
		if math.Abs(promptTokens-float64(l.ContextTokens)) < 1 {
			return true
		}
	}
	return false
}

// predictPassLeft returns the time until the pass in progress ends: half of a pass on average.
func (s *engineState) predictPassLeft(e *Engine) float64 {
	if s.decoding == 0 {
		return 0
	}
	return float64(e.StepsPerPass) * s.stepMS / 2
}

// prefillChunks returns the number of steps that the prefill of the tokens takes.
func (e *Engine) prefillChunks(tokens int) float64 {
	return math.Ceil(float64(tokens) / float64(e.PrefillChunkTokens))
}

// predictPrefills predicts the prefill of a queue by an engine whose pass in progress ends
// after startMS, while decoding steps take stepMS each: the milliseconds from now until the
// end of the pass in which the entry at index is done (0 if there is no such entry), and the
// time of the longest pass. An engine that decodes nothing has a pass for each step.
func (e *Engine) predictPrefills(queue []prefill, stepMS, startMS float64, decoding bool, index int) (doneMS, longestPassMS float64) {
	decodePassMS := float64(e.StepsPerPass) * stepMS
	longestPassMS = decodePassMS
	elapsedMS, next := startMS, 0
	for ; next < len(queue) && !decoding; next++ {
		elapsedMS += queue[next].remainingMS
		if next == index {
			doneMS = elapsedMS
		}
		decoding = queue[next].decodes
	}
	stepsLeft, passMS, found := float64(e.StepsPerPass), decodePassMS, false
	for i := next; i < len(queue); i++ {
		remaining := queue[i]
		for remaining.remainingChunks > 0 {
			chunks := min(stepsLeft, remaining.remainingChunks)
			prefillMS := remaining.remainingMS * chunks / remaining.remainingChunks
			remaining.remainingMS, remaining.remainingChunks = remaining.remainingMS-prefillMS, remaining.remainingChunks-chunks
			stepsLeft, passMS = stepsLeft-chunks, passMS+max(0, prefillMS-chunks*e.StepMS) // its steps decode, too
			longestPassMS = max(longestPassMS, passMS)
			if stepsLeft <= 0 {
				elapsedMS += passMS
				if found {
					return elapsedMS, longestPassMS
				}
				stepsLeft, passMS = float64(e.StepsPerPass), decodePassMS
			}
		}
		found = found || i == index
	}
	if found {
		doneMS = elapsedMS + passMS
	}
	return doneMS, longestPassMS
}

// withPrefill returns a copy of the queue with one more entry, and the index of that
// entry. A helper part goes first, any other entry last.
func (s *engineState) withPrefill(p prefill, helperPart bool) (queue []prefill, index int) {
	index = len(s.queue)
	if helperPart {
		index = 0
	}
	p.remainingMS *= s.slowness
	return slices.Insert(slices.Clone(s.queue), index, p), index
}
