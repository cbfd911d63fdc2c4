package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's store: it serves range, key, watch, transaction and
// lease calls, and keeps its whole history.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	leases   uint64
	changed  chan struct{} // closed at the next change
}

func newStore() (*store, error) {
	s := &store{items: make(map[string]item), revision: 1, changed: make(chan struct{})}
	return s, s.listen()
}

// listen serves the store at a free address.
func (s *store) listen() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["callKey"], s.serveKey)
	mux.HandleFunc("GET "+names["callRange"], s.serveRange)
	mux.HandleFunc("GET "+names["callWatch"], s.serveWatch)
	mux.HandleFunc("POST "+names["callTxn"], s.serveTxn)
	mux.HandleFunc("POST "+names["callLease"], s.serveLease)
	mux.HandleFunc("POST "+names["callKeep"]+"/{id}", s.serveLease)
	mux.HandleFunc("DELETE "+names["callLeaseEnd"]+"/{id}", s.serveLease)
	s.address, s.server = listener.Addr().String(), &http.Server{Handler: mux}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server) // until it is closed
	return nil
}

// move serves the store at another address, and no longer at the former one.
func (s *store) move() error {
	former := s.server
	if err := s.listen(); err != nil {
		return err
	}
	return former.Close()
}

// put writes a key as an operator, a runner or another writer does.
func (s *store) put(key string, value any) {
	raw, ok := value.([]byte)
	if !ok {
		raw, _ = json.Marshal(value) // the values of this program can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, raw)
	s.publishLocked()
}

func (s *store) putLocked(key string, value []byte) {
	s.revision++
	created := s.revision
	if former, ok := s.items[key]; ok {
		created = former.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) publishLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		AsOf uint64 `json:"as-of"`
	}{i, s.revision})
}

// Bounds of one page of a range.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	count, bytes := 0, 0
	for count < min(len(items), pageItems) && (count == 0 || bytes+len(items[count].Value) <= pageBytes) {
		bytes += len(items[count].Value)
		count++
	}
	writeJSON(w, map[string]any{"items": items[:count], "has-more": count < len(items), "as-of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		writeJSON(w, map[string]any{"events": events, "as-of": revision})
		return
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range txn.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			writeJSON(w, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range txn.Puts {
		s.putLocked(p.Key, p.Value)
	}
	for _, key := range txn.Remove {
		s.removeLocked(key)
	}
	s.publishLocked()
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	writeJSON(w, map[string]any{"lease": s.leases, "ttl-ms": 3000})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that has left needs no answer
}
