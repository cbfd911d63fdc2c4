package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

// Timing of a world in which the configuration changes.
const (
	configInterval = 250 * time.Millisecond
	// maxConfigLag is how late an instance gets a version at most.
	maxConfigLag    = 200 * time.Millisecond
	changesBegin    = 2 * time.Second
	changesEnd      = 12 * time.Second
	worldLeaveTime  = 2 * time.Second // from the entry of a target that leaves to its removal
	worldEnd        = 30 * time.Second
	addedRouteCount = 1600
)

// changingWorld is a fleet world in which operators change the configuration and targets
// leave.
type changingWorld struct {
	*fleetWorld
	seed     uint64
	versions []*Config // as written by the operators
	denied   int
	started  int // targets
}

func newChangingWorld(t *testing.T, seed uint64) *changingWorld {
	t.Helper()
	w := &changingWorld{fleetWorld: newFleetWorld(t, seed, 0, 0), seed: seed}
	w.config = firstChangingConfig()
	w.versions = []*Config{w.config}
	w.onRun = w.checkService
	for range 5 {
		w.addInstance()
	}
	for service, count := range map[string]int{"pool": 7, "spare": 5, "app": 3, "app2": 3} {
		for range count {
			w.startServiceTarget(service)
		}
	}
	return w
}

func firstChangingConfig() *Config {
	h := newHarness(&testing.T{}, 0)
	c := copyConfig(h.config)
	for _, r := range c.Routes {
		r.Prefix = "/" + r.Name + "/"
	}
	c.Services["spare"] = &Service{Name: "spare", Engine: testEngine()}
	c.Services["app2"] = &Service{Name: "app2"}
	c.Workspaces = []*Workspace{{Name: "w0", Keys: []string{"k0"}}, {Name: "w1", Keys: []string{"k1"}}}
	c.BuildIndexes()
	return c
}

// startServiceTarget lists a new target of a service at all instances.
func (w *changingWorld) startServiceTarget(service string) {
	w.started++
	target := &worldTarget{slot: w.started, starts: 1, Target: Target{
		ID: fmt.Sprintf("%s-%d", service, w.started), Service: service, Address: fmt.Sprintf("10.0.1.%d:1", w.started),
		FailureDomain: w.domain(w.started), Slots: 16, StartedMS: w.now.Milliseconds() + 1,
	}}
	w.targets = append(w.targets, target)
	for _, in := range w.instances {
		in.step(TargetListed{target.Target})
	}
}

// replaceTarget lets a target leave and starts another one of its service.
func (w *changingWorld) replaceTarget(target *worldTarget) {
	target.State = Draining
	leaving := target.Target
	for _, in := range w.instances {
		w.after(time.Duration(w.rng.Int64N(int64(maxConfigLag))), func() { in.step(TargetListed{leaving}) })
	}
	w.startServiceTarget(target.Service)
	w.after(worldLeaveTime, func() {
		for _, in := range w.instances {
			in.step(TargetRemoved{leaving.ID})
		}
	})
}

// changeConfig writes a new version, which each instance gets a little later.
func (w *changingWorld) changeConfig(change func(*Config)) {
	next := copyConfig(w.config)
	next.Version++
	change(next)
	next.BuildIndexesFrom(w.config, func() {})
	w.config = next
	w.versions = append(w.versions, next)
	for _, in := range w.instances {
		w.after(time.Duration(w.rng.Int64N(int64(maxConfigLag))), func() { in.step(Configure{next}) })
	}
}

// randomChange makes one of the changes that operators make.
func (w *changingWorld) randomChange(c *Config) {
	stream, plain := c.Routes[w.rng.IntN(2)], c.Routes[2+w.rng.IntN(2)]
	switch w.rng.IntN(9) {
	case 0, 1:
		services := [][]Backend{{{"pool", 1}}, {{"spare", 1}}, {{"pool", 3}, {"spare", 1}}, {{"pool", 0}, {"spare", 1}}}
		stream.Backends = services[w.rng.IntN(len(services))]
	case 2:
		plain.Backends = [][]Backend{{{"app", 1}}, {{"app2", 1}}, {{"app", 1}, {"app2", 9}}}[w.rng.IntN(3)]
	case 3:
		factor := []time.Duration{1, 2, 4, 8}[w.rng.IntN(4)]
		stream.Timeout, plain.Timeout = factor*2500*time.Millisecond, factor*500*time.Millisecond
	case 4:
		c.Workspaces = []*Workspace{{Name: "w0", Keys: []string{"k0"}}}
		for i := 1; i <= w.rng.IntN(4); i++ {
			c.Workspaces = append(c.Workspaces, &Workspace{Name: fmt.Sprintf("w%d", i), Keys: []string{fmt.Sprintf("k%d", i)}})
		}
	case 5:
		priority := w.rng.IntN(10)
		c.Workspaces[0] = &Workspace{Name: "w0", Keys: []string{"k0"}, Priority: &priority}
		stream.Priority = w.rng.IntN(5)
	case 6:
		if c.Services["spare"] == nil {
			c.Services["spare"] = &Service{Name: "spare"}
		}
		c.Services["spare"].Engine = [](*Engine){nil, testEngine(), largerEngine()}[w.rng.IntN(3)]
	case 7:
		w.toggleService(c)
	case 8:
		w.toggleRoutes(c)
	}
}

func largerEngine() *Engine {
	e := testEngine()
	e.MemoryTokens, e.PrefillPerMS, e.StepsPerPass = 2*e.MemoryTokens, 2*e.PrefillPerMS, 20
	return e
}

// toggleService removes the service "spare", and its routes' use of it, or adds it again.
func (w *changingWorld) toggleService(c *Config) {
	if c.Services["spare"] == nil {
		c.Services["spare"] = &Service{Name: "spare", Engine: testEngine()}
		return
	}
	delete(c.Services, "spare")
	for _, r := range c.Routes[:2] {
		r.Backends = []Backend{{"pool", 1}}
	}
}

// toggleRoutes adds many routes at once, or removes them.
func (w *changingWorld) toggleRoutes(c *Config) {
	if len(c.Routes) > addedRouteCount {
		c.Routes = c.Routes[:4]
		return
	}
	for i := range addedRouteCount {
		r := *c.Routes[0]
		r.Name, r.Prefix = fmt.Sprintf("added-%d", i), fmt.Sprintf("/added/%d/", i)
		c.Routes = append(c.Routes, &r)
	}
}

// sendRequests sends requests of all kinds until end.
func (w *changingWorld) sendRequests(end time.Duration) {
	kinds := []struct {
		path     string
		interval time.Duration
		prompt   func() int
	}{
		{"/short/x", 20 * time.Millisecond, func() int { return 1000 + w.rng.IntN(6000) }},
		{"/long/x", 60 * time.Millisecond, func() int { return 60_000 + w.rng.IntN(90_000) }},
		{"/long/y", 900 * time.Millisecond, func() int { return 250_000 + w.rng.IntN(200_000) }},
		{"/book/x", 40 * time.Millisecond, func() int { return 0 }},
		{"/look/x", 40 * time.Millisecond, func() int { return 0 }},
		{"/added/17/x", 200 * time.Millisecond, func() int { return 1000 }},
	}
	for _, kind := range kinds {
		w.repeat(kind.interval, end, func() {
			in := w.anyInstance()
			r := &worldRequest{path: kind.path, key: fmt.Sprintf("k%d", max(0, w.rng.IntN(6)-3)), prompt: kind.prompt(), sentAt: w.now}
			config, route, caller, _ := in.admit(r)
			if route == nil {
				w.denied++
				return
			}
			in.lastID++
			in.requests[in.lastID] = r
			w.requests = append(w.requests, r)
			in.step(RequestArrived{
				Request: in.lastID, ID: fmt.Sprint(len(w.requests)), Route: route, Config: config, Caller: caller,
				Deadline: w.now + 20*time.Second, PromptTokens: r.prompt, MaxAnswerTokens: min(r.prompt, 400),
				Fingerprint: w.rng.Uint64(), SharedParts: []uint64{uint64(len(w.requests))},
			})
		})
	}
}

// checkService checks that a request runs at a service to which the version of its arrival
// or a later one sends it.
func (w *changingWorld) checkService(run *worldRun) {
	r := run.request
	for _, version := range w.versions {
		if version.Version < r.config.Version {
			continue
		}
		if route := version.Match("", r.path); route != nil && route.sendsTo(run.send.Target.Service) {
			return
		}
	}
	w.t.Errorf("seed %d: %s, admitted by version %d, runs at %s", w.seed, r.path, r.config.Version, run.send.Target.Service)
}

// check checks that each request has ended with a true answer, and that no stream was cut
// before the time limit of its arrival, except by the end of its instance.
func (w *changingWorld) check() {
	w.t.Helper()
	complete := 0
	for i, r := range w.requests {
		what := must.Sprintf("seed %d: request %d to %s at %v ended with %+v after %v, %d runs", w.seed, i+1, r.path, r.sentAt, r.finish, r.endedAt-r.sentAt, r.runs)
		must.NotNil(w.t, r.finish, what)
		route := r.config.Match("", r.path)
		must.LessEq(w.t, route.Timeout, r.endedAt-r.sentAt, what)
		switch family := r.finish.Code.Family(); {
		case family == result.FamilyRefused:
			must.Eq(w.t, 0, r.runs, what)
		case family == result.FamilyComplete:
			complete++
		case r.finish.Code == result.DeadlineRunning || r.finish.Code == result.DeadlineAfterSend:
			must.Eq(w.t, route.Timeout, r.endedAt-r.sentAt, what)
		default:
			must.SliceContains(w.t, []result.Code{result.StopRunning, result.StopAfterSend}, r.finish.Code, what)
		}
		if !route.Retryable() {
			must.LessEq(w.t, 1, r.runs, what)
		}
	}
	must.Positive(w.t, complete)
	must.Positive(w.t, w.denied)
}

// restart stops an instance as planned and starts it again.
func (w *changingWorld) restart(i int, grace time.Duration) {
	in := w.instances[i]
	in.step(Stop{BalancerDelay: grace / 3, GracePeriod: grace})
	w.after(grace, func() {
		in.step(EndStop{})
		w.startInstance(i)
	})
}

// The configuration changes four times a second while requests of former versions wait, run
// and have memory reserved, targets leave, and an instance restarts.
func TestConfigurationChangesEndNothing(t *testing.T) {
	t.Parallel()
	events := make(map[string]int)
	for seed := range uint64(8) {
		w := newChangingWorld(t, 2100+seed)
		w.after(changesBegin, func() {
			w.repeatEach(configInterval, changesEnd, func() { w.changeConfig(w.randomChange) })
		})
		w.repeat(700*time.Millisecond, changesEnd, func() {
			listed := slices.DeleteFunc(slices.Clone(w.targets), func(target *worldTarget) bool { return target.State == Draining })
			w.replaceTarget(listed[w.rng.IntN(len(listed))])
		})
		w.after(5*time.Second, func() { w.restart(0, 4*time.Second) })
		w.sendRequests(14 * time.Second)
		w.runUntil(worldEnd)
		w.check()
		for event, count := range w.logCounts {
			events[event] += count
		}
	}
	for _, event := range []string{"wait", "reserve", "request-moved", "target-leaving"} {
		must.Greater(t, 20, events[event], must.Sprint(event))
	}
}

// repeatEach calls fn in each interval until end.
func (w *fleetWorld) repeatEach(interval, end time.Duration, fn func()) {
	if w.now < end {
		fn()
		w.after(interval, func() { w.repeatEach(interval, end, fn) })
	}
}

// Two instances without a path to targets are served by peers that have other versions of
// the configuration. Streams that have begun before the path was lost may end with it.
func TestConfigurationChangesBesideRelays(t *testing.T) {
	t.Parallel()
	const cutFrom, cutTo = 3 * time.Second, 10 * time.Second
	for seed := range uint64(6) {
		w := newChangingWorld(t, 2200+seed)
		w.after(changesBegin, func() {
			w.repeatEach(configInterval, changesEnd, func() { w.changeConfig(w.randomChange) })
		})
		for _, in := range w.instances[:2] {
			w.cutOff(in, cutFrom, cutTo, seed%2 == 0)
		}
		w.sendRequests(14 * time.Second)
		w.runUntil(worldEnd)
		relayed := 0
		w.requests = slices.DeleteFunc(w.requests, func(r *worldRequest) bool {
			relayed += r.relayed
			return r.sentAt < cutFrom+stableWindow || r.sentAt > cutTo-stableWindow && r.sentAt < cutTo
		})
		must.Greater(t, 100, relayed)
		w.check()
	}
}
