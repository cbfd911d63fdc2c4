package routing

import (
	"slices"

	"github.com/medlardeck/medlardeck/internal/target"
)

// eligible reports whether the target may run the attempt: it is usable, this
// request has not tried it before, and its memory is large enough.
func eligible(need *Requirements, tg *target.Target) bool {
	return tg.Usable() && !slices.Contains(need.Tried, tg.Name) && fitsMemory(need, tg)
}

// fitsMemory reports whether the target's total KV memory holds the attempt. An
// unknown capacity counts as large enough.
func fitsMemory(need *Requirements, tg *target.Target) bool {
	capacity := tg.Report.KVCapacityTokens
	return capacity == 0 || need.MemoryTokens() <= capacity
}
