package fleetnode

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/medlardeck/medlardeck/internal/fleet"
)

// ConfigRequest asks for a newer configuration than a version.
type ConfigRequest struct{ Version uint64 }

// ConfigReply is the answer to a ConfigRequest. Version is zero if there is none newer.
type ConfigReply struct {
	Version    uint64
	Compressed []byte // with DEFLATE
	// Busy says that the instance has the configuration and serves too many others now.
	// Referrals are some of those that have got it.
	Busy      bool
	Referrals []netip.Addr
	// Evacuations are what the instance knows of evacuated failure domains, nil for nothing.
	Evacuations []fleet.EvacuationReport
}

// Config returns the configuration of this instance if it is newer than the requester's.
func (e *Exchange) Config(request ConfigRequest, reply *ConfigReply) error {
	e.kind.Store(uint32(trafficConfig))
	reply.Evacuations = e.mirror.node.Evacuations()
	held := e.mirror.heldConfig()
	if held == nil || held.version <= request.Version {
		return nil
	}
	var ok bool
	if reply.Referrals, ok = e.conn.begin(transferKey{config: true, version: held.version}); !ok {
		reply.Busy = true
		return nil
	}
	compressed, err := held.compress()
	if err != nil {
		return err
	}
	reply.Version, reply.Compressed = held.version, compressed
	return nil
}

// configFetch is the state of the request for a newer configuration.
type configFetch struct {
	mu      sync.Mutex
	running bool
}

// Delays of the request for a configuration.
const (
	// minBusyDelay and maxBusyDelay bound the random time after which an instance that was
	// told that a peer is busy asks another one. A transfer takes some 10 ms.
	minBusyDelay = 5 * time.Millisecond
	maxBusyDelay = 25 * time.Millisecond
	// elsewhereShare is the share of the time in which a configuration must be in force
	// after which an instance that has not got it from peers reads the store.
	elsewhereShare = 0.5
)

// wantConfig requests the newest configuration from peers, unless that is under way.
func (x *snapshotExchanger) wantConfig() {
	x.config.mu.Lock()
	defer x.config.mu.Unlock()
	if x.config.running {
		return
	}
	x.config.running = true
	go x.fetchConfig()
}

// fetchConfig asks one peer after the other until this instance holds the newest
// configuration that is known, or the time of a configuration has passed; the next message
// of a peer starts it again.
func (x *snapshotExchanger) fetchConfig() {
	defer func() {
		x.config.mu.Lock()
		defer x.config.mu.Unlock()
		x.config.running = false
	}()
	began := time.Now()
	readAt := began.Add(time.Duration(elsewhereShare * float64(x.maxConfigDelay)))
	var from sources
	for time.Since(began) < x.maxConfigDelay {
		own, _ := x.mirror.versions()
		if x.gossip.fresh.newestVersion(time.Now()) <= max(own, x.mirror.rejected()) {
			return
		}
		from.add(x.gossip.configHolders(own)...)
		if peer, ok := from.pick(); ok && x.askForConfig(peer, own, &from) {
			continue
		}
		if x.readStore != nil && time.Now().After(readAt) {
			x.countRetry(retryStoreRead)
			x.readConfigFromStore()
			readAt = readAt.Add(x.maxConfigDelay)
		}
		x.busyPause()
	}
	x.countRetry(retryGivenUp)
}

// busyPause waits before the next try.
func (x *snapshotExchanger) busyPause() { time.Sleep(minBusyDelay + rand.N(maxBusyDelay-minBusyDelay)) }

// Reasons of further tries, as the metrics name them.
const (
	retryBusy        = "busy"
	retryNotHeld     = "not-held"
	retryUnreachable = "unreachable"
	retryStoreRead   = "store-read"
	retryGivenUp     = "given-up"
)

func (x *snapshotExchanger) countRetry(reason string) { x.metrics.Add("peer_exchange_retries", reason) }

// ask makes a call to a peer. A peer that does not answer is not asked again.
func (x *snapshotExchanger) ask(peer netip.AddrPort, kind trafficKind, method string, request, reply any, from *sources) bool {
	err := callPeer(x.localIP, peer, transferTimeout, x.countCall(kind), method, request, reply)
	if err != nil {
		x.log.Info("peer-unreachable", "peer", peer.String(), "cause", err.Error())
		x.countRetry(retryUnreachable)
		from.fail(peer.Addr())
	}
	return err == nil
}

// askForConfig asks a peer for a newer configuration and adopts it. It returns false if the
// next try has to wait.
func (x *snapshotExchanger) askForConfig(peer netip.Addr, own uint64, from *sources) (got bool) {
	var reply ConfigReply
	address := netip.AddrPortFrom(peer, uint16(x.port))
	if !x.ask(address, trafficConfig, "Exchange.Config", ConfigRequest{own}, &reply, from) {
		return false
	}
	x.mirror.applyPeerEvacuations(reply.Evacuations) // before requests can be served
	switch {
	case reply.Busy:
		x.countRetry(retryBusy)
		from.refer(peer, reply.Referrals)
		return false
	case reply.Version <= own:
		x.countRetry(retryNotHeld)
		from.fail(peer)
		return false
	}
	held, err := newHeldConfig(reply.Version, reply.Compressed)
	if err != nil {
		x.log.Info("configuration-rejected", "peer", address.String(), "cause", err.Error())
		from.fail(peer)
		return false
	}
	if x.mirror.holdConfig(held) {
		x.mirror.adoptConfig(held.raw)
		x.log.Info("configuration-from-peer", "peer", address.String(), "version", reply.Version, "bytes", len(reply.Compressed))
	}
	return true
}

// readConfigFromStore reads the configuration from the store.
func (x *snapshotExchanger) readConfigFromStore() {
	if err := x.readStore(); err != nil {
		x.log.Info("configuration-not-read", "cause", err.Error())
	}
}
