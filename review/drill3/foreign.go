package main

import (
	"bytes"
	"fmt"
	"time"

	"github.com/medlardeck/medlardeck/platform/standin"
)

// The entries of another writer, and the times of the case.
const (
	foreignEntries = 400
	foreignBytes   = 47_000 // value-bytes is 1,048,576
	recoveryTime   = 12 * time.Second
	afterTime      = 6 * time.Second
)

// runForeign kills the process while entries of another writer stand beside those of the runners.
func runForeign(d *drill) (bool, error) {
	if err := d.putConfig(route("look", "idempotent")); err != nil {
		return false, err
	}
	for n := range 4 {
		if _, err := d.addRunner(fmt.Sprintf("i-%d", n), "zone-a", func(run *standin.Run) { run.Respond(200, "ok "+run.ID()) }); err != nil {
			return false, err
		}
	}
	if err := d.addInstances("zone-a"); err != nil {
		return false, err
	}
	i := d.instances[0]
	before := d.countServed(i, "before", 3*time.Second)
	if d.trouble {
		for n := range foreignEntries {
			d.store.Put(fmt.Sprintf("%sother-%03d", names["keyRunners"], n), bytes.Repeat([]byte{byte(n)}, foreignBytes))
		}
		d.note("%d entries of %d bytes that name no runner are in the store", foreignEntries, foreignBytes)
	}
	beside := d.countServed(i, "beside", 3*time.Second)
	d.note("the process is killed")
	i.kill()
	time.Sleep(500 * time.Millisecond)
	if err := i.start(); err != nil {
		return false, err
	}
	if err := i.awaitReady(); err != nil {
		d.note("%v", err)
	}
	time.Sleep(recoveryTime)
	after := d.countServed(i, "after", afterTime)
	d.note("share of requests that was served: %.2f before, %.2f beside the entries, %.2f from %v after the restart on", before, beside, after, recoveryTime)
	return before >= 0.25 && beside >= 0.25 && after < 0.25, nil
}

// countServed sends requests for a while and returns the share that was served.
func (d *drill) countServed(i *instance, name string, period time.Duration) float64 {
	sent, served := 0, 0
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		a := d.send(i, "GET", "/look/x", d.newID(name), "")
		sent++
		if a.err == nil && a.status == 200 {
			served++
		}
		if sent <= 2 {
			d.note("a request %s: %v", name, a)
		}
	}
	return float64(served) / float64(sent)
}
