package configuration

import (
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Verdict is what is known of a confirmation.
type Verdict string

// Verdicts. Only VerdictUnknown leaves open whether the plan is accepted.
const (
	// VerdictAccepted: the plan is accepted, now or by an earlier call.
	VerdictAccepted Verdict = "accepted"
	// VerdictNotAccepted: another plan took the base; this one never can be
	// accepted.
	VerdictNotAccepted Verdict = "not-accepted"
	// VerdictUnavailable: this call sent no change, the store did not answer.
	VerdictUnavailable Verdict = "unavailable"
	// VerdictUnknown: the change was sent and the store did not answer since.
	VerdictUnknown Verdict = "unknown"
	// VerdictStoreBehind: the store holds an older configuration than the one
	// in force; nothing was sent.
	VerdictStoreBehind Verdict = "store-behind"
)

// Verdicts returns every verdict.
func Verdicts() []Verdict {
	return []Verdict{VerdictAccepted, VerdictNotAccepted, VerdictUnavailable, VerdictUnknown, VerdictStoreBehind}
}

// Bounds of the repeats while the store gives no answer.
const (
	confirmRounds = 8
	confirmWait   = 250 * time.Millisecond
)

// maxDeltaBytes bounds the stored form of what a plan changes; readers of
// larger plans take the segments.
const maxDeltaBytes = 256 << 10

// Confirm is the procedure that makes a plan the accepted configuration by
// compare-and-swap of the root. Whatever the root leads to is written before.
type Confirm struct {
	plan   *Plan
	next   *Snapshot
	floor  Revision // a store below it is behind
	writes []store.Call
	// created are the removals of what this call wrote, for a plan that lost.
	created []store.Call

	stage   confirmStage
	modRev  int64 // store revision of the root that the swap expects
	sent    bool  // the swap may have reached the store
	rounds  int
	waiting bool

	// Verdict is valid at the end. For VerdictNotAccepted Other is what was
	// accepted instead.
	Verdict Verdict
	Other   Root
}

type confirmStage int

const (
	confirmRead confirmStage = iota
	confirmWrite
	confirmSwap
	confirmHistory
	confirmClean
	confirmEnd
)

// NewConfirm returns the procedure. base has to be the plan's base.
// newest is the highest revision that is known to be in force anywhere.
func NewConfirm(p *Plan, base *Snapshot, newest Revision, operator string, at time.Time) (*Confirm, error) {
	next, err := p.next(base, operator, at)
	if err != nil {
		return nil, err
	}
	c := &Confirm{plan: p, next: next, floor: max(p.Base, newest)}
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
// given base was accepted. A root that is still the base leaves it unknown.
func NewCheck(planID string, base, newest Revision) *Confirm {
	return &Confirm{plan: &Plan{ID: planID, Base: base}, floor: max(base, newest)}
}

// Result returns the accepted snapshot; nil unless this call's own snapshot is
// the accepted one.
func (c *Confirm) Result() *Snapshot {
	if c.Verdict != VerdictAccepted || c.next == nil {
		return nil
	}
	return c.next
}

// Next implements Procedure.
func (c *Confirm) Next(r store.Reply) (store.Call, bool) {
	c.handle(r)
	if c.stage == confirmEnd {
		return store.Call{}, false
	}
	if c.waiting {
		c.waiting = false
		return wait(confirmWait), true
	}
	return c.call(), true
}

func (c *Confirm) call() store.Call {
	switch c.stage {
	case confirmWrite:
		return c.writes[0]
	case confirmClean:
		return c.created[0]
	case confirmSwap:
		return store.Call{Op: store.OpCAS, Key: KeyRoot, Value: mustJSON(c.next.Root), Revision: c.modRev}
	case confirmHistory:
		return store.Call{Op: store.OpGet, Key: KeyHistory(c.plan.Base + 1)}
	}
	return store.Call{Op: store.OpGet, Key: KeyRoot}
}

func (c *Confirm) handle(r store.Reply) {
	if r.Status == "" {
		return // the start, or a wait is over
	}
	switch c.stage {
	case confirmRead:
		c.readRoot(r)
	case confirmWrite:
		c.wrote(r)
	case confirmSwap:
		c.swapped(r)
	case confirmHistory:
		c.readHistory(r)
	case confirmClean:
		c.clean(r)
	}
}

func (c *Confirm) readRoot(r store.Reply) {
	var root Root
	switch r.Status {
	case store.StatusOK:
		var err error
		if root, err = ParseRoot(r); err != nil {
			c.again()
			return
		}
		c.modRev = r.KVs[0].Revision
	case store.StatusNotFound:
		c.modRev = 0
	default:
		c.again()
		return
	}
	c.judge(root)
}

// judge decides by the root that the store holds now.
func (c *Confirm) judge(root Root) {
	switch {
	case root.PlanID == c.plan.ID && root.Revision == c.plan.Base+1:
		if c.next != nil {
			c.next.Root = root // another call of the same plan may have won
		}
		c.end(VerdictAccepted)
	case c.onBase(root):
		if c.stage = confirmSwap; len(c.writes) > 0 {
			c.stage = confirmWrite
		}
	case root.Revision < c.floor && c.sent:
		c.end(VerdictUnknown)
	case root.Revision < c.floor:
		c.end(VerdictStoreBehind)
	case root.Revision == c.plan.Base+1:
		c.lost(root)
	case root.Revision > c.plan.Base:
		c.stage = confirmHistory
	case c.next == nil:
		c.end(VerdictUnknown)
	default:
		c.lost(root)
	}
}

// onBase reports whether the plan may follow the root of the store.
func (c *Confirm) onBase(root Root) bool {
	switch {
	case c.next == nil || c.floor > c.plan.Base:
		return false
	case root.Revision == c.plan.Base && root.PlanID == c.plan.BasePlan:
		return true
	}
	return c.plan.Reassert && root.Revision <= c.plan.Base
}

func (c *Confirm) wrote(r store.Reply) {
	switch r.Status {
	case store.StatusOK, store.StatusConflict: // keys are written once
		if key := c.writes[0].Key; r.Status == store.StatusOK && !strings.HasPrefix(key, prefixHistory) {
			c.created = append(c.created, store.Call{Op: store.OpDelete, Key: key, Revision: r.Revision})
		}
		c.writes = c.writes[1:]
		if len(c.writes) == 0 {
			c.stage = confirmSwap
		}
	default:
		c.again()
	}
}

func (c *Confirm) swapped(r store.Reply) {
	switch r.Status {
	case store.StatusOK:
		c.end(VerdictAccepted)
	case store.StatusConflict, store.StatusNotFound:
		c.stage = confirmRead
		c.again()
	case store.StatusUnknown:
		c.sent = true
		c.stage = confirmRead // read back; the swap is repeated if the base still stands
		c.again()
	default:
		c.again()
	}
}

func (c *Confirm) readHistory(r store.Reply) {
	switch r.Status {
	case store.StatusOK:
		root, err := ParseRoot(r)
		if err != nil {
			c.again()
			return
		}
		if root.PlanID == c.plan.ID {
			c.next = nil // accepted and followed by others since
			c.end(VerdictAccepted)
			return
		}
		c.lost(root)
	case store.StatusNotFound:
		c.end(VerdictUnknown) // older than the history that is kept
	default:
		c.again()
	}
}

// again repeats the current stage after a wait, a bounded number of times.
func (c *Confirm) again() {
	c.waiting = true
	if c.rounds++; c.rounds < confirmRounds {
		return
	}
	if c.sent {
		c.end(VerdictUnknown)
		return
	}
	c.end(VerdictUnavailable)
}

// lost ends a plan that can't be accepted any more, and removes what this call
// wrote for it.
func (c *Confirm) lost(other Root) {
	c.Other = other
	c.end(VerdictNotAccepted)
	if len(c.created) > 0 {
		c.stage = confirmClean
	}
}

// clean goes on to the next removal while the store answers; the operator
// waits for the verdict.
func (c *Confirm) clean(r store.Reply) {
	c.created = c.created[1:]
	answered := r.Status == store.StatusOK || r.Status == store.StatusNotFound || r.Status == store.StatusConflict
	if len(c.created) == 0 || !answered {
		c.stage = confirmEnd
	}
}

func (c *Confirm) end(v Verdict) { c.Verdict, c.stage = v, confirmEnd }
