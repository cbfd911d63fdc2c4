package fleetnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
)

// signsPerConfigDelay is how many times the longest time without a sign of a follower of the
// store fits into the time in which a configuration must be in force. A follower notices a
// watch that has stopped within watchesPerConfigDelay of it.
const signsPerConfigDelay = 3

// freshness is what an instance knows of how new its configuration is: the newest version
// that any instance has named, and when a follower of the store last gave a sign.
type freshness struct {
	mu sync.Mutex
	// newest was last named at namedAt by an instance that holds it, or was first heard of then.
	newest  uint64
	namedAt time.Time
	// expired is the newest version that was not named again within peerExpiry. It counts again
	// only once an instance holds it.
	expired uint64
	signAt  time.Time
	// trustedFrom is the time from which on signs count.
	trustedFrom time.Time
}

// signHopTime is added to the age of a sign that a peer passes on: its message takes time that
// neither of both measures. Without it, signs in a large fleet age too slowly.
const signHopTime = 10 * time.Millisecond

// queueTime is how long after a suspension messages may still be read that were sent before
// its end: they state the ages of signs as of then.
const queueTime = 200 * time.Millisecond

// resume forgets the signs of followers after this process has been suspended.
func (f *freshness) resume(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.signAt, f.trustedFrom = time.Time{}, now.Add(queueTime)
}

// recordVersion records that an instance holds a version of the configuration.
func (f *freshness) recordVersion(version uint64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireVersion(now)
	if version >= f.newest {
		f.newest, f.namedAt = version, now
	}
}

// recordHearsay records a version of the configuration that an instance has only heard of. It
// does not extend the time of a known one: otherwise instances that pass a number on keep it
// alive for each other, even if none holds it.
func (f *freshness) recordHearsay(version uint64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireVersion(now)
	if version > max(f.newest, f.expired) {
		f.newest, f.namedAt = version, now
	}
}

// expireVersion forgets a version that was not named within peerExpiry. f.mu must be held.
func (f *freshness) expireVersion(now time.Time) {
	if now.Sub(f.namedAt) > peerExpiry {
		f.newest, f.expired = 0, max(f.newest, f.expired)
	}
}

// newestVersion returns the newest version that was named within peerExpiry, so that a
// number that no instance holds does not count forever.
func (f *freshness) newestVersion(now time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expireVersion(now)
	return f.newest
}

// recordSign records that a follower of the store gave a sign.
func (f *freshness) recordSign(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.signAt) && !at.Before(f.trustedFrom) {
		f.signAt = at
	}
}

// signAge returns the time since the last sign of a follower; ok is false before the first.
func (f *freshness) signAge(now time.Time) (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.signAt), !f.signAt.IsZero()
}

// signElement returns the age of the last sign as it is sent to peers: in milliseconds rounded
// up, one more than the age, and at least two, since one is a follower's own sign; zero says
// nothing.
func (f *freshness) signElement(now time.Time) uint32 {
	age, ok := f.signAge(now)
	if !ok || age > peerExpiry {
		return 0
	}
	return uint32((max(1, age)+time.Millisecond-1)/time.Millisecond) + 1
}

// recordMessage records what a message says of the configuration and of followers of the
// store. countsAsFollower says whether the sender itself counts as one.
func (f *freshness) recordMessage(d *datagram, countsAsFollower bool, now time.Time) {
	f.recordVersion(d.ConfigVersion, now)
	f.recordHearsay(d.NewestConfig, now)
	switch {
	case countsAsFollower:
		f.recordSign(now)
	case d.FollowerSign == 1:
		f.recordSign(now)
	case d.FollowerSign > 1:
		f.recordSign(now.Add(-time.Duration(d.FollowerSign-1)*time.Millisecond - signHopTime))
	}
}

// configStale reports whether a newer configuration than a version may be in force at other
// instances.
func (i *Instance) configStale(version uint64) bool {
	now := time.Now()
	if i.gossip.fresh.newestVersion(now) > max(version, i.mirror.rejected()) {
		return true
	}
	limit := i.opts.Settings.MaxConfigDelay / signsPerConfigDelay
	if age, ok := i.gossip.fresh.signAge(now); ok && age <= limit {
		return false
	}
	return !i.readsStore()
}

// readsStore reports whether this instance follows the store itself and the store has
// answered within the time of a watch.
func (i *Instance) readsStore() bool {
	return i.following.Load() && i.mirror.storeAnsweredWithin(i.opts.Settings.MaxConfigDelay/watchesPerConfigDelay+storeAnswerMargin)
}

const (
	// storeAnswerMargin is how much longer than a watch the store may take to answer, 0.5 s,
	// with the pause between two watches.
	storeAnswerMargin = 800 * time.Millisecond
	// signRecipients is the number of random peers that get each sign of a follower. They
	// pass its age on with their own messages.
	signRecipients = 16
	// signIntervalsPerSign is how often a follower gives a sign within the longest time
	// without one, so that a lost datagram does no harm.
	signIntervalsPerSign = 4
)

// giveSigns tells some peers regularly that this instance reads the store, unless another
// message has just done so, until the instance is closed. An instance that has had no sign
// of a follower for half of the time of a configuration or longer reads the configuration
// from the store. The time is drawn at random: the first to read gives the others a sign.
func (i *Instance) giveSigns() {
	maxDelay := i.opts.Settings.MaxConfigDelay
	interval := maxDelay / signsPerConfigDelay / signIntervalsPerSign
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	patience := signPatience(maxDelay)
	last := time.Now()
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			if now.Sub(last) > maxDelay/signsPerConfigDelay {
				i.gossip.fresh.resume(now)
			}
			last = now
			if i.readsStore() {
				if now.Sub(i.gossip.lastStatement()) >= interval {
					i.gossip.sendSign()
				}
				continue
			}
			if age, ok := i.gossip.fresh.signAge(now); ok && age > patience && !i.following.Load() {
				patience = signPatience(maxDelay)
				i.exchange.readConfigFromStore()
				last = time.Now() // the store may take long to answer
			}
		}
	}
}

// signPatience draws the time without a sign after which an instance reads the store itself.
func signPatience(maxDelay time.Duration) time.Duration {
	least := time.Duration(elsewhereShare * float64(maxDelay))
	return least + rand.N(least/2)
}

// readConfig reads the configuration from the store by one small call, and tells peers.
func (i *Instance) readConfig() error {
	ctx, cancel := context.WithTimeout(i.ctx, i.opts.Settings.MaxConfigDelay/2)
	defer cancel()
	items, position, err := i.opts.Store.List(ctx, i.mirror.decoder.ConfigKey)
	if err != nil {
		return err
	}
	if _, known := i.mirror.versions(); position.Era < known.Era {
		return follow.ErrRestored
	}
	i.gossip.fresh.recordSign(time.Now())
	i.mirror.adoptListedConfig(items, func() { i.gossip.send(fleet.SendGossip{}) })
	return nil
}
