package booking

import "github.com/medlardeck/medlardeck/internal/store"

// ShardReasons returns the reason labels of CounterShards except those of seals:
// failed reads and writes, owners that did not process an operation, and
// dropped settlements and segments.
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
