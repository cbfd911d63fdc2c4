package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kinds of difference.
const (
	DifferenceAdd    = "add"
	DifferenceRemove = "remove"
	DifferenceChange = "change"
)

// Difference is one value that a plan adds, removes or changes.
type Difference struct {
	Kind string `json:"kind"`
	// Path locates the value, for example workspaces/museum/tokens_per_second.
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String formats the difference as one line for operators.
func (d Difference) String() string {
	switch d.Kind {
	case DifferenceAdd:
		return strings.TrimSpace(fmt.Sprintf("+ %s %s", d.Path, d.New))
	case DifferenceRemove:
		return strings.TrimSpace(fmt.Sprintf("- %s %s", d.Path, d.Old))
	}
	return fmt.Sprintf("~ %s %s -> %s", d.Path, d.Old, d.New)
}

// Compare lists the differences between two intents, sorted by path. List
// elements are matched by name, so their order does not matter.
func Compare(from, to *Intent) []Difference {
	old, now := flatten(from), flatten(to)
	paths := slices.Collect(maps.Keys(now))
	for p := range old {
		if _, ok := now[p]; !ok {
			paths = append(paths, p)
		}
	}
	slices.Sort(paths)
	var out []Difference
	for _, p := range paths {
		a, inOld := old[p]
		b, inNew := now[p]
		switch {
		case a == b && inOld == inNew:
		case !inOld:
			out = append(out, Difference{Kind: DifferenceAdd, Path: p, New: b})
		case !inNew:
			out = append(out, Difference{Kind: DifferenceRemove, Path: p, Old: a})
		default:
			out = append(out, Difference{Kind: DifferenceChange, Path: p, Old: a, New: b})
		}
	}
	return out
}

// flatten returns the scalar values of an intent by path.
func flatten(in *Intent) map[string]string {
	dec := json.NewDecoder(bytes.NewReader(mustJSON(in)))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		panic(fmt.Sprintf("decode own JSON: %v", err))
	}
	out := map[string]string{}
	flattenInto(out, "", tree)
	return out
}

// flattenInto adds the scalar values below a path. A name that its path already
// holds becomes an empty value, so that only its presence is compared.
func flattenInto(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, val := range v {
			if key != "name" || path == "" {
				flattenInto(out, strings.TrimPrefix(path+"/"+key, "/"), val)
			} else {
				out[path] = ""
			}
		}
	case []any:
		for _, one := range v {
			flattenInto(out, path+"/"+elementName(one), one)
		}
	case string:
		if strings.HasSuffix(path, "/"+v) {
			out[path] = ""
			return
		}
		out[path] = v
	case nil:
	default:
		out[path] = fmt.Sprint(v)
	}
}

// elementName returns the name of a list element, or its value as text if it
// has no name.
func elementName(v any) string {
	if m, ok := v.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(v)
}
