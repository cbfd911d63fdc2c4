package booking

import "github.com/medlardeck/medlardeck/internal/store"

// ShardReasons returns the reasons of CounterShards besides the statuses of
// seals: faults of loads and writes, owners that did not answer, and what was
// dropped.
func ShardReasons() []string {
	reasons := []string{
		"settlement-dropped", "segments-dropped", "head-faulty", "segment-missing", "store-went-back",
		"owner-silent", "owner-unknown", "owner-unreachable", "owner-without-store",
	}
	for _, s := range store.Statuses() {
		reasons = append(reasons, "write-"+string(s), "load-"+string(s))
	}
	return reasons
}
