package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a drill.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// maxDrillTime bounds a drill.
const maxDrillTime = 110 * time.Second

// drills are the drills by name. Each returns whether the rule was broken.
var drills = map[string]func(*world) (bool, error){
	"tickets":  ticketsAfterRestart,
	"versions": callersOfAnotherVersion,
	"entries":  entriesOfAnotherWriter,
}

// world is a small deployment.
type world struct {
	dir     string
	trouble bool
	rec     *record
	store   *store
	pool    *pool
	fronts  []*front
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || drills[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill NAME FOLDER")
		return couldNot
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.close()
	if err := w.startFronts(); err != nil {
		w.rec.add("the drill could not run: %v", err)
		return couldNot
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		isBroken, err := drills[os.Args[1]](w)
		done <- result{isBroken, err}
	}()
	select {
	case <-signals:
		w.rec.add("the drill was interrupted")
		return couldNot
	case <-time.After(maxDrillTime):
		w.rec.add("the drill took too long")
		return couldNot
	case r := <-done:
		switch {
		case r.err != nil:
			w.rec.add("the drill could not run: %v", r.err)
			return couldNot
		case r.broken:
			w.rec.add("RESULT: the rule was broken")
			return broken
		}
		w.rec.add("RESULT: the rule held")
		return held
	}
}

// newWorld makes a deployment whose instances are not started yet.
func newWorld(folder string) (*world, error) {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec, pool: newPool(rec)}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	config, err := wireFiles.ReadFile("wire/config.json")
	if err != nil {
		return nil, err
	}
	w.store.put(names["keyConfig"], config)
	if err := w.addRunners(); err != nil {
		return nil, err
	}
	w.fronts, err = newFronts(dir, w.store.address())
	return w, err
}

// addRunners starts the runners of a small deployment.
func (w *world) addRunners() error {
	counts := []struct {
		zone          string
		model, plains int
	}{{"tg-mures-a", 6, 1}, {"tg-mures-b", 5, 1}, {"cluj-c", 5, 1}}
	for _, c := range counts {
		for i := range c.model {
			if err := w.pool.add(w.store, fmt.Sprintf("m-%s-%d", c.zone, i+1), "pool", c.zone, engineSlots); err != nil {
				return err
			}
		}
		for i := range c.plains {
			if err := w.pool.add(w.store, fmt.Sprintf("p-%s-%d", c.zone, i+1), "atelier", c.zone, plainSlots); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) startFronts() error {
	for _, f := range w.fronts {
		if err := f.start(); err != nil {
			return err
		}
	}
	for _, f := range w.fronts {
		if err := f.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) close() {
	for _, f := range w.fronts {
		f.kill()
	}
	_ = os.RemoveAll(w.dir)
}
