package fleetnode

import (
	"net/netip"
	"strconv"
	"time"
)

// peerForm is the form of messages that a peer reads, as far as its own have shown.
type peerForm struct {
	format messageFormat
	// eras and news concern peers without a format number; others know both. eras says
	// that the peer's build knows of eras of the store.
	eras bool
	news newsLayout
}

// newerForm returns the form after another message of the peer. A peer that joins may have
// another build than before.
func newerForm(known peerForm, m *receivedMessage) peerForm {
	if m.format > unnumberedFormat {
		return peerForm{format: m.format}
	}
	if known.format > unnumberedFormat || m.Gossip.Joining {
		known = peerForm{}
	}
	if p := m.StorePosition.position(); p.Revision > 0 {
		if known.eras && p.Era == 0 {
			known = peerForm{} // another build, whose first message was lost
		}
		known.eras = p.Era > 0
	}
	switch {
	case m.news != newsUnknown:
		known.news = m.news
	case known.eras: // all builds that know of eras read it
		known.news = newsWithLimits
	}
	return known
}

// knowsEras reports whether the peer's positions of the store name the era.
func (f peerForm) knowsEras() bool { return f.format > unnumberedFormat || f.eras }

// servesRelays reports whether the peer's build is known to serve the requests of its
// peers. The builds that do came together with those that know of eras.
func (f peerForm) servesRelays() bool { return f.knowsEras() }

// servesConfig reports whether the peer's build serves the configuration apart from targets.
func (f peerForm) servesConfig() bool { return f.format >= evacuationsFormat }

// recordBuild updates the form that a peer reads, and logs a peer of another build at its
// first message and whenever more becomes known of it.
func (g *gossip) recordBuild(from netip.AddrPort, m *receivedMessage) {
	if m.format != currentFormat {
		g.metrics.Add("peer_messages_of_other_builds", m.format.String())
	}
	if len(m.unreadable) > 0 {
		g.metrics.Add("peer_messages_unreadable", "parts")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.peers[from]
	former, first := c.form, !c.formKnown
	c.form, c.formKnown = newerForm(former, m), true
	if !first && c.form != former || first && m.format != currentFormat {
		g.log.Info("peer-build", "peer", m.From, "address", from.String(), "format", m.format, "own_format", currentFormat,
			"eras", c.form.knowsEras(), "news", c.form.newsName())
		c.unreadableLogged = false
	}
	if len(m.unreadable) > 0 && !c.unreadableLogged {
		c.unreadableLogged = true
		g.log.Info("peer-message-unreadable", "from", from.String(), "peer", m.From, "format", m.format, "parts", m.unreadable)
	}
}

// newsName says which news a peer reads.
func (f peerForm) newsName() string {
	if f.format > unnumberedFormat {
		return newsWithLimits.String()
	}
	return f.news.String()
}

func (f messageFormat) String() string { return strconv.FormatUint(uint64(f), 10) }

// unreadableLogInterval is the minimum time between two lines on messages that name no
// sender.
const unreadableLogInterval = 10 * time.Second

// recordUnreadable counts a message that could not be decoded, and logs some of them.
func (g *gossip) recordUnreadable(from netip.AddrPort, err error) {
	g.metrics.Add("peer_messages_unreadable", "whole")
	if now := time.Now(); now.Sub(g.unreadableLoggedAt) >= unreadableLogInterval {
		g.unreadableLoggedAt = now
		g.log.Info("peer-message-unreadable", "from", from.String(), "cause", err.Error())
	}
}
