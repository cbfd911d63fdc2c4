package fleetnode

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// peerListener accepts connections of known instances only.
type peerListener struct {
	net.Listener
	gossip *gossip
}

// Accept implements net.Listener.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from, err := netip.ParseAddrPort(conn.RemoteAddr().String())
		if err == nil && l.gossip.isInstance(from.Addr().Unmap()) {
			return conn, nil
		}
		l.gossip.log.Info("relay-connection-refused", "from", conn.RemoteAddr().String())
		_ = conn.Close()
	}
}

// isInstance reports whether an instance at the address has sent a message lately.
func (g *gossip) isInstance(a netip.Addr) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.peers[netip.AddrPortFrom(a, g.ownAddress.Port())]
	return c != nil && time.Since(c.lastMessageAt) <= peerExpiry
}

// serveRelays serves the requests of peers that reach no target in the background.
func (i *Instance) serveRelays(s *Settings) error {
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.RelayPort))
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for requests of peers at %s: %w", address, err)
	}
	server := &http.Server{Handler: i.node.RelayHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	i.auxiliaryServers = append(i.auxiliaryServers, server)
	go i.serveListener(server, &peerListener{listener, i.gossip})
	return nil
}
