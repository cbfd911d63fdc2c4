package dev

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/instance"
	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/operatorapi"
	"github.com/medlardeck/medlardeck/internal/store"
)

// entryAddress is where an entry instance answers; it keeps its addresses when
// it is started again.
type entryAddress struct {
	callers, operators, peers string // host:port
}

// addEntry starts entry instance i for the first time.
func (d *Deployment) addEntry(i int) error {
	callerPort, operatorPort := 0, 0
	if d.opts.BasePort != 0 {
		callerPort, operatorPort = d.opts.BasePort+i, d.opts.BasePort+OperatorPortOffset+i
	}
	listeners, err := listenAll(loopback(callerPort), loopback(operatorPort), loopback(0))
	if err != nil {
		return err
	}
	at := entryAddress{
		callers: listeners[0].Addr().String(), operators: listeners[1].Addr().String(), peers: listeners[2].Addr().String(),
	}
	d.entries = append(d.entries, at)
	d.Network.Place(at.peers, EntryDomain(i))
	d.instances = append(d.instances, store.Instance{
		Name: entryName(i), Role: membership.EntryRole, FailureDomain: EntryDomain(i), Address: at.peers,
	})
	d.Platform.SetInstances(slices.Clone(d.instances))
	inst, err := d.startEntry(i, listeners)
	if err != nil {
		return err
	}
	d.Instances = append(d.Instances, inst)
	d.Callers = append(d.Callers, "http://"+at.callers)
	d.Operators = append(d.Operators, "http://"+at.operators)
	return nil
}

// startEntry runs entry instance i on its listeners for callers, operators and
// peers.
func (d *Deployment) startEntry(i int, listeners []net.Listener) (*instance.Instance, error) {
	identity, err := d.authority.Issue(entryName(i))
	if err != nil {
		return nil, err
	}
	var peers []string
	for j, at := range d.entries {
		if j != i {
			peers = append(peers, at.peers)
		}
	}
	return instance.Start(instance.Options{
		Entry: entry.Options{
			Name: entryName(i), FailureDomain: EntryDomain(i), Address: d.entries[i].peers, Peers: peers,
			Incarnation: instance.NewIncarnation(), Seed: d.opts.Engine.Seed + uint64(i), Orders: true,
		},
		Callers: listeners[0], Operators: listeners[1], Peers: listeners[2], PeerTLS: identity,
		PlatformURL: d.PlatformURL, DialTimeout: time.Second, Log: d.opts.Log, Speed: d.opts.Engine.Speed,
		Dial:         d.Network.Dialer(EntryDomain(i)),
		OperatorKeys: []operatorapi.Operator{{Name: seedOperator, TokenHash: operatorapi.HashToken(OperatorToken)}},
	})
}

// KillEntry ends an entry instance as a crash does.
func (d *Deployment) KillEntry(i int) { d.Instances[i].Close() }

// StopEntry is a planned stop of an entry instance; see instance.Stop.
func (d *Deployment) StopEntry(ctx context.Context, i int) error { return d.Instances[i].Stop(ctx) }

// RestartEntry starts an entry instance that ended, at its old addresses.
func (d *Deployment) RestartEntry(i int) error {
	at := d.entries[i]
	listeners, err := listenAll(at.callers, at.operators, at.peers)
	if err != nil {
		return err
	}
	inst, err := d.startEntry(i, listeners)
	if err != nil {
		return err
	}
	d.Instances[i] = inst
	return nil
}

// EntryDomain returns the failure domain of entry instance i.
func EntryDomain(i int) string { return Domains[i%len(Domains)] }

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
