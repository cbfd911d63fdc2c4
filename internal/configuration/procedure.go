package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Procedure is a sequence of calls to the store, one after another. Next gets
// the reply of the last call, first a zero reply, and returns the next call;
// false ends the procedure. A call with an empty Op asks to be continued with
// a zero-status reply after Budget.
type Procedure interface {
	Next(r store.Reply) (call store.Call, more bool)
}

// maxTries bounds the attempts of one call of a procedure.
const maxTries = 3

// ErrNoPlan says that there is no such plan, or that it was not confirmed in
// time.
var ErrNoPlan = errors.New("no such plan, or it has expired")

// StoreError says that the store did not give a usable answer.
type StoreError struct{ Status store.Status }

// Error implements error.
func (e *StoreError) Error() string { return "store call ended " + string(e.Status) }

// ParseRoot reads the value of KeyRoot.
func ParseRoot(r store.Reply) (Root, error) {
	var root Root
	if len(r.KVs) != 1 {
		return root, fmt.Errorf("read root: %d values", len(r.KVs))
	}
	if err := json.Unmarshal(r.KVs[0].Value, &root); err != nil {
		return root, fmt.Errorf("read root: %w", err)
	}
	return root, nil
}

// Fetch is the procedure that brings a snapshot up to a root: by the root's
// delta where the snapshot is its base, else by the segments it lacks.
type Fetch struct {
	have    *Snapshot
	root    Root
	stage   fetchStage
	index   []Ref
	missing []Ref
	fetched map[string][]byte
	tries   int
	// Snapshot is the result; nil with Err set when it could not be read.
	Snapshot *Snapshot
	Err      error
}

type fetchStage int

const (
	fetchDelta fetchStage = iota
	fetchIndex
	fetchSegments
	fetchEnd
)

// NewFetch returns the procedure.
func NewFetch(have *Snapshot, root Root) *Fetch {
	f := &Fetch{have: have, root: root, stage: fetchIndex, fetched: map[string][]byte{}}
	if root.Base == have.Root.Revision && root.BasePlan == have.Root.PlanID {
		f.stage = fetchDelta
	}
	return f
}

// Next implements Procedure.
func (f *Fetch) Next(r store.Reply) (store.Call, bool) {
	switch {
	case r.Status == "":
	case r.Status == store.StatusOK && len(r.KVs) == 1:
		f.tries = 0
		f.take(r.KVs[0].Value)
	case r.Status == store.StatusNotFound && f.stage == fetchDelta:
		f.stage = fetchIndex
	default:
		if f.tries++; f.tries >= maxTries || r.Status == store.StatusNotFound {
			f.Err = fmt.Errorf("read revision %d: %w", f.root.Revision, &StoreError{Status: r.Status})
		}
	}
	if f.Err != nil || f.stage == fetchEnd {
		return store.Call{}, false
	}
	return store.Call{Op: store.OpGet, Key: f.key()}, true
}

func (f *Fetch) key() string {
	switch f.stage {
	case fetchDelta:
		return KeyDelta(f.root.PlanID)
	case fetchIndex:
		return KeyIndex(f.root.PlanID)
	}
	return KeySegment(f.missing[0])
}

func (f *Fetch) take(raw []byte) {
	switch f.stage {
	case fetchDelta:
		d := Delta{Root: f.root}
		if json.Unmarshal(raw, &d.Changes) == nil {
			if next, err := f.have.Apply(d); err == nil {
				f.Snapshot, f.stage = next, fetchEnd
				return
			}
		}
		f.stage = fetchIndex
	case fetchIndex:
		if err := json.Unmarshal(raw, &f.index); err != nil {
			f.Err = fmt.Errorf("read index of revision %d: %w", f.root.Revision, err)
			return
		}
		f.missing = f.have.Missing(f.index)
		f.stage = fetchSegments
		f.assemble()
	case fetchSegments:
		f.fetched[f.missing[0].Name] = raw
		f.missing = f.missing[1:]
		f.assemble()
	}
}

func (f *Fetch) assemble() {
	if len(f.missing) > 0 {
		return
	}
	f.Snapshot, f.Err = f.have.Assemble(f.root, f.index, f.fetched)
	f.stage = fetchEnd
}

// History is the procedure that reads the newest roots, newest first.
type History struct {
	limit int
	next  Revision
	tries int
	// Roots is valid when Err is nil.
	Roots []Root
	Err   error
}

// NewHistory returns the procedure.
func NewHistory(limit int) *History { return &History{limit: limit, next: -1} }

// NewRevision returns the procedure that reads the root of one revision.
func NewRevision(rev Revision) *History { return &History{limit: 1, next: rev} }

// Next implements Procedure.
func (h *History) Next(r store.Reply) (store.Call, bool) {
	switch r.Status {
	case "":
		if h.next < 0 {
			return store.Call{Op: store.OpGet, Key: KeyRoot}, true
		}
	case store.StatusOK:
		root, err := ParseRoot(r)
		if h.Err = err; err == nil {
			h.Roots = append(h.Roots, root)
			h.next, h.tries = root.Revision-1, 0
		}
	case store.StatusNotFound:
		return store.Call{}, false // the first revision, or removed
	default:
		if h.tries++; h.tries >= maxTries {
			h.Err = fmt.Errorf("read history: %w", &StoreError{Status: r.Status})
		}
	}
	if h.Err != nil || len(h.Roots) >= h.limit || h.next == 0 {
		return store.Call{}, false
	}
	if h.next < 0 {
		return store.Call{Op: store.OpGet, Key: KeyRoot}, true
	}
	return store.Call{Op: store.OpGet, Key: KeyHistory(h.next)}, true
}

// wait returns a call that only waits.
func wait(d time.Duration) store.Call { return store.Call{Budget: d} }
