// Package dev runs the embedded default: stand-ins for the platform, engines
// and the booking service, and four entry instances, in one process on
// loopback.
package dev

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/instance"
	"github.com/medlardeck/medlardeck/internal/peer"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
	"github.com/medlardeck/medlardeck/internal/standin/network"
	platformstandin "github.com/medlardeck/medlardeck/internal/standin/platform"
	"github.com/medlardeck/medlardeck/internal/standin/service"
	"github.com/medlardeck/medlardeck/internal/store"
)

// Sizes of the embedded deployment.
const (
	Entries  = 4
	Engines  = 15
	Bookings = 3
)

// Behaviour of the embedded engines.
const (
	reportLag = 250 * time.Millisecond
	eventLoss = 0.02 // share of cache events
)

// seedOperator is the operator of the embedded deployment; the first
// configuration is accepted under this name.
const seedOperator = "dev"

// startTimeout bounds the start until every entry instance is configured.
const startTimeout = 20 * time.Second

// platformDomain is where the platform's service lies in the network: outside
// of every failure domain.
const platformDomain = "platform"

// OperatorPortOffset is the distance from the callers' ports to the operators'.
const OperatorPortOffset = 100

// Domains are the failure domains of the embedded deployment.
var Domains = []string{"domain-a", "domain-b", "domain-c"}

// Options of the embedded deployment.
type Options struct {
	// BasePort is the callers' port of the first entry instance; zero takes
	// free ports.
	BasePort int
	Log      logr.Logger
	// Engines is the number of engines; zero takes the default.
	Engines int
	// Engine sets the engines' sizes, lags and speed; zero values take the
	// defaults. The entry instances' clocks run at its speed.
	Engine engine.Options
	// Configure changes the configuration before it is adopted; nil keeps it.
	Configure func(*configuration.Intent)
}

func (o Options) withDefaults() Options {
	if o.Engines == 0 {
		o.Engines = Engines
	}
	if o.Engine.ReportLag == 0 {
		o.Engine.ReportLag = reportLag
	}
	if o.Engine.EventLag == 0 {
		o.Engine.EventLag = reportLag
	}
	if o.Engine.EventLoss == 0 {
		o.Engine.EventLoss = eventLoss
	}
	return o
}

// Deployment is a running embedded deployment.
type Deployment struct {
	// Callers are the base URLs of the entry instances for callers.
	Callers []string
	// Operators are those for operators.
	Operators []string
	Ledger    *service.Ledger
	// Platform is the stand-in of the platform's service; PlatformURL is its
	// base URL.
	Platform    *platformstandin.Service
	PlatformURL string
	Engines     []*engine.Engine

	// Instances are the entry instances.
	Instances []*instance.Instance
	// Network carries what entry instances send; a failure domain can be cut
	// off in it.
	Network *network.Network

	opts      Options
	entries   []entryAddress
	authority *peer.Authority
	instances []store.Instance
	servers   []*http.Server
}

// Start starts the deployment; Close ends it.
func Start(opts Options) (*Deployment, error) {
	opts = opts.withDefaults()
	d := &Deployment{
		Ledger: service.NewLedger(), Platform: platformstandin.New(platformstandin.Options{}),
		Network: network.New(), opts: opts,
	}
	addr, err := d.listen(0, d.Platform.Handler())
	if err != nil {
		return nil, err
	}
	d.PlatformURL = "http://" + addr
	d.Network.Place(addr, platformDomain)
	in, err := d.startTargets(opts)
	if err != nil {
		d.Close()
		return nil, err
	}
	if d.authority, err = peer.NewAuthority(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.startEntries(in); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// startEntries puts the intent into the store and starts the entry instances,
// which take it from there.
func (d *Deployment) startEntries(in configuration.Intent) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := configuration.Seed(ctx, d.Platform.Local("seed"), in, seedOperator, time.Now()); err != nil {
		return err
	}
	for i := range Entries {
		if err := d.addEntry(i); err != nil {
			return err
		}
	}
	for _, inst := range d.Instances {
		select {
		case <-inst.Node.Configured():
		case <-ctx.Done():
			return fmt.Errorf("wait for the configuration: %w", ctx.Err())
		}
	}
	return nil
}

// OperatorToken is the token of the operator of the embedded deployment.
const OperatorToken = "dev-operator"

// DevelopmentKey is the key of a workspace in the embedded deployment.
func DevelopmentKey(workspace string) string { return "dev-key-" + workspace }

func (d *Deployment) startTargets(opts Options) (configuration.Intent, error) {
	in := configuration.Intent{
		Version: configuration.SchemaVersion,
		Models: []configuration.Model{
			{Name: "draft", Version: "1", ContextTokens: 1 << 20, WeightBytes: 16 << 30, KVBytesPerToken: 128 << 10},
			{Name: "review", Version: "1", ContextTokens: 1 << 20, WeightBytes: 64 << 30, KVBytesPerToken: 256 << 10},
		},
		Routes: []configuration.Route{
			{Name: "bookings", Prefix: "/bookings", Pool: "booking"},
			{Name: "status", Prefix: "/status", Pool: "booking"},
		},
	}
	for _, name := range []string{"museum", "harbour", "school"} {
		sum := sha256.Sum256([]byte(DevelopmentKey(name)))
		in.Workspaces = append(in.Workspaces, configuration.Workspace{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}})
	}
	engines := configuration.Pool{Name: "drafting", Kind: configuration.PoolEngine, Models: []string{"draft", "review"}}
	for i := range opts.Engines {
		o := opts.Engine
		o.Models, o.Seed = engines.Models, opts.Engine.Seed+uint64(i)
		eng, err := engine.Start("127.0.0.1:0", o)
		if err != nil {
			return in, err
		}
		d.Engines = append(d.Engines, eng)
		d.Network.Place(eng.Addr(), Domains[i%len(Domains)])
		engines.Targets = append(engines.Targets, configuration.Target{
			Name: fmt.Sprintf("engine-%02d", i), Address: eng.Addr(), FailureDomain: Domains[i%len(Domains)],
		})
	}
	booking := configuration.Pool{Name: "booking", Kind: configuration.PoolService}
	for i := range Bookings {
		if err := d.startTarget(&booking, fmt.Sprintf("booking-%d", i), Domains[i%len(Domains)], service.Handler(d.Ledger)); err != nil {
			return in, err
		}
	}
	in.Pools = []configuration.Pool{engines, booking}
	if opts.Configure != nil {
		opts.Configure(&in)
	}
	return in, nil
}

func (d *Deployment) startTarget(pool *configuration.Pool, name, domain string, h http.Handler) error {
	addr, err := d.listen(0, h)
	if err != nil {
		return err
	}
	d.Network.Place(addr, domain)
	pool.Targets = append(pool.Targets, configuration.Target{Name: name, Address: addr, FailureDomain: domain})
	return nil
}

// listenAll listens on all addresses or on none.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, address := range addresses {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		out = append(out, ln)
	}
	return out, nil
}

func (d *Deployment) listen(port int, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return "", fmt.Errorf("listen on port %d: %w", port, err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	d.servers = append(d.servers, srv)
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("serve %s: %v", ln.Addr(), err))
		}
	}()
	return ln.Addr().String(), nil
}

// Close ends the deployment at once.
func (d *Deployment) Close() {
	for _, inst := range d.Instances {
		inst.Close()
	}
	for _, eng := range d.Engines {
		eng.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, s := range d.servers {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
}
