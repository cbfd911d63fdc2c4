package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

// begin marks the first event of a request.
func (w *world) begin(id RequestID) { w.step(Progress{Attempt: w.last(id).Attempt}) }

// Mixed lengths: a long prompt must not be read where short requests write.
func TestLongPromptsKeepAwayFromShortWriters(t *testing.T) {
	w := newWorld(t, 8)
	short := make(map[string]bool)
	for range 20 {
		id := w.arrive(routeShort, 3000)
		w.wait(20 * time.Millisecond)
		w.begin(id)
		short[w.last(id).Target.ID] = true
	}
	must.LessEq(t, 4, len(short)) // half of the targets stay free
	long := w.last(w.arrive(routeLong, 130_000))
	must.False(t, short[long.Target.ID])
	for _, h := range long.Helpers {
		must.False(t, short[h.Target], must.Sprintf("helper %s writes short answers", h.Target))
	}
}

// A long prompt alone would be late at one target; idle ones read parts of it.
func TestLongPromptIsReadInPartsWhileTargetsAreIdle(t *testing.T) {
	w := newWorld(t, 8)
	s := w.last(w.arrive(routeLong, 200_000))
	must.Greater(t, 1, len(s.Helpers))
	must.SliceEmpty(t, w.reserve)
}

// A prompt beyond one engine's memory is read under tickets, which are given back
// at its end.
func TestPromptBeyondOneMemoryTakesTickets(t *testing.T) {
	w := newWorld(t, 8)
	id := w.arrive(routeLong, 400_000)
	must.Eq(t, 0, w.sendsOf(id))
	must.Greater(t, 0, len(w.reserve))
	tokens := 0
	for _, r := range w.reserve {
		tokens += r.Tokens
		w.step(Reserved{Request: id, Target: r.Target.ID, Granted: true})
	}
	s := w.last(id)
	must.Eq(t, len(w.reserve), len(s.Helpers))
	must.GreaterEq(t, 400_000-232_000, tokens)
	for _, h := range s.Helpers {
		must.NotEq(t, "", h.Ticket)
	}
	w.step(AttemptEnd{Attempt: s.Attempt, End: EndComplete})
	must.Eq(t, len(w.reserve), len(w.release))
}

func TestDeniedMemoryIsGivenBackAndSoughtAgain(t *testing.T) {
	w := newWorld(t, 8)
	id := w.arrive(routeLong, 400_000)
	asked := len(w.reserve)
	for i, r := range w.reserve {
		w.step(Reserved{Request: id, Target: r.Target.ID, Granted: i > 0})
	}
	must.Eq(t, 0, w.sendsOf(id))
	must.Eq(t, asked, len(w.release))
	w.wait(time.Second)
	must.Greater(t, asked, len(w.reserve))
}

// Tickets end by themselves soon after their holder died, so they are renewed
// while a request uses them.
func TestTicketsAreRenewedWhileInUse(t *testing.T) {
	w := newWorld(t, 8)
	id := w.arrive(routeLong, 400_000)
	asked := len(w.reserve)
	for _, r := range w.reserve[:asked] {
		w.step(Reserved{Request: id, Target: r.Target.ID, Granted: true})
	}
	w.wait(2500 * time.Millisecond)
	must.GreaterEq(t, 2*asked, len(w.reserve))
}

// Many users at once: what all instances sent is known to each, so that none
// herds on the target that looks idle to it alone.
func TestLoadsOfPeersCount(t *testing.T) {
	w := newWorld(t, 2)
	var loads []Load
	for key := range uint64(16) {
		loads = append(loads, Load{Target: "pool-00", Key: key, ReadMS: 30, ContextTokens: 5000, MaxPauseMS: 250, Value: 1})
	}
	w.step(PeerLoad{From: "front-2", Gossip: Gossip{Whole: true, Loads: loads}})
	must.Eq(t, "pool-01", w.last(w.arrive(routeShort, 3000)).Target.ID)
	ended := make([]uint64, 0, 16)
	for key := range uint64(16) {
		ended = append(ended, key)
	}
	w.step(PeerLoad{From: "front-2", Gossip: Gossip{Ended: ended}})
	must.SliceEmpty(t, w.core.runners["pool-00"].flights)
}

// Lost datagrams: a whole statement repairs what was missed, and the loads of a
// peer that fell silent end.
func TestLostMessagesAreRepaired(t *testing.T) {
	w := newWorld(t, 2)
	l := Load{Target: "pool-00", Key: 1, ReadMS: 30, MaxPauseMS: 250}
	w.step(PeerLoad{From: "front-2", Gossip: Gossip{Loads: []Load{l}}})
	w.step(PeerLoad{From: "front-2", Gossip: Gossip{Whole: true}})
	must.SliceEmpty(t, w.core.runners["pool-00"].flights)
	w.step(PeerLoad{From: "front-2", Gossip: Gossip{Loads: []Load{l}}})
	w.wait(peerSilence + 2*shareWhole)
	must.SliceEmpty(t, w.core.runners["pool-00"].flights)
}

func TestStartingInstanceIsToldAllLoads(t *testing.T) {
	w := newWorld(t, 2)
	w.arrive(routeShort, 3000)
	w.shares = nil
	w.step(PeerLoad{From: "front-2", Gossip: Gossip{Hello: true, Whole: true}})
	must.SliceNotEmpty(t, w.shares)
	must.True(t, w.shares[0].Whole)
	must.Eq(t, 1, len(w.shares[0].Loads))
}

// Overload by short requests: those that can be in time are served in time, the
// others wait behind them or are told at once when to come back.
func TestOverloadServesWhatCanBeInTime(t *testing.T) {
	w := newWorld(t, 1)
	for range 16 {
		w.arrive(routeShort, 3000)
	}
	sent := len(w.sends)
	id := w.arrive(routeShort, 3000)
	must.Eq(t, sent, len(w.sends)) // waits: the target is full
	must.Eq(t, 0, len(w.ends))
	w.wait(2 * time.Second)
	if f, ended := w.ends[id]; ended {
		must.Eq(t, result.FamilyRefused, f.Code.Family())
		must.Greater(t, 0, f.RetryAfter)
	} else {
		must.GreaterEq(t, lateUrgency, w.last(id).Urgency)
	}
}

// A zone that is cut off costs two failed connections, not one for each target.
func TestCutDomainIsAvoided(t *testing.T) {
	w := newWorld(t, 0)
	for i := range 4 {
		w.list("pool", i, "a")
	}
	for i := 4; i < 12; i++ {
		w.list("pool", i, "b")
	}
	failures := 0
	for range 40 {
		id := w.arrive(routeShort, 3000)
		for range 4 {
			s := w.last(id)
			if s.Target.Domain != "b" {
				w.step(AttemptEnd{Attempt: s.Attempt, End: EndComplete})
				break
			}
			failures++
			w.step(AttemptEnd{Attempt: s.Attempt, End: EndNotConnected})
		}
		w.wait(20 * time.Millisecond)
	}
	must.LessEq(t, 3, failures)
}

// Targets that fail requests are avoided, and tried again after a while.
func TestFailingTargetIsAvoidedAndTriedAgain(t *testing.T) {
	w := newWorld(t, 2)
	id := w.arrive(routeShort, 1000)
	bad := w.last(id).Target.ID
	w.step(AttemptEnd{Attempt: w.last(id).Attempt, End: EndBroken})
	for range 5 {
		must.NotEq(t, bad, w.last(w.arrive(routeShort, 1000)).Target.ID)
	}
	w.wait(firstAvoidance)
	must.True(t, w.core.runners[bad].health.usable(w.now))
}

// A target that went dark costs one failed request a second, also under load.
func TestOneRequestAtATimeProbesAFailedTarget(t *testing.T) {
	w := newWorld(t, 2)
	bad := "pool-00"
	failures := 0
	for range 200 {
		id := w.arrive(routeShort, 1000)
		s := w.last(id)
		if s.Target.ID == bad {
			failures++
			w.core.after(250*time.Millisecond, func() {
				w.core.handle(AttemptEnd{Attempt: s.Attempt, End: EndNotConnected})
			})
		} else {
			w.step(AttemptEnd{Attempt: s.Attempt, End: EndComplete})
		}
		w.wait(20 * time.Millisecond)
	}
	must.Greater(t, 1, failures)
	must.LessEq(t, 20, failures) // up to 13 before the first is noticed, then one a time
}

func TestPassWithALongReadIsPredictedWithItsPairs(t *testing.T) {
	e := testEngine()
	alone := e.readMS(133_000, 1)
	must.Between(t, 1800, alone, 2000) // 646 ms of tokens, 1,220 ms of pairs, 65 steps
	quarter := e.readMS(133_000, 4)
	must.Between(t, 440, quarter, 500)
	at, worst := e.readAll([]reading{{ms: alone, chunks: e.chunks(133_000)}}, 1.4, 0)
	must.Greater(t, alone, at)
	must.Between(t, 1200, worst, 1400) // 43 of 65 chunks in one pass
}

func TestSameEventsGiveTheSameChoices(t *testing.T) {
	run := func() []Send {
		w := newWorld(t, 16)
		for i := range 60 {
			id := w.arrive(i%2, 1000+i*2000)
			w.wait(15 * time.Millisecond)
			if i%3 == 0 && w.sendsOf(id) > 0 {
				w.begin(id)
			}
		}
		return w.sends
	}
	must.Eq(t, run(), run())
}

// Baselines send at once: they neither hold requests back nor refuse them.
func TestBaselinesSendAtOnce(t *testing.T) {
	for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastOutstanding} {
		w := newWorld(t, 2)
		w.core.opts.Policy = policy
		for range 60 {
			s := w.last(w.arrive(routeShort, 5000))
			must.Less(t, lateUrgency, s.Urgency)
		}
		must.Eq(t, 0, w.logs["wait"])
	}
}
