// Package target holds the state that one entry instance has for each target: the
// last load report, this instance's attempts in flight there, the rates learnt from
// answers, and the target's health.
package target

import "time"

// Report is the load report of a target. It lags behind the target's actual state.
type Report struct {
	// Incarnation changes when the target restarts; its caches are then empty.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each report of an incarnation; older reports are
	// dropped.
	Sequence uint64 `json:"sequence"`
	// Age is the age of the values when the report was sent.
	Age time.Duration `json:"age,omitempty"`
	// Running and Queued count requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedPrefillTokens counts prompt tokens accepted and not yet prefilled.
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// QueuedByPriority splits QueuedPrefillTokens by the requests' priority;
	// empty if the target does not report it.
	QueuedByPriority []PriorityTokens `json:"queued_by_priority,omitempty"`
	// KV memory, in tokens.
	KVCapacityTokens int `json:"kv_capacity_tokens"`
	KVUsedTokens     int `json:"kv_used_tokens"`   // by running requests
	KVHeldTokens     int `json:"kv_held_tokens"`   // by reservations and exports
	KVCachedTokens   int `json:"kv_cached_tokens"` // evictable prefixes
	// Models lists the models loaded now.
	Models []string `json:"models,omitempty"`
	// Leaving reports that the target is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// PriorityTokens is the prefill work queued at one priority, in tokens.
type PriorityTokens struct {
	Priority int `json:"priority"`
	Tokens   int `json:"tokens"`
}
