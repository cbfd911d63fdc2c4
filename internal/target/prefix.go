package target

// maxPrefixEntries limits the prefix hashes that one entry instance stores.
const maxPrefixEntries = 1 << 16

// PrefixIndex maps prompt prefixes, by the chained hash of their last block, to
// the target that last cached them. Its entries are hints from delayed and
// incomplete data; a wrong hint only costs time. When the index is full, the
// oldest entry is overwritten.
type PrefixIndex struct {
	holders        map[uint64]*Target
	insertionOrder []uint64 // ring buffer of the hashes in holders
	oldest         int      // index in insertionOrder of the next hash to overwrite
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex {
	return &PrefixIndex{holders: make(map[uint64]*Target)}
}

// Add records that the target caches the blocks.
func (x *PrefixIndex) Add(tg *Target, blocks []uint64) {
	for _, h := range blocks {
		if _, ok := x.holders[h]; !ok {
			x.insertHash(h)
		}
		x.holders[h] = tg
	}
}

// Remove records that the target evicted the blocks. Blocks last cached by another
// target are kept.
func (x *PrefixIndex) Remove(tg *Target, blocks []uint64) {
	for _, h := range blocks {
		if x.holders[h] == tg {
			x.holders[h] = nil
		}
	}
}

// insertHash adds a new hash to insertionOrder and evicts the oldest if it is
// full.
func (x *PrefixIndex) insertHash(h uint64) {
	if len(x.insertionOrder) < maxPrefixEntries {
		x.insertionOrder = append(x.insertionOrder, h)
		return
	}
	delete(x.holders, x.insertionOrder[x.oldest])
	x.insertionOrder[x.oldest] = h
	x.oldest = (x.oldest + 1) % maxPrefixEntries
}

// LongestMatch returns the target that caches the longest known part of the prefix
// and the number of blocks in that part; nil and zero if no part is known.
func (x *PrefixIndex) LongestMatch(prefix []uint64) (tg *Target, blocks int) {
	lo, hi := 0, len(prefix)
	// Hashes are chained: if a block is known, so are all blocks before it.
	for lo < hi {
		mid := (lo + hi) / 2
		if x.holders[prefix[mid]] != nil {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == 0 {
		return nil, 0
	}
	return x.holders[prefix[lo-1]], lo
}
