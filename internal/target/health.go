package target

import (
	"math"
	"time"
)

// Parameters of ejection and of the slow start after it.
const (
	// ConsecutiveFailures is the number of consecutive failed attempts that
	// ejects a target.
	ConsecutiveFailures = 5
	// ConsecutivePollFailures is the number of consecutive unanswered polls that
	// ejects a target.
	ConsecutivePollFailures = 3
	// MinErrorVolume is the decayed number of attempts below which the error
	// share is not significant.
	MinErrorVolume = 10
	// MinErrorShare is the error share below which no target is ejected for its
	// errors.
	MinErrorShare = 0.2
	// PeerErrorShareFactor is the multiple of the error share of the other targets
	// in its pool above which a target is ejected.
	PeerErrorShareFactor = 3
	// MaxEjectedShare limits the ejected targets of one pool and of one model.
	MaxEjectedShare = 1.0 / 3
	// BaseEjectionTime is the duration of a target's first ejection; each further one is
	// twice as long, up to MaxEjectionTime.
	BaseEjectionTime = 2 * time.Second
	MaxEjectionTime  = 2 * time.Minute
	// SlowStartDuration is the time from the return of an ejected target to its full
	// share of work.
	SlowStartDuration = 30 * time.Second
	// SlowStartMinShare is the share of work at the beginning of slow start.
	SlowStartMinShare = 0.1
	// HangTimeout is the time without progress after which a target with work of
	// this entry instance is ejected, in addition to the predicted time of its
	// queued prefill.
	HangTimeout = 20 * time.Second
	// MinPrefillRate is the prefill rate that every working engine exceeds, in
	// tokens per second.
	MinPrefillRate = 1000
	// errorHalfLife is the half-life of the counts that error shares are computed
	// from.
	errorHalfLife = 10 * time.Second
)

// Reason is the reason for the ejection of a target.
type Reason string

// Reasons for an ejection.
const (
	ReasonNone            Reason = ""
	ReasonConsecutive     Reason = "consecutive-failures"
	ReasonErrorShare      Reason = "error-share"
	ReasonPollsUnanswered Reason = "polls-unanswered"
	ReasonHang            Reason = "no-progress"
	ReasonDied            Reason = "died"
)

// health is the state of a target derived from attempts and polls.
type health struct {
	consecutiveFailures     int
	consecutivePollFailures int
	attempts, errors        decayingCount
	lastProgress            time.Duration
	ejected                 bool
	ejections               int
	returnedAt              time.Duration
	inSlowStart             bool
	slowStartShare          float64 // fraction of the full share of work while inSlowStart
}

// decayingCount is a count that halves every errorHalfLife.
type decayingCount struct {
	count     float64
	updatedAt time.Duration
}

func (d *decayingCount) value(now time.Duration) float64 {
	halfLives := float64(now-d.updatedAt) / float64(errorHalfLife)
	if halfLives <= 0 {
		return d.count
	}
	return d.count * math.Exp2(-halfLives)
}

func (d *decayingCount) add(now time.Duration) {
	d.count, d.updatedAt = d.value(now)+1, now
}

// Usable reports whether the target may get new work.
func (t *Target) Usable() bool {
	return !t.Leaving() && !t.Isolated && !t.health.ejected && t.ReportsUntilTrusted == 0
}

// Leaving reports whether operators, the platform's list or the target itself
// took it out of use. One of the three is enough.
func (t *Target) Leaving() bool { return t.Draining || t.ListedAsLeaving || t.Report.Leaving }

// Ejected reports whether the target is ejected because of failures.
func (t *Target) Ejected() bool { return t.health.ejected }

// LoadShare returns the fraction of a full load that the target should get, in
// (0, 1]. It is below one during slow start after an ejection or a restart.
func (t *Target) LoadShare() float64 {
	if t.health.inSlowStart {
		return t.health.slowStartShare
	}
	return 1
}

// RecordProgress records that the target made progress at now. Progress proves that
// the target is alive even if its reports do not arrive, so it also resets the
// count of unanswered polls.
func (t *Target) RecordProgress(now time.Duration) {
	t.health.lastProgress = max(t.health.lastProgress, now)
	t.health.consecutivePollFailures = 0
}

// RecordSuccess records an attempt that the target ran without a failure of its own.
func (t *Target) RecordSuccess(now time.Duration) {
	t.RecordProgress(now)
	t.health.consecutiveFailures = 0
	t.health.attempts.add(now)
}

// RecordFailure records an attempt that the target refused, dropped or answered with an
// error of its own.
func (t *Target) RecordFailure(now time.Duration) {
	t.health.consecutiveFailures++
	t.health.attempts.add(now)
	t.health.errors.add(now)
}

// RecordPollAnswer records a poll that was answered by a report.
func (t *Target) RecordPollAnswer() { t.health.consecutivePollFailures = 0 }

// RecordPollFailure records a poll that was not answered by a report.
func (t *Target) RecordPollFailure() { t.health.consecutivePollFailures++ }

// errorShare returns the recent error share and the decayed number of attempts
// that it is computed from.
func (t *Target) errorShare(now time.Duration) (share, volume float64) {
	volume = t.health.attempts.value(now)
	if volume == 0 {
		return 0, 0
	}
	return t.health.errors.value(now) / volume, volume
}

// isHanging reports whether the target has work of this entry instance and made
// no progress for HangTimeout and the time to prefill its queue at
// MinPrefillRate.
func (t *Target) isHanging(now time.Duration) bool {
	if t.Outstanding == 0 {
		return false
	}
	prefill := time.Duration(t.Report.QueuedPrefillTokens) * time.Second / MinPrefillRate
	return now-max(t.health.lastProgress, t.BusySince) > HangTimeout+prefill
}

// EjectionReason returns the reason to eject the target at now, or ReasonNone. It ignores
// the cap on ejections, which Eject checks.
func (t *Table) EjectionReason(tg *Target, now time.Duration) Reason {
	switch {
	case tg.health.ejected:
		return ReasonNone
	case tg.health.consecutiveFailures >= ConsecutiveFailures:
		return ReasonConsecutive
	case tg.health.consecutivePollFailures >= ConsecutivePollFailures:
		return ReasonPollsUnanswered
	case tg.isHanging(now):
		return ReasonHang
	case t.errorShareExceedsPeers(tg, now):
		return ReasonErrorShare
	}
	return ReasonNone
}

// errorShareExceedsPeers reports whether the target's error share is significant
// and more than PeerErrorShareFactor times that of the rest of its pool, or the
// rest had no attempts.
func (t *Table) errorShareExceedsPeers(tg *Target, now time.Duration) bool {
	share, volume := tg.errorShare(now)
	if volume < MinErrorVolume || share < MinErrorShare {
		return false
	}
	var errors, attempts float64
	for _, peer := range t.byPool[tg.Pool] {
		if peer != tg {
			errors += peer.health.errors.value(now)
			attempts += peer.health.attempts.value(now)
		}
	}
	return attempts == 0 || share > PeerErrorShareFactor*errors/attempts
}

// Eject takes the target out of use and returns the duration of the ejection. It
// returns zero and does nothing if the target is ejected already or if the cap on
// ejections of its pool or of one of its models is reached. A target that died is
// ejected regardless of the cap because it cannot run anything.
func (t *Table) Eject(tg *Target, reason Reason) time.Duration {
	if tg.health.ejected || reason != ReasonDied && !t.canEject(tg) {
		return 0
	}
	tg.health.ejected = true
	backoff := min(MaxEjectionTime, BaseEjectionTime<<min(tg.health.ejections, 10))
	tg.health.ejections++
	return backoff
}

// canEject reports whether the caps of the target's pool and of all of its models
// allow one more ejection.
func (t *Table) canEject(tg *Target) bool {
	if !withinEjectionCap(t.byPool[tg.Pool]) {
		return false
	}
	for _, m := range tg.Models {
		if !withinEjectionCap(t.byModel[m]) {
			return false
		}
	}
	return true
}

// withinEjectionCap reports whether one more of the targets may be ejected. At
// least one usable target must remain.
func withinEjectionCap(targets []*Target) bool {
	ejected, usable := 0, 0
	for _, tg := range targets {
		if tg.health.ejected {
			ejected++
		}
		if tg.Usable() {
			usable++
		}
	}
	limit := max(1, int(MaxEjectedShare*float64(len(targets))))
	return ejected < limit && usable > 1
}

// BeginSlowStart puts a target back into use after an ejection or a restart, clears its
// failure counts and begins slow start.
func (t *Target) BeginSlowStart(now time.Duration) {
	h := &t.health
	h.ejected, h.consecutiveFailures, h.consecutivePollFailures = false, 0, 0
	h.attempts, h.errors = decayingCount{}, decayingCount{}
	h.returnedAt, h.lastProgress = now, now
	h.inSlowStart, h.slowStartShare = true, SlowStartMinShare
}

// UpdateSlowStart raises the share of a target in slow start and reports whether slow start
// goes on. When the target reaches its full share, its count of earlier ejections
// is reset.
func (t *Target) UpdateSlowStart(now time.Duration) bool {
	h := &t.health
	if !h.inSlowStart || h.ejected {
		return false
	}
	h.slowStartShare = SlowStartMinShare + (1-SlowStartMinShare)*float64(now-h.returnedAt)/float64(SlowStartDuration)
	if h.slowStartShare >= 1 {
		h.inSlowStart, h.ejections = false, 0
	}
	return h.inSlowStart
}
