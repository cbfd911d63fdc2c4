package fleet

import (
	"math"
	"time"
)

const (
	// unseenWindow is the time after a send within which peers tell of what they sent to the
	// same target before or at the same time: their messages take up to some tens of
	// milliseconds.
	unseenWindow = 20 * time.Millisecond
	// unseenWeight is the weight of the newest send in the mean number of such requests, which
	// follows a burst within a second.
	unseenWeight = 0.05
	// maxUnseen bounds the number that is expected for a single send.
	maxUnseen = 4
)

// unseenSends counts the requests that peers have sent to a target without this instance
// knowing it when it sent one there, too: many instances find the same target best.
type unseenSends struct {
	open []unseenSend // sends up to unseenWindow ago
	mean map[string]float64
}

// unseenSend is a send of this instance to a target.
type unseenSend struct {
	target *targetState
	at     time.Duration
	count  int // of the peers' requests that it was told of since
}

// recordSent opens the window of a send.
func (u *unseenSends) recordSent(now time.Duration, target *targetState) {
	u.expire(now)
	u.open = append(u.open, unseenSend{target: target, at: now})
}

// recordPeerLoad counts a peer's new request at a target.
func (u *unseenSends) recordPeerLoad(now time.Duration, target *targetState, load *TargetLoad) {
	if load.HelperPart || load.FirstEventSeen || time.Duration(load.AgeMS)*time.Millisecond > unseenWindow {
		return
	}
	u.expire(now)
	for i := range u.open {
		if u.open[i].target == target {
			u.open[i].count++
		}
	}
}

// expire adds the sends whose window has passed to the mean of their service.
func (u *unseenSends) expire(now time.Duration) {
	done := 0
	for ; done < len(u.open) && now-u.open[done].at > unseenWindow; done++ {
		if u.mean == nil {
			u.mean = make(map[string]float64)
		}
		service := u.open[done].target.Service
		u.mean[service] += unseenWeight * (float64(min(maxUnseen, u.open[done].count)) - u.mean[service])
	}
	if done > 0 {
		u.open = append(u.open[:0], u.open[done:]...)
	}
}

// slotChances returns the probability of each number of unseen requests, the last one for
// that many or more.
func (u *unseenSends) slotChances(service string) [maxUnseen + 1]float64 {
	mean := u.mean[service]
	var chances [maxUnseen + 1]float64
	left, chance := 1.0, math.Exp(-mean)
	for i := range maxUnseen {
		chances[i] = chance
		left -= chance
		chance *= mean / float64(i+1)
	}
	chances[maxUnseen] = max(0, left)
	return chances
}
