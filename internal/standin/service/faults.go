package service

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// HeaderArrival names one arrival of a booking, so that the ledger can tell
// which arrival of an identity ran.
const HeaderArrival = "X-Arrival"

// headerNotRun says to the sender that a request was not run.
const headerNotRun = "X-Request-Not-Run"

// Faults of the booking application; the zero value is a healthy one.
type Faults struct {
	// Delay is the longest time that a booking takes.
	Delay time.Duration
	// Breaks is the share of bookings that run and whose connection then
	// breaks; Refusals is the share that are answered as not run.
	Breaks   float64
	Refusals float64
}

// SetFaults replaces the faults of all targets that share the ledger.
func (l *Ledger) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Ran reports whether an arrival ran.
func (l *Ledger) Ran(arrival string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[arrival]
}

func (l *Ledger) arrived(arrival string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[arrival] = true
}

// refuse answers a share of the bookings as not run.
func (l *Ledger) refuse(w http.ResponseWriter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rand.Float64() >= l.faults.Refusals {
		return false
	}
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// linger takes a booking's time and breaks a share of the connections.
func (l *Ledger) linger() {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(rand.N(f.Delay))
	}
	if rand.Float64() < f.Breaks {
		panic(http.ErrAbortHandler)
	}
}
