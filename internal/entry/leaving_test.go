package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/store"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Once a target is announced as leaving, every instance must stop sending it new
// requests within maxDelay. Requests that run there must not be cancelled.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	for _, tc := range []struct {
		name            string
		maxDelay        time.Duration
		announceLeaving func(c *cluster)
	}{
		{"by the platform's list", listInterval + firstListJitter, func(c *cluster) {
			list := []store.Instance{{Name: "e0", Role: "engine", Address: "a:0", Leaving: true}}
			for _, name := range c.names {
				list = append(list, store.Instance{Name: name, Role: membership.EntryRole, FailureDomain: "domain-a", Address: "addr-" + name})
			}
			c.store.SetInstances(list)
		}},
		{"by its own report", 0, func(c *cluster) {
			for _, name := range c.names {
				c.stepEntry(name, LoadReported{Target: "e0", Report: target.Report{Incarnation: 1, Sequence: 1, Leaving: true}})
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(4, "domain-a").withStore(t, testIntent())
			c.awaitRevision(t, 1, time.Minute)
			c.advance(10 * time.Second)
			var running *Send
			for id := RequestID(1); running == nil; id++ {
				c.stepEntry(c.names[3], completion(id))
				for _, s := range effectsOf[Send](c.effectsByEntry[c.names[3]]) {
					if s.Target == "e0" {
						running = &s
					}
				}
			}
			tc.announceLeaving(c)
			c.advance(tc.maxDelay)
			finishedBefore := len(effectsOf[Finish](c.effectsByEntry[c.names[3]]))
			for _, name := range c.names {
				must.False(t, c.entries[name].targets.Get("e0").Usable(), must.Sprint(name))
				c.effectsByEntry[name] = nil
				for id := RequestID(100); id < 120; id++ {
					c.stepEntry(name, completion(id))
				}
				for _, s := range effectsOf[Send](c.effectsByEntry[name]) {
					must.Eq(t, "e1", s.Target)
				}
				must.SliceEmpty(t, effectsOf[Cancel](c.effectsByEntry[name]))
			}
			must.Eq(t, 0, finishedBefore)
			c.stepEntry(c.names[3], AttemptEnd{Attempt: running.Attempt, Outcome: OutcomeComplete})
			must.Len(t, 1, effectsOf[Finish](c.effectsByEntry[c.names[3]]))
		})
	}
}
