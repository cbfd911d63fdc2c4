package main

// Keys of the one tenant. Version 8 of the configuration withdraws the second one.
const (
	lastingKey   = "n2ctnfzs989anu6wsjnb"
	withdrawnKey = "anfqasnmgkcuyj8pjbvk"
)

// newConfig returns a configuration of two services: one with engines, one without.
func newConfig(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			newRoute("draft", "/draft/", "stream", "pool", 10000, 300, 250),
			newRoute("dossier", "/dossier/", "stream", "pool", 15000, 3000, 1000),
			newRoute("book", "/book/", "non_idempotent", "app", 2000, 300, 0),
			newRoute("look", "/look/", "idempotent", "app", 2000, 300, 0),
		},
		"services": []any{
			map[string]any{"name": "pool", "health-path": "/health", "max-conns": 424, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, names["kvTokens"]: engineMemory, "kv-token-bytes": 327680, "link-mbps": 400000.0, "stride": engineStride,
				"models": []any{map[string]any{"name": "m"}}, "step_ms": stepMS, "per_seq_ms": perSeqMS, "context_per_k": contextPerKMS,
				names["readPerS"]: 1000 * readPerMS, "pairs_per_m": pairsPerMMS, "chunk": engineChunk, "report_lag_ms": 200.0, "loads-per-s": 0.0,
				"loads_at_once": 8, "delays": []any{}, "usual": map[string]any{"prompt": 12328, "answer": 1303}, "hop-ms": 0.075,
			}},
			map[string]any{"name": "app", "health-path": "/health", "max-conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", names["apiKeys"]: keys, "priority": 1}},
	}
}

func newRoute(name, prefix, kind, service string, timeoutMS, latencyMS, gapMS int) map[string]any {
	route := map[string]any{
		"name": name, "host": "h.example", "prefix": prefix, "kind": kind, "timeout-ms": timeoutMS, names["targetLatencyMs"]: latencyMS,
		"priority": 1, "service": service, names["maxAttempts"]: 2, "no-auth": false,
	}
	if kind == "non_idempotent" {
		route[names["maxAttempts"]] = 1
	}
	if kind == "stream" {
		route["sticky"], route["resumable"], route[names["gapTargetMs"]] = true, true, gapMS
	}
	return route
}
