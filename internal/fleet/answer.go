package fleet

import "time"

// Bounds of what is learnt of the time that answers take.
const (
	// answerWeight is the weight of the newest answer in the means.
	answerWeight = 0.1
	// answerDeviations is how many mean deviations longer than on average an
	// answer is expected to take at most: few of them are longer.
	answerDeviations = 3
)

// answerTime is the time from the first event of an answer to its last.
type answerTime struct{ mean, deviation time.Duration }

func (t *answerTime) learn(d time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = d, d/2
		return
	}
	off := max(d-t.mean, t.mean-d)
	t.mean += time.Duration(answerWeight * float64(d-t.mean))
	t.deviation += time.Duration(answerWeight * float64(off-t.deviation))
}

// learnAnswer notes how long a complete answer took behind its first event.
func (c *Core) learnAnswer(a *active) {
	if !a.begun {
		return
	}
	t := c.answers[a.arrive.Route.Name]
	if t == nil {
		t = &answerTime{}
		c.answers[a.arrive.Route.Name] = t
	}
	t.learn(c.now - a.arrivedAt - a.firstAt)
}

// answerWithin returns the time in which nearly every answer of the request's
// route ends behind its first event; callers name only a bound of its length.
func (c *Core) answerWithin(a *active, e *Engine) time.Duration {
	if t := c.answers[a.arrive.Route.Name]; t != nil {
		return t.mean + answerDeviations*t.deviation
	}
	step := e.StepMS + float64(e.Slots)*e.writerMS(float64(e.UsualPrompt))
	return fromMS(float64(a.arrive.MaxAnswerTokens) * step)
}
