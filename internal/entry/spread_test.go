package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/result"
	standin "github.com/medlardeck/medlardeck/internal/standin/platform"
)

// inForceLimit is the users' limit for an accepted change to hold everywhere.
const inForceLimit = 9 * time.Second

func operatorIntent() configuration.Intent {
	in := testIntent()
	port := 0
	for i := range in.Pools {
		for j := range in.Pools[i].Targets {
			port++
			in.Pools[i].Targets[j].Address = "127.0.0.1:" + string(rune('0'+port))
			in.Pools[i].Targets[j].FailureDomain = "a"
		}
	}
	return in
}

func limitEdit(tokens float64) Operate {
	return Operate{Edit: &configuration.Edit{Limits: []configuration.WorkspaceLimit{{Workspace: "museum", TokensPerSecond: tokens}}}}
}

// accept plans and confirms an edit and returns the accepted revision.
func (c *cluster) accept(t *testing.T, name string, op Operate) configuration.Revision {
	t.Helper()
	planned := c.must(t, name, op)
	must.Eq(t, "", planned.Failure)
	confirmed := c.must(t, name, Operate{Confirm: planned.Plan.ID})
	must.NotNil(t, confirmed.Confirmation, must.Sprintf("%+v", confirmed))
	must.Eq(t, configuration.VerdictAccepted, confirmed.Confirmation.Verdict)
	return confirmed.Confirmation.Revision
}

func settled(t *testing.T, n int, domains ...string) *cluster {
	t.Helper()
	c := newCluster(n, domains...).withStore(t, operatorIntent())
	c.untilAll(t, 1, 30*time.Second)
	c.run(10 * time.Second)
	return c
}

func TestManyStartsAreFewReads(t *testing.T) {
	c := newCluster(60, "a").withStore(t, operatorIntent())
	c.untilAll(t, 1, 10*time.Second)
	readers := 0
	for name, calls := range c.store.Calls() {
		if name != "seed" && calls["get"] > 1 {
			readers++
		}
	}
	must.LessEq(t, 4, readers)
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, tc := range []struct {
		name  string
		n     int
		fault func(c *cluster)
	}{
		{"today", 4, func(*cluster) {}},
		{"large", 48, func(*cluster) {}},
		{"answers of writes lost", 12, func(c *cluster) { c.store.SetFaults(standin.Faults{LostAnswers: 0.5}) }},
		{"watches skip changes", 12, func(c *cluster) { c.deaf = true }},
		{"store path of a domain gone", 12, func(c *cluster) {
			var cut []string
			for _, name := range c.names {
				if c.entries[name].opts.FailureDomain == "b" {
					cut = append(cut, name)
				}
			}
			c.store.SetFaults(standin.Faults{Cut: cut})
		}},
		{"gateways of every domain die", 24, func(c *cluster) {
			for _, domain := range []string{"a", "b", "c"} {
				for _, f := range slices.Clone(c.entries["entry-000"].members.Gateways(domain)) {
					if f.Name != "entry-000" {
						c.kill(f.Name)
					}
				}
			}
		}},
		{"domains cut off from each other", 12, func(c *cluster) {
			c.cut = func(from, to string) bool {
				return c.entries[from].opts.FailureDomain != c.entries[to].opts.FailureDomain
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := settled(t, tc.n, "a", "b", "c")
			tc.fault(c)
			rev := c.accept(t, "entry-000", limitEdit(100))
			took := c.untilAll(t, rev, inForceLimit)
			t.Logf("in force everywhere after %v", took)
		})
	}
}

func TestStartWithoutStoreTakesConfigurationFromPeers(t *testing.T) {
	c := settled(t, 4, "a", "b")
	c.store.SetFaults(standin.Faults{Outage: true})
	c.kill("entry-003")
	c.start("entry-003", "b", 2)
	c.untilAll(t, 1, inForceLimit)
}

func TestStoreRestoredFromOlderDataIsRefused(t *testing.T) {
	c := settled(t, 4, "a", "b")
	c.store.Snapshot()
	rev := c.accept(t, "entry-000", limitEdit(100))
	c.untilAll(t, rev, inForceLimit)
	must.True(t, c.store.Restore())
	c.run(20 * time.Second)
	must.Eq(t, map[configuration.Revision]int{rev: 4}, c.revisions())
	alarmed := 0
	for _, name := range c.names {
		if slices.Contains(c.must(t, name, Operate{Status: true}).Status.Alarms, AlarmStoreBehind) {
			alarmed++
		}
	}
	must.Positive(t, alarmed)
	must.Eq(t, FailureBehind, c.must(t, "entry-001", limitEdit(200)).Failure)
	c.kill("entry-002")
	c.start("entry-002", "a", 2) // may read the older root first, ends with the newer one
	c.untilAll(t, rev, inForceLimit)
	c.run(10 * time.Second)
	must.Eq(t, FailureBehind, c.must(t, "entry-002", limitEdit(200)).Failure)

	// The way back: the configuration in force is written again.
	rev = c.accept(t, "entry-001", Operate{Edit: &configuration.Edit{Reassert: true}})
	c.untilAll(t, rev, inForceLimit)
	c.run(10 * time.Second)
	status := c.must(t, "entry-001", Operate{Status: true}).Status
	must.Len(t, 0, status.Alarms)
	must.Eq(t, 100, c.entries["entry-002"].accepted.Intent.Workspaces[0].TokensPerSecond)
	c.untilAll(t, c.accept(t, "entry-003", limitEdit(300)), inForceLimit)
}

func TestFreshInstanceDoesNotPlanOnARestoredStore(t *testing.T) {
	c := settled(t, 4, "a")
	c.store.Snapshot()
	plan := c.must(t, "entry-000", limitEdit(50)).Plan // on revision 1
	c.store.Snapshot()
	c.accept(t, "entry-000", limitEdit(100))
	c.run(5 * time.Second)
	must.True(t, c.store.Restore())
	got := c.must(t, "entry-001", Operate{Confirm: plan.ID})
	must.Eq(t, configuration.VerdictStoreBehind, got.Confirmation.Verdict)
	must.Eq(t, 1, c.revisionInStore(t))
}

func TestDrainedInstanceTakesNothingNewAfterItsLag(t *testing.T) {
	c := settled(t, 4, "a")
	e := c.entries["entry-001"]
	e.opts.StopLag = 5 * time.Second
	must.True(t, e.Ready())
	c.untilAll(t, c.accept(t, "entry-000", Operate{Edit: &configuration.Edit{Drain: []string{"entry-001"}}}), inForceLimit)
	must.False(t, e.Ready())
	must.False(t, e.refusesWork()) // the balancer may not have seen it yet
	c.run(e.opts.StopLag)
	must.Eq(t, result.Stopping, effectsOf[Finish](e.Step(c.now, completion(1)))[0].Code)
	must.False(t, e.members.IsGateway())
	c.untilAll(t, c.accept(t, "entry-000", Operate{Edit: &configuration.Edit{Undrain: []string{"entry-001"}}}), inForceLimit)
	must.True(t, e.Ready())
	must.False(t, e.refusesWork())
}

func TestInstanceCutOffCatchesUpByManyRevisions(t *testing.T) {
	c := settled(t, 4, "a")
	c.cut = func(from, to string) bool { return from == "entry-003" || to == "entry-003" }
	c.store.SetFaults(standin.Faults{Cut: []string{"entry-003"}})
	var rev configuration.Revision
	for i := range 5 {
		rev = c.accept(t, "entry-000", limitEdit(float64(100+i)))
	}
	c.run(20 * time.Second)
	must.Eq(t, 1, c.entries["entry-003"].Revision())
	c.cut = func(string, string) bool { return false }
	c.store.SetFaults(standin.Faults{})
	c.untilAll(t, rev, 2*inForceLimit)
}

func TestConfirmingInstanceDiesAndWatchesSkip(t *testing.T) {
	c := settled(t, 12, "a", "b", "c")
	c.deaf = true
	plan := c.must(t, "entry-000", limitEdit(100)).Plan
	c.operate("entry-000", Operate{Confirm: plan.ID})
	for c.revisionInStore(t) == 1 {
		c.run(100 * time.Microsecond)
	}
	c.kill("entry-000")
	must.Eq(t, map[configuration.Revision]int{1: 11}, c.revisions())
	t.Logf("in force everywhere after %v", c.untilAll(t, 2, inForceLimit))
}
