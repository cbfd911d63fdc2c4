package load

import (
	"context"
	"time"

	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
)

// Faults of the scenarios, in engine time.
const (
	deathInterval  = 12 * time.Second // between engines that die
	deathReturn    = 10 * time.Second // from a death to the restart
	balancerNotice = time.Second      // from an entry's death to the balancer's knowing
)

func faultScenarios() []Scenario {
	return scenariosOf([]spec{
		{name: "engine-deaths", summary: "an engine dies every twelve seconds and returns", load: 0.5, mix: standardMix(), disturb: killEngines},
		{name: "entry-loss", summary: "one of four entry instances dies half-way", load: 0.5, mix: standardMix(), disturb: killEntry},
	})
}

func killEngines(ctx context.Context, r *run) {
	for r.sleep(ctx, deathInterval) {
		e := r.deployment.Engines[r.rng.IntN(len(r.deployment.Engines))]
		back := time.Duration(float64(deathReturn) / r.fleet.speed)
		e.Command(engine.Faults{Die: true, ReturnAfterMS: int(back.Milliseconds())})
	}
}

func killEntry(ctx context.Context, r *run) {
	if !r.sleep(ctx, r.length/2) {
		return
	}
	victim := r.rng.IntN(dev.Entries)
	r.deployment.KillEntry(victim)
	r.sleep(ctx, balancerNotice)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[victim] = true
}
