// Package store is the interface to the platform's key-value service: get,
// compare-and-swap on a revision, leases, watches and the list of instances.
//
// Decision code handles only Call and Reply values; implementations of Store
// carry the calls out. docs/PLATFORM.md documents the semantics.
package store

import "time"

// Op names a kind of call to the store.
type Op string

// Kinds of call.
const (
	OpGet         Op = "get"          // read one key
	OpRange       Op = "range"        // read all keys with a prefix, in pages
	OpCAS         Op = "cas"          // write one key if its revision matches
	OpDelete      Op = "delete"       // delete one key if its revision matches
	OpLeaseGrant  Op = "lease-grant"  // create a lease with a time to live
	OpLeaseRenew  Op = "lease-renew"  // extend a lease
	OpLeaseRevoke Op = "lease-revoke" // end a lease and delete its keys
	OpWatch       Op = "watch"        // wait for changes below a prefix after a revision
	OpInstances   Op = "instances"    // list live and leaving instances; may be out of date
)

// Ops returns every kind of call.
func Ops() []Op {
	return []Op{OpGet, OpRange, OpCAS, OpDelete, OpLeaseGrant, OpLeaseRenew, OpLeaseRevoke, OpWatch, OpInstances}
}

// Call is one call to the store.
type Call struct {
	Op  Op     `json:"op"`
	Key string `json:"key,omitempty"`
	// After is the last key of the previous page of a range.
	After string `json:"after,omitempty"`
	// Value is the new value of a CAS; at most MaxValueBytes.
	Value []byte `json:"value,omitempty"`
	// Revision is the modification revision expected by CAS and delete (zero:
	// the key must not exist), and the revision after which a watch starts.
	Revision int64 `json:"revision,omitempty"`
	// Lease is the lease to renew or revoke, or the one to which a CAS
	// attaches its key.
	Lease int64 `json:"lease,omitempty"`
	// TTL is the time to live that a lease grant requests.
	TTL time.Duration `json:"ttl,omitempty"`
	// Budget bounds the whole call; zero takes the client's default.
	Budget time.Duration `json:"budget,omitempty"`
}

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Status is the known outcome of a call.
type Status string

// Statuses of a reply.
const (
	StatusOK       Status = "ok"
	StatusConflict Status = "conflict"  // the revision did not match; nothing was written
	StatusNotFound Status = "not-found" // no such key or lease; for a watch, its revision is not in the history
	StatusUnsent   Status = "unsent"    // blocked by this process's rate limit or circuit breaker; nothing was written
	StatusUnknown  Status = "unknown"   // no answer; a write may have taken effect
	StatusRefused  Status = "refused"   // the store answered that it did not carry out the call
)

// Statuses returns every status of a reply.
func Statuses() []Status {
	return []Status{StatusOK, StatusConflict, StatusNotFound, StatusUnsent, StatusUnknown, StatusRefused}
}

// KV is one key with its value and the store revision that last changed it.
type KV struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Instance is one entry of the platform's list of instances, which may be out
// of date.
type Instance struct {
	Name          string `json:"name"`
	Role          string `json:"role"` // "entry", "engine" or "service"
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// Reply is the outcome of one call.
type Reply struct {
	Status Status `json:"status"`
	KVs    []KV   `json:"kvs,omitempty"`
	// More reports that a range has further pages after the last key.
	More bool `json:"more,omitempty"`
	// Revision is the store revision of the reply; for a conflict, the current
	// revision of the key.
	Revision  int64         `json:"revision,omitempty"`
	Lease     int64         `json:"lease,omitempty"`
	TTL       time.Duration `json:"ttl,omitempty"`
	Instances []Instance    `json:"instances,omitempty"`
	// Took is the time from the start of the call to its end.
	Took time.Duration `json:"took,omitempty"`
}
