package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change replaces or removes one segment or one workspace of a configuration.
type Change struct {
	Segment string `json:"segment"`
	// Workspace names one record of a workspace segment; empty means the whole
	// segment.
	Workspace string `json:"workspace,omitempty"`
	// Value is the new content; if empty, the segment or record is removed.
	Value json.RawMessage `json:"value,omitempty"`
}

// Delta holds the changes from one revision to the next.
type Delta struct {
	Root    Root     `json:"root"`
	Changes []Change `json:"changes"`
}

// Estimated bytes of a delta without its changes, and of a change without its
// strings and its value.
const (
	deltaOverheadBytes  = 256
	changeOverheadBytes = 48
)

// Size estimates the encoded size of the delta in bytes.
func (d *Delta) Size() int {
	n := deltaOverheadBytes
	for _, c := range d.Changes {
		n += len(c.Segment) + len(c.Workspace) + len(c.Value) + changeOverheadBytes
	}
	return n
}

// changesTo returns the changes that turn the segments of s into the given
// ones, sorted by segment.
func (s *Snapshot) changesTo(to map[string][]byte) ([]Change, error) {
	names := slices.Sorted(maps.Keys(to))
	for name := range s.segments {
		if _, ok := to[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var out []Change
	for _, name := range names {
		if bytes.Equal(s.segments[name], to[name]) {
			continue
		}
		if !strings.HasPrefix(name, segmentWorkspaces) {
			out = append(out, Change{Segment: name, Value: to[name]})
			continue
		}
		list, err := workspaceChanges(name, s.segments[name], to[name])
		if err != nil {
			return nil, err
		}
		out = append(out, list...)
	}
	return out, nil
}

// workspaceChanges returns the changes of the records of one workspace segment.
func workspaceChanges(name string, from, to []byte) ([]Change, error) {
	old, err := recordsByName(name, from)
	if err != nil {
		return nil, err
	}
	now, err := recordsByName(name, to)
	if err != nil {
		return nil, err
	}
	var out []Change
	for _, ws := range slices.Sorted(maps.Keys(now)) {
		if !bytes.Equal(old[ws], now[ws]) {
			out = append(out, Change{Segment: name, Workspace: ws, Value: now[ws]})
		}
	}
	for _, ws := range slices.Sorted(maps.Keys(old)) {
		if now[ws] == nil {
			out = append(out, Change{Segment: name, Workspace: ws})
		}
	}
	return out, nil
}

// recordsByName splits a workspace segment into its encoded records, by
// workspace name.
func recordsByName(name string, raw []byte) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	if len(raw) == 0 {
		return out, nil
	}
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, fmt.Errorf("decode segment %s: %w", name, err)
	}
	for _, one := range list {
		var key struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(one, &key); err != nil {
			return nil, fmt.Errorf("decode segment %s: %w", name, err)
		}
		out[key.Name] = one
	}
	return out, nil
}

// Apply returns the snapshot that results from the delta. It fails if s is not
// the base of the delta, or if the result does not match the digest of the
// delta's root. An empty digest is not checked.
func (s *Snapshot) Apply(d Delta) (*Snapshot, error) {
	if d.Root.Base != s.Root.Revision || d.Root.BasePlan != s.Root.PlanID {
		return nil, fmt.Errorf("apply delta to revision %d: it has base revision %d or another base plan", s.Root.Revision, d.Root.Base)
	}
	segments := maps.Clone(s.segments)
	byName := map[string][]Change{}
	for _, c := range d.Changes {
		byName[c.Segment] = append(byName[c.Segment], c)
	}
	for name, list := range byName {
		raw, err := applySegment(name, segments[name], list)
		if err != nil {
			return nil, err
		}
		if segments[name] = raw; raw == nil {
			delete(segments, name)
		}
	}
	out := s.successor(d.Root, segments)
	if d.Root.Digest != "" && out.Root.Digest != d.Root.Digest {
		return nil, fmt.Errorf("apply delta to revision %d: result does not match the digest", s.Root.Revision)
	}
	return out, nil
}

func applySegment(name string, raw []byte, list []Change) ([]byte, error) {
	if !strings.HasPrefix(name, segmentWorkspaces) {
		return list[len(list)-1].Value, nil
	}
	recs, err := recordsByName(name, raw)
	if err != nil {
		return nil, err
	}
	for _, c := range list {
		if recs[c.Workspace] = c.Value; len(c.Value) == 0 {
			delete(recs, c.Workspace)
		}
	}
	if len(recs) == 0 {
		return nil, nil
	}
	out := make([]json.RawMessage, 0, len(recs))
	for _, ws := range slices.Sorted(maps.Keys(recs)) {
		out = append(out, recs[ws])
	}
	return mustJSON(out), nil
}
