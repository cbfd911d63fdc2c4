// Package service is a stand-in for a plain service: a booking application
// that keeps a ledger of every run, so that a test can ask what really ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/gorilla/mux"
)

// Ledger records every run of a booking. It may be shared by several targets
// of one application, as their database would be.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
	next int

	arrivals map[string]bool
	faults   Faults
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int), arrivals: make(map[string]bool)} }

// Add records one run for an identity and returns the booking's number.
func (l *Ledger) Add(identity string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[identity]++
	l.next++
	return l.next
}

// Runs returns how often an identity ran.
func (l *Ledger) Runs(identity string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[identity]
}

// All returns a copy of the runs by identity.
func (l *Ledger) All() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.runs))
	for k, v := range l.runs {
		out[k] = v
	}
	return out
}

// maxBodyBytes bounds a booking's body.
const maxBodyBytes = 1 << 20

// Handler serves bookings below /bookings and status look-ups below /status,
// and the ledger at /standin/ledger.
func Handler(ledger *Ledger) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/bookings", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		identity := r.Header.Get("Idempotency-Key")
		if identity == "" {
			identity = string(body)
		}
		if ledger.refuse(w) {
			return
		}
		number := ledger.Add(identity)
		ledger.arrived(r.Header.Get(HeaderArrival))
		ledger.linger()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusCreated)
		json.NewEncoder(w).Encode(map[string]any{"booking": number, "identity": identity})
	}).Methods(http.MethodPost)
	r.HandleFunc("/status/{identity}", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]string{
			"identity": mux.Vars(r)["identity"],
			"runs":     strconv.Itoa(ledger.Runs(mux.Vars(r)["identity"])),
		})
	}).Methods(http.MethodGet)
	r.HandleFunc("/standin/ledger", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(ledger.All())
	}).Methods(http.MethodGet)
	return r
}
