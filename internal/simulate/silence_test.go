package simulate

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Loads as multiples of the usual one, and a silence that does not end in a day.
const (
	lowLoad, fullLoad = 0.5, 1.6
	forever           = time.Hour
)

// silentDays plays days with different seeds in the middle of which engines fall silent.
func silentDays(load float64, scope FaultScope, silence time.Duration, days uint64) *Report {
	day := Day{Name: "silent", Duration: 12 * time.Second, Kinds: DefaultKinds(load)}
	day.Faults = []Fault{{Kind: FaultSilent, Scope: scope, At: 6 * time.Second, Duration: silence}}
	r := Run(smallDeployment, day, 100)
	for seed := uint64(101); seed < 100+days; seed++ {
		r.Merge(Run(smallDeployment, day, seed))
	}
	return r
}

// Engines that are silent for less than their callers' patience and go on lose nothing while
// there is room elsewhere, and no stream is lost by the death of one.
func TestSilentEnginesLoseNothingAtLowLoad(t *testing.T) {
	t.Parallel()
	for _, scope := range []FaultScope{ScopeEngine, ScopeDomain} {
		all := silentDays(lowLoad, scope, 1500*time.Millisecond, 8).All()
		must.Eq(t, 0, all.Failed+all.Abandoned+all.streamsLost)
	}
	dead := silentDays(lowLoad, ScopeEngine, forever, 8).All()
	must.Eq(t, 0, dead.Failed+dead.streamsLost)
}

// BenchmarkSilence reports what silences cost: the requests that are lost and the streams
// among them, late events, attempts that were given up, and the share of all prefill that
// was for attempts without an answer. One iteration plays eight days.
func BenchmarkSilence(b *testing.B) {
	scopes := map[FaultScope]string{ScopeEngine: "engine", ScopeDomain: "domain", ScopeAll: "all"}
	for _, load := range []float64{lowLoad, fullLoad} {
		for _, scope := range []FaultScope{ScopeEngine, ScopeDomain, ScopeAll} {
			for _, silence := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, forever} {
				b.Run(fmt.Sprintf("load=%.1f/%s/%s", load, scopes[scope], silence), func(b *testing.B) {
					for b.Loop() {
						r := silentDays(load, scope, silence, 8)
						all := r.All()
						b.ReportMetric(float64(all.Failed+all.Abandoned), "lost")
						b.ReportMetric(float64(all.streamsLost), "streams-lost")
						b.ReportMetric(float64(all.lateEvents), "late-events")
						b.ReportMetric(float64(r.cancelledAttempts), "given-up")
						b.ReportMetric(100*float64(r.wastedTokens)/float64(r.prefilledTokens), "%wasted")
					}
				})
			}
		}
	}
}
