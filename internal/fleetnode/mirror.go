package fleetnode

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
	"github.com/medlardeck/medlardeck/internal/forward"
)

// Decoder translates what the platform's store holds.
type Decoder struct {
	ConfigKey, TargetsPrefix string
	Config                   func(raw []byte) (*fleet.Config, error)
	Target                   func(key string, raw []byte) (fleet.Target, error)
	TargetID                 func(key string) string
}

// mirror hands what the store holds to the decisions, and keeps it for peers
// that cannot reach the store.
type mirror struct {
	decode Decoder
	node   *forward.Node
	log    logr.Logger

	// onInstance is told the address of each instance in the store.
	onInstance func(address string)
	// onChange is told after each change, so that peers hear of it at once.
	onChange func()

	mu            sync.Mutex
	reachable     bool
	known         bool      // HandleStatus was called
	regainedAt    time.Time // when the store came back
	configRaw     []byte
	configVersion uint64
	targets       map[string]follow.Item
	revision      uint64
}

func newMirror(d Decoder, node *forward.Node, log logr.Logger) *mirror {
	return &mirror{decode: d, node: node, log: log, targets: make(map[string]follow.Item)}
}

// HandleStatus implements follow.Handler.
func (m *mirror) HandleStatus(ok bool, err error) {
	m.mu.Lock()
	changed := !m.known || ok != m.reachable
	if ok && m.known && !m.reachable {
		m.regainedAt = time.Now()
	}
	m.reachable, m.known = ok, true
	m.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		m.log.Info("store-unreachable", "cause", err.Error())
	}
	m.node.Step(fleet.StoreSeen{Reachable: ok})
}

// follows says whether the last call to the store was answered.
func (m *mirror) follows() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known && m.reachable
}

// settling reports whether entries that lapsed during an outage of the store may
// still come back.
func (m *mirror) settling() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.regainedAt.IsZero() && time.Since(m.regainedAt) < settleTime
}

// settleTime is how long after the store's return its entries settle.
const settleTime = 2200 * time.Millisecond

// HandleList implements follow.Handler.
func (m *mirror) HandleList(items []follow.Item, revision uint64) {
	var targets []fleet.Target
	listed := make(map[string]follow.Item)
	for _, item := range items {
		if strings.HasPrefix(item.Key, m.decode.TargetsPrefix) {
			listed[item.Key] = item
			if t, ok := m.target(item); ok {
				targets = append(targets, t)
			}
			continue
		}
		m.other(item)
	}
	m.mu.Lock()
	m.targets, m.revision = listed, max(m.revision, revision)
	m.mu.Unlock()
	slices.SortFunc(targets, func(a, b fleet.Target) int { return strings.Compare(a.ID, b.ID) })
	m.node.Step(fleet.TargetList{Targets: targets})
}

// HandleChanges implements follow.Handler.
func (m *mirror) HandleChanges(items []follow.Item, revision uint64) {
	for _, item := range items {
		if !strings.HasPrefix(item.Key, m.decode.TargetsPrefix) {
			m.other(item)
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
			m.node.Step(fleet.TargetRemoved{ID: m.decode.TargetID(item.Key)})
		} else if t, ok := m.target(item); ok {
			m.node.Step(fleet.TargetListed{Target: t})
		}
	}
	m.mu.Lock()
	m.revision = max(m.revision, revision)
	m.mu.Unlock()
	m.onChange()
}

// added takes a peer's targets without ending those that it lacks.
func (m *mirror) added(items []follow.Item) {
	for _, item := range items {
		if t, ok := m.target(item); ok {
			m.node.Step(fleet.TargetListed{Target: t})
		}
	}
}

func (m *mirror) target(item follow.Item) (fleet.Target, bool) {
	t, err := m.decode.Target(item.Key, item.Value)
	if err != nil {
		m.log.Info("target-ignored", "key", item.Key, "revision", item.Revision, "cause", err.Error())
		return t, false
	}
	return t, true
}

// other takes an item that is no target.
func (m *mirror) other(item follow.Item) {
	switch {
	case item.Removed:
	case item.Key == m.decode.ConfigKey:
		m.adopt(item.Value)
	case strings.HasPrefix(item.Key, presencePrefix):
		m.onInstance(string(item.Value))
	}
}

// adopt takes a configuration from the store or a peer; older ones are ignored
// by the decisions.
func (m *mirror) adopt(raw []byte) {
	config, err := m.decode.Config(raw)
	if err != nil {
		m.log.Info("configuration-rejected", "cause", err.Error())
		return
	}
	m.mu.Lock()
	newer := config.Version > m.configVersion
	if newer {
		m.configRaw, m.configVersion = raw, config.Version
	}
	m.mu.Unlock()
	if newer {
		m.node.Step(fleet.Configure{Config: config})
	}
}

func (m *mirror) versions() (configVersion, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configVersion, m.revision
}

// snapshot returns what the mirror holds.
func (m *mirror) snapshot() (config []byte, targets []follow.Item, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range m.targets {
		targets = append(targets, item)
	}
	return m.configRaw, targets, m.revision
}
