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

// Names of segments. Each pool has its own segment, workspaces are distributed
// over numWorkspaceSegments segments by a hash of their names, and everything
// else is in the base segment.
const (
	segmentBase          = "base"
	segmentPool          = "pool/"
	segmentWorkspaces    = "workspaces/"
	numWorkspaceSegments = 256
)

// hashBytes is the length of content hashes in bytes. Plan IDs have as many hex
// digits.
const hashBytes = 16

// Snapshot is one complete configuration: its root, its index and its encoded
// segments. These do not change once set; snapshots share segments.
type Snapshot struct {
	Root     Root
	Index    []Ref
	segments map[string][]byte
	// decoded caches the segments that Intent decoded, by hash. Successors
	// reuse those that did not change.
	decoded map[string]decodedSegment
}

// decodedSegment is the content of one segment; one of the fields is set.
type decodedSegment struct {
	base       *Intent
	pool       *Pool
	workspaces []Workspace
}

// EmptySnapshot returns the snapshot that is the base of the first plan.
func EmptySnapshot() *Snapshot { return &Snapshot{segments: map[string][]byte{}} }

// NewSnapshot returns the snapshot of a configuration that is already accepted.
func NewSnapshot(acc Accepted) (*Snapshot, error) {
	segments, err := encodeSegments(&acc.Intent)
	if err != nil {
		return nil, err
	}
	root := Root{Revision: acc.Revision, PlanID: acc.PlanID, Operator: acc.Operator, At: acc.At}
	return EmptySnapshot().successor(root, segments), nil
}

// encodeSegments returns the canonical segments of an intent, by name.
func encodeSegments(in *Intent) (map[string][]byte, error) {
	out := map[string][]byte{}
	base := *in
	base.Pools, base.Workspaces = nil, nil
	base.Models = sortedBy(in.Models, func(m Model) string { return m.Name })
	base.Routes = sortedBy(in.Routes, func(r Route) string { return r.Name })
	base.Drains.Targets = slices.Sorted(slices.Values(in.Drains.Targets))
	base.Drains.Instances = slices.Sorted(slices.Values(in.Drains.Instances))
	if err := addSegment(out, segmentBase, base); err != nil {
		return nil, err
	}
	for _, p := range in.Pools {
		p.Targets = sortedBy(p.Targets, func(t Target) string { return t.Name })
		if err := addSegment(out, segmentPool+p.Name, p); err != nil {
			return nil, err
		}
	}
	groups := map[string][]Workspace{}
	for _, w := range in.Workspaces {
		name := workspaceSegmentName(w.Name)
		groups[name] = append(groups[name], w)
	}
	for name, list := range groups {
		if err := addSegment(out, name, sortedBy(list, func(w Workspace) string { return w.Name })); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func workspaceSegmentName(workspace string) string {
	return fmt.Sprintf("%s%02x", segmentWorkspaces, xxhash.Sum64String(workspace)%numWorkspaceSegments)
}

func sortedBy[T any](list []T, name func(T) string) []T {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return out
}

// addSegment encodes a segment. It fails if the segment exceeds the size limit
// of values in the store.
func addSegment(out map[string][]byte, name string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode segment %s: %w", name, err)
	}
	if len(raw) > store.MaxValueBytes {
		return fmt.Errorf("encode segment %s: %d bytes exceed the size limit of a store value", name, len(raw))
	}
	out[name] = raw
	return nil
}

// successor returns the snapshot that follows s, with the given root and segments. A
// segment equal to that in s keeps its hash and plan id; the others get the plan id of
// the root. It computes the digest of the root.
func (s *Snapshot) successor(root Root, segments map[string][]byte) *Snapshot {
	old := map[string]Ref{}
	for _, r := range s.Index {
		old[r.Name] = r
	}
	out := &Snapshot{Root: root, segments: segments, Index: make([]Ref, 0, len(segments)), decoded: s.decoded}
	for name, raw := range segments {
		ref := Ref{Name: name, Hash: old[name].Hash, PlanID: old[name].PlanID}
		if !bytes.Equal(raw, s.segments[name]) || ref.Hash == "" {
			ref.Hash, ref.PlanID = contentHash(raw), root.PlanID
		}
		out.Index = append(out.Index, ref)
	}
	slices.SortFunc(out.Index, func(a, b Ref) int { return cmp.Compare(a.Name, b.Name) })
	out.Root.Digest = indexDigest(out.Index)
	return out
}

// Intent returns the decoded configuration. It shares parts with other results
// and must not be modified in place. Intent is not safe for concurrent use.
func (s *Snapshot) Intent() (Intent, error) {
	var in Intent
	var pools []Pool
	var workspaces []Workspace
	decoded := make(map[string]decodedSegment, len(s.Index))
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

func decodeSegment(name string, raw []byte) (decodedSegment, error) {
	var seg decodedSegment
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

// Accepted returns the configuration in the form that entry instances adopt.
func (s *Snapshot) Accepted() (Accepted, error) {
	in, err := s.Intent()
	r := s.Root
	return Accepted{Revision: r.Revision, Intent: in, PlanID: r.PlanID, Operator: r.Operator, At: r.At}, err
}

// Segment returns the encoded segment of that name, nil if there is none.
func (s *Snapshot) Segment(name string) []byte { return s.segments[name] }

// MissingSegments returns the segments of an index that s does not hold with the same
// content.
func (s *Snapshot) MissingSegments(index []Ref) []Ref {
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
// holds and the fetched segments by name. It verifies the digest of the index
// and the hash of every segment.
func (s *Snapshot) Assemble(root Root, index []Ref, fetched map[string][]byte) (*Snapshot, error) {
	if indexDigest(index) != root.Digest {
		return nil, fmt.Errorf("assemble revision %d: index does not match its digest", root.Revision)
	}
	out := &Snapshot{Root: root, Index: index, segments: make(map[string][]byte, len(index)), decoded: s.decoded}
	for _, ref := range index {
		raw, ok := fetched[ref.Name]
		if !ok {
			raw, ok = s.segments[ref.Name]
		}
		if !ok || contentHash(raw) != ref.Hash {
			return nil, fmt.Errorf("assemble revision %d: segment %s does not match its hash", root.Revision, ref.Name)
		}
		out.segments[ref.Name] = raw
	}
	return out, nil
}

func contentHash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:hashBytes])
}

func indexDigest(index []Ref) string { return contentHash(mustJSON(index)) }

// mustJSON encodes data of this package whose types always encode. It panics
// otherwise.
func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return raw
}
