package replay

import (
	"slices"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/store"
)

// instance is an entry instance that is driven by a replay.
type instance struct {
	replayer    *replayer
	name        string
	incarnation uint64
	entry       *entry.Entry
	paused      bool
	// openCalls holds the store calls without a reply, oldest first.
	openCalls []entry.StoreCall
	// lastAttempts holds the last attempt of each request.
	lastAttempts map[entry.RequestID]request.AttemptID
	// pendingAnswers holds answers from the trace whose store call or attempt
	// the instance has not made yet.
	pendingAnswers []pendingAnswer
}

// pendingAnswer is a store reply or the end of an attempt from the trace, held until
// the replayed instance has made the call or attempt (effect) that it answers.
type pendingAnswer struct {
	event  namedEvent
	effect EffectRef
}

// namedEvent is an event with its description in a report.
type namedEvent struct {
	kind    string
	decoded entry.Event
}

func newInstance(r *replayer, name string, opts entry.Options) *instance {
	return &instance{
		replayer: r, name: name, incarnation: opts.Incarnation, entry: entry.New(opts),
		lastAttempts: map[entry.RequestID]request.AttemptID{},
	}
}

// handleEvent passes an event to the instance. An event that answers an effect is
// delayed until the instance has produced that effect.
func (in *instance) handleEvent(ev entry.Event, effect *EffectRef) {
	if arrive, ok := ev.(entry.RequestArrived); ok {
		in.outcomeFor(arrive.Request)
	}
	if effect != nil {
		in.pendingAnswers = append(in.pendingAnswers, pendingAnswer{namedEvent{answerKind(ev), ev}, *effect})
		in.deliverPendingAnswers()
		return
	}
	in.step(ev)
}

// answerKind returns the description of an answer in a report.
func answerKind(ev entry.Event) string {
	if _, ok := ev.(entry.StoreReply); ok {
		return "reply to"
	}
	return "end of an attempt"
}

// deliverPendingAnswers passes the answers to the instance whose store call or
// attempt exists. It starts over after each, since a step may produce the effect
// for which an earlier answer waits.
func (in *instance) deliverPendingAnswers() {
	for i := 0; i < len(in.pendingAnswers); i++ {
		ev, ok := in.matchAnswer(in.pendingAnswers[i])
		if !ok {
			continue
		}
		in.pendingAnswers = slices.Delete(in.pendingAnswers, i, i+1)
		in.step(ev)
		i = -1
	}
}

// matchAnswer returns the event of an answer with the id of the store call or
// attempt to which it belongs. It returns false if there is none yet.
func (in *instance) matchAnswer(answer pendingAnswer) (entry.Event, bool) {
	switch ev := answer.event.decoded.(type) {
	case entry.StoreReply:
		i := slices.IndexFunc(in.openCalls, func(c entry.StoreCall) bool { return matchesCall(c.Call, answer.effect) })
		if i < 0 {
			return nil, false
		}
		ev.ID = in.openCalls[i].ID
		in.openCalls = slices.Delete(in.openCalls, i, i+1)
		return ev, true
	case entry.AttemptEnd:
		id, ok := in.lastAttempts[answer.effect.Request]
		ev.Attempt = id
		return ev, ok
	}
	return answer.event.decoded, true
}

func matchesCall(call store.Call, effect EffectRef) bool {
	return call.Op == effect.Op && call.Key == effect.Key
}

// step runs one step of the instance and records the effects that the trace
// refers to.
func (in *instance) step(ev entry.Event) {
	for _, eff := range slices.Clone(in.entry.Step(in.replayer.now, ev)) {
		switch eff := eff.(type) {
		case entry.StoreCall:
			in.openCalls = append(in.openCalls, eff)
		case entry.Send:
			in.lastAttempts[eff.Request] = eff.Attempt
			in.outcomeFor(eff.Request).Sends++
		case entry.CommandResult:
			in.replayer.actualAnswers[answerFromEffect(in.name, eff)] = true
		case entry.Finish:
			in.outcomeFor(eff.Request).Code = eff.Code
		}
	}
	if len(in.pendingAnswers) > 0 {
		in.deliverPendingAnswers()
	}
}

// outcomeFor returns the actual outcome of a request, and adds it if there is
// none.
func (in *instance) outcomeFor(id entry.RequestID) *Outcome {
	key := requestKey{in.name, in.incarnation, id}
	if in.replayer.actualOutcomes[key] == nil {
		in.replayer.actualOutcomes[key] = &Outcome{Instance: in.name, Incarnation: in.incarnation, Request: id}
	}
	return in.replayer.actualOutcomes[key]
}
