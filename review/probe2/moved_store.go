package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	stableWindow = 3 * time.Second // stable-window-ms
	// configDelay is config-ms, and stretch-max-ms although the store is stable.
	configDelay = 7 * time.Second
)

// movedStore moves the store to another address, which the settings file names, and sends
// SIGHUP. Later a new version of the configuration withdraws a key. It looks for requests with
// that key that run later than configDelay after its acknowledgement.
func movedStore(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(1)
	if err != nil {
		return false, err
	}
	defer f.close()
	i := f.instances[0]
	f.store.put(names["keyConfig"], newConfig(7, lastingKey, withdrawnKey))
	r, err := newRunner(f, rec, "i-app-0", "app", 6, servePlain)
	if err != nil {
		return false, err
	}
	if err := i.start(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		former := f.store.address
		if err := f.store.move(); err != nil {
			return false, err
		}
		if err := f.writeSettings(i); err != nil {
			return false, err
		}
		i.signal(syscall.SIGHUP)
		rec.add("SIGHUP", "", "store_was", former, "store_is", f.store.address)
	}
	time.Sleep(2 * stableWindow)
	stale := withdrawKey(rec, f, i, r)
	rec.add("result", "", "run_with_withdrawn_key", stale)
	return stale > 0, nil
}

// withdrawKey writes a version of the configuration that withdraws a key, goes on with requests
// with that key, and returns how many run that were sent later than configDelay after the
// acknowledgement.
func withdrawKey(rec *record, f *fleet, i *instance, r *runner) int {
	f.store.put(names["keyConfig"], newConfig(8, lastingKey))
	acknowledgedAt := time.Now()
	rec.add("acknowledged", "", "version", 8, "withdrawn", withdrawnKey)
	var mu sync.Mutex
	var wg sync.WaitGroup
	stale := 0
	for n := 0; time.Since(acknowledgedAt) < 2*configDelay; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := &request{method: http.MethodGet, path: "/look/2f", id: fmt.Sprintf("look-%04d", n), key: withdrawnKey, deadline: 4 * time.Second}
			sentAt := time.Now()
			a := q.send(rec, i.front)
			mu.Lock()
			defer mu.Unlock()
			if sentAt.Sub(acknowledgedAt) > configDelay && r.hasRun(q.id) {
				stale++
				rec.add("run-with-withdrawn-key", q.id, "status", a.status, "sent_after_ack_ms", sentAt.Sub(acknowledgedAt).Milliseconds())
			}
		}()
		time.Sleep(250 * time.Millisecond)
	}
	wg.Wait()
	return stale
}
