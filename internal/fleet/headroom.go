package fleet

import (
	"math"
	"time"
)

// Parameters of the slots that are kept free for requests of which this instance has not
// heard yet.
const (
	// loadNewsAge is the usual age of what an instance knows of its peers' loads: gossipDelay,
	// and the 5 to 30 ms that a message takes between machines with a fraction of a core.
	loadNewsAge = 25 * time.Millisecond
	// arrivalTimeConstant is the time constant of the exponential decay of the count of
	// arrivals: bursts begin within a second.
	arrivalTimeConstant = time.Second
	// maxHeadroomShare is the largest share of a target's slots that is kept free.
	maxHeadroomShare = 0.5
)

// arrivalCount counts recent requests of peers at the targets, decaying exponentially.
type arrivalCount struct {
	count     float64
	updatedAt time.Duration
}

// add adds an arrival that is known at now.
func (n *arrivalCount) add(now time.Duration) {
	n.count = n.at(now) + 1
	n.updatedAt = now
}

// at returns the count at a time.
func (n *arrivalCount) at(now time.Duration) float64 {
	return n.count * math.Exp(-float64(now-n.updatedAt)/float64(arrivalTimeConstant))
}

// unheardArrivals is the expected number of short requests that peers have sent and this
// instance has not heard of.
func (c *Core) unheardArrivals(service string) float64 {
	n := c.peerArrivals[service]
	if n == nil {
		return 0
	}
	return n.at(c.now) * float64(loadNewsAge) / float64(arrivalTimeConstant)
}

// headroom is the number of slots of a target that are left free by packing. Instances that
// decide at the same time choose the same fullest target; the slots are enough for nearly
// all counts of them, which are about Poisson-distributed.
func headroom(slots int, unheard float64) float64 {
	return min(maxHeadroomShare*float64(slots), unheard+math.Sqrt(unheard))
}

// packedShare is the share of a target's slots for which packing prefers it: it rises with
// the requests there up to the headroom, and falls to zero from there.
func packedShare(requests, slots int, unheard float64) float64 {
	total := float64(max(1, slots))
	free := headroom(slots, unheard)
	full := total - free
	if n := float64(requests); n <= full || free < 1 {
		return min(1, n/total)
	}
	return full / total * max(0, total-float64(requests)) / free
}

// recordPeerLoad counts a new load of a peer, unless it was sent a while ago.
func (c *Core) recordPeerLoad(target *targetState, tracked *trackedLoad) {
	recent := tracked.AgeMS <= int(toMS(arrivalTimeConstant))
	c.recordPrefill(target.Service, tracked, recent)
	if !recent {
		return
	}
	c.recordDemand(target.Service, tracked)
	if !tracked.isShort() {
		return
	}
	n := c.peerArrivals[target.Service]
	if n == nil {
		n = &arrivalCount{}
		c.peerArrivals[target.Service] = n
	}
	n.add(c.now)
}
