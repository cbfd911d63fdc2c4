package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the engines, as the configuration states them.
const (
	engineSlots    = 16
	engineMemory   = 232_000 // tokens
	engineQueue    = 32
	readPerMS      = 206.0
	pairsMSPerM    = 0.138
	stepMS         = 1.02
	chunkTokens    = 2048.0
	tokensPerEvent = 43
	maxTickets     = 64
	maxHold        = 20 * time.Second
)

// Figures of the plain service.
const (
	plainSlots    = 6
	plainQueue    = 24
	plainWork     = 60 * time.Millisecond
	plainBodySize = 800
)

// link is a caller's connection to a runner. A machine that loses power says nothing more:
// the runner does not see the end of its connections.
type link struct{ powerLost atomic.Bool }

type linkKey struct{}

// ticket is memory that is set aside at a runner.
type ticket struct {
	tokens  int
	expires time.Time
	users   map[string]bool // ids of the requests that use it
}

// runner is a model runner, or a runner of the plain service.
type runner struct {
	ID, Service, Zone string
	Address           string
	Slots             int
	Born              int64
	pool              *pool

	mu      sync.Mutex
	links   map[*link]bool
	tickets map[string]*ticket
	running int
	used    int // tokens
}

// pool holds all runners.
type pool struct {
	rec       *record
	byAddress map[string]*runner
	all       []*runner

	mu     sync.Mutex
	runs   map[string]int // started runs by request id
	shared []string       // uses of a ticket by two requests at the same time
}

func newPool(rec *record) *pool {
	return &pool{rec: rec, byAddress: make(map[string]*runner), runs: make(map[string]int)}
}

// add starts a runner and registers it in the store.
func (p *pool) add(s *store, id, service, zone string, slots int) error {
	listener, err := net.Listen("tcp4", "127.0.2."+strconv.Itoa(len(p.all)+1)+":0")
	if err != nil {
		return err
	}
	r := &runner{
		ID: id, Service: service, Zone: zone, Address: listener.Addr().String(), Slots: slots, Born: time.Now().UnixMilli(), pool: p,
		links: make(map[*link]bool), tickets: make(map[string]*ticket),
	}
	p.byAddress[r.Address] = r
	p.all = append(p.all, r)
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		l := &link{}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.links[l] = true
		return context.WithValue(ctx, linkKey{}, l)
	}}
	go func() { _ = server.Serve(listener) }() // ends with the process
	entry, err := renderFile("wire/runner.tmpl", r)
	if err != nil {
		return err
	}
	s.put(names["keyRunners"]+id, entry)
	return nil
}

// losePower takes all machines that have connections now for dead.
func (p *pool) losePower() {
	for _, r := range p.all {
		r.mu.Lock()
		for l := range r.links {
			l.powerLost.Store(true)
		}
		r.mu.Unlock()
	}
}

// runsOf returns how often a request has begun to run.
func (p *pool) runsOf(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

func (p *pool) sharedTickets() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.shared...)
}

// ServeHTTP answers one request to the runner.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get(names["expectRunner"]); expected != "" && expected != r.ID {
		r.rejectRun(w, q, http.StatusMisdirectedRequest, r.Address)
		return
	}
	switch q.URL.Path {
	case "/health":
		w.Header().Set(names["runnerID"], r.ID)
	case "/order":
		r.order(w, q)
	default:
		body, err := io.ReadAll(q.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if r.Service == "atelier" {
			r.runPlain(w, q, body)
			return
		}
		r.runModel(w, q)
	}
}

// orderBody is the body of an order.
type orderBody struct {
	Op     string `json:"op"`
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	HoldMS int64  `json:"hold-ms"`
}

func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	var o orderBody
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireTickets()
	status := http.StatusOK
	switch o.Op {
	case "reserve":
		status = r.reserve(o)
	case "release":
		delete(r.tickets, o.ID)
	default:
		status = http.StatusBadRequest
	}
	r.pool.rec.add("order     %s at %s: %s, %d tokens, status %d", o.Op, r.ID, o.ID, o.Tokens, status)
	reply(w, status, map[string]any{"free": r.free()})
}

// free is the memory that is neither used nor set aside; r.mu must be held.
func (r *runner) free() int {
	free := engineMemory - r.used
	for _, t := range r.tickets {
		free -= t.tokens
	}
	return free
}

// expireTickets ends the tickets whose time is over; r.mu must be held.
func (r *runner) expireTickets() {
	for id, t := range r.tickets {
		if time.Now().After(t.expires) {
			delete(r.tickets, id)
		}
	}
}

// reserve sets memory aside, or renews it; r.mu must be held.
func (r *runner) reserve(o orderBody) (status int) {
	expires := time.Now().Add(min(maxHold, time.Duration(o.HoldMS)*time.Millisecond))
	if t := r.tickets[o.ID]; t != nil {
		t.expires = expires
		return http.StatusOK
	}
	switch {
	case o.Tokens > engineMemory:
		return http.StatusBadRequest
	case len(r.tickets) >= maxTickets, r.free() < o.Tokens:
		return http.StatusConflict
	}
	r.tickets[o.ID] = &ticket{tokens: o.Tokens, expires: expires, users: make(map[string]bool)}
	return http.StatusOK
}

// holding is a ticket that a request uses at a runner.
type holding struct {
	runner *runner
	name   string
	ticket *ticket
}

// rejectRun answers that a request did not run.
func (r *runner) rejectRun(w http.ResponseWriter, q *http.Request, status int, atFault string) {
	id := q.Header.Get(names["requestID"])
	r.pool.rec.add("rejected  %s by %s: status %d", id, r.ID, status)
	w.Header().Set(names["requestID"], id)
	if status == http.StatusServiceUnavailable {
		w.Header().Set(names["notRun"], "1")
	}
	w.Header().Set(names["runnerID"], r.ID)
	w.Header().Set(names["atRunner"], atFault)
	w.WriteHeader(status)
}

// findTickets returns the tickets of a request, or the address of the runner that lacks one.
func (r *runner) findTickets(q *http.Request) (found []holding, parts int, lacking string) {
	parts = 1
	if q.Header.Get(names["helpers"]) == "" {
		return nil, parts, ""
	}
	for entry := range strings.SplitSeq(q.Header.Get(names["helpers"]), ",") {
		parts++
		address, name, _ := strings.Cut(entry, "/")
		helper := r.pool.byAddress[address]
		if helper == nil {
			return nil, parts, address
		}
		if name == "" {
			continue
		}
		helper.mu.Lock()
		helper.expireTickets()
		t := helper.tickets[name]
		helper.mu.Unlock()
		if t == nil {
			return nil, parts, address
		}
		found = append(found, holding{helper, name, t})
	}
	return found, parts, ""
}

// useTickets marks the tickets of a request that runs as used.
func (p *pool) useTickets(id string, held []holding) {
	for _, h := range held {
		h.runner.mu.Lock()
		h.ticket.users[id] = true
		h.runner.mu.Unlock()
		p.noteUse(h.runner, h.name, h.ticket)
	}
}

// noteUse notes whether several requests use a ticket.
func (p *pool) noteUse(r *runner, name string, t *ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(t.users) < 2 {
		return
	}
	var ids []string
	for id := range t.users {
		ids = append(ids, id)
	}
	line := fmt.Sprintf("ticket %s at %s is used by %s at the same time", name, r.ID, strings.Join(ids, " and "))
	p.rec.add("shared    %s", line)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shared = append(p.shared, line)
}

func dropTickets(id string, held []holding) {
	for _, h := range held {
		h.runner.mu.Lock()
		delete(h.ticket.users, id)
		h.runner.mu.Unlock()
	}
}

// anyExpired reports whether the time of a ticket is over, on which the request is cut off.
func anyExpired(held []holding) bool {
	for _, h := range held {
		h.runner.mu.Lock()
		expired := time.Now().After(h.ticket.expires)
		h.runner.mu.Unlock()
		if expired {
			return true
		}
	}
	return false
}

// begin takes a slot and memory; it returns false if there is none.
func (r *runner) begin(slots, tokens int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireTickets()
	if r.running >= slots || r.free() < tokens {
		return false
	}
	r.running++
	r.used += tokens
	return true
}

func (r *runner) end(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.used -= tokens
}

var errLeft = errors.New("the caller has left")

// work waits for a while, or until the caller leaves and the runner sees it.
func work(q *http.Request, d time.Duration) error {
	l, _ := q.Context().Value(linkKey{}).(*link)
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		if q.Context().Err() != nil && !l.powerLost.Load() {
			return errLeft
		}
		time.Sleep(min(5*time.Millisecond, time.Until(end)))
	}
	return nil
}

// runModel runs a prompt and streams the answer.
func (r *runner) runModel(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(names["requestID"])
	if v := q.Header.Get(names["expectVersion"]); v != "" && v != "1" {
		r.rejectRun(w, q, http.StatusMisdirectedRequest, r.Address)
		return
	}
	prompt, most := 0, 0
	if _, err := fmt.Sscanf(q.Header.Get(names["tokens"]), "%d,%d", &prompt, &most); err != nil {
		panic(http.ErrAbortHandler) // the callers here send it
	}
	held, parts, lacking := r.findTickets(q)
	if lacking != "" {
		r.rejectRun(w, q, http.StatusServiceUnavailable, lacking)
		return
	}
	memory := prompt + most
	for _, h := range held {
		memory -= h.ticket.tokens
	}
	memory = max(0, memory)
	if !r.begin(engineSlots+engineQueue, memory) {
		r.rejectRun(w, q, http.StatusServiceUnavailable, r.Address)
		return
	}
	defer r.end(memory)
	r.pool.useTickets(id, held)
	defer dropTickets(id, held)
	r.pool.noteRun(id, r.ID, fmt.Sprintf("%d parts, %d tickets", parts, len(held)))
	if err := r.stream(w, q, prefillTime(prompt, parts), most, held); err != nil {
		r.pool.rec.add("cut       %s at %s: %v", id, r.ID, err)
		panic(http.ErrAbortHandler)
	}
	r.pool.rec.add("ended     %s at %s", id, r.ID)
}

func (p *pool) noteRun(id, at, how string) {
	p.rec.add("runs      %s at %s, %s", id, at, how)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[id]++
}

// prefillTime is the time in which an idle engine reads one of the even parts of a prompt.
func prefillTime(prompt, parts int) time.Duration {
	part := float64(prompt) / float64(parts)
	pairs := float64(prompt) * float64(prompt) / 2 / float64(parts)
	ms := part/readPerMS + pairs/1e6*pairsMSPerM + math.Ceil(part/chunkTokens)*stepMS
	return time.Duration(ms * float64(time.Millisecond))
}

var errExpired = errors.New("the time of a ticket is over")

func (r *runner) stream(w http.ResponseWriter, q *http.Request, prefill time.Duration, most int, held []holding) error {
	if err := work(q, prefill); err != nil {
		return err
	}
	if l, _ := q.Context().Value(linkKey{}).(*link); l.powerLost.Load() {
		return errLeft // the first write shows it
	}
	first, _ := strconv.Atoi(q.Header.Get(names["lastEvent"])) // zero if it is missing
	w.Header().Set(names["requestID"], q.Header.Get(names["requestID"]))
	w.Header().Set(names["stamp"], r.ID+".1")
	w.Header().Set(names["weights"], "1")
	w.Header().Set("Content-Type", "text/event-stream")
	events := (most + tokensPerEvent - 1) / tokensPerEvent
	for event := first + 1; event <= events; event++ {
		if anyExpired(held) {
			return errExpired
		}
		if err := work(q, time.Duration(tokensPerEvent*stepMS*float64(time.Millisecond))); err != nil {
			return err
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", event, event)
		_ = http.NewResponseController(w).Flush() // the end of the connection shows in the context
	}
	return nil
}

// runPlain runs a call of the plain service.
func (r *runner) runPlain(w http.ResponseWriter, q *http.Request, _ []byte) {
	id := q.Header.Get(names["requestID"])
	if !r.begin(plainSlots+plainQueue, 0) {
		r.rejectRun(w, q, http.StatusServiceUnavailable, r.Address)
		return
	}
	defer r.end(0)
	r.pool.noteRun(id, r.ID, "plain")
	if err := work(q, plainWork); err != nil {
		return
	}
	w.Header().Set(names["requestID"], id)
	w.Header().Set(names["stamp"], r.ID+".1")
	fmt.Fprint(w, strings.Repeat("x", plainBodySize))
}
