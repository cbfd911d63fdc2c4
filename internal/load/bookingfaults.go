package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	platformstandin "github.com/medlardeck/medlardeck/internal/standin/platform"
	"github.com/medlardeck/medlardeck/internal/standin/service"
)

// disturb makes one fault after the other until ctx ends, then ends them all.
func (r *bookingRun) disturb(ctx context.Context, rng *rand.Rand, each time.Duration) {
	r.d.Ledger.SetFaults(service.Faults{Delay: 300 * time.Millisecond, Breaks: 0.02, Refusals: 0.02})
	victim := 0
	faults := []struct {
		name string
		run  func()
	}{
		{"outage", func() { r.store(ctx, each, platformstandin.Faults{Outage: true}); r.recovery(ctx) }},
		{"lost-answers", func() { r.store(ctx, each, platformstandin.Faults{LostAnswers: 0.5}) }},
		{"slow-store", func() { r.store(ctx, each, platformstandin.Faults{Latency: 800 * time.Millisecond}) }},
		{"refusing-store", func() { r.store(ctx, each, platformstandin.Faults{Refusals: 0.5}) }},
		{"cut-off-instance", func() {
			r.store(ctx, each, platformstandin.Faults{Cut: []string{fmt.Sprintf("entry-%d", victim)}})
		}},
		{"pause", func() { r.d.Instances[victim].Node.Suspend(2 * each) }},
		{"death", func() {
			r.d.KillEntry(victim)
			sleep(ctx, each/2)
			if err := r.d.RestartEntry(victim); err != nil {
				r.noteFault("restart-failed")
			}
		}},
		{"death-in-outage", func() {
			r.d.Platform.SetFaults(platformstandin.Faults{LostAnswers: 0.5, Latency: 200 * time.Millisecond})
			r.d.KillEntry(victim)
			r.store(ctx, each, platformstandin.Faults{Outage: true})
			if err := r.d.RestartEntry(victim); err != nil {
				r.noteFault("restart-failed")
			}
			r.recovery(ctx)
		}},
	}
	for ctx.Err() == nil {
		victim = rng.IntN(len(r.d.Callers))
		f := faults[rng.IntN(len(faults))]
		r.noteFault(f.name)
		f.run()
		sleep(ctx, each/2)
	}
	r.d.Platform.SetFaults(platformstandin.Faults{})
}

func (r *bookingRun) noteFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Faults[name]++
}

// store lets the store have faults for a while.
func (r *bookingRun) store(ctx context.Context, d time.Duration, f platformstandin.Faults) {
	r.d.Platform.SetFaults(f)
	sleep(ctx, d)
	r.d.Platform.SetFaults(platformstandin.Faults{})
}

// recovery notes the calls at the store in the second after an outage.
func (r *bookingRun) recovery(ctx context.Context) {
	writes, reads := storeCalls(r.d.Platform)
	sleep(ctx, time.Second)
	laterWrites, laterReads := storeCalls(r.d.Platform)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Recovery = max(r.res.Recovery, laterWrites+laterReads-writes-reads)
}
