package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/prefix"
)

// Limits of reservations.
const (
	maxReservationTTL = 10 * time.Minute
	// importTimeout bounds the transfer of one earlier segment.
	importTimeout = 5 * time.Second
)

// reservation is KV memory set aside for one segment of a prompt, until it is
// released or its time is over.
type reservation struct {
	tokens    int
	prefilled int
	expires   time.Time
}

// ReservationBody is the state of a reservation, and the order to make one.
type ReservationBody struct {
	ID              string `json:"id,omitempty"`
	Tokens          int    `json:"tokens"`
	TTLMS           int64  `json:"ttl_ms"`
	PrefilledTokens int    `json:"prefilled_tokens"`
}

func (e *Engine) reservationRoutes(r *mux.Router) {
	r.HandleFunc("/control/reservations", e.postReservation).Methods(http.MethodPost)
	r.HandleFunc("/control/reservations/{id}", e.putReservation).Methods(http.MethodPut)
	r.HandleFunc("/control/reservations/{id}", e.getReservation).Methods(http.MethodGet)
	r.HandleFunc("/control/reservations/{id}", e.deleteReservation).Methods(http.MethodDelete)
	r.HandleFunc("/control/reservations/{id}/segment", e.postSegment).Methods(http.MethodPost)
}

func readReservation(w http.ResponseWriter, r *http.Request) (body ReservationBody, ttl time.Duration, ok bool) {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&body)
	ttl = time.Duration(body.TTLMS) * time.Millisecond
	if err != nil || ttl <= 0 || ttl > maxReservationTTL || body.Tokens < 0 {
		http.Error(w, "not a reservation", http.StatusBadRequest)
		return body, 0, false
	}
	return body, ttl, true
}

// postReservation sets memory aside. The same order again renews it.
func (e *Engine) postReservation(w http.ResponseWriter, r *http.Request) {
	e.waitHang(r)
	body, ttl, ok := readReservation(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	res := e.reservations[body.ID]
	switch {
	case e.server == nil || e.leaving:
		refuse(w, http.StatusServiceUnavailable, "the engine is leaving")
		return
	case res != nil && res.tokens != body.Tokens:
		refuse(w, http.StatusConflict, "the reservation has another size")
		return
	case res == nil && !e.memory.hold(body.Tokens):
		refuse(w, http.StatusConflict, "no room")
		return
	case res == nil:
		res = &reservation{tokens: body.Tokens}
		e.reservations[body.ID] = res
	}
	e.renew(body.ID, res, ttl)
	e.record()
	w.WriteHeader(http.StatusCreated)
}

func (e *Engine) putReservation(w http.ResponseWriter, r *http.Request) {
	e.waitHang(r)
	_, ttl, ok := readReservation(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	id := mux.Vars(r)["id"]
	res := e.reservations[id]
	if res == nil {
		http.Error(w, "no such reservation", http.StatusNotFound)
		return
	}
	e.renew(id, res, ttl)
	w.WriteHeader(http.StatusNoContent)
}

// renew sets the end of a reservation and a timer for it. e.mu is held.
func (e *Engine) renew(id string, res *reservation, ttl time.Duration) {
	res.expires = time.Now().Add(ttl)
	time.AfterFunc(ttl, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.reservations[id] == res && !time.Now().Before(res.expires) {
			e.release(id)
		}
	})
}

// release returns the memory of a reservation and ends what runs in it. e.mu is
// held.
func (e *Engine) release(id string) {
	res := e.reservations[id]
	if res == nil {
		return
	}
	delete(e.reservations, id)
	e.memory.unhold(res.tokens)
	for _, list := range [][]*sequence{slices.Clone(e.batch.running), slices.Clone(e.batch.queue)} {
		for _, s := range list {
			if s.reservation == res {
				e.batch.remove(s)
				s.dropped = true
				s.signal()
			}
		}
	}
	e.record()
	e.wakeUp()
}

func (e *Engine) deleteReservation(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release(mux.Vars(r)["id"])
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getReservation(w http.ResponseWriter, r *http.Request) {
	e.waitHang(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	res := e.reservations[mux.Vars(r)["id"]]
	if res == nil {
		http.Error(w, "no such reservation", http.StatusNotFound)
		return
	}
	writeJSON(w, ReservationBody{
		Tokens: res.tokens, TTLMS: time.Until(res.expires).Milliseconds(), PrefilledTokens: res.prefilled,
	})
}

// postSegment prefills a part of a prompt in reserved memory, on top of the
// parts before it, which stay on their engines.
func (e *Engine) postSegment(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	e.waitHang(r)
	if !e.imported(r) {
		refuse(w, http.StatusFailedDependency, "an earlier part is missing")
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(engineclient.HeaderPriority))
	e.mu.Lock()
	seq := &sequence{
		id: r.Header.Get(engineclient.HeaderAttempt), prompt: max(1, prefix.Tokens(len(body))),
		max: 1, priority: priority, marked: e.faults.marker != "" && strings.Contains(string(body), e.faults.marker),
		reserved: true, reservation: e.reservations[mux.Vars(r)["id"]], notify: make(chan struct{}, 1),
	}
	status, reason := e.startSegment(seq)
	e.mu.Unlock()
	if status != 0 {
		refuse(w, status, reason)
		return
	}
	defer e.abandon(seq)
	if !e.awaitSegment(r, seq) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, ReservationBody{PrefilledTokens: seq.prompt})
}

// startSegment queues a segment. e.mu is held.
func (e *Engine) startSegment(seq *sequence) (status int, reason string) {
	switch {
	case seq.reservation == nil || e.server == nil:
		return http.StatusNotFound, "no such reservation"
	case seq.reservation.prefilled+seq.prompt > seq.reservation.tokens:
		return http.StatusRequestEntityTooLarge, "the part exceeds its reservation"
	case !e.batch.add(seq):
		return http.StatusServiceUnavailable, "the queue is full"
	}
	e.record()
	e.wakeUp()
	return 0, ""
}

func (e *Engine) awaitSegment(r *http.Request, seq *sequence) bool {
	for {
		select {
		case <-seq.notify:
		case <-r.Context().Done():
			return false
		}
		e.mu.Lock()
		done, dropped := seq.done, seq.dropped
		if done && !dropped {
			seq.reservation.prefilled += seq.prompt
		}
		e.mu.Unlock()
		if done || dropped {
			return done && !dropped
		}
	}
}

// enterReservation lets a completion run in reserved memory if it asks for it.
func (e *Engine) enterReservation(w http.ResponseWriter, r *http.Request, seq *sequence) bool {
	id := r.Header.Get(engineclient.HeaderReservation)
	if id == "" {
		return true
	}
	if !e.imported(r) {
		refuse(w, http.StatusFailedDependency, "an earlier part is missing")
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	seq.reservation = e.reservations[id]
	if seq.reservation == nil || seq.reservation.prefilled == 0 {
		refuse(w, http.StatusNotFound, "no such reservation")
		return false
	}
	// All but the last token of the prompt is prefilled, here or where it was
	// imported from.
	seq.reserved, seq.ready = true, seq.context()-1
	return true
}

// imported asks the engines of the earlier parts whether they still hold them.
func (e *Engine) imported(r *http.Request) bool {
	for _, source := range r.Header[engineclient.HeaderImport] {
		address, id, ok := strings.Cut(source, "/")
		if !ok || !e.holds(r, address, id) {
			return false
		}
	}
	return true
}

func (e *Engine) holds(r *http.Request, address, id string) bool {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+address+"/control/reservations/"+id, nil)
	if err != nil {
		return false
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var body ReservationBody
	err = json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(&body)
	return err == nil && resp.StatusCode == http.StatusOK && body.PrefilledTokens > 0
}
