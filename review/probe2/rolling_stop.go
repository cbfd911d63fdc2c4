package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	stopGrace = 8 * time.Second // grace-s
	// lateAfter is the time after a SIGTERM from which a cut request is not excused by its
	// runner, which is still at work.
	lateAfter = 3 * time.Second
	// stopGap is the time between the SIGTERMs of two instances.
	stopGap = 1200 * time.Millisecond
	// stopFactor and stopDossierFactor are the traffic in multiples of that of the sheet.
	stopFactor        = 2.0
	stopDossierFactor = 2.8
	// stopPlayed is how long traffic is played.
	stopPlayed  = 88 * time.Second
	engineCount = 3
)

// stops is a run of rollingStops.
type stops struct {
	fleet    *fleet
	balancer *balancer
	rec      *record
	end      time.Time

	mu     sync.Mutex
	stopAt map[*instance]time.Time // the last SIGTERM
	cut    map[string]bool         // requests that left a runner at work
	lost   int
}

// rollingStops plays steady traffic before three instances of a zone, of which two at a time are
// stopped and started. It looks for streams that were sent later than lateAfter the SIGTERM of
// their instance, were passed on to a runner and ended without a complete answer.
func rollingStops(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(3)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put(names["keyConfig"], newConfig(7, lastingKey))
	s := &stops{fleet: f, rec: rec, stopAt: make(map[*instance]time.Time), cut: make(map[string]bool)}
	for i := range engineCount {
		e := newEngine(s.recordEnd)
		r, err := newRunner(f, rec, fmt.Sprintf("i-pool-%d", i), "pool", engineSlots, e.serve)
		if err != nil {
			return false, err
		}
		engines.Store(r.address, e)
	}
	for _, i := range f.instances {
		if err := i.start(); err != nil {
			return false, err
		}
	}
	s.balancer, s.end = newBalancer(f.instances), time.Now().Add(stopPlayed)
	var wg sync.WaitGroup
	drafts.play(stopFactor*engineCount, s.end, &wg, s.send)
	specs.play(stopFactor*engineCount, s.end, &wg, s.send)
	dossiers.play(stopDossierFactor*engineCount, s.end, &wg, s.send)
	if trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.roll()
		}()
	}
	wg.Wait()
	rec.add("result", "", "lost", s.lost)
	return s.lost > 0, nil
}

// recordEnd records that an engine has ended an answer.
func (s *stops) recordEnd(id string, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[id] = !complete
}

// send sends a request by way of the balancer, and judges its end.
func (s *stops) send(q *request) {
	i := s.balancer.pick(fmt.Sprint(rand.IntN(90)))
	if i == nil {
		return
	}
	sentAt := time.Now()
	a := q.send(s.rec, i.front)
	endedAt := time.Now()
	time.Sleep(100 * time.Millisecond) // the runner notices the cut
	s.mu.Lock()
	defer s.mu.Unlock()
	stop := s.stopAt[i]
	sinceStop := sentAt.Sub(stop)
	if a.err == nil || stop.IsZero() || sinceStop <= lateAfter || sinceStop > stopGrace+time.Second {
		return
	}
	if s.cut[q.id] && endedAt.Sub(sentAt) < q.deadline {
		s.lost++
		s.rec.add("lost", q.id, "instance", i.name, "sent_after_sigterm_ms", sinceStop.Milliseconds(), "cut_after_sigterm_ms", endedAt.Sub(stop).Milliseconds())
	}
}

// roll stops two instances, starts them again when they have ended, and goes on with others.
func (s *stops) roll() {
	for round := 0; time.Now().Before(s.end.Add(-stopGrace - lateAfter)); round++ {
		time.Sleep(time.Second) // all are ready again
		var wg sync.WaitGroup
		for k := range 2 {
			i := s.fleet.instances[(round+k)%len(s.fleet.instances)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.restart(i)
			}()
			time.Sleep(stopGap)
		}
		wg.Wait()
	}
}

// restart stops an instance as the platform does, and starts it again.
func (s *stops) restart(i *instance) {
	s.mu.Lock()
	s.stopAt[i] = time.Now()
	s.mu.Unlock()
	s.rec.add("SIGTERM", "", "instance", i.name)
	i.signal(syscall.SIGTERM)
	select {
	case <-i.exited:
	case <-time.After(stopGrace):
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
	s.rec.add("exited", "", "instance", i.name)
	if err := i.start(); err != nil {
		s.rec.add("not-started", "", "cause", err)
	}
}
