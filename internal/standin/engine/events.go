package engine

import (
	"math/rand/v2"
	"time"
)

// EventOp says what happened to a cached block.
type EventOp string

// Kinds of cache event.
const (
	EventStored  EventOp = "stored"
	EventRemoved EventOp = "removed"
)

// Event is one change of the prefix cache.
type Event struct {
	// Sequence rises by one with each event of an incarnation; a missing number
	// is a gap.
	Sequence uint64  `json:"sequence"`
	Op       EventOp `json:"op"`
	// Hash is the chained hash of the block, as in package prefix.
	Hash uint64 `json:"hash"`
}

// EventPage is an answer to a request for cache events.
type EventPage struct {
	Incarnation uint64  `json:"incarnation"`
	Events      []Event `json:"events"`
	// Next is the sequence after which to ask the next time.
	Next uint64 `json:"next"`
}

// Bounds of the event log.
const (
	maxKeptEvents = 1 << 16 // older ones are lost: a gap
	maxEventPage  = 1024
)

// eventLog keeps cache events until they are old enough to be published. Some
// are lost on the way.
type eventLog struct {
	lag  time.Duration
	loss float64
	rng  *rand.Rand
	now  func() time.Time
	last uint64
	kept []keptEvent
}

type keptEvent struct {
	Event
	at time.Time
}

func (l *eventLog) add(op EventOp, hash uint64) {
	l.last++
	if l.loss > 0 && l.rng.Float64() < l.loss {
		return
	}
	if len(l.kept) >= maxKeptEvents {
		l.kept = append(l.kept[:0], l.kept[maxKeptEvents/2:]...)
	}
	l.kept = append(l.kept, keptEvent{Event{Sequence: l.last, Op: op, Hash: hash}, l.now()})
}

// after returns the published events behind a sequence number.
func (l *eventLog) after(sequence uint64) EventPage {
	page := EventPage{Next: sequence, Events: []Event{}}
	published := l.now().Add(-l.lag)
	for _, ev := range l.kept {
		if ev.Sequence <= sequence {
			continue
		}
		if ev.at.After(published) || len(page.Events) == maxEventPage {
			break
		}
		page.Events = append(page.Events, ev.Event)
		page.Next = ev.Sequence
	}
	return page
}
