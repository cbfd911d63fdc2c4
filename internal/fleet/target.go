package fleet

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/forecast"
)

// TargetLoad is the load that one request of an instance, or one part of its
// prompt, puts on a target, as sent to peers. It travels as an array, in the order
// of the fields.
type TargetLoad struct {
	_ struct{} `cbor:",toarray"`
	// Target is the id of the target.
	Target string
	// Key identifies the load within the process of its instance.
	Key uint64
	// PrefillMS is the predicted time to prefill the prompt, or the part of it.
	PrefillMS float64
	// ContextTokens is the number of prompt tokens to prefill.
	ContextTokens int
	// MemoryTokens is the KV cache in tokens that the load takes at the target.
	MemoryTokens int
	// MaxEventGapMS is the route's objective for the longest pause between events.
	MaxEventGapMS int
	// HelperPart says that the target only prefills a part of the prompt as a helper
	// of another target.
	HelperPart bool
	// FirstEventSeen says that the target has sent the first event.
	FirstEventSeen bool
	// AgeMS is the time since the request was sent to the target.
	AgeMS int
	// FirstEventLimitMS is the time, from sending, within which the first event
	// meets the route's target latency.
	FirstEventLimitMS int
	// CallerLimitMS is the time, from sending, within which the first event has to
	// come before the caller disconnects.
	CallerLimitMS int
	// Value is the value of the request when it is served in time; see requestValue.
	Value float64
	// Request identifies the request within the process of its instance; all parts of one prompt
	// share it.
	Request uint64
}

// loadOwner is the process of a peer that sent a request; zero for this instance.
type loadOwner struct {
	peer        string
	incarnation uint64
}

func (o loadOwner) isSelf() bool { return o == loadOwner{} }

// trackedLoad is a load at a target with its predicted progress.
type trackedLoad struct {
	TargetLoad
	owner            loadOwner
	pendingPrefillMS float64
	firstEventSeen   bool
	addedAt          time.Duration
	firstEventAt     time.Duration // zero if it came before the load was known
	// answer is the predicted length of the answer, and sentEvents the number of its events
	// that came here.
	answer     forecast.Length
	sentEvents int
	// endsPerToken is the probability that the answer ends with the next token, on average
	// over some of them, up to endRateUntil.
	endsPerToken float64
	endRateUntil time.Duration
}

// targetState is what this instance knows of a target.
type targetState struct {
	Target
	// lackedWeights are versions of weights that the target has denied to have, with the time.
	lackedWeights map[string]time.Duration
	denial        memoryDenial
	limit         *targetLimit  // nil while it names none
	quiet         *targetQuiet  // nil unless it wants quiet, or did until limitRampTime ago
	cold          *targetCold   // nil while it is warm
	coldEntryAt   StorePosition // of the last entry whose ColdEntry was applied
	coldEntry     readColdEntry // that ColdEntry
	coldSends     *coldSendLog  // nil before the first send that counts
	gone          bool          // no longer listed
	replaced      bool          // gone, since a later entry names its address
	leaving       bool          // gets nothing new
	leavingBy     leavingSource
	loads         []*trackedLoad
	advancedAt    time.Duration // time up to which prefill progress is predicted
	lastHeardAt   time.Duration // when it last sent anything, here or to a peer
	heardHereAt   time.Duration // when it last sent anything here
	health        health
	pace          pace
	// silenceCountedAt is when its silence was counted as a failure, zero since it was heard.
	silenceCountedAt time.Duration
	// nextUnreadableQuietLog is when an unreadable QuietRequest is logged again.
	nextUnreadableQuietLog time.Duration
	// guest is the result of guestDomain as of guestEpoch.
	guest      string
	guestEpoch int
	// unreadableLeavingLogged says that an answer has said something of its leaving that is
	// not understood.
	unreadableLeavingLogged bool
}

// addLoad adds a load that its owner has sent.
func (t *targetState) addLoad(now time.Duration, owner loadOwner, load TargetLoad) *trackedLoad {
	t.advancePrefills(now)
	tracked := &trackedLoad{
		TargetLoad: load, owner: owner, pendingPrefillMS: load.PrefillMS, firstEventSeen: load.FirstEventSeen, addedAt: now,
	}
	if load.FirstEventSeen {
		tracked.pendingPrefillMS = 0
	}
	if load.HelperPart { // engines prefill the newest helper part before everything else
		t.loads = slices.Insert(t.loads, 0, tracked)
	} else {
		t.loads = append(t.loads, tracked)
	}
	return tracked
}

// removeLoad removes a load that has ended.
func (t *targetState) removeLoad(now time.Duration, tracked *trackedLoad) {
	t.advancePrefills(now)
	t.denial = memoryDenial{} // there is more memory now
	t.loads = slices.DeleteFunc(t.loads, func(other *trackedLoad) bool { return other == tracked })
}

// requestCount is the number of requests that hold or wait for a slot.
func (t *targetState) requestCount() int {
	count := 0
	for _, tracked := range t.loads {
		if !tracked.HelperPart {
			count++
		}
	}
	return count
}

// markFirstEvent records the first event of a load: its prefill is complete.
func (t *targetState) markFirstEvent(now time.Duration, tracked *trackedLoad) {
	t.advancePrefills(now)
	tracked.firstEventSeen, tracked.pendingPrefillMS, tracked.firstEventAt = true, 0, now
}

// minPendingPrefillShare is the share of a prompt's prefill that counts as pending
// until the first event comes, however long that takes: predictions err by about
// this much.
const minPendingPrefillShare = 0.15

// advancePrefills updates the predicted progress of the pending prefills up to now;
// the engine works on them one after the other in the order of loads.
func (t *targetState) advancePrefills(now time.Duration) {
	availableMS := toMS(now-t.advancedAt) / t.slowness()
	t.advancedAt = now
	for _, tracked := range t.loads {
		if availableMS <= 0 {
			return
		}
		if tracked.firstEventSeen {
			continue
		}
		doneMS := max(0, min(availableMS, tracked.pendingPrefillMS-minPendingPrefillShare*tracked.PrefillMS))
		tracked.pendingPrefillMS -= doneMS
		availableMS -= doneMS
	}
}

// Parameters of passive health checking.
const (
	// minTargetRetryDelay is how long a target is avoided after its first failure
	// without an answer. The delay doubles with each further failure, up to
	// maxTargetRetryDelay.
	minTargetRetryDelay = time.Second
	maxTargetRetryDelay = 8 * time.Second
	// failureWeight is the weight of the newest attempt in the failure rate.
	failureWeight = 0.25
	// avoidFailureRate is the failure rate, a moving average, from which a failure
	// with an answer makes a target avoided. A failure without any answer does so
	// at any rate.
	avoidFailureRate = 0.45
)

// health tracks the health of a target by the outcome of the requests sent to it.
type health struct {
	failureRate         float64 // moving average of failures
	consecutiveFailures int
	lastFailureAt       time.Duration
	avoidUntil          time.Duration
}

// usable reports whether requests may be sent to the target: it is not avoided
// because of recent failures.
func (h *health) usable(now time.Duration) bool { return now >= h.avoidUntil }

// recordSuccess records a successful attempt. The target is no longer avoided if
// its failure rate is below avoidFailureRate.
func (h *health) recordSuccess() {
	h.failureRate *= 1 - failureWeight
	h.consecutiveFailures = 0
	if h.failureRate < avoidFailureRate {
		h.avoidUntil = 0
	}
}

// recordProbe records that a request is sent to the target. If the target failed
// last time, it is avoided again, so that other requests wait for the outcome of
// this one.
func (h *health) recordProbe(now time.Duration) {
	if h.consecutiveFailures > 0 && now >= h.avoidUntil {
		h.avoidUntil = now + minTargetRetryDelay
	}
}

// recordFailure records a failed attempt. A severe failure, without any answer,
// makes the target avoided at once; others only from avoidFailureRate on.
func (h *health) recordFailure(now time.Duration, weight float64, severe bool) {
	h.failureRate += failureWeight * weight * (1 - h.failureRate)
	if !severe && h.failureRate < avoidFailureRate {
		return
	}
	if h.consecutiveFailures > 0 && now < h.lastFailureAt+minTargetRetryDelay/2 { // another request hit by the same failure
		return
	}
	h.lastFailureAt = now
	h.avoidUntil = now + min(maxTargetRetryDelay, minTargetRetryDelay<<min(h.consecutiveFailures, 3))
	h.consecutiveFailures++
}
