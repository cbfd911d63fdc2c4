package fleetnode

import (
	"net/http"
	"time"

	"github.com/medlardeck/medlardeck/internal/drainconn"
	"github.com/medlardeck/medlardeck/internal/fleet"
)

// Timing of a planned stop.
const (
	// balancerLag is how long new connections still arrive after the instance
	// reports that it is not ready: the platform probes once a second and
	// requires two results.
	balancerLag = 2500 * time.Millisecond
	// stopMargin is how long before the process is killed open requests are ended. Their
	// answers are written within finalAnswerTime.
	stopMargin      = 500 * time.Millisecond
	finalAnswerTime = 300 * time.Millisecond
	// minFinalAnswerTime is left for these answers if the step before ended late.
	minFinalAnswerTime = 100 * time.Millisecond
	// idlePeriod is how long no request may have arrived before the listener
	// closes. If all instances of a domain stop, callers keep arriving.
	idlePeriod       = 300 * time.Millisecond
	idlePollInterval = 50 * time.Millisecond
	// listenerCloseMargin is how long before open requests are ended the listener
	// closes at the latest, so that requests accepted before can end.
	listenerCloseMargin = 1500 * time.Millisecond
	// newConnGrace is how long after its acceptance a connection may still bring its first
	// request during a stop.
	newConnGrace = time.Second
	// maxStopLag bounds the time by which a stop ends sooner on a machine without processor
	// time, where each of its steps may come that late. Pauses up to usualStopLag have their
	// place in stopMargin.
	maxStopLag   = 500 * time.Millisecond
	usualStopLag = 50 * time.Millisecond
)

// requestServer serves the requests of callers, or those that peers relay.
type requestServer struct {
	*drainconn.Listener
	server *http.Server
	done   chan struct{} // closed when no more connections are accepted
}

// serveRequests listens at an address and serves it in the background, within the limits of
// the configuration.
func (i *Instance) serveRequests(address string, handler http.Handler, opts drainconn.Options) (*requestServer, error) {
	opts.Limits, opts.OnReject, opts.OnIdleTimeout, opts.Log = i.limits, i.refuseHead, i.countIdleTimeout, i.opts.Log
	opts.Budget = i.budget
	opts.OnFull, opts.OnYield, opts.OnRefuse = i.node.EndStalled, i.countYield, i.countRefusedConn
	listener, err := drainconn.Listen(address, opts)
	if err != nil {
		return nil, err
	}
	s := &requestServer{listener, newRequestServer(listener, handler), make(chan struct{})}
	go func() {
		defer close(s.done)
		i.serveListener(s.server, listener)
	}()
	return s, nil
}

// newRequestServer returns a server for the listener's connections, which have limits of
// their own: the server's are not reached before.
func newRequestServer(l *drainconn.Listener, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes + relayHeadBytes,
		ConnState: l.RecordState,
	}
}

// requestServers returns the servers that have been started.
func (i *Instance) requestServers() []*requestServer {
	var servers []*requestServer
	for _, s := range []*requestServer{i.callers, i.relays} {
		if s != nil {
			servers = append(servers, s)
		}
	}
	return servers
}

// Stop ends the instance without interrupting requests, as far as the grace period
// allows. A request that has been read gets an answer before its connection is closed,
// unless its answer has begun and lasts too long, or its caller does not take it.
func (i *Instance) Stop() {
	i.opts.Log.Info("stopping", "instance", i.opts.Settings.Name)
	begin := i.now()
	grace := max(0, i.opts.Settings.StopGrace-stopMargin)
	lag := min(balancerLag, grace/2)
	i.node.Step(fleet.Stop{BalancerDelay: lag, GracePeriod: grace})
	i.waitUntil(func() time.Duration { return begin + lag }, func() bool { return false })
	i.logConnections("idle-connections-closing")
	// Responses close their connections since the stop began. Callers on those that
	// are still idle send their next request to another instance.
	end := func() time.Duration { return begin + grace - i.stopLag() }
	i.waitUntil(func() time.Duration { return end() - listenerCloseMargin }, func() bool {
		i.closeIdle(newConnGrace)
		return i.node.IdleFor(idlePeriod)
	})
	i.closeListeners()
	i.waitUntil(end, func() bool {
		i.closeIdle(newConnGrace)
		return i.connections().Total() == 0 && i.node.IdleFor(0)
	})
	// A request may have been read since. From here on it is refused instead of sent.
	i.node.Step(fleet.EndStop{})
	answered := max(min(i.now(), end())+finalAnswerTime, i.now()+minFinalAnswerTime)
	i.waitUntil(func() time.Duration { return answered }, func() bool {
		i.closeIdle(0)
		return i.connections().Total() == 0
	})
	i.logConnections("stopped", "instance", i.opts.Settings.Name, "unanswered", i.node.Unanswered(), "lag_ms", i.longestLag.Milliseconds())
	i.Close()
}

// waitUntil returns when done returns true or the time has come. It calls done at least
// once. A suspension of the machine counts, since the process is killed in spite of it.
func (i *Instance) waitUntil(end func() time.Duration, done func() bool) {
	for !done() {
		before := i.now()
		left := end() - before
		if left <= 0 {
			return
		}
		pause := min(left, idlePollInterval)
		time.Sleep(pause)
		i.longestLag = max(i.longestLag, i.now()-before-pause)
	}
}

// stopLag is the time by which a stop ends sooner, since the machine has kept the process from
// running: twice the longest pause that was measured during the stop.
func (i *Instance) stopLag() time.Duration {
	if i.longestLag <= usualStopLag {
		return 0
	}
	return min(maxStopLag, 2*i.longestLag)
}

// closeIdle is drainconn.Listener.CloseIdle for all request servers.
func (i *Instance) closeIdle(unusedFor time.Duration) {
	for _, s := range i.requestServers() {
		s.CloseIdle(unusedFor)
	}
}

// closeListeners ends the acceptance of connections. When it returns, all accepted ones are
// counted.
func (i *Instance) closeListeners() {
	for _, s := range i.requestServers() {
		if err := s.Close(); err != nil {
			i.opts.Log.Info("listener-close-failed", "cause", err.Error())
		}
		<-s.done
	}
}

// connections counts the open connections of callers and relaying peers.
func (i *Instance) connections() drainconn.Counts {
	var n drainconn.Counts
	for _, s := range i.requestServers() {
		n = n.Plus(s.Counts())
	}
	return n
}

// logConnections writes a line with the open connections by their state.
func (i *Instance) logConnections(event string, pairs ...any) {
	n := i.connections()
	i.opts.Log.Info(event, append(pairs, "in_use", n.InUse, "idle", n.Idle, "unused", n.Unused)...)
}
