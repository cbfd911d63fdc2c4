package fleet

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/quarantine"
)

// Ranges of the numbers in messages of peers, far above those of any real load.
const (
	maxToldMS        = 1e9
	maxToldTokens    = 1 << 31
	maxToldValue     = 1e9
	maxToldPerSecond = 1e6
	maxToldExcess    = 1e6 // hundredths
	maxToldAge       = 24 * time.Hour
)

func isBetween[T int | float64 | time.Duration](v, lowest, highest T) bool {
	return v >= lowest && v <= highest // not a number is not
}

// isInRange reports whether the numbers of a load can be those of a request.
func (l *TargetLoad) isInRange() bool {
	return isBetween(l.PrefillMS, 0, maxToldMS) && isBetween(l.Value, 0, maxToldValue) &&
		isBetween(l.ContextTokens, 0, maxToldTokens) && isBetween(l.MemoryTokens, 0, maxToldTokens) &&
		isBetween(l.MaxEventGapMS, 0, maxToldMS) && isBetween(l.AgeMS, 0, maxToldMS) &&
		isBetween(l.FirstEventLimitMS, -maxToldMS, maxToldMS) && isBetween(l.CallerLimitMS, -maxToldMS, maxToldMS)
}

// isInRange reports whether the numbers of a report can be those of a waiting request.
func (w *WaitingReport) isInRange() bool {
	return isBetween(w.Value, 0, maxToldValue) && isBetween(w.EngineMS, 0, maxToldMS) && isBetween(w.Priority, 0, firstLateUrgency-1) &&
		isBetween(w.WaitedMS, 0, maxToldMS) && isBetween(w.LeftMS, -maxToldMS, maxToldMS) && isBetween(w.TargetLatencyMS, 0, maxToldMS)
}

// DropOutOfRange removes the statements whose numbers are out of range. It returns the names of
// the lists that had some.
func (g *Gossip) DropOutOfRange() (dropped []string) {
	dropFrom(&dropped, "Loads", &g.Loads, (*TargetLoad).isInRange)
	n := g.News
	if n == nil {
		return dropped
	}
	dropFrom(&dropped, "Crashes", &n.Crashes, func(v *quarantine.Crash) bool { return isBetween(v.Age, 0, maxToldAge) })
	dropFrom(&dropped, "Verdicts", &n.Verdicts, func(v *quarantine.Verdict) bool {
		return isBetween(v.EvidenceAge, 0, maxToldAge) && isBetween(v.SeenAge, 0, maxToldAge)
	})
	dropFrom(&dropped, "Survivals", &n.Survivals, func(v *quarantine.Survival) bool { return isBetween(v.Age, 0, maxToldAge) })
	dropFrom(&dropped, "Limits", &n.Limits, func(r *LimitReport) bool {
		return isBetween(r.PerSecond, 0, maxToldPerSecond) && isBetween(r.Age, 0, maxToldAge)
	})
	dropFrom(&dropped, "Costs", &n.Costs, func(r *CostReport) bool { return isBetween(r.Excess, 0, maxToldExcess) })
	dropFrom(&dropped, "Waiting", &n.Waiting, func(r *WaitingReport) bool { return r.Ended || r.isInRange() })
	dropFrom(&dropped, "CrashedRuns", &n.CrashedRuns, func(runs *quarantine.CrashedRuns) bool {
		return !slices.ContainsFunc(runs.Runs, func(run quarantine.CrashedRun) bool { return !isBetween(run.Duration, 0, maxToldAge) })
	})
	return dropped
}

func dropFrom[T any](dropped *[]string, name string, list *[]T, isInRange func(*T) bool) {
	before := len(*list)
	*list = slices.DeleteFunc(*list, func(v T) bool { return !isInRange(&v) })
	if len(*list) < before {
		*dropped = append(*dropped, name)
	}
}
