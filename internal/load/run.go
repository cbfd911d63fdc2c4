package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
)

// warmUp is the engine time before the first arrival, in which entry instances
// find each other and poll the engines.
const warmUp = 5 * time.Second

// memoryWait bounds the wall time in which engines have to give back memory
// after the last answer.
const memoryWait = 5 * time.Second

// prioritySuffix on a baseline gives it the engine priorities by length that
// the product's own policy uses.
const prioritySuffix = "+priority"

// fleet says what a run is made of.
type fleet struct {
	engines   int
	speed     float64
	seed      uint64
	policy    string
	measure   configuration.Measure
	limits    configuration.ClassValues // milliseconds
	reportLag time.Duration             // engine time
	// disturb breaks things while arrivals run; it returns when ctx ends.
	disturb func(ctx context.Context, r *run)
}

// run is one deployment under one stream of arrivals.
type run struct {
	fleet      fleet
	deployment *dev.Deployment
	caller     *caller
	rng        *rand.Rand
	length     time.Duration // engine time from the first to the last arrival

	mu   sync.Mutex
	lost map[int]bool
}

// execute starts a fleet, sends the arrivals and returns what callers saw and
// the memory tokens that engines still held when all was over.
func execute(ctx context.Context, f fleet, arrivals []arrival) ([]sample, int, error) {
	d, err := dev.Start(dev.Options{
		Log: logr.Discard(), Engines: f.engines, Configure: f.configure,
		Engine: engine.Options{Speed: f.speed, ReportLag: f.reportLag, Seed: f.seed},
	})
	if err != nil {
		return nil, 0, fmt.Errorf("start deployment: %w", err)
	}
	defer d.Close()
	r := &run{
		fleet: f, deployment: d, caller: newCaller(d, f.speed),
		rng: rand.New(rand.NewPCG(f.seed, 0x6661756c74)), lost: make(map[int]bool),
	}
	if len(arrivals) > 0 {
		r.length = arrivals[len(arrivals)-1].at
	}
	r.caller.lost = r.isLost
	defer r.caller.client.CloseIdleConnections()
	r.sleep(ctx, warmUp)
	samples := r.send(ctx, arrivals)
	if err := ctx.Err(); err != nil {
		return nil, 0, fmt.Errorf("run arrivals: %w", err)
	}
	return samples, r.memoryHeld(ctx), nil
}

// send calls each arrival at its time and waits for all of them.
func (r *run) send(ctx context.Context, arrivals []arrival) []sample {
	r.caller.start = time.Now()
	disturbing, stop := context.WithCancel(ctx)
	var wg, disturbers sync.WaitGroup
	if r.fleet.disturb != nil {
		disturbers.Go(func() { r.fleet.disturb(disturbing, r) })
	}
	samples := make([]sample, len(arrivals))
	for i, a := range arrivals {
		if !r.sleep(ctx, -r.caller.since(a)) {
			break
		}
		wg.Go(func() { samples[i] = r.caller.call(ctx, a) })
	}
	wg.Wait()
	stop()
	disturbers.Wait()
	return samples
}

// sleep waits for an engine time; it returns false when ctx ended.
func (r *run) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(time.Duration(float64(d) / r.fleet.speed))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// memoryHeld returns the KV tokens in use or held at all engines, after waiting
// a bounded time for them to become zero.
func (r *run) memoryHeld(ctx context.Context) int {
	deadline := time.Now().Add(memoryWait)
	for {
		held := 0
		for _, e := range r.deployment.Engines {
			m := e.Memory()
			held += m.UsedTokens + m.HeldTokens
		}
		if held == 0 || time.Now().After(deadline) || !r.sleep(ctx, time.Second/4) {
			return held
		}
	}
}

func (r *run) isLost(entry int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost[entry]
}

// configure sets workspaces, limits and the policy under test.
func (f fleet) configure(in *configuration.Intent) {
	in.Workspaces = nil
	for i := range workspaceShares {
		sum := sha256.Sum256([]byte(dev.DevelopmentKey(workspaceName(i))))
		in.Workspaces = append(in.Workspaces, configuration.Workspace{
			Name: workspaceName(i), KeyHashes: []string{hex.EncodeToString(sum[:])},
		})
	}
	name, priorities := strings.CutSuffix(f.policy, prioritySuffix)
	in.Serving = configuration.Serving{
		Policy: configuration.RoutingPolicy(name), Measure: f.measure, LimitsMS: f.limits,
	}
	if in.Serving.Policy != configuration.PolicyMedlardeck && !priorities {
		in.Serving.Priorities = configuration.ClassValues{Short: 1, Medium: 1, Long: 1, Huge: 1}
	}
}
