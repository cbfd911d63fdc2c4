package cli

import (
	"context"
	"crypto/tls"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/httpapi"
	"github.com/medlardeck/medlardeck/internal/instance"
	"github.com/medlardeck/medlardeck/internal/operatorapi"
	"github.com/medlardeck/medlardeck/internal/peer"
	"github.com/medlardeck/medlardeck/internal/settings"
	"github.com/medlardeck/medlardeck/internal/telemetry"
)

// Defaults of serve.
const (
	defaultDialTimeout = time.Second
	defaultStopLag     = 5 * time.Second
	defaultStopTimeout = 16 * time.Minute // more than the longest time limit
)

// files are the PEM files of one listener.
type files struct{ cert, key, authority string }

func (f files) load() (*peer.Identity, error) {
	if f.cert == "" {
		return nil, nil
	}
	return peer.LoadIdentity(f.cert, f.key, f.authority)
}

// serveSettings are the settings of serve.
type serveSettings struct {
	name, domain, platform, advertise             string
	callersAddress, operatorsAddress, peerAddress string
	join                                          []string
	callers, operators, peers                     files
	operatorsFile, ordersTokenFile                string
	weightStoreRate                               float64
	maxBodyBytes, maxBufferedBytes                int
	bodyTimeout, writeTimeout, dialTimeout        time.Duration
	stopLag, stopTimeout                          time.Duration
}

func (c *serveSettings) define(s *settings.Set) {
	s.String(&c.name, "name", "", "name of the instance, unique among entry instances")
	s.String(&c.domain, "failure-domain", "", "failure domain of the instance")
	s.String(&c.platform, "platform", "", "base URL of the platform's service")
	s.String(&c.callersAddress, "callers-address", "127.0.0.1:8080", "address to listen on for callers")
	s.String(&c.operatorsAddress, "operators-address", "127.0.0.1:8180", "address to listen on for operators, metrics and probes")
	s.String(&c.peerAddress, "peers-address", "127.0.0.1:8280", "address to listen on for other entry instances")
	s.String(&c.advertise, "advertise", "", "address at which peers reach this instance; empty takes peers-address")
	s.List(&c.join, "join", "peers' addresses to ask when the platform's list can't be read, separated by commas")
	s.String(&c.callers.cert, "callers-cert", "", "PEM file with the certificate for callers; empty serves plain HTTP")
	s.String(&c.callers.key, "callers-key", "", "PEM file with its key")
	s.String(&c.operators.cert, "operators-cert", "", "PEM file with the certificate for operators; empty serves plain HTTP")
	s.String(&c.operators.key, "operators-key", "", "PEM file with its key")
	s.String(&c.operators.authority, "operators-authority", "", "PEM file with the authority of operators' certificates")
	s.String(&c.peers.cert, "peers-cert", "", "PEM file with the certificate among peers; empty is plain TCP, for loopback only")
	s.String(&c.peers.key, "peers-key", "", "PEM file with its key")
	s.String(&c.peers.authority, "peers-authority", "", "PEM file with the authority of peers' certificates")
	s.String(&c.operatorsFile, "operators-file", "", "file with lines of an operator's name and the hash of a token")
	s.String(&c.ordersTokenFile, "orders-token-file", "", "file with the token for targets that check who gives an order")
	s.Float(&c.weightStoreRate, "weight-store-rate", entry.DefaultWeightStoreBytesPerSecond, "rate of the weight store for the failure domain, in bytes per second")
	s.Int(&c.maxBodyBytes, "max-body-bytes", httpapi.DefaultMaxBodyBytes, "limit of a caller's body")
	s.Int(&c.maxBufferedBytes, "max-buffered-bytes", httpapi.DefaultMaxBufferedBytes, "limit of all bodies in memory")
	s.Duration(&c.bodyTimeout, "body-timeout", httpapi.DefaultBodyTimeout, "time in which a body has to arrive")
	s.Duration(&c.writeTimeout, "write-timeout", httpapi.DefaultWriteTimeout, "time in which a caller has to take one write")
	s.Duration(&c.dialTimeout, "dial-timeout", defaultDialTimeout, "time in which a target has to accept a connection")
	s.Duration(&c.stopLag, "stop-lag", defaultStopLag, "time between not being ready and refusing new work")
	s.Duration(&c.stopTimeout, "stop-timeout", defaultStopTimeout, "time after which a planned stop is given up")
	s.Require("name", "failure-domain", "platform", "callers-address", "operators-address", "peers-address")
	s.Together("callers-cert", "callers-key")
	s.Together("operators-cert", "operators-key")
	s.Together("peers-cert", "peers-key", "peers-authority")
	s.Check(c.checkPlainPeers)
	s.Check(c.checkAddresses)
}

// checkPlainPeers refuses unauthenticated peers from other machines.
func (c *serveSettings) checkPlainPeers() error {
	host, _, err := net.SplitHostPort(c.peerAddress)
	if c.peers.cert != "" || err != nil || net.ParseIP(host).IsLoopback() {
		return nil
	}
	return errors.New("-peers-cert is required where -peers-address is not a loopback address")
}

func (c *serveSettings) checkAddresses() error {
	var errs []error
	for _, address := range append([]string{c.callersAddress, c.operatorsAddress, c.peerAddress}, c.join...) {
		if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
			errs = append(errs, fmt.Errorf("address %q: host:port is expected", address))
		}
	}
	return errors.Join(errs...)
}

// options loads the files and opens the listeners.
func (c *serveSettings) options() (instance.Options, error) {
	opts := instance.Options{
		PlatformURL: c.platform, DialTimeout: c.dialTimeout,
		HTTP: httpapi.Options{MaxBodyBytes: int64(c.maxBodyBytes), MaxBufferedBytes: int64(c.maxBufferedBytes), BodyTimeout: c.bodyTimeout, WriteTimeout: c.writeTimeout},
	}
	callers, err1 := c.callers.load()
	operators, err2 := c.operators.load()
	peers, err3 := c.peers.load()
	keys, err4 := readOperators(c.operatorsFile)
	token, err5 := readToken(c.ordersTokenFile)
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return opts, err
	}
	opts.CallerTLS, opts.OperatorTLS = public(callers), public(operators)
	opts.PeerTLS, opts.OperatorKeys, opts.OrderToken = peers, keys, token
	if err := c.listen(&opts); err != nil {
		return opts, err
	}
	if c.advertise == "" {
		c.advertise = opts.Peers.Addr().String()
	}
	opts.Entry = entry.Options{
		Name: c.name, FailureDomain: c.domain, Address: c.advertise, Peers: c.join,
		Incarnation: instance.NewIncarnation(), Seed: seedOf(c.name), StopLag: c.stopLag,
		Orders: true, WeightStoreRate: c.weightStoreRate,
	}
	return opts, nil
}

// readToken reads a token from a file; an empty name gives none.
func readToken(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	body, err := os.ReadFile(name)
	if err != nil {
		return "", fmt.Errorf("read token: %w", err)
	}
	return strings.TrimSpace(string(body)), nil
}

func (c *serveSettings) listen(opts *instance.Options) error {
	var errs []error
	listen := func(address string) net.Listener {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			errs = append(errs, err)
		}
		return ln
	}
	opts.Callers, opts.Operators, opts.Peers = listen(c.callersAddress), listen(c.operatorsAddress), listen(c.peerAddress)
	return errors.Join(errs...)
}

func public(identity *peer.Identity) *tls.Config {
	if identity == nil {
		return nil
	}
	return identity.Public()
}

func readOperators(name string) ([]operatorapi.Operator, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("read operators: %w", err)
	}
	defer func() { _ = file.Close() }()
	return operatorapi.ParseOperators(file)
}

// seedOf makes instances of different names choose differently.
func seedOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return h.Sum64()
}

func runServe(args []string, _, stderr io.Writer) int {
	var c serveSettings
	set := settings.New("serve", stderr)
	c.define(set)
	if code, ok := parse(set, "serve", args, stderr); !ok {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return c.serve(ctx, stderr)
}

// serve runs the instance until ctx ends, then stops it as planned.
func (c *serveSettings) serve(ctx context.Context, stderr io.Writer) int {
	opts, err := c.options()
	if err != nil {
		fmt.Fprintln(stderr, "medlardeck serve:", err)
		return exitError
	}
	opts.Log = telemetry.NewLog(stderr)
	inst, err := instance.Start(opts)
	if err != nil {
		fmt.Fprintln(stderr, "medlardeck serve:", err)
		return exitError
	}
	opts.Log.Info("serving", "name", c.name, "callers", opts.Callers.Addr().String(),
		"operators", opts.Operators.Addr().String(), "peers", opts.Peers.Addr().String())
	select {
	case <-ctx.Done():
	case err := <-inst.Failed():
		inst.Close()
		fmt.Fprintln(stderr, "medlardeck serve:", err)
		return exitError
	}
	opts.Log.Info("stopping", "name", c.name)
	end, cancel := context.WithTimeout(context.Background(), c.stopTimeout)
	defer cancel()
	if err := inst.Stop(end); err != nil {
		fmt.Fprintln(stderr, "medlardeck serve:", err)
		return exitError
	}
	opts.Log.Info("stopped", "name", c.name)
	return exitOK
}

// parse reads settings; ok is false when the command ends with code.
func parse(set *settings.Set, command string, args []string, stderr io.Writer) (code int, ok bool) {
	err := set.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK, false
	case err != nil:
		fmt.Fprintf(stderr, "medlardeck %s: settings have faults:\n%v\n", command, err)
		return exitUsage, false
	}
	return exitOK, true
}
