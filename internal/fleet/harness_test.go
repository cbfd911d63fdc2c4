package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// harness drives one Core over virtual time and records its effects. Its targets
// belong to the services "pool", with engines, and "app", without.
type harness struct {
	t             *testing.T
	core          *Core
	now           time.Duration
	config        *Config
	lastRequestID RequestID
	sends         []Send
	finishes      map[RequestID]Finish
	cancels       []AttemptID
	gossips       []SendGossip
	reserves      []Reserve
	releases      []Release
	logCounts     map[string]int
}

func testEngine() *Engine {
	return &Engine{
		Slots: 16, MemoryTokens: 232_000, StepsPerPass: 43, StepMS: 1.02, PerSequenceMS: 0.00226, ContextMSPerK: 0.00431,
		PrefillPerMS: 206, PairsMSPerM: 0.138, PrefillChunkTokens: 2048, SplitStepMS: 0.075, MeanPromptTokens: 12_000, MeanAnswerTokens: 1300,
	}
}

func newHarness(t *testing.T, targets int) *harness {
	t.Helper()
	return newHarnessOf(t, "front-1", 1, targets)
}

// newHarnessOf returns a harness of one process of an instance.
func newHarnessOf(t *testing.T, name string, incarnation uint64, targets int) *harness {
	t.Helper()
	h := &harness{t: t, finishes: make(map[RequestID]Finish), logCounts: make(map[string]int)}
	h.core = New(Options{
		Name: name, Incarnation: incarnation, FailureDomain: "a", RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
		ReservationTTL: 3 * time.Second, Seed: 7,
	})
	h.config = &Config{Version: 1, Services: map[string]*Service{
		"pool": {Name: "pool", Engine: testEngine()}, "app": {Name: "app"},
	}, Routes: []*Route{
		{Name: "short", Kind: KindStream, Resumable: true, Timeout: 10 * time.Second, TargetLatency: 300 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, CallerTimeout: 2 * time.Second, MaxAttempts: 2, Backends: []Backend{{"pool", 1}}},
		{Name: "long", Kind: KindStream, Resumable: true, Timeout: 15 * time.Second, TargetLatency: 3 * time.Second, MaxEventGap: time.Second, CallerTimeout: 12 * time.Second, MaxAttempts: 2, Backends: []Backend{{"pool", 1}}},
		{Name: "book", Kind: KindNonIdempotent, Timeout: 2 * time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Backends: []Backend{{"app", 1}}},
		{Name: "look", Kind: KindIdempotent, Timeout: 2 * time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Backends: []Backend{{"app", 1}}},
	}}
	h.config.BuildIndexes()
	h.step(Configure{h.config})
	for i := range targets {
		h.listTarget("pool", i, "a")
	}
	for i := range 3 {
		h.listTarget("app", i, "a")
	}
	return h
}

func (h *harness) listTarget(service string, i int, domain string) {
	h.step(TargetListed{Target{
		ID: fmt.Sprintf("%s-%02d", service, i), Service: service, Address: fmt.Sprintf("10.0.0.%d:%s", i, service),
		FailureDomain: domain, Slots: 16, StartedMS: 1,
	}})
}

func (h *harness) step(ev Event) {
	for _, eff := range h.core.Step(h.now, ev) {
		switch eff := eff.(type) {
		case Send:
			h.sends = append(h.sends, eff)
		case Finish:
			_, twice := h.finishes[eff.Request]
			must.False(h.t, twice, must.Sprintf("request %d ended twice", eff.Request))
			h.finishes[eff.Request] = eff
		case Cancel:
			h.cancels = append(h.cancels, eff.Attempt)
		case SendGossip:
			h.gossips = append(h.gossips, eff)
		case Reserve:
			h.reserves = append(h.reserves, eff)
		case Release:
			h.releases = append(h.releases, eff)
		case Log:
			h.logCounts[eff.Event]++
		}
	}
}

// advance advances the virtual time and runs each timer at its own time.
func (h *harness) advance(d time.Duration) {
	end := h.now + d
	for {
		at, ok := h.core.NextTimer()
		if !ok || at > end {
			break
		}
		h.now = max(h.now, at)
		h.step(Tick{})
	}
	h.now = end
	h.step(Tick{})
}

// submit submits a request with the given number of prompt tokens and returns its id.
func (h *harness) submit(route int, prompt int) RequestID {
	return h.submitWithAnswerLimit(route, prompt, min(prompt, 1300))
}

// submitWithAnswerLimit is submit with a limit of the answer in tokens.
func (h *harness) submitWithAnswerLimit(route, prompt, answer int) RequestID {
	h.lastRequestID++
	h.step(RequestArrived{
		Request: h.lastRequestID, ID: fmt.Sprint(h.lastRequestID), Route: h.config.Routes[route], Config: h.config,
		Deadline: h.now + h.config.Routes[route].Timeout, PromptTokens: prompt, MaxAnswerTokens: answer,
		Fingerprint: uint64(h.lastRequestID),
	})
	return h.lastRequestID
}

// lastSend returns the last send of a request.
func (h *harness) lastSend(id RequestID) Send {
	h.t.Helper()
	for i := len(h.sends) - 1; i >= 0; i-- {
		if h.sends[i].Request == id {
			return h.sends[i]
		}
	}
	h.t.Fatalf("request %d was not sent", id)
	return Send{}
}

func (h *harness) sendCount(id RequestID) int {
	n := 0
	for _, s := range h.sends {
		if s.Request == id {
			n++
		}
	}
	return n
}

// Indexes of the routes in a harness's configuration.
const (
	routeShort = iota
	routeLong
	routeNonIdempotent
	routeIdempotent
)
