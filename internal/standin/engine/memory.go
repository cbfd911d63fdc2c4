package engine

import "container/list"

// block is one cached block of a prompt's prefix.
type block struct {
	hash uint64
	refs int           // sequences that use it
	idle *list.Element // its place among the evictable blocks, nil while used
}

// memory accounts for the KV memory of one engine, in tokens. Its parts are
// the private tokens of sequences, reservations, and blocks of prefixes;
// blocks that no sequence uses are evicted when room is needed, the longest
// unused first.
type memory struct {
	capacity int
	private  int
	held     int
	blocks   map[uint64]*block
	idle     *list.List // of *block, the next to evict in front
	events   *eventLog
}

func newMemory(capacity int, events *eventLog) *memory {
	return &memory{capacity: capacity, blocks: make(map[uint64]*block), idle: list.New(), events: events}
}

// cached returns the tokens of evictable blocks.
func (m *memory) cached() int { return m.idle.Len() * blockTokens }

// used returns the tokens of running sequences.
func (m *memory) used() int { return m.private + (len(m.blocks)-m.idle.Len())*blockTokens }

// match returns how many leading blocks are in the cache.
func (m *memory) match(hashes []uint64) int {
	for i, h := range hashes {
		if m.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// reserve takes private tokens beside the given cached blocks; it takes
// nothing and returns false when there is no room.
func (m *memory) reserve(tokens int, shared []uint64) bool {
	m.ref(shared)
	if !m.makeRoom(tokens) {
		m.unref(shared)
		return false
	}
	m.private += tokens
	return true
}

// hold sets tokens aside that belong to no running sequence; it takes nothing
// and returns false when there is no room.
func (m *memory) hold(tokens int) bool {
	if !m.makeRoom(tokens) {
		return false
	}
	m.held += tokens
	return true
}

// unhold returns held tokens.
func (m *memory) unhold(tokens int) { m.held -= tokens }

func (m *memory) makeRoom(tokens int) bool {
	free := m.capacity - m.used() - m.held - m.cached()
	if tokens > free+m.cached() {
		return false
	}
	for free < tokens {
		front := m.idle.Front()
		b := m.idle.Remove(front).(*block)
		delete(m.blocks, b.hash)
		m.events.add(EventRemoved, b.hash)
		free += blockTokens
	}
	return true
}

// release returns a sequence's private tokens and its use of shared blocks.
// The computed blocks stay in the cache, in room that was private until now.
func (m *memory) release(private int, shared, computed []uint64) {
	m.private -= private
	for i := len(computed) - 1; i >= 0; i-- {
		h := computed[i]
		if m.blocks[h] != nil || private < blockTokens {
			continue
		}
		private -= blockTokens
		b := &block{hash: h}
		b.idle = m.idle.PushBack(b)
		m.blocks[h] = b
		m.events.add(EventStored, h)
	}
	m.unref(shared)
}

func (m *memory) ref(hashes []uint64) {
	for _, h := range hashes {
		b := m.blocks[h]
		b.refs++
		if b.idle != nil {
			m.idle.Remove(b.idle)
			b.idle = nil
		}
	}
}

// unref makes blocks evictable, the deeper ones first: a block is of no use
// without those before it.
func (m *memory) unref(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := m.blocks[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.idle = m.idle.PushBack(b)
		}
	}
}
