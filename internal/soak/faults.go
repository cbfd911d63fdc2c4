package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
	platformstandin "github.com/medlardeck/medlardeck/internal/standin/platform"
)

// Times of faults.
const (
	returnTime     = 4 * time.Second // from an engine's death to its restart
	pauseTime      = 4 * time.Second // of an entry instance
	balancerNotice = time.Second     // from an entry's death to the balancer's knowing
	stopBound      = 90 * time.Second
	lostShare      = 0.3 // of the answers of writes
	operateBound   = 20 * time.Second
)

// crashMarker in a prompt ends the engine that runs it.
const crashMarker = "crash-marker"

// fault is one kind of disturbance. It returns when it is undone.
type fault struct {
	name string
	run  func(s *soak, ctx context.Context, pick int)
}

func faults() []fault {
	return []fault{
		{"engine-death", (*soak).engineDeath},
		{"engine-hang", (*soak).engineHang},
		{"entry-death", (*soak).entryDeath},
		{"entry-pause", (*soak).entryPause},
		{"store-outage", func(s *soak, ctx context.Context, _ int) {
			s.store(ctx, platformstandin.Faults{Outage: true})
		}},
		{"lost-answers", func(s *soak, ctx context.Context, _ int) {
			s.store(ctx, platformstandin.Faults{LostAnswers: lostShare})
		}},
		{"domain-cut", (*soak).domainCut},
		{"configuration-change", (*soak).configurationChange},
		{"target-drain", (*soak).targetDrain},
		{"planned-stop", (*soak).plannedStop},
		{"crashing-request", (*soak).crashingRequest},
	}
}

// phase is a set of faults at one time.
type phase struct {
	faults []fault
	picks  []int // random choices of each fault, drawn ahead
}

func (p phase) name() string {
	names := make([]string, len(p.faults))
	for i, f := range p.faults {
		names[i] = f.name
	}
	return strings.Join(names, "+")
}

// schedule draws every fault singly and then seeded pairs of different faults.
func (s *soak) schedule() ([]phase, error) {
	all := faults()
	chosen, err := choose(all, s.opts.Faults)
	if err != nil {
		return nil, err
	}
	var phases []phase
	add := func(fs ...fault) {
		p := phase{faults: fs}
		for range fs {
			p.picks = append(p.picks, s.rng.IntN(1<<16))
		}
		phases = append(phases, p)
	}
	for _, f := range chosen {
		add(f)
	}
	for range max(0, s.opts.Pairs) {
		i := s.rng.IntN(len(all))
		j := (i + 1 + s.rng.IntN(len(all)-1)) % len(all)
		add(all[i], all[j])
	}
	return phases, nil
}

func choose(all []fault, names []string) ([]fault, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []fault
	for _, name := range names {
		found := false
		for _, f := range all {
			if f.name == name {
				out, found = append(out, f), true
			}
		}
		if !found {
			return nil, fmt.Errorf("choose faults: no fault %q", name)
		}
	}
	return out, nil
}

// phase runs the faults of one phase and lets the deployment recover.
func (s *soak) phase(ctx context.Context, p phase) {
	fmt.Fprintf(s.opts.Progress, "phase %s\n", p.name())
	s.report.Phases = append(s.report.Phases, p.name())
	start := time.Now()
	done := make(chan struct{}, len(p.faults))
	for i, f := range p.faults {
		go func() {
			f.run(s, ctx, p.picks[i])
			done <- struct{}{}
		}()
	}
	for range p.faults {
		<-done
	}
	s.sleep(ctx, phaseTime-s.engineTime(time.Since(start)))
}

func (s *soak) engineDeath(ctx context.Context, pick int) {
	e := s.d.Engines[pick%len(s.d.Engines)]
	e.Command(engine.Faults{Die: true, ReturnAfterMS: int(s.wall(returnTime).Milliseconds())})
	s.sleep(ctx, faultTime)
}

func (s *soak) engineHang(ctx context.Context, pick int) {
	e := s.d.Engines[pick%len(s.d.Engines)]
	e.Command(engine.Faults{HangMS: int(faultTime.Milliseconds())})
	s.sleep(ctx, faultTime)
}

func (s *soak) entryDeath(ctx context.Context, pick int) {
	i := pick % dev.Entries
	if s.lost[i].Swap(true) {
		return // the other fault of the phase ended it
	}
	s.lost[i].Store(false) // the balancer notices later
	s.mu.Lock()
	s.deaths[i] = append(s.deaths[i], outage{from: time.Now()})
	s.mu.Unlock()
	s.d.KillEntry(i)
	s.sleep(ctx, balancerNotice)
	s.lost[i].Store(true)
	s.sleep(ctx, faultTime-balancerNotice)
	s.restart(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaths[i][len(s.deaths[i])-1].until = time.Now()
}

// restart brings an entry instance back once it has a configuration, or after
// a bound: with the store away and no peer it can't have one.
func (s *soak) restart(i int) {
	if err := s.d.RestartEntry(i); err != nil {
		s.violate("entry %d did not start again: %v", i, err)
		return
	}
	select {
	case <-s.d.Instances[i].Node.Configured():
	case <-time.After(s.wall(faultTime)):
	}
	s.lost[i].Store(false)
}

func (s *soak) entryPause(ctx context.Context, pick int) {
	s.d.Instances[pick%dev.Entries].Node.Suspend(s.wall(pauseTime))
	s.sleep(ctx, faultTime-pauseTime)
}

func (s *soak) store(ctx context.Context, f platformstandin.Faults) {
	s.d.Platform.SetFaults(f)
	s.sleep(ctx, faultTime)
	s.d.Platform.SetFaults(platformstandin.Faults{})
}

func (s *soak) domainCut(ctx context.Context, pick int) {
	domain := dev.Domains[pick%len(dev.Domains)]
	s.d.Network.Cut(domain)
	s.sleep(ctx, faultTime)
	s.d.Network.Heal(domain)
}

func (s *soak) configurationChange(ctx context.Context, pick int) {
	s.change(ctx, pick, configuration.Edit{Limits: []configuration.WorkspaceLimit{
		{Workspace: "school", TokensPerSecond: float64(1_000_000 + pick)},
	}})
	s.sleep(ctx, faultTime/2)
}

func (s *soak) targetDrain(ctx context.Context, pick int) {
	name := fmt.Sprintf("engine-%02d", pick%len(s.d.Engines))
	if !s.change(ctx, pick, configuration.Edit{Drain: []string{name}}) {
		return
	}
	s.sleep(ctx, faultTime)
	s.change(ctx, pick, configuration.Edit{Undrain: []string{name}})
}

// change plans and confirms an edit at one entry instance and reports whether
// it was accepted. An operator that gets no clear answer asks again with the
// same plan.
func (s *soak) change(ctx context.Context, pick int, edit configuration.Edit) bool {
	for try := range dev.Entries {
		i := (pick + try) % dev.Entries
		if s.lost[i].Load() {
			continue
		}
		planned, err := s.operate(ctx, i, entry.OperatorCommand{Edit: &edit})
		if err != nil || planned.Plan == nil {
			continue
		}
		out, err := s.operate(ctx, i, entry.OperatorCommand{Confirm: planned.Plan.ID})
		if err != nil || out.Confirmation == nil {
			continue
		}
		if out.Confirmation.Verdict == configuration.VerdictAccepted {
			s.accepted(out.Confirmation.Revision)
			return true
		}
	}
	return false
}

func (s *soak) operate(ctx context.Context, i int, ev entry.OperatorCommand) (entry.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.wall(operateBound))
	defer cancel()
	ev.Operator, ev.At = "soak", time.Now().UTC()
	return s.d.Instances[i].Node.Operate(ctx, ev)
}

func (s *soak) accepted(rev configuration.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Revision = max(s.report.Revision, rev)
}

func (s *soak) plannedStop(ctx context.Context, pick int) {
	i := pick % dev.Entries
	if s.lost[i].Swap(true) {
		return
	}
	// The balancer learns of the stop from /readyz while the instance still
	// takes what arrives.
	stop, cancel := context.WithTimeout(ctx, s.wall(stopBound))
	defer cancel()
	if err := s.d.StopEntry(stop, i); err != nil {
		s.violate("planned stop of entry %d: %v", i, err)
	}
	s.restart(i)
}

func (s *soak) crashingRequest(ctx context.Context, _ int) {
	marker, none := crashMarker, ""
	for _, e := range s.d.Engines {
		e.Command(engine.Faults{CrashMarker: &marker, ReturnAfterMS: int(s.wall(returnTime).Milliseconds())})
	}
	s.crashing.Store(true)
	s.sleep(ctx, faultTime)
	s.crashing.Store(false)
	s.sleep(ctx, time.Duration(limits.Short)*time.Millisecond)
	for _, e := range s.d.Engines {
		e.Command(engine.Faults{CrashMarker: &none})
	}
}
