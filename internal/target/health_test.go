package target

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
)

// init sets a fixed seed for rapid; the command-line flag overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

func newPoolTable(n int) *Table {
	p := configuration.Pool{Name: "drafting", Kind: configuration.PoolEngine, Models: []string{"draft"}}
	for i := range n {
		p.Targets = append(p.Targets, configuration.Target{Name: fmt.Sprintf("e%d", i)})
	}
	t := NewTable()
	t.ApplyIntent(&configuration.Intent{Pools: []configuration.Pool{p}}, CandidateSelector{})
	return t
}

func TestEjectionReasons(t *testing.T) {
	minute := time.Minute
	for _, tc := range []struct {
		name string
		act  func(tg *Target, peers []*Target)
		want Reason
	}{
		{"healthy", func(tg *Target, _ []*Target) { tg.RecordSuccess(minute) }, ReasonNone},
		{"consecutive failures", func(tg *Target, _ []*Target) {
			for range ConsecutiveFailures {
				tg.RecordFailure(minute)
			}
		}, ReasonConsecutive},
		{"success between failures", func(tg *Target, _ []*Target) {
			for range ConsecutiveFailures - 1 {
				tg.RecordFailure(minute)
			}
			tg.RecordSuccess(minute)
		}, ReasonNone},
		{"polls unanswered", func(tg *Target, _ []*Target) {
			for range ConsecutivePollFailures {
				tg.RecordPollFailure()
			}
		}, ReasonPollsUnanswered},
		{"no progress", func(tg *Target, _ []*Target) { tg.Outstanding = 1 }, ReasonHang},
		{"long queued prefill extends the timeout", func(tg *Target, _ []*Target) {
			tg.Outstanding, tg.Report.QueuedPrefillTokens = 1, 60*MinPrefillRate
		}, ReasonNone},
		{"more errors than peers", func(tg *Target, peers []*Target) {
			for i := range 20 {
				tg.RecordSuccess(minute)
				peers[1].RecordSuccess(minute)
				if i%2 == 0 {
					tg.RecordFailure(minute)
				}
			}
		}, ReasonErrorShare},
		{"as many errors as peers", func(_ *Target, peers []*Target) {
			for i := range 20 {
				for _, tg := range peers {
					tg.RecordSuccess(minute)
					if i%2 == 0 {
						tg.RecordFailure(minute)
					}
				}
			}
		}, ReasonNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newPoolTable(3)
			tc.act(table.Get("e0"), table.InPool("drafting"))
			must.Eq(t, tc.want, table.EjectionReason(table.Get("e0"), minute))
		})
	}
}

func TestEjectionsAreCappedAndTheirTimeDoubles(t *testing.T) {
	table := newPoolTable(6)
	ejected := 0
	for _, tg := range table.InPool("drafting") {
		if table.Eject(tg, ReasonHang) > 0 {
			ejected++
		}
	}
	must.Eq(t, 2, ejected)
	must.Eq(t, BaseEjectionTime, table.Eject(table.Get("e5"), ReasonDied), must.Sprint("a dead target is ejected regardless of the cap"))
	e0 := table.Get("e0")
	e0.BeginSlowStart(time.Minute)
	must.Eq(t, 2*BaseEjectionTime, newPoolTable(1).Eject(&Target{health: health{ejections: 1}}, ReasonDied))
	must.Eq(t, SlowStartMinShare, e0.LoadShare())
	must.True(t, e0.UpdateSlowStart(time.Minute+SlowStartDuration/2))
	must.Greater(t, SlowStartMinShare, e0.LoadShare())
	must.False(t, e0.UpdateSlowStart(time.Minute+SlowStartDuration))
	must.Eq(t, 1, e0.LoadShare())
}

func TestLastUsableTargetIsNotEjected(t *testing.T) {
	table := newPoolTable(2)
	table.Get("e1").Draining = true
	must.Eq(t, 0, table.Eject(table.Get("e0"), ReasonConsecutive))
}

func TestEachLeavingSignalMakesTargetUnusable(t *testing.T) {
	for name, tg := range map[string]*Target{
		"operator": {Draining: true}, "list": {ListedAsLeaving: true}, "own report": {Report: Report{Leaving: true}},
	} {
		must.False(t, tg.Usable(), must.Sprint(name))
	}
}

func TestFirstTokenAtTimeZeroIsCountedOnce(t *testing.T) {
	table := newPoolTable(1)
	tg := table.Get("e0")
	table.RecordSent(0, tg, AttemptLoad{Attempt: 1, Class: request.ClassLong, PrefillTokens: request.MaxMediumTokens + 1})
	table.RecordFirstToken(0, tg, 1)
	table.RecordEnd(0, tg, 1, 0)
	must.Zero(t, tg.LongPrefillTokens())
}

// While an engine prefills a long segment of a group, this entry instance sees no
// output for minutes. Guards against taking the prefill for a hang: the queue in the
// engine's reports shrinks only if it makes progress.
func TestReportsDistinguishLongPrefillFromHang(t *testing.T) {
	for _, tc := range []struct {
		name   string
		queued func(second int) int
		want   Reason
	}{
		{"queue shrinks", func(s int) int { return 60_000 - 500*s }, ReasonNone},
		{"queue unchanged", func(int) int { return 20_000 }, ReasonHang},
		{"queue only grows", func(s int) int { return 100 * s }, ReasonHang},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newPoolTable(3)
			tg := table.Get("e0")
			tg.Outstanding = 1
			got := ReasonNone
			for s := 1; s <= 100 && got == ReasonNone; s++ {
				now := time.Duration(s) * time.Second
				table.SetReport(now, tg, Report{Incarnation: 1, Sequence: uint64(s), QueuedPrefillTokens: tc.queued(s)})
				got = table.EjectionReason(tg, now)
			}
			must.Eq(t, tc.want, got)
		})
	}
}
