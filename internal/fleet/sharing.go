package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// allDomains is the recipient of messages that go to every peer.
const allDomains = ""

// isLargeFleet reports whether there are too many instances to tell every peer every
// change.
func (c *Core) isLargeFleet() bool { return c.peerCount() > maxFullGossipPeers }

// gossipDomains returns the groups of peers that are sent messages of their own: all
// peers together, or in a large fleet those of each failure domain.
func (c *Core) gossipDomains() []string {
	if !c.isLargeFleet() {
		return []string{allDomains}
	}
	return c.instanceDomains
}

// gossipDomain is the group of peers that this instance belongs to.
func (c *Core) gossipDomain() string { return c.gossipDomainOf(&peer{domain: c.opts.FailureDomain}) }

// gossipDomainOf is the group of peers that a peer belongs to.
func (c *Core) gossipDomainOf(p *peer) string {
	if !c.isLargeFleet() {
		return allDomains
	}
	return p.domain
}

// followsLoads reports whether the instances of a domain know the loads at a target
// exactly. In a large fleet those of two domains do: the target's own and its guest
// domain. The messages of an instance then grow with the size of two domains instead
// of the whole fleet, and a domain that is short of capacity finds some in each of
// the others without a collision with the rest of the fleet.
func (c *Core) followsLoads(domain string, target *targetState) bool {
	return domain == allDomains || domain == target.FailureDomain || domain == c.guestDomain(target)
}

// isTold reports whether the instances of a domain are told about the loads
// of this instance at a target. Those of its own domain are told about all.
func (c *Core) isTold(domain string, target *targetState) bool {
	return domain == c.opts.FailureDomain || c.followsLoads(domain, target)
}

// guestDomain returns the domain that may use a target besides the target's own:
// the highest-ranking one of the others by a hash, so that all instances agree and
// few targets change their guests when a domain comes or goes.
func (c *Core) guestDomain(target *targetState) string {
	if target.guestEpoch == c.instanceDomainsEpoch {
		return target.guest
	}
	target.guest, target.guestEpoch = "", c.instanceDomainsEpoch
	var highest uint64
	for _, domain := range c.instanceDomains {
		if rank := xxhash.Sum64String(target.ID + "/" + domain); domain != target.FailureDomain && rank >= highest {
			target.guest, highest = domain, rank
		}
	}
	return target.guest
}

// updateInstanceDomains derives the failure domains that have instances, and their number,
// from the known peers.
func (c *Core) updateInstanceDomains() {
	c.roster.update(c.now, len(c.peers)+1)
	domains := []string{c.opts.FailureDomain}
	for _, p := range c.peers {
		domains = append(domains, p.domain)
	}
	slices.SortFunc(domains, cmp.Compare)
	domains = slices.Compact(domains)
	if !slices.Equal(domains, c.instanceDomains) {
		c.instanceDomains = domains
		c.instanceDomainsEpoch++
	}
}
