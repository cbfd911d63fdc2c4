package simulate

import (
	"fmt"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/result"
)

// Habits of callers.
const (
	leastPatience = 2 * time.Second
	// targetPatience and pausePatience are the multiples of the target latency and
	// of the longest pause that callers wait for an event before they leave.
	targetPatience = 4
	pausePatience  = 8
	// arrivalStep is the time in which a rate counts as constant.
	arrivalStep = 10 * time.Millisecond
	// maxRetries is how often a caller comes again after a refusal.
	maxRetries = 1
	// retryShare is the share of the time left up to which callers keep to the
	// wait that a refusal names.
	retryShare = 1.0 / 3
	// fewestTokens bounds answers from below, longestAnswer from above as a
	// multiple of the mean; callers name the latter.
	fewestTokens  = 43
	longestAnswer = 2.5
)

// call is one caller's request with its retries.
type call struct {
	sim    *Simulation
	kind   *Kind
	route  *fleet.Route
	prompt int
	answer int
	domain string
	born   time.Duration
	tries  int

	instance *instance
	request  fleet.RequestID
	first    time.Duration // from birth to the first event
	lastAt   time.Duration
	pause    time.Duration // longest
	begun    bool
	outcome  outcome
}

// outcome is what a caller got.
type outcome uint8

const (
	outcomeOpen outcome = iota
	outcomeComplete
	outcomeRefused
	outcomeFailed
	outcomeLeft
)

func patience(k Kind) time.Duration {
	return max(leastPatience, targetPatience*k.Target, pausePatience*k.Pause)
}

// arrivals schedules the requests of a kind: a Poisson process whose rate follows
// the day's phases.
func (s *Simulation) arrivals(k Kind) {
	route := s.config.Match("host", "/"+k.Name+"/")
	for at := time.Duration(0); at < s.day.Length; at += arrivalStep {
		mean := k.Rate * s.day.factor(k.Name, at) * arrivalStep.Seconds()
		for n := s.poisson(mean); n > 0; n-- {
			c := &call{
				sim: s, kind: &k, route: route, prompt: k.size(s.rng), domain: s.domain(s.rng.IntN(s.deployment.Domains)),
				answer: int(max(fewestTokens, k.Answer*s.rng.ExpFloat64())), born: at + time.Duration(s.rng.Float64()*float64(arrivalStep)),
			}
			c.answer = min(c.answer, int(longestAnswer*k.Answer))
			s.calls = append(s.calls, c)
			s.queue.Set(c.born, c.try)
		}
	}
}

// poisson draws a small count by adding up exponential gaps.
func (s *Simulation) poisson(mean float64) int {
	n := 0
	for t := s.rng.ExpFloat64(); t < mean; t += s.rng.ExpFloat64() {
		n++
	}
	return n
}

// try sends the request to an instance of the caller's domain.
func (c *call) try() {
	s := c.sim
	var near []*instance
	for _, in := range s.instances {
		if in.domain == c.domain {
			near = append(near, in)
		}
	}
	if len(near) == 0 {
		near = s.instances
	}
	in := near[s.rng.IntN(len(near))]
	c.tries++
	c.lastAt = s.now
	s.after(callerHop, func() {
		in.nextID++
		c.instance, c.request = in, in.nextID
		in.requests[c.request] = c
		in.step(fleet.Arrive{
			Request: c.request, ID: fmt.Sprint(c.request), Route: c.route, Config: s.config, Deadline: c.born + c.kind.Deadline,
			PromptTokens: c.prompt, MaxAnswerTokens: int(longestAnswer * c.kind.Answer), Fingerprint: uint64(len(s.calls))<<32 + uint64(c.request),
		})
	})
	c.watch(c.tries)
}

// watch lets the caller leave after a silence that is too long.
func (c *call) watch(try int) {
	limit := patience(*c.kind)
	c.sim.after(c.lastAt+limit-c.sim.now, func() {
		if c.outcome != outcomeOpen || c.tries != try {
			return
		}
		if c.sim.now < c.lastAt+limit {
			c.watch(try)
			return
		}
		c.outcome = outcomeLeft
		if c.instance != nil {
			c.instance.step(fleet.CallerLeft{Request: c.request})
		}
	})
}

// event takes one event of the answer.
func (c *call) event() {
	now := c.sim.now
	if c.begun {
		c.pause = max(c.pause, now-c.lastAt)
	} else {
		c.begun, c.first = true, now-c.born
	}
	c.lastAt = now
}

// finished takes the end of a try.
func (c *call) finished(f fleet.Finish) {
	if c.outcome != outcomeOpen {
		return
	}
	switch {
	case f.Code.Family() == result.FamilyComplete:
		c.outcome = outcomeComplete
	case f.Code.Family() == result.FamilyRefused:
		left := c.born + c.kind.Deadline - c.sim.now
		if c.tries > maxRetries || left <= 0 {
			c.outcome = outcomeRefused
			return
		}
		c.sim.after(min(f.RetryAfter, time.Duration(retryShare*float64(left))), c.try)
	default:
		c.outcome = outcomeFailed
	}
}
