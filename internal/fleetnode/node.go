package fleetnode

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
	"github.com/medlardeck/medlardeck/internal/forward"
	"github.com/medlardeck/medlardeck/internal/telemetry"
)

// Times of an instance.
const (
	// headerTimeout and idleTimeout bound slow and idle callers. The platform's
	// callers stay within the configured limits; these only free what is left.
	headerTimeout = 10 * time.Second
	idleTimeout   = 120 * time.Second
	// balancerLag is how long new connections still come after the instance said
	// that it is not ready: the platform asks once a second and goes by two
	// answers.
	balancerLag = 2500 * time.Millisecond
	// stopMargin is the time before the kill at which open requests are cut.
	stopMargin = 500 * time.Millisecond
	// quietTime is how long no request may have come before the listener closes:
	// where all instances of a domain stop, callers still come.
	quietTime = 300 * time.Millisecond
	quietStep = 50 * time.Millisecond
	// lastArrivals is the time before the end of a stop at which the listener
	// closes at the latest: what came before can end.
	lastArrivals = 1500 * time.Millisecond
	// memoryShare is the share of the memory limit at which the garbage collector
	// works harder.
	memoryShare = 0.7
	// watchesPerLag is how often the watch is renewed in the time in which a
	// configuration has to be in force: one that fell silent shows only then.
	watchesPerLag = 3
	// presencePrefix is where instances write their addresses.
	presencePrefix = "instances/"
)

// Store is the platform's store.
type Store interface {
	follow.Source
	Put(ctx context.Context, key string, value []byte) error
}

// Options are what an instance is made of.
type Options struct {
	Settings Settings
	Store    Store
	Decoder  Decoder
	Dialect  forward.Dialect
	Orders   forward.Orders
	Policy   fleet.Policy
	// MetricsAddress is host:port; empty serves no metrics.
	MetricsAddress string
	Log            logr.Logger
}

// Instance is one running entry instance.
type Instance struct {
	opts     Options
	node     *forward.Node
	mirror   *mirror
	gossip   *gossip
	exchange *exchanger
	callers  *http.Server
	helpers  []*http.Server
	cancel   context.CancelFunc
	ctx      context.Context
}

// Start starts an instance; Stop or Close ends it.
func Start(opts Options) (*Instance, error) {
	s := &opts.Settings
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, fmt.Errorf("start instance %q: %w", s.Name, err)
	}
	g, err := listenGossip(s, opts.Log)
	if err != nil {
		return nil, fmt.Errorf("start instance %q: %w", s.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{opts: opts, gossip: g, cancel: cancel, ctx: ctx}
	g.versions = func() (uint64, uint64) { return 0, 0 }
	g.watches = func() bool { return false }
	shares := make(chan fleet.Gossip, sharesBuffered)
	i.node = forward.NewNode(forward.Options{
		Fleet: fleet.Options{
			Name: s.Name, Domain: s.FailureDomain, Policy: opts.Policy,
			RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
			TicketHold: s.TicketHold, Seed: seed(s.Name),
		},
		Dialect: opts.Dialect, Orders: opts.Orders, Log: opts.Log, Metrics: metrics,
		Share: func(m fleet.Gossip) {
			select {
			case shares <- m:
			default: // the next whole statement repairs it
				metrics.Add("peer_messages_dropped", "backlog")
			}
		},
	})
	i.mirror = newMirror(opts.Decoder, i.node, opts.Log)
	i.mirror.onInstance = i.instance
	i.mirror.onChange = func() { g.share(fleet.Gossip{}) }
	g.versions, g.watches = i.mirror.versions, i.follows
	if i.exchange, err = listenExchange(s, i.mirror, i.follows, opts.Log); err != nil {
		i.Close()
		return nil, fmt.Errorf("start instance %q: %w", s.Name, err)
	}
	g.onNews = i.exchange.news
	g.onLoad = func(p fleet.PeerLoad) { i.node.Step(p) }
	go g.run()
	go i.pump(shares)
	if err := i.listen(metrics); err != nil {
		i.Close()
		return nil, fmt.Errorf("start instance %q: %w", s.Name, err)
	}
	i.follow()
	opts.Log.Info("started", "instance", s.Name, "domain", s.FailureDomain, "callers", s.CallersAddress)
	return i, nil
}

// sharesBuffered bounds the messages to peers that wait to be sent.
const sharesBuffered = 64

func (i *Instance) pump(shares <-chan fleet.Gossip) {
	for {
		select {
		case <-i.ctx.Done():
			return
		case m := <-shares:
			i.gossip.share(m)
		}
	}
}

func seed(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash takes every write
	return h.Sum64()
}

// follows reports whether this instance follows the store and gets answers.
func (i *Instance) follows() bool { return i.gossip.shouldWatch() && i.mirror.follows() }

// watch reports whether to follow the store now; otherwise peers that do pass
// its changes on.
func (i *Instance) watch() bool {
	if i.gossip.shouldWatch() {
		return true
	}
	i.mirror.HandleStatus(true, nil)
	return false
}

// follow reads the whole store: the configuration, the targets, and the
// addresses of the other instances. One watch for all costs the fewest calls.
func (i *Instance) follow() {
	f := &follow.Follower{
		Source: i.opts.Store, Handler: i.mirror, RelistAfterOutage: true, WatchTimeout: i.opts.Settings.ConfigLag / watchesPerLag,
		ShouldFollow: i.watch,
	}
	go f.Run(i.ctx)
	go i.appear()
}

// appear writes this instance's address into the store, where the others see it.
func (i *Instance) appear() {
	s := &i.opts.Settings
	for wait := 500 * time.Millisecond; i.ctx.Err() == nil; wait = min(2*wait, 8*time.Second) {
		err := i.announce(s)
		if err == nil {
			return
		}
		i.opts.Log.Info("announce-failed", "cause", err.Error())
		select {
		case <-i.ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (i *Instance) announce(s *Settings) error {
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
	return i.opts.Store.Put(i.ctx, presencePrefix+s.Name, []byte(address))
}

func (i *Instance) listen(metrics *telemetry.Metrics) error {
	s := &i.opts.Settings
	i.callers = &http.Server{
		Handler: i.node, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: 64 << 10,
	}
	if err := i.serve(i.callers, s.CallersAddress); err != nil {
		return err
	}
	ready := mux.NewRouter()
	ready.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !i.node.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	readiness := &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	i.helpers = append(i.helpers, readiness)
	if err := i.serve(readiness, s.ReadyAddress); err != nil {
		return err
	}
	if i.opts.MetricsAddress == "" {
		return nil
	}
	router := mux.NewRouter()
	router.Handle("/metrics", metrics.Handler())
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	i.helpers = append(i.helpers, server)
	return i.serve(server, i.opts.MetricsAddress)
}

func (i *Instance) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	go func() {
		if err := server.Serve(listener); err != nil && i.ctx.Err() == nil {
			i.opts.Log.Info("listener-closed", "address", address, "cause", err.Error())
		}
	}()
	return nil
}

// Reload takes settings that changed: the addresses of peers. The others apply
// from the next start.
func (i *Instance) Reload(s Settings) {
	for _, seed := range s.Seeds {
		i.instance(seed)
	}
	i.opts.Log.Info("settings-reloaded", "instance", s.Name, "seeds", len(s.Seeds))
}

// Stop ends the instance without interrupting requests, as far as the grace
// time allows.
func (i *Instance) Stop() {
	i.opts.Log.Info("stopping", "instance", i.opts.Settings.Name)
	grace := i.opts.Settings.StopGrace - stopMargin
	begin := time.Now()
	i.node.Step(fleet.Stop{Lag: balancerLag, Grace: grace})
	time.Sleep(balancerLag)
	// Callers on kept connections go to another instance with their next request;
	// answers from now on ask for the same.
	i.callers.SetKeepAlivesEnabled(false)
	for time.Since(begin) < grace-lastArrivals && !i.node.IdleFor(quietTime) {
		time.Sleep(quietStep)
	}
	ctx, cancel := context.WithTimeout(i.ctx, grace-time.Since(begin))
	defer cancel()
	err := i.callers.Shutdown(ctx)
	i.opts.Log.Info("stopped", "instance", i.opts.Settings.Name, "cut_short", err != nil)
	i.Close()
}

// Close ends everything at once.
func (i *Instance) Close() {
	i.cancel()
	if i.callers != nil {
		_ = i.callers.Close()
	}
	for _, h := range i.helpers {
		_ = h.Close()
	}
	if i.exchange != nil {
		_ = i.exchange.listener.Close()
	}
	_ = i.gossip.conn.Close()
	i.node.Close()
}

// instance takes the address of another instance from the store.
func (i *Instance) instance(address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		i.opts.Log.Info("peer-ignored", "address", address, "cause", err.Error())
		return
	}
	i.gossip.add(a)
}
