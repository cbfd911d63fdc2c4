package main

import (
	"crypto/rand"
	"fmt"
	"time"
)

const (
	largeEntryCount = 20
	largeEntryBytes = 1 << 20 // value-bytes of the settings
)

// largeEntries lets another writer add entries of runners that can't be read, each as long as the
// store takes. Later a new version of the configuration withdraws a key. It looks for requests
// with that key that run later than configDelay after its acknowledgement.
func largeEntries(rec *record, trouble bool) (bool, error) {
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
	time.Sleep(stableWindow)
	for n := 0; trouble && n < largeEntryCount; n++ {
		value := make([]byte, largeEntryBytes)
		_, _ = rand.Read(value) // it never fails
		key := names["keyRunners"] + fmt.Sprintf("y-%02d", n)
		f.store.put(key, value)
		rec.add("foreign-entry", "", "key", key, "bytes", len(value))
	}
	time.Sleep(2 * stableWindow)
	stale := withdrawKey(rec, f, i, r)
	rec.add("result", "", "run_with_withdrawn_key", stale)
	return stale > 0, nil
}
