package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	foreignPlayed = 30 * time.Second
	// foreignInterval is the time between two entries of another writer.
	foreignInterval = 3 * time.Second
)

// foreignEntry books while another writer overwrites the entry of a runner of the other service
// now and then. Its entry names the bookings' service and lacks fields that every entry has, so
// that it names no runner to use. It looks for bookings that the other service has run.
func foreignEntry(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(1)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put(names["keyConfig"], newConfig(7, lastingKey))
	e := newEngine(func(string, bool) {})
	other, err := newRunner(f, rec, "i-pool-0", "pool", engineSlots, e.serve)
	if err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := newRunner(f, rec, fmt.Sprintf("i-app-%d", i), "app", 6, servePlain); err != nil {
			return false, err
		}
	}
	if err := f.instances[0].start(); err != nil {
		return false, err
	}
	end := time.Now().Add(foreignPlayed)
	var mu sync.Mutex
	var wg sync.WaitGroup
	wrong := 0
	bookings.play(3*16, end, &wg, func(q *request) {
		a := q.send(rec, f.instances[0].front)
		mu.Lock()
		defer mu.Unlock()
		if other.hasRun(q.id) {
			wrong++
			rec.add("run-by-other-service", q.id, "status", a.status)
		}
	})
	for trouble && time.Now().Before(end) {
		time.Sleep(foreignInterval)
		rec.add("foreign-entry", "", "key", names["keyRunners"]+other.id)
		f.store.put(names["keyRunners"]+other.id, map[string]any{"service": "app", "addr": other.address, "zone": "a", "slots": 6, "state": "ready"})
	}
	wg.Wait()
	rec.add("result", "", "run_by_other_service", wrong)
	return wrong > 0, nil
}
