package fleet

import (
	"math"
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// typicalAnswerShare is the share of the expected length of an answer for which its deadline
// has to leave time: the median of exponentially distributed lengths.
const typicalAnswerShare = math.Ln2

// servesTooLate reports whether a request that is sent now with the placement p is predicted
// to lose its caller.
func (c *Core) servesTooLate(a *activeRequest, p placement) bool {
	if c.engineOf(a) == nil || !c.usesPredictions() || a.anyEventDelivered {
		return false
	}
	return p.ownValue == 0 || c.endsTooLate(a, p, 0)
}

// endsTooLate reports whether the first event of a request that is sent with the placement p
// after a delay is predicted to come after the caller has disconnected, or the deadline to end
// an answer of typical length.
func (c *Core) endsTooLate(a *activeRequest, p placement, delay time.Duration) bool {
	e := c.engineOf(a)
	stepMS := p.primary.predictState(e).stepMS + e.decodeMS(float64(a.arrival.PromptTokens/p.partCount()))
	answerMS := typicalAnswerShare * c.estimateAnswerTokens(a) * stepMS
	firstEvent := c.now + delay + fromMS(p.firstEventMS)
	return firstEvent > a.firstEventDeadline() || firstEvent+fromMS(answerMS) > a.deadline
}

// refuseLate refuses a request that servesTooLate.
func (c *Core) refuseLate(a *activeRequest, p placement) {
	c.incrementCounter("early_refusals", "prediction")
	c.refuseOrFail(a, result.DeadlineUnmet, c.bookReturn(a, c.now+fromMS(p.firstEventMS-p.prefillMS)))
}

// predictAgain returns a placement chosen earlier with the timing that is predicted now.
func (c *Core) predictAgain(a *activeRequest, p placement) placement {
	e := c.engineOf(a)
	if e == nil || !c.usesPredictions() {
		return p
	}
	input := c.newPlacementInput(a, e, append([]*targetState{p.primary}, p.helpers...))
	helpers := make([]*candidate, len(p.helpers))
	for i := range p.helpers {
		helpers[i] = &input.candidates[1+i]
	}
	partPrefill := prefill{remainingMS: p.prefillMS, remainingChunks: e.prefillChunks(a.arrival.PromptTokens / p.partCount()), decodes: len(helpers) == 0}
	again := c.scorePlacement(input, &input.candidates[0], helpers, partPrefill)
	again.needsTickets, again.longPrompt = p.needsTickets, p.longPrompt
	return again
}
