package entry

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"
)

// TraceLine is one event or effect with its time, as a line of JSON in a trace.
type TraceLine struct {
	// At is the monotonic time of the entry instance.
	At time.Duration `json:"at"`
	// Kind determines the type of Body.
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// eventTypes maps the kind of a line in a trace to the type of its event.
var eventTypes = typesByKind([]Event{
	RequestArrived{},
	Delivered{},
	AttemptEnd{},
	CallerLeft{},
	LoadReported{},
	PollFailed{},
	GroupReply{},
	OrderReply{},
	StoreReply{},
	PeerMessage{},
	PeerFailed{},
	AdoptConfiguration{},
	OperatorCommand{},
	Tick{},
	Stop{},
	EndStop{},
}, Event.eventKind)

// typesByKind maps the kind of each value to the type of the value.
func typesByKind[T any](values []T, kind func(T) string) map[string]reflect.Type {
	types := make(map[string]reflect.Type, len(values))
	for _, v := range values {
		types[kind(v)] = reflect.TypeOf(v)
	}
	return types
}

// EncodeEvent returns the line of an event.
func EncodeEvent(at time.Duration, ev Event) (TraceLine, error) {
	body, err := json.Marshal(ev)
	if err != nil {
		return TraceLine{}, fmt.Errorf("encode event %s: %w", ev.eventKind(), err)
	}
	return TraceLine{At: at, Kind: ev.eventKind(), Body: body}, nil
}

// DecodeEvent returns the event of a line.
func DecodeEvent(line TraceLine) (Event, error) {
	t, ok := eventTypes[line.Kind]
	if !ok {
		return nil, fmt.Errorf("decode event: unknown kind %q", line.Kind)
	}
	ptr := reflect.New(t)
	if len(line.Body) > 0 {
		if err := json.Unmarshal(line.Body, ptr.Interface()); err != nil {
			return nil, fmt.Errorf("decode event %s: %w", line.Kind, err)
		}
	}
	return ptr.Elem().Interface().(Event), nil
}

// EncodeEffect returns the line of an effect.
func EncodeEffect(at time.Duration, eff Effect) (TraceLine, error) {
	body, err := json.Marshal(eff)
	if err != nil {
		return TraceLine{}, fmt.Errorf("encode effect %s: %w", eff.effectKind(), err)
	}
	return TraceLine{At: at, Kind: eff.effectKind(), Body: body}, nil
}
