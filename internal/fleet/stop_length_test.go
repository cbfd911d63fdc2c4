package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

// A stream of a service without an engine model may last as long as its route allows. One
// that arrives late in a stop would be cut by its end.
func TestStopRefusesLateStreamsOfUnknownLength(t *testing.T) {
	h := newHarness(t, 1)
	routeEvents := len(h.config.Routes)
	h.config.Routes = append(h.config.Routes, &Route{
		Name: "events", Kind: KindStream, Resumable: true, Timeout: 15 * time.Second, TargetLatency: 300 * time.Millisecond,
		MaxEventGap: 250 * time.Millisecond, CallerTimeout: 2 * time.Second, MaxAttempts: 2, Backends: []Backend{{"app", 1}},
	})
	h.step(Stop{BalancerDelay: 2500 * time.Millisecond, GracePeriod: 7500 * time.Millisecond})
	h.advance(4 * time.Second)
	short, stream := h.submit(routeIdempotent, 0), h.submit(routeEvents, 0)
	must.Eq(t, 1, h.sendCount(short))
	must.Eq(t, 0, h.sendCount(stream))
	must.Eq(t, result.Stopping, h.finishes[stream].Code)
}

// A stream that waited, or was reserved memory, was sent late in a stop if its usual answer
// fitted the rest of the time, and cut if its caller's was longer.
func TestStreamSentLateInAStopIsJudgedByItsLongestAnswer(t *testing.T) {
	const grace, sentAt = 10 * time.Second, 3 * time.Second
	usual, longest := testEngine().MeanAnswerTokens, 5000
	for answer, sent := range map[int]bool{usual: true, longest: false} {
		h := newHarness(t, 4)
		id := h.submitWithAnswerLimit(routeLong, 400_000, answer)
		must.Greater(t, 0, len(h.reserves))
		h.step(Stop{BalancerDelay: 2500 * time.Millisecond, GracePeriod: grace})
		h.now += sentAt
		for _, r := range slices.Clone(h.reserves) {
			h.step(Reserved{Request: id, Target: r.Target.ID, Ticket: r.Ticket, Granted: true})
		}
		must.Eq(t, sent, h.sendCount(id) == 1, must.Sprintf("longest answer of %d tokens: %v", answer, h.finishes[id].Code))
	}
}

// While the balancer may not have noticed a stop, streams are judged by their usual answer:
// most would be refused for an answer that hardly any of them has.
func TestStreamSentEarlyInAStopIsJudgedByItsUsualAnswer(t *testing.T) {
	h := newHarness(t, 4)
	h.step(Stop{BalancerDelay: 2500 * time.Millisecond, GracePeriod: 7 * time.Second})
	id := h.submitWithAnswerLimit(routeLong, 10_000, 5000)
	must.Eq(t, 1, h.sendCount(id))
}

// Streams that the end of a stop cuts are counted by when they arrived.
func TestStreamsCutByAStopAreCounted(t *testing.T) {
	h := newHarness(t, 8)
	deliver := func() {
		h.step(Progress{Attempt: h.lastSend(h.submit(routeLong, 500)).Attempt, EventID: "1"})
	}
	deliver()
	h.now += 100 * time.Millisecond
	h.step(Stop{BalancerDelay: 500 * time.Millisecond, GracePeriod: 12 * time.Second})
	h.now += 200 * time.Millisecond
	deliver()
	h.now += 400 * time.Millisecond
	deliver()
	deliver()
	counts := make(map[string]int)
	for _, eff := range h.core.Step(h.now, EndStop{}) {
		if count, ok := eff.(Count); ok && count.Counter == "streams_cut_by_stop" {
			counts[count.Reason]++
		}
	}
	must.Eq(t, map[string]int{"arrived-before": 1, "arrived-in-balancer-delay": 1, "arrived-late": 2}, counts)
}

// playPeerPrompts lets a peer send a prompt of 133,000 tokens to the targets in turn, one in each
// interval, and end it before the next one but two.
func (h *harness) playPeerPrompts(targets int, interval, period time.Duration) {
	prefillMS := testEngine().prefillMS(133_000, 1)
	for key := uint64(1); period > 0; period -= interval {
		load := TargetLoad{
			Target: fmt.Sprintf("pool-%02d", int(key)%targets), Key: key, PrefillMS: prefillMS, ContextTokens: 133_000, MemoryTokens: 134_000,
			MaxEventGapMS: 1000, FirstEventLimitMS: 3000, CallerLimitMS: 12_000, Value: requestValue(133_000), Request: key,
		}
		h.step(PeerGossip{From: "front-2", Domain: "a", Incarnation: 1, Gossip: Gossip{Loads: []TargetLoad{load}, EndedLoads: []uint64{key - 3}}})
		key++
		h.advance(interval)
	}
}

// A stream that was sent 3.75 s after the begin of a stop was judged as if nothing else came to its
// target. A prompt of 133,000 tokens did, of another instance, and the stream was cut by the end
// of the stop. The load is that of three targets of which each prefills such prompts for half of
// its time; without it, the same stream is sent.
func TestStreamSentLateInAStopLeavesTimeForThePromptsOfOthers(t *testing.T) {
	const sentAt = 3750 * time.Millisecond
	for busy, sent := range map[bool]bool{false: true, true: false} {
		h := newHarness(t, 3)
		if busy {
			h.playPeerPrompts(3, 1250*time.Millisecond, 5*time.Second)
		}
		h.step(Stop{BalancerDelay: 2500 * time.Millisecond, GracePeriod: 7500 * time.Millisecond})
		if busy {
			h.playPeerPrompts(3, 1250*time.Millisecond, sentAt)
		} else {
			h.advance(sentAt)
		}
		id := h.submitWithAnswerLimit(routeShort, 6000, 1200)
		must.Eq(t, sent, h.sendCount(id) == 1, must.Sprintf("busy %v: %v", busy, h.finishes[id].Code))
		if !sent {
			must.Eq(t, result.Stopping, h.finishes[id].Code)
			must.Greater(t, 0, h.finishes[id].RetryAfter)
		}
	}
}

// What was prefilled long ago does not count: a stop in a calm time admits as before.
func TestLongPromptsOfFormerTimesLeaveRoomInAStop(t *testing.T) {
	h := newHarness(t, 3)
	h.playPeerPrompts(3, 1250*time.Millisecond, 5*time.Second)
	h.advance(2 * prefillMemory)
	h.step(Stop{BalancerDelay: 2500 * time.Millisecond, GracePeriod: 7500 * time.Millisecond})
	h.advance(3800 * time.Millisecond)
	must.Eq(t, 1, h.sendCount(h.submitWithAnswerLimit(routeShort, 6000, 1200)))
}

// On a machine that keeps its process from running, a stop ends up to half a second sooner than
// planned. What was to end in that time was cut.
func TestLateRequestsEndBeforeTheEarliestEndOfAStop(t *testing.T) {
	h := newHarness(t, 1)
	h.step(Stop{BalancerDelay: time.Second, GracePeriod: 4 * time.Second})
	latency := h.config.Routes[routeIdempotent].TargetLatency
	for h.advance(time.Second); h.now < 4*time.Second; h.advance(100 * time.Millisecond) {
		fits := h.now+stopLatencyFactor*latency < 3500*time.Millisecond
		must.Eq(t, fits, h.sendCount(h.submit(routeIdempotent, 0)) == 1, must.Sprint(h.now))
	}
}
