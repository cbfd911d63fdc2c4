package fleetnode

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
)

// datagram is one message between instances. New elements are appended to it and to the
// types that it contains; see docs/design/messages.md.
type datagram struct {
	_            struct{} `cbor:",toarray"`
	From, Domain string
	// FollowsStore reports whether the sender follows the store and gets
	// responses from it.
	FollowsStore bool
	// ConfigVersion and StorePosition are the newest that the sender has.
	ConfigVersion uint64
	StorePosition packedPosition
	// Peers are addresses of instances that the sender knows; set only in
	// messages that state all loads.
	Peers  []netip.AddrPort
	Gossip fleet.Gossip
	// Incarnation tells the sender's process from others that have had its name; zero from
	// builds that do not send it.
	Incarnation uint64
	// NewestConfig is the newest version that the sender has heard of.
	NewestConfig uint64
	// FollowerSign is one more than the milliseconds since the last sign of an instance that
	// follows the store and gets responses, rounded up; one if the sender itself does. Zero
	// says nothing.
	FollowerSign uint32
	// Changes are those that the sender has just read from the store; nil for none.
	Changes *targetChanges
}

// packedPosition is a position of the store as one number. Builds that do not know of
// eras send and compare the revision alone, which is a position of era zero.
type packedPosition uint64

// revisionBits is the number of low bits of a packedPosition that hold the revision.
const revisionBits = 44

func packPosition(p follow.Position) packedPosition {
	return packedPosition(p.Era<<revisionBits | p.Revision&(1<<revisionBits-1))
}

func (p packedPosition) position() follow.Position {
	return follow.Position{Era: uint64(p) >> revisionBits, Revision: uint64(p) & (1<<revisionBits - 1)}
}

// withoutEra is the position for builds that do not know of eras.
func (p packedPosition) withoutEra() packedPosition { return packedPosition(p.position().Revision) }

// messageFormat is the number of the form in which a build writes its messages. It rises
// when builds have to know of a peer that it reads something new. It travels as the number
// of a CBOR tag around the message, which decoders skip that do not know the tag.
type messageFormat uint32

const (
	// unnumberedFormat is that of the builds before formats had numbers.
	unnumberedFormat messageFormat = 0
	// incarnationsFormat is the first that names leaving targets with their start.
	incarnationsFormat messageFormat = 1
	// processesFormat is the first that tells the sender's process from others of its name.
	processesFormat messageFormat = 2
	// evacuationsFormat is the first whose news have evacuations, costs and waiting requests.
	evacuationsFormat messageFormat = 3
	// crashedRunsFormat is the first whose news have the runs that crashes ended.
	crashedRunsFormat messageFormat = 4
	// currentFormat is that of this build.
	currentFormat = crashedRunsFormat
	// formatTag is the number of the CBOR tag of format zero.
	formatTag uint64 = 0x6d646b00
	// maxFormat is the largest format that the tag can hold.
	maxFormat messageFormat = 0xff
)

// formatHeadBytes is the length of the tag's encoding: one byte and four of its number.
const formatHeadBytes = 5

// cborTag32 is the first byte of a CBOR tag whose number takes four bytes.
const cborTag32 = 0xda

// splitFormat returns the format of a message and the message without its tag.
func splitFormat(raw []byte) (messageFormat, []byte) {
	if len(raw) < formatHeadBytes || raw[0] != cborTag32 {
		return unnumberedFormat, raw
	}
	number := uint64(binary.BigEndian.Uint32(raw[1:formatHeadBytes]))
	if number <= formatTag || number > formatTag+uint64(maxFormat) {
		return unnumberedFormat, raw
	}
	return messageFormat(number - formatTag), raw[formatHeadBytes:]
}

// encode returns a message in the form that a peer reads.
func (d *datagram) encode(form peerForm) ([][]byte, error) {
	var content any = d
	switch form.format {
	case unnumberedFormat:
		return d.encodeUnnumbered(form)
	case incarnationsFormat:
		content = &incarnationsDatagram{
			From: d.From, Domain: d.Domain, FollowsStore: d.FollowsStore, ConfigVersion: d.ConfigVersion,
			StorePosition: d.StorePosition, Peers: d.Peers, Gossip: newFormerGossip(&d.Gossip, newUnnumberedNews),
		}
	case processesFormat:
		content = &processesDatagram{
			From: d.From, Domain: d.Domain, FollowsStore: d.FollowsStore, ConfigVersion: d.ConfigVersion,
			StorePosition: d.StorePosition, Peers: d.Peers, Gossip: newFormerGossip(&d.Gossip, newUnnumberedNews), Incarnation: d.Incarnation,
		}
	case evacuationsFormat:
		content = &evacuationsDatagram{
			From: d.From, Domain: d.Domain, FollowsStore: d.FollowsStore, ConfigVersion: d.ConfigVersion,
			StorePosition: d.StorePosition, Peers: d.Peers, Gossip: newFormerGossip(&d.Gossip, newEvacuationsNews), Incarnation: d.Incarnation,
			NewestConfig: d.NewestConfig, FollowerSign: d.FollowerSign, Changes: d.Changes,
		}
	}
	raw, err := cbor.Marshal(cbor.Tag{Number: formatTag + uint64(currentFormat), Content: content})
	if err != nil {
		return nil, fmt.Errorf("encode a message to peers: %w", err)
	}
	return [][]byte{raw}, nil
}

// encodeUnnumbered returns a message for builds without format numbers. While it is not
// known whether a peer reads news, these go in a message of their own, so that a peer
// that does not loses nothing else.
func (d *datagram) encodeUnnumbered(form peerForm) ([][]byte, error) {
	g := &d.Gossip
	u := unnumberedDatagram{
		From: d.From, Domain: d.Domain, FollowsStore: d.FollowsStore, ConfigVersion: d.ConfigVersion,
		StorePosition: d.StorePosition, Peers: d.Peers,
		Gossip: unnumberedGossip{
			Joining: g.Joining, Full: g.Full, Loads: g.Loads, FirstEvents: g.FirstEvents, EndedLoads: g.EndedLoads,
			FailedTargets: g.FailedTargets, LeavingTargets: g.LeavingTargets,
		},
	}
	for _, leaving := range g.Leaving {
		u.Gossip.LeavingTargets = append(u.Gossip.LeavingTargets, leaving.ID)
	}
	if !form.eras {
		u.StorePosition = d.StorePosition.withoutEra()
	}
	news, err := encodeNews(g.News, form.news)
	if err != nil {
		return nil, err
	}
	messages := []unnumberedDatagram{u}
	if form.news == newsUnknown && news != nil {
		u.Peers, u.Gossip = nil, unnumberedGossip{News: news}
		messages = append(messages, u)
	} else {
		messages[0].Gossip.News = news
	}
	var encoded [][]byte
	for i := range messages {
		raw, err := cbor.Marshal(cbor.Tag{Number: formatTag + uint64(currentFormat), Content: &messages[i]})
		if err != nil {
			return nil, fmt.Errorf("encode a message to peers without format numbers: %w", err)
		}
		encoded = append(encoded, raw)
	}
	return encoded, nil
}

// encodeNews returns news in a layout, or nil if there are none or the layout has none.
func encodeNews(n *fleet.News, layout newsLayout) (cbor.RawMessage, error) {
	if n == nil || layout == newsBrokenRuns {
		return nil, nil
	}
	var content any = newUnnumberedNews(n)
	if layout == newsWithoutLimits {
		content = crashNews{Crashes: n.Crashes, Verdicts: n.Verdicts, Survivals: n.Survivals}
	}
	raw, err := cbor.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode news to peers without format numbers: %w", err)
	}
	return raw, nil
}

// datagram returns the message in the form of this build, without its news.
func (u *unnumberedDatagram) datagram() datagram {
	return datagram{
		From: u.From, Domain: u.Domain, FollowsStore: u.FollowsStore, ConfigVersion: u.ConfigVersion,
		StorePosition: u.StorePosition, Peers: u.Peers,
		Gossip: fleet.Gossip{
			Joining: u.Gossip.Joining, Full: u.Gossip.Full, Loads: u.Gossip.Loads, FirstEvents: u.Gossip.FirstEvents,
			EndedLoads: u.Gossip.EndedLoads, FailedTargets: u.Gossip.FailedTargets, LeavingTargets: u.Gossip.LeavingTargets,
		},
	}
}
