package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Handler serves the API of docs/PLATFORM.md, and below /standin the faults
// and the counters of calls.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/kv/{key}", s.serveGet).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{key}", s.serveWrite).Methods(http.MethodPut, http.MethodDelete)
	r.HandleFunc("/v1/range", s.serveRange).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", s.serveWatch).Methods(http.MethodGet)
	r.HandleFunc("/v1/leases", s.serveLease).Methods(http.MethodPost)
	r.HandleFunc("/v1/leases/{lease}", s.serveLease).Methods(http.MethodPut, http.MethodDelete)
	r.HandleFunc("/v1/instances", s.serveInstances).Methods(http.MethodGet)
	r.HandleFunc("/standin/calls", s.serveCalls).Methods(http.MethodGet)
	r.HandleFunc("/standin/faults", s.serveFaults).Methods(http.MethodPut)
	r.HandleFunc("/standin/instances", s.serveSetInstances).Methods(http.MethodPut)
	r.HandleFunc("/standin/{action:snapshot|restore}", s.serveData).Methods(http.MethodPost)
	return r
}

// run carries out a call and writes its end.
func (s *Service) run(w http.ResponseWriter, r *http.Request, call store.Call) (store.Reply, bool) {
	reply, answered := s.do(r.Context(), r.Header.Get(store.HeaderCaller), call)
	if !answered {
		panic(http.ErrAbortHandler)
	}
	if reply.Revision != 0 {
		w.Header().Set("ETag", store.ETag(reply.Revision))
	}
	switch reply.Status {
	case store.StatusOK:
		return reply, true
	case store.StatusConflict:
		w.WriteHeader(http.StatusPreconditionFailed)
	case store.StatusNotFound:
		w.WriteHeader(http.StatusNotFound)
	case store.StatusRefused, store.StatusUnsent, store.StatusUnknown:
		w.WriteHeader(http.StatusTooManyRequests)
	}
	return reply, false
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	key, ok := keyOf(w, r)
	if !ok {
		return
	}
	if reply, ok := s.run(w, r, store.Call{Op: store.OpGet, Key: key}); ok {
		w.Write(reply.KVs[0].Value)
	}
}

func (s *Service) serveWrite(w http.ResponseWriter, r *http.Request) {
	key, ok := keyOf(w, r)
	if !ok {
		return
	}
	call := store.Call{Op: store.OpCAS, Key: key}
	if r.Method == http.MethodDelete {
		call.Op = store.OpDelete
	}
	var err error
	if call.Revision, err = expected(r); err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	if v := r.URL.Query().Get("lease"); v != "" {
		if call.Lease, err = strconv.ParseInt(v, 10, 64); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if call.Value, err = io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.run(w, r, call)
}

func keyOf(w http.ResponseWriter, r *http.Request) (string, bool) {
	key, err := store.UnescapeKey(mux.Vars(r)["key"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return key, err == nil
}

// expected returns the revision that the conditional headers name; writes
// without a condition are refused.
func expected(r *http.Request) (int64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	rev, err := store.ParseETag(r.Header.Get("If-Match"))
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", r.URL.Path, err)
	}
	return rev, nil
}

func (s *Service) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if reply, ok := s.run(w, r, store.Call{Op: store.OpRange, Key: q.Get("prefix"), After: q.Get("after")}); ok {
		json.NewEncoder(w).Encode(reply)
	}
}

func (s *Service) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rev, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := time.ParseDuration(q.Get("wait"))
	if err != nil || err2 != nil {
		http.Error(w, "after and wait are required", http.StatusBadRequest)
		return
	}
	if reply, ok := s.run(w, r, store.Call{Op: store.OpWatch, Key: q.Get("prefix"), Revision: rev, Budget: wait}); ok {
		json.NewEncoder(w).Encode(reply)
	}
}

func (s *Service) serveLease(w http.ResponseWriter, r *http.Request) {
	call := store.Call{Op: store.OpLeaseGrant}
	var err error
	switch r.Method {
	case http.MethodPost:
		call.TTL, err = time.ParseDuration(r.URL.Query().Get("ttl"))
	case http.MethodPut:
		call.Op = store.OpLeaseRenew
	default:
		call.Op = store.OpLeaseRevoke
	}
	if id := mux.Vars(r)["lease"]; id != "" {
		call.Lease, err = strconv.ParseInt(id, 10, 64)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reply, ok := s.run(w, r, call); ok {
		json.NewEncoder(w).Encode(reply)
	}
}

func (s *Service) serveInstances(w http.ResponseWriter, r *http.Request) {
	if reply, ok := s.run(w, r, store.Call{Op: store.OpInstances}); ok {
		json.NewEncoder(w).Encode(reply)
	}
}

func (s *Service) serveCalls(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(s.Calls())
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Service) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var list []store.Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetInstances(list)
}

func (s *Service) serveData(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/snapshot") {
		s.Snapshot()
		return
	}
	if !s.Restore() {
		http.Error(w, "no snapshot", http.StatusConflict)
	}
}
