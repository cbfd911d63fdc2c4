package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlardeck/medlardeck/platform/standin"
)

// Times of the case.
const (
	stableWindow   = 3 * time.Second
	poisonInterval = 4 * time.Second
	poisonRounds   = 6
	crashDownTime  = 2 * time.Second
	entryExpiry    = 3600 * time.Millisecond // three heartbeats
	bookingTime    = 300 * time.Millisecond
	bookingPause   = 20 * time.Millisecond
	poisonPath     = "/look/poison"
	allowedRetries = 3
)

// crashingPool is a service whose runners end when they begin to run one certain request.
type crashingPool struct {
	d        *drill
	mu       sync.Mutex
	lastID   int
	runners  map[string]*standin.Runner // by id, those that live
	arrivals []time.Time                // of the request that crashes runners
	startAt  time.Time                  // of the processes, the last time
	inTouch  []bool                     // by arrival: the machines were in touch
	ids      []string                   // by arrival: of the client's request
}

// add starts a runner.
func (p *crashingPool) add(zone string) error {
	p.mu.Lock()
	p.lastID++
	id := fmt.Sprintf("i-%d", p.lastID)
	p.mu.Unlock()
	r, err := p.d.addRunner(id, zone, func(run *standin.Run) { p.serve(id, zone, run) })
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.runners[id] = r
	p.mu.Unlock()
	return nil
}

func (p *crashingPool) serve(id, zone string, run *standin.Run) {
	if run.Path == poisonPath && p.d.trouble {
		p.crash(id, zone, run)
		return
	}
	if run.Method == "POST" {
		time.Sleep(bookingTime)
	}
	run.Respond(200, "done "+run.ID())
}

// crash ends the runner; it is back after some seconds with a new id.
func (p *crashingPool) crash(id, zone string, run *standin.Run) {
	p.mu.Lock()
	r := p.runners[id]
	delete(p.runners, id)
	if r != nil {
		p.arrivals = append(p.arrivals, time.Now())
		p.inTouch = append(p.inTouch, time.Since(p.startAt) >= stableWindow)
		p.ids = append(p.ids, run.ID())
		p.d.note("runner %s begins to run request %s and crashes; the processes have run for %.1f s", id, run.ID(), time.Since(p.startAt).Seconds())
	}
	p.mu.Unlock()
	if r == nil {
		return
	}
	r.Crash()
	time.AfterFunc(entryExpiry, func() { p.d.store.Remove(names["keyRunners"] + id) })
	time.AfterFunc(crashDownTime, func() {
		if err := p.add(zone); err != nil {
			p.d.note("no new runner: %v", err)
		}
	})
}

// runPoison has a caller of zone-a send a request that crashes the runners that run it. The caller
// retries once at the other machine of its zone, as the clients of the site do, and comes again.
func runPoison(d *drill) (bool, error) {
	if err := d.putConfig(route("look", "idempotent"), route("book", "non_idempotent")); err != nil {
		return false, err
	}
	p := &crashingPool{d: d, runners: make(map[string]*standin.Runner)}
	for zone, count := range map[string]int{"zone-a": 6, "zone-b": 5, "zone-c": 5} {
		for range count {
			if err := p.add(zone); err != nil {
				return false, err
			}
		}
	}
	if err := d.addInstances("zone-a", "zone-a", "zone-b", "zone-c"); err != nil {
		return false, err
	}
	p.startAt = time.Now()
	time.Sleep(stableWindow + 500*time.Millisecond)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var booked, lost atomic.Int64
	callers.Go(func() { d.bookUntil(stop, &booked, &lost) })
	for range poisonRounds {
		for _, i := range d.instances[:2] { // the attempt and its retry
			a := d.send(i, "POST", poisonPath, d.newID("poison"), "the request that crashes runners")
			d.note("the caller gets from %s: %v", i.name, a)
			if a.err == nil && a.status == 200 {
				break
			}
		}
		time.Sleep(poisonInterval)
	}
	close(stop)
	callers.Wait()
	return p.judge(booked.Load(), lost.Load()), nil
}

// bookUntil sends bookings at a steady rate, each on a new connection.
func (d *drill) bookUntil(stop chan struct{}, booked, lost *atomic.Int64) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(bookingPause):
		}
		i := d.instances[n%len(d.instances)]
		open.Go(func() {
			switch a := d.send(i, "POST", "/book/x", d.newID("book"), "a booking"); {
			case a.err == nil && a.status == 200:
				booked.Add(1)
			case a.err == nil && a.status == 502:
				lost.Add(1)
				d.note("a booking was broken off: %v", a)
			}
		})
	}
}

// judge counts the retries that came later than the stable window after the third crash, from
// machines in touch.
func (p *crashingPool) judge(booked, lost int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	late, requests := 0, make(map[string]bool)
	for k, at := range p.arrivals {
		if k >= 3 && at.Sub(p.arrivals[2]) > stableWindow && p.inTouch[k] {
			late++
			requests[p.ids[k]] = true
		}
	}
	p.d.note("runs of the request: %d, of them more than %v after the third crash and from machines in touch: %d in %d of the client's requests (allowed %d)", len(p.arrivals), stableWindow, late, len(requests), allowedRetries)
	p.d.note("bookings done %d, broken off at crashed runners %d", booked, lost)
	return late > allowedRetries
}
