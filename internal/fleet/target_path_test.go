package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Targets that end are not taken for a lost path.
func TestEndsOfTargetsAreNoLossOfThePath(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := newFleetWorld(t, 740+seed, 4, 16)
		w.repeat(25*time.Millisecond, 20*time.Second, func() { w.anyInstance().submit(routeShort, 3000) })
		w.after(5*time.Second, func() {
			for _, target := range w.targets[:6] {
				w.endTarget(target)
			}
		})
		w.repeat(100*time.Millisecond, 20*time.Second, func() {
			for _, in := range w.instances {
				must.NotEq(t, pathLost, in.core.pathTo("pool").state)
			}
		})
		w.runUntil(22 * time.Second)
	}
}

// Behind a lost path sound targets look as if they had ended. Those that others run on are
// not to be suspected, neither here nor by a report to the peers.
func TestLossOfThePathIsNoCrash(t *testing.T) {
	h := newHarness(t, 6)
	var sends []Send
	for range 12 {
		sends = append(sends, h.lastSend(h.submit(routeShort, 3000)))
	}
	for _, send := range sends {
		h.step(AttemptEnd{Attempt: send.Attempt, Outcome: OutcomeBroken})
	}
	for _, target := range h.core.targetsByService["pool"] {
		h.step(TargetChecked{target.Target, CheckRefused})
	}
	for id := range h.core.pathTo("pool").pendingChecks { // those that the doubt has begun
		h.step(TargetChecked{h.core.targets[id].Target, CheckRefused})
	}
	must.Eq(t, pathLost, h.core.pathTo("pool").state)
	must.SliceEmpty(t, h.core.reportedCrashes)
	// With the path, the targets are found alive, except one.
	h.step(Connected{"pool-05"})
	must.SliceEmpty(t, h.core.reportedCrashes)
	for _, target := range h.core.targetsByService["pool"] {
		result := CheckAccepted
		if target.ID == sends[0].Target.ID {
			result = CheckRefused
		}
		h.step(TargetChecked{target.Target, result})
	}
	must.Len(t, 1, h.core.reportedCrashes)
	must.Eq(t, sends[0].Target.ID, h.core.reportedCrashes[0].Death.Target)
}

// Real crashes that look like a lost path for a moment are reported once the path is known
// to be sound.
func TestCrashesAreReportedAfterADoubt(t *testing.T) {
	h := newHarness(t, 6)
	first, second := h.core.targets["pool-00"].Target, h.core.targets["pool-01"].Target
	h.core.confirmCrash(first, crashSuspects{})
	must.Len(t, 1, h.core.reportedCrashes)
	h.step(TargetChecked{first, CheckRefused})
	h.step(TargetChecked{second, CheckRefused})
	must.Eq(t, pathDoubted, h.core.pathTo("pool").state)
	h.core.confirmCrash(second, crashSuspects{})
	must.Len(t, 1, h.core.reportedCrashes)
	h.step(TargetChecked{h.core.targets["pool-02"].Target, CheckAccepted})
	must.Len(t, 2, h.core.reportedCrashes)
}

// A partition between failure domains leaves the targets of the own domain in reach: the path
// must not be taken for lost, or requests that they could serve are refused.
func TestPartitionBetweenDomainsIsNoLossOfThePath(t *testing.T) {
	for seed := range uint64(20) {
		w := newFleetWorld(t, 760+seed, 6, 18)
		core := w.instances[0].core
		own := core.opts.FailureDomain
		path := core.pathTo("pool")
		for _, target := range core.targetsByService["pool"] {
			if target.FailureDomain != own && len(path.failed) < pathDoubtThreshold {
				path.failed[target.ID] = pathFailure{notConnected: true}
			}
		}
		must.Greater(t, 0, len(path.failed))
		must.Eq(t, own, core.pathCheckTargets(path)[0].FailureDomain)
	}
}
