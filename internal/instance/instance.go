// Package instance puts one entry instance together: its decisions, its
// listeners for callers, operators and peers, and its clients of targets and
// of the platform.
package instance

import (
	"context"
	"crypto/tls"
	"errors"
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

// readHeaderTimeout is the time in which the headers of a request have to
// arrive.
const readHeaderTimeout = 10 * time.Second

// idleTimeout ends callers' connections that carried nothing for so long. It
// is longer than what balancers keep, so that these close first.
const idleTimeout = 10 * time.Minute

// Options are what an instance is made of. It takes over the listeners.
type Options struct {
	Entry entry.Options
	// Callers, Operators and Peers are the listeners.
	Callers, Operators, Peers net.Listener
	// CallerTLS and OperatorTLS are nil for plain HTTP.
	CallerTLS, OperatorTLS *tls.Config
	// PeerTLS is this instance's identity among peers; nil is plain TCP.
	PeerTLS *peer.Identity
	// PlatformURL is the base URL of the platform's service.
	PlatformURL  string
	HTTP         httpapi.Options
	DialTimeout  time.Duration
	OperatorKeys []operatorapi.Operator
	// OrderToken is shown to targets that check who gives an order.
	OrderToken string
	// Dial connects to targets, peers and the platform; nil dials directly.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Speed is how fast the decisions' clock runs; zero means 1.
	Speed float64
	Log   logr.Logger
}

// Instance is a running entry instance.
type Instance struct {
	Node *node.Node

	client    *engineclient.Client
	store     *store.HTTP
	peers     *peer.Client
	peerLink  *peer.Server
	callers   *http.Server
	operators *http.Server
	wg        sync.WaitGroup
	failed    chan error
	stopLag   time.Duration
	closeOnce sync.Once
}

// Start runs an instance until Stop or Close.
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
		client: engineclient.NewVia(opts.Dial, opts.DialTimeout),
		store:  store.NewHTTPVia(opts.Dial, opts.PlatformURL, opts.Entry.Name),
		failed: make(chan error, 2), stopLag: opts.Entry.StopLag,
	}
	var clientTLS, serverTLS *tls.Config
	if opts.PeerTLS != nil {
		clientTLS, serverTLS = opts.PeerTLS.Client(), opts.PeerTLS.Server()
	}
	i.peers = peer.NewClientVia(opts.Dial, opts.Entry.Name, clientTLS)
	i.Node = node.New(node.Options{
		Entry: opts.Entry, Peers: i.peers, Client: i.client, Log: opts.Log, Counter: metrics, Histograms: metrics, Speed: opts.Speed,
		OrderToken: opts.OrderToken,
		Store:      store.NewClient(i.store, store.ClientOptions{Counter: metrics, Seed: opts.Entry.Seed}),
	})
	opts.HTTP.Counter = metrics
	i.callers = &http.Server{
		Handler: httpapi.New(i.Node, opts.HTTP), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: httpapi.MaxServerHeaderBytes, TLSConfig: opts.CallerTLS,
	}
	i.operators = &http.Server{
		Handler: operatorapi.New(operatorapi.Options{
			Node: i.Node, Metrics: metrics.Handler(), Ready: i.Node.Ready, Log: opts.Log, Operators: opts.OperatorKeys,
		}),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, TLSConfig: opts.OperatorTLS,
	}
	if err = serveGauges(metrics, i.Node); err == nil {
		i.peerLink, err = peer.Serve(opts.Peers, serverTLS, i.Node.Receive)
	}
	if err != nil {
		_, _, _ = opts.Callers.Close(), opts.Operators.Close(), opts.Peers.Close()
		i.Close()
		return nil, fmt.Errorf("start instance %s: %w", opts.Entry.Name, err)
	}
	i.serve(i.callers, opts.Callers)
	i.serve(i.operators, opts.Operators)
	return i, nil
}

func serveGauges(metrics *telemetry.Metrics, n *node.Node) error {
	for _, g := range entry.Gauges() {
		if err := metrics.Gauge(g.Name, func() int { return n.Read(g) }); err != nil {
			return err
		}
	}
	return nil
}

func (i *Instance) serve(srv *http.Server, ln net.Listener) {
	i.wg.Add(1)
	go func() {
		defer i.wg.Done()
		var err error
		if srv.TLSConfig != nil {
			err = srv.ServeTLS(ln, "", "")
		} else {
			err = srv.Serve(ln)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			i.failed <- fmt.Errorf("serve %s: %w", ln.Addr(), err)
		}
	}()
}

// Failed passes an error that ended a listener.
func (i *Instance) Failed() <-chan error { return i.failed }

// Stop is a planned stop: the instance is no longer ready, takes no new work
// after its lag, and returns when all in flight has ended by itself. What ctx
// ends before is cut off.
func (i *Instance) Stop(ctx context.Context) error {
	i.Node.Stop()
	var err error
	select {
	case <-i.Node.Stopped():
		i.linger(ctx)
		err = i.callers.Shutdown(ctx)
	case <-ctx.Done():
		err = ctx.Err()
	}
	i.Close()
	if err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// linger goes on answering for the stop lag. An answer that began before the
// stop has not told its caller that the connection will end: the caller's next
// request on it is refused, and must not meet a closed connection.
func (i *Instance) linger(ctx context.Context) {
	timer := time.NewTimer(i.stopLag)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Close ends the instance at once, as a crash does.
func (i *Instance) Close() { i.closeOnce.Do(i.close) }

func (i *Instance) close() {
	_ = i.callers.Close()
	_ = i.operators.Close()
	if i.peerLink != nil {
		i.peerLink.Close()
	}
	i.wg.Wait()
	i.Node.Close()
	i.peers.Close()
	i.client.Close()
	i.store.Close()
}
