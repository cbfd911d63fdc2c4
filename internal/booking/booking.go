// Package booking decides claims: a non-idempotent call with an identity runs
// at most once, whichever instance its resends reach.
//
// Claims live in sharded records of the platform's store. Each shard has one
// head record; every change of it is one compare-and-swap that carries a batch
// of claims and outcomes. The compare-and-swap is the only fence: which
// instance usually writes a shard is a hint that saves calls, so an instance
// that was paused, cut off or replaced loses by revision and not by a clock.
// Full heads are sealed into immutable segments.
//
// The package does no I/O; see Host.
package booking

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Defaults of Options.
const (
	DefaultShards         = 16
	DefaultCommitInterval = 100 * time.Millisecond
	DefaultSettleDelay    = 200 * time.Millisecond
	DefaultKeep           = 24 * time.Hour
	DefaultHeadBytes      = 64 << 10
	DefaultShardBytes     = 8 << 20
)

// MaxAnswerBytes is the largest body that is recorded with an outcome.
const MaxAnswerBytes = 16 << 10

const (
	writeBudget = time.Second
	readBudget  = time.Second
	// peerWait is how long another instance may take to answer before this one
	// writes the record itself.
	peerWait = 500 * time.Millisecond
	// repeatInterval is the time between questions about a running call.
	repeatInterval = time.Second
	// grace is added to the end of a run before its outcome counts as unknown;
	// it covers differences between the instances' clocks.
	grace = 2 * time.Second
	// releasedKeep is how long a released claim is remembered, so that a
	// delayed write of it is recognised.
	releasedKeep = time.Minute
	backoffBase  = 25 * time.Millisecond
	backoffMax   = 5 * time.Second
	maxPending   = 4096 // operations that may wait for one shard
)

// Counters of claims.
const (
	CounterClaims  = "claims"        // by verdict
	CounterCommits = "claim_commits" // by the status of the write
	CounterShards  = "claim_shards"  // seals, expiries and faults of shards
)

// ClaimID is unique among all claims of all instances.
type ClaimID string

// Claim asks for the right to run a call once.
type Claim struct {
	ID          ClaimID `json:"id"`
	Key         Key     `json:"key"`
	Fingerprint uint64  `json:"fingerprint,omitempty"`
	// Limit is the time from now by which the call has ended.
	Limit time.Duration `json:"limit"`
	// Keep is how long the record is kept after that; zero means DefaultKeep.
	Keep time.Duration `json:"keep,omitempty"`
}

// Settlement says how the run of a granted claim ended, or that it never began.
type Settlement struct {
	ID  ClaimID `json:"id"`
	Key Key     `json:"key"`
	// State is StateDone, StateUnknown or StateReleased.
	State  State   `json:"state"`
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is the recorded answer of a call.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated says that the body was too large to be recorded.
	Truncated bool `json:"truncated,omitempty"`
}

// Kind is the kind of a verdict.
type Kind string

// Kinds of verdict. Running is followed by another one.
const (
	Granted     Kind = "granted"      // the claim is in the store; run the call
	Running     Kind = "running"      // an earlier claim of the identity runs
	Replayed    Kind = "replayed"     // the earlier run ended; its answer is given
	NotRepeated Kind = "not-repeated" // the earlier run's outcome is unknown
	Conflict    Kind = "conflict"     // the identity was used with another fingerprint
	Unavailable Kind = "unavailable"  // the store did not take the claim; nothing was written
	Full        Kind = "full"         // the shard reached its size limit
)

// Verdict is the decision about a claim.
type Verdict struct {
	Kind   Kind    `json:"kind"`
	Answer *Answer `json:"answer,omitempty"`
}

// Host is what the decisions need from the entry instance around them. None of
// the calls blocks or calls back at once.
type Host interface {
	// Now is the instance's monotonic time.
	Now() time.Duration
	// Wall is the wall clock from an origin that all instances share, for records that outlive the instance.
	Wall() time.Duration
	// After runs fn at the first step at or after d from now.
	After(d time.Duration, fn func())
	// Jitter returns a random time below d.
	Jitter(d time.Duration) time.Duration
	// Store calls the platform's store and passes the reply to fn.
	Store(call store.Call, fn func(store.Reply))
	// Owner names the instance that should write a shard.
	Owner(shard int) string
	// Tell sends a message to another instance; false if it is unknown.
	Tell(instance string, msg Message) bool
	// Decide passes a verdict about a claim of this instance.
	Decide(id ClaimID, v Verdict)
	// Count adds one to a counter.
	Count(counter, reason string)
	// Log writes an event; pairs alternate keys and values.
	Log(event string, pairs ...string)
}

// Options of a Book; zero values take the defaults.
type Options struct {
	// Instance is the name of this instance, Incarnation rises with its starts.
	Instance    string
	Incarnation uint64
	// Shards is the number of head records. All instances must use the same.
	Shards int
	// CommitInterval is the least time between two writes of a shard.
	CommitInterval time.Duration
	// SettleDelay is how long an outcome may wait for other writes.
	SettleDelay time.Duration
	// HeadBytes is the size at which a head is sealed into a segment.
	HeadBytes int
	// ShardBytes bounds one shard's records.
	ShardBytes int
}

// Book decides the claims of one entry instance. It is not safe for concurrent
// use.
type Book struct {
	host   Host
	opts   Options
	shards []*shard
	// live holds the claims of this instance that are not settled.
	live map[ClaimID]Key
	// asked holds operations that another instance was told.
	asked map[ClaimID]*question
}

// New returns a book without any record; shards are read when first needed.
func New(host Host, opts Options) *Book {
	setDefault(&opts.Shards, DefaultShards)
	setDefault(&opts.CommitInterval, DefaultCommitInterval)
	setDefault(&opts.SettleDelay, DefaultSettleDelay)
	setDefault(&opts.HeadBytes, DefaultHeadBytes)
	setDefault(&opts.ShardBytes, DefaultShardBytes)
	b := &Book{
		host: host, opts: opts,
		live: make(map[ClaimID]Key), asked: make(map[ClaimID]*question),
	}
	for n := range opts.Shards {
		b.shards = append(b.shards, newShard(b, n))
	}
	return b
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (b *Book) shard(key Key) *shard { return b.shards[key.hash()%uint64(len(b.shards))] }

// Claim starts a claim; its verdicts come through Host.Decide.
func (b *Book) Claim(c Claim) {
	b.live[c.ID] = c.Key
	b.route(&op{claim: &c, id: c.ID, key: c.Key, expires: b.host.Now() + c.Limit})
}

// Settle ends a claim of this instance. A release says that the call did not
// run and never will under this claim; it also withdraws a claim that has no
// verdict yet.
func (b *Book) Settle(st Settlement) {
	if _, ok := b.live[st.ID]; !ok {
		return
	}
	delete(b.live, st.ID)
	if st.Answer != nil && len(st.Answer.Body) > MaxAnswerBytes {
		st.Answer = &Answer{Status: st.Answer.Status, ContentType: st.Answer.ContentType, Truncated: true}
	}
	if st.State == StateReleased && b.withdraw(st) {
		return
	}
	b.route(&op{settle: &st, id: st.ID, key: st.Key})
}

// Forget drops a claim whose verdict was final and no grant.
func (b *Book) Forget(id ClaimID) { delete(b.live, id) }

// withdraw takes back a claim that can't have reached the store; false if it
// may have.
func (b *Book) withdraw(st Settlement) bool {
	asked := b.asked[st.ID] != nil
	delete(b.asked, st.ID)
	attempted := b.shard(st.Key).withdraw(st.ID)
	return !asked && !attempted
}

// decide passes a verdict to whoever made the claim.
func (b *Book) decide(o *op, v Verdict) {
	if o.from != "" {
		b.host.Tell(o.from, Message{Reply: &Reply{ID: o.id, Verdict: v}})
		return
	}
	b.deliver(o.id, v)
}

// deliver passes a verdict to this instance's own request. One that nobody
// waits for any more is dropped: Settle has released the claim if it was not
// used, and a used claim must not be.
func (b *Book) deliver(id ClaimID, v Verdict) {
	if _, ok := b.live[id]; !ok {
		b.host.Count(CounterClaims, "late")
		return
	}
	b.host.Count(CounterClaims, string(v.Kind))
	b.host.Decide(id, v)
}

// Idle reports whether everything that this instance has to write is written.
func (b *Book) Idle() bool {
	if len(b.asked) > 0 {
		return false
	}
	for _, s := range b.shards {
		if s.busy || len(s.settles) > 0 {
			return false
		}
	}
	return true
}

// Flush writes waiting outcomes without delay, before a planned stop.
func (b *Book) Flush() {
	for _, s := range b.shards {
		for _, o := range s.settles {
			o.due = 0
		}
		s.kick()
	}
}

// Facts describe the book to operators.
type Facts struct {
	Shards  int `json:"shards"`
	Loaded  int `json:"loaded"`  // shards whose records are in memory
	Records int `json:"records"` // in the loaded shards
	Bytes   int `json:"bytes"`
	Pending int `json:"pending"` // claims and outcomes not yet written
	// Failing counts shards whose last call to the store failed.
	Failing int `json:"failing"`
}

// Facts returns the present numbers.
func (b *Book) Facts() Facts {
	f := Facts{Shards: len(b.shards), Pending: len(b.asked)}
	for _, s := range b.shards {
		f.Pending += len(s.claims) + len(s.settles)
		if s.failures > 0 {
			f.Failing++
		}
		if s.loaded {
			f.Loaded++
			f.Records += len(s.sealed) + len(s.open)
			f.Bytes += s.bytes()
		}
	}
	return f
}
