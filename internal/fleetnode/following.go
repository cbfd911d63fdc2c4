package fleetnode

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
)

// Limits for selecting the instances that follow the store.
const (
	// followersPerDomain is how many instances of a failure domain follow the
	// store. The second one covers the time until the loss of the first is
	// noticed.
	followersPerDomain = 2
	// followerTimeout is the time without a message after which a peer no
	// longer counts as following the store; peers send at least one message per
	// second.
	followerTimeout = 2200 * time.Millisecond
)

// shouldFollow reports whether this instance has to follow the store: it starts to
// if fewer than followersPerDomain peers of its failure domain do, one after the other, and stops if so
// many do whose names sort before its own. A peer that joins thus replaces none. Peers that
// do not know of eras count only as long as this instance knows of none: after a restore
// of the store they may keep to what was before.
func (g *gossip) shouldFollow(following bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	followers, before, heard := 0, 0, false
	for a, c := range g.peers {
		if now.Sub(c.lastMessageAt) >= followerTimeout {
			continue
		}
		heard = true
		switch {
		case c.domain != g.domain:
		case !c.followsStore:
			if c.form.servesConfig() && g.precedes(a, c) {
				before++
			}
		case (!following || c.name < g.name) && (!c.lacksEra() || !g.knowsEra()):
			followers++
		}
	}
	missing := followersPerDomain - followers
	if following || missing <= 0 {
		g.takeover.missingSince = time.Time{}
		return missing > 0
	}
	return g.takeover.isDue(now, missing, before, heard)
}

// precedes reports whether a peer of the own domain that does not follow the store has to
// begin before this instance: seeds first, then by name. g.mu must be held.
func (g *gossip) precedes(a netip.AddrPort, c *peerContact) bool {
	if seed := g.takeover.seeds[a]; seed != g.takeover.isSeed {
		return seed
	}
	return c.name < g.name
}

// takeover decides when an instance begins to follow the store because too few peers do.
// If all that see it began at once, hundreds would list the store.
type takeover struct {
	isSeed bool
	seeds  map[netip.AddrPort]bool
	// startEnd is the end of the time after the start in which an instance that is no seed
	// leaves it to the peers that it hears: it knows few of them yet. aloneEnd is that in
	// which it waits to hear of any, if it knows seeds.
	startEnd, aloneEnd time.Time
	// missingSince is when too few followers were first seen; zero if there are enough.
	missingSince time.Time
}

const (
	// minStartWait and maxStartWait bound the random time of startEnd. A list of the store
	// with a configuration of half a megabyte takes 0.3 s over a link of 20 Mbit/s.
	minStartWait = 300 * time.Millisecond
	maxStartWait = 700 * time.Millisecond
	// minAloneWait and maxAloneWait bound the random time of aloneEnd: seeds that start at
	// the same time may begin later.
	minAloneWait = 100 * time.Millisecond
	maxAloneWait = 300 * time.Millisecond
	// takeoverStep is the time between the takeovers of two instances that precede one
	// another, maxTakeoverWait bounds the time of the last.
	takeoverStep    = 200 * time.Millisecond
	maxTakeoverWait = 1500 * time.Millisecond
)

func newTakeover(isSeed bool, now time.Time) takeover {
	return takeover{
		isSeed: isSeed, seeds: make(map[netip.AddrPort]bool),
		startEnd: now.Add(minStartWait + rand.N(maxStartWait-minStartWait)),
		aloneEnd: now.Add(minAloneWait + rand.N(maxAloneWait-minAloneWait)),
	}
}

// isDue reports whether this instance begins to follow the store. Some followers are
// missing, a number of peers have to begin before it, and heard says that there are peers.
func (t *takeover) isDue(now time.Time, missing, before int, heard bool) bool {
	switch {
	case t.isSeed:
	case heard && now.Before(t.startEnd):
		return false
	case !heard && len(t.seeds) > 0 && now.Before(t.aloneEnd):
		return false
	}
	if t.missingSince.IsZero() {
		t.missingSince = now
	}
	wait := time.Duration(max(0, before-missing+1)) * takeoverStep
	return now.Sub(t.missingSince) >= min(wait, maxTakeoverWait)
}

// followsStore reports whether this instance follows the store and gets
// responses.
func (i *Instance) followsStore() bool { return i.following.Load() && i.mirror.isStoreReachable() }

// claimsStore reports whether this instance follows the store, and the store has not failed
// to answer. It is what peers are told, so that those that wait to follow hear of it before
// the first answer.
func (i *Instance) claimsStore() bool { return i.following.Load() && !i.mirror.isStoreLost() }

// shouldFollow reports whether this instance has to follow the store. If not,
// the peers that do pass the changes on, and the store counts as reachable.
func (i *Instance) shouldFollow() bool {
	former := i.following.Load()
	following := i.gossip.shouldFollow(former)
	i.following.Store(following)
	if !following {
		i.mirror.stopFollowing()
	} else if !former {
		i.gossip.send(fleet.SendGossip{Domain: i.opts.Settings.FailureDomain})
	}
	return following
}

// startFollower follows the whole store: the configuration, the targets and the
// addresses of the other instances. A single watch for all of them needs the
// fewest calls. It also announces this instance's address.
func (i *Instance) startFollower() {
	f := &follow.Follower{
		Source: i.opts.Store, Handler: i.mirror, RelistAfterOutage: true, NeedsRelist: i.mirror.needsRelist,
		WatchTimeout: i.opts.Settings.maxChangeDelay() / watchesPerConfigDelay,
		ShouldFollow: i.shouldFollow, OnTooLong: i.exchange.readConfigFromStore,
	}
	go func() {
		select {
		case <-i.ctx.Done():
		case <-time.After(rand.N(maxFollowDelay)):
			i.readFirstConfig()
			f.Run(i.ctx)
		}
	}()
	go i.announceWithRetry()
}

// readFirstConfig reads the configuration from the store if this instance is among those that
// follow it: it takes effect, and peers can have it, before the whole list has been read.
func (i *Instance) readFirstConfig() {
	version, _ := i.mirror.versions()
	if version > 0 || i.mirror.decoder.ConfigKey == "" || !i.shouldFollow() {
		return
	}
	i.exchange.readConfigFromStore()
}

// announceWithRetry calls announce until it succeeds or the instance is closed.
func (i *Instance) announceWithRetry() {
	s := &i.opts.Settings
	for wait := 500 * time.Millisecond; i.ctx.Err() == nil; wait = min(2*wait, 8*time.Second) {
		err := i.announce(s)
		if err == nil {
			return
		}
		i.opts.Log.Info("announce-failed", "cause", err.Error())
		select {
		case <-i.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// announceAgain announces this instance once more after a random delay, which spreads
// the writes of a fleet.
func (i *Instance) announceAgain() {
	select {
	case <-i.ctx.Done():
	case <-time.After(rand.N(maxReannounceDelay)):
		i.announceWithRetry()
	}
}

// announce stores this instance's address, where the other instances find it.
func (i *Instance) announce(s *Settings) error {
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
	era, err := i.opts.Store.Put(i.ctx, instanceKeyPrefix+s.Name, []byte(address))
	if err != nil {
		return err
	}
	i.announcedEra.Store(era)
	return nil
}
