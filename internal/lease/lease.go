// Package lease elects one entry instance per failure domain as the writer and
// assigns it a fencing token.
//
// The lease consists of two keys in the platform's store: a record with the
// fencing token, which only increases, and a marker that is attached to a store
// lease and disappears when that lease ends. While the marker exists, no other
// instance tries to acquire the lease; the compare-and-swap of the record
// decides between instances that try at the same time. The holder measures the
// validity on its own monotonic clock, from the start of the call that granted
// or renewed the store lease and shortened by a safety margin, so that it stops
// before the store admits another holder.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Default values of Options.
const (
	DefaultTTL          = 10 * time.Second
	DefaultSafetyMargin = 2 * time.Second
)

// renewalsPerTTL is the number of renewals within a TTL; more than one, so that
// the lease survives failed renewals.
const renewalsPerTTL = 4

// Options configures a Holder. If TTL is zero, TTL and SafetyMargin take their
// default values.
type Options struct {
	// KeyPrefix is the common prefix of the record key and the marker key.
	KeyPrefix string
	// Name identifies the instance and its incarnation.
	Name string
	// TTL is the time to live of the store lease. SafetyMargin is how much of it
	// the holder does not use, since clocks run at different rates.
	TTL          time.Duration
	SafetyMargin time.Duration
}

// Record is the value of the record key.
type Record struct {
	// Fence is the fencing token of the holder.
	Fence uint64 `json:"fence"`
	// Holder is the Options.Name of the instance that wrote the record.
	Holder string `json:"holder"`
	// Nonce identifies one acquisition, so that a write whose result is unknown
	// is recognised when the record is read back.
	Nonce uint64 `json:"nonce"`
}

// phase is the state of a Holder; it determines the next call to the store.
type phase int

const (
	idle            phase = iota // the next call starts an acquisition
	readingKeys                  // reads the marker and the record of the previous holder
	requestingLease              // asks the store to grant a store lease
	writingMarker                // writes the marker, which ends with the store lease
	writingRecord                // writes the record with the next fencing token
	verifyingRecord              // reads the record back after a write whose result is unknown
	holding                      // renews the store lease
	revokingLease                // revokes the store lease
)

// Holder acquires and renews the lease. The caller executes the calls that NextCall
// returns, one at a time, and passes each reply to HandleReply. Holder is not safe
// for concurrent use.
type Holder struct {
	opts           Options
	phase          phase
	nonce          uint64
	record         Record
	recordRevision int64         // store revision of the record key, 0 if it does not exist
	leaseID        int64         // of the store lease
	callStartedAt  time.Duration // start of the last call
	validUntil     time.Duration // end of the lease's validity for the holder
	nextCallAt     time.Duration // earliest time of the next call
	callInFlight   bool
	revoking       bool // the call in flight is the revocation
	// minFence is the lowest fencing token to use; it is higher than any that
	// targets reported.
	minFence uint64
	// previous is the record that the latest acquisition replaces.
	previous Record
}

// New returns a Holder that does not hold the lease.
func New(opts Options) *Holder {
	if opts.TTL == 0 {
		opts.TTL, opts.SafetyMargin = DefaultTTL, DefaultSafetyMargin
	}
	return &Holder{opts: opts}
}

func (h *Holder) recordKey() string { return h.opts.KeyPrefix + "/record" }
func (h *Holder) markerKey() string { return h.opts.KeyPrefix + "/writer" }

// FenceIfHeld returns the fencing token, and whether the lease is held at now and stays
// valid for longer than minRemaining.
func (h *Holder) FenceIfHeld(now, minRemaining time.Duration) (fence uint64, ok bool) {
	return h.record.Fence, h.phase == holding && now+minRemaining < h.validUntil
}

// ValidUntil returns the time at which the holder stops relying on the lease.
func (h *Holder) ValidUntil() time.Duration { return h.validUntil }

// PreviousRecord returns the record that the latest acquisition replaced. It is empty
// if there was none.
func (h *Holder) PreviousRecord() Record { return h.previous }

// ObserveFence records that a target has seen the given fencing token. If the holder's
// own token is not higher, which happens after the store was restored from older
// data, it revokes its lease; the next acquisition uses a higher token.
func (h *Holder) ObserveFence(now time.Duration, fence uint64) {
	if fence >= h.minFence {
		h.minFence = fence + 1
	}
	if h.phase == holding && h.record.Fence < h.minFence {
		h.phase, h.nextCallAt = revokingLease, now
	}
}

// NextCall returns the store call to make at now; it returns false if no call is due
// or one is in flight.
func (h *Holder) NextCall(now time.Duration) (store.Call, bool) {
	if h.phase == holding && now >= h.validUntil {
		h.giveUp(now)
	}
	if h.callInFlight || now < h.nextCallAt {
		return store.Call{}, false
	}
	h.callInFlight, h.callStartedAt = true, now
	h.revoking = h.phase == revokingLease
	switch h.phase {
	case idle, readingKeys:
		h.phase = readingKeys
		return store.Call{Op: store.OpRange, Key: h.opts.KeyPrefix + "/"}, true
	case requestingLease:
		return store.Call{Op: store.OpLeaseGrant, TTL: h.opts.TTL}, true
	case writingMarker:
		return store.Call{Op: store.OpCAS, Key: h.markerKey(), Value: []byte(h.opts.Name), Lease: h.leaseID}, true
	case writingRecord:
		value, _ := json.Marshal(h.recordToWrite())
		return store.Call{Op: store.OpCAS, Key: h.recordKey(), Value: value, Revision: h.recordRevision}, true
	case verifyingRecord:
		return store.Call{Op: store.OpGet, Key: h.recordKey()}, true
	case revokingLease:
		return store.Call{Op: store.OpLeaseRevoke, Lease: h.leaseID}, true
	case holding:
	}
	return store.Call{Op: store.OpLeaseRenew, Lease: h.leaseID}, true
}

// recordToWrite returns the record that the current acquisition writes.
func (h *Holder) recordToWrite() Record {
	return Record{Fence: max(h.previous.Fence+1, h.minFence), Holder: h.opts.Name, Nonce: h.nonce}
}

// HandleReply handles the reply to the last call.
func (h *Holder) HandleReply(now time.Duration, r store.Reply) {
	h.callInFlight = false
	switch h.phase {
	case readingKeys:
		h.handleKeysRead(now, r)
	case requestingLease:
		if r.Status != store.StatusOK {
			h.giveUp(now)
			return
		}
		h.leaseID, h.validUntil, h.phase = r.Lease, h.callStartedAt+h.opts.TTL-h.opts.SafetyMargin, writingMarker
	case writingMarker:
		if r.Status != store.StatusOK {
			h.giveUp(now) // if the marker was written after all, it ends with its store lease
			return
		}
		h.nonce++
		h.phase = writingRecord
	case writingRecord:
		h.handleRecordWritten(now, r)
	case verifyingRecord:
		h.handleRecordVerified(now, r)
	case holding:
		h.handleRenewal(now, r)
	case revokingLease:
		if h.revoking { // not a renewal that was in flight at the release
			h.giveUp(now)
		}
	case idle:
	}
}

// handleKeysRead continues the acquisition unless the marker of another holder
// exists.
func (h *Holder) handleKeysRead(now time.Duration, r store.Reply) {
	if r.Status != store.StatusOK {
		h.giveUp(now)
		return
	}
	h.previous, h.recordRevision = Record{}, 0
	for _, kv := range r.KVs {
		switch kv.Key {
		case h.markerKey():
			h.giveUp(now) // another instance holds the lease
			return
		case h.recordKey():
			if json.Unmarshal(kv.Value, &h.previous) != nil {
				h.giveUp(now)
				return
			}
			h.recordRevision = kv.Revision
		}
	}
	h.phase = requestingLease
}

func (h *Holder) handleRecordWritten(now time.Duration, r store.Reply) {
	switch r.Status {
	case store.StatusOK:
		h.recordRevision = r.Revision
		h.startHolding(now)
	case store.StatusUnknown:
		h.phase = verifyingRecord
	default:
		h.giveUp(now)
	}
}

func (h *Holder) handleRecordVerified(now time.Duration, r store.Reply) {
	var stored Record
	switch {
	case r.Status == store.StatusUnknown || r.Status == store.StatusUnsent || r.Status == store.StatusRefused:
		h.nextCallAt = now + h.opts.TTL/renewalsPerTTL // read again while the lease is valid
		if h.nextCallAt >= h.validUntil {
			h.giveUp(now)
		}
		return
	case len(r.KVs) == 1 && json.Unmarshal(r.KVs[0].Value, &stored) == nil && stored == h.recordToWrite():
		h.recordRevision = r.KVs[0].Revision
		h.startHolding(now)
		return
	}
	// The write may still take effect. The record then names this holder,
	// although it does not hold the lease.
	h.giveUp(now)
}

func (h *Holder) startHolding(now time.Duration) {
	h.record = h.recordToWrite()
	h.phase, h.nextCallAt = holding, now+h.opts.TTL/renewalsPerTTL
}

func (h *Holder) handleRenewal(now time.Duration, r store.Reply) {
	h.nextCallAt = now + h.opts.TTL/renewalsPerTTL
	switch r.Status {
	case store.StatusOK:
		h.validUntil = h.callStartedAt + h.opts.TTL - h.opts.SafetyMargin
	case store.StatusNotFound:
		h.giveUp(now)
	case store.StatusConflict, store.StatusRefused, store.StatusUnsent, store.StatusUnknown:
	}
}

// giveUp abandons the lease or its acquisition. The next attempt starts after
// half the TTL; when a held lease has run out, this is after the end of the
// store lease.
func (h *Holder) giveUp(now time.Duration) {
	h.phase, h.validUntil, h.leaseID = idle, 0, 0
	h.nextCallAt = now + h.opts.TTL/2
}

// Release revokes the store lease with the next call, so that another instance
// can take over. The caller must have no order in flight.
func (h *Holder) Release(now time.Duration) {
	if h.phase == holding {
		h.phase, h.nextCallAt, h.validUntil = revokingLease, now, 0
	}
}

// Idle reports whether the lease is neither held nor being revoked.
func (h *Holder) Idle() bool { return h.phase != holding && h.phase != revokingLease }

// String returns a description of the holder for logs.
func (h *Holder) String() string {
	return fmt.Sprintf("%s fence %d phase %d", h.opts.Name, h.record.Fence, h.phase)
}
