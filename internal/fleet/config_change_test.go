package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

// newChangeHarness returns a harness whose routes have prefixes, by which the versions of a route
// are told apart from others.
func newChangeHarness(t *testing.T, targets int) *harness {
	t.Helper()
	h := newHarness(t, targets)
	for i := range h.config.Routes {
		h.config.Routes[i].Prefix = "/" + h.config.Routes[i].Name + "/"
	}
	h.config.BuildIndexes()
	return h
}

// losePath lets the path to the targets of a service be lost, beside some peers.
func (h *harness) losePath(service string, peers ...string) {
	for _, name := range peers {
		h.step(PeerGossip{From: name, Domain: "a", RelayAddress: "10.1.0.2:" + name})
	}
	h.core.pathTo(service).state = pathLost
}

// Peers get a version at other times. One that does not know a key or a route yet can serve
// all other requests, and must not be avoided for them.
func TestPeerOfAnotherVersionServesOtherRequests(t *testing.T) {
	t.Parallel()
	for _, refusal := range []result.Code{result.UnknownRoute, result.Unauthenticated, result.NoConfiguration, result.BodyTooLarge} {
		h := newChangeHarness(t, 3)
		h.losePath("app", "front-2", "front-3")
		id := h.submit(routeIdempotent, 0)
		first := h.lastSend(id).Relay.Peer
		h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeNotRun, Refusal: refusal})
		second := h.lastSend(id).Relay.Peer
		must.NotEq(t, first, second)
		h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeNotRun, Refusal: refusal})
		must.Eq(t, result.NoTarget, h.finishes[id].Code, must.Sprint(refusal))
		must.Eq(t, 2, h.sendCount(id))
		other := h.submit(routeIdempotent, 0)
		must.SliceContains(t, []string{"front-2", "front-3"}, h.lastSend(other).Relay.Peer, must.Sprint(refusal))
	}
}
// The time limit of a relayed request is that of the instance that admitted it: a peer of a
// version with a shorter one would cut its stream.
func TestRelayedRequestKeepsItsTimeLimit(t *testing.T) {
	t.Parallel()
	h := newChangeHarness(t, 3)
	h.config.Routes[routeShort].Timeout = 300 * time.Millisecond
	h.lastRequestID++
	h.step(RequestArrived{
		Request: h.lastRequestID, Route: h.config.Routes[routeShort], Config: h.config, Deadline: h.now + 5*time.Second,
		PromptTokens: 1000, Fingerprint: 1, Relayed: true, AttemptsLeft: 2,
	})
	send := h.lastSend(h.lastRequestID)
	must.Eq(t, h.now+5*time.Second, send.Deadline)
	h.step(Progress{Attempt: send.Attempt, EventID: "1"})
	h.advance(800 * time.Millisecond)
	must.Eq(t, Finish{}, h.finishes[h.lastRequestID])
}
