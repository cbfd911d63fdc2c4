package configuration

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Names of segments. Pools have one each, workspaces are spread by a hash of
// their names, everything else is in the base segment.
const (
	segmentBase       = "base"
	segmentPool       = "pool/"
	segmentWorkspaces = "workspaces/"
	workspaceSegments = 256
)

// hashBytes is the length of the hashes that name content.
const hashBytes = 16

// Snapshot is one complete configuration: its root, the index and the bytes of
// all segments. It does not change once made; copies share segments.
type Snapshot struct {
	Root     Root
	Index    []Ref
	segments map[string][]byte
	// decoded keeps segments that Intent decoded, by hash; snapshots that
	// follow take over those that did not change.
	decoded map[string]segment
}

// segment is a decoded segment; one of the fields is set.
type segment struct {
	base       *Intent
	pool       *Pool
	workspaces []Workspace
}

// EmptySnapshot is the base of the first plan.
func EmptySnapshot() *Snapshot { return &Snapshot{segments: map[string][]byte{}} }

// NewSnapshot returns the snapshot of a configuration that is accepted already.
func NewSnapshot(acc Accepted) (*Snapshot, error) {
	segments, err := split(&acc.Intent)
	if err != nil {
		return nil, err
	}
	root := Root{Revision: acc.Revision, PlanID: acc.PlanID, Operator: acc.Operator, At: acc.At}
	return EmptySnapshot().next(root, segments), nil
}

// split returns the canonical segments of an intent by name.
func split(in *Intent) (map[string][]byte, error) {
	out := map[string][]byte{}
	base := *in
	base.Pools, base.Workspaces = nil, nil
	base.Models = sortedBy(in.Models, func(m Model) string { return m.Name })
	base.Routes = sortedBy(in.Routes, func(r Route) string { return r.Name })
	base.Drains.Targets = slices.Sorted(slices.Values(in.Drains.Targets))
	base.Drains.Instances = slices.Sorted(slices.Values(in.Drains.Instances))
	if err := put(out, segmentBase, base); err != nil {
		return nil, err
	}
	for _, p := range in.Pools {
		p.Targets = sortedBy(p.Targets, func(t Target) string { return t.Name })
		if err := put(out, segmentPool+p.Name, p); err != nil {
			return nil, err
		}
	}
	groups := map[string][]Workspace{}
	for _, w := range in.Workspaces {
		name := workspaceSegment(w.Name)
		groups[name] = append(groups[name], w)
	}
	for name, list := range groups {
		if err := put(out, name, sortedBy(list, func(w Workspace) string { return w.Name })); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func workspaceSegment(workspace string) string {
	return fmt.Sprintf("%s%02x", segmentWorkspaces, xxhash.Sum64String(workspace)%workspaceSegments)
}

func sortedBy[T any](list []T, name func(T) string) []T {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return out
}

func put(out map[string][]byte, name string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode segment %s: %w", name, err)
	}
	if len(raw) > store.MaxValueBytes {
		return fmt.Errorf("encode segment %s: %d bytes are more than the store holds in a value", name, len(raw))
	}
	out[name] = raw
	return nil
}

// next returns the snapshot of the segments as a successor of s: segments that
// did not change keep the plan that wrote them. root.Digest is filled in.
func (s *Snapshot) next(root Root, segments map[string][]byte) *Snapshot {
	old := map[string]Ref{}
	for _, r := range s.Index {
		old[r.Name] = r
	}
	out := &Snapshot{Root: root, segments: segments, Index: make([]Ref, 0, len(segments)), decoded: s.decoded}
	for name, raw := range segments {
		ref := Ref{Name: name, Hash: old[name].Hash, PlanID: old[name].PlanID}
		if !bytes.Equal(raw, s.segments[name]) || ref.Hash == "" {
			ref.Hash, ref.PlanID = hash(raw), root.PlanID
		}
		out.Index = append(out.Index, ref)
	}
	slices.SortFunc(out.Index, func(a, b Ref) int { return cmp.Compare(a.Name, b.Name) })
	out.Root.Digest = digest(out.Index)
	return out
}

// Intent returns the decoded configuration. Parts of it are shared with other
// results and must not be changed in place. It is not safe for concurrent use.
func (s *Snapshot) Intent() (Intent, error) {
	var in Intent
	var pools []Pool
	var workspaces []Workspace
	decoded := make(map[string]segment, len(s.Index))
	for _, ref := range s.Index {
		seg, ok := s.decoded[ref.Hash]
		if !ok {
			var err error
			if seg, err = decodeSegment(ref.Name, s.segments[ref.Name]); err != nil {
				return in, err
			}
		}
		decoded[ref.Hash] = seg
		switch {
		case seg.base != nil:
			in = *seg.base
		case seg.pool != nil:
			pools = append(pools, *seg.pool)
		default:
			workspaces = append(workspaces, seg.workspaces...)
		}
	}
	s.decoded = decoded
	in.Pools, in.Workspaces = pools, workspaces
	return in, nil
}

func decodeSegment(name string, raw []byte) (segment, error) {
	var seg segment
	var err error
	switch {
	case strings.HasPrefix(name, segmentPool):
		seg.pool = new(Pool)
		err = json.Unmarshal(raw, seg.pool)
	case strings.HasPrefix(name, segmentWorkspaces):
		err = json.Unmarshal(raw, &seg.workspaces)
	default:
		seg.base = new(Intent)
		err = json.Unmarshal(raw, seg.base)
	}
	if err != nil {
		return seg, fmt.Errorf("decode segment %s: %w", name, err)
	}
	return seg, nil
}

// Accepted returns the configuration in the form that entries adopt.
func (s *Snapshot) Accepted() (Accepted, error) {
	in, err := s.Intent()
	r := s.Root
	return Accepted{Revision: r.Revision, Intent: in, PlanID: r.PlanID, Operator: r.Operator, At: r.At}, err
}

// Segment returns the bytes of a segment, nil if there is none.
func (s *Snapshot) Segment(name string) []byte { return s.segments[name] }

// Missing returns the segments of an index that s does not hold.
func (s *Snapshot) Missing(index []Ref) []Ref {
	have := map[string]Ref{}
	for _, r := range s.Index {
		have[r.Name] = r
	}
	var out []Ref
	for _, r := range index {
		if have[r.Name].Hash != r.Hash {
			out = append(out, r)
		}
	}
	return out
}

// Assemble returns the snapshot of a root from its index, the segments that s
// holds and those that were fetched, by name. It checks every hash.
func (s *Snapshot) Assemble(root Root, index []Ref, fetched map[string][]byte) (*Snapshot, error) {
	if digest(index) != root.Digest {
		return nil, fmt.Errorf("assemble revision %d: index does not match its digest", root.Revision)
	}
	out := &Snapshot{Root: root, Index: index, segments: make(map[string][]byte, len(index)), decoded: s.decoded}
	for _, ref := range index {
		raw, ok := fetched[ref.Name]
		if !ok {
			raw, ok = s.segments[ref.Name]
		}
		if !ok || hash(raw) != ref.Hash {
			return nil, fmt.Errorf("assemble revision %d: segment %s does not match its hash", root.Revision, ref.Name)
		}
		out.segments[ref.Name] = raw
	}
	return out, nil
}

func hash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:hashBytes])
}

func digest(index []Ref) string { return hash(mustJSON(index)) }

// mustJSON encodes plain data of this package, which can't fail.
func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return raw
}
