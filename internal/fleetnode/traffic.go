package fleetnode

import (
	"errors"
	"net"
	"sync/atomic"
)

// trafficKind says what a message between instances is about.
type trafficKind uint8

const (
	// trafficLoads are messages on changed loads, failed and leaving targets and news.
	trafficLoads trafficKind = iota
	// trafficStatements are messages with all loads of the sender and addresses of peers.
	trafficStatements
	// trafficVersions are messages that only name versions, and signs of followers.
	trafficVersions
	// trafficConfig are calls for the configuration.
	trafficConfig
	// trafficTargets are calls for targets, and datagrams with changes of them.
	trafficTargets
	// trafficSnapshot are calls of builds that ask for both at once.
	trafficSnapshot
	trafficKinds
)

var trafficKindNames = [trafficKinds]string{"loads", "statements", "versions", "configuration", "targets", "snapshot"}

func (k trafficKind) String() string { return trafficKindNames[k] }

// traffic counts what an instance sends to its peers and gets from them.
type traffic struct {
	sentBytes, sentMessages, receivedBytes, receivedMessages [trafficKinds]atomic.Int64
	// addresses counts the addresses of peers that were sent.
	addresses atomic.Int64
}

func (t *traffic) countSent(kind trafficKind, messages, bytes int) {
	t.sentMessages[kind].Add(int64(messages))
	t.sentBytes[kind].Add(int64(bytes))
}

func (t *traffic) countReceived(kind trafficKind, bytes int) {
	t.receivedMessages[kind].Add(1)
	t.receivedBytes[kind].Add(int64(bytes))
}

// countCall counts a call of a peer's exchange and its answer.
func (t *traffic) countCall(kind trafficKind, sent, received int) {
	t.countSent(kind, 1, sent)
	t.countReceived(kind, received)
}

// kindOf returns what a datagram is about.
func kindOf(d *datagram) trafficKind {
	g := &d.Gossip
	switch {
	case d.Changes != nil:
		return trafficTargets
	case g.Full:
		return trafficStatements
	case g.Joining || len(g.Loads)+len(g.FirstEvents)+len(g.EndedLoads)+len(g.FailedTargets)+len(g.Leaving)+len(g.LeavingTargets) > 0 || g.News != nil:
		return trafficLoads
	default:
		return trafficVersions
	}
}

// counterSource registers counters that are read at each scrape.
type counterSource interface {
	CounterFunc(name string, read func(report func(reason string, value int64))) error
}

// register makes the counts available as metrics.
func (t *traffic) register(metrics counterSource) error {
	for name, counts := range map[string]*[trafficKinds]atomic.Int64{
		"peer_bytes_sent": &t.sentBytes, "peer_messages_sent": &t.sentMessages,
		"peer_bytes_received": &t.receivedBytes, "peer_messages_received": &t.receivedMessages,
	} {
		err := metrics.CounterFunc(name, func(report func(reason string, value int64)) {
			for kind := range counts {
				report(trafficKind(kind).String(), counts[kind].Load())
			}
		})
		if err != nil {
			return err
		}
	}
	return metrics.CounterFunc("peer_addresses_sent", func(report func(reason string, value int64)) {
		report("", t.addresses.Load())
	})
}

// errPeerTooLong reports that a peer sends more than a request or an answer can have.
var errPeerTooLong = errors.New("the peer sends too much")

// countingConn counts the bytes of a connection, and bounds those that are received.
type countingConn struct {
	net.Conn
	maxReceived    int64 // zero for no bound
	sent, received atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	if c.maxReceived > 0 && c.received.Load() >= c.maxReceived {
		return 0, errPeerTooLong
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func (c *countingConn) counts() (sent, received int) {
	return int(c.sent.Load()), int(c.received.Load())
}
