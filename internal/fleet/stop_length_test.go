package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

// A stream of a service without an engine model may last as long as its route allows. One
// that arrives late in a stop would be cut by its end.
func TestStopRefusesLateStreamsOfUnknownLength(t *testing.T) {
	h := newHarness(t, 1)
	routeEvents := len(h.config.Routes)
	h.config.Routes = append(h.config.Routes, &Route{
		Name: "events", Kind: KindStream, Resumable: true, Timeout: 15 * time.Second, TargetLatency: 300 * time.Millisecond,
		MaxEventGap: 250 * time.Millisecond, CallerTimeout: 2 * time.Second, MaxAttempts: 2, Backends: []Backend{{"app", 1}},
	})
	h.step(Stop{BalancerDelay: 2500 * time.Millisecond, GracePeriod: 7500 * time.Millisecond})
	h.advance(4 * time.Second)
	short, stream := h.submit(routeIdempotent, 0), h.submit(routeEvents, 0)
	must.Eq(t, 1, h.sendCount(short))
	must.Eq(t, 0, h.sendCount(stream))
	must.Eq(t, result.Stopping, h.finishes[stream].Code)
}
