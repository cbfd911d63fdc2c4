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
	// maxClaimWait bounds the wait for the store to take a claim.
	maxClaimWait = 3 * time.Second
	// stopFlushLimit bounds the wait for outcomes to be written at a planned
	// stop; those not written by then count as unknown.
	stopFlushLimit = 20 * time.Second
)

// claim is the claim of one request.
type claim struct {
	id      booking.ClaimID
	key     booking.Key
	granted bool
	decided bool // without a grant
	running bool // an earlier arrival of the identity runs
}

// claims joins the book to the entry.
type claims struct {
	book     *booking.Book
	next     uint64
	byID     map[booking.ClaimID]*active
	verdicts []verdict
	flushBy  time.Duration
}

// verdict waits until the book has finished its own step.
type verdict struct {
	id booking.ClaimID
	v  booking.Verdict
}

func (e *Entry) startClaims() {
	e.claims.byID = make(map[booking.ClaimID]*active)
	opts := e.opts.Claims
	opts.Instance, opts.Incarnation = e.opts.Name, e.opts.Incarnation
	e.claims.book = booking.New(claimHost{e}, opts)
}

// ClaimFacts describes the claims for operators.
func (e *Entry) ClaimFacts() booking.Facts { return e.claims.book.Facts() }

// needsClaim reports whether a resend of the request could be recognised and
// must not run. Without an identity no resend can be told from a new call, so
// there is nothing to claim: the life of the request alone keeps its one run.
func (a *active) needsClaim() bool { return !a.idempotent && a.arrive.Identity != "" }

// claim asks for the right to run the request.
func (e *Entry) claim(a *active) {
	route := e.index.Route(a.arrive.Route)
	e.claims.next++
	id := booking.ClaimID(e.opts.Name + "/" + strconv.FormatUint(e.opts.Incarnation, 36) + "/" + strconv.FormatUint(e.claims.next, 36))
	a.claim = &claim{id: id, key: booking.KeyOf(a.arrive.Workspace, a.arrive.Route, a.arrive.Identity)}
	e.claims.byID[id] = a
	left := a.life.Deadline() - e.now
	e.after(min(left/2, maxClaimWait), func() { e.claimTimeout(a) })
	e.claims.book.Claim(booking.Claim{
		ID: id, Key: a.claim.key, Fingerprint: a.arrive.Fingerprint, Limit: left,
		Keep: booking.KeepOf(route.Identity, a.arrive.Identity),
	})
}

// claimTimeout ends a request whose claim got no answer in time.
func (e *Entry) claimTimeout(a *active) {
	if e.requests[a.arrive.Request] != a || a.claim.granted || a.claim.running {
		return
	}
	e.refuse(a, result.ClaimTimeout, retryHint)
}

// unclaimed ends a request that still waits for its claim, with code for the
// case that no earlier arrival is known to run.
func (e *Entry) unclaimed(a *active, code result.Code) {
	if a.claim.running {
		e.finish(a, request.Unknown(result.StillRunning))
		return
	}
	e.refuse(a, code, retryHint)
}

// waitsForClaim reports whether the request has a claim without a verdict.
func (a *active) waitsForClaim() bool { return a.claim != nil && !a.claim.granted }

// decideClaims acts on the verdicts of this step.
func (e *Entry) decideClaims() {
	for len(e.claims.verdicts) > 0 {
		next := e.claims.verdicts[0]
		e.claims.verdicts = e.claims.verdicts[1:]
		if a := e.claims.byID[next.id]; a != nil && !a.claim.granted {
			e.claimDecided(a, next.v)
		}
	}
}

func (e *Entry) claimDecided(a *active, v booking.Verdict) {
	switch v.Kind {
	case booking.Granted:
		a.claim.granted = true
		e.admit(a)
		return
	case booking.Running:
		a.claim.running = true
		return
	case booking.Replayed, booking.NotRepeated, booking.Conflict, booking.Unavailable, booking.Full:
	}
	a.claim.decided = true
	switch v.Kind {
	case booking.Replayed:
		a.answer = v.Answer
		e.finish(a, request.Replay())
	case booking.NotRepeated:
		e.finish(a, request.Unknown(result.NotRepeated))
	case booking.Conflict:
		e.refuse(a, result.IdentityConflict, 0)
	case booking.Full:
		e.refuse(a, result.ClaimRecordFull, retryHint)
	case booking.Granted, booking.Running, booking.Unavailable:
		e.refuse(a, result.StoreUnavailable, retryHint)
	}
}

// settleClaim records the outcome of a request with its claim.
func (e *Entry) settleClaim(a *active, out request.Outcome) {
	if a.claim == nil {
		return
	}
	delete(e.claims.byID, a.claim.id)
	if a.claim.decided {
		e.claims.book.Forget(a.claim.id)
		return
	}
	st := booking.Settlement{ID: a.claim.id, Key: a.claim.key, State: booking.StateUnknown}
	switch {
	case !a.claim.granted, out.Code().Family() == result.FamilyRefused:
		st.State = booking.StateReleased
	case out.Code() == result.Complete && a.answer != nil:
		st.State, st.Answer = booking.StateDone, a.answer
	}
	e.claims.book.Settle(st)
}

// flushClaims hurries the outcomes that are still to be written at a planned
// stop and reports whether that is done.
func (e *Entry) flushClaims() bool {
	if e.claims.book.Idle() {
		return true
	}
	if e.claims.flushBy == 0 {
		e.claims.flushBy = e.now + stopFlushLimit
		e.after(stopFlushLimit, func() {})
		e.claims.book.Flush()
	}
	return e.now >= e.claims.flushBy
}

// claimHost is what the book sees of the entry.
type claimHost struct{ e *Entry }

// Now implements booking.Host.
func (h claimHost) Now() time.Duration { return h.e.now }

// Wall implements booking.Host.
func (h claimHost) Wall() time.Duration { return h.e.opts.Wall + h.e.now }

// After implements booking.Host.
func (h claimHost) After(d time.Duration, fn func()) { h.e.after(d, fn) }

// Jitter implements booking.Host.
func (h claimHost) Jitter(d time.Duration) time.Duration { return h.e.jitter(d) }

// Store implements booking.Host.
func (h claimHost) Store(call store.Call, fn func(store.Reply)) { h.e.store(call, fn) }

// Owner implements booking.Host: the live instance with the highest hash, so
// that few shards move when an instance comes or goes.
func (h claimHost) Owner(shard int) string {
	if h.e.opts.Address == "" {
		return h.e.opts.Name
	}
	owner, best := "", uint64(0)
	suffix := "/" + strconv.Itoa(shard)
	for _, domain := range h.e.members.Domains() {
		for _, f := range h.e.members.Live(domain) {
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

// Tell implements booking.Host.
func (h claimHost) Tell(instance string, msg booking.Message) bool {
	return h.e.sendPeer(instance, Message{Claims: &msg})
}

// Decide implements booking.Host.
func (h claimHost) Decide(id booking.ClaimID, v booking.Verdict) {
	h.e.claims.verdicts = append(h.e.claims.verdicts, verdict{id, v})
}

// Count implements booking.Host.
func (h claimHost) Count(counter, reason string) { h.e.count(counter, reason) }

// Log implements booking.Host.
func (h claimHost) Log(event string, pairs ...string) { h.e.emit(Log{Event: event, Pairs: pairs}) }
