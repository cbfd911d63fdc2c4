package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a runner's entry.
const heartbeat = 1200 * time.Millisecond

// runner is a stand-in for a runner. It makes the checks that every runner makes, and runs a
// request with its serve function.
type runner struct {
	id, service, address string
	slots                int
	born                 int64
	serve                http.HandlerFunc
	rec                  *record

	mu   sync.Mutex
	runs map[string]int // by request id
}

// newRunner starts a runner and registers it in the store.
func newRunner(f *fleet, rec *record, id, service string, slots int, serve http.HandlerFunc) (*runner, error) {
	listener, err := net.Listen("tcp4", "127.0.60.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, service: service, address: listener.Addr().String(), slots: slots, born: time.Now().UnixMilli(),
		serve: serve, rec: rec, runs: make(map[string]int),
	}
	go func() { _ = http.Serve(listener, r) }() // until the program ends
	go func() {
		for seq := 1; ; seq++ {
			f.store.put(names["keyRunners"]+r.id, r.entry(seq))
			time.Sleep(heartbeat)
		}
	}()
	return r, nil
}

func (r *runner) entry(seq int) map[string]any {
	return map[string]any{
		"service": r.service, "addr": r.address, "zone": "a", "version": "v1", "slots": r.slots, "state": "ready", "cold-left-ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": seq, "born": r.born,
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(names["headerRequestId"])
	w.Header().Set(names["headerRunnerId"], r.id)
	expected := req.Header.Get(names["headerExpectRunner"])
	switch {
	case req.URL.Path == "/health":
		return
	case expected != "" && expected != r.id:
		w.Header().Set(names["headerRequestId"], id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case req.URL.Path == "/order": // no memory is free for others
		w.WriteHeader(http.StatusConflict)
		return
	case id == "":
		w.Header().Set(names["headerNotRun"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.rec.add("run", id, "runner", r.id, "service", r.service, "tenant", req.Header.Get(names["headerTenant"]))
	w.Header().Set(names["headerRequestId"], id)
	w.Header().Set(names["headerRunnerStamp"], "3e1b.07.5a2.600.0.c9f2a4d1")
	r.serve(w, req)
}

// hasRun reports whether a request has run here.
func (r *runner) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id] > 0
}

// servePlain answers with a body of 800 bytes after 60 ms of work.
func servePlain(w http.ResponseWriter, r *http.Request) {
	time.Sleep(60 * time.Millisecond)
	body := fmt.Sprintf("%-800s", r.Header.Get(names["headerRequestId"]))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	fmt.Fprint(w, body)
}
