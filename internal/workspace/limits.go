// Package workspace enforces each workspace's limit across all entry instances without
// a store call for each request.
//
// Every instance admits requests by its own token bucket, which holds a share of the
// limit. Instances publish the demand they see to each other. Shares follow demand,
// with a part divided equally. The equal share of an instance stays reserved while no
// publication arrives from it, and an instance that receives no publications falls back
// to its own equal share, so that the limit holds approximately on both sides of a
// network partition.
package workspace

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Parameters of the demand exchange.
const (
	// PublishInterval is the time between two publications of an instance's demand.
	PublishInterval = time.Second
	// DemandTTL is how long a peer's last publication is valid.
	DemandTTL = 3 * PublishInterval
	// equalShareFraction is the fraction of a limit that is divided equally,
	// regardless of demand.
	equalShareFraction = 0.2
	// maxDemandChange limits the factor by which a published demand changes from
	// one publication to the next. It bounds what instances admit together while
	// their views differ by one publication.
	maxDemandChange = 1.25
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = 5 * time.Second
	// minPublishedRate is the demand, in tokens per second, below which a workspace
	// counts as idle: it is not published and its bucket is deleted later.
	minPublishedRate = 0.01
	// MaxDemands limits the workspaces in one publication. Workspaces beyond it
	// share equally.
	MaxDemands = 256
	// defaultBurstTime is the time in which a bucket without a configured burst is
	// filled at the limit's rate.
	defaultBurstTime = 10 * time.Second
)

// Tolerance is the fraction by which all instances together may exceed a limit over a
// time that is long compared to its burst, with publications lost or late by up to one
// interval.
const Tolerance = maxDemandChange - 1

// Limit is the limit of one workspace over all entry instances.
type Limit struct {
	TokensPerSecond float64
	BurstTokens     float64 // zero means ten seconds at TokensPerSecond
}

func (l Limit) burstTokens() float64 {
	if l.BurstTokens > 0 {
		return l.BurstTokens
	}
	return l.TokensPerSecond * defaultBurstTime.Seconds()
}

// Demand is the demand of one workspace at one instance, in tokens per second.
type Demand struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`
}

// Limiter holds the token buckets of one entry instance.
type Limiter struct {
	buckets       map[string]*bucket
	peers         []peerDemand // ordered by instance, so that sums are reproducible
	instanceCount int          // instances assumed to exist, this one included
}

// bucket is the token bucket of one workspace at this instance, with its demand.
type bucket struct {
	tokens        float64
	filled        bool
	updatedAt     time.Duration
	decayedCost   float64 // decayed sum of the requested costs
	publishedRate float64 // tokens per second
}

// peerDemand is the last publication of a peer.
type peerDemand struct {
	instance   string
	receivedAt time.Duration
	rates      map[string]float64
}

// New returns limits for an instance that knows no other instance.
func New() *Limiter {
	return &Limiter{buckets: make(map[string]*bucket), instanceCount: 1}
}

// Take takes cost tokens from a workspace's limit. If ok is false, nothing is taken and
// wait is the time after which the same call would succeed.
func (l *Limiter) Take(now time.Duration, workspace string, limit Limit, cost float64) (wait time.Duration, ok bool) {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{updatedAt: now}
		l.buckets[workspace] = b
	}
	share := l.Share(now, workspace)
	rate, burst := share*limit.TokensPerSecond, share*limit.burstTokens()
	b.refill(now, rate, burst)
	b.decayedCost += cost
	// A cost above the size of the bucket is admitted when the bucket is full. The
	// bucket is then overdrawn until it is refilled.
	need := min(cost, burst)
	if b.tokens < need-roundingTolerance {
		return time.Duration((need - b.tokens) / rate * float64(time.Second)), false
	}
	b.tokens -= cost
	return 0, true
}

// roundingTolerance is the number of tokens by which a refilled bucket may miss what the
// wait was computed for. Processors that fuse a multiplication and an addition round
// differently from others.
const roundingTolerance = 1e-6

// refill adds the tokens accrued since the last call, and decays the demand. The first
// call fills the bucket.
func (b *bucket) refill(now time.Duration, rate, burst float64) {
	if !b.filled {
		b.tokens, b.filled = burst, true
	}
	dt := now - b.updatedAt
	b.updatedAt = now
	b.tokens = min(burst, b.tokens+rate*dt.Seconds())
	b.decayedCost *= math.Exp(-float64(dt) / float64(demandTimeConstant))
}

// Share returns the fraction of a workspace's limit that this instance may admit.
func (l *Limiter) Share(now time.Duration, workspace string) float64 {
	own := 0.0
	if b := l.buckets[workspace]; b != nil {
		own = b.publishedRate
	}
	sum, reporting := own, 1
	for _, p := range l.peers {
		if now-p.receivedAt <= DemandTTL {
			reporting++
			sum += p.rates[workspace]
		}
	}
	known := float64(max(l.instanceCount, reporting))
	equal := 1 / known
	if sum <= 0 || reporting == 1 {
		return equal
	}
	reachable := float64(reporting) / known
	return equalShareFraction*equal + (1-equalShareFraction)*reachable*own/sum
}

// SetInstanceCount sets the number of instances known to exist, this one included. The equal share
// of instances without a valid publication stays reserved.
func (l *Limiter) SetInstanceCount(instances int) { l.instanceCount = max(1, instances) }

// RecordPeerDemand stores a peer's publication that arrived now.
func (l *Limiter) RecordPeerDemand(now time.Duration, instance string, demands []Demand) {
	p := peerDemand{instance: instance, receivedAt: now, rates: make(map[string]float64, len(demands))}
	for _, d := range demands {
		p.rates[d.Workspace] = d.Rate
	}
	i, found := l.findPeer(instance)
	if !found {
		l.peers = slices.Insert(l.peers, i, p)
		return
	}
	l.peers[i] = p
}

// RemovePeer removes a peer that no longer exists.
func (l *Limiter) RemovePeer(instance string) {
	if i, found := l.findPeer(instance); found {
		l.peers = slices.Delete(l.peers, i, i+1)
	}
}

func (l *Limiter) findPeer(instance string) (int, bool) {
	return slices.BinarySearchFunc(l.peers, instance, func(p peerDemand, name string) int {
		return strings.Compare(p.instance, name)
	})
}

// PublishDemand returns the demands to send to all peers now, highest first, and makes them
// the basis of this instance's own shares. It also deletes buckets that are idle. The
// order is reproducible.
func (l *Limiter) PublishDemand(now time.Duration) []Demand {
	demands := make([]Demand, 0, min(len(l.buckets), MaxDemands))
	for name, b := range l.buckets {
		decay := math.Exp(-float64(now-b.updatedAt) / float64(demandTimeConstant))
		measured := b.decayedCost * decay / demandTimeConstant.Seconds()
		b.publishedRate = limitDemandChange(b.publishedRate, measured)
		if b.publishedRate < minPublishedRate {
			b.publishedRate = 0
			if now-b.updatedAt > 2*defaultBurstTime {
				delete(l.buckets, name)
			}
			continue
		}
		demands = append(demands, Demand{Workspace: name, Rate: b.publishedRate})
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		switch {
		case a.Rate > b.Rate:
			return -1
		case a.Rate < b.Rate:
			return 1
		case a.Workspace < b.Workspace:
			return -1
		}
		return 1
	})
	for _, d := range demands[min(len(demands), MaxDemands):] {
		l.buckets[d.Workspace].publishedRate = 0
	}
	return demands[:min(len(demands), MaxDemands)]
}

// limitDemandChange returns the measured demand, limited to a change by the factor
// maxDemandChange from the published demand. A first publication is not limited.
func limitDemandChange(published, measured float64) float64 {
	if published == 0 {
		return measured
	}
	return min(max(measured, published/maxDemandChange), published*maxDemandChange)
}
