package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/target"
)

// sequence is one completion on the engine.
type sequence struct {
	id       string
	digest   uint64
	blocks   []uint64 // hashes of the prompt's whole blocks
	prompt   int      // tokens
	start    int      // answer tokens that the caller has already
	max      int      // answer tokens in all
	priority int
	marked   bool // crashes the engine when it runs
	// reserved says that the sequence runs in reserved memory, in which ready
	// tokens are prefilled.
	reserved    bool
	ready       int
	reservation *reservation

	order     uint64 // of arrival
	private   int    // KV tokens reserved
	shared    int    // leading blocks taken from the cache
	prefilled int    // tokens in KV memory, of prompt and start
	next      int    // index of the next answer token
	done      bool
	dropped   bool          // the engine died or gave the sequence up
	notify    chan struct{} // signalled when next, done or dropped changed
}

func (s *sequence) context() int   { return s.prompt + s.start }
func (s *sequence) decoding() bool { return s.prefilled >= s.context() }

func (s *sequence) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// batch is the continuous batching of one engine, without a clock: plan says
// what the next step does and how long it takes, commit does it.
type batch struct {
	opts      Options
	memory    *memory
	queue     []*sequence // by priority, then arrival
	running   []*sequence // by priority, then arrival
	nextOrder uint64
}

// chunk is a part of a prompt that one step prefills.
type chunk struct {
	seq    *sequence
	tokens int
}

// step is what the engine does in one pass.
type step struct {
	decode  []*sequence
	prefill []chunk
	took    time.Duration
}

func byPriority(a, b *sequence) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.order, b.order))
}

func insert(list []*sequence, s *sequence) []*sequence {
	i, _ := slices.BinarySearchFunc(list, s, byPriority)
	return slices.Insert(list, i, s)
}

// add queues a sequence; it returns false when the queue is full.
func (b *batch) add(s *sequence) bool {
	if len(b.queue) >= b.opts.MaxQueued {
		return false
	}
	b.nextOrder++
	s.order, s.next = b.nextOrder, s.start
	b.queue = insert(b.queue, s)
	return true
}

// remove gives a sequence up and returns its memory.
func (b *batch) remove(s *sequence) {
	if i := slices.Index(b.queue, s); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
		return
	}
	if i := slices.Index(b.running, s); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		computed := min(len(s.blocks), s.prefilled/blockTokens)
		b.memory.release(s.private, s.blocks[:s.shared], s.blocks[s.shared:max(s.shared, computed)])
	}
}

// admit moves queued sequences into the batch, in order, while there is room.
func (b *batch) admit() {
	for len(b.queue) > 0 && len(b.running) < b.opts.MaxRunning {
		s := b.queue[0]
		// The last prompt token is always computed: its result is the first
		// token of the answer.
		if s.reserved {
			s.prefilled = s.ready
			b.queue = b.queue[1:]
			b.running = insert(b.running, s)
			continue
		}
		s.shared = min(b.memory.match(s.blocks), (s.prompt-1)/blockTokens)
		private := s.prompt + s.max - s.shared*blockTokens
		if !b.memory.reserve(private, s.blocks[:s.shared]) {
			s.shared = 0
			return
		}
		s.private, s.prefilled = private, s.shared*blockTokens
		b.queue = b.queue[1:]
		b.running = insert(b.running, s)
	}
}

// plan returns the next step; it is empty when nothing can run. Decoding
// sequences take a token of the budget each, prompts share what is left in the
// order of their priorities.
func (b *batch) plan() step {
	b.admit()
	var st step
	budget := b.opts.StepTokens
	for _, s := range b.running {
		if s.decoding() && budget > 0 {
			st.decode = append(st.decode, s)
			budget--
		}
	}
	prefill := 0
	for _, s := range b.running {
		if s.decoding() || budget == 0 {
			continue
		}
		n := min(budget, s.context()-s.prefilled)
		st.prefill = append(st.prefill, chunk{s, n})
		budget -= n
		prefill += n
	}
	if len(st.decode)+len(st.prefill) > 0 {
		computed := time.Duration(prefill) * time.Second / time.Duration(b.opts.PrefillTokensPerSecond)
		st.took = max(b.opts.StepTime, computed)
	}
	return st
}

// commit carries a step out; sequences removed since it was planned are left
// alone. It reports whether a marked sequence ran.
func (b *batch) commit(st step) (crashed bool) {
	for _, s := range st.decode {
		b.emit(s)
	}
	for _, c := range st.prefill {
		if !slices.Contains(b.running, c.seq) {
			continue
		}
		crashed = crashed || c.seq.marked
		c.seq.prefilled += c.tokens
		if c.seq.decoding() {
			b.emit(c.seq)
		}
	}
	return crashed
}

func (b *batch) emit(s *sequence) {
	if !slices.Contains(b.running, s) {
		return
	}
	if s.next < s.max {
		s.next++
	}
	if s.next >= s.max {
		s.done = true
		b.remove(s)
	}
	s.signal()
}

// queuedPrefill returns the accepted prompt tokens that are not yet prefilled.
func (b *batch) queuedPrefill() int {
	n := 0
	for _, list := range [][]*sequence{b.queue, b.running} {
		for _, s := range list {
			n += max(0, s.context()-s.prefilled)
		}
	}
	return n
}

// queuedByPriority splits queuedPrefill by priority, higher first.
func (b *batch) queuedByPriority() []target.PriorityTokens {
	var out []target.PriorityTokens
	for _, list := range [][]*sequence{b.queue, b.running} {
		for _, s := range list {
			left := max(0, s.context()-s.prefilled)
			if left == 0 {
				continue
			}
			i, found := slices.BinarySearchFunc(out, s.priority, func(p target.PriorityTokens, priority int) int {
				return cmp.Compare(priority, p.Priority)
			})
			if !found {
				out = slices.Insert(out, i, target.PriorityTokens{Priority: s.priority})
			}
			out[i].Tokens += left
		}
	}
	return out
}
