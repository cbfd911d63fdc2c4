package configuration

import (
	"fmt"
	"strings"
)

// Fault is one problem of an intent or an edit.
type Fault struct {
	// Path locates the faulty value, for example pools[0].targets[2].address.
	Path string `json:"path"`
	Text string `json:"text"`
}

// Faults lists all problems of an intent or an edit, in the order of the
// document.
type Faults []Fault

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Path + ": " + one.Text
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (f *Faults) check(ok bool, path, format string, args ...any) {
	if !ok {
		f.add(path, format, args...)
	}
}
