package fleet

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/quarantine"
)

// Detection of the loss of this instance's own path to the targets.
const (
	// pathDoubtThreshold is the number of targets with failures in pathDoubtWindow, without
	// a new connection to any target in between, from which the own path is in doubt.
	pathDoubtThreshold = 2
	pathDoubtWindow    = 1500 * time.Millisecond
	// pathCheckCount is the number of other targets that are checked at a time.
	pathCheckCount = 3
	// pathCheckInterval is the time between checks while the path is in doubt or lost.
	pathCheckInterval = 300 * time.Millisecond
	// maxHeldCrashes bounds the crashes that wait for the end of a doubt.
	maxHeldCrashes = 64
)

// pathState says whether this instance reaches the targets.
type pathState uint8

const (
	pathSound pathState = iota
	// pathDoubted: several targets failed. They may have ended, or the path is lost.
	pathDoubted
	// pathLost: checks of other targets failed too.
	pathLost
)

// targetPath is what this instance knows of its own path to the targets. Only new
// connections count as successes: established ones may live on while new ones fail.
type targetPath struct {
	state pathState
	// failed are the targets that failed since the last new connection, by id.
	failed map[string]pathFailure
	// pendingChecks are the ids of targets whose checks have no result yet.
	pendingChecks map[string]bool
	checksPlanned bool
	// heldCrashes wait for the end of a doubt: behind a lost path, sound targets look
	// as if they had ended.
	heldCrashes []heldCrash
}

// pathFailure is the last failure of a target.
type pathFailure struct {
	at time.Duration
	// notConnected says that no connection was made, and not that one broke.
	notConnected bool
}

type heldCrash struct {
	target   Target
	suspects []quarantine.Fingerprint
}

// recordConnected records a new connection to a target: the path is sound.
func (c *Core) recordConnected(id string) {
	path := &c.path
	if len(path.failed) == 0 {
		return
	}
	if path.state == pathLost {
		c.log("target-path-regained", "target", id)
		c.incrementCounter("target_path", "regained")
		for failed := range path.failed {
			if target := c.targets[failed]; target != nil {
				target.health = health{}
			}
		}
		clear(c.domains)
	}
	held := path.heldCrashes
	c.path = targetPath{checksPlanned: path.checksPlanned}
	for _, crash := range held {
		c.reportCrash(crash.target, crash.suspects)
	}
}

// recordPathFailure records a target that could not be connected to, or whose connection
// broke. At pathDoubtThreshold it checks whether other targets can be reached.
func (c *Core) recordPathFailure(id string, notConnected bool) {
	path := &c.path
	if path.failed == nil {
		path.failed = make(map[string]pathFailure)
	}
	path.failed[id] = pathFailure{c.now, notConnected}
	if path.state != pathSound {
		return
	}
	anyNotConnected := false
	for failed, failure := range path.failed {
		if c.now-failure.at > pathDoubtWindow {
			delete(path.failed, failed)
			continue
		}
		anyNotConnected = anyNotConnected || failure.notConnected
	}
	if !anyNotConnected || len(path.failed) < pathDoubtThreshold {
		return
	}
	path.state = pathDoubted
	c.log("target-path-doubted", "failed_targets", len(path.failed))
	c.checkPath()
}

// checkPath checks some targets, at first those that have not failed, and does so again
// in pathCheckInterval while the path is not sound.
func (c *Core) checkPath() {
	path := &c.path
	if path.state == pathSound || path.checksPlanned {
		return
	}
	path.checksPlanned = true
	c.afterFunc(pathCheckInterval, func() {
		c.path.checksPlanned = false
		c.checkPath()
	})
	if len(path.pendingChecks) > 0 {
		return
	}
	path.pendingChecks = make(map[string]bool)
	for _, target := range c.pathCheckTargets() {
		path.pendingChecks[target.ID] = true
		c.emit(CheckTarget{target.Target})
	}
}

// pathCheckTargets draws the targets to check: of each failure domain at least one if
// possible, and those that have not failed before the others.
func (c *Core) pathCheckTargets() []*targetState {
	var services []string
	for service := range c.targetsByService {
		services = append(services, service)
	}
	slices.Sort(services)
	var pool []*targetState
	for _, service := range services {
		pool = append(pool, selectFunc(c.targetsByService[service], func(target *targetState) bool {
			return !target.gone && !target.leaving
		})...)
	}
	c.rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	seen := make(map[string]int)
	rank := make(map[*targetState]int, len(pool))
	for _, failed := range []bool{false, true} {
		for _, target := range pool {
			if _, ok := c.path.failed[target.ID]; ok == failed {
				rank[target] = seen[target.FailureDomain]
				if failed {
					rank[target] += len(pool)
				}
				seen[target.FailureDomain]++
			}
		}
	}
	slices.SortStableFunc(pool, func(a, b *targetState) int { return rank[a] - rank[b] })
	return pool[:min(len(pool), pathCheckCount)]
}

// recordPathCheck records the result of a check of any target.
func (c *Core) recordPathCheck(ev TargetChecked) {
	if ev.Result == CheckAccepted {
		c.recordConnected(ev.Target.ID)
		return
	}
	path := &c.path
	pending := path.pendingChecks[ev.Target.ID]
	delete(path.pendingChecks, ev.Target.ID)
	c.recordPathFailure(ev.Target.ID, true)
	if pending && len(path.pendingChecks) == 0 && path.state == pathDoubted {
		c.losePath()
	}
}

// losePath records that this instance reaches no target. Requests at silent targets are
// tried again by way of peers.
func (c *Core) losePath() {
	c.path.state = pathLost
	c.log("target-path-lost", "failed_targets", len(c.path.failed), "held_crashes", len(c.path.heldCrashes))
	c.incrementCounter("target_path", "lost")
	c.path.heldCrashes = nil
	c.abandonSilentAttempts("")
}

// confirmCrash reports a crash unless the own path to the targets is lost. While that is
// in doubt, the crash is held.
func (c *Core) confirmCrash(target Target, suspects []quarantine.Fingerprint) {
	switch {
	case c.path.state == pathSound:
		c.reportCrash(target, suspects)
	case c.path.state == pathDoubted && len(c.path.heldCrashes) < maxHeldCrashes:
		c.path.heldCrashes = append(c.path.heldCrashes, heldCrash{target, suspects})
	}
}
