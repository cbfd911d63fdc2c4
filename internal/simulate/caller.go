package simulate

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/result"
)

// Behaviour of callers.
const (
	minCallerTimeout = 2 * time.Second
	// targetTimeoutFactor and pauseTimeoutFactor are the multiples of the target
	// latency and of the longest accepted pause after which a caller that has got no
	// event gives up.
	targetTimeoutFactor = 4
	pauseTimeoutFactor  = 8
	// arrivalInterval is the interval over which the arrival rate is taken as constant.
	arrivalInterval = 10 * time.Millisecond
	// maxRetries is how often a caller repeats a refused request.
	maxRetries = 1
	// maxRetryWaitShare is the largest share of the time left to the deadline for
	// which a caller waits before a retry, whatever delay the refusal asks for.
	maxRetryWaitShare = 1.0 / 3
	// minAnswerTokens is the least length of an answer, and maxAnswerFactor the
	// greatest as a multiple of the mean. Requests state the latter as their maximum
	// number of answer tokens.
	minAnswerTokens = 43
	maxAnswerFactor = 2.5
	// hintShare is the share of the requests with a hint of the answer's length. The hint is
	// right at the median; hintLogStdDev is the standard deviation of the logarithm of its
	// ratio to the length.
	hintShare     = 0.5
	hintLogStdDev = 0.6
)

// call is one caller's request, including its retries.
type call struct {
	sim          *Simulation
	kind         *Kind
	route        *fleet.Route
	promptTokens int
	answerTokens int
	domain       string
	arrivedAt    time.Duration
	tries        int

	instance         *instance
	request          fleet.RequestID
	timeToFirstEvent time.Duration // since arrivedAt
	lastActivityAt   time.Duration
	longestPause     time.Duration // longest time between two events
	lateEvents       int           // that came after a pause longer than accepted
	hasFirstEvent    bool
	lengthHint       int     // in tokens, zero for none
	firstEventRatio  float64 // of the observed time from sending to the forecast
	outcome          outcome
}

// outcome is the result of a call as its caller sees it.
type outcome uint8

const (
	outcomePending outcome = iota
	outcomeComplete
	outcomeRefused
	outcomeFailed
	outcomeAbandoned
)

// callerTimeout returns how long callers of a kind wait without an event before
// they give up.
func callerTimeout(k Kind) time.Duration {
	return max(minCallerTimeout, targetTimeoutFactor*k.FirstEventTarget, pauseTimeoutFactor*k.MaxEventGap)
}

// workspace returns the workspace of the kind's callers, nil for none.
func (k *Kind) workspace() *fleet.Workspace {
	if k.Workspace == "" {
		return nil
	}
	return &fleet.Workspace{Name: k.Workspace}
}

// scheduleArrivals schedules the requests of a kind as a Poisson process whose rate
// follows the day's phases.
func (s *Simulation) scheduleArrivals(k Kind) {
	route := s.config.Match("host", "/"+k.Name+"/")
	for at := time.Duration(0); at < s.day.Duration; at += arrivalInterval {
		mean := k.Rate * s.day.rateFactor(k.Name, at) * arrivalInterval.Seconds()
		for n := s.drawPoisson(mean); n > 0; n-- {
			c := &call{
				sim: s, kind: &k, route: route, promptTokens: k.drawPromptTokens(s.rng), domain: s.domainName(s.rng.IntN(s.deployment.Domains)),
				answerTokens: int(max(minAnswerTokens, k.MeanAnswerTokens*s.rng.ExpFloat64())), arrivedAt: at + time.Duration(s.rng.Float64()*float64(arrivalInterval)),
			}
			c.answerTokens = min(c.answerTokens, int(maxAnswerFactor*k.MeanAnswerTokens))
			c.lengthHint = s.drawLengthHint(c.answerTokens)
			s.calls = append(s.calls, c)
			s.eventQueue.Set(c.arrivedAt, c.sendRequest)
		}
	}
}

// drawLengthHint draws a caller's estimate of the length of its answer, zero for none. It has
// random numbers of its own, so that the other draws of a day don't depend on it.
func (s *Simulation) drawLengthHint(answerTokens int) int {
	if s.hintRNG.Float64() >= hintShare {
		return 0
	}
	return max(1, int(float64(answerTokens)*math.Exp(hintLogStdDev*s.hintRNG.NormFloat64())))
}

// drawPoisson draws a Poisson-distributed count by adding up exponential gaps. Its
// time grows with the mean, which is small here.
func (s *Simulation) drawPoisson(mean float64) int {
	n := 0
	for t := s.rng.ExpFloat64(); t < mean; t += s.rng.ExpFloat64() {
		n++
	}
	return n
}

// sendRequest sends the request to a random instance of the caller's failure domain,
// or of any domain if the caller's has none, and starts the caller's timeout.
func (c *call) sendRequest() {
	s := c.sim
	var candidates []*instance
	for _, in := range s.instances {
		if in.domain == c.domain && !in.lost {
			candidates = append(candidates, in)
		}
	}
	if len(candidates) == 0 {
		candidates = slices.DeleteFunc(slices.Clone(s.instances), func(in *instance) bool { return in.lost })
	}
	in := candidates[s.rng.IntN(len(candidates))]
	c.tries++
	c.lastActivityAt = s.now
	s.schedule(callerDelay, func() {
		in.nextID++
		c.instance, c.request = in, in.nextID
		in.requests[c.request] = c
		in.handleEvent(fleet.RequestArrived{
			Request: c.request, ID: fmt.Sprint(c.request), Route: c.route, Config: s.config, Deadline: c.arrivedAt + c.kind.Deadline,
			Caller: c.kind.workspace(), PromptTokens: c.promptTokens, MaxAnswerTokens: int(maxAnswerFactor * c.kind.MeanAnswerTokens), LengthHint: c.lengthHint, Fingerprint: uint64(len(s.calls))<<32 + uint64(c.request),
		})
	})
	c.scheduleTimeout(c.tries)
}

// scheduleTimeout makes the caller give up, and cancel the request, when it has got
// no event for callerTimeout. It does nothing once the call has ended or a later try
// has begun.
func (c *call) scheduleTimeout(try int) {
	limit := callerTimeout(*c.kind)
	c.sim.schedule(c.lastActivityAt+limit-c.sim.now, func() {
		if c.outcome != outcomePending || c.tries != try {
			return
		}
		if c.sim.now < c.lastActivityAt+limit {
			c.scheduleTimeout(try)
			return
		}
		c.outcome = outcomeAbandoned
		if c.instance != nil {
			c.instance.handleEvent(fleet.CallerLeft{Request: c.request})
		}
	})
}

// recordEvent records the arrival of one event of the answer at the caller.
func (c *call) recordEvent() {
	now := c.sim.now
	if c.hasFirstEvent {
		c.longestPause = max(c.longestPause, now-c.lastActivityAt)
		if now-c.lastActivityAt > c.kind.MaxEventGap {
			c.lateEvents++
		}
	} else {
		c.hasFirstEvent, c.timeToFirstEvent = true, now-c.arrivedAt
	}
	c.lastActivityAt = now
}

// handleFinish handles the end of a try: it sets the outcome, or schedules a retry
// after a refusal if retries and time are left.
func (c *call) handleFinish(f fleet.Finish) {
	if c.outcome != outcomePending {
		return
	}
	switch {
	case f.Code.Family() == result.FamilyComplete:
		c.outcome = outcomeComplete
	case f.Code.Family() == result.FamilyRefused:
		remaining := c.arrivedAt + c.kind.Deadline - c.sim.now
		if c.tries > maxRetries || remaining <= 0 {
			c.outcome = outcomeRefused
			return
		}
		c.sim.schedule(min(f.RetryAfter, time.Duration(maxRetryWaitShare*float64(remaining))), c.sendRequest)
	default:
		c.outcome = outcomeFailed
	}
}
