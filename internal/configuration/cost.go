package configuration

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Cost estimates what putting a plan in force takes.
type Cost struct {
	// Loads are the models that targets have to load from the weight store.
	Loads     []Load `json:"loads,omitempty"`
	LoadBytes int64  `json:"load_bytes"`
	// LoadTime is how long the loads take at the weight store's rate, with
	// failure domains loading in parallel; zero if the rate is unknown.
	LoadTime time.Duration `json:"load_time_ns"`
	// Lost is the capacity that stops taking work.
	Lost []LostCapacity `json:"lost_capacity,omitempty"`
	// Moved is the number of requests that run on targets to be drained or
	// removed, as far as this entry instance knows.
	Moved int `json:"requests_to_move"`
}

// Load is one model that one target has to load.
type Load struct {
	Target string `json:"target"`
	Model  string `json:"model"`
	Bytes  int64  `json:"bytes"`
}

// LostCapacity estimates the capacity that a pool loses in one failure domain if the
// plan takes effect, counted in targets: Targets is the number that would stop taking
// work, Of the number that take work now.
type LostCapacity struct {
	Pool          string `json:"pool"`
	FailureDomain string `json:"failure_domain"`
	Targets       int    `json:"targets"`
	Of            int    `json:"of"`
}

// targetConfig is a target with the settings that it takes from its pool and
// whether it is drained.
type targetConfig struct {
	Target
	pool    string
	kind    PoolKind
	models  []string
	drained bool
}

func (in *Intent) targetsByName() map[string]targetConfig {
	out := map[string]targetConfig{}
	for _, p := range in.Pools {
		for _, t := range p.Targets {
			models := p.Models
			if len(t.Models) > 0 {
				models = t.Models
			}
			out[t.Name] = targetConfig{Target: t, pool: p.Name, kind: p.Kind, models: models, drained: slices.Contains(in.Drains.Targets, t.Name)}
		}
	}
	return out
}

func (in *Intent) modelsByName() map[string]Model {
	out := map[string]Model{}
	for _, m := range in.Models {
		out[m.Name] = m
	}
	return out
}

// computeCost estimates the cost of a change. running returns the number of
// requests that run on a target.
func computeCost(from, to *Intent, running func(target string) int) Cost {
	var c Cost
	before, after := from.targetsByName(), to.targetsByName()
	oldModels, newModels := from.modelsByName(), to.modelsByName()
	byDomain := map[string]int64{}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		t := after[name]
		for _, m := range t.models {
			kept := slices.Contains(before[name].models, m) && oldModels[m].Version == newModels[m].Version
			if kept {
				continue
			}
			c.Loads = append(c.Loads, Load{Target: name, Model: m, Bytes: newModels[m].WeightBytes})
			c.LoadBytes += newModels[m].WeightBytes
			byDomain[t.FailureDomain] += newModels[m].WeightBytes
		}
	}
	if rate := to.Weights.BytesPerSecond; rate > 0 {
		for _, n := range byDomain {
			c.LoadTime = max(c.LoadTime, time.Duration(float64(n)/float64(rate)*float64(time.Second)))
		}
	}
	c.Lost, c.Moved = computeLostCapacity(before, after, running)
	return c
}

// computeLostCapacity returns the capacity that stops taking work, sorted by
// pool and failure domain, and the number of requests that run on it.
func computeLostCapacity(before, after map[string]targetConfig, running func(string) int) ([]LostCapacity, int) {
	type poolDomain struct{ pool, domain string }
	lost, total, moved := map[poolDomain]int{}, map[poolDomain]int{}, 0
	for name, t := range before {
		if t.drained {
			continue
		}
		at := poolDomain{t.pool, t.FailureDomain}
		total[at]++
		if now, ok := after[name]; !ok || now.drained {
			lost[at]++
			moved += running(name)
		}
	}
	var out []LostCapacity
	for at, n := range lost {
		out = append(out, LostCapacity{Pool: at.pool, FailureDomain: at.domain, Targets: n, Of: total[at]})
	}
	slices.SortFunc(out, func(a, b LostCapacity) int {
		return slices.Compare([]string{a.Pool, a.FailureDomain}, []string{b.Pool, b.FailureDomain})
	})
	return out, moved
}

// findConflicts lists problems that Validate allows: a model or a pool of
// services that loses its last undrained target in a failure domain, and a
// model that no target serves.
func findConflicts(from, to *Intent) []string {
	var out []string
	before, after := countServingTargets(from), countServingTargets(to)
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if after[key] == 0 {
			out = append(out, fmt.Sprintf("%s would have no target left", key))
		}
	}
	served := map[string]bool{}
	for _, t := range to.targetsByName() {
		for _, m := range t.models {
			served[m] = true
		}
	}
	for _, m := range to.Models {
		if !served[m.Name] {
			out = append(out, fmt.Sprintf("model %s is served by no target", m.Name))
		}
	}
	return out
}

// countServingTargets counts the undrained targets by model or pool of services
// and failure domain.
func countServingTargets(in *Intent) map[string]int {
	out := map[string]int{}
	for _, t := range in.targetsByName() {
		if t.drained {
			continue
		}
		if t.kind == PoolService {
			out[fmt.Sprintf("pool %s in failure domain %s", t.pool, t.FailureDomain)]++
		}
		for _, m := range t.models {
			out[fmt.Sprintf("model %s in failure domain %s", m, t.FailureDomain)]++
		}
	}
	return out
}
