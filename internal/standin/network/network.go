// Package network is a stand-in for the network between failure domains: its
// dialers carry real connections, and a cut holds back all traffic between one
// domain and the rest, as lost packets do, until it is healed.
package network

import (
	"context"
	"net"
	"sync"
)

// Network knows which failure domain each address lies in, and which domains
// are cut off.
type Network struct {
	mu      sync.Mutex
	domains map[string]string // by address
	cut     map[string]chan struct{}
}

// New returns a network without addresses and cuts.
func New() *Network {
	return &Network{domains: map[string]string{}, cut: map[string]chan struct{}{}}
}

// Place puts an address, host:port, into a failure domain. Addresses without a
// domain are never cut off.
func (n *Network) Place(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[address] = domain
}

// Cut holds back all traffic between the domain and every other.
func (n *Network) Cut(domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[domain] == nil {
		n.cut[domain] = make(chan struct{})
	}
}

// Heal ends a cut: traffic held back goes on.
func (n *Network) Heal(domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if healed := n.cut[domain]; healed != nil {
		close(healed)
		delete(n.cut, domain)
	}
}

// barrier returns a channel that is closed when one of the cuts between the
// two domains heals, nil when they can reach each other.
func (n *Network) barrier(from, to string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from == to || to == "" {
		return nil
	}
	if c := n.cut[from]; c != nil {
		return c
	}
	if c := n.cut[to]; c != nil {
		return c
	}
	return nil
}

// Dialer returns the dial function of a process in a failure domain.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.domains[address]
		n.mu.Unlock()
		for b := n.barrier(from, to); b != nil; b = n.barrier(from, to) {
			select {
			case <-b:
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			}
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, n, from, to), nil
	}
}
