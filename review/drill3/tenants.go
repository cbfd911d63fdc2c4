package main

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/medlardeck/medlardeck/platform/standin"
)

// Keys of the case. The last is in no version of the configuration.
const (
	firstKey   = "n2ctnfzs989anu6wsjnb"
	secondKey  = "anfqasnmgkcuyj8pjbvk"
	unknownKey = "nobody0000000000000x"
	configTime = 2 * time.Second
	configWait = 2 * configTime
)

// putTenants writes a version of the configuration with the given keys, one for each tenant.
func (d *drill) putTenants(version int, keys map[string]string) error {
	tenants := []map[string]any{}
	for name, key := range keys {
		tenants = append(tenants, map[string]any{"name": name, names["apiKeys"]: []string{key}, "priority": 1})
	}
	text, err := json.Marshal(tenants)
	if err != nil {
		return err
	}
	d.note("the operator writes version %d with tenants %s", version, text)
	return d.putConfigWith(version, tenants, route("book", "non_idempotent"))
}

// runTenants has the operator take away one tenant after the other.
func runTenants(d *drill) (bool, error) {
	if err := d.putTenants(firstVersion, map[string]string{"hule930": firstKey, "movu112": secondKey}); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := make(map[string]string) // tenants of the requests that ran, by id
	for n, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := d.addRunner("i-"+string(rune('0'+n)), zone, func(run *standin.Run) {
			mu.Lock()
			ran[run.ID()] = run.Header.Get(names["headerTenant"])
			mu.Unlock()
			run.Respond(200, "booked")
		}); err != nil {
			return false, err
		}
	}
	if err := d.addInstances("zone-a", "zone-a", "zone-b", "zone-c"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	broken := 0
	try := func(key string, held bool) {
		for _, i := range d.instances {
			id := d.newID("book")
			a := d.sendWithKey(i, "POST", "/book/x", id, "a booking", key)
			mu.Lock()
			tenant, hasRun := ran[id]
			mu.Unlock()
			d.note("%s with key %s (held: %v) by %s: %v, run: %v, tenant %q", id, key, held, i.name, a, hasRun, tenant)
			if hasRun && !held {
				broken++
			}
		}
	}
	try(firstKey, true)
	try(unknownKey, false)
	if err := d.putTenants(5, map[string]string{"movu112": secondKey}); err != nil {
		return false, err
	}
	time.Sleep(configWait)
	try(firstKey, false)
	try(secondKey, true)
	if d.trouble {
		if err := d.putTenants(8, nil); err != nil {
			return false, err
		}
	}
	time.Sleep(configWait)
	try(firstKey, false)
	try(secondKey, !d.trouble)
	try(unknownKey, false)
	d.note("requests that ran with a key that was taken away %v before or never held: %d", configWait, broken)
	return broken > 0, nil
}
