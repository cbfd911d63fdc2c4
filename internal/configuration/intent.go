// Package configuration validates operators' intent, computes what a plan would
// change, stores and confirms plans, and decides which revision an entry
// instance adopts. Revisions only increase.
package configuration

import "time"

// SchemaVersion is the version of the JSON form of Intent.
const SchemaVersion = 1

// Intent is the configuration that operators want in force at every instance.
type Intent struct {
	Version    int         `json:"version"`
	Models     []Model     `json:"models"`
	Pools      []Pool      `json:"pools"`
	Workspaces []Workspace `json:"workspaces"`
	Routes     []Route     `json:"routes"`
	Serving    Serving     `json:"serving"`
	Drains     Drains      `json:"drains"`
	Weights    Weights     `json:"weights,omitzero"`
}

// Weights describes the weight store that engines load models from.
type Weights struct {
	// BytesPerSecond is the rate at which the store serves one failure domain;
	// zero means unknown.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty"`
}

// Model is a model that engines can load.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// ContextTokens is the maximum length of prompt plus answer, in tokens.
	ContextTokens int `json:"context_tokens"`
	// WeightBytes is the size in the weight store, which is the cost of one
	// load.
	WeightBytes int64 `json:"weight_bytes"`
	// KVBytesPerToken is the engine memory that one token takes, in bytes.
	KVBytesPerToken int64 `json:"kv_bytes_per_token"`
}

// PoolKind distinguishes engines from plain services.
type PoolKind string

// Kinds of pool.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool is a group of targets of one kind.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// Models are the models that every engine of the pool should serve.
	Models  []string `json:"models,omitempty"`
	Targets []Target `json:"targets"`
	// Fencing states that the engines refuse orders with an outdated number.
	Fencing bool `json:"fencing,omitempty"`
	// AuthenticatedOrders states that the engines authenticate who gives an
	// order.
	AuthenticatedOrders bool `json:"authenticated_orders,omitempty"`
}

// Target is one engine or one instance of a plain service.
type Target struct {
	Name          string `json:"name"`
	Address       string `json:"address"` // host:port
	FailureDomain string `json:"failure_domain"`
	// Models overrides the pool's models for this target when not empty.
	Models []string `json:"models,omitempty"`
}

// Workspace is one customer.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes are hex SHA-256 hashes of the workspace's keys.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the share of the workspace in fair queueing; zero means 1.
	Weight float64 `json:"weight,omitempty"`
	// Models are the models that the workspace may use; empty allows all.
	Models []string `json:"models,omitempty"`
	// TokensPerSecond limits the predicted cost in tokens per second, summed
	// over all entry instances; zero means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// BurstTokens is the bucket size of that limit; zero means ten seconds of
	// TokensPerSecond.
	BurstTokens float64 `json:"burst_tokens,omitempty"`
}

// Idempotency states whether calls on a route may be sent again.
type Idempotency string

// Values of Idempotency.
const (
	IdempotencyByMethod Idempotency = "by-method" // the default: always for the idempotent methods of RFC 9110, else never
	IdempotencyAlways   Idempotency = "always"    // a call may be sent again even if it may have run
	IdempotencyNever    Idempotency = "never"     // a call that may have run is not sent again
)

// Route maps a path prefix to a pool of plain services.
type Route struct {
	Name        string      `json:"name"`
	Prefix      string      `json:"prefix"`
	Pool        string      `json:"pool"`
	Idempotency Idempotency `json:"idempotency,omitempty"`
	Identity    Identity    `json:"identity,omitzero"`
	// LimitMS is the time limit of a call; zero takes Serving.ServiceLimitMS.
	LimitMS int `json:"limit_ms,omitempty"`
}

// Identity states how a resend of a non-idempotent call is recognized if it has
// no Idempotency-Key header. The first configured identity that the call
// carries is used; a call that carries none is treated as a new call.
type Identity struct {
	Header    string `json:"header,omitempty"`
	BodyField string `json:"body_field,omitempty"` // top-level field of a JSON body
	// FingerprintWindowS treats calls with the same caller and body as one if
	// they arrive within so many seconds.
	FingerprintWindowS int `json:"fingerprint_window_s,omitempty"`
	// KeepS is how long the record of a call is kept, in seconds; zero means a
	// day.
	KeepS int `json:"keep_s,omitempty"`
}

// RoutingPolicy selects how targets are chosen.
type RoutingPolicy string

// Routing policies. PolicyRoundRobin and PolicyLeastOutstanding are baselines.
const (
	PolicyMedlardeck       RoutingPolicy = "medlardeck"
	PolicyRoundRobin       RoutingPolicy = "round-robin"
	PolicyLeastOutstanding RoutingPolicy = "least-outstanding"
)

// Measure is the latency measure that operators give more weight.
type Measure string

// Measures.
const (
	MeasureFirstToken    Measure = "first-token"
	MeasureShortSlowdown Measure = "short-slowdown"
)

// Serving holds limits and policies that apply to all workspaces.
type Serving struct {
	Policy  RoutingPolicy `json:"policy,omitempty"`
	Measure Measure       `json:"measure,omitempty"`
	// LimitsMS are the time limits by length class, in milliseconds; zero takes
	// the default.
	LimitsMS       ClassValues `json:"limits_ms,omitzero"`
	ServiceLimitMS int         `json:"service_limit_ms,omitempty"`
	// Priorities are the engine priorities by length class; higher goes first,
	// and zero takes the default.
	Priorities ClassValues `json:"priorities,omitzero"`
}

// ClassValues holds one number for each length class.
type ClassValues struct {
	Short  int `json:"short,omitempty"`  // up to 4k tokens
	Medium int `json:"medium,omitempty"` // up to 32k
	Long   int `json:"long,omitempty"`   // up to 100k
	Huge   int `json:"huge,omitempty"`   // beyond
}

// Drains lists the targets and entry instances that get no new work.
type Drains struct {
	Targets   []string `json:"targets,omitempty"`
	Instances []string `json:"instances,omitempty"`
}

// Revision numbers the accepted configurations in increasing order.
type Revision int64

// Accepted is one accepted configuration.
type Accepted struct {
	Revision Revision  `json:"revision"`
	Intent   Intent    `json:"intent"`
	PlanID   string    `json:"plan_id"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}
