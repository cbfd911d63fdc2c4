package load

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/membership"
	"github.com/medlardeck/medlardeck/internal/node"
	"github.com/medlardeck/medlardeck/internal/peer"
	standin "github.com/medlardeck/medlardeck/internal/standin/platform"
	"github.com/medlardeck/medlardeck/internal/store"
)

// cluster is many entry instances without callers and targets: real nodes and
// peer connections over TLS, and the stand-in store over HTTP.
type cluster struct {
	service    *standin.Service
	server     *httptest.Server
	watch      *adoptions
	nodes      []*node.Node
	clients    []*peer.Client
	servers    []*peer.Server
	stores     []*store.HTTP
	instances  []store.Instance
	cut        string // failure domain without a path to the store
	configured time.Duration
}

// adoptions notes when instances put a configuration in force.
type adoptions struct {
	mu      sync.Mutex
	first   time.Time
	times   []time.Duration
	changed chan struct{}
}

// adoptedSuffix ends the reason under which an adoption is counted.
var adoptedSuffix = "/" + string(configuration.JudgementAdopted)

// Add implements node.Counter.
func (a *adoptions) Add(counter, reason string) {
	if counter != entry.CounterConfiguration || !strings.HasSuffix(reason, adoptedSuffix) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.times) == 0 {
		a.first = time.Now()
	}
	a.times = append(a.times, time.Since(a.first))
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// arm forgets earlier adoptions.
func (a *adoptions) arm() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = nil
}

// wait returns the times of n adoptions after the first, which is the
// accepting instance's own.
func (a *adoptions) wait(ctx context.Context, n int) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	for {
		a.mu.Lock()
		times := slices.Clone(a.times)
		a.mu.Unlock()
		if len(times) >= n {
			return times[1:], nil
		}
		select {
		case <-a.changed:
		case <-ctx.Done():
			return nil, fmt.Errorf("in force at %d of %d instances: %w", len(times), n, ctx.Err())
		}
	}
}

// startCluster starts all instances at once on a store with a first revision.
func startCluster(ctx context.Context, instances, domains int, seed uint64) (*cluster, error) {
	f := &cluster{
		service: standin.New(standin.Options{Seed: seed}),
		watch:   &adoptions{changed: make(chan struct{}, 1)},
	}
	f.server = httptest.NewServer(f.service.Handler())
	if err := configuration.Seed(ctx, f.service.Local("seed"), spreadIntent(), "load", time.Now()); err != nil {
		return f, err
	}
	authority, err := peer.NewAuthority()
	if err != nil {
		return f, err
	}
	listeners := make([]net.Listener, instances)
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return f, fmt.Errorf("listen for peers: %w", err)
		}
		f.instances = append(f.instances, store.Instance{
			Name: fmt.Sprintf("entry-%04d", i), Role: membership.EntryRole,
			FailureDomain: fmt.Sprintf("domain-%d", i%domains), Address: listeners[i].Addr().String(),
		})
	}
	f.service.SetInstances(f.instances)
	start := time.Now()
	for i, ln := range listeners {
		if err := f.startNode(i, ln, authority, seed); err != nil {
			return f, err
		}
	}
	for _, n := range f.nodes {
		select {
		case <-n.Configured():
		case <-time.After(spreadLimit):
			return f, fmt.Errorf("an instance has no configuration after %v", spreadLimit)
		case <-ctx.Done():
			return f, ctx.Err()
		}
	}
	f.configured = time.Since(start)
	return f, nil
}

func (f *cluster) startNode(i int, ln net.Listener, authority *peer.Authority, seed uint64) error {
	in := f.instances[i]
	identity, err := authority.Issue(in.Name)
	if err != nil {
		return err
	}
	client, kv := peer.NewClient(in.Name, identity.Client()), store.NewHTTP(f.server.URL, in.Name)
	n := node.New(node.Options{
		Entry: entry.Options{
			Name: in.Name, FailureDomain: in.FailureDomain, Address: in.Address, Incarnation: 1, Seed: seed + uint64(i),
		},
		Peers: client, Log: logr.Discard(), Counter: f.watch,
		Store: store.NewClient(kv, store.ClientOptions{Seed: uint64(i)}),
	})
	f.nodes, f.clients, f.stores = append(f.nodes, n), append(f.clients, client), append(f.stores, kv)
	server, err := peer.Serve(ln, identity.Server(), n.Receive)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	return nil
}

// spreadIntent has many workspaces and no targets.
func spreadIntent() configuration.Intent {
	in := configuration.Intent{
		Version: configuration.SchemaVersion,
		Models:  []configuration.Model{{Name: "draft", ContextTokens: 1 << 20}},
	}
	for i := range spreadWorkspaces {
		in.Workspaces = append(in.Workspaces, configuration.Workspace{
			Name: fmt.Sprintf("workspace-%d", i), KeyHashes: []string{fmt.Sprintf("%064x", i)},
		})
	}
	return in
}

func (f *cluster) isCut(i int) bool { return f.instances[i].FailureDomain == f.cut }

// cutDomain takes away a failure domain's path to the store.
func (f *cluster) cutDomain(domain string) {
	f.cut = domain
	var names []string
	for _, in := range f.instances {
		if in.FailureDomain == domain {
			names = append(names, in.Name)
		}
	}
	f.service.SetFaults(standin.Faults{Cut: names})
}

// calls counts all calls to the store by instances.
func (f *cluster) calls() int { return f.count(func(store.Op) bool { return true }) }

// reads counts the values that instances read.
func (f *cluster) reads() int {
	return f.count(func(op store.Op) bool { return op == store.OpGet })
}

func (f *cluster) count(which func(store.Op) bool) int {
	n := 0
	for caller, ops := range f.service.Calls() {
		for op, calls := range ops {
			if caller != "seed" && which(op) {
				n += calls
			}
		}
	}
	return n
}

// bytes returns the bytes that each instance sent and received so far.
func (f *cluster) bytes() []int64 {
	out := make([]int64, len(f.nodes))
	for i := range f.nodes {
		a, b := f.clients[i].Bytes()
		c, d := f.servers[i].Bytes()
		out[i] = a + b + c + d
	}
	return out
}

func (f *cluster) close() {
	for _, n := range f.nodes {
		n.Close()
	}
	for _, c := range f.clients {
		c.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
	for _, s := range f.stores {
		s.Close()
	}
	f.server.Close()
}
