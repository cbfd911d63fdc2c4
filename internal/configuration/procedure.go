package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Procedure is a sequence of store calls. Next takes the reply to the last
// call, at first a zero reply, and returns the next call; more is false at the
// end. A call with an empty Op is not sent: the caller waits for its Budget and
// continues with a zero reply.
type Procedure interface {
	Next(r store.Reply) (call store.Call, more bool)
}

// maxAttempts bounds the attempts of each store call.
const maxAttempts = 3

// ErrNoPlan means that the plan does not exist, or expired before it was
// confirmed.
var ErrNoPlan = errors.New("no such plan, or it has expired")

// StoreError means that the store gave no usable answer.
type StoreError struct{ Status store.Status }

// Error implements error.
func (e *StoreError) Error() string { return "store call ended with status " + string(e.Status) }

// ParseRoot decodes the root in the reply to a read of KeyRoot or of a key of
// KeyHistory.
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

// Fetch is the procedure that reads the snapshot of a root: by the root's delta
// if the snapshot at hand is its base, otherwise by the segments that this one
// lacks.
type Fetch struct {
	base     *Snapshot
	root     Root
	stage    fetchStage
	index    []Ref
	missing  []Ref
	fetched  map[string][]byte
	attempts int
	// Snapshot is the result; nil if it could not be read, with the reason in
	// Err.
	Snapshot *Snapshot
	Err      error
}

type fetchStage int

const (
	fetchDelta fetchStage = iota
	fetchIndex
	fetchSegments
	fetchDone
)

// NewFetch returns the procedure that reads root, starting from the snapshot
// base.
func NewFetch(base *Snapshot, root Root) *Fetch {
	f := &Fetch{base: base, root: root, stage: fetchIndex, fetched: map[string][]byte{}}
	if root.Base == base.Root.Revision && root.BasePlan == base.Root.PlanID {
		f.stage = fetchDelta
	}
	return f
}

// Next implements Procedure.
func (f *Fetch) Next(r store.Reply) (store.Call, bool) {
	switch {
	case r.Status == "":
	case r.Status == store.StatusOK && len(r.KVs) == 1:
		f.attempts = 0
		f.handleValue(r.KVs[0].Value)
	case r.Status == store.StatusNotFound && f.stage == fetchDelta:
		f.stage = fetchIndex
	default:
		if f.attempts++; f.attempts >= maxAttempts || r.Status == store.StatusNotFound {
			f.Err = fmt.Errorf("read revision %d: %w", f.root.Revision, &StoreError{Status: r.Status})
		}
	}
	if f.Err != nil || f.stage == fetchDone {
		return store.Call{}, false
	}
	return store.Call{Op: store.OpGet, Key: f.currentKey()}, true
}

func (f *Fetch) currentKey() string {
	switch f.stage {
	case fetchDelta:
		return KeyDelta(f.root.PlanID)
	case fetchIndex:
		return KeyIndex(f.root.PlanID)
	}
	return KeySegment(f.missing[0])
}

// handleValue processes the value read in the current stage: the delta, the index or
// a segment. If the delta cannot be applied, the procedure reads the index instead.
func (f *Fetch) handleValue(raw []byte) {
	switch f.stage {
	case fetchDelta:
		d := Delta{Root: f.root}
		if json.Unmarshal(raw, &d.Changes) == nil {
			if next, err := f.base.Apply(d); err == nil {
				f.Snapshot, f.stage = next, fetchDone
				return
			}
		}
		f.stage = fetchIndex
	case fetchIndex:
		if err := json.Unmarshal(raw, &f.index); err != nil {
			f.Err = fmt.Errorf("read index of revision %d: %w", f.root.Revision, err)
			return
		}
		f.missing = f.base.MissingSegments(f.index)
		f.stage = fetchSegments
		f.assembleIfComplete()
	case fetchSegments:
		f.fetched[f.missing[0].Name] = raw
		f.missing = f.missing[1:]
		f.assembleIfComplete()
	}
}

// assembleIfComplete builds the snapshot once no segment is missing.
func (f *Fetch) assembleIfComplete() {
	if len(f.missing) > 0 {
		return
	}
	f.Snapshot, f.Err = f.base.Assemble(f.root, f.index, f.fetched)
	f.stage = fetchDone
}

// History is the procedure that reads the newest roots, newest first.
type History struct {
	limit        int
	nextRevision Revision // negative: the current root
	attempts     int
	// Roots is valid when Err is nil.
	Roots []Root
	Err   error
}

// NewHistory returns the procedure that reads at most limit roots.
func NewHistory(limit int) *History { return &History{limit: limit, nextRevision: -1} }

// NewRevision returns the procedure that reads the root of one revision.
func NewRevision(rev Revision) *History { return &History{limit: 1, nextRevision: rev} }

// Next implements Procedure.
func (h *History) Next(r store.Reply) (store.Call, bool) {
	switch r.Status {
	case "":
		if h.nextRevision < 0 {
			return store.Call{Op: store.OpGet, Key: KeyRoot}, true
		}
	case store.StatusOK:
		root, err := ParseRoot(r)
		if h.Err = err; err == nil {
			h.Roots = append(h.Roots, root)
			h.nextRevision, h.attempts = root.Revision-1, 0
		}
	case store.StatusNotFound:
		return store.Call{}, false // older revisions do not exist or were pruned
	default:
		if h.attempts++; h.attempts >= maxAttempts {
			h.Err = fmt.Errorf("read history: %w", &StoreError{Status: r.Status})
		}
	}
	if h.Err != nil || len(h.Roots) >= h.limit || h.nextRevision == 0 {
		return store.Call{}, false
	}
	if h.nextRevision < 0 {
		return store.Call{Op: store.OpGet, Key: KeyRoot}, true
	}
	return store.Call{Op: store.OpGet, Key: KeyHistory(h.nextRevision)}, true
}

// waitCall returns a call that only waits for d.
func waitCall(d time.Duration) store.Call { return store.Call{Budget: d} }
