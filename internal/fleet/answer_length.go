package fleet

import (
	"strconv"

	"github.com/medlardeck/medlardeck/internal/forecast"
)

// answerKind is the kind of answers to the requests of a route.
func answerKind(service, route string, promptTokens int) forecast.Kind {
	return forecast.Kind{Service: service, Class: route, Size: forecast.SizeOf(promptTokens)}
}

// peerAnswerKind is the kind of answers to requests of which only what a peer tells of their
// loads is known: their objective for pauses stands for the route, and their part of the
// prompt for its size.
func peerAnswerKind(service string, maxEventGapMS, contextTokens int) forecast.Kind {
	return forecast.Kind{Service: service, Class: "pause/" + strconv.Itoa(maxEventGapMS), Size: forecast.SizeOf(contextTokens)}
}

// hinterOf names the client whose hints are trusted as far as they have proved true.
func (a *activeRequest) hinterOf() string {
	if a.arrival.Caller == nil {
		return ""
	}
	return a.arrival.Caller.Name
}

// predictAnswer returns the predicted length of the answer to a request.
func (c *Core) predictAnswer(a *activeRequest) forecast.Length {
	e := c.engineOf(a)
	if e == nil {
		return forecast.Length{}
	}
	kind := answerKind(a.service, a.arrival.Route.Name, a.arrival.PromptTokens)
	return c.lengths.Predict(kind, a.hinterOf(), a.arrival.LengthHint, float64(e.MeanAnswerTokens), float64(a.arrival.MaxAnswerTokens))
}

// predictPeerAnswer returns the predicted length of the answer to the request of a peer's load.
func (c *Core) predictPeerAnswer(target *targetState, load TargetLoad) forecast.Length {
	if c.config == nil || c.config.Services[target.Service] == nil || c.config.Services[target.Service].Engine == nil {
		return forecast.Length{}
	}
	mean := float64(c.config.Services[target.Service].Engine.MeanAnswerTokens)
	longest := 0 // not known
	if load.isWholePrompt() {
		longest = max(0, load.MemoryTokens-load.ContextTokens)
	}
	return c.lengths.Predict(peerAnswerKind(target.Service, load.MaxEventGapMS, load.ContextTokens), "", 0, mean, float64(longest))
}

// observeAnswerLength learns from a complete answer, which has a token at the first event
// and those of a pass at each further one, up to the last, which has half of them on average.
func (c *Core) observeAnswerLength(a *activeRequest) {
	e := c.engineOf(a)
	if e == nil || a.arrival.ResumeAfter != "" || a.attemptsRun > 0 || len(a.loads) == 0 || a.loads[0].load.sentEvents == 0 {
		return
	}
	tokens := 1 + float64(e.StepsPerPass)*max(0, float64(a.loads[0].load.sentEvents-1)-0.5)
	c.lengths.Observe(answerKind(a.service, a.arrival.Route.Name, a.arrival.PromptTokens), a.hinterOf(), a.arrival.LengthHint, tokens)
	c.lengths.Observe(peerAnswerKind(a.service, int(toMS(a.arrival.Route.MaxEventGap)), a.loads[0].load.ContextTokens), "", 0, tokens)
}

// estimateAnswerTokens returns the number of tokens that the answer of a request is expected
// to have; zero for services without engines.
func (c *Core) estimateAnswerTokens(a *activeRequest) float64 {
	if a.expectedAnswerTokens == 0 && c.engineOf(a) != nil {
		answer := c.predictAnswer(a)
		a.expectedAnswerTokens = answer.Expected()
	}
	return a.expectedAnswerTokens
}
