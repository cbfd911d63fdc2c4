package fleetnode

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
)

// crowdedStore is a Store with so many entries of other writers that only the configuration can
// be listed.
type crowdedStore struct{ version atomic.Uint64 }

func (s *crowdedStore) List(_ context.Context, prefix string) ([]follow.Item, follow.Position, error) {
	if prefix != "config" {
		return nil, follow.Position{}, follow.ErrTooLong
	}
	value := strconv.FormatUint(s.version.Load(), 10)
	return []follow.Item{{Key: "config", Value: []byte(value), Revision: s.version.Load()}}, follow.Position{Revision: s.version.Load()}, nil
}

func (*crowdedStore) Watch(context.Context, string, follow.Position, time.Duration) ([]follow.Item, follow.Position, error) {
	return nil, follow.Position{}, errors.New("the changes are too long")
}

func (*crowdedStore) Put(context.Context, string, []byte) (uint64, error) { return 1, nil }

func (*crowdedStore) SetAddress(string) {}

// While the store had more entries than a list may have, no change of the configuration came into
// force, and a withdrawn key stayed in use.
func TestConfigurationIsReadWhileTheListIsTooLong(t *testing.T) {
	var store crowdedStore
	store.version.Store(3)
	const delay = 2 * time.Second
	i, err := Start(Options{
		Store: &store, Log: logr.Discard(),
		Settings: Settings{
			Name: "front-1", FailureDomain: "a", IP: "127.0.0.1", CallersAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
			MaxConfigDelay: delay, StopGrace: time.Second, RetryWindow: 10 * time.Second, ReservationTTL: time.Second,
		},
		Decoder: Decoder{ConfigKey: "config", TargetsPrefix: "targets/", Config: func(raw []byte) (*fleet.Config, error) {
			version, err := strconv.ParseUint(string(raw), 10, 64)
			return &fleet.Config{Version: version}, err
		}},
	})
	must.NoError(t, err)
	t.Cleanup(i.Close)
	for version := uint64(3); version < 6; version++ {
		store.version.Store(version)
		must.Wait(t, wait.InitialSuccess(wait.Timeout(delay), wait.Gap(20*time.Millisecond), wait.BoolFunc(func() bool {
			config, _ := i.node.Config()
			return config != nil && config.Version == version
		})))
	}
}
