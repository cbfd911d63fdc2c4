package entry

import (
	"github.com/medlardeck/medlardeck/internal/booking"
	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/quarantine"
	"github.com/medlardeck/medlardeck/internal/workspace"
)

// Message is a message between entry instances. Exactly one field besides Relay
// is set, except that a heartbeat may carry Usage. It travels as gob over net/rpc
// and as JSON in traces, so all fields are exported plain data.
type Message struct {
	// Heartbeat carries liveness and the state of the sender.
	Heartbeat *Heartbeat `json:"heartbeat,omitempty"`
	// Members carries every fact that the sender knows, to an instance that joins.
	Members *Members `json:"members,omitempty"`
	// Usage carries the demand of workspaces that the sender sees.
	Usage *Usage `json:"usage,omitempty"`
	// ConfigPull asks for a newer configuration; the next three answer it.
	ConfigPull     *ConfigPull     `json:"config_pull,omitempty"`
	ConfigDeltas   *ConfigDeltas   `json:"config_deltas,omitempty"`
	ConfigIndex    *ConfigIndex    `json:"config_index,omitempty"`
	ConfigSegments *ConfigSegments `json:"config_segments,omitempty"`
	// Quarantine is about requests suspected of crashing targets.
	Quarantine *quarantine.Notice `json:"quarantine,omitempty"`
	// Claims is about claims of non-idempotent calls.
	Claims *booking.Message `json:"claims,omitempty"`
	// Leaving carries the targets that the platform's list shows as leaving.
	Leaving *LeavingTargets `json:"leaving,omitempty"`
	// Relay marks a message that receivers forward once to their neighbours.
	Relay *Relay `json:"relay,omitempty"`
}

// Heartbeat says that the sender is alive, and what others need to know of it.
type Heartbeat struct {
	Instance      string `json:"instance"`
	Incarnation   uint64 `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Leaving       bool   `json:"leaving,omitempty"`
	Revision      int64  `json:"revision"`
	PlanID        string `json:"plan_id,omitempty"`
	Beat          uint64 `json:"beat"`
	// Alone says that the sender knows no other instance and asks for Members.
	Alone bool `json:"alone,omitempty"`
	// Updates are facts about other instances that the sender passes on.
	Updates []membership.Fact `json:"updates,omitempty"`
}

// Members is the membership table of the sender.
type Members struct {
	Facts []membership.Fact `json:"facts"`
}

// Usage is the demand of workspaces that one instance sees.
type Usage struct {
	Instance string             `json:"instance"`
	Demands  []workspace.Demand `json:"demands,omitempty"`
}

// Relay identifies a relayed message.
type Relay struct {
	Origin      string `json:"origin"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// ConfigPull asks a peer for its configuration.
type ConfigPull struct {
	// Revision and PlanID are what the asking instance has in force.
	Revision configuration.Revision `json:"revision"`
	PlanID   string                 `json:"plan_id,omitempty"`
	// Of and Segments ask for these segments of the revision with plan Of.
	Of       string   `json:"of,omitempty"`
	Segments []string `json:"segments,omitempty"`
}

// ConfigDeltas are the changes from the revision of the pull to the sender's.
type ConfigDeltas struct {
	Deltas []configuration.Delta `json:"deltas"`
}

// ConfigIndex is the sender's root and the list of its segments.
type ConfigIndex struct {
	Root  configuration.Root  `json:"root"`
	Index []configuration.Ref `json:"index"`
}

// ConfigSegments are some of the requested segments, by name.
type ConfigSegments struct {
	PlanID   string            `json:"plan_id"`
	Segments map[string][]byte `json:"segments"`
}
