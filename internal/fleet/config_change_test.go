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

// configure puts a changed copy of the configuration in force.
func (h *harness) configure(change func(*Config)) {
	h.t.Helper()
	next := copyConfig(h.config)
	next.Version++
	change(next)
	next.BuildIndexes()
	h.config = next
	h.step(Configure{next})
	must.Eq(h.t, next, h.core.Config())
}

// copyConfig returns a copy that can be changed without a change of the original.
func copyConfig(c *Config) *Config {
	next := &Config{Version: c.Version, Services: make(map[string]*Service, len(c.Services)), Limits: c.Limits}
	for name, service := range c.Services {
		changed := *service
		if service.Engine != nil {
			engine := *service.Engine
			changed.Engine = &engine
		}
		next.Services[name] = &changed
	}
	for _, route := range c.Routes {
		changed := *route
		next.Routes = append(next.Routes, &changed)
	}
	next.Workspaces = append(next.Workspaces, c.Workspaces...)
	return next
}

// moveRoute lets all requests of a route go to one service.
func moveRoute(c *Config, route int, service string) {
	c.Routes[route].Backends = []Backend{{service, 1}}
}

// leaveAll lets all targets of a service leave.
func (h *harness) leaveAll(service string) {
	for _, target := range h.core.serviceTargets(service) {
		leaving := target.Target
		leaving.State = Draining
		h.step(TargetListed{leaving})
	}
}

// waitingRequest submits prompts until one waits for room.
func (h *harness) waitingRequest() RequestID {
	h.t.Helper()
	for range 400 {
		if id := h.submit(routeLong, 120_000); h.sendCount(id) == 0 && h.core.requests[id] != nil {
			return id
		}
	}
	h.t.Fatal("no request waits")
	return 0
}

// A request that waits is placed at the service to which its route has moved. If the
// operators then take the former targets away, it would otherwise be refused.
func TestWaitingRequestFollowsItsRoute(t *testing.T) {
	t.Parallel()
	h := newChangeHarness(t, 3)
	waiting := h.waitingRequest()
	for i := range 4 {
		h.listTarget("spare", i, "a")
	}
	h.configure(func(c *Config) {
		c.Services["spare"] = &Service{Name: "spare", Engine: testEngine()}
		moveRoute(c, routeLong, "spare")
	})
	h.leaveAll("pool")
	h.advance(2 * placementRetryDelay)
	must.Eq(t, Finish{}, h.finishes[waiting])
	must.Eq(t, "spare", h.lastSend(waiting).Target.Service)
}

// A request whose route has been dropped was allowed when it came: it is served as before.
func TestWaitingRequestOutlivesItsRoute(t *testing.T) {
	t.Parallel()
	h := newChangeHarness(t, 3)
	waiting := h.waitingRequest()
	h.configure(func(c *Config) {
		c.Routes = c.Routes[:routeLong]
		delete(c.Services, "pool")
	})
	for id := range h.core.requests {
		if id != waiting {
			h.step(CallerLeft{id})
		}
	}
	h.advance(2 * placementRetryDelay)
	must.Eq(t, "pool", h.lastSend(waiting).Target.Service)
}

// A request that a target may have seen stays with its service: another one may give other
// answers, and its budget for retries knows nothing of the first attempt.
func TestRetryStaysAtItsService(t *testing.T) {
	t.Parallel()
	h := newChangeHarness(t, 3)
	id := h.submit(routeIdempotent, 0)
	h.listTarget("spare", 0, "a")
	h.configure(func(c *Config) {
		c.Services["spare"] = &Service{Name: "spare"}
		moveRoute(c, routeIdempotent, "spare")
	})
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeNotRun})
	must.Eq(t, 2, h.sendCount(id))
	must.Eq(t, "app", h.lastSend(id).Target.Service)
}

// A request that was withheld has reached no target and follows its route.
func TestWithheldRequestFollowsItsRoute(t *testing.T) {
	t.Parallel()
	h := newChangeHarness(t, 3)
	id := h.submit(routeNonIdempotent, 0)
	h.listTarget("spare", 0, "a")
	h.configure(func(c *Config) {
		c.Services["spare"] = &Service{Name: "spare"}
		moveRoute(c, routeNonIdempotent, "spare")
	})
	h.leaveAll("app")
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeWithheld})
	must.Eq(t, "spare", h.lastSend(id).Target.Service)
}

// The kind of a request says whether it may be repeated. It is that of its arrival.
func TestRequestKeepsItsKind(t *testing.T) {
	t.Parallel()
	h := newChangeHarness(t, 3)
	id := h.submit(routeNonIdempotent, 0)
	h.configure(func(c *Config) { c.Routes[routeNonIdempotent].Kind = KindIdempotent })
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeWithheld})
	must.True(t, h.lastSend(id).FreshConnection)
	h.step(AttemptEnd{Attempt: h.lastSend(id).Attempt, Outcome: OutcomeBroken})
	must.Eq(t, result.BrokenAfterSend, h.finishes[id].Code)
	must.Eq(t, 2, h.sendCount(id))
}

// A stream under way that goes on at another target is placed by the figures of the engines
// as they are now: by former ones it would not fit there.
func TestResumedStreamIsPlacedByTheFiguresInForce(t *testing.T) {
	t.Parallel()
	h := newChangeHarness(t, 4)
	id := h.submit(routeShort, 6000)
	first := h.lastSend(id)
	h.step(Progress{Attempt: first.Attempt, EventID: "1"})
	h.configure(func(c *Config) {
		c.Services["pool"].Engine.MemoryTokens = 4000
		c.Services["pool"].Engine.PrefillPerMS = 2
	})
	h.step(AttemptEnd{Attempt: first.Attempt, Outcome: OutcomeBroken})
	must.Positive(t, len(h.lastSend(id).Helpers)+len(h.reserves))
}

// Shorter and longer time limits hold for requests that come later. A stream under way
// is neither cut by the one nor kept by the other.
func TestTimeLimitIsThatOfTheArrival(t *testing.T) {
	t.Parallel()
	h := newChangeHarness(t, 4)
	id := h.submit(routeShort, 3000)
	attempt := h.lastSend(id).Attempt
	begunAt := h.now
	for i, timeout := range []time.Duration{100 * time.Millisecond, time.Minute, time.Second, 30 * time.Second} {
		h.configure(func(c *Config) {
			c.Routes[routeShort].Timeout, c.Routes[routeShort].MaxEventGap, c.Routes[routeShort].CallerTimeout = timeout, timeout/4, timeout
		})
		h.step(Progress{Attempt: attempt, EventID: "1"})
		h.advance(500 * time.Millisecond)
		must.Eq(t, Finish{}, h.finishes[id], must.Sprintf("change %d", i))
	}
	for h.now < begunAt+10*time.Second-300*time.Millisecond {
		h.step(Progress{Attempt: attempt, EventID: "1"})
		h.advance(200 * time.Millisecond)
	}
	must.Eq(t, Finish{}, h.finishes[id])
	h.advance(300 * time.Millisecond)
	must.Eq(t, result.DeadlineRunning, h.finishes[id].Code)
	must.SliceEmpty(t, h.sends[1:])
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
	for _, refusal := range []result.Code{result.UnknownRoute, result.Unauthenticated, result.NoConfiguration, result.BodyTooLarge, result.HeadersTooLarge} {
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
