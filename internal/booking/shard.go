package booking

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// reasonWriteUnknown counts writes without an answer.
const reasonWriteUnknown = "write-unknown"

// op is one operation that waits for its shard: a claim or a settlement.
type op struct {
	claim  *Claim
	settle *Settlement
	id     ClaimID
	key    Key
	// from is the instance that asked, empty for this one.
	from string
	// added is the time at which the shard took the claim.
	added time.Duration
	// expires is the time by which nobody waits for the claim any more.
	expires time.Duration
	// due is the time until which a settlement may wait for other writes.
	due time.Duration
	// attempted says that the claim may have been written; flying that a write
	// of it is under way.
	attempted bool
	flying    bool
	// running says that the verdict Running was passed on.
	running bool
}

// shard writes one head record. At most one call to the store is under way.
type shard struct {
	book   *Book
	number int

	loaded bool
	// freshAt is the start of the last read or write that showed the head to be
	// the present one.
	freshAt  time.Duration
	head     Head
	revision int64
	open     map[Key]*Record // of the head
	sealed   map[Key]*Record // of the segments
	// segments maps the loaded segments to the revisions of their keys.
	segments map[int]int64
	// carry holds records that the store lost by a restore from older data.
	carry []Record
	// stale are segment keys that no head refers to any more.
	stale []store.KV

	claims  []*op
	settles []*op
	waiters []*op

	busy bool
	// doubt is the revision on which a write without answer was based, -1 for
	// none.
	doubt     int64
	failures  int
	notBefore time.Duration
	wakeAt    time.Duration
	polling   bool
}

func newShard(b *Book, number int) *shard {
	return &shard{
		book: b, number: number, doubt: -1,
		open: make(map[Key]*Record), sealed: make(map[Key]*Record), segments: make(map[int]int64),
	}
}

// add takes an operation.
func (s *shard) add(o *op) {
	if o.settle != nil {
		s.addSettle(o)
		return
	}
	now := s.book.host.Now()
	if s.failures > 1 && now < s.notBefore && s.refuse(o) {
		return
	}
	if len(s.claims) >= maxPending {
		s.book.decide(o, Verdict{Kind: Full})
		return
	}
	same := func(w *op) bool { return w.id == o.id }
	s.waiters = slices.DeleteFunc(s.waiters, same)
	if i := slices.IndexFunc(s.claims, same); i >= 0 {
		s.claims[i].expires = o.expires
		return
	}
	o.added = now
	s.claims = append(s.claims, o)
	s.kick()
}

func (s *shard) addSettle(o *op) {
	if len(s.settles) >= maxPending {
		s.book.host.Count(CounterShards, "settlement-dropped")
		return
	}
	o.due = s.book.host.Now()
	if o.settle.State != StateReleased {
		o.due += s.book.opts.SettleDelay
		s.tellWaiters(o.settle)
	}
	s.settles = append(s.settles, o)
	s.kick()
}

// tellWaiters passes an outcome on before it is written: it is a fact.
func (s *shard) tellWaiters(st *Settlement) {
	rec := s.lookup(st.Key)
	if rec == nil || rec.Claim != st.ID {
		return
	}
	next, ok := settled(st, rec, s.clock())
	if !ok {
		return
	}
	s.waiters = slices.DeleteFunc(s.waiters, func(w *op) bool {
		if w.key != st.Key {
			return false
		}
		j, v := judge(w.claim, &next, s.clock())
		if j == judgeDecide {
			s.book.decide(w, v)
		}
		return j == judgeDecide
	})
}

// withdraw removes a claim; true says that it may have been written.
func (s *shard) withdraw(id ClaimID) bool {
	attempted := true
	remove := func(o *op) bool {
		if o.id == id {
			attempted = o.attempted || o.flying
		}
		return o.id == id
	}
	before := len(s.claims) + len(s.waiters)
	s.claims = slices.DeleteFunc(s.claims, remove)
	s.waiters = slices.DeleteFunc(s.waiters, remove)
	return attempted || before == len(s.claims)+len(s.waiters)
}

func (s *shard) lookup(key Key) *Record {
	if rec := s.open[key]; rec != nil {
		return rec
	}
	return s.sealed[key]
}

// clock is the shard's time: no writer's clock turns it back.
func (s *shard) clock() time.Duration { return max(s.head.Clock, s.book.host.Wall()) }

func (s *shard) bytes() int {
	n := 0
	for _, seg := range s.head.Segments {
		n += seg.Bytes
	}
	for i := range s.head.Records {
		n += s.head.Records[i].size()
	}
	return n
}

// kick does the next thing there is to do, if no call is under way.
func (s *shard) kick() {
	if s.busy {
		return
	}
	s.expireClaims()
	at, ok := s.dueAt()
	if !ok {
		return
	}
	if now := s.book.host.Now(); at > now {
		s.wake(at)
		return
	}
	if !s.loaded {
		s.load()
		return
	}
	s.decideClaims()
	if !s.loaded {
		s.load()
		return
	}
	s.write()
}

// dueAt returns the time from which the shard has something to do.
func (s *shard) dueAt() (time.Duration, bool) {
	if len(s.claims) > 0 || s.doubt >= 0 && len(s.settles) > 0 {
		return s.notBefore, true
	}
	if len(s.settles) == 0 {
		return 0, false
	}
	due := s.settles[0].due
	for _, o := range s.settles {
		due = min(due, o.due)
	}
	return max(due, s.notBefore), true
}

// wake calls kick at a time, once.
func (s *shard) wake(at time.Duration) {
	now := s.book.host.Now()
	if s.wakeAt > now && s.wakeAt <= at {
		return
	}
	s.wakeAt = at
	s.book.host.After(at-now, s.kick)
}

// expireClaims drops claims that nobody waits for any more. A claim that may
// have been written stays with its instance, which releases it.
func (s *shard) expireClaims() {
	now := s.book.host.Now()
	expired := func(o *op) bool { return now >= o.expires }
	s.claims = slices.DeleteFunc(s.claims, expired)
	s.waiters = slices.DeleteFunc(s.waiters, expired)
}

// call makes the shard's one call to the store.
func (s *shard) call(c store.Call, fn func(store.Reply)) {
	s.busy = true
	s.book.host.Store(c, func(r store.Reply) {
		s.busy = false
		fn(r)
		s.kick()
	})
}

// failed backs off after a call that was not carried out, and refuses the
// claims that can't have been written.
func (s *shard) failed(reason string) {
	host := s.book.host
	host.Count(CounterShards, reason)
	s.failures++
	limit := min(backoffBase<<min(s.failures, 10), backoffMax)
	s.notBefore = host.Now() + limit/2 + host.Jitter(limit/2)
	if reason == reasonWriteUnknown && s.failures == 1 {
		return // one lost answer is read back before anything is refused
	}
	s.claims = slices.DeleteFunc(s.claims, s.refuse)
}

// refuse ends a claim that can't be written now. What this instance knows of
// the identity goes first, so that no resend of a call that may have run is
// told that it did not.
func (s *shard) refuse(o *op) bool {
	if o.attempted {
		return false
	}
	j, v := judge(o.claim, s.lookup(o.key), s.clock())
	switch {
	case j == judgeDecide:
		s.book.decide(o, v)
	case j == judgeWait:
		s.wait(o, v)
	case o.running:
		return false
	default:
		s.book.decide(o, Verdict{Kind: Unavailable})
	}
	return true
}

// decideClaims passes the verdicts that need no write.
func (s *shard) decideClaims() {
	clock := s.clock()
	s.claims = slices.DeleteFunc(s.claims, func(o *op) bool {
		j, v := judge(o.claim, s.lookup(o.key), clock)
		switch j {
		case judgeFree:
			return s.full(o)
		case judgeGone:
			return true
		case judgeWait:
			s.wait(o, v)
			return true
		case judgeDecide:
			if s.lookup(o.key).State == StateClaimed && s.freshAt < o.added {
				s.loaded = false // the outcome may have been written since
				return false
			}
			s.book.decide(o, v)
		case judgeOwn:
			s.book.decide(o, v)
		}
		return true
	})
}

func (s *shard) full(o *op) bool {
	if s.bytes() < s.book.opts.ShardBytes || o.attempted {
		return false
	}
	s.book.decide(o, Verdict{Kind: Full})
	return true
}

// wait keeps a claim until the running one is settled.
func (s *shard) wait(o *op, v Verdict) {
	if !o.running || o.from != "" {
		o.running = true
		s.book.decide(o, v)
	}
	s.waiters = append(s.waiters, o)
	if !s.polling {
		s.polling = true
		s.book.host.After(repeatInterval, s.poll)
	}
}

// poll reads the head again for claims that wait: another instance may have
// written the outcome.
func (s *shard) poll() {
	s.polling = false
	s.expireClaims()
	if len(s.waiters) == 0 {
		return
	}
	if !s.busy {
		s.loaded = false
	}
	s.retryWaiters()
	s.kick()
}

// retryWaiters decides about the waiting claims anew.
func (s *shard) retryWaiters() {
	s.claims = append(s.claims, s.waiters...)
	s.waiters = nil
}

// restored notes that the store went back to older data: what this instance
// still knows is written again.
func (s *shard) restored(h Head) {
	s.book.host.Count(CounterShards, "store-went-back")
	s.book.host.Log("claims-store-went-back", "shard", strconv.Itoa(s.number),
		"sequence", strconv.FormatUint(h.Sequence, 10), "known", strconv.FormatUint(s.head.Sequence, 10))
	for _, known := range []map[Key]*Record{s.open, s.sealed} {
		for _, key := range slices.Sorted(maps.Keys(known)) {
			s.carry = append(s.carry, *known[key])
		}
	}
	maps.DeleteFunc(s.segments, func(number int, _ int64) bool {
		return !slices.ContainsFunc(h.Segments, func(seg Segment) bool { return seg.Number == number })
	})
}
