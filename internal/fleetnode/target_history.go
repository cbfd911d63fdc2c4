package fleetnode

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/medlardeck/medlardeck/internal/follow"
)

const (
	// maxHistoryItems bounds the changes of targets that an instance keeps for peers that
	// are behind; older ones get the whole list.
	maxHistoryItems = 512
	// maxChangesPerReply is the number of changes beyond which the whole list is sent: it is
	// compressed once for all that ask.
	maxChangesPerReply = 64
	// maxTargetListBytes bounds a list of targets from a peer; 6,300 targets have 1.2 MB.
	maxTargetListBytes = 64 << 20
)

// targetHistory is the changes of targets after a position of the store, for peers that are
// behind. All positions are of one era.
type targetHistory struct {
	base    follow.Position // the changes after it are complete
	batches []changeBatch   // in their order
	items   int
}

// changeBatch is the changes up to a position, beginning where the batch before it ends.
type changeBatch struct {
	upTo  follow.Position
	items []follow.Item
}

// reset forgets all changes up to a position.
func (h *targetHistory) reset(position follow.Position) { *h = targetHistory{base: position} }

// add adds the changes up to a position, and drops the oldest ones above the limit.
func (h *targetHistory) add(upTo follow.Position, items []follow.Item) {
	if upTo.Era != h.base.Era || len(items) > maxHistoryItems {
		h.reset(upTo)
		return
	}
	if len(items) == 0 {
		return
	}
	h.batches = append(h.batches, changeBatch{upTo, items})
	for h.items += len(items); h.items > maxHistoryItems; {
		h.base = h.batches[0].upTo
		h.items -= len(h.batches[0].items)
		h.batches = slices.Delete(h.batches, 0, 1)
	}
}

// since returns the last change of each target after a position. It returns false if the
// history does not reach back so far, or there are more than maxChangesPerReply. Some of the
// changes may be from before the position: their effect is the same again.
func (h *targetHistory) since(position follow.Position) ([]follow.Item, bool) {
	if position.Era != h.base.Era || position.Compare(h.base) < 0 {
		return nil, false
	}
	var changes []follow.Item
	last := make(map[string]bool)
	for _, batch := range slices.Backward(h.batches) {
		if batch.upTo.Compare(position) <= 0 {
			break
		}
		for _, item := range slices.Backward(batch.items) {
			if !last[item.Key] {
				last[item.Key] = true
				changes = append(changes, item)
			}
		}
		if len(changes) > maxChangesPerReply {
			return nil, false
		}
	}
	slices.Reverse(changes)
	return changes, true
}

// differences returns the changes that lead from one list of targets to another that was
// read at a position.
func differences(from, to map[string]follow.Item, position follow.Position) []follow.Item {
	var changes []follow.Item
	for key, item := range to {
		former, ok := from[key]
		if !ok || former.Revision != item.Revision || !bytes.Equal(former.Value, item.Value) {
			changes = append(changes, item)
		}
	}
	for key := range from {
		if _, ok := to[key]; !ok {
			changes = append(changes, follow.Item{Key: key, Revision: position.Revision, Removed: true})
		}
	}
	slices.SortFunc(changes, func(a, b follow.Item) int { return strings.Compare(a.Key, b.Key) })
	return changes
}

// wireItem is an item in messages and compressed lists.
type wireItem struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

func toWire(items []follow.Item) []wireItem {
	encoded := make([]wireItem, len(items))
	for i, item := range items {
		encoded[i] = wireItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed}
	}
	return encoded
}

func fromWire(encoded []wireItem) []follow.Item {
	items := make([]follow.Item, len(encoded))
	for i, e := range encoded {
		items[i] = follow.Item{Key: e.Key, Value: e.Value, Revision: e.Revision, Removed: e.Removed}
	}
	return items
}

// compressTargets returns a whole list for peers.
func compressTargets(items []follow.Item) ([]byte, error) {
	raw, err := cbor.Marshal(toWire(items))
	if err != nil {
		return nil, fmt.Errorf("encode the list of targets: %w", err)
	}
	return deflate(raw)
}

// decompressTargets is the inverse of compressTargets.
func decompressTargets(compressed []byte) ([]follow.Item, error) {
	raw, err := inflate(compressed, maxTargetListBytes)
	if err != nil {
		return nil, fmt.Errorf("decompress the list of targets: %w", err)
	}
	var encoded []wireItem
	if err := cbor.Unmarshal(raw, &encoded); err != nil {
		return nil, fmt.Errorf("decode the list of targets: %w", err)
	}
	return fromWire(encoded), nil
}
