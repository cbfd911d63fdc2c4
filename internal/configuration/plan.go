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

// PlanTTL is how long a stored plan can be confirmed.
const PlanTTL = time.Hour

// maxPlanPartBytes bounds a stored part of a plan, before base64 encoding.
const maxPlanPartBytes = 600 << 10

// Plan is a change of the configuration that an operator can confirm.
type Plan struct {
	// ID is a hash of the base and of all changes.
	ID          string       `json:"id"`
	Base        Revision     `json:"base"`
	BasePlan    string       `json:"base_plan,omitempty"`
	Changes     []Change     `json:"changes"`
	Differences []Difference `json:"differences"`
	Cost        Cost         `json:"cost"`
	Conflicts   []string     `json:"conflicts,omitempty"`
	// Reassert writes the whole configuration in force as a new revision, over
	// the older one of a store that was restored.
	Reassert bool `json:"reassert,omitempty"`
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool { return len(p.Changes) == 0 && !p.Reassert }

// Summary describes the changes in one line.
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

// NewPlan computes the changes from base to a valid intent. running returns the
// number of requests that run on a target.
func NewPlan(base *Snapshot, to Intent, running func(target string) int) (Plan, error) {
	from, err := base.Intent()
	if err != nil {
		return Plan{}, err
	}
	segments, err := encodeSegments(&to)
	if err != nil {
		return Plan{}, err
	}
	changes, err := base.changesTo(segments)
	if err != nil {
		return Plan{}, err
	}
	differences, err := compareChanged(base.segments, segments, changes)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{
		Base: base.Root.Revision, BasePlan: base.Root.PlanID, Changes: changes,
		Differences: differences, Cost: computeCost(&from, &to, running), Conflicts: findConflicts(&from, &to),
	}
	p.ID = p.computeID()
	return p, nil
}

// compareChanged compares only the segments that changed, because a
// configuration may hold many workspaces.
func compareChanged(from, to map[string][]byte, changes []Change) ([]Difference, error) {
	names := map[string]bool{}
	for _, c := range changes {
		names[c.Segment] = true
	}
	old, err := decodeSegments(from, names)
	if err != nil {
		return nil, err
	}
	now, err := decodeSegments(to, names)
	if err != nil {
		return nil, err
	}
	return Compare(&old, &now), nil
}

// decodeSegments decodes the named segments into an intent that lacks the
// others.
func decodeSegments(segments map[string][]byte, names map[string]bool) (Intent, error) {
	part := &Snapshot{segments: segments}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if raw, ok := segments[name]; ok {
			part.Index = append(part.Index, Ref{Name: name, Hash: contentHash(raw)})
		}
	}
	return part.Intent()
}

// NewReassertion returns the plan that writes a configuration again as a new
// revision.
func NewReassertion(base *Snapshot) Plan {
	p := Plan{Base: base.Root.Revision, BasePlan: base.Root.PlanID, Reassert: true}
	p.ID = p.computeID()
	return p
}

// computeID hashes the base and every change, and nothing else.
func (p *Plan) computeID() string {
	return contentHash(mustJSON(struct {
		Base     Revision
		BasePlan string
		Changes  []Change
		Reassert bool
	}{p.Base, p.BasePlan, p.Changes, p.Reassert}))[:hashBytes]
}

// buildSnapshot returns the snapshot that results from the plan. It fails if
// the content of the plan does not match its ID.
func (p *Plan) buildSnapshot(base *Snapshot, operator string, at time.Time) (*Snapshot, error) {
	if p.computeID() != p.ID {
		return nil, fmt.Errorf("read plan %s: content does not match the id", p.ID)
	}
	root := Root{
		Revision: p.Base + 1, PlanID: p.ID, Base: p.Base, BasePlan: p.BasePlan,
		Operator: operator, At: at.UTC(), Summary: p.Summary(),
	}
	if p.Reassert {
		return EmptySnapshot().successor(root, base.segments), nil
	}
	return base.Apply(Delta{Changes: p.Changes, Root: root})
}

// planPart is one stored part of an encoded plan.
type planPart struct {
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// SavePlan is the procedure that stores a plan under a lease, so that it can be
// confirmed at any instance until the lease expires.
type SavePlan struct {
	calls    []store.Call
	lease    int64
	nextCall int
	attempts int
	// Err is the reason why the plan could not be stored; nil on success.
	Err error
}

// NewSavePlan returns the procedure.
func NewSavePlan(p *Plan) *SavePlan {
	raw := mustJSON(p)
	var parts [][]byte
	for chunk := range slices.Chunk(raw, maxPlanPartBytes) {
		parts = append(parts, chunk)
	}
	s := &SavePlan{calls: []store.Call{{Op: store.OpLeaseGrant, TTL: PlanTTL}}}
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
		if s.nextCall == 0 {
			s.lease = r.Lease
		}
		s.nextCall++
		s.attempts = 0
	default:
		if s.attempts++; s.attempts >= maxAttempts {
			s.Err = fmt.Errorf("store plan: %w", &StoreError{Status: r.Status})
			return store.Call{}, false
		}
	}
	if s.nextCall == len(s.calls) {
		return store.Call{}, false
	}
	call := s.calls[s.nextCall]
	call.Lease = s.lease
	return call, true
}

// LoadPlan is the procedure that reads a stored plan.
type LoadPlan struct {
	id        string
	data      []byte
	nextPart  int
	partCount int
	attempts  int
	// Plan is valid when Err is nil.
	Plan Plan
	Err  error
}

// NewLoadPlan returns the procedure.
func NewLoadPlan(id string) *LoadPlan { return &LoadPlan{id: id, partCount: 1} }

// Next implements Procedure.
func (l *LoadPlan) Next(r store.Reply) (store.Call, bool) {
	switch r.Status {
	case "":
	case store.StatusOK:
		l.addPart(r)
	case store.StatusNotFound:
		l.Err = ErrNoPlan
	default:
		if l.attempts++; l.attempts >= maxAttempts {
			l.Err = fmt.Errorf("read plan %s: %w", l.id, &StoreError{Status: r.Status})
		}
	}
	if l.Err != nil || l.nextPart == l.partCount {
		return store.Call{}, false
	}
	return store.Call{Op: store.OpGet, Key: KeyPlan(l.id, l.nextPart)}, true
}

// addPart appends a stored part, and decodes the plan after the last one.
func (l *LoadPlan) addPart(r store.Reply) {
	var part planPart
	if len(r.KVs) != 1 || json.Unmarshal(r.KVs[0].Value, &part) != nil || part.Parts < 1 {
		l.Err = fmt.Errorf("read plan %s: part %d is damaged", l.id, l.nextPart)
		return
	}
	l.data = append(l.data, part.Data...)
	l.partCount = part.Parts
	if l.nextPart++; l.nextPart < l.partCount {
		return
	}
	if err := json.Unmarshal(l.data, &l.Plan); err != nil || l.Plan.ID != l.id {
		l.Err = fmt.Errorf("read plan %s: stored plan is damaged", l.id)
	}
}
