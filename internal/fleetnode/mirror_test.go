package fleetnode

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
)

// A long configuration takes a while to decode: targets that leave in the same answer of
// the store do not wait for it, and what is in force is not decoded again.
func TestConfigurationIsDecodedOnceAndAfterTheTargets(t *testing.T) {
	var announced int
	m := newTestMirror(t, &announced)
	var decoded []string
	m.decoder.ConfigKey = "config"
	m.decoder.Config = func(raw []byte) (*fleet.Config, error) {
		decoded = append(decoded, "version "+string(raw))
		return &fleet.Config{Version: uint64(raw[0] - '0')}, nil
	}
	m.decoder.Target = func(key string, _ []byte) (fleet.Target, error) {
		decoded = append(decoded, key)
		return fleet.Target{ID: key}, nil
	}
	list := []follow.Item{{Key: "config", Value: []byte("4"), Revision: 3}, {Key: "t/1", Revision: 7}}
	m.HandleList(list, follow.Position{Revision: 7})
	must.Eq(t, []string{"t/1", "version 4"}, decoded)
	m.HandleList(list, follow.Position{Revision: 8})
	m.adoptConfig([]byte("4"))
	must.Eq(t, []string{"t/1", "version 4", "t/1"}, decoded)
	m.HandleChanges([]follow.Item{
		{Key: "config", Value: []byte("5"), Revision: 9}, {Key: "config", Value: []byte("6"), Revision: 10}, {Key: "t/2", Revision: 11},
	}, follow.Position{Revision: 11})
	must.Eq(t, []string{"t/1", "version 4", "t/1", "t/2", "version 6"}, decoded)
	must.Eq(t, 3, announced)
	version, _ := m.versions()
	must.Eq(t, 6, version)
}
