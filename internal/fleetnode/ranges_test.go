package fleetnode

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/quarantine"
)

// A load of a prompt without end kept each placement at its target from ending, and one that is
// not a number left all requests of its service without a placement.
func TestStatementsOfPeersOutOfRangeAreLeftOut(t *testing.T) {
	sound := fleet.TargetLoad{Target: "t", Key: 1, PrefillMS: 10, ContextTokens: 500, MemoryTokens: 600, MaxEventGapMS: 250, Value: 1}
	for _, change := range []func(*fleet.TargetLoad){
		func(l *fleet.TargetLoad) { l.PrefillMS = math.NaN() },
		func(l *fleet.TargetLoad) { l.PrefillMS = math.Inf(1) },
		func(l *fleet.TargetLoad) { l.Value = math.NaN() },
		func(l *fleet.TargetLoad) { l.ContextTokens = math.MaxInt64 },
		func(l *fleet.TargetLoad) { l.MemoryTokens = -1 },
		func(l *fleet.TargetLoad) { l.AgeMS = math.MinInt64 },
	} {
		broken := sound
		broken.Key = 2
		change(&broken)
		d := datagram{From: "front-2", Gossip: fleet.Gossip{Full: true, Loads: []fleet.TargetLoad{broken, sound}, News: &fleet.News{
			Limits:  []fleet.LimitReport{{Target: "t", PerSecond: math.NaN()}, {Target: "t", PerSecond: 2}},
			Waiting: []fleet.WaitingReport{{Service: "s", EngineMS: math.Inf(1)}},
			CrashedRuns: []quarantine.CrashedRuns{
				{Death: quarantine.Death{Target: "t"}, Runs: []quarantine.CrashedRun{{Fingerprint: 1, Duration: -time.Hour}}},
				{Death: quarantine.Death{Target: "u"}, Runs: []quarantine.CrashedRun{{Fingerprint: 1, Duration: time.Millisecond}}},
			},
		}}}
		raw, err := cbor.Marshal(cbor.Tag{Number: formatTag + uint64(currentFormat), Content: &d})
		must.NoError(t, err)
		m, err := decodeMessage(raw)
		must.NoError(t, err)
		must.Eq(t, []fleet.TargetLoad{sound}, m.Gossip.Loads)
		must.False(t, m.Gossip.Full)
		must.Len(t, 1, m.Gossip.News.Limits)
		must.SliceEmpty(t, m.Gossip.News.Waiting)
		must.Len(t, 1, m.Gossip.News.CrashedRuns)
		must.SliceContainsAll(t, m.unreadable, []string{".Gossip.Loads", ".Gossip.News.Limits", ".Gossip.News.Waiting", ".Gossip.News.CrashedRuns"})
	}
}

// Whatever numbers the loads of a peer have, what is accepted of them lets decisions end.
func FuzzLoadsOfAPeer(f *testing.F) {
	f.Add(1.0, 500, 600, 250, 0, 300, 2000, 1.0)
	f.Add(math.NaN(), math.MaxInt64, -1, math.MinInt64, -1, -1, 0, math.Inf(1))
	f.Add(10.0, math.MaxInt64, 600, 250, 0, 300, 2000, 1.0)
	engine := fleet.Engine{Slots: 16, MemoryTokens: 232_000, StepsPerPass: 43, StepMS: 1, PrefillPerMS: 206, PrefillChunkTokens: 2048, MeanAnswerTokens: 1000}
	config := &fleet.Config{Version: 1, Services: map[string]*fleet.Service{"pool": {Name: "pool", Engine: &engine}}, Routes: []*fleet.Route{{
		Name: "draft", Kind: fleet.KindStream, Resumable: true, TargetLatency: 300 * time.Millisecond, MaxEventGap: 250 * time.Millisecond,
		CallerTimeout: 2 * time.Second, Backends: []fleet.Backend{{Service: "pool", Weight: 1}},
	}}}
	config.BuildIndexes()
	f.Fuzz(func(_ *testing.T, prefillMS float64, context, memory, gapMS, ageMS, firstMS, callerMS int, value float64) {
		core := fleet.New(fleet.Options{Name: "front-1", FailureDomain: "a", RetryWindow: 10 * time.Second, RetrySlack: 100, ReservationTTL: time.Second})
		core.Step(0, fleet.Configure{Config: config})
		core.Step(0, fleet.TargetListed{Target: fleet.Target{ID: "t", Service: "pool", Address: "10.0.0.1:1", FailureDomain: "a", Slots: 16, StartedMS: 1}})
		decoding := fleet.TargetLoad{Target: "t", Key: 2, PrefillMS: 10, ContextTokens: 500, MemoryTokens: 600, MaxEventGapMS: 250, FirstEventSeen: true, Value: 1}
		g := fleet.Gossip{Loads: []fleet.TargetLoad{decoding, {
			Target: "t", Key: 1, PrefillMS: prefillMS, ContextTokens: context, MemoryTokens: memory, MaxEventGapMS: gapMS, AgeMS: ageMS,
			FirstEventLimitMS: firstMS, CallerLimitMS: callerMS, Value: value,
		}}}
		g.DropOutOfRange()
		core.Step(0, fleet.PeerGossip{From: "front-2", Domain: "a", Incarnation: 1, Gossip: g})
		for i := range 3 {
			now := time.Duration(i+1) * 100 * time.Millisecond
			core.Step(now, fleet.RequestArrived{
				Request: fleet.RequestID(i + 1), Route: config.Routes[0], Config: config, Deadline: now + 5*time.Second, PromptTokens: 1000, MaxAnswerTokens: 500,
			})
		}
	})
}
