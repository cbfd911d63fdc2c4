package replay

import (
	"slices"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/store"
)

// instance is one entry instance of a replay.
type instance struct {
	run         *run
	name        string
	incarnation uint64
	entry       *entry.Entry
	paused      bool
	// calls are open calls to the store in the order of their making, attempts
	// the last ones by request.
	calls    []entry.StoreCall
	attempts map[entry.RequestID]request.AttemptID
	// held are answers to what was not yet asked.
	held []answer
}

type answer struct {
	ev event
	to To
}

// event is an event with the kind that names it in a report.
type event struct {
	kind string
	ev   entry.Event
}

func newInstance(x *run, name string, opts entry.Options) *instance {
	return &instance{
		run: x, name: name, incarnation: opts.Incarnation, entry: entry.New(opts),
		attempts: map[entry.RequestID]request.AttemptID{},
	}
}

// feed hands over an event; an answer waits for its question.
func (in *instance) feed(ev entry.Event, to *To) {
	if arrive, ok := ev.(entry.Arrive); ok {
		in.outcome(arrive.Request)
	}
	if to != nil {
		in.held = append(in.held, answer{event{kindOf(ev), ev}, *to})
		in.release()
		return
	}
	in.step(ev)
}

func kindOf(ev entry.Event) string {
	if _, ok := ev.(entry.StoreReply); ok {
		return "reply of"
	}
	return "end of"
}

// release hands over the answers whose question is open.
func (in *instance) release() {
	for i := 0; i < len(in.held); i++ {
		ev, ok := in.resolve(in.held[i])
		if !ok {
			continue
		}
		in.held = slices.Delete(in.held, i, i+1)
		in.step(ev)
		i = -1
	}
}

// resolve fills in the id of what an answer belongs to.
func (in *instance) resolve(a answer) (entry.Event, bool) {
	switch ev := a.ev.ev.(type) {
	case entry.StoreReply:
		i := slices.IndexFunc(in.calls, func(c entry.StoreCall) bool { return sameCall(c.Call, a.to) })
		if i < 0 {
			return nil, false
		}
		ev.ID = in.calls[i].ID
		in.calls = slices.Delete(in.calls, i, i+1)
		return ev, true
	case entry.AttemptEnd:
		id, ok := in.attempts[a.to.Request]
		ev.Attempt = id
		return ev, ok
	}
	return a.ev.ev, true
}

func sameCall(c store.Call, to To) bool { return c.Op == to.Op && c.Key == to.Key }

func (in *instance) step(ev entry.Event) {
	for _, eff := range slices.Clone(in.entry.Step(in.run.now, ev)) {
		switch eff := eff.(type) {
		case entry.StoreCall:
			in.calls = append(in.calls, eff)
		case entry.Send:
			in.attempts[eff.Request] = eff.Attempt
			in.outcome(eff.Request).Sends++
		case entry.Operated:
			in.run.answers[answerOf(in.name, eff)] = true
		case entry.Finish:
			in.outcome(eff.Request).Code = eff.Code
		}
	}
	if len(in.held) > 0 {
		in.release()
	}
}

func (in *instance) outcome(id entry.RequestID) *Outcome {
	key := arrival{in.name, in.incarnation, id}
	if in.run.outcomes[key] == nil {
		in.run.outcomes[key] = &Outcome{Instance: in.name, Incarnation: in.incarnation, Request: id}
	}
	return in.run.outcomes[key]
}
