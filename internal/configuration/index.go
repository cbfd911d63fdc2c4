package configuration

import (
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/request"
)

// Default time limits by length class and for services.
const (
	DefaultShortLimit   = 30 * time.Second
	DefaultMediumLimit  = 60 * time.Second
	DefaultLongLimit    = 180 * time.Second
	DefaultHugeLimit    = 900 * time.Second
	DefaultServiceLimit = 10 * time.Second
)

// Index finds the parts of an intent; models, workspaces, routes and keys are
// found by name or hash without a scan. The zero value finds nothing.
type Index struct {
	intent              *Intent
	models              map[string]*Model
	workspaces          map[string]*Workspace
	routes              map[string]*Route
	workspacesByKeyHash map[string]string
}

// NewIndex indexes an intent, which must not be modified afterwards.
func NewIndex(in *Intent) Index {
	x := Index{
		intent: in, models: map[string]*Model{}, workspaces: map[string]*Workspace{},
		routes: map[string]*Route{}, workspacesByKeyHash: map[string]string{},
	}
	for i := range in.Models {
		x.models[in.Models[i].Name] = &in.Models[i]
	}
	for i := range in.Workspaces {
		ws := &in.Workspaces[i]
		x.workspaces[ws.Name] = ws
		for _, h := range ws.KeyHashes {
			x.workspacesByKeyHash[h] = ws.Name
		}
	}
	for i := range in.Routes {
		x.routes[in.Routes[i].Name] = &in.Routes[i]
	}
	return x
}

// Model returns the model of that name, nil if there is none.
func (x Index) Model(name string) *Model { return x.models[name] }

// Models returns all models in the order of the intent.
func (x Index) Models() []Model {
	if x.intent == nil {
		return nil
	}
	return x.intent.Models
}

// Workspace returns the workspace of that name, nil if there is none.
func (x Index) Workspace(name string) *Workspace { return x.workspaces[name] }

// Route returns the route of that name, nil if there is none.
func (x Index) Route(name string) *Route { return x.routes[name] }

// WorkspaceOfKey returns the workspace whose key has this hex SHA-256 hash,
// empty if there is none. A look-up by hash leaks no timing information about
// the key itself.
func (x Index) WorkspaceOfKey(hash string) string { return x.workspacesByKeyHash[hash] }

// RouteOfPath returns the route with the longest prefix that matches the path, nil
// if there is none. A prefix matches whole path segments: /v1 does not match /v1x.
func (x Index) RouteOfPath(path string) *Route {
	if x.intent == nil {
		return nil
	}
	var best *Route
	for i := range x.intent.Routes {
		r := &x.intent.Routes[i]
		if r.Matches(path) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Limit returns the time limit of a length class, the default if none is set.
func (x Index) Limit(c request.Class) time.Duration {
	defaults := [...]time.Duration{DefaultShortLimit, DefaultMediumLimit, DefaultLongLimit, DefaultHugeLimit}
	if x.intent == nil {
		return defaults[c]
	}
	if ms := x.intent.Serving.LimitsMS.ForClass(c); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaults[c]
}

// ServiceLimit returns the time limit of service calls on routes without a
// limit of their own.
func (x Index) ServiceLimit() time.Duration {
	if x.intent != nil && x.intent.Serving.ServiceLimitMS > 0 {
		return time.Duration(x.intent.Serving.ServiceLimitMS) * time.Millisecond
	}
	return DefaultServiceLimit
}

// Priority returns the engine priority of a length class. By default shorter
// classes have higher priorities.
func (x Index) Priority(c request.Class) int {
	if x.intent != nil {
		if p := x.intent.Serving.Priorities.ForClass(c); p != 0 {
			return p
		}
	}
	return request.NumClasses - int(c)
}

// ForClass returns the value of a length class.
func (v ClassValues) ForClass(c request.Class) int {
	return [...]int{v.Short, v.Medium, v.Long, v.Huge}[c]
}

// Allows reports whether the workspace may use a model.
func (w *Workspace) Allows(model string) bool {
	return len(w.Models) == 0 || slices.Contains(w.Models, model)
}
