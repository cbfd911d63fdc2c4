package load

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
)

// Times of the crashing request, in engine time.
const (
	crashFirst  = 10 * time.Second       // from the start to its first arrival
	crashResend = 500 * time.Millisecond // from its failure to the next arrival
)

// crashMarker is what the engines of the scenario die of.
const crashMarker = "ends-every-engine"

// Crashes is a comparison with what the crashing request did.
type Crashes struct {
	Comparison
	Requests []CrashSummary `json:"crashing_requests"`
}

// CrashSummary is what one request did that ends each engine that runs it.
type CrashSummary struct {
	Policy string `json:"policy"`
	// Sent counts its arrivals, Deaths the engines that ended.
	Sent   int            `json:"sent"`
	Deaths int            `json:"engine_deaths"`
	Codes  map[string]int `json:"codes"`
	// LastDeathS is the time from its first arrival to the last death, in
	// seconds of engine time.
	LastDeathS float64 `json:"last_death_s"`
}

// WriteText implements Result.
func (c *Crashes) WriteText(w io.Writer) {
	c.Comparison.WriteText(w)
	for _, r := range c.Requests {
		fmt.Fprintf(w, "\n%s: the crashing request was sent %d times, ended %d engines, the last after %.1f s; its results: %s\n",
			r.Policy, r.Sent, r.Deaths, r.LastDeathS, codesText(r.Codes))
	}
}

func crashScenario() Scenario {
	s := spec{
		name: "crashing-request", summary: "one request ends each engine that runs it, its caller sends it again and again everywhere",
		load: 0.4, mix: standardMix(),
	}
	return Scenario{Name: s.name, Summary: s.summary, Run: func(ctx context.Context, opts Options) (Result, error) {
		res := &Crashes{}
		for _, policy := range opts.withDefaults(s).Policies {
			sum := CrashSummary{Policy: policy, Codes: make(map[string]int)}
			one, spec := opts, s
			one.Policies = []string{policy}
			spec.disturb = sum.disturb
			part, err := spec.run(ctx, one)
			if err != nil {
				return nil, err
			}
			comparison := part.(*Comparison)
			comparison.Policies = append(res.Policies, comparison.Policies...)
			res.Comparison = *comparison
			res.Requests = append(res.Requests, sum)
		}
		return res, nil
	}}
}

// disturb sends the crashing request at every entry instance, each copy again
// after it ended.
func (s *CrashSummary) disturb(ctx context.Context, r *run) {
	marker := crashMarker
	before := make([]uint64, len(r.deployment.Engines))
	for i, e := range r.deployment.Engines {
		back := time.Duration(float64(deathReturn) / r.fleet.speed)
		e.Command(engine.Faults{CrashMarker: &marker, ReturnAfterMS: int(back.Milliseconds())})
		before[i] = e.Memory().Incarnation
	}
	if !r.sleep(ctx, crashFirst) {
		return
	}
	start := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range dev.Entries {
		wg.Go(func() {
			for {
				code := r.caller.crash(ctx, i)
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				s.Sent++
				s.Codes[codeName(code)]++
				if deaths := deathsSince(r.deployment.Engines, before); deaths > s.Deaths {
					s.Deaths, s.LastDeathS = deaths, time.Since(start).Seconds()*r.fleet.speed
				}
				mu.Unlock()
				if !r.sleep(ctx, crashResend) {
					return
				}
			}
		})
	}
	wg.Wait()
	s.Deaths = deathsSince(r.deployment.Engines, before)
}

func deathsSince(engines []*engine.Engine, before []uint64) int {
	deaths := 0
	for i, e := range engines {
		deaths += int(e.Memory().Incarnation - before[i])
	}
	return deaths
}

// crash sends the crashing request once.
func (c *caller) crash(ctx context.Context, entry int) result.Code {
	s := sample{arrival: arrival{at: time.Duration(float64(time.Since(c.start)) * c.speed)}}
	body := fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"%s"}]}`, crashMarker)
	c.post(ctx, &s, entry, strings.NewReader(body), int64(len(body)))
	return s.code
}
