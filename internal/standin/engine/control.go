package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/medlardeck/medlardeck/internal/target"
)

// maxControlBytes bounds the bodies of the control API.
const maxControlBytes = 1 << 20

// Memory is what an engine says of its KV memory, in tokens, at once and
// without a lag.
type Memory struct {
	Incarnation    uint64 `json:"incarnation"`
	CapacityTokens int    `json:"capacity_tokens"`
	UsedTokens     int    `json:"used_tokens"`   // by queued and running completions
	HeldTokens     int    `json:"held_tokens"`   // by reservations
	CachedTokens   int    `json:"cached_tokens"` // evictable prefixes
	Sequences      int    `json:"sequences"`     // queued and running
}

func (e *Engine) controlRoutes(r *mux.Router) {
	r.HandleFunc("/control/report", e.getReport).Methods(http.MethodGet)
	r.HandleFunc("/control/events", e.getEvents).Methods(http.MethodGet)
	r.HandleFunc("/control/memory", e.getMemory).Methods(http.MethodGet)
	e.reservationRoutes(r)
	r.HandleFunc("/control/models", e.getModels).Methods(http.MethodGet)
	r.HandleFunc("/control/models", e.putModels).Methods(http.MethodPut)
	r.HandleFunc("/control/faults", e.postFaults).Methods(http.MethodPost)
}

// Memory returns the state of the KV memory now.
func (e *Engine) Memory() Memory {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Memory{
		Incarnation: e.incarnation, CapacityTokens: e.memory.capacity,
		UsedTokens: e.memory.used(), HeldTokens: e.memory.held, CachedTokens: e.memory.cached(),
		Sequences: len(e.batch.queue) + len(e.batch.running),
	}
}

func (e *Engine) getMemory(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Memory()) }

func (e *Engine) getReport(w http.ResponseWriter, r *http.Request) {
	e.waitHang(r)
	e.mu.Lock()
	report := e.report()
	e.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	e.waitHang(r)
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		http.Error(w, "after: not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	page := e.events.after(after)
	page.Incarnation = e.incarnation
	e.mu.Unlock()
	writeJSON(w, page)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// history keeps past states, so that reports lag.
type history struct {
	sequence uint64
	past     []state // oldest first
}

type state struct {
	at     time.Time
	report target.Report
}

// record notes the state of now. e.mu is held.
func (e *Engine) record() {
	now := time.Now()
	e.history.past = append(e.history.past, state{now, e.snapshot()})
	e.history.trim(now.Add(-e.scaled(e.opts.ReportLag)))
}

// trim forgets states older than the last one before a time.
func (h *history) trim(before time.Time) {
	i := len(h.past) - 1
	for i > 0 && h.past[i].at.After(before) {
		i--
	}
	h.past = append(h.past[:0], h.past[i:]...)
}

// report returns the state of one lag ago. e.mu is held.
func (e *Engine) report() target.Report {
	now, lag := time.Now(), e.scaled(e.opts.ReportLag)
	e.history.trim(now.Add(-lag))
	e.history.sequence++
	report := e.history.past[0].report
	report.Sequence = e.history.sequence
	age := min(lag, now.Sub(e.history.past[0].at))
	report.Age = time.Duration(float64(age) * e.opts.Speed)
	return report
}

// snapshot describes the engine as it is. e.mu is held.
func (e *Engine) snapshot() target.Report {
	return target.Report{
		Incarnation: e.incarnation,
		Running:     len(e.batch.running), Queued: len(e.batch.queue),
		QueuedPrefillTokens: e.batch.queuedPrefill(), QueuedByPriority: e.batch.queuedByPriority(),
		KVCapacityTokens: e.memory.capacity, KVUsedTokens: e.memory.used(),
		KVHeldTokens: e.memory.held, KVCachedTokens: e.memory.cached(),
		Models: e.modelNames(), Leaving: e.leaving,
	}
}
