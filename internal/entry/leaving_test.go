package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/store"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Each signal stops new work to a target everywhere within its bound, and ends
// nothing that runs there.
func TestALeavingTargetGetsNothingNew(t *testing.T) {
	for _, tc := range []struct {
		name   string
		within time.Duration
		leave  func(c *cluster)
	}{
		{"by the platform's list", listInterval + firstListJitter, func(c *cluster) {
			list := []store.Instance{{Name: "e0", Role: "engine", Address: "a:0", Leaving: true}}
			for _, name := range c.names {
				list = append(list, store.Instance{Name: name, Role: membership.EntryRole, FailureDomain: "domain-a", Address: "addr-" + name})
			}
			c.store.SetInstances(list)
		}},
		{"by its own word", 0, func(c *cluster) {
			for _, name := range c.names {
				c.step(name, Reported{Target: "e0", Report: target.Report{Incarnation: 1, Sequence: 1, Leaving: true}})
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(4, "domain-a").withStore(t, testIntent())
			c.untilAll(t, 1, time.Minute)
			c.run(10 * time.Second)
			var running *Send
			for id := RequestID(1); running == nil; id++ {
				c.step(c.names[3], completion(id))
				for _, s := range effectsOf[Send](c.effects[c.names[3]]) {
					if s.Target == "e0" {
						running = &s
					}
				}
			}
			tc.leave(c)
			c.run(tc.within)
			before := len(effectsOf[Finish](c.effects[c.names[3]]))
			for _, name := range c.names {
				must.False(t, c.entries[name].targets.Get("e0").Usable(), must.Sprint(name))
				c.effects[name] = nil
				for id := RequestID(100); id < 120; id++ {
					c.step(name, completion(id))
				}
				for _, s := range effectsOf[Send](c.effects[name]) {
					must.Eq(t, "e1", s.Target)
				}
				must.SliceEmpty(t, effectsOf[Cancel](c.effects[name]))
			}
			must.Eq(t, 0, before)
			c.step(c.names[3], AttemptEnd{Attempt: running.Attempt, End: EndComplete})
			must.Len(t, 1, effectsOf[Finish](c.effects[c.names[3]]))
		})
	}
}
