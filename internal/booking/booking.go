// Package booking makes non-idempotent calls run at most once: it grants, for
// each call identity, at most one claim to run the call, whichever instance the
// original request and its retries reach.
//
// Claims are stored in sharded records of the platform's store. Each shard has
// one head record, and every change to it is one compare-and-swap that carries
// a batch of claims and outcomes. The compare-and-swap is the only fencing
// mechanism. The instance that owns a shard is only a hint that saves calls to
// the store, so a write by an instance that was paused, partitioned or replaced
// fails because of its stale revision and does not depend on any clock. Heads
// that reach their size limit are moved to immutable segments.
//
// The package does no I/O itself; the caller provides it through Host.
package booking

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Default values of Options, and the default retention of a record.
const (
	DefaultShards         = 16
	DefaultCommitInterval = 100 * time.Millisecond
	DefaultSettleDelay    = 200 * time.Millisecond
	DefaultRetention      = 24 * time.Hour
	DefaultHeadBytes      = 64 << 10
	DefaultShardBytes     = 8 << 20
)

// MaxAnswerBytes is the largest response body that is recorded with an outcome;
// a larger one is left out and the answer is marked as truncated.
const MaxAnswerBytes = 16 << 10

const (
	writeTimeout = time.Second
	readTimeout  = time.Second
	// ownerReplyTimeout is how long the owner of a shard may take to reply
	// before this instance writes the record itself.
	ownerReplyTimeout = 500 * time.Millisecond
	// pollInterval is the time between checks for the outcome of a call that
	// runs under another claim.
	pollInterval = time.Second
	// clockSkewAllowance is added to the deadline of a run before its outcome
	// counts as unknown; it covers differences between the instances' clocks.
	clockSkewAllowance = 2 * time.Second
	// releasedRetention is how long the record of a released claim is kept, so
	// that a delayed write of that claim is recognised and loses.
	releasedRetention = time.Minute
	initialBackoff    = 25 * time.Millisecond
	maxBackoff        = 5 * time.Second
	// maxPendingPerShard limits the claims, and separately the settlements, that
	// wait for one shard.
	maxPendingPerShard = 4096
)

// Names of the counters that are passed to Host.IncrementCounter.
const (
	CounterClaims  = "claims"        // verdicts, by kind
	CounterCommits = "claim_commits" // writes of heads, by status of the store
	CounterShards  = "claim_shards"  // seals, dropped segments and failures of shards
)

// ClaimID identifies a claim; it is unique across all instances.
type ClaimID string

// Claim is a request for the exclusive right to run a call.
type Claim struct {
	ID          ClaimID `json:"id"`
	Key         Key     `json:"key"`
	Fingerprint uint64  `json:"fingerprint,omitempty"`
	// Limit is the time from now within which the call ends.
	Limit time.Duration `json:"limit"`
	// Keep is how long the record is kept after the limit; zero means
	// DefaultRetention.
	Keep time.Duration `json:"keep,omitempty"`
}

// Settlement reports how the run of a granted claim ended, or that it never
// began.
type Settlement struct {
	ID  ClaimID `json:"id"`
	Key Key     `json:"key"`
	// State is StateDone, StateUnknown or StateReleased.
	State  State   `json:"state"`
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is the recorded response of a call.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is set if the body was larger than MaxAnswerBytes and was left
	// out.
	Truncated bool `json:"truncated,omitempty"`
}

// VerdictKind says whether a call may run, and if not, why.
type VerdictKind string

// Kinds of verdict. All are final except VerdictRunning, which is followed by another
// verdict.
const (
	VerdictGranted     VerdictKind = "granted"      // the claim is in the store; run the call
	VerdictRunning     VerdictKind = "running"      // a call with this identity runs under an earlier claim
	VerdictReplayed    VerdictKind = "replayed"     // the earlier call completed; Verdict.Answer is its response
	VerdictNotRepeated VerdictKind = "not-repeated" // the earlier call's outcome is unknown or its response was not recorded
	VerdictConflict    VerdictKind = "conflict"     // the identity was used with another fingerprint
	VerdictUnavailable VerdictKind = "unavailable"  // the store did not accept the claim; nothing was written
	VerdictFull        VerdictKind = "full"         // the shard reached its limit of bytes or of pending operations
)

// Verdict is the decision about a claim. Answer is set for VerdictReplayed only.
type Verdict struct {
	Kind   VerdictKind `json:"kind"`
	Answer *Answer     `json:"answer,omitempty"`
}

// Host provides the I/O, time and randomness of the entry instance that runs a
// Coordinator. No method blocks, and none invokes its callback before it returns.
type Host interface {
	// Now is the instance's monotonic time.
	Now() time.Duration
	// WallClock is the wall-clock time since an origin that all instances share; it
	// is used in records, which outlive the instance.
	WallClock() time.Duration
	// Schedule runs fn in the first step of the instance that is at least d from
	// now.
	Schedule(d time.Duration, fn func())
	// Jitter returns a random duration below d.
	Jitter(d time.Duration) time.Duration
	// Store calls the platform's store and passes the reply to fn.
	Store(call store.Call, fn func(store.Reply))
	// Owner returns the name of the instance that should write a shard, or an
	// empty string if there is none.
	Owner(shard int) string
	// Send sends a message to another instance; it returns false if the
	// instance is unknown.
	Send(instance string, msg Message) bool
	// DeliverVerdict delivers a verdict about a claim that this instance made.
	DeliverVerdict(id ClaimID, v Verdict)
	// IncrementCounter increments the counter with the given reason label.
	IncrementCounter(counter, reason string)
	// Log writes a log event; pairs alternate keys and values.
	Log(event string, pairs ...string)
}

// Options configures a Coordinator. For the fields from Shards on, zero means the
// default.
type Options struct {
	// Instance is the name of this instance; Incarnation increases with each of
	// its starts.
	Instance    string
	Incarnation uint64
	// Shards is the number of head records. All instances must use the same
	// value.
	Shards int
	// CommitInterval is the minimum time between two writes of a shard's head.
	CommitInterval time.Duration
	// SettleDelay is how long an outcome may be delayed so that it shares a
	// write with others.
	SettleDelay time.Duration
	// HeadBytes is the size above which the records of a head are sealed into a
	// segment.
	HeadBytes int
	// ShardBytes is the size of a shard's records from which new claims are
	// refused.
	ShardBytes int
}

// Coordinator decides the claims that reach one entry instance and writes the shards
// that it owns. It is not safe for concurrent use.
type Coordinator struct {
	host   Host
	opts   Options
	shards []*shard
	// unsettled holds the claims made by this instance that are not settled.
	unsettled map[ClaimID]Key
	// forwarded holds operations that were sent to the owner of their shard and
	// have no final reply.
	forwarded map[ClaimID]*forwardedOperation
}

// New returns a Coordinator without any records; each shard is read from the store
// when it is first needed.
func New(host Host, opts Options) *Coordinator {
	setDefault(&opts.Shards, DefaultShards)
	setDefault(&opts.CommitInterval, DefaultCommitInterval)
	setDefault(&opts.SettleDelay, DefaultSettleDelay)
	setDefault(&opts.HeadBytes, DefaultHeadBytes)
	setDefault(&opts.ShardBytes, DefaultShardBytes)
	b := &Coordinator{
		host: host, opts: opts,
		unsettled: make(map[ClaimID]Key), forwarded: make(map[ClaimID]*forwardedOperation),
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

func (b *Coordinator) shardFor(key Key) *shard { return b.shards[key.hash()%uint64(len(b.shards))] }

// Claim starts a claim; its verdicts are delivered through Host.DeliverVerdict.
func (b *Coordinator) Claim(c Claim) {
	b.unsettled[c.ID] = c.Key
	b.routeOperation(&operation{claim: &c, id: c.ID, key: c.Key, deadline: b.host.Now() + c.Limit})
}

// RecordOutcome records the outcome of a claim made by this instance. StateReleased
// means that the call did not run and never will under this claim; it also
// withdraws a claim that has no verdict yet. Unknown and already settled claims
// are ignored.
func (b *Coordinator) RecordOutcome(st Settlement) {
	if _, ok := b.unsettled[st.ID]; !ok {
		return
	}
	delete(b.unsettled, st.ID)
	if st.Answer != nil && len(st.Answer.Body) > MaxAnswerBytes {
		st.Answer = &Answer{Status: st.Answer.Status, ContentType: st.Answer.ContentType, Truncated: true}
	}
	if st.State == StateReleased && b.withdrawClaim(st) {
		return
	}
	b.routeOperation(&operation{settlement: &st, id: st.ID, key: st.Key})
}

// DropClaim drops a claim that was refused by a final verdict.
func (b *Coordinator) DropClaim(id ClaimID) { delete(b.unsettled, id) }

// withdrawClaim removes a claim that is not decided yet. It reports whether the
// claim can't have reached the store, so that no release has to be written.
func (b *Coordinator) withdrawClaim(st Settlement) bool {
	wasForwarded := b.forwarded[st.ID] != nil
	delete(b.forwarded, st.ID)
	maybeWritten := b.shardFor(st.Key).removeClaim(st.ID)
	return !wasForwarded && !maybeWritten
}

// sendVerdict sends a verdict to the instance that made the claim.
func (b *Coordinator) sendVerdict(o *operation, v Verdict) {
	if o.requester != "" {
		b.host.Send(o.requester, Message{Reply: &Reply{ID: o.id, Verdict: v}})
		return
	}
	b.deliverVerdict(o.id, v)
}

// deliverVerdict delivers a verdict about a claim made by this instance. It
// drops a verdict for a claim that is already settled or dropped: RecordOutcome has
// released the claim if the call did not run, and the claim of a call that ran
// must not be released.
func (b *Coordinator) deliverVerdict(id ClaimID, v Verdict) {
	if _, ok := b.unsettled[id]; !ok {
		b.host.IncrementCounter(CounterClaims, "late")
		return
	}
	b.host.IncrementCounter(CounterClaims, string(v.Kind))
	b.host.DeliverVerdict(id, v)
}

// Idle reports whether this instance has nothing left to write: no forwarded
// operation, pending settlement or call to the store is outstanding.
func (b *Coordinator) Idle() bool {
	if len(b.forwarded) > 0 {
		return false
	}
	for _, s := range b.shards {
		if s.callInFlight || len(s.pendingSettlements) > 0 {
			return false
		}
	}
	return true
}

// Flush starts writing the pending outcomes without waiting for SettleDelay; it
// is called before a planned stop.
func (b *Coordinator) Flush() {
	for _, s := range b.shards {
		for _, o := range s.pendingSettlements {
			o.writeBy = 0
		}
		s.runNextStep()
	}
}

// Stats holds the statistics of a Coordinator that are shown to operators.
type Stats struct {
	Shards  int `json:"shards"`
	Loaded  int `json:"loaded"`  // shards whose records are in memory
	Records int `json:"records"` // in the loaded shards
	Bytes   int `json:"bytes"`   // of the loaded shards' records
	Pending int `json:"pending"` // claims and outcomes not yet written
	// Failing counts shards whose last call to the store failed.
	Failing int `json:"failing"`
}

// Stats returns the current statistics.
func (b *Coordinator) Stats() Stats {
	f := Stats{Shards: len(b.shards), Pending: len(b.forwarded)}
	for _, s := range b.shards {
		f.Pending += len(s.pendingClaims) + len(s.pendingSettlements)
		if s.consecutiveFailures > 0 {
			f.Failing++
		}
		if s.loaded {
			f.Loaded++
			f.Records += len(s.sealedRecords) + len(s.headRecords)
			f.Bytes += s.sizeBytes()
		}
	}
	return f
}
