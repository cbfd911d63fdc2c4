package quarantine

import (
	"slices"
	"time"
)

// PeerTurnTTL is how long an entry instance leaves the turn of a key to a peer
// that requested it and has not released it.
const PeerTurnTTL = 15 * time.Minute

// turnRequest is a request to all peers for the turns of some keys.
type turnRequest[K comparable] struct {
	keys         []K
	awaitedPeers []string   // peers that have not answered
	busyKeys     map[K]bool // keys that must be requested again
}

// peerTurn is the turn of a key that was left to a peer.
type peerTurn struct {
	peer      string
	expiresAt time.Duration
}

// Turns is a mutual exclusion between the entry instances of a failure domain:
// for each key, one instance at a time has the turn to run the suspects with a
// fingerprint, or to reserve a target.
//
// An instance requests a turn from all peers. A peer that uses the key itself
// refuses. If two instances request a turn at the same time, the one with the
// smaller name gets it. A peer that does not answer counts as agreeing, so that a
// partition does not prevent all retries; this costs one more target for each
// instance that is partitioned off.
type Turns[K comparable] struct {
	self          string
	lastRequestID uint64
	requests      map[uint64]*turnRequest[K] // open requests by id
	requestByKey  map[K]uint64               // id of the open request for a key
	ownTurns      map[K]bool
	peerTurns     map[K]peerTurn
}

// NewTurns returns the Turns of the instance with the name self.
func NewTurns[K comparable](self string) *Turns[K] {
	return &Turns[K]{
		self: self, requests: make(map[uint64]*turnRequest[K]), requestByKey: make(map[K]uint64),
		ownTurns: make(map[K]bool), peerTurns: make(map[K]peerTurn),
	}
}

// HasTurn reports whether this instance has the turn of a key.
func (t *Turns[K]) HasTurn(key K) bool { return t.ownTurns[key] }

// CanRequest reports whether this instance may request the turn of a key: it neither
// has the turn nor an open request for it, and no live peer has it.
func (t *Turns[K]) CanRequest(now time.Duration, key K, live func(peer string) bool) bool {
	if t.ownTurns[key] || t.requestByKey[key] != 0 {
		return false
	}
	turn, ok := t.peerTurns[key]
	return !ok || turn.expiresAt <= now || !live(turn.peer)
}

// Request opens a request for the turns of keys to the given peers and returns its
// id, which is never zero.
func (t *Turns[K]) Request(keys []K, peers []string) uint64 {
	t.lastRequestID++
	t.requests[t.lastRequestID] = &turnRequest[K]{keys: keys, awaitedPeers: slices.Clone(peers), busyKeys: make(map[K]bool)}
	for _, key := range keys {
		t.requestByKey[key] = t.lastRequestID
	}
	return t.lastRequestID
}

// HandleRequest handles a peer's request. It returns the keys that the peer must not
// use now and leaves the turns of the others to it. usedLocally reports whether
// this instance uses a key.
func (t *Turns[K]) HandleRequest(now time.Duration, peer string, keys []K, usedLocally func(K) bool) []K {
	var busy []K
	for _, key := range keys {
		id := t.requestByKey[key]
		if usedLocally(key) || t.ownTurns[key] || id != 0 && t.self < peer {
			busy = append(busy, key)
			continue
		}
		if id != 0 {
			t.requests[id].busyKeys[key] = true
		}
		t.peerTurns[key] = peerTurn{peer: peer, expiresAt: now + PeerTurnTTL}
	}
	return busy
}

// HandleAnswer records a peer's answer to a request; for a peer that does not answer,
// busy is empty. After the last answer it closes the request and returns the keys
// whose turn this instance now has, and those that it has to request again.
func (t *Turns[K]) HandleAnswer(id uint64, peer string, busy []K) (granted, retry []K) {
	req := t.requests[id]
	if req == nil {
		return nil, nil
	}
	for _, key := range busy {
		req.busyKeys[key] = true
	}
	req.awaitedPeers = slices.DeleteFunc(req.awaitedPeers, func(p string) bool { return p == peer })
	if len(req.awaitedPeers) > 0 {
		return nil, nil
	}
	return t.CloseRequest(id)
}

// CloseRequest ends a request without waiting for further answers; peers that have not
// answered count as agreeing. It returns the same as HandleAnswer.
func (t *Turns[K]) CloseRequest(id uint64) (granted, retry []K) {
	req := t.requests[id]
	if req == nil {
		return nil, nil
	}
	delete(t.requests, id)
	for _, key := range req.keys {
		delete(t.requestByKey, key)
		if req.busyKeys[key] {
			retry = append(retry, key)
			continue
		}
		t.ownTurns[key] = true
		delete(t.peerTurns, key)
		granted = append(granted, key)
	}
	return granted, retry
}

// Release returns the turn of a key; it reports whether this instance had it.
func (t *Turns[K]) Release(key K) bool {
	wasOwn := t.ownTurns[key]
	delete(t.ownTurns, key)
	return wasOwn
}

// HandleRelease records that a peer returned the turns of keys.
func (t *Turns[K]) HandleRelease(peer string, keys []K) {
	for _, key := range keys {
		if t.peerTurns[key].peer == peer {
			delete(t.peerTurns, key)
		}
	}
}

// DropTurns removes the turns of keys that need none any more because a verdict was
// reached.
func (t *Turns[K]) DropTurns(keys []K) {
	for _, key := range keys {
		delete(t.ownTurns, key)
		delete(t.peerTurns, key)
	}
}
