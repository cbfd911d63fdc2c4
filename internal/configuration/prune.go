package configuration

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/medlardeck/medlardeck/internal/store"
)

// HistoryKept is the number of revisions that can be listed and returned to.
const HistoryKept = 500

// maxPruned bounds the revisions that one procedure removes.
const maxPruned = 3

// Prune is the procedure that removes the oldest revisions of the history and
// the segments that only they need. It stops at the first trouble; the next
// one continues.
type Prune struct {
	rev     Revision // to be removed
	left    int
	stage   pruneStage
	older   []Ref
	planID  string
	index   []Ref
	next    Root
	deletes []string
	// Removed counts the removed revisions.
	Removed int
}

type pruneStage int

const (
	pruneRoot pruneStage = iota
	pruneIndex
	pruneNextRoot
	pruneNextIndex
	pruneFind
	pruneDelete
)

// NewPrune returns the procedure to keep so many revisions before current.
func NewPrune(current Revision, keep int) *Prune {
	return &Prune{rev: current - Revision(keep), left: maxPruned}
}

// Next implements Procedure.
func (p *Prune) Next(r store.Reply) (store.Call, bool) {
	if p.rev < 1 || p.left == 0 {
		return store.Call{}, false
	}
	if r.Status == "" {
		return p.get(), true
	}
	if !p.take(r) || p.left == 0 || p.rev < 1 {
		return store.Call{}, false
	}
	if p.stage == pruneDelete {
		return store.Call{Op: store.OpDelete, Key: p.deletes[0], Revision: r.KVs[0].Revision}, true
	}
	return p.get(), true
}

func (p *Prune) get() store.Call {
	key := ""
	switch p.stage {
	case pruneRoot:
		key = KeyHistory(p.rev)
	case pruneNextRoot:
		key = KeyHistory(p.rev + 1)
	case pruneIndex, pruneNextIndex:
		key = KeyIndex(p.planID)
	case pruneFind, pruneDelete:
		key = p.deletes[0]
	}
	return store.Call{Op: store.OpGet, Key: key}
}

// take handles a reply and reports whether the procedure goes on.
func (p *Prune) take(r store.Reply) bool {
	switch {
	case p.stage == pruneDelete && (r.Status == store.StatusOK || r.Status == store.StatusNotFound),
		p.stage == pruneFind && r.Status == store.StatusNotFound:
		p.deleted()
		return true
	case r.Status != store.StatusOK || len(r.KVs) != 1:
		return false
	case p.stage == pruneFind:
		p.stage = pruneDelete
		return true
	}
	return p.read(r) == nil
}

func (p *Prune) read(r store.Reply) error {
	var err error
	switch p.stage {
	case pruneRoot, pruneNextRoot:
		p.next, err = ParseRoot(r)
		p.planID = p.next.PlanID
	default:
		err = json.Unmarshal(r.KVs[0].Value, &p.index)
	}
	if err != nil {
		return fmt.Errorf("prune revision %d: %w", p.rev, err)
	}
	switch p.stage {
	case pruneRoot:
		p.deletes = []string{KeyDelta(p.planID), KeyIndex(p.planID), KeyHistory(p.rev)}
	case pruneIndex:
		p.older, p.index = p.index, nil
	case pruneNextIndex:
		p.unneeded()
	}
	p.stage++
	return nil
}

// unneeded puts the segments that the next revision does not have first, so
// that a procedure that ends early leaves the index to the one that follows.
func (p *Prune) unneeded() {
	var keys []string
	for _, ref := range p.older {
		if !slices.Contains(p.index, ref) {
			keys = append(keys, KeySegment(ref))
		}
	}
	p.deletes = append(keys, p.deletes...)
	p.index = nil
}

// deleted goes on to the next key, and behind the last to an older revision
// that an earlier procedure left.
func (p *Prune) deleted() {
	p.stage = pruneFind
	if p.deletes = p.deletes[1:]; len(p.deletes) > 0 {
		return
	}
	p.stage = pruneRoot
	p.Removed++
	p.rev--
	p.left--
}
