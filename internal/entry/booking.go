package entry

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlardeck/medlardeck/internal/booking"
	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/store"
)

const (
	// maxClaimWait bounds the wait until the store has taken a claim.
	maxClaimWait = 3 * time.Second
	// stopFlushTimeout bounds the wait at a planned stop until outcomes are
	// written; those not written by then count as unknown.
	stopFlushTimeout = 20 * time.Second
)

// claim is the claim of one request: its right to run at most once.
type claim struct {
	id             booking.ClaimID
	key            booking.Key
	granted        bool
	endedByVerdict bool // by one other than granted or running
	earlierRunning bool // an earlier arrival with the same identity is running
}

// claims is the part of an entry that connects it to the coordinator of claims.
type claims struct {
	coordinator     *booking.Coordinator
	lastClaim       uint64
	requestByClaim  map[booking.ClaimID]*activeRequest
	pendingVerdicts []verdict
	flushDeadline   time.Duration
}

// verdict is kept until the coordinator has finished its own step: acting on it may
// call the coordinator again.
type verdict struct {
	claimID booking.ClaimID
	verdict booking.Verdict
}

func (e *Entry) initClaims() {
	e.claims.requestByClaim = make(map[booking.ClaimID]*activeRequest)
	opts := e.opts.Claims
	opts.Instance, opts.Incarnation = e.opts.Name, e.opts.Incarnation
	e.claims.coordinator = booking.New(claimHost{e}, opts)
}

// ClaimStats returns the figures about claims that operators and metrics see.
func (e *Entry) ClaimStats() booking.Stats { return e.claims.coordinator.Stats() }

// needsClaim reports whether a resend of the request could be recognised and
// must not run. Without an identity a resend can't be told from a new call, so
// there is nothing to claim; the request's lifecycle alone ensures that it runs
// once.
func (a *activeRequest) needsClaim() bool { return !a.idempotent && a.arrival.Identity != "" }

// requestClaim claims the right to run the request. The verdict comes through
// claimHost.DeliverVerdict; without one the request ends after half of its time, at
// most maxClaimWait.
func (e *Entry) requestClaim(a *activeRequest) {
	route := e.configIndex.Route(a.arrival.Route)
	e.claims.lastClaim++
	id := booking.ClaimID(e.opts.Name + "/" + strconv.FormatUint(e.opts.Incarnation, 36) + "/" + strconv.FormatUint(e.claims.lastClaim, 36))
	a.claim = &claim{id: id, key: booking.NewKey(a.arrival.Workspace, a.arrival.Route, a.arrival.Identity)}
	e.claims.requestByClaim[id] = a
	left := a.lifecycle.Deadline() - e.now
	e.scheduleAfter(min(left/2, maxClaimWait), func() { e.handleClaimTimeout(a) })
	e.claims.coordinator.Claim(booking.Claim{
		ID: id, Key: a.claim.key, Fingerprint: a.arrival.Fingerprint, Limit: left,
		Keep: booking.RetentionFor(route.Identity, a.arrival.Identity),
	})
}

// handleClaimTimeout refuses a request whose claim got no verdict in time.
func (e *Entry) handleClaimTimeout(a *activeRequest) {
	if e.requests[a.arrival.Request] != a || a.claim.granted || a.claim.earlierRunning {
		return
	}
	e.refuse(a, result.ClaimTimeout, retryHint)
}

// endUnclaimed ends a request that still waits for its claim: with an unknown
// outcome if an earlier arrival is known to run, else refused with code.
func (e *Entry) endUnclaimed(a *activeRequest, code result.Code) {
	if a.claim.earlierRunning {
		e.finish(a, request.Unknown(result.StillRunning))
		return
	}
	e.refuse(a, code, retryHint)
}

// waitsForClaim reports whether the request has a claim that is not granted
// yet.
func (a *activeRequest) waitsForClaim() bool { return a.claim != nil && !a.claim.granted }

// applyClaimVerdicts acts on the verdicts that the coordinator reached in this step.
func (e *Entry) applyClaimVerdicts() {
	for len(e.claims.pendingVerdicts) > 0 {
		next := e.claims.pendingVerdicts[0]
		e.claims.pendingVerdicts = e.claims.pendingVerdicts[1:]
		if a := e.claims.requestByClaim[next.claimID]; a != nil && !a.claim.granted {
			e.applyClaimVerdict(a, next.verdict)
		}
	}
}

// applyClaimVerdict admits a granted request, lets one with a running earlier
// arrival wait, and ends all others.
func (e *Entry) applyClaimVerdict(a *activeRequest, v booking.Verdict) {
	switch v.Kind {
	case booking.VerdictGranted:
		a.claim.granted = true
		e.admit(a)
		return
	case booking.VerdictRunning:
		a.claim.earlierRunning = true
		return
	case booking.VerdictReplayed, booking.VerdictNotRepeated, booking.VerdictConflict, booking.VerdictUnavailable, booking.VerdictFull:
	}
	a.claim.endedByVerdict = true
	switch v.Kind {
	case booking.VerdictReplayed:
		a.answer = v.Answer
		e.finish(a, request.Replay())
	case booking.VerdictNotRepeated:
		e.finish(a, request.Unknown(result.NotRepeated))
	case booking.VerdictConflict:
		e.refuse(a, result.IdentityConflict, 0)
	case booking.VerdictFull:
		e.refuse(a, result.ClaimRecordFull, retryHint)
	case booking.VerdictGranted, booking.VerdictRunning, booking.VerdictUnavailable:
		e.refuse(a, result.StoreUnavailable, retryHint)
	}
}

// settleClaim records the outcome of a request with its claim: released if it
// did not run, done with its recorded answer, else unknown.
func (e *Entry) settleClaim(a *activeRequest, out request.Outcome) {
	if a.claim == nil {
		return
	}
	delete(e.claims.requestByClaim, a.claim.id)
	if a.claim.endedByVerdict {
		e.claims.coordinator.DropClaim(a.claim.id)
		return
	}
	st := booking.Settlement{ID: a.claim.id, Key: a.claim.key, State: booking.StateUnknown}
	switch {
	case !a.claim.granted, out.Code().Family() == result.FamilyRefused:
		st.State = booking.StateReleased
	case out.Code() == result.Complete && a.answer != nil:
		st.State, st.Answer = booking.StateDone, a.answer
	}
	e.claims.coordinator.RecordOutcome(st)
}

// flushClaims makes the coordinator write outstanding outcomes at once, at a planned
// stop. It reports whether all are written or the time for it is over.
func (e *Entry) flushClaims() bool {
	if e.claims.coordinator.Idle() {
		return true
	}
	if e.claims.flushDeadline == 0 {
		e.claims.flushDeadline = e.now + stopFlushTimeout
		e.scheduleAfter(stopFlushTimeout, func() {})
		e.claims.coordinator.Flush()
	}
	return e.now >= e.claims.flushDeadline
}

// claimHost implements booking.Host for an entry.
type claimHost struct{ e *Entry }

// Now implements booking.Host.
func (h claimHost) Now() time.Duration { return h.e.now }

// WallClock implements booking.Host.
func (h claimHost) WallClock() time.Duration { return h.e.opts.Wall + h.e.now }

// Schedule implements booking.Host.
func (h claimHost) Schedule(d time.Duration, fn func()) { h.e.scheduleAfter(d, fn) }

// Jitter implements booking.Host.
func (h claimHost) Jitter(d time.Duration) time.Duration { return h.e.jitter(d) }

// Store implements booking.Host.
func (h claimHost) Store(call store.Call, fn func(store.Reply)) { h.e.callStore(call, fn) }

// Owner implements booking.Host by rendezvous hashing over the live instances,
// so that few shards move when an instance joins or leaves.
func (h claimHost) Owner(shard int) string {
	if h.e.opts.Address == "" {
		return h.e.opts.Name
	}
	owner, best := "", uint64(0)
	suffix := "/" + strconv.Itoa(shard)
	for _, domain := range h.e.members.Domains() {
		for _, f := range h.e.members.LiveInDomain(domain) {
			if f.Leaving || f.State != membership.Alive {
				continue
			}
			if sum := xxhash.Sum64String(f.Name + suffix); sum >= best {
				owner, best = f.Name, sum
			}
		}
	}
	return owner
}

// Send implements booking.Host.
func (h claimHost) Send(instance string, msg booking.Message) bool {
	return h.e.sendPeer(instance, Message{Claims: &msg})
}

// DeliverVerdict implements booking.Host.
func (h claimHost) DeliverVerdict(id booking.ClaimID, v booking.Verdict) {
	h.e.claims.pendingVerdicts = append(h.e.claims.pendingVerdicts, verdict{id, v})
}

// IncrementCounter implements booking.Host.
func (h claimHost) IncrementCounter(counter, reason string) { h.e.incrementCounter(counter, reason) }

// Log implements booking.Host.
func (h claimHost) Log(event string, pairs ...string) { h.e.emit(Log{Event: event, Pairs: pairs}) }
