package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const request = requestBit | 7

// recordRuns records crashes of targets in one failure domain at the given times, in
// milliseconds, of runs with a fingerprint that had begun some milliseconds before.
func recordRuns(c *Culprits, fp Fingerprint, durationMS int, times ...int) {
	for _, at := range times {
		report := Crash{Death: Death{Target: fmt.Sprint(at, fp)}, FailureDomain: "a", Suspects: []Fingerprint{fp}}
		c.RecordCrash(ms(at), report, CrashedRun{Fingerprint: fp, Duration: ms(durationMS)})
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// blockedAfter returns what is blocked a second later.
func blockedAfter(c *Culprits, at int) []Fingerprint {
	c.EndIncidents(ms(at) + time.Second)
	return blockedOnes(c, ms(at)+time.Second)
}

// Three crashes of one domain by retries of a request counted once.
func TestCrashesCountThatARequestWentOnTo(t *testing.T) {
	for name, test := range map[string]struct {
		fp         Fingerprint
		durationMS int
		times      []int
		blocked    bool
	}{
		"one after the other":            {request, 0, []int{0, 1, 2}, true},
		"slow to crash":                  {request, 150, []int{0, 160, 320}, true},
		"two only":                       {request, 0, []int{0, 1}, false},
		"runs at the same time":          {request, 200, []int{100, 130, 160, 190, 220}, false},
		"each ran while the last ended":  {request, 150, []int{0, 100, 200, 300, 400}, true}, // at 0, 200 and 400
		"a part that many prompts share": {7, 0, []int{0, 50, 100, 150}, false},
	} {
		c := NewCulprits()
		recordRuns(c, test.fp, test.durationMS, test.times...)
		must.Eq(t, test.blocked, len(blockedAfter(c, 500)) > 0, must.Sprint(name))
	}
}

// The targets of a domain end one after the other, and a request goes on from one to the
// next. That others end without it is known only later.
func TestEndOfADomainIsNotBlamedOnARequestThatWentOn(t *testing.T) {
	c := NewCulprits()
	recordRuns(c, request, 0, 0, 60, 120)
	recordRuns(c, requestBit|8, 0, 180)
	must.SliceEmpty(t, blockedAfter(c, 200))
}

// Until it is known whether others end as well, the request waits, and its caller is told
// when to come again.
func TestRequestIsSuspendedUntilItsIncidentHasEnded(t *testing.T) {
	c := NewCulprits()
	admit := func(at int, fp Fingerprint) Admission {
		admission, _ := c.Admit(ms(at), []Fingerprint{fp, 9}, func(Fingerprint) bool { return true })
		return admission
	}
	recordRuns(c, request, 0, 0, 10)
	must.Eq(t, Admitted, admit(11, request))
	recordRuns(c, request, 0, 20)
	must.SliceEmpty(t, blockedOnes(c, ms(20)))
	must.Eq(t, Suspended, admit(21, request))
	must.Eq(t, Admitted, admit(21, requestBit|8))
	must.SliceEmpty(t, c.EndIncidents(ms(100)).Quarantined)
	end := ms(100) + c.UntilIncidentsEnd(ms(100))
	must.Eq(t, ms(20)+incidentGap+time.Millisecond, end)
	must.Eq(t, []Fingerprint{request}, c.EndIncidents(end).Quarantined)
	must.Eq(t, 0, c.UntilIncidentsEnd(end))
	must.Eq(t, Refused, admit(300, request))
}

// Peers hear of crashes late, in another order and from several instances. Builds from
// before reports had runs tell none.
func TestRunsAreKnownHoweverTheyAreTold(t *testing.T) {
	type told struct {
		crash, delayMS int
		hasRun         bool
	}
	for name, test := range map[string]struct {
		told    []told
		blocked bool
	}{
		"in another order":            {[]told{{2, 30, true}, {0, 35, true}, {1, 40, true}}, true},
		"with different delays":       {[]told{{0, 8, true}, {1, 1, true}, {2, 5, true}}, true},
		"first without, then with it": {[]told{{0, 1, false}, {1, 1, false}, {2, 1, false}, {0, 9, true}, {1, 9, true}, {2, 9, true}}, true},
		"by an older build":           {[]told{{0, 1, false}, {1, 1, false}, {2, 1, false}}, false},
	} {
		c := NewCulprits()
		for _, report := range test.told {
			at := ms(20*report.crash + 100)
			crash := Crash{Death: Death{Target: fmt.Sprint(report.crash)}, FailureDomain: "a", Suspects: []Fingerprint{request}, Age: time.Second}
			var runs []CrashedRun
			if report.hasRun {
				runs = []CrashedRun{{Fingerprint: request, Duration: ms(15)}}
			}
			c.RecordCrash(at+time.Second+ms(report.delayMS), crash, runs...)
		}
		must.Eq(t, test.blocked, len(blockedAfter(c, 2000)) > 0, must.Sprint(name))
	}
}

// The requests of a busy target would not fit a message.
func TestRunsThatBeganLastAreTold(t *testing.T) {
	var runs []CrashedRun
	for i := range 2 * maxCrashedRuns {
		runs = append(runs, CrashedRun{Fingerprint: requestBit | Fingerprint(i), Duration: ms(2*maxCrashedRuns - i)})
	}
	selected := SelectRuns(runs)
	must.Len(t, maxCrashedRuns, selected)
	must.Eq(t, runs[len(runs)-1], selected[0])
}
