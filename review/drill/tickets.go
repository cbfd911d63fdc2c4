package main

import (
	"context"
	"errors"
	"time"
)

// Figures of ticketsAfterRestart.
const (
	// largestPrompt is larger than the memory of one engine.
	largestPrompt  = 600_000
	longAnswer     = 2_000
	dossierTime    = 15 * time.Second
	powerLostAfter = 200 * time.Millisecond
	// darkTime is how long the machine has no power.
	darkTime = 800 * time.Millisecond
)

// ticketsAfterRestart sends a prompt that needs memory at several runners to an instance
// whose machine loses power while the prompt is read, and another one to the same instance
// once it is back.
func ticketsAfterRestart(w *world) (broken bool, err error) {
	f := w.fronts[3]
	time.Sleep(2 * time.Second) // instances find each other
	first := call{id: "a1000001", path: "/dossier/first", method: "POST", body: []byte("dossier"), deadline: dossierTime, prompt: largestPrompt, most: longAnswer}
	second := first
	second.id, second.path = "a1000002", "/dossier/second"
	ended := make(chan outcome, 2)
	go func() { ended <- first.send(context.Background(), f.address(), w.rec) }()
	time.Sleep(powerLostAfter)
	if w.pool.runsOf(first.id) != 1 {
		return false, errors.New("the first request does not run")
	}
	if w.trouble {
		w.rec.add("trouble   the machine of %s loses power", f.Name)
		w.pool.losePower()
		f.kill()
		time.Sleep(darkTime)
		if err := f.start(); err != nil {
			return false, err
		}
		if err := f.awaitReady(); err != nil {
			return false, err
		}
		w.rec.add("trouble   %s is back", f.Name)
	} else {
		time.Sleep(darkTime)
	}
	go func() { ended <- second.send(context.Background(), f.address(), w.rec) }()
	<-ended
	<-ended
	if w.pool.runsOf(second.id) == 0 {
		return false, errors.New("the second request has not run")
	}
	return len(w.pool.sharedTickets()) > 0, nil
}
