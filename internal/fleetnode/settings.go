// Package fleetnode assembles one entry instance on a platform that provides
// settings, a key-value store and a list of targets.
package fleetnode

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Settings configures one entry instance.
type Settings struct {
	// Name is unique among instances.
	Name          string
	FailureDomain string
	// IP is the address of the machine.
	IP string
	// CallersAddress and ReadyAddress are the listen addresses for callers and
	// for readiness probes, as host:port.
	CallersAddress, ReadyAddress string
	// StoreAddress is the host:port of the platform's store.
	StoreAddress string
	// PeerPort is the UDP port for messages between instances, ExchangePort the
	// TCP port on which they request store data from each other.
	PeerPort, ExchangePort int
	// RelayPort is the TCP port on which they serve each other's requests.
	RelayPort int
	// Seeds are initial peer addresses, host:port; some may be out of date.
	Seeds []string
	// IsSeed says that this instance is itself among the initial addresses of the others.
	IsSeed bool
	// MaxConfigDelay is the time within which a new configuration must be in force.
	MaxConfigDelay time.Duration
	// MaxEvacuationDelay is the time within which no new work may be sent to an evacuated
	// failure domain; zero if the settings do not say.
	MaxEvacuationDelay time.Duration
	// StopGrace is the time from the stop signal until the process is killed.
	StopGrace time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit retries; see fleet.Options.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ReservationTTL is how long a target keeps memory reserved without a renewal.
	ReservationTTL time.Duration
	// MaxIdleReservation is the longest time for which reserved memory may stay unused; zero
	// for no bound.
	MaxIdleReservation time.Duration
	// MemoryBytes is the memory limit of the process; zero means no limit.
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the process may have open; zero for
	// that of the operating system.
	MaxDescriptors int
}

// Validate returns all errors in the settings, joined, or nil.
func (s *Settings) Validate() error {
	var errs []error
	if s.Name == "" {
		errs = append(errs, errors.New("the instance has no name"))
	}
	if net.ParseIP(s.IP) == nil {
		errs = append(errs, fmt.Errorf("%q is no IP address", s.IP))
	}
	for _, a := range []struct{ name, address string }{
		{"callers", s.CallersAddress}, {"ready", s.ReadyAddress}, {"store", s.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			errs = append(errs, fmt.Errorf("%s address %q: %w", a.name, a.address, err))
		}
	}
	if s.PeerPort <= 0 || s.ExchangePort <= 0 || s.RelayPort <= 0 {
		errs = append(errs, errors.New("peer port, exchange port and relay port must be above zero"))
	}
	if s.StopGrace <= 0 || s.MaxConfigDelay <= 0 || s.RetryWindow <= 0 || s.ReservationTTL <= 0 {
		errs = append(errs, fmt.Errorf("stop grace %v, maximum configuration delay %v, retry window %v and reservation TTL %v must be above zero",
			s.StopGrace, s.MaxConfigDelay, s.RetryWindow, s.ReservationTTL))
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		errs = append(errs, errors.New("retry ratio and slack must not be negative"))
	}
	if s.MemoryBytes < 0 || s.MaxDescriptors < 0 {
		errs = append(errs, fmt.Errorf("memory of %d bytes and %d descriptors must not be negative", s.MemoryBytes, s.MaxDescriptors))
	}
	return errors.Join(errs...)
}

// maxChangeDelay is the shortest time within which a change in the store must be in force.
func (s *Settings) maxChangeDelay() time.Duration {
	if s.MaxEvacuationDelay > 0 {
		return min(s.MaxConfigDelay, s.MaxEvacuationDelay)
	}
	return s.MaxConfigDelay
}
