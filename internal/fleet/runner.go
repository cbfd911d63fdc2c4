package fleet

import (
	"slices"
	"time"
)

// Load is one request of an instance at a target, as told to peers.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Target is the id of the target.
	Target string
	// Key identifies the load within its instance.
	Key uint64
	// ReadMS is the predicted time of reading the prompt, or the part of it.
	ReadMS float64
	// ContextTokens are read before the answer is written.
	ContextTokens int
	// MemoryTokens are taken at the target.
	MemoryTokens int
	// MaxPauseMS is the longest pause that the caller is content with.
	MaxPauseMS int
	// Part says that the target helps another one with a part of the prompt.
	Part bool
	// Begun says that the first event has come.
	Begun bool
	// AgeMS is the time since it was sent.
	AgeMS int
	// FirstWithinMS is the time from sending in which the first event satisfies
	// the caller.
	FirstWithinMS int
	// LeavesWithinMS is the time from sending in which the first event finds the
	// caller.
	LeavesWithinMS int
	// Value is what the caller loses if it is served late.
	Value float64
	// Request identifies the request within its instance: parts of one prompt
	// share it.
	Request uint64
}

// flight is a load at a target with the progress predicted for it.
type flight struct {
	Load
	owner    string // peer; empty for this instance
	unreadMS float64
	begun    bool
	seenAt   time.Duration
}

// runner is a target as this instance sees it.
type runner struct {
	Target
	gone       bool // no longer listed
	leaving    bool // draining, or a peer said so
	flights    []*flight
	advancedAt time.Duration
	aliveAt    time.Duration // when it last sent anything, here or to a peer
	health     health
}

// begin adds a load.
func (r *runner) begin(now time.Duration, owner string, l Load) *flight {
	r.advance(now)
	f := &flight{Load: l, owner: owner, unreadMS: l.ReadMS, begun: l.Begun, seenAt: now}
	if l.Begun {
		f.unreadMS = 0
	}
	if l.Part { // the newest part is read before anything else
		r.flights = slices.Insert(r.flights, 0, f)
	} else {
		r.flights = append(r.flights, f)
	}
	return f
}

func (r *runner) end(now time.Duration, f *flight) {
	r.advance(now)
	r.flights = slices.DeleteFunc(r.flights, func(g *flight) bool { return g == f })
}

// firstEvent notes that a load's prompt has been read.
func (r *runner) firstEvent(now time.Duration, f *flight) {
	r.advance(now)
	f.begun, f.unreadMS = true, 0
}

// unreadFloor is the share of a prompt that counts as unread until its first
// event comes, however long that takes: predictions err by about as much.
const unreadFloor = 0.15

// advance lets the predicted reading progress to now, in the order of arrival.
func (r *runner) advance(now time.Duration) {
	left := ms(now - r.advancedAt)
	r.advancedAt = now
	for _, f := range r.flights {
		if left <= 0 {
			return
		}
		if f.begun {
			continue
		}
		done := max(0, min(left, f.unreadMS-unreadFloor*f.ReadMS))
		f.unreadMS -= done
		left -= done
	}
}

// Times of health.
const (
	// firstAvoidance is how long a target is avoided after its first failure
	// without an answer; it doubles with each further one.
	firstAvoidance = time.Second
	maxAvoidance   = 8 * time.Second
	// failureWeight is the weight of the newest end in the failure rate.
	failureWeight = 0.25
	// avoidedRate is the failure rate from which a target is avoided.
	avoidedRate = 0.45
)

// health is what requests showed of a target.
type health struct {
	rate       float64 // moving average of failures
	inRow      int
	failedAt   time.Duration
	avoidUntil time.Duration
}

func (h *health) usable(now time.Duration) bool { return now >= h.avoidUntil }

func (h *health) succeeded() {
	h.rate *= 1 - failureWeight
	h.inRow = 0
	if h.rate < avoidedRate {
		h.avoidUntil = 0
	}
}

// probed notes that a request tries a target that failed before: the others wait
// for how it ends.
func (h *health) probed(now time.Duration) {
	if h.inRow > 0 && now >= h.avoidUntil {
		h.avoidUntil = now + firstAvoidance
	}
}

// failed notes a failure; severe ones (no answer at all) count at once.
func (h *health) failed(now time.Duration, weight float64, severe bool) {
	h.rate += failureWeight * weight * (1 - h.rate)
	if !severe && h.rate < avoidedRate {
		return
	}
	if h.inRow > 0 && now < h.failedAt+firstAvoidance/2 { // others that the same failure ended
		return
	}
	h.failedAt = now
	h.avoidUntil = now + min(maxAvoidance, firstAvoidance<<min(h.inRow, 3))
	h.inRow++
}
