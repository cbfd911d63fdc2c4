package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// PlanLife is how long a plan waits for its confirmation.
const PlanLife = time.Hour

// maxPartBytes bounds a stored part of a plan, before base64.
const maxPartBytes = 600 << 10

// Plan is what an operator confirms.
type Plan struct {
	// ID is a hash of the base revision and of the wanted configuration.
	ID          string       `json:"id"`
	Base        Revision     `json:"base"`
	BasePlan    string       `json:"base_plan,omitempty"`
	Changes     []Change     `json:"changes"`
	Differences []Difference `json:"differences"`
	Cost        Cost         `json:"cost"`
	Conflicts   []string     `json:"conflicts,omitempty"`
	// Reassert writes the configuration in force whole as a new revision, over
	// the older one of a store that was restored.
	Reassert bool `json:"reassert,omitempty"`
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool { return len(p.Changes) == 0 && !p.Reassert }

// Summary tells in one line what the plan changes.
func (p *Plan) Summary() string {
	const shown = 3
	if p.Reassert {
		return "the configuration in force written again"
	}
	var parts []string
	for _, d := range p.Differences[:min(shown, len(p.Differences))] {
		parts = append(parts, d.String())
	}
	if more := len(p.Differences) - shown; more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, "; ")
}

// NewPlan works out what leads from base to a valid intent; running returns
// the requests that run on a target.
func NewPlan(base *Snapshot, to Intent, running func(target string) int) (Plan, error) {
	from, err := base.Intent()
	if err != nil {
		return Plan{}, err
	}
	segments, err := split(&to)
	if err != nil {
		return Plan{}, err
	}
	changes, err := base.changes(segments)
	if err != nil {
		return Plan{}, err
	}
	differences, err := compareChanged(base.segments, segments, changes)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{
		Base: base.Root.Revision, BasePlan: base.Root.PlanID, Changes: changes,
		Differences: differences, Cost: costOf(&from, &to, running), Conflicts: conflictsOf(&from, &to),
	}
	p.ID = p.hash()
	return p, nil
}

// compareChanged compares only the segments that changed, since there may be
// many workspaces.
func compareChanged(from, to map[string][]byte, changes []Change) ([]Difference, error) {
	names := map[string]bool{}
	for _, c := range changes {
		names[c.Segment] = true
	}
	old, err := intentOf(from, names)
	if err != nil {
		return nil, err
	}
	now, err := intentOf(to, names)
	if err != nil {
		return nil, err
	}
	return Compare(&old, &now), nil
}

// intentOf decodes some segments into an intent that lacks the others.
func intentOf(segments map[string][]byte, names map[string]bool) (Intent, error) {
	part := &Snapshot{segments: segments}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if raw, ok := segments[name]; ok {
			part.Index = append(part.Index, Ref{Name: name, Hash: hash(raw)})
		}
	}
	return part.Intent()
}

// NewReassertion returns the plan to write a configuration again.
func NewReassertion(base *Snapshot) Plan {
	p := Plan{Base: base.Root.Revision, BasePlan: base.Root.PlanID, Reassert: true}
	p.ID = p.hash()
	return p
}

// hash depends on the base and on every change, and on nothing else.
func (p *Plan) hash() string {
	return hash(mustJSON(struct {
		Base     Revision
		BasePlan string
		Changes  []Change
		Reassert bool
	}{p.Base, p.BasePlan, p.Changes, p.Reassert}))[:hashBytes]
}

// next returns the snapshot that the plan leads to.
func (p *Plan) next(base *Snapshot, operator string, at time.Time) (*Snapshot, error) {
	if p.hash() != p.ID {
		return nil, fmt.Errorf("read plan %s: it does not match its id", p.ID)
	}
	root := Root{
		Revision: p.Base + 1, PlanID: p.ID, Base: p.Base, BasePlan: p.BasePlan,
		Operator: operator, At: at.UTC(), Summary: p.Summary(),
	}
	if p.Reassert {
		return EmptySnapshot().next(root, base.segments), nil
	}
	return base.Apply(Delta{Changes: p.Changes, Root: root})
}

// planPart is one stored part of a plan.
type planPart struct {
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// SavePlan is the procedure that stores a plan for its confirmation at any
// instance, under a lease.
type SavePlan struct {
	calls []store.Call
	lease int64
	stage int
	tries int
	// Err says why the plan could not be stored; nil when it is.
	Err error
}

// NewSavePlan returns the procedure.
func NewSavePlan(p *Plan) *SavePlan {
	raw := mustJSON(p)
	var parts [][]byte
	for chunk := range slices.Chunk(raw, maxPartBytes) {
		parts = append(parts, chunk)
	}
	s := &SavePlan{calls: []store.Call{{Op: store.OpLeaseGrant, TTL: PlanLife}}}
	for i, data := range parts {
		s.calls = append(s.calls, store.Call{
			Op: store.OpCAS, Key: KeyPlan(p.ID, i), Value: mustJSON(planPart{Parts: len(parts), Data: data}),
		})
	}
	return s
}

// Next implements Procedure.
func (s *SavePlan) Next(r store.Reply) (store.Call, bool) {
	switch r.Status {
	case "":
	case store.StatusOK, store.StatusConflict:
		if s.stage == 0 {
			s.lease = r.Lease
		}
		s.stage++
		s.tries = 0
	default:
		if s.tries++; s.tries >= maxTries {
			s.Err = fmt.Errorf("store plan: %w", &StoreError{Status: r.Status})
			return store.Call{}, false
		}
	}
	if s.stage == len(s.calls) {
		return store.Call{}, false
	}
	call := s.calls[s.stage]
	call.Lease = s.lease
	return call, true
}

// LoadPlan is the procedure that reads a stored plan.
type LoadPlan struct {
	id    string
	data  []byte
	part  int
	parts int
	tries int
	// Plan is valid when Err is nil.
	Plan Plan
	Err  error
}

// NewLoadPlan returns the procedure.
func NewLoadPlan(id string) *LoadPlan { return &LoadPlan{id: id, parts: 1} }

// Next implements Procedure.
func (l *LoadPlan) Next(r store.Reply) (store.Call, bool) {
	switch r.Status {
	case "":
	case store.StatusOK:
		l.take(r)
	case store.StatusNotFound:
		l.Err = ErrNoPlan
	default:
		if l.tries++; l.tries >= maxTries {
			l.Err = fmt.Errorf("read plan %s: %w", l.id, &StoreError{Status: r.Status})
		}
	}
	if l.Err != nil || l.part == l.parts {
		return store.Call{}, false
	}
	return store.Call{Op: store.OpGet, Key: KeyPlan(l.id, l.part)}, true
}

func (l *LoadPlan) take(r store.Reply) {
	var part planPart
	if len(r.KVs) != 1 || json.Unmarshal(r.KVs[0].Value, &part) != nil || part.Parts < 1 {
		l.Err = fmt.Errorf("read plan %s: part %d is damaged", l.id, l.part)
		return
	}
	l.data = append(l.data, part.Data...)
	l.parts = part.Parts
	if l.part++; l.part < l.parts {
		return
	}
	if err := json.Unmarshal(l.data, &l.Plan); err != nil || l.Plan.ID != l.id {
		l.Err = fmt.Errorf("read plan %s: it is damaged", l.id)
	}
}
