package configuration

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/medlardeck/medlardeck/internal/store"
)

// MaxHistoryRevisions is the number of past revisions that can be listed and rolled
// back to.
const MaxHistoryRevisions = 500

// maxPrunedRevisions bounds the revisions that one procedure removes.
const maxPrunedRevisions = 3

// Prune is the procedure that removes the oldest revisions of the history and
// the segments that only they refer to. It stops at the first failure; a later
// procedure continues.
type Prune struct {
	revision    Revision // the revision to remove
	remaining   int      // revisions that may still be removed
	stage       pruneStage
	segments    []Ref    // index of the revision to remove
	planID      string   // plan of root
	index       []Ref    // index that was read last
	root        Root     // root that was read last
	pendingKeys []string // keys to remove, in order
	// Removed counts the removed revisions.
	Removed int
}

type pruneStage int

const (
	pruneRoot pruneStage = iota
	pruneIndex
	pruneNextRoot
	pruneNextIndex
	pruneReadKey // reads the store revision that the removal expects
	pruneDelete
)

// NewPrune returns the procedure that keeps the given number of revisions
// before current.
func NewPrune(current Revision, keep int) *Prune {
	return &Prune{revision: current - Revision(keep), remaining: maxPrunedRevisions}
}

// Next implements Procedure.
func (p *Prune) Next(r store.Reply) (store.Call, bool) {
	if p.revision < 1 || p.remaining == 0 {
		return store.Call{}, false
	}
	if r.Status == "" {
		return p.currentGet(), true
	}
	if !p.handleReply(r) || p.remaining == 0 || p.revision < 1 {
		return store.Call{}, false
	}
	if p.stage == pruneDelete {
		return store.Call{Op: store.OpDelete, Key: p.pendingKeys[0], Revision: r.KVs[0].Revision}, true
	}
	return p.currentGet(), true
}

// currentGet returns the read of the current stage.
func (p *Prune) currentGet() store.Call {
	key := ""
	switch p.stage {
	case pruneRoot:
		key = KeyHistory(p.revision)
	case pruneNextRoot:
		key = KeyHistory(p.revision + 1)
	case pruneIndex, pruneNextIndex:
		key = KeyIndex(p.planID)
	case pruneReadKey, pruneDelete:
		key = p.pendingKeys[0]
	}
	return store.Call{Op: store.OpGet, Key: key}
}

// handleReply handles a reply and reports whether the procedure continues.
func (p *Prune) handleReply(r store.Reply) bool {
	switch {
	case p.stage == pruneDelete && (r.Status == store.StatusOK || r.Status == store.StatusNotFound),
		p.stage == pruneReadKey && r.Status == store.StatusNotFound:
		p.finishKey()
		return true
	case r.Status != store.StatusOK || len(r.KVs) != 1:
		return false
	case p.stage == pruneReadKey:
		p.stage = pruneDelete
		return true
	}
	return p.decodeReply(r) == nil
}

// decodeReply decodes a root or an index and moves on to the next stage.
func (p *Prune) decodeReply(r store.Reply) error {
	var err error
	switch p.stage {
	case pruneRoot, pruneNextRoot:
		p.root, err = ParseRoot(r)
		p.planID = p.root.PlanID
	default:
		err = json.Unmarshal(r.KVs[0].Value, &p.index)
	}
	if err != nil {
		return fmt.Errorf("prune revision %d: %w", p.revision, err)
	}
	switch p.stage {
	case pruneRoot:
		p.pendingKeys = []string{KeyDelta(p.planID), KeyIndex(p.planID), KeyHistory(p.revision)}
	case pruneIndex:
		p.segments, p.index = p.index, nil
	case pruneNextIndex:
		p.queueUnreferencedSegments()
	}
	p.stage++
	return nil
}

// queueUnreferencedSegments puts the segments that the next revision does not
// refer to before the other keys, so that a later procedure still finds the
// index if this one ends early.
func (p *Prune) queueUnreferencedSegments() {
	var keys []string
	for _, ref := range p.segments {
		if !slices.Contains(p.index, ref) {
			keys = append(keys, KeySegment(ref))
		}
	}
	p.pendingKeys = append(keys, p.pendingKeys...)
	p.index = nil
}

// finishKey moves on to the next key. After the last one it moves on to the
// revision before, which an earlier procedure may have left.
func (p *Prune) finishKey() {
	p.stage = pruneReadKey
	if p.pendingKeys = p.pendingKeys[1:]; len(p.pendingKeys) > 0 {
		return
	}
	p.stage = pruneRoot
	p.Removed++
	p.revision--
	p.remaining--
}
