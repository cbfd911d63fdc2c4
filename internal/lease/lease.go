// Package lease decides whether an entry instance is the one writer of its
// failure domain, and under which fencing number.
//
// Two keys of the platform's store make it: a record with the fencing number,
// which only rises, and a marker attached to a store lease, which vanishes with
// it. The marker keeps others out; the compare-and-swap of the record decides
// between those that come in. The holder counts its time from before the call
// that granted or renewed the lease, on its own monotonic clock and less a
// margin, so that it stops before the store lets another one in.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Defaults of Options.
const (
	DefaultTTL    = 10 * time.Second
	DefaultMargin = 2 * time.Second
)

// renewalsPerTTL leaves room for failed renewals.
const renewalsPerTTL = 4

// Options of a holder.
type Options struct {
	// Key is the prefix of the two keys.
	Key string
	// Name identifies the instance and its incarnation.
	Name string
	// TTL is the time to live of the store lease, Margin what the holder gives
	// up of it for clocks that run at different rates.
	TTL    time.Duration
	Margin time.Duration
}

// Record is the value of the record key.
type Record struct {
	Fence  uint64 `json:"fence"`
	Holder string `json:"holder"`
	// Nonce identifies one acquisition, so that a write without an answer is
	// recognised when it is read back.
	Nonce uint64 `json:"nonce"`
}

type phase int

const (
	idle phase = iota
	reading
	granting
	marking
	recording
	checking // reads the record back after a write without an answer
	holding
	releasing
)

// Holder acquires and keeps the lease. Its caller carries out the calls that
// Next returns, one at a time, and hands each reply to Replied.
type Holder struct {
	opts   Options
	phase  phase
	nonce  uint64
	record Record
	rev    int64 // of the record key
	lease  int64
	sent   time.Duration // start of the last call
	valid  time.Duration // end of the holder's time
	next   time.Duration // earliest time of the next call
	busy   bool
	// minFence is the lowest fencing number to take, above those that targets
	// have seen.
	minFence uint64
	// previous is the record that the last acquisition replaced.
	previous Record
}

// New returns a holder that does not hold.
func New(opts Options) *Holder {
	if opts.TTL == 0 {
		opts.TTL, opts.Margin = DefaultTTL, DefaultMargin
	}
	return &Holder{opts: opts}
}

func (h *Holder) recordKey() string { return h.opts.Key + "/record" }
func (h *Holder) markerKey() string { return h.opts.Key + "/writer" }

// Held returns the fencing number if the lease is held at now and for so long
// after it.
func (h *Holder) Held(now, margin time.Duration) (fence uint64, ok bool) {
	return h.record.Fence, h.phase == holding && now+margin < h.valid
}

// Until returns the end of the holder's time.
func (h *Holder) Until() time.Duration { return h.valid }

// Previous returns the record that this holder replaced.
func (h *Holder) Previous() Record { return h.previous }

// Outran records that a target has seen a higher fencing number, as after a
// restore of the store. It gives the lease up; the next one goes above it.
func (h *Holder) Outran(now time.Duration, fence uint64) {
	if fence >= h.minFence {
		h.minFence = fence + 1
	}
	if h.phase == holding && h.record.Fence < h.minFence {
		h.phase, h.next = releasing, now
	}
}

// Next returns the call to make at now, if there is one.
func (h *Holder) Next(now time.Duration) (store.Call, bool) {
	if h.phase == holding && now >= h.valid {
		h.lost(now)
	}
	if h.busy || now < h.next {
		return store.Call{}, false
	}
	h.busy, h.sent = true, now
	switch h.phase {
	case idle, reading:
		h.phase = reading
		return store.Call{Op: store.OpRange, Key: h.opts.Key + "/"}, true
	case granting:
		return store.Call{Op: store.OpLeaseGrant, TTL: h.opts.TTL}, true
	case marking:
		return store.Call{Op: store.OpCAS, Key: h.markerKey(), Value: []byte(h.opts.Name), Lease: h.lease}, true
	case recording:
		value, _ := json.Marshal(h.wanted())
		return store.Call{Op: store.OpCAS, Key: h.recordKey(), Value: value, Revision: h.rev}, true
	case checking:
		return store.Call{Op: store.OpGet, Key: h.recordKey()}, true
	case releasing:
		return store.Call{Op: store.OpLeaseRevoke, Lease: h.lease}, true
	case holding:
	}
	return store.Call{Op: store.OpLeaseRenew, Lease: h.lease}, true
}

// wanted is the record that this acquisition writes.
func (h *Holder) wanted() Record {
	return Record{Fence: max(h.previous.Fence+1, h.minFence), Holder: h.opts.Name, Nonce: h.nonce}
}

// Replied takes the reply to the last call.
func (h *Holder) Replied(now time.Duration, r store.Reply) {
	h.busy = false
	switch h.phase {
	case reading:
		h.read(now, r)
	case granting:
		if r.Status != store.StatusOK {
			h.lost(now)
			return
		}
		h.lease, h.valid, h.phase = r.Lease, h.sent+h.opts.TTL-h.opts.Margin, marking
	case marking:
		if r.Status != store.StatusOK {
			h.lost(now) // an unknown write lapses with its lease
			return
		}
		h.nonce++
		h.phase = recording
	case recording:
		h.recorded(now, r)
	case checking:
		h.checked(now, r)
	case holding:
		h.renewed(now, r)
	case releasing:
		h.lost(now)
	case idle:
	}
}

func (h *Holder) read(now time.Duration, r store.Reply) {
	if r.Status != store.StatusOK {
		h.lost(now)
		return
	}
	h.previous, h.rev = Record{}, 0
	for _, kv := range r.KVs {
		switch kv.Key {
		case h.markerKey():
			h.lost(now) // someone holds it
			return
		case h.recordKey():
			if json.Unmarshal(kv.Value, &h.previous) != nil {
				h.lost(now)
				return
			}
			h.rev = kv.Revision
		}
	}
	h.phase = granting
}

func (h *Holder) recorded(now time.Duration, r store.Reply) {
	switch r.Status {
	case store.StatusOK:
		h.rev = r.Revision
		h.hold(now)
	case store.StatusUnknown:
		h.phase = checking
	default:
		h.lost(now)
	}
}

func (h *Holder) checked(now time.Duration, r store.Reply) {
	var rec Record
	switch {
	case r.Status == store.StatusUnknown || r.Status == store.StatusUnsent || r.Status == store.StatusRefused:
		h.next = now + h.opts.TTL/renewalsPerTTL // ask again while there is time
		if h.next >= h.valid {
			h.lost(now)
		}
		return
	case len(r.KVs) == 1 && json.Unmarshal(r.KVs[0].Value, &rec) == nil && rec == h.wanted():
		h.rev = r.KVs[0].Revision
		h.hold(now)
		return
	}
	// The write may still arrive; it names this holder, who does not hold.
	h.lost(now)
}

func (h *Holder) hold(now time.Duration) {
	h.record = h.wanted()
	h.phase, h.next = holding, now+h.opts.TTL/renewalsPerTTL
}

func (h *Holder) renewed(now time.Duration, r store.Reply) {
	h.next = now + h.opts.TTL/renewalsPerTTL
	switch r.Status {
	case store.StatusOK:
		h.valid = h.sent + h.opts.TTL - h.opts.Margin
	case store.StatusNotFound:
		h.lost(now)
	case store.StatusConflict, store.StatusRefused, store.StatusUnsent, store.StatusUnknown:
	}
}

// lost gives up and tries again after the store lease has lapsed.
func (h *Holder) lost(now time.Duration) {
	h.phase, h.valid, h.lease = idle, 0, 0
	h.next = now + h.opts.TTL/2
}

// Release begins to hand the lease over. The caller has no order in flight.
func (h *Holder) Release(now time.Duration) {
	if h.phase == holding {
		h.phase, h.next, h.valid = releasing, now, 0
	}
}

// Idle reports whether the holder neither holds nor releases the lease.
func (h *Holder) Idle() bool { return h.phase != holding && h.phase != releasing }

// String describes the holder for logs.
func (h *Holder) String() string {
	return fmt.Sprintf("%s fence %d phase %d", h.opts.Name, h.record.Fence, h.phase)
}
