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
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"

	"github.com/medlardeck/medlardeck/internal/drainconn"
	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/follow"
	"github.com/medlardeck/medlardeck/internal/forward"
	"github.com/medlardeck/medlardeck/internal/membudget"
	"github.com/medlardeck/medlardeck/internal/telemetry"
)

// Timeouts and limits of an instance.
const (
	// memoryLimitRatio is the share of the memory limit above which the garbage
	// collector runs more often.
	memoryLimitRatio = 0.7
	// watchesPerConfigDelay is how many watches fit into the time in which a
	// configuration must be in force. A watch that stopped receiving
	// changes is noticed only when it is renewed.
	watchesPerConfigDelay = 3
	// maxFollowDelay bounds the random delay between the start and the first call to
	// follow the store. It lets the peers say that they follow it, and spreads the
	// calls of a whole fleet that starts at once.
	maxFollowDelay = 100 * time.Millisecond
	// maxReannounceDelay bounds the random delay between a restore of the store and the
	// next announcement.
	maxReannounceDelay = 2 * time.Second
	// instanceKeyPrefix is the prefix of the keys under which instances store
	// their addresses.
	instanceKeyPrefix = "instances/"
)

// Store is the platform's key-value store.
type Store interface {
	follow.Source
	// Put writes a key and returns the era of the store that has the write.
	Put(ctx context.Context, key string, value []byte) (era uint64, err error)
	// SetAddress sets the address of the store, given as host:port.
	SetAddress(address string)
}

// Options configures an Instance.
type Options struct {
	Settings       Settings
	Store          Store
	Decoder        Decoder
	HeaderCodec    forward.HeaderCodec
	MemoryReserver forward.MemoryReserver
	Policy         fleet.Policy
	// MetricsAddress is host:port; empty serves no metrics.
	MetricsAddress string
	Log            logr.Logger
}

// Instance is one running entry instance.
type Instance struct {
	opts             Options
	node             *forward.Node
	mirror           *mirror
	gossip           *gossip
	exchange         *snapshotExchanger
	callers          *requestServer
	relays           *requestServer
	limits           *drainconn.LimitSource // of callers and relays
	metrics          *telemetry.Metrics
	budget           *membudget.Budget    // of heads, bodies and answers
	now              func() time.Duration // the clock of the decision core
	auxiliaryServers []*http.Server
	following        atomic.Bool   // this instance follows the store
	announcedEra     atomic.Uint64 // of the store that has the address; zero before the first write
	cancel           context.CancelFunc
	ctx              context.Context
	storeAddress     string        // as the settings named it last; used by Reload alone
	longestLag       time.Duration // by which a pause of a stop was longer than asked for
}

// Start starts an entry instance. Stop ends it gracefully, Close immediately.
func Start(opts Options) (*Instance, error) {
	s := &opts.Settings
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryLimitRatio))
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, fmt.Errorf("start instance %q: %w", s.Name, err)
	}
	incarnation := newIncarnation()
	g, err := listenGossip(s, incarnation, metrics, opts.Log)
	if err != nil {
		return nil, fmt.Errorf("start instance %q: %w", s.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{opts: opts, storeAddress: s.StoreAddress, gossip: g, cancel: cancel, ctx: ctx, limits: newLimitSource(s.MaxConfigDelay), metrics: metrics, budget: membudget.New(budgetBytes(s.memoryBytes()))}
	g.versions = func() (uint64, follow.Position) { return 0, follow.Position{} }
	g.followsStore, g.readsStore = func() bool { return false }, func() bool { return false }
	messages, conns := make(chan fleet.SendGossip, maxQueuedMessages), s.connLimits()
	i.node = forward.NewNode(forward.Options{
		Fleet: fleet.Options{
			Name: s.Name, Incarnation: incarnation, FailureDomain: s.FailureDomain, Policy: opts.Policy,
			RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
			ReservationTTL: s.ReservationTTL, MaxIdleReservation: s.MaxIdleReservation, Seed: seedFromName(s.Name),
		},
		HeaderCodec: opts.HeaderCodec, MemoryReserver: opts.MemoryReserver, Log: opts.Log, Metrics: metrics,
		MaxTargetConns: conns.targets,
		Budget:         i.budget,
		LocalIP:        net.ParseIP(s.IP),
		OnConfig:       func(c *fleet.Config) { i.limits.Set(callerLimits(c.Limits)) },
		ConfigStale:    i.configStale,
		AwaitTargets:   true,
		SendGossip: func(m fleet.SendGossip) {
			select {
			case messages <- m:
			default: // the next message that states all loads makes up for it
				metrics.Add("peer_messages_dropped", "backlog")
			}
		},
	})
	i.now = i.node.Now
	if err := i.connectMirror(); err != nil {
		i.Close()
		return nil, fmt.Errorf("start instance %q: %w", s.Name, err)
	}
	g.onPeerLoad = func(p fleet.PeerGossip) { i.node.Step(p) }
	go g.receiveMessages()
	go i.sendQueuedMessages(messages)
	if err := i.startServers(); err != nil {
		i.Close()
		return nil, fmt.Errorf("start instance %q: %w", s.Name, err)
	}
	i.startFollower()
	go i.giveSigns()
	opts.Log.Info("started", "instance", s.Name, "incarnation", strconv.FormatUint(incarnation, 36), "domain", s.FailureDomain, "callers", s.CallersAddress, "message_format", currentFormat)
	return i, nil
}

// connectMirror creates the mirror of the store and connects it with the messages to peers
// and with the exchange.
func (i *Instance) connectMirror() error {
	s, g := &i.opts.Settings, i.gossip
	if err := g.traffic.register(i.metrics); err != nil {
		return err
	}
	i.mirror = newMirror(i.opts.Decoder, i.node, i.metrics, i.opts.Log)
	i.mirror.onPeerAddress = i.addPeerAddress
	i.mirror.onList = func() { g.send(fleet.SendGossip{}) }
	i.mirror.onChange = g.sendChanges
	i.mirror.onEra = func(era uint64) {
		if announced := i.announcedEra.Load(); announced > 0 && era > announced {
			go i.announceAgain()
		}
	}
	g.versions, g.followsStore, g.readsStore = i.mirror.versions, i.claimsStore, i.readsStore
	i.exchange = &snapshotExchanger{
		mirror: i.mirror, gossip: g, followsStore: i.followsStore, readStore: i.readConfig, log: i.opts.Log, metrics: i.metrics,
	}
	if err := i.exchange.listen(s); err != nil {
		return err
	}
	g.onMessage = i.exchange.handlePeerVersions
	return nil
}

// maxQueuedMessages bounds the messages that wait to be sent to peers.
const maxQueuedMessages = 256

// sendQueuedMessages sends queued messages to the peers until the instance is
// closed.
func (i *Instance) sendQueuedMessages(messages <-chan fleet.SendGossip) {
	for {
		select {
		case <-i.ctx.Done():
			return
		case m := <-messages:
			i.gossip.send(m)
		}
	}
}

// seedFromName returns a seed for random numbers that differs between instances.
func seedFromName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // writes to a hash cannot fail
	return h.Sum64()
}

// startServers starts the servers for callers, for readiness and, if
// configured, for metrics.
func (i *Instance) startServers() error {
	s, conns := &i.opts.Settings, i.opts.Settings.connLimits()
	var err error
	if i.callers, err = i.serveRequests(s.CallersAddress, i.node, drainconn.Options{MaxConns: conns.callers}); err != nil {
		return err
	}
	relayAddress := net.JoinHostPort(s.IP, strconv.Itoa(s.RelayPort))
	if i.relays, err = i.serveRequests(relayAddress, i.node.RelayHandler(), drainconn.Options{
		Allowed: i.gossip.isInstance, ExtraHeadBytes: relayHeadBytes, MaxConns: conns.relays,
	}); err != nil {
		return err
	}
	ready := mux.NewRouter()
	ready.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !i.node.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := i.serveAuxiliary(s.ReadyAddress, ready); err != nil {
		return err
	}
	if i.opts.MetricsAddress == "" {
		return nil
	}
	if err := addTargetGauges(i.metrics, i.node); err != nil {
		return err
	}
	if err := i.addLimitGauges(); err != nil {
		return err
	}
	router := mux.NewRouter()
	router.Handle("/metrics", i.metrics.Handler())
	return i.serveAuxiliary(i.opts.MetricsAddress, router)
}

// serveAuxiliary listens at an address and serves it in the background. Connections are few
// and without a request soon closed for new ones, so that probes always get through.
func (i *Instance) serveAuxiliary(address string, handler http.Handler) error {
	listener, err := drainconn.Listen(address, drainconn.Options{MaxConns: auxiliaryConns, Log: i.opts.Log})
	if err != nil {
		return err
	}
	server := newRequestServer(listener, handler)
	server.MaxHeaderBytes, server.WriteTimeout = defaultMaxHeaderBytes, headerTimeout
	i.auxiliaryServers = append(i.auxiliaryServers, server)
	go i.serveListener(server, listener)
	return nil
}

// serveListener serves a listener until it is closed.
func (i *Instance) serveListener(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && i.ctx.Err() == nil {
		i.opts.Log.Info("listener-closed", "address", listener.Addr().String(), "cause", err.Error())
	}
}

// Reload applies changed settings. New seeds and the address of the store take effect; the
// other settings apply from the next start.
func (i *Instance) Reload(s Settings) {
	if s.StoreAddress != i.storeAddress {
		i.opts.Log.Info("store-moved", "from", i.storeAddress, "to", s.StoreAddress)
		i.storeAddress = s.StoreAddress
		i.opts.Store.SetAddress(s.StoreAddress)
		go i.announceAgain()
	}
	for _, seed := range s.Seeds {
		i.addPeerAddress(seed)
	}
	i.opts.Log.Info("settings-reloaded", "instance", s.Name, "seeds", len(s.Seeds))
}

// Close stops the instance immediately and interrupts open requests.
func (i *Instance) Close() {
	i.cancel()
	for _, s := range i.requestServers() {
		_ = s.server.Close()
	}
	for _, h := range i.auxiliaryServers {
		_ = h.Close()
	}
	if i.exchange != nil && i.exchange.listener != nil {
		_ = i.exchange.listener.Close()
	}
	_ = i.gossip.conn.Close()
	i.node.Close()
}

// addPeerAddress adds the address of another instance; an invalid one is logged
// and ignored.
func (i *Instance) addPeerAddress(address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		i.opts.Log.Info("peer-ignored", "address", address, "cause", err.Error())
		return
	}
	i.gossip.addPeer(a)
}
