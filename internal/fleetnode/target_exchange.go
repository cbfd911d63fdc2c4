package fleetnode

import (
	"net/netip"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
)

// TargetsRequest asks for the changes of targets after a position of the store.
type TargetsRequest struct{ Era, Revision uint64 }

// TargetsReply is the answer to a TargetsRequest. Revision is zero if there are no changes.
type TargetsReply struct {
	// Changes lead to the position, unless Compressed has the whole list.
	Changes    []follow.Item
	Compressed []byte // CBOR, with DEFLATE
	// Era, Revision, RestoredRevision and Settling are those of a Snapshot.
	Era, Revision    uint64
	RestoredRevision uint64
	Settling         bool
	// Busy, Referrals and Evacuations are those of a ConfigReply.
	Busy        bool
	Referrals   []netip.Addr
	Evacuations []fleet.EvacuationReport
}

// Targets returns the changes of targets after the requester's position, or the whole list
// if they are not known or too many.
func (e *Exchange) Targets(request TargetsRequest, reply *TargetsReply) error {
	e.kind.Store(uint32(trafficTargets))
	reply.Evacuations = e.mirror.node.Evacuations()
	known := follow.Position{Era: request.Era, Revision: request.Revision}
	changes, position, ok := e.mirror.changesSince(known)
	if position.Compare(known) <= 0 {
		return nil
	}
	settling := e.mirror.entriesSettling()
	restoredRevision := e.mirror.lastRestore()
	if !ok {
		if reply.Referrals, ok = e.conn.begin(transferKey{position: packPosition(position)}); !ok {
			reply.Busy = true
			return nil
		}
		var err error
		if reply.Compressed, position, err = e.mirror.targetList(); err != nil {
			return err
		}
	}
	reply.Changes, reply.Era, reply.Revision = changes, position.Era, position.Revision
	reply.RestoredRevision, reply.Settling = restoredRevision, settling
	return nil
}

// wantTargets requests the targets from peers in the background, at most once each
// minExchangeInterval.
func (x *snapshotExchanger) wantTargets() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fetchingTargets || time.Now().Before(x.nextTargetsAt) {
		return
	}
	x.fetchingTargets = true
	x.nextTargetsAt = time.Now().Add(minExchangeInterval)
	go x.fetchTargets()
}

// fetchTargets asks one peer after the other until one has answered with its changes. The
// next message of a peer that is ahead starts it again.
func (x *snapshotExchanger) fetchTargets() {
	defer func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.fetchingTargets = false
	}()
	var from sources
	for began := time.Now(); time.Since(began) < x.maxConfigDelay && !x.followsStore(); {
		_, own := x.mirror.versions()
		holders := x.gossip.targetHolders(func(p follow.Position) bool { return x.mirror.inKnownEra(p).Compare(own) > 0 })
		if len(holders) == 0 {
			return
		}
		from.add(holders...)
		if peer, ok := from.pick(); ok && x.askForTargets(peer, own, &from) {
			return
		}
		x.busyPause()
	}
}

// askForTargets asks a peer for the changes of targets after the own position and applies
// them. It returns false if another peer has to be asked.
func (x *snapshotExchanger) askForTargets(peer netip.Addr, own follow.Position, from *sources) (got bool) {
	var reply TargetsReply
	address := netip.AddrPortFrom(peer, uint16(x.port))
	if !x.ask(address, trafficTargets, "Exchange.Targets", TargetsRequest{own.Era, own.Revision}, &reply, from) {
		return false
	}
	x.mirror.applyPeerEvacuations(reply.Evacuations)
	position := follow.Position{Era: reply.Era, Revision: reply.Revision}
	switch {
	case reply.Busy:
		x.countRetry(retryBusy)
		from.refer(peer, reply.Referrals)
		return false
	case position.Compare(own) <= 0:
		x.countRetry(retryNotHeld)
		from.fail(peer)
		return false
	}
	items, whole := reply.Changes, len(reply.Compressed) > 0
	if whole {
		var err error
		if items, err = decompressTargets(reply.Compressed); err != nil {
			x.log.Info("targets-unreadable", "peer", address.String(), "cause", err.Error())
			from.fail(peer)
			return false
		}
	}
	if !x.mirror.advanceEra(position.Era, reply.RestoredRevision) {
		from.fail(peer)
		return false
	}
	apply := x.mirror.applyPeerChanges
	if whole {
		apply = x.mirror.applyPeerTargets
	}
	applied := apply(items, position, reply.Settling)
	x.log.Info("targets-from-peer", "peer", address.String(), "era", position.Era, "revision", reply.Revision,
		"targets", len(items), "whole", whole, "settling", reply.Settling, "applied", applied)
	return true
}

// targetChanges are the changes of targets between two positions of the store, as a follower
// sends them to the peers of its failure domain.
type targetChanges struct {
	_     struct{} `cbor:",toarray"`
	After packedPosition
	UpTo  packedPosition
	Items []wireItem
}

// maxSentChangeBytes bounds the changes in one datagram; peers ask for longer ones.
const maxSentChangeBytes = 8 << 10

// newTargetChanges returns the changes for a datagram, nil if they are too long.
func newTargetChanges(after, upTo follow.Position, items []follow.Item) *targetChanges {
	length := 0
	for _, item := range items {
		length += len(item.Key) + len(item.Value)
	}
	if after.Era != upTo.Era || length > maxSentChangeBytes {
		return nil
	}
	return &targetChanges{After: packPosition(after), UpTo: packPosition(upTo), Items: toWire(items)}
}

// applySentChanges applies changes that a follower has sent, if they continue from what this
// instance knows. Otherwise it asks for them.
func (m *mirror) applySentChanges(c *targetChanges) {
	after, upTo := c.After.position(), c.UpTo.position()
	if !m.applyMu.TryLock() {
		return // a list is being applied; messages do not wait for it
	}
	defer m.applyMu.Unlock()
	if _, own := m.versions(); own.Revision > 0 && own.Era == upTo.Era && own.Compare(after) >= 0 && own.Compare(upTo) < 0 {
		m.applyChangesLocked(fromWire(c.Items), upTo)
	}
}

// changesSince returns the changes of targets after a position and the position to which they
// lead. It returns false if they are not known or too many.
func (m *mirror) changesSince(known follow.Position) ([]follow.Item, follow.Position, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes, ok := m.history.since(known)
	return changes, m.position, ok
}

// targetList returns the whole list of targets for peers and its position. It is compressed
// once for all that ask.
func (m *mirror) targetList() ([]byte, follow.Position, error) {
	m.listMu.Lock()
	defer m.listMu.Unlock()
	if _, position := m.versions(); m.compressedList != nil && m.compressedAt == position {
		return m.compressedList, position, nil
	}
	_, targets, position := m.snapshot()
	compressed, err := compressTargets(targets)
	if err != nil {
		return nil, position, err
	}
	m.compressedList, m.compressedAt = compressed, position
	return compressed, position, nil
}
