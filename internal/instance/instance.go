// Package instance assembles and runs one entry instance: its node, which makes
// the decisions, its servers for callers, operators and peers, and its clients
// for targets, peers and the platform.
package instance

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/httpapi"
	"github.com/medlardeck/medlardeck/internal/node"
	"github.com/medlardeck/medlardeck/internal/operatorapi"
	"github.com/medlardeck/medlardeck/internal/peer"
	"github.com/medlardeck/medlardeck/internal/store"
	"github.com/medlardeck/medlardeck/internal/telemetry"
)

// readHeaderTimeout is the longest time a client may take to send the headers
// of a request.
const readHeaderTimeout = 10 * time.Second

// idleTimeout is the time after which the HTTP servers close an idle
// keep-alive connection. It exceeds the idle timeout of load balancers, so that
// the load balancer closes the connection first.
const idleTimeout = 10 * time.Minute

// Options configures an instance. The instance owns the listeners and closes
// them; those for callers and operators are TCP listeners.
type Options struct {
	Entry entry.Options
	// Callers, Operators and Peers are the listeners for callers' HTTP requests,
	// the operator API and the messages of other entry instances.
	Callers, Operators, Peers net.Listener
	// CallerTLS and OperatorTLS configure TLS on the listeners for callers and
	// operators; nil means plain HTTP.
	CallerTLS, OperatorTLS *tls.Config
	// PeerTLS is the TLS identity that this instance uses with its peers; nil
	// means plain TCP.
	PeerTLS *peer.Identity
	// PlatformURL is the base URL of the platform's HTTP API.
	PlatformURL string
	HTTP        httpapi.Options
	// DialTimeout limits connecting to a target.
	DialTimeout  time.Duration
	OperatorKeys []operatorapi.Operator
	// OrderToken authenticates orders to targets that check the sender.
	OrderToken string
	// Dial connects to targets, peers and the platform; nil dials directly.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Speed is the rate of the node's clock relative to real time; zero means 1.
	Speed float64
	Log   logr.Logger
}

// Instance is a running entry instance with its servers and clients.
type Instance struct {
	Node *node.Node

	engineClient *engineclient.Client
	storeHTTP    *store.HTTP
	peerClient   *peer.Client
	peerServer   *peer.Server
	callers      *httpServer
	operators    *httpServer
	wg           sync.WaitGroup
	serveErrors  chan error
	stopLag      time.Duration
	closeOnce    sync.Once
}

// Start starts an instance, which runs until Stop or Close. If a server cannot
// be set up, Start closes the listeners and returns an error.
func Start(opts Options) (*Instance, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	if opts.Dial == nil {
		var direct net.Dialer
		opts.Dial = direct.DialContext
	}
	i := &Instance{
		engineClient: engineclient.NewWithDialer(opts.Dial, opts.DialTimeout),
		storeHTTP:    store.NewHTTPWithDialer(opts.Dial, opts.PlatformURL, opts.Entry.Name),
		serveErrors:  make(chan error, 2), stopLag: opts.Entry.StopLag,
	}
	var clientTLS, serverTLS *tls.Config
	if opts.PeerTLS != nil {
		clientTLS, serverTLS = opts.PeerTLS.Client(), opts.PeerTLS.Server()
	}
	i.peerClient = peer.NewClientWithDialer(opts.Dial, opts.Entry.Name, clientTLS)
	i.Node = node.New(node.Options{
		Entry: opts.Entry, Peers: i.peerClient, Client: i.engineClient, Log: opts.Log, Counter: metrics, Histograms: metrics, Speed: opts.Speed,
		OrderToken: opts.OrderToken,
		Store:      store.NewClient(i.storeHTTP, store.ClientOptions{Counter: metrics, Seed: opts.Entry.Seed}),
	})
	opts.HTTP.Counter = metrics
	i.callers = newHTTPServer(opts.Callers, &http.Server{
		Handler: httpapi.New(i.Node, opts.HTTP), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: httpapi.MaxServerHeaderBytes, TLSConfig: opts.CallerTLS,
	})
	i.operators = newHTTPServer(opts.Operators, &http.Server{
		Handler: operatorapi.New(operatorapi.Options{
			Node: i.Node, Metrics: metrics.Handler(), Ready: i.Node.Ready, Log: opts.Log, Operators: opts.OperatorKeys,
		}),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, TLSConfig: opts.OperatorTLS,
	})
	if err = registerGauges(metrics, i.Node); err == nil {
		i.peerServer, err = peer.Serve(opts.Peers, serverTLS, i.Node.Receive)
	}
	if err != nil {
		_, _, _ = opts.Callers.Close(), opts.Operators.Close(), opts.Peers.Close()
		i.Close()
		return nil, fmt.Errorf("start instance %s: %w", opts.Entry.Name, err)
	}
	for _, s := range []*httpServer{i.callers, i.operators} {
		i.wg.Go(func() {
			if err := s.serve(); err != nil {
				i.serveErrors <- err
			}
		})
	}
	return i, nil
}

// registerGauges registers the gauges of package entry; each scrape reads the
// current value from the node.
func registerGauges(metrics *telemetry.Metrics, n *node.Node) error {
	for _, g := range entry.Gauges() {
		if err := metrics.Gauge(g.Name, func() int { return n.GaugeValue(g) }); err != nil {
			return err
		}
	}
	return nil
}

// Failed returns a channel that receives an error for each HTTP server that
// ended without being stopped.
func (i *Instance) Failed() <-chan error { return i.serveErrors }

// Close ends the instance at once and aborts the requests in flight, as a crash
// would. Further calls do nothing.
func (i *Instance) Close() { i.closeOnce.Do(i.closeComponents) }

func (i *Instance) closeComponents() {
	_, _ = i.callers.Close(), i.operators.Close()
	if i.peerServer != nil {
		i.peerServer.Close()
	}
	i.wg.Wait()
	i.Node.Close()
	i.peerClient.Close()
	i.engineClient.Close()
	i.storeHTTP.Close()
}
