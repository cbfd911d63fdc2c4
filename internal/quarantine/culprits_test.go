package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// recordCrashes records crashes of targets in failure domains of their own, a second
// apart, and returns the time after the last.
func recordCrashes(c *Culprits, begin time.Duration, suspects ...[]Fingerprint) time.Duration {
	for i, fps := range suspects {
		begin += time.Second
		target := fmt.Sprint("t", begin, i)
		c.RecordCrash(begin, Crash{Death: Death{Target: target}, FailureDomain: target, Suspects: fps})
	}
	return begin
}

func blockedOnes(c *Culprits, now time.Duration) []Fingerprint {
	var fps []Fingerprint
	for _, v := range c.Verdicts(now) {
		fps = append(fps, v.Fingerprint)
	}
	return fps
}

// A sound part was at as many crashes as the culprit, but not at all of its crashes.
func TestCulpritIsTheFingerprintThatExplainsMost(t *testing.T) {
	c := NewCulprits()
	now := recordCrashes(c, 0, []Fingerprint{1, 9}, []Fingerprint{1, 9}, []Fingerprint{2, 9}, []Fingerprint{1, 2, 9})
	must.Eq(t, []Fingerprint{9}, blockedOnes(c, now))
	now = recordCrashes(c, now, []Fingerprint{1, 9}, []Fingerprint{1, 9})
	must.Eq(t, []Fingerprint{9}, blockedOnes(c, now))
}

// A part in half of all prompts is at most crashes, and in most answers too.
func TestSurvivedRunExonerates(t *testing.T) {
	c := NewCulprits()
	now := recordCrashes(c, 0, []Fingerprint{1}, []Fingerprint{1})
	c.RecordSurvival(now, []Fingerprint{1})
	now = recordCrashes(c, now, []Fingerprint{1}, []Fingerprint{1}, []Fingerprint{1}, []Fingerprint{1})
	must.SliceEmpty(t, blockedOnes(c, now))
	now = recordCrashes(c, now, []Fingerprint{1})
	must.Eq(t, []Fingerprint{1}, blockedOnes(c, now))
	must.Eq(t, []Fingerprint{1}, c.RecordSurvival(now, []Fingerprint{1}))
	must.SliceEmpty(t, blockedOnes(c, now))
}

// Several targets of a failure domain that end together have a common cause other than
// their requests.
func TestEndOfADomainCountsOnce(t *testing.T) {
	c := NewCulprits()
	for i := range 8 {
		now := time.Duration(i) * 100 * time.Millisecond
		c.RecordCrash(now, Crash{Death: Death{Target: fmt.Sprint(i)}, FailureDomain: "a", Suspects: []Fingerprint{1}})
	}
	must.SliceEmpty(t, blockedOnes(c, time.Second))
}

// A sound fingerprint that was blocked by chance is released when another explains its
// crashes and more.
func TestBetterExplanationReleases(t *testing.T) {
	c := NewCulprits()
	now := recordCrashes(c, 0, []Fingerprint{2, 9}, []Fingerprint{2, 9}, []Fingerprint{2, 9})
	must.Eq(t, []Fingerprint{9}, blockedOnes(c, now)) // the larger of equals
	now = recordCrashes(c, now, []Fingerprint{2})
	must.Eq(t, []Fingerprint{9}, blockedOnes(c, now))
	now = recordCrashes(c, now, []Fingerprint{2})
	must.Eq(t, []Fingerprint{2}, blockedOnes(c, now))
}

// A verdict is refuted by an instance where a run survived after most of the crashes,
// and holds where only the crashes are known.
func TestPeerRefutesVerdict(t *testing.T) {
	c, peer, other := NewCulprits(), NewCulprits(), NewCulprits()
	crashes := [][]Fingerprint{{1}, {1}, {1}}
	now := recordCrashes(c, 0, crashes...)
	recordCrashes(peer, 0, crashes...)
	peer.RecordSurvival(now-500*time.Millisecond, []Fingerprint{1})
	verdicts := c.Verdicts(now)
	must.Len(t, 1, verdicts)
	survival, adopted := other.AdoptVerdict(now, verdicts[0])
	must.Nil(t, survival)
	must.True(t, adopted)
	survival, adopted = peer.AdoptVerdict(now, verdicts[0])
	must.False(t, adopted)
	must.Eq(t, []Fingerprint{1}, c.RecordSurvival(now-survival.Age, []Fingerprint{1}))
	must.Eq(t, 500*time.Millisecond, c.LastSurvival(now, 1).Age)
}

// Messages arrive repeatedly, late, and with suspects of other instances.
func TestReportsOfOneDeathAddUp(t *testing.T) {
	c := NewCulprits()
	for i, fp := range []Fingerprint{1, 9, 1, 9} {
		c.RecordCrash(time.Second, Crash{Death: Death{Target: "t"}, Suspects: []Fingerprint{fp}, Age: time.Duration(i) * time.Millisecond})
	}
	must.Len(t, 1, c.crashes)
	must.Eq(t, map[Fingerprint]bool{1: true, 9: true}, c.crashes[0].suspects)
	c.RecordCrash(time.Hour, Crash{Death: Death{Target: "old"}, Suspects: []Fingerprint{1}, Age: 2 * SuspectTTL})
	must.SliceEmpty(t, c.crashes)
}

// The targets of a busy fleet run more parts than a report may name: those that are
// known to be sound are left out first.
func TestReportsNameUnprovenSuspectsFirst(t *testing.T) {
	c := NewCulprits()
	var fps []Fingerprint
	for fp := range Fingerprint(2 * maxSuspects) {
		fps = append(fps, fp, fp)
	}
	c.RecordSurvival(time.Second, fps[:2*maxSuspects])
	selected := c.SelectSuspects(fps)
	must.Len(t, maxSuspects, selected)
	must.Eq(t, Fingerprint(maxSuspects), selected[0])
	must.Eq(t, Fingerprint(2*maxSuspects-1), selected[maxSuspects-1])
}

// Requests with ever new fingerprints do not let the memory grow.
func TestCulpritsAreBounded(t *testing.T) {
	c := NewCulprits()
	var now time.Duration
	for i := range Fingerprint(3 * maxCrashes) {
		now += 50 * time.Millisecond
		suspects := make([]Fingerprint, 2*maxSuspects)
		for j := range suspects {
			suspects[j] = i*1000 + Fingerprint(j)
		}
		c.RecordCrash(now, Crash{Death: Death{Target: fmt.Sprint(i)}, FailureDomain: fmt.Sprint(i), Suspects: suspects})
		c.RecordSurvival(now, suspects)
		c.AdoptVerdict(now, Verdict{Fingerprint: 1_000_000 + i})
	}
	must.LessEq(t, maxCrashes, len(c.crashes))
	must.LessEq(t, MaxProven, len(c.survivedAt))
	must.LessEq(t, maxVerdicts, len(c.Verdicts(now)))
}
