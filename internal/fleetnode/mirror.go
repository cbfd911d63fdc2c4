package fleetnode

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
	"github.com/medlardeck/medlardeck/internal/forward"
)

// Decoder decodes the platform's store items.
type Decoder struct {
	ConfigKey, TargetsPrefix string
	Config                   func(raw []byte) (*fleet.Config, error)
	// ConfigVersion returns the version of a configuration without decoding the rest, so
	// that peers can have it before. Nil means that only Config tells the version.
	ConfigVersion func(raw []byte) (uint64, error)
	Target        func(key string, raw []byte) (fleet.Target, error)
	TargetID      func(key string) string
	// EvacuationsPrefix is that of the keys that exist while failure domains are evacuated,
	// each named by its key. Empty for a platform without them.
	EvacuationsPrefix string
	EvacuatedDomain   func(key string) string
}

// mirror passes the store's configuration and targets to the decision core, and
// keeps them for peers that cannot reach the store.
type mirror struct {
	decoder Decoder
	node    *forward.Node
	metrics forward.Metrics
	log     logr.Logger

	// onPeerAddress is called with the address of each instance in the store.
	onPeerAddress func(address string)
	// onList is called after each list of the store, onChange after changes, so that
	// peers learn of them at once. The changes are nil if peers have to ask for them.
	onList   func()
	onChange func(*targetChanges)
	// onEra is called when a new era of the store becomes known.
	onEra func(era uint64)

	// applyMu is held while a list or changes are applied.
	applyMu sync.Mutex
	// listMu is held while the list of targets is compressed.
	listMu         sync.Mutex
	compressedList []byte // as of compressedAt
	compressedAt   follow.Position
	// configMu is held while a configuration is decoded and adopted.
	configMu sync.Mutex

	mu               sync.Mutex
	storeReachable   bool
	storeStatusKnown bool      // HandleStatus has been called
	storeAnsweredAt  time.Time // the last answer while this instance follows the store
	storeRegainedAt  time.Time // end of the last outage, or last restore
	rawConfig        []byte    // in force
	configVersion    uint64
	held             *heldConfig // the newest text, which may still be decoded
	rejectedVersion  uint64      // the newest that could not be decoded
	targets          map[string]follow.Item
	position         follow.Position // of the store, as of targets
	history          targetHistory   // up to position
	era              uint64          // newest known era of the store
	eraKnownAt       time.Time       // when it became known
	relistAskedAt    time.Time       // when needsRelist last returned true
	restoredRevision uint64          // entries up to it are from the copy that began the era
}

func newMirror(d Decoder, node *forward.Node, metrics forward.Metrics, log logr.Logger) *mirror {
	return &mirror{decoder: d, node: node, metrics: metrics, log: log, targets: make(map[string]follow.Item)}
}

// HandleStatus implements follow.Handler.
func (m *mirror) HandleStatus(reachable bool, err error) {
	if reachable {
		m.mu.Lock()
		m.storeAnsweredAt = time.Now()
		m.mu.Unlock()
	}
	m.setStoreStatus(reachable, err)
}

// stopFollowing records that peers pass the store's changes on, and the store counts as
// reachable.
func (m *mirror) stopFollowing() {
	m.mu.Lock()
	m.storeAnsweredAt = time.Time{}
	m.mu.Unlock()
	m.setStoreStatus(true, nil)
}

// storeAnsweredWithin reports whether the store has answered a call of this follower lately.
func (m *mirror) storeAnsweredWithin(period time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeReachable && !m.storeAnsweredAt.IsZero() && time.Since(m.storeAnsweredAt) <= period
}

// setStoreStatus records whether the store is reachable.
func (m *mirror) setStoreStatus(reachable bool, err error) {
	m.mu.Lock()
	changed := !m.storeStatusKnown || reachable != m.storeReachable
	if reachable && m.storeStatusKnown && !m.storeReachable {
		m.storeRegainedAt = time.Now()
	}
	m.storeReachable, m.storeStatusKnown = reachable, true
	m.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		m.log.Info("store-unreachable", "cause", err.Error())
	}
	m.node.Step(fleet.StoreReachability{Reachable: reachable})
}

// isStoreReachable reports whether the store answered the last call.
func (m *mirror) isStoreReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeStatusKnown && m.storeReachable
}

// isStoreLost reports whether the store did not answer the last call.
func (m *mirror) isStoreLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeStatusKnown && !m.storeReachable
}

// entriesSettling reports whether entries that expired during an outage of the
// store, or that a restore has lost, may still reappear.
func (m *mirror) entriesSettling() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.storeRegainedAt.IsZero() && time.Since(m.storeRegainedAt) < settleDuration
}

// settleDuration is how long after an outage or a restore of the store missing entries
// may reappear.
const settleDuration = 2200 * time.Millisecond

// HandleList implements follow.Handler. Peers are told of the new versions.
func (m *mirror) HandleList(items []follow.Item, position follow.Position) {
	m.applyMu.Lock()
	m.applyListedEvacuations(items, position)
	applied := m.applyList(items, position)
	m.applyMu.Unlock()
	if !applied {
		m.onList()
		return
	}
	m.adoptListedConfig(items, m.onList)
}

// applyPeerTargets applies a peer's targets, unless newer ones are known by now. While the
// peer is settling, targets that it lacks stay, and so does the own position, so that the
// request to the peer is repeated.
func (m *mirror) applyPeerTargets(items []follow.Item, position follow.Position, settling bool) (applied bool) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if _, own := m.versions(); position.Compare(own) <= 0 {
		return false
	}
	if settling {
		m.addPeerTargets(items)
	} else {
		m.applyList(items, position)
	}
	return true
}

// applyPeerChanges is applyPeerTargets for changes that continue from what this instance
// knew when it asked for them.
func (m *mirror) applyPeerChanges(items []follow.Item, position follow.Position, settling bool) (applied bool) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if _, own := m.versions(); position.Compare(own) <= 0 {
		return false
	}
	if settling {
		m.addPeerTargets(slices.DeleteFunc(items, func(item follow.Item) bool { return item.Removed }))
		return true
	}
	return m.applyChangesLocked(items, position)
}

// applyList replaces the targets by those of a list of the store, which this instance
// or a peer has read. It returns false for a list of an era before the known one, which is
// ignored.
func (m *mirror) applyList(items []follow.Item, position follow.Position) (applied bool) {
	if !m.advanceEra(position.Era, position.Revision) {
		return false
	}
	var list fleet.TargetList
	listed := make(map[string]follow.Item)
	for _, item := range items {
		if strings.HasPrefix(item.Key, m.decoder.TargetsPrefix) {
			listed[item.Key] = item
			if t, ok := m.decodeTarget(item); ok {
				list.Targets = append(list.Targets, t)
			} else {
				list.Unreadable = append(list.Unreadable, m.decoder.TargetID(item.Key))
			}
			continue
		}
		m.handleOtherItem(item)
	}
	m.mu.Lock()
	continues := m.position.Revision > 0 && position.Era == m.position.Era && position.Compare(m.position) >= 0
	changes := differences(m.targets, listed, position)
	m.targets = listed
	m.advancePositionLocked(position)
	if continues {
		m.history.add(position, changes)
	} else {
		m.history.reset(m.position)
	}
	m.mu.Unlock()
	slices.SortFunc(list.Targets, func(a, b fleet.Target) int { return strings.Compare(a.ID, b.ID) })
	m.node.Step(list)
	return true
}

// HandleChanges implements follow.Handler.
func (m *mirror) HandleChanges(items []follow.Item, position follow.Position) {
	_, after := m.versions()
	if !m.applyChanges(items, position) {
		return
	}
	m.adoptListedConfig(items, func() {
		if m.entriesSettling() || after.Revision == 0 {
			m.onChange(nil)
			return
		}
		m.onChange(newTargetChanges(after, position, m.targetItems(items)))
	})
}

// targetItems returns those of the store's items that are targets.
func (m *mirror) targetItems(items []follow.Item) []follow.Item {
	var targets []follow.Item
	for _, item := range items {
		if strings.HasPrefix(item.Key, m.decoder.TargetsPrefix) {
			targets = append(targets, item)
		}
	}
	return targets
}

// applyChanges applies changes of targets and instances. It returns false for changes of an
// era before the known one, which are ignored.
func (m *mirror) applyChanges(items []follow.Item, position follow.Position) (applied bool) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return m.applyChangesLocked(items, position)
}

// applyChangesLocked is applyChanges; m.applyMu must be held.
func (m *mirror) applyChangesLocked(items []follow.Item, position follow.Position) (applied bool) {
	if !m.advanceEra(position.Era, position.Revision) {
		return false
	}
	m.applyEvacuationChanges(items, position)
	for _, item := range items {
		if !strings.HasPrefix(item.Key, m.decoder.TargetsPrefix) {
			m.handleOtherItem(item)
			continue
		}
		m.mu.Lock()
		if item.Removed {
			delete(m.targets, item.Key)
		} else {
			m.targets[item.Key] = item
		}
		m.mu.Unlock()
		if item.Removed {
			m.node.Step(fleet.TargetRemoved{ID: m.decoder.TargetID(item.Key)})
		} else if t, ok := m.decodeTarget(item); ok {
			m.node.Step(fleet.TargetListed{Target: t})
		}
	}
	m.mu.Lock()
	m.history.add(position, m.targetItems(items))
	m.advancePositionLocked(position)
	m.mu.Unlock()
	return true
}

// advanceEra notes the era of what this instance or a peer has read from the store. A
// restore of the store has lost all later revisions than restoredRevision. It returns false
// if a later era is known.
func (m *mirror) advanceEra(era, restoredRevision uint64) bool {
	m.mu.Lock()
	known := m.era
	restored := known > 0 && era > known
	if restored {
		m.restoredRevision, m.storeRegainedAt = restoredRevision, time.Now()
	}
	if era > known {
		m.era, m.eraKnownAt = era, time.Now()
	}
	m.mu.Unlock()
	if era < known {
		m.log.Info("store-data-ignored", "era", era, "known_era", known)
		return false
	}
	if restored {
		m.log.Info("store-restored", "era", era, "revision", restoredRevision)
		m.node.Step(fleet.StoreRestored{})
	}
	if era > known {
		m.onEra(era)
	}
	return true
}

// inKnownEra returns a position that a peer names. One without an era, from a build that
// knows none, is of the known era, unless the store has been restored since: the peer may
// then name a revision of before.
func (m *mirror) inKnownEra(p follow.Position) follow.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Era == 0 && m.restoredRevision == 0 {
		p.Era = m.era
	}
	return p
}

// advancePositionLocked takes over a later position; m.mu must be held.
func (m *mirror) advancePositionLocked(position follow.Position) {
	if position.Compare(m.position) > 0 {
		m.position = position
	}
}

// lastRestore returns the restoredRevision of the newest known era.
func (m *mirror) lastRestore() (restoredRevision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.restoredRevision
}

// addPeerTargets adds a peer's targets without removing those that the peer
// lacks.
func (m *mirror) addPeerTargets(items []follow.Item) {
	for _, item := range items {
		if t, ok := m.decodeTarget(item); ok {
			m.node.Step(fleet.TargetListed{Target: t})
		}
	}
}

// decodeTarget decodes a target; one that cannot be decoded is logged, counted and
// ignored.
func (m *mirror) decodeTarget(item follow.Item) (fleet.Target, bool) {
	t, err := m.decoder.Target(item.Key, item.Value)
	if err != nil {
		m.metrics.Add("target_entries", "ignored")
		m.log.Info("target-ignored", "key", item.Key, "revision", item.Revision, "cause", err.Error())
		return t, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.Outdated = item.Revision <= m.restoredRevision
	t.Age = time.Since(time.UnixMilli(t.StartedMS))
	t.Listed = fleet.StorePosition{Era: m.era, Revision: item.Revision}
	return t, true
}

// handleOtherItem handles an item that is neither a target nor the configuration: the
// address of an instance.
func (m *mirror) handleOtherItem(item follow.Item) {
	if !item.Removed && strings.HasPrefix(item.Key, instanceKeyPrefix) {
		m.onPeerAddress(string(item.Value))
	}
}

// adoptListedConfig adopts the last configuration among items of the store, and calls
// announce once peers can have it. It is called after the targets have been applied, since a
// long configuration takes a while to decode.
func (m *mirror) adoptListedConfig(items []follow.Item, announce func()) {
	raw := m.listedConfig(items)
	if m.holdListedConfig(raw) {
		announce()
		m.adoptConfig(raw)
		return
	}
	if raw != nil {
		m.adoptConfig(raw)
	}
	announce()
}

// listedConfig returns the last configuration among items of the store, nil if there is none.
func (m *mirror) listedConfig(items []follow.Item) []byte {
	for _, item := range slices.Backward(items) {
		if item.Key == m.decoder.ConfigKey && !item.Removed {
			return item.Value
		}
	}
	return nil
}

// adoptConfig passes a configuration from the store or a peer to the decision
// core if it is newer than the last.
func (m *mirror) adoptConfig(raw []byte) {
	m.configMu.Lock()
	defer m.configMu.Unlock()
	if bytes.Equal(raw, m.latestRawConfig()) { // listed again, or heard of twice
		return
	}
	config, err := m.decoder.Config(raw)
	if err != nil {
		m.log.Info("configuration-rejected", "cause", err.Error())
		m.rejectConfig(raw)
		return
	}
	m.mu.Lock()
	newer := config.Version > m.configVersion
	if newer {
		m.rawConfig, m.configVersion = raw, config.Version
		if m.held == nil || m.held.version < config.Version {
			m.held = &heldConfig{version: config.Version, raw: raw}
		}
	}
	m.mu.Unlock()
	if newer {
		m.node.Step(fleet.Configure{Config: config})
	}
}

func (m *mirror) latestRawConfig() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rawConfig
}

// versions returns the newest configuration version that is held for peers, and the position
// of the store.
func (m *mirror) versions() (configVersion uint64, position follow.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held != nil {
		configVersion = m.held.version
	}
	return configVersion, m.position
}

// snapshot returns the encoded configuration, the targets and their position in the
// store.
func (m *mirror) snapshot() (config []byte, targets []follow.Item, position follow.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range m.targets {
		targets = append(targets, item)
	}
	if m.held != nil {
		config = m.held.raw
	}
	return config, targets, m.position
}
