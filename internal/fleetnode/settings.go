// Package fleetnode assembles one entry instance on a platform that gives it
// settings, a store and a list of targets.
package fleetnode

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Settings are those of one entry instance.
type Settings struct {
	// Name is unique among instances.
	Name          string
	FailureDomain string
	// IP is the address of the machine.
	IP string
	// CallersAddress and ReadyAddress are host:port.
	CallersAddress, ReadyAddress string
	// StoreAddress is host:port of the platform's store.
	StoreAddress string
	// PeerPort is the UDP port of messages between instances, ExchangePort the
	// TCP port on which they ask each other for what the store holds.
	PeerPort, ExchangePort int
	// Seeds are peer addresses, host:port, that may be out of date.
	Seeds []string
	// ConfigLag is the time in which a configuration has to be in force.
	ConfigLag time.Duration
	// StopGrace is the time from the order to stop until the process is killed.
	StopGrace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound repeated sends; see
	// fleet.Options.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// TicketHold is how long targets set memory aside without a renewal.
	TicketHold time.Duration
	// MemoryBytes is the most that the process may use; zero is no limit.
	MemoryBytes int64
}

// Validate returns every fault of the settings, or nil.
func (s *Settings) Validate() error {
	var faults []error
	if s.Name == "" {
		faults = append(faults, errors.New("the instance has no name"))
	}
	if net.ParseIP(s.IP) == nil {
		faults = append(faults, fmt.Errorf("%q is no IP address", s.IP))
	}
	for _, a := range []struct{ name, address string }{
		{"callers", s.CallersAddress}, {"ready", s.ReadyAddress}, {"store", s.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			faults = append(faults, fmt.Errorf("%s address %q: %w", a.name, a.address, err))
		}
	}
	if s.PeerPort <= 0 || s.ExchangePort <= 0 {
		faults = append(faults, errors.New("no ports for peers"))
	}
	if s.StopGrace <= 0 || s.ConfigLag <= 0 || s.RetryWindow <= 0 || s.TicketHold <= 0 {
		faults = append(faults, fmt.Errorf("stop grace %v, configuration lag %v, retry window %v and ticket hold %v must be above zero",
			s.StopGrace, s.ConfigLag, s.RetryWindow, s.TicketHold))
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		faults = append(faults, errors.New("retry ratio and slack must not be negative"))
	}
	return errors.Join(faults...)
}
