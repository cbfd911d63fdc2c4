package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
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
	cuts int
	mu   sync.Mutex
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
	if r.URL.Path != "/kv-watch" {
		c.next.ServeHTTP(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), watchCutAfter)
	defer cancel()
	defer func() {
		if ctx.Err() != nil {
			c.mu.Lock()
			c.cuts++
			c.mu.Unlock()
		}
	}()
	c.next.ServeHTTP(w, r.WithContext(ctx))
}

// leavingPool is a service whose runners leave one after the other.
type leavingPool struct {
	d      *drill
	mu     sync.Mutex
	lastID int
	leftAt map[string]time.Time // when the store acknowledged the removal of the entry
	late   int
}

func (p *leavingPool) add(zone string) (id string, r *standin.Runner, err error) {
	p.mu.Lock()
	p.lastID++
	id = fmt.Sprintf("i-%d", p.lastID)
	p.mu.Unlock()
	r, err = p.d.addRunner(id, zone, func(run *standin.Run) {
		p.mu.Lock()
		if leftAt, ok := p.leftAt[id]; ok {
			after := time.Since(leftAt)
			p.d.note("booking %s reaches %s, %d ms after its leaving was acknowledged", run.ID(), id, after.Milliseconds())
			if after > drainTime {
				p.late++
			}
		}
		p.mu.Unlock()
		time.Sleep(shortBooking)
		run.Respond(200, "booked "+run.ID())
	})
	return id, r, err
}

// runCutWatch has runners leave while the store cuts watches that wait.
func runCutWatch(d *drill) (bool, error) {
	if err := d.putConfig(3, route("book", "non_idempotent")); err != nil {
		return false, err
	}
	var cutter *watchCutter
	if d.trouble {
		var err error
		if cutter, d.storeAddress, err = startWatchCutter(d); err != nil {
			return false, err
		}
	}
	p := &leavingPool{d: d, leftAt: make(map[string]time.Time)}
	type member struct {
		id, zone string
		runner   *standin.Runner
	}
	var members []member
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		id, r, err := p.add(zone)
		if err != nil {
			return false, err
		}
		members = append(members, member{id, zone, r})
	}
	if err := d.addInstances("zone-a", "zone-a", "zone-b", "zone-c"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	lost := 0
	for range leaveRounds {
		old := members[0]
		id, r, err := p.add(old.zone) // the new one starts first
		if err != nil {
			return false, err
		}
		members = append(members[1:], member{id, old.zone, r})
		time.Sleep(startsBefore)
		p.mu.Lock()
		old.runner.SetLeaving("1")
		d.store.Remove("servers/" + old.id)
		p.leftAt[old.id] = time.Now()
		p.mu.Unlock()
		d.note("the entry of %s is removed, %s takes its place", old.id, id)
		time.AfterFunc(leaverExitAfter, old.runner.Crash)
		time.Sleep(quietBefore)
		var callers sync.WaitGroup
		for _, i := range d.instances {
			callers.Go(func() {
				id := d.newID("book")
				a := d.send(i, "POST", "/book/x", id, "a booking")
				if a.err != nil || a.status != 200 {
					d.note("booking %s by %s ends with: %v", id, i.name, a)
					p.mu.Lock()
					lost++
					p.mu.Unlock()
				}
			})
		}
		callers.Wait()
		time.Sleep(time.Second)
	}
	if cutter != nil {
		cutter.mu.Lock()
		d.note("watches cut: %d", cutter.cuts)
		cutter.mu.Unlock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d.note("bookings that reached a runner more than %v after its leaving was acknowledged: %d; bookings not done: %d", drainTime, p.late, lost)
	return p.late > 0, nil
}
