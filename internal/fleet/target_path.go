package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Detection of the loss of this instance's own path to the targets of a service.
const (
	// pathDoubtThreshold is the number of targets with failures in pathDoubtWindow, without
	// a new connection to any target in between, from which the path is in doubt; fewer if
	// the service has fewer targets.
	pathDoubtThreshold = 2
	pathDoubtWindow    = 1500 * time.Millisecond
	// pathCheckCount is the number of targets that are checked at a time. With three, six ends
	// among sixteen targets were taken for a lost path in 5 of 60 simulated runs.
	pathCheckCount = 5
	// minPathCheckInterval and maxPathCheckInterval bound the time between checks while the
	// path is in doubt or lost; it doubles with each check.
	minPathCheckInterval = 300 * time.Millisecond
	maxPathCheckInterval = 600 * time.Millisecond
	// maxHeldCrashes bounds the crashes that wait until the path is sound.
	maxHeldCrashes = 64
)

// pathState says whether this instance reaches the targets of a service.
type pathState uint8

const (
	pathSound pathState = iota
	// pathDoubted: several targets failed. They may have ended, or the path is lost.
	pathDoubted
	// pathLost: checks of other targets failed too.
	pathLost
)

// targetPath is what this instance knows of its own path to the targets of a service. Only
// new connections count as successes: established ones may live on while new ones fail.
type targetPath struct {
	service string
	state   pathState
	// failed are the targets that failed since the last new connection, by id.
	failed map[string]pathFailure
	// pendingChecks are the ids of targets whose checks have no result yet.
	pendingChecks map[string]bool
	checkInterval time.Duration
	// heldCrashes wait until the path is sound: behind a lost one, sound targets look as
	// if they had ended.
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
	suspects crashSuspects
}

// pathTo returns what is known of the path to the targets of a service.
func (c *Core) pathTo(service string) *targetPath {
	path := c.paths[service]
	if path == nil {
		path = &targetPath{service: service, failed: make(map[string]pathFailure)}
		c.paths[service] = path
	}
	return path
}

// recordConnected records a new connection to a target: the path to its service is sound.
func (c *Core) recordConnected(id string) {
	target := c.targets[id]
	if target == nil {
		return
	}
	path := c.pathTo(target.Service)
	if len(path.failed) == 0 {
		return
	}
	delete(c.paths, target.Service)
	for pending := range path.pendingChecks {
		c.outdatedPathChecks[pending] = true
	}
	if path.state == pathLost {
		c.regainPath(path)
		return
	}
	for _, crash := range path.heldCrashes {
		c.reportCrash(crash.target, crash.suspects)
	}
	c.replaceSilentAttempts(c.cannotConnect) // others than this path were in doubt
}

// regainPath forgets the failures behind the lost path, and checks again whether targets
// have ended that seemed to.
func (c *Core) regainPath(path *targetPath) {
	c.log("target-path-regained", "service", path.service, "held_crashes", len(path.heldCrashes))
	c.incrementCounter("target_path", "regained")
	for failed := range path.failed {
		if target := c.targets[failed]; target != nil {
			target.health = health{}
			delete(c.domains, target.FailureDomain)
		}
	}
	for _, crash := range path.heldCrashes {
		if c.targetChecks[crash.target.incarnation()] == nil {
			c.targetChecks[crash.target.incarnation()] = &targetCheck{suspects: crash.suspects}
			c.emit(CheckTarget{crash.target})
		}
	}
}

// recordPathFailure records a target that could not be connected to, or whose connection
// broke. At pathDoubtThreshold it checks whether other targets can be reached.
func (c *Core) recordPathFailure(target *Target, notConnected bool) {
	path := c.pathTo(target.Service)
	path.failed[target.ID] = pathFailure{c.now, notConnected}
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
	if !anyNotConnected || len(path.failed) < min(pathDoubtThreshold, len(c.listedTargets(path.service))) {
		return
	}
	path.state, path.checkInterval = pathDoubted, minPathCheckInterval
	c.log("target-path-doubted", "service", path.service, "failed_targets", len(path.failed))
	c.checkPath(path)
}

// checkPath checks some targets, at first those that have not failed, and does so again
// while the path is not sound.
func (c *Core) checkPath(path *targetPath) {
	if c.paths[path.service] != path {
		return
	}
	c.afterFunc(path.checkInterval, func() { c.checkPath(path) })
	path.checkInterval = min(maxPathCheckInterval, 2*path.checkInterval)
	if len(path.pendingChecks) > 0 {
		return
	}
	path.pendingChecks = make(map[string]bool)
	for _, target := range c.pathCheckTargets(path) {
		path.pendingChecks[target.ID] = true
		c.emit(CheckTarget{target.Target})
	}
}

// listedTargets returns the targets of a service that are neither leaving nor gone, and not
// in an evacuated domain.
func (c *Core) listedTargets(service string) []*targetState {
	return selectFunc(c.serviceTargets(service), func(target *targetState) bool { return target.takesWork() && !c.isEvacuated(target.FailureDomain) })
}

// pathCheckTargets draws the targets to check, those that have not failed first, and of
// different failure domains, the own one first: a partition between domains is no loss of the
// path.
func (c *Core) pathCheckTargets(path *targetPath) []*targetState {
	pool := c.listedTargets(path.service)
	if others := selectFunc(pool, func(target *targetState) bool { return !c.wantsQuiet(target) }); len(others) > 0 {
		pool = others
	}
	c.rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	hasFailed := func(target *targetState) bool {
		_, ok := path.failed[target.ID]
		return ok
	}
	sound := selectFunc(pool, func(target *targetState) bool { return !hasFailed(target) })
	ordered := append(c.interleaveDomains(sound), c.interleaveDomains(selectFunc(pool, hasFailed))...)
	return ordered[:min(len(ordered), pathCheckCount)]
}

// interleaveDomains orders targets so that the first ones are of different failure domains,
// beginning with this instance's own.
func (c *Core) interleaveDomains(targets []*targetState) []*targetState {
	rank := make(map[string]int, len(targets)) // by id, within the domain
	inDomain := make(map[string]int)
	for _, target := range targets {
		rank[target.ID] = inDomain[target.FailureDomain]
		inDomain[target.FailureDomain]++
	}
	isRemote := func(target *targetState) int {
		if target.FailureDomain == c.opts.FailureDomain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(targets, func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(rank[a.ID], rank[b.ID]), cmp.Compare(isRemote(a), isRemote(b)))
	})
	return targets
}

// checkNewTarget checks a target that was listed while the path to its service is lost: it
// may be the first that can be reached.
func (c *Core) checkNewTarget(target *targetState) {
	if path := c.paths[target.Service]; path != nil && path.state == pathLost && target.takesWork() && !c.isEvacuated(target.FailureDomain) {
		c.emit(CheckTarget{target.Target})
	}
}

// recordPathCheck records the result of a check of any target.
func (c *Core) recordPathCheck(ev TargetChecked) {
	if ev.Result == CheckAccepted {
		c.recordConnected(ev.Target.ID)
		delete(c.outdatedPathChecks, ev.Target.ID)
		return
	}
	path := c.pathTo(ev.Target.Service)
	pending := path.pendingChecks[ev.Target.ID]
	delete(path.pendingChecks, ev.Target.ID)
	if !pending && c.outdatedPathChecks[ev.Target.ID] {
		// Otherwise the checks of one doubt would begin the next one, without end.
		delete(c.outdatedPathChecks, ev.Target.ID)
		return
	}
	c.recordPathFailure(&ev.Target, true)
	if pending && len(path.pendingChecks) == 0 && path.state == pathDoubted {
		c.losePath(path)
	}
}

// losePath records that this instance reaches no target of a service. Requests at silent
// targets are tried again by way of peers.
func (c *Core) losePath(path *targetPath) {
	path.state = pathLost
	c.log("target-path-lost", "service", path.service, "failed_targets", len(path.failed), "held_crashes", len(path.heldCrashes))
	c.incrementCounter("target_path", "lost")
	c.replaceSilentAttempts(func(target *targetState) bool { return target.Service == path.service })
}

// confirmCrash reports a crash. While the own path to the targets is in doubt or lost, the
// crash is held instead.
func (c *Core) confirmCrash(target Target, suspects crashSuspects) {
	path := c.pathTo(target.Service)
	switch {
	case path.state == pathSound:
		c.reportCrash(target, suspects)
	case len(path.heldCrashes) < maxHeldCrashes:
		path.heldCrashes = append(path.heldCrashes, heldCrash{target, suspects})
	}
}
