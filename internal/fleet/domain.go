package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of failure domains that cannot be reached.
const (
	// cutTargets is the number of a domain's targets that could not be connected
	// to, with no success in between, from which the whole domain is avoided.
	cutTargets = 2
	// cutAvoidance is how long it is avoided before a request tries it again.
	cutAvoidance = time.Second
	// cutSilence is how long a target of such a domain has been silent before its
	// requests are tried elsewhere: a few passes of an engine.
	cutSilence = 400 * time.Millisecond
)

// domain is what connections showed of another failure domain.
type domain struct {
	failed     map[string]bool // targets since the last success
	avoidUntil time.Duration
}

func (c *Core) domainUsable(name string) bool {
	d := c.domains[name]
	return d == nil || c.now >= d.avoidUntil
}

// probed notes that a request is sent to a target: one a second tries a target or
// a domain that failed before.
func (c *Core) probed(r *runner) {
	r.health.probed(c.now)
	if d := c.domains[r.Domain]; d != nil && len(d.failed) >= cutTargets {
		d.avoidUntil = c.now + cutAvoidance
	}
}

// domainFailed notes that a target could not be connected to.
func (c *Core) domainFailed(r *runner) {
	if r.Domain == c.opts.Domain {
		return
	}
	d := c.domains[r.Domain]
	if d == nil {
		d = &domain{failed: make(map[string]bool)}
		c.domains[r.Domain] = d
	}
	d.failed[r.ID] = true
	if len(d.failed) >= cutTargets && c.now >= d.avoidUntil {
		d.avoidUntil = c.now + cutAvoidance
		c.log("domain-avoided", "domain", r.Domain, "failed_targets", len(d.failed))
		c.leaveDomain(r.Domain)
	}
}

// leaveDomain tries other targets for requests that wait in silence for one of a
// domain that cannot be reached.
func (c *Core) leaveDomain(name string) {
	var silent []*active
	for _, a := range c.attempts {
		if a.target.Domain == name && c.now-max(a.lastAt, a.target.aliveAt) >= cutSilence && a.arrive.Route.Repeatable() {
			silent = append(silent, a)
		}
	}
	slices.SortFunc(silent, func(a, b *active) int { return cmp.Compare(a.attempt, b.attempt) })
	for _, a := range silent {
		c.stalled(a)
	}
}

// succeeded notes that a target served a request.
func (c *Core) succeeded(r *runner) {
	r.health.succeeded()
	if d := c.domains[r.Domain]; d != nil {
		if c.now < d.avoidUntil {
			c.log("domain-regained", "domain", r.Domain)
		}
		delete(c.domains, r.Domain)
	}
}
