package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Faults is a command to the engine to misbehave. Each field that is set takes
// effect; the others keep what was commanded before.
type Faults struct {
	// Die ends the engine as a crash does.
	Die bool `json:"die,omitempty"`
	// ReturnAfterMS starts an engine again so long after it died, by command or
	// by a marked prompt; zero leaves it dead.
	ReturnAfterMS int `json:"return_after_ms,omitempty"`
	// HangMS stops all work and answers for so long.
	HangMS int `json:"hang_ms,omitempty"`
	// Slow multiplies the time of each step; 1 is the normal speed.
	Slow int `json:"slow,omitempty"`
	// DropAnswers closes the connections of the next so many completions that
	// ran, without a byte of an answer.
	DropAnswers int `json:"drop_answers,omitempty"`
	// BreakAfter closes the connection of the next completion after so many
	// tokens of its answer.
	BreakAfter int `json:"break_after,omitempty"`
	// CrashMarker makes each prompt that contains this text end the engine when
	// it runs; an empty text ends the fault.
	CrashMarker *string `json:"crash_marker,omitempty"`
	// Leaving makes the engine refuse new work and report that it leaves.
	Leaving bool `json:"leaving,omitempty"`
}

// faults are the misbehaviours in force.
type faults struct {
	hung        chan struct{} // closed when a hang ends, nil when there is none
	slow        time.Duration // multiplies steps
	drops       int
	breakAfter  int
	marker      string
	crashReturn time.Duration
}

// Command makes the engine misbehave.
func (e *Engine) Command(f Faults) {
	if f.Leaving {
		e.Leave()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	back := time.Duration(f.ReturnAfterMS) * time.Millisecond
	if f.Slow > 0 {
		e.faults.slow = time.Duration(f.Slow)
	}
	e.faults.drops += f.DropAnswers
	if f.BreakAfter > 0 {
		e.faults.breakAfter = f.BreakAfter
	}
	if f.CrashMarker != nil {
		e.faults.marker, e.faults.crashReturn = *f.CrashMarker, back
	}
	if f.HangMS > 0 {
		e.hang(time.Duration(f.HangMS) * time.Millisecond)
	}
	if f.Die {
		e.die()
		if back > 0 {
			e.returnAfter(back)
		}
	}
}

func (e *Engine) hang(d time.Duration) {
	if e.faults.hung != nil {
		return
	}
	hung := make(chan struct{})
	e.faults.hung = hung
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.sleep(d)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.faults.hung = nil
		close(hung)
	}()
}

// waitHang blocks a handler while the engine hangs.
func (e *Engine) waitHang(r *http.Request) {
	e.mu.Lock()
	hung := e.faults.hung
	e.mu.Unlock()
	if hung == nil {
		return
	}
	select {
	case <-hung:
	case <-r.Context().Done():
	}
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	http.NewResponseController(w).Flush()
	e.Command(f)
}
