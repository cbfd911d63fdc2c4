// Package fleet decides how one entry instance serves a platform's routes: which
// target runs an attempt, what is tried again, and when a request is refused.
// It is pure: Step takes a time and an event and returns effects.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
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

// Backend is one service behind a route with its share of the requests.
type Backend struct {
	Service string
	// Weight is relative to the other backends of the route; 0 gets nothing.
	Weight int
}

// Route is one rule of the configuration: which requests go where, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds the whole request; zero means that only the caller does.
	Timeout time.Duration
	// TargetLatency is the time to the first event, or to a plain answer, that
	// callers are content with.
	TargetLatency time.Duration
	// MaxPause is the longest pause between events that callers are content with.
	MaxPause time.Duration
	// CallerPatience is how long callers of a stream wait for the first event, and
	// between events, before they leave; zero when only their deadline counts.
	CallerPatience time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority    int
	Backends    []Backend
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another target behind the last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Engine describes the timing and memory of a service's model engines.
type Engine struct {
	// Slots is the number of requests processed at once.
	Slots int
	// MemoryTokens is the KV memory in tokens.
	MemoryTokens int
	// Stride is the number of decoding steps in a pass that has writers.
	Stride int
	// StepMS, PerSequenceMS and ContextMSPerK make up the time of one step: the
	// base, for each writing request, and for each 1,000 tokens of its context.
	StepMS, PerSequenceMS, ContextMSPerK float64
	// PrefillPerMS is the number of prompt tokens read in a millisecond.
	PrefillPerMS float64
	// PairsMSPerM is the time for a million pairs of a token and an earlier one.
	PairsMSPerM float64
	// Chunk is the largest number of prompt tokens read in one step.
	Chunk int
	// HopMS is added to each step of a request whose prompt lies on several
	// engines.
	HopMS float64
	// UsualPrompt and UsualAnswer are mean token counts of the requests.
	UsualPrompt, UsualAnswer int
}

// Service is a pool of targets of one kind.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Engine     *Engine // nil for a plain service
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Workspace is one customer, identified by its keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int // overrides that of the route; nil for none
}

// Config is one version of the operators' configuration.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   map[string]*Service
	Workspaces []Workspace
	Limits     Limits

	byHost map[string][]*Route
	byKey  map[string]*Workspace
}

// Index prepares the look-ups; call it once before the configuration is used.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.byKey = make(map[string]*Workspace)
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.byKey[key] = &c.Workspaces[i]
		}
	}
}

// Match returns the route of the host with the longest prefix of the path, or
// nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Authenticate returns the workspace that holds the key, or nil.
func (c *Config) Authenticate(key string) *Workspace { return c.byKey[key] }

// Authenticates reports whether requests of the configuration carry keys.
func (c *Config) Authenticates() bool { return len(c.Workspaces) > 0 }
