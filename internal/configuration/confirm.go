package configuration

import (
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Verdict is the outcome of a confirmation as far as it is known.
type Verdict string

// Verdicts. Only VerdictUnknown leaves open whether the plan is accepted.
const (
	// VerdictAccepted: the plan is accepted, by this call or an earlier one.
	VerdictAccepted Verdict = "accepted"
	// VerdictNotAccepted: another plan was accepted on the same base, so this
	// plan can never be accepted.
	VerdictNotAccepted Verdict = "not-accepted"
	// VerdictUnavailable: the store did not answer, and this call did not
	// change the root.
	VerdictUnavailable Verdict = "unavailable"
	// VerdictUnknown: the swap of the root was sent and the store has not
	// confirmed its outcome since, or the store does not show whether the plan
	// was accepted.
	VerdictUnknown Verdict = "unknown"
	// VerdictStoreBehind: the store holds an older configuration than the one
	// in force; nothing was sent.
	VerdictStoreBehind Verdict = "store-behind"
)

// Verdicts returns every verdict.
func Verdicts() []Verdict {
	return []Verdict{VerdictAccepted, VerdictNotAccepted, VerdictUnavailable, VerdictUnknown, VerdictStoreBehind}
}

// Limits of the retries while the store gives no usable answer.
const (
	maxConfirmFailures = 8
	confirmRetryDelay  = 250 * time.Millisecond
)

// maxDeltaBytes bounds the stored changes of a plan. For a larger plan no delta
// is stored, and readers fetch the changed segments.
const maxDeltaBytes = 256 << 10

// Confirm is the procedure that makes a plan the accepted configuration by
// compare-and-swap of the root. Everything that the root refers to is written
// before the swap.
type Confirm struct {
	plan        *Plan
	candidate   *Snapshot
	minRevision Revision // a store with an older root is behind
	writes      []store.Call
	// cleanups delete the segments, index and delta that this call wrote. They
	// run if the plan is rejected.
	cleanups []store.Call

	stage           confirmStage
	rootModRevision int64 // store revision of the root that the swap expects
	swapUncertain   bool  // the swap may have reached the store
	failures        int
	retryPending    bool

	// Verdict is valid after the end of the procedure. For VerdictNotAccepted,
	// Other is the root that was accepted instead.
	Verdict Verdict
	Other   Root
}

type confirmStage int

const (
	confirmRead confirmStage = iota
	confirmWrite
	confirmSwap
	confirmHistory
	confirmCleanup
	confirmDone
)

// NewConfirm returns the procedure. base must be the plan's base, and newest
// the highest revision known to be in force at any instance.
func NewConfirm(p *Plan, base *Snapshot, newest Revision, operator string, at time.Time) (*Confirm, error) {
	next, err := p.buildSnapshot(base, operator, at)
	if err != nil {
		return nil, err
	}
	c := &Confirm{plan: p, candidate: next, minRevision: max(p.Base, newest)}
	create := func(key string, value []byte) {
		c.writes = append(c.writes, store.Call{Op: store.OpCAS, Key: key, Value: value})
	}
	if base.Root.Revision > 0 {
		create(KeyHistory(base.Root.Revision), mustJSON(base.Root))
	}
	for _, ref := range next.Index {
		if ref.PlanID == p.ID {
			create(KeySegment(ref), next.segments[ref.Name])
		}
	}
	create(KeyIndex(p.ID), mustJSON(next.Index))
	if raw := mustJSON(p.Changes); len(raw) <= maxDeltaBytes && !p.Reassert {
		create(KeyDelta(p.ID), raw)
	}
	return c, nil
}

// NewCheck returns the procedure that only finds out whether a plan with the
// given base was accepted, and writes nothing. If the root is still the base,
// the verdict is VerdictUnknown.
func NewCheck(planID string, base, newest Revision) *Confirm {
	return &Confirm{plan: &Plan{ID: planID, Base: base}, minRevision: max(base, newest)}
}

// Result returns the accepted snapshot. It is nil if the plan is not accepted,
// was accepted but has since been superseded, or was only checked.
func (c *Confirm) Result() *Snapshot {
	if c.Verdict != VerdictAccepted || c.candidate == nil {
		return nil
	}
	return c.candidate
}

// Next implements Procedure.
func (c *Confirm) Next(r store.Reply) (store.Call, bool) {
	c.handleReply(r)
	if c.stage == confirmDone {
		return store.Call{}, false
	}
	if c.retryPending {
		c.retryPending = false
		return waitCall(confirmRetryDelay), true
	}
	return c.currentCall(), true
}

// currentCall returns the store call of the current stage.
func (c *Confirm) currentCall() store.Call {
	switch c.stage {
	case confirmWrite:
		return c.writes[0]
	case confirmCleanup:
		return c.cleanups[0]
	case confirmSwap:
		return store.Call{Op: store.OpCAS, Key: KeyRoot, Value: mustJSON(c.candidate.Root), Revision: c.rootModRevision}
	case confirmHistory:
		return store.Call{Op: store.OpGet, Key: KeyHistory(c.plan.Base + 1)}
	}
	return store.Call{Op: store.OpGet, Key: KeyRoot}
}

func (c *Confirm) handleReply(r store.Reply) {
	if r.Status == "" {
		return // first call, or the retry delay has passed
	}
	switch c.stage {
	case confirmRead:
		c.handleRoot(r)
	case confirmWrite:
		c.handleWrite(r)
	case confirmSwap:
		c.handleSwap(r)
	case confirmHistory:
		c.handleHistory(r)
	case confirmCleanup:
		c.handleCleanup(r)
	}
}

func (c *Confirm) handleRoot(r store.Reply) {
	var root Root
	switch r.Status {
	case store.StatusOK:
		var err error
		if root, err = ParseRoot(r); err != nil {
			c.scheduleRetry()
			return
		}
		c.rootModRevision = r.KVs[0].Revision
	case store.StatusNotFound:
		c.rootModRevision = 0
	default:
		c.scheduleRetry()
		return
	}
	c.evaluateRoot(root)
}

// evaluateRoot chooses the next stage or the verdict from the root that the
// store holds.
func (c *Confirm) evaluateRoot(root Root) {
	switch {
	case root.PlanID == c.plan.ID && root.Revision == c.plan.Base+1:
		if c.candidate != nil {
			c.candidate.Root = root // another call of the same plan may have swapped the root
		}
		c.finish(VerdictAccepted)
	case c.canFollow(root):
		if c.stage = confirmSwap; len(c.writes) > 0 {
			c.stage = confirmWrite
		}
	case root.Revision < c.minRevision && c.swapUncertain:
		c.finish(VerdictUnknown)
	case root.Revision < c.minRevision:
		c.finish(VerdictStoreBehind)
	case root.Revision == c.plan.Base+1:
		c.reject(root)
	case root.Revision > c.plan.Base:
		c.stage = confirmHistory
	case c.candidate == nil:
		c.finish(VerdictUnknown)
	default:
		c.reject(root)
	}
}

// canFollow reports whether the plan may replace the given root.
func (c *Confirm) canFollow(root Root) bool {
	switch {
	case c.candidate == nil || c.minRevision > c.plan.Base:
		return false
	case root.Revision == c.plan.Base && root.PlanID == c.plan.BasePlan:
		return true
	}
	return c.plan.Reassert && root.Revision <= c.plan.Base
}

func (c *Confirm) handleWrite(r store.Reply) {
	switch r.Status {
	case store.StatusOK, store.StatusConflict: // each key is written once, so on a conflict it is in place
		if key := c.writes[0].Key; r.Status == store.StatusOK && !strings.HasPrefix(key, prefixHistory) {
			c.cleanups = append(c.cleanups, store.Call{Op: store.OpDelete, Key: key, Revision: r.Revision})
		}
		c.writes = c.writes[1:]
		if len(c.writes) == 0 {
			c.stage = confirmSwap
		}
	default:
		c.scheduleRetry()
	}
}

func (c *Confirm) handleSwap(r store.Reply) {
	switch r.Status {
	case store.StatusOK:
		c.finish(VerdictAccepted)
	case store.StatusConflict, store.StatusNotFound:
		c.stage = confirmRead
		c.scheduleRetry()
	case store.StatusUnknown:
		c.swapUncertain = true
		c.stage = confirmRead // read the root back; the swap is repeated if it is still the base
		c.scheduleRetry()
	default:
		c.scheduleRetry()
	}
}

func (c *Confirm) handleHistory(r store.Reply) {
	switch r.Status {
	case store.StatusOK:
		root, err := ParseRoot(r)
		if err != nil {
			c.scheduleRetry()
			return
		}
		if root.PlanID == c.plan.ID {
			c.candidate = nil // accepted and superseded since
			c.finish(VerdictAccepted)
			return
		}
		c.reject(root)
	case store.StatusNotFound:
		c.finish(VerdictUnknown) // older than the retained history
	default:
		c.scheduleRetry()
	}
}

// scheduleRetry repeats the current stage after confirmRetryDelay. It ends the
// procedure at the maxConfirmFailures-th failure.
func (c *Confirm) scheduleRetry() {
	c.retryPending = true
	if c.failures++; c.failures < maxConfirmFailures {
		return
	}
	if c.swapUncertain {
		c.finish(VerdictUnknown)
		return
	}
	c.finish(VerdictUnavailable)
}

// reject ends a plan that can no longer be accepted, and starts the removal of
// the keys that this call wrote for it.
func (c *Confirm) reject(other Root) {
	c.Other = other
	c.finish(VerdictNotAccepted)
	if len(c.cleanups) > 0 {
		c.stage = confirmCleanup
	}
}

// handleCleanup continues with the next removal only while the store answers,
// because the operator is waiting for the verdict.
func (c *Confirm) handleCleanup(r store.Reply) {
	c.cleanups = c.cleanups[1:]
	answered := r.Status == store.StatusOK || r.Status == store.StatusNotFound || r.Status == store.StatusConflict
	if len(c.cleanups) == 0 || !answered {
		c.stage = confirmDone
	}
}

func (c *Confirm) finish(v Verdict) { c.Verdict, c.stage = v, confirmDone }
