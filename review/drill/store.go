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

// maxPageItems is the number of items in one page of a list.
const maxPageItems = 500

// storeItem is a key with its value, or its removal.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's store, without leases.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision uint64
	changed  chan struct{} // closed and replaced by each change
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.3.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, items: make(map[string]storeItem), revision: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["pathRange"], s.list)
	mux.HandleFunc("GET "+names["pathWatch"], s.watch)
	mux.HandleFunc("GET "+names["pathKey"], s.get)
	mux.HandleFunc("POST "+names["pathTxn"], s.transact)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(storeItem{Key: key, Value: value})
}

// change applies a change; s.mu must be held.
func (s *store) change(item storeItem) {
	s.revision++
	item.Revision, item.Created = s.revision, s.revision
	if old, ok := s.items[item.Key]; ok {
		item.Created = old.Created
	}
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has left gets no answer
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.FormValue("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as-of": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": item.Key, "value": item.Value, "revision": item.Revision, "created": item.Created, "lease": 0, "as-of": s.revision,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > maxPageItems
	reply(w, http.StatusOK, map[string]any{"items": found[:min(len(found), maxPageItems)], "has-more": more, "as-of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64) // zero if it is missing
	wait, _ := strconv.Atoi(r.FormValue("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, r.FormValue("prefix")) {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a conditional write.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range t.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{s.items[expected.Key]}})
			return
		}
	}
	for _, put := range t.Puts {
		s.change(storeItem{Key: put.Key, Value: put.Value})
	}
	for _, key := range t.Remove {
		s.change(storeItem{Key: key, Removed: true})
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
