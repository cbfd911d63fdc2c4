// Package fleet makes the routing decisions of one entry instance: which target
// serves an attempt, which failures are retried, and when a request is refused.
// It does no I/O and reads no clock: Step takes the time and an event and returns
// the effects to carry out.
package fleet

import (
	"strings"
	"time"
)

// Kind says which requests of a route may run more than once.
type Kind uint8

// Kinds of routes.
const (
	// KindNonIdempotent requests run at most once per arrival.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered by a stream of events.
	KindStream
)

// Backend is one service behind a route and its share of the route's requests.
type Backend struct {
	Service string
	// Weight is relative to the other backends of the route; a backend of weight 0
	// gets no requests.
	Weight int
}

// Route matches requests by host and path prefix and says which services handle
// them, with which limits.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds the whole request; zero leaves only the caller's deadline.
	Timeout time.Duration
	// TargetLatency is the latency objective: the time to the first event of a
	// stream, or to the whole answer of any other request.
	TargetLatency time.Duration
	// MaxEventGap is the objective for the longest pause between events.
	MaxEventGap time.Duration
	// CallerTimeout is how long callers of a stream wait for the first event, and
	// between events, before they disconnect; zero if only their deadline counts.
	CallerTimeout time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority    int
	Backends    []Backend
	MaxAttempts int
	// Anonymous routes accept requests without an API key.
	Anonymous bool
	// Resumable streams may continue at another target after the last event.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once: it is
// idempotent, or a stream that can be resumed.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Engine is the performance model of a service's inference engines.
type Engine struct {
	// Slots is the number of requests that an engine processes concurrently.
	Slots int
	// MemoryTokens is the capacity of the KV cache in tokens.
	MemoryTokens int
	// StepsPerPass is the number of decoding steps in one pass while any request decodes.
	// Decoding requests get one event for each pass.
	StepsPerPass int
	// The time of one step is StepMS, plus PerSequenceMS for each decoding request,
	// plus ContextMSPerK for each 1,000 tokens of its context, in milliseconds.
	StepMS, PerSequenceMS, ContextMSPerK float64
	// PrefillPerMS is the number of prompt tokens prefilled in a millisecond,
	// without the cost of attention.
	PrefillPerMS float64
	// PairsMSPerM is the prefill time in milliseconds for the attention of a
	// million pairs of a token and an earlier one.
	PairsMSPerM float64
	// PrefillChunkTokens is the largest number of prompt tokens prefilled in one step.
	PrefillChunkTokens int
	// SplitStepMS is added to each decoding step of a request whose prompt is split
	// across several engines.
	SplitStepMS float64
	// MeanPromptTokens and MeanAnswerTokens are the mean numbers of tokens of the requests'
	// prompts and answers.
	MeanPromptTokens, MeanAnswerTokens int
}

// Service is a pool of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Engine     *Engine // nil if the targets are not inference engines
	// ColdTime is how long a target is cold after its start, ColdPerSecond the requests a
	// second that a cold target can handle from all instances together; zero for no limit.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// Limits bound the size of requests and the time that callers may take to send
// them.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Workspace is one customer, identified by its API keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int // overrides the route's priority unless nil
}

// Config is one version of the operators' configuration. It is not changed once its indexes
// are built.
type Config struct {
	Version    uint64
	Routes     []*Route
	Services   map[string]*Service
	Workspaces []*Workspace
	// ListsWorkspaces says that the configuration has a list of workspaces, which may be
	// empty.
	ListsWorkspaces bool
	Limits          Limits

	routes          *index[*Route]     // by routeKey
	workspaces      *index[*Workspace] // by API key
	maxPrefixLength int                // no prefix of a route is longer
	// duplicates says that several routes or workspaces have the same key in an index.
	duplicates bool
}

// BuildIndexes builds the indexes that Match and Authenticate use; call it once before
// the configuration is used.
func (c *Config) BuildIndexes() { c.BuildIndexesFrom(nil, func() {}) }

// BuildIndexesFrom is BuildIndexes for a configuration that shares routes and workspaces
// with base, another version. The work grows with what differs between the two. It calls
// pause often, so that long work can be interrupted.
func (c *Config) BuildIndexesFrom(base *Config, pause func()) {
	if base == nil || base.duplicates {
		base = &Config{}
	}
	c.buildIndexes(base, pause)
	if c.duplicates { // which of them counts depends on the order of all
		c.buildIndexes(&Config{}, pause)
	}
}

func (c *Config) buildIndexes(base *Config, pause func()) {
	c.duplicates, c.maxPrefixLength = false, base.maxPrefixLength
	c.indexRoutes(base, pause)
	c.indexWorkspaces(base, pause)
}

// indexRoutes builds the index of the routes. Of several with the same host and prefix the
// first one counts.
func (c *Config) indexRoutes(base *Config, pause func()) {
	b := newIndexBuilder(base.routes)
	same, sameEnd := commonEnds(base.Routes, c.Routes, pause)
	for _, r := range base.Routes[same : len(base.Routes)-sameEnd] {
		pause()
		delete(b.shard(r.key()), r.key())
	}
	for _, r := range c.Routes[same : len(c.Routes)-sameEnd] {
		pause()
		c.maxPrefixLength = max(c.maxPrefixLength, len(r.Prefix))
		shard := b.shard(r.key())
		if _, ok := shard[r.key()]; ok {
			c.duplicates = true
			continue
		}
		shard[r.key()] = r
	}
	c.routes = b.index
}

// indexWorkspaces builds the index of the API keys. Of several workspaces with the same key
// the last one counts.
func (c *Config) indexWorkspaces(base *Config, pause func()) {
	b := newIndexBuilder(base.workspaces)
	same, sameEnd := commonEnds(base.Workspaces, c.Workspaces, pause)
	for _, w := range base.Workspaces[same : len(base.Workspaces)-sameEnd] {
		for _, key := range w.Keys {
			pause()
			delete(b.shard(key), key)
		}
	}
	for _, w := range c.Workspaces[same : len(c.Workspaces)-sameEnd] {
		for _, key := range w.Keys {
			pause()
			shard := b.shard(key)
			if _, ok := shard[key]; ok {
				c.duplicates = true
			}
			shard[key] = w
		}
	}
	c.workspaces = b.index
}

// routeKey identifies the routes that match the same requests.
func routeKey(host, prefix string) string { return host + "\x00" + prefix }

func (r *Route) key() string { return routeKey(r.Host, r.Prefix) }

// Match returns the route of the host with the longest matching prefix of the
// path, or nil if none matches.
func (c *Config) Match(host, path string) *Route {
	path = path[:min(len(path), c.maxPrefixLength)]
	key := routeKey(host, path)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := c.routes.get(key[:len(key)-len(path)+end+1]); ok {
			return r
		}
	}
	return nil
}

// version returns the route that has the host and the prefix of r in this configuration, or
// nil if there is none.
func (c *Config) version(r *Route) *Route {
	v, _ := c.routes.get(r.key())
	return v
}

// Authenticate returns the workspace that the API key belongs to, or nil. An empty key
// belongs to none, whatever the workspaces list.
func (c *Config) Authenticate(key string) *Workspace {
	if key == "" {
		return nil
	}
	w, _ := c.workspaces.get(key)
	return w
}

// RequiresKeys reports whether the configuration requires API keys. If its list of
// workspaces is empty, no key is held.
func (c *Config) RequiresKeys() bool { return c.ListsWorkspaces || len(c.Workspaces) > 0 }
