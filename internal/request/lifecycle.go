package request

import "time"

// AttemptID identifies one attempt to run a request. It is unique within one
// entry instance and is never reused.
type AttemptID uint64

// attemptState is the last known state of one attempt.
type attemptState int

const (
	attemptSent   attemptState = iota // bytes may have reached the target
	attemptNotRun                     // never connected, or the target reported that it did not run it
	attemptEnded                      // broken, failed or completed after it may have started
)

// Lifecycle tracks the attempts of one request from its arrival to its outcome.
type Lifecycle struct {
	deadline        time.Duration
	attempts        map[AttemptID]attemptState
	current         AttemptID
	deliveredTokens int
	ended           bool
}

// New returns the Lifecycle of a request that must end by deadline, a time on the
// monotonic clock of the entry instance.
func New(deadline time.Duration) *Lifecycle {
	return &Lifecycle{deadline: deadline, attempts: make(map[AttemptID]attemptState)}
}

// SetDeadline changes the time by which the request must end.
func (l *Lifecycle) SetDeadline(deadline time.Duration) { l.deadline = deadline }

// Deadline returns the time by which the request must end.
func (l *Lifecycle) Deadline() time.Duration { return l.deadline }

// RecordSent records that attempt id is about to be sent and makes it the current
// attempt. It must be called before the first byte is sent.
func (l *Lifecycle) RecordSent(id AttemptID) {
	l.attempts[id] = attemptSent
	l.current = id
}

// RecordNotRun records evidence that attempt id did not run: no connection was made, or
// the target itself reported it.
func (l *Lifecycle) RecordNotRun(id AttemptID) { l.setAttemptState(id, attemptNotRun) }

// RecordEnded records that attempt id ended after it may have started.
func (l *Lifecycle) RecordEnded(id AttemptID) { l.setAttemptState(id, attemptEnded) }

// setAttemptState sets the final state of a sent attempt. Only the first call for an
// attempt has an effect.
func (l *Lifecycle) setAttemptState(id AttemptID, state attemptState) {
	if old, ok := l.attempts[id]; !ok || old != attemptSent {
		return
	}
	l.attempts[id] = state
	if l.current == id {
		l.current = 0
	}
}

// Current returns the attempt whose answer counts, or zero for none. Answers of any
// other attempt are late or foreign and must be dropped.
func (l *Lifecycle) Current() AttemptID { return l.current }

// Attempts returns the number of attempts sent.
func (l *Lifecycle) Attempts() int { return len(l.attempts) }

// AddTokens records that n more tokens were delivered to the caller.
func (l *Lifecycle) AddTokens(n int) { l.deliveredTokens += n }

// Tokens returns the number of tokens delivered to the caller. A resumed attempt
// starts at this offset.
func (l *Lifecycle) Tokens() int { return l.deliveredTokens }

// End marks the request as ended. It returns false if the request had ended before,
// so that there is exactly one outcome.
func (l *Lifecycle) End() bool {
	if l.ended {
		return false
	}
	l.ended = true
	l.current = 0
	return true
}

// NotRunProof returns a proof that the request did not run. It is valid only while
// every attempt is known not to have run.
func (l *Lifecycle) NotRunProof() NotRunProof {
	for _, state := range l.attempts {
		if state != attemptNotRun {
			return NotRunProof{}
		}
	}
	return NotRunProof{valid: true}
}

// Valid reports whether the proof holds.
func (u NotRunProof) Valid() bool { return u.valid }
