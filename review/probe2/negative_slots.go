package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	slotsPlayed = 30 * time.Second
	slotsAt     = 10 * time.Second // when the first foreign entry is written
	// slotsInterval is the time between two foreign entries.
	slotsInterval = 2 * time.Second
	keptClients   = 12
	restartDelay  = 300 * time.Millisecond
	// lostLimit is the number of lost requests that the rule allows.
	lostLimit = 3
)

// slotsRun is a run of negativeSlots.
type slotsRun struct {
	rec      *record
	instance *instance
	runners  []*runner
	end      time.Time

	mu   sync.Mutex
	lost int // requests on kept connections that were passed on and got no whole answer
	ends int // of the process, by itself
}

// negativeSlots plays traffic, most of it on kept connections, while another writer has an
// entry whose slot count is no count. It looks for requests on kept connections that have been passed
// on to a sound runner and end without an answer. The process is started again when it ends.
func negativeSlots(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(1)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put(names["keyConfig"], newConfig(7, lastingKey))
	s := &slotsRun{rec: rec, instance: f.instances[0]}
	for n := range 2 {
		e := newEngine(func(string, bool) {})
		r, err := newRunner(f, rec, fmt.Sprintf("i-pool-%d", n), "pool", engineSlots, e.serve)
		if err != nil {
			return false, err
		}
		engines.Store(r.address, e)
		s.runners = append(s.runners, r)
	}
	if err := s.instance.start(); err != nil {
		return false, err
	}
	began := time.Now()
	s.end = began.Add(slotsPlayed)
	var wg sync.WaitGroup
	for n := range keptClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.playKept(n)
		}()
	}
	for _, k := range []kind{specs, dossiers} {
		k.play(5, s.end, &wg, func(q *request) { q.send(rec, s.instance.front) })
	}
	if trouble {
		time.AfterFunc(slotsAt, func() { s.writeForeign(f.store) })
	}
	s.restartUntilEnd()
	wg.Wait()
	rec.add("result", "", "lost", s.lost, "process_ends", s.ends)
	return s.lost > lostLimit, nil
}

// writeForeign writes an entry as another writer does, again and again as that of a new start.
func (s *slotsRun) writeForeign(st *store) {
	for seq := 1; time.Now().Before(s.end); seq++ {
		s.rec.add("foreign-entry", "", "key", names["keyRunners"]+"x-1", "slots", -33)
		st.put(names["keyRunners"]+"x-1", map[string]any{
			"service": "pool", "addr": "127.0.60.9:9", "zone": "a", "version": "v1", "slots": -33, "state": "ready", "cold-left-ms": 0,
			"seq": seq, "born": time.Now().UnixMilli(),
		})
		time.Sleep(slotsInterval)
	}
}

// restartUntilEnd starts the process again when it has ended, as the platform does.
func (s *slotsRun) restartUntilEnd() {
	for time.Now().Before(s.end) {
		select {
		case <-s.instance.exited:
			s.ends++
			s.rec.add("process-ended", "", "times", s.ends)
			time.Sleep(restartDelay)
			if err := s.instance.start(); err != nil {
				s.rec.add("not-started", "", "cause", err)
			}
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// playKept sends one draft after the other over a kept connection, and opens another when it
// has ended.
func (s *slotsRun) playKept(client int) {
	for number := 0; time.Now().Before(s.end); {
		conn, err := net.DialTimeout("tcp4", s.instance.front, time.Second)
		if err != nil {
			time.Sleep(restartDelay)
			continue
		}
		br := bufio.NewReader(conn)
		for served := 0; time.Now().Before(s.end); served++ {
			q := drafts.newRequest(number)
			q.id = fmt.Sprintf("kept-%02d-%04d", client, number)
			number++
			a := q.sendKept(s.rec, conn, br)
			if a.err != nil {
				s.judge(q, a, served)
				break
			}
		}
		_ = conn.Close()
		time.Sleep(restartDelay)
	}
}

// judge counts a request that got no whole answer.
func (s *slotsRun) judge(q *request, a answer, served int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runners {
		if served > 0 && r.hasRun(q.id) {
			s.lost++
			s.rec.add("lost", q.id, "answered_before_on_this_connection", served, "status", a.status)
			return
		}
	}
}

// sendKept sends a request over a connection that stays open.
func (q *request) sendKept(rec *record, conn net.Conn, br *bufio.Reader) answer {
	rec.add("send", q.id, "on", "kept connection", "method", q.method, "path", q.path)
	a := q.exchange(conn, br)
	rec.add("answer", q.id, "status", a.status, "bytes", len(a.body), "complete", a.err == nil)
	return a
}
