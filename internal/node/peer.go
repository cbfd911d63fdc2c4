package node

import (
	"context"
	"errors"
	"time"

	"github.com/medlardeck/medlardeck/internal/entry"
)

// peerSendTimeout limits the delivery of one message to a peer.
const peerSendTimeout = 2 * time.Second

// maxPeerSends limits the messages in delivery at once; further messages fail at
// once with errPeersBusy.
const maxPeerSends = 256

var (
	errNoPeers   = errors.New("send to peer: instance has no peers")
	errPeersBusy = errors.New("send to peer: too many messages in delivery")
)

// Receive passes a message from a peer to the entry.
func (n *Node) Receive(from string, msg entry.Message) {
	n.Step(entry.PeerMessage{From: from, Message: msg})
}

// sendToPeer sends a message in a goroutine and reports a failure to package entry as
// a PeerFailed event. n.mu is held.
func (n *Node) sendToPeer(eff entry.PeerSend) {
	n.spawn(func() {
		if err := n.deliverToPeer(eff); err != nil && n.ctx.Err() == nil {
			n.opts.Log.V(1).Info("peer-send-failed", "to", eff.To, "address", eff.Address, "error", err.Error())
			n.Step(entry.PeerFailed{To: eff.To, ID: eff.ID})
		}
	})
}

// deliverToPeer sends one message within peerSendTimeout. It never waits for one
// of the maxPeerSends slots.
func (n *Node) deliverToPeer(eff entry.PeerSend) error {
	if n.opts.Peers == nil {
		return errNoPeers
	}
	select {
	case n.peerSendSlots <- struct{}{}:
		defer func() { <-n.peerSendSlots }()
	default:
		return errPeersBusy
	}
	ctx, cancel := context.WithTimeout(n.ctx, peerSendTimeout)
	defer cancel()
	return n.opts.Peers.Send(ctx, eff.Address, eff.Message)
}
