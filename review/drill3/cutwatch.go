package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlardeck/medlardeck/platform/standin"
)

// Times of the case.
const (
	watchCutAfter   = 500 * time.Millisecond
	drainTime       = 2 * time.Second
	leaverExitAfter = 2600 * time.Millisecond // drain-ms and a little longer
	quietBefore     = 2300 * time.Millisecond
	shortBooking    = 400 * time.Millisecond
	startsBefore    = 4 * time.Second
	leaveRounds     = 8
)

// watchCutter is a proxy before the store that closes the connection of each watch that has
// waited for a while without a change. It passes everything else on.
type watchCutter struct {
	next *httputil.ReverseProxy
	cuts atomic.Int64
}

// startWatchCutter returns the address of the proxy.
func startWatchCutter(d *drill) (*watchCutter, string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	c := &watchCutter{next: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: d.store.Address()})}
	c.next.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	go func() { _ = http.Serve(l, c) }() // until the drill ends
	return c, l.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (c *watchCutter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != names["callWatch"] {
		c.next.ServeHTTP(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), watchCutAfter)
	defer cancel()
	defer func() {
		if ctx.Err() != nil {
			c.cuts.Add(1)
		}
	}()
	c.next.ServeHTTP(w, r.WithContext(ctx))
}

// leavingPool is a service whose runners leave one after the other.
type leavingPool struct {
	d       *drill
	mu      sync.Mutex
	lastID  int
	members []member             // those that have not left, the oldest first
	leftAt  map[string]time.Time // when the store acknowledged the removal of the entry
	late    int                  // bookings that reached a runner later than drainTime after that
	lost    int                  // bookings that were not done
}

// add starts a runner.
func (p *leavingPool) add(zone string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	id := fmt.Sprintf("i-%d", p.lastID)
	r, err := p.d.addRunner(id, zone, func(run *standin.Run) {
		p.recordBooking(id, run)
		time.Sleep(shortBooking)
		run.Respond(http.StatusOK, "booked "+run.ID())
	})
	p.members = append(p.members, member{id, zone, r})
	return err
}

// recordBooking records a booking that has reached a runner.
func (p *leavingPool) recordBooking(id string, run *standin.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	leftAt, ok := p.leftAt[id]
	if !ok {
		return
	}
	after := time.Since(leftAt)
	p.d.note("booking %s reaches %s, %d ms after its leaving was acknowledged", run.ID(), id, after.Milliseconds())
	if after > drainTime {
		p.late++
	}
}

// member is a runner of the service.
type member struct {
	id, zone string
	runner   *standin.Runner
}

// runCutWatch has runners leave while the store cuts watches that wait.
func runCutWatch(d *drill) (bool, error) {
	if err := d.putConfig(route("book", "non_idempotent")); err != nil {
		return false, err
	}
	if d.trouble {
		cutter, address, err := startWatchCutter(d)
		if err != nil {
			return false, err
		}
		d.storeAddress = address
		defer func() { d.note("watches cut: %d", cutter.cuts.Load()) }()
	}
	p := &leavingPool{d: d, leftAt: make(map[string]time.Time)}
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if err := p.add(zone); err != nil {
			return false, err
		}
	}
	if err := d.addInstances("zone-a", "zone-a", "zone-b", "zone-c"); err != nil {
		return false, err
	}
	time.Sleep(startsBefore)
	for range leaveRounds {
		if err := p.replaceOldest(); err != nil {
			return false, err
		}
		time.Sleep(quietBefore)
		p.bookEverywhere()
		time.Sleep(time.Second)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d.note("bookings that reached a runner more than %v after its leaving was acknowledged: %d; bookings not done: %d", drainTime, p.late, p.lost)
	return p.late > 0, nil
}

// replaceOldest starts a runner and lets the oldest one leave some seconds later.
func (p *leavingPool) replaceOldest() error {
	p.mu.Lock()
	old := p.members[0]
	p.mu.Unlock()
	if err := p.add(old.zone); err != nil { // the new one starts first
		return err
	}
	time.Sleep(startsBefore)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = p.members[1:]
	old.runner.SetLeaving("1")
	p.d.store.Remove(names["keyRunners"] + old.id)
	p.leftAt[old.id] = time.Now()
	p.d.note("the entry of %s is removed, %s takes its place", old.id, p.members[len(p.members)-1].id)
	time.AfterFunc(leaverExitAfter, old.runner.Crash)
	return nil
}

// bookEverywhere sends one booking to each machine.
func (p *leavingPool) bookEverywhere() {
	var callers sync.WaitGroup
	for _, i := range p.d.instances {
		callers.Go(func() {
			id := p.d.newID("book")
			a := p.d.send(i, "POST", "/book/x", id, "a booking")
			if a.err == nil && a.status == http.StatusOK {
				return
			}
			p.d.note("booking %s by %s ends with: %v", id, i.name, a)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.lost++
		})
	}
	callers.Wait()
}
