package fleetnode

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/quarantine"
)

// newsLayout is the layout of the element for news in messages without a format number.
type newsLayout uint8

const (
	// newsUnknown means that the peer has not sent any news yet.
	newsUnknown newsLayout = iota
	// newsBrokenRuns is a list of fingerprints in place of News.
	newsBrokenRuns
	// newsWithoutLimits is News without its last field, Limits.
	newsWithoutLimits
	// newsWithLimits is the layout of News in unnumberedFormat's last builds.
	newsWithLimits
)

var newsLayoutNames = [...]string{"unknown", "broken-runs", "crashes", "limits"}

func (l newsLayout) String() string { return newsLayoutNames[l] }

// unnumberedDatagram is a datagram in unnumberedFormat. Its number of elements and their
// types stay as they are: the builds that read it drop every other message.
type unnumberedDatagram struct {
	_             struct{} `cbor:",toarray"`
	From, Domain  string
	FollowsStore  bool
	ConfigVersion uint64
	StorePosition packedPosition
	Peers         []netip.AddrPort
	Gossip        unnumberedGossip
}

// unnumberedGossip is fleet.Gossip in unnumberedFormat.
type unnumberedGossip struct {
	_                       struct{} `cbor:",toarray"`
	Joining, Full           bool
	Loads                   []fleet.TargetLoad
	FirstEvents, EndedLoads []uint64
	FailedTargets           []string
	News                    cbor.RawMessage // in one of several layouts; nil is null
	LeavingTargets          []string
}

// unnumberedNews is fleet.News as newsWithLimits, which it stayed up to processesFormat.
type unnumberedNews struct {
	_         struct{} `cbor:",toarray"`
	Crashes   []quarantine.Crash
	Verdicts  []quarantine.Verdict
	Survivals []quarantine.Survival
	Limits    []fleet.LimitReport
}

// crashNews is fleet.News as newsWithoutLimits.
type crashNews struct {
	_         struct{} `cbor:",toarray"`
	Crashes   []quarantine.Crash
	Verdicts  []quarantine.Verdict
	Survivals []quarantine.Survival
}

// incarnationsDatagram is a datagram in incarnationsFormat.
type incarnationsDatagram struct {
	_             struct{} `cbor:",toarray"`
	From, Domain  string
	FollowsStore  bool
	ConfigVersion uint64
	StorePosition packedPosition
	Peers         []netip.AddrPort
	Gossip        formerGossip[unnumberedNews]
}

// processesDatagram is a datagram in processesFormat.
type processesDatagram struct {
	_             struct{} `cbor:",toarray"`
	From, Domain  string
	FollowsStore  bool
	ConfigVersion uint64
	StorePosition packedPosition
	Peers         []netip.AddrPort
	Gossip        formerGossip[unnumberedNews]
	Incarnation   uint64
}

// formerGossip is fleet.Gossip with news in a former layout, since incarnationsFormat.
type formerGossip[News any] struct {
	_                       struct{} `cbor:",toarray"`
	Joining, Full           bool
	Loads                   []fleet.TargetLoad
	FirstEvents, EndedLoads []uint64
	FailedTargets           []string
	News                    *News
	LeavingTargets          []string
	Leaving                 []fleet.LeavingTarget
}

func newFormerGossip[News any](g *fleet.Gossip, newNews func(*fleet.News) *News) formerGossip[News] {
	former := formerGossip[News]{
		Joining: g.Joining, Full: g.Full, Loads: g.Loads, FirstEvents: g.FirstEvents, EndedLoads: g.EndedLoads,
		FailedTargets: g.FailedTargets, LeavingTargets: g.LeavingTargets, Leaving: g.Leaving,
	}
	if g.News != nil {
		former.News = newNews(g.News)
	}
	return former
}

func newUnnumberedNews(n *fleet.News) *unnumberedNews {
	return &unnumberedNews{Crashes: n.Crashes, Verdicts: n.Verdicts, Survivals: n.Survivals, Limits: n.Limits}
}

// evacuationsDatagram is a datagram in evacuationsFormat.
type evacuationsDatagram struct {
	_             struct{} `cbor:",toarray"`
	From, Domain  string
	FollowsStore  bool
	ConfigVersion uint64
	StorePosition packedPosition
	Peers         []netip.AddrPort
	Gossip        formerGossip[evacuationsNews]
	Incarnation   uint64
	NewestConfig  uint64
	FollowerSign  uint32
	Changes       *targetChanges
}

// evacuationsNews is fleet.News in evacuationsFormat.
type evacuationsNews struct {
	_           struct{} `cbor:",toarray"`
	Crashes     []quarantine.Crash
	Verdicts    []quarantine.Verdict
	Survivals   []quarantine.Survival
	Limits      []fleet.LimitReport
	Evacuations []fleet.EvacuationReport
	Costs       []fleet.CostReport
	Waiting     []fleet.WaitingReport
}

func newEvacuationsNews(n *fleet.News) *evacuationsNews {
	return &evacuationsNews{
		Crashes: n.Crashes, Verdicts: n.Verdicts, Survivals: n.Survivals, Limits: n.Limits,
		Evacuations: n.Evacuations, Costs: n.Costs, Waiting: n.Waiting,
	}
}
