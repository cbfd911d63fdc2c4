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

// maxPropagationTime is the longest time, required by the users, until an accepted
// change is in force at every instance.
const maxPropagationTime = 9 * time.Second

// loopbackIntent returns testIntent with the targets at distinct loopback
// addresses in failure domain a.
func loopbackIntent() configuration.Intent {
	intent := testIntent()
	port := 0
	for i := range intent.Pools {
		for j := range intent.Pools[i].Targets {
			port++
			intent.Pools[i].Targets[j].Address = "127.0.0.1:" + string(rune('0'+port))
			intent.Pools[i].Targets[j].FailureDomain = "a"
		}
	}
	return intent
}

// limitEdit returns a command to plan a limit for the workspace museum, in tokens
// per second.
func limitEdit(tokens float64) OperatorCommand {
	return OperatorCommand{Edit: &configuration.Edit{Limits: []configuration.WorkspaceLimit{{Workspace: "museum", TokensPerSecond: tokens}}}}
}

// acceptChange plans and confirms a change and returns the accepted revision.
func (c *cluster) acceptChange(t *testing.T, name string, op OperatorCommand) configuration.Revision {
	t.Helper()
	planned := c.runOperation(t, name, op)
	must.Eq(t, "", planned.Failure)
	confirmed := c.runOperation(t, name, OperatorCommand{Confirm: planned.Plan.ID})
	must.NotNil(t, confirmed.Confirmation, must.Sprintf("%+v", confirmed))
	must.Eq(t, configuration.VerdictAccepted, confirmed.Confirmation.Verdict)
	return confirmed.Confirmation.Revision
}

// newSettledCluster starts a cluster with a store, waits until revision 1 is in
// force everywhere and lets it run for another 10 s.
func newSettledCluster(t *testing.T, n int, domains ...string) *cluster {
	t.Helper()
	c := newCluster(n, domains...).withStore(t, loopbackIntent())
	c.awaitRevision(t, 1, 30*time.Second)
	c.advance(10 * time.Second)
	return c
}

// Of 60 instances that start at once in a failure domain, at most four may read
// the configuration from the store; the others take it from their peers.
func TestFewInstancesReadTheStoreWhenManyStart(t *testing.T) {
	c := newCluster(60, "a").withStore(t, loopbackIntent())
	c.awaitRevision(t, 1, 10*time.Second)
	readers := 0
	for name, calls := range c.store.Calls() {
		if name != "seed" && calls["get"] > 1 {
			readers++
		}
	}
	must.LessEq(t, 4, readers)
}

func TestAcceptedChangeReachesEveryInstanceInTime(t *testing.T) {
	for _, tc := range []struct {
		name        string
		instances   int
		injectFault func(c *cluster)
	}{
		{"today", 4, func(*cluster) {}},
		{"large", 48, func(*cluster) {}},
		{"replies to writes lost", 12, func(c *cluster) { c.store.SetFaults(standin.Faults{LostAnswers: 0.5}) }},
		{"watches miss changes", 12, func(c *cluster) { c.watchesMissChanges = true }},
		{"store unreachable from one domain", 12, func(c *cluster) {
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
						c.killEntry(f.Name)
					}
				}
			}
		}},
		{"domains cut off from each other", 12, func(c *cluster) {
			c.partitioned = func(from, to string) bool {
				return c.entries[from].opts.FailureDomain != c.entries[to].opts.FailureDomain
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newSettledCluster(t, tc.instances, "a", "b", "c")
			tc.injectFault(c)
			rev := c.acceptChange(t, "entry-000", limitEdit(100))
			took := c.awaitRevision(t, rev, maxPropagationTime)
			t.Logf("in force everywhere after %v", took)
		})
	}
}

func TestStartWithoutStoreTakesConfigurationFromPeers(t *testing.T) {
	c := newSettledCluster(t, 4, "a", "b")
	c.store.SetFaults(standin.Faults{Outage: true})
	c.killEntry("entry-003")
	c.startEntry("entry-003", "b", 2)
	c.awaitRevision(t, 1, maxPropagationTime)
}

// The store is restored from an older snapshot. The instances must keep the newer
// configuration, raise an alarm and refuse new plans until an operator writes the
// configuration in force again.
func TestOlderConfigurationOfRestoredStoreIsRefused(t *testing.T) {
	c := newSettledCluster(t, 4, "a", "b")
	c.store.Snapshot()
	rev := c.acceptChange(t, "entry-000", limitEdit(100))
	c.awaitRevision(t, rev, maxPropagationTime)
	must.True(t, c.store.Restore())
	c.advance(20 * time.Second)
	must.Eq(t, map[configuration.Revision]int{rev: 4}, c.countRevisions())
	alarmed := 0
	for _, name := range c.names {
		if slices.Contains(c.runOperation(t, name, OperatorCommand{Status: true}).Status.Alarms, AlarmStoreBehind) {
			alarmed++
		}
	}
	must.Positive(t, alarmed)
	must.Eq(t, CommandFailureBehind, c.runOperation(t, "entry-001", limitEdit(200)).Failure)
	c.killEntry("entry-002")
	c.startEntry("entry-002", "a", 2) // it may read the older root first, but must end with the newer one
	c.awaitRevision(t, rev, maxPropagationTime)
	c.advance(10 * time.Second)
	must.Eq(t, CommandFailureBehind, c.runOperation(t, "entry-002", limitEdit(200)).Failure)

	// Recovery: the configuration in force is written to the store again.
	rev = c.acceptChange(t, "entry-001", OperatorCommand{Edit: &configuration.Edit{Reassert: true}})
	c.awaitRevision(t, rev, maxPropagationTime)
	c.advance(10 * time.Second)
	status := c.runOperation(t, "entry-001", OperatorCommand{Status: true}).Status
	must.Len(t, 0, status.Alarms)
	must.Eq(t, 100, c.entries["entry-002"].accepted.Intent.Workspaces[0].TokensPerSecond)
	c.awaitRevision(t, c.acceptChange(t, "entry-003", limitEdit(300)), maxPropagationTime)
}

func TestConfirmationOnRestoredStoreReportsStoreBehind(t *testing.T) {
	c := newSettledCluster(t, 4, "a")
	c.store.Snapshot()
	plan := c.runOperation(t, "entry-000", limitEdit(50)).Plan // based on revision 1
	c.store.Snapshot()
	c.acceptChange(t, "entry-000", limitEdit(100))
	c.advance(5 * time.Second)
	must.True(t, c.store.Restore())
	got := c.runOperation(t, "entry-001", OperatorCommand{Confirm: plan.ID})
	must.Eq(t, configuration.VerdictStoreBehind, got.Confirmation.Verdict)
	must.Eq(t, 1, c.storedRevision(t))
}

func TestDrainedInstanceRefusesRequestsAfterStopLag(t *testing.T) {
	c := newSettledCluster(t, 4, "a")
	e := c.entries["entry-001"]
	e.opts.StopLag = 5 * time.Second
	must.True(t, e.Ready())
	c.awaitRevision(t, c.acceptChange(t, "entry-000", OperatorCommand{Edit: &configuration.Edit{Drain: []string{"entry-001"}}}), maxPropagationTime)
	must.False(t, e.Ready())
	must.False(t, e.refusesWork()) // the load balancer may still send requests
	c.advance(e.opts.StopLag)
	must.Eq(t, result.Stopping, effectsOf[Finish](e.Step(c.now, completion(1)))[0].Code)
	must.False(t, e.members.IsGateway())
	c.awaitRevision(t, c.acceptChange(t, "entry-000", OperatorCommand{Edit: &configuration.Edit{Undrain: []string{"entry-001"}}}), maxPropagationTime)
	must.True(t, e.Ready())
	must.False(t, e.refusesWork())
}

func TestIsolatedInstanceCatchesUpSeveralRevisions(t *testing.T) {
	c := newSettledCluster(t, 4, "a")
	c.partitioned = func(from, to string) bool { return from == "entry-003" || to == "entry-003" }
	c.store.SetFaults(standin.Faults{Cut: []string{"entry-003"}})
	var rev configuration.Revision
	for i := range 5 {
		rev = c.acceptChange(t, "entry-000", limitEdit(float64(100+i)))
	}
	c.advance(20 * time.Second)
	must.Eq(t, 1, c.entries["entry-003"].Revision())
	c.partitioned = func(string, string) bool { return false }
	c.store.SetFaults(standin.Faults{})
	c.awaitRevision(t, rev, 2*maxPropagationTime)
}

// An instance dies right after it wrote a new root and before it told its peers,
// while watches miss the change. The others must still find it in time.
func TestChangeSpreadsWhenConfirmingInstanceDiesAndWatchesMissIt(t *testing.T) {
	c := newSettledCluster(t, 12, "a", "b", "c")
	c.watchesMissChanges = true
	plan := c.runOperation(t, "entry-000", limitEdit(100)).Plan
	c.startOperation("entry-000", OperatorCommand{Confirm: plan.ID})
	for c.storedRevision(t) == 1 {
		c.advance(100 * time.Microsecond)
	}
	c.killEntry("entry-000")
	must.Eq(t, map[configuration.Revision]int{1: 11}, c.countRevisions())
	t.Logf("in force everywhere after %v", c.awaitRevision(t, 2, maxPropagationTime))
}
