package fleet

import "github.com/medlardeck/medlardeck/internal/forecast"

// firstEventKind is the kind of first events whose predictions err alike: those of prompts of
// about the same size, in parts or whole.
func firstEventKind(a *activeRequest, parts int) forecast.Kind {
	class := "whole"
	if parts > 1 {
		class = "parts"
	}
	return forecast.Kind{Service: a.service, Class: class, Size: forecast.SizeOf(a.arrival.PromptTokens)}
}

// observeFirstEvent learns from the first event of the current attempt.
func (c *Core) observeFirstEvent(a *activeRequest) {
	if a.predictedFirstEventMS <= 0 || c.engineOf(a) == nil || !c.usesPredictions() {
		return
	}
	observedMS := toMS(c.now - a.sentAt)
	c.firstEvents.Observe(firstEventKind(a, a.parts), observedMS, a.predictedFirstEventMS)
	if predictedMS := toMS(a.predictedFirstEvent); predictedMS > 0 {
		c.emit(ObserveRatio{"first_event_ratio", a.arrival.Route.Name, observedMS / predictedMS})
	}
}
