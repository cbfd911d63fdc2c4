// Package engine is a stand-in for a model engine: continuous batching with
// chunked prefill, bounded KV memory with a prefix cache, priorities, lagging
// reports, and faults on command. docs/ENGINE.md describes its dialect.
//
// Its answers are a pure function of the prompt and the index of the token, so
// that a test can tell a resumed or mixed-up answer from a whole one.
package engine

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/medlardeck/medlardeck/internal/prefix"
)

const blockTokens = prefix.BlockTokens

// Defaults of Options.
const (
	DefaultStepTime               = 20 * time.Millisecond
	DefaultPrefillTokensPerSecond = 20_000
	DefaultStepTokens             = 1024
	DefaultKVCapacityTokens       = 400_000
	DefaultMaxRunning             = 64
	DefaultMaxQueued              = 256
)

// Options set the size and speed of an engine; zero values take the defaults.
type Options struct {
	Models []string
	// StepTime is the shortest time of one step, and so between tokens.
	StepTime time.Duration
	// PrefillTokensPerSecond is the rate at which prompts are read.
	PrefillTokensPerSecond int
	// StepTokens is the budget of one step: one for each decoding sequence, the
	// rest for chunks of prompts.
	StepTokens       int
	KVCapacityTokens int
	// MaxRunning bounds the sequences in the batch, MaxQueued those before it.
	MaxRunning int
	MaxQueued  int
	// ReportLag and EventLag are the ages of load reports and cache events when
	// they are published; zero publishes at once.
	ReportLag time.Duration
	EventLag  time.Duration
	// EventLoss is the share of cache events that get lost, 0 to 1.
	EventLoss float64
	// Speed divides every duration above; zero means 1.
	Speed float64
	// Version is that of the models loaded at the start.
	Version string
	// LoadTime is the time to load one model.
	LoadTime time.Duration
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool
	// OrderToken, when not empty, is what a giver of orders has to present.
	OrderToken string
	// Seed makes the random choices.
	Seed uint64
}

func (o Options) withDefaults() Options {
	setDefault(&o.StepTime, DefaultStepTime)
	setDefault(&o.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setDefault(&o.StepTokens, DefaultStepTokens)
	setDefault(&o.KVCapacityTokens, DefaultKVCapacityTokens)
	setDefault(&o.MaxRunning, DefaultMaxRunning)
	setDefault(&o.MaxQueued, DefaultMaxQueued)
	setDefault(&o.Version, DefaultVersion)
	setDefault(&o.LoadTime, DefaultLoadTime)
	setDefault(&o.Speed, 1)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is one running stand-in with its listener. It is safe for concurrent
// use.
type Engine struct {
	opts Options
	addr string
	ctx  context.Context // ends with Close
	stop context.CancelFunc
	wg   sync.WaitGroup
	wake chan struct{}

	mu          sync.Mutex
	incarnation uint64
	server      *http.Server // nil while dead
	listener    net.Listener
	batch       *batch
	memory      *memory
	events      *eventLog
	history     history
	leaving     bool
	faults      faults
	// reservations by id; their tokens are held in memory.
	reservations map[string]*reservation
	client       *http.Client // to other engines, for imports
	models       models
}

// Start runs an engine that listens on addr, host:port; port 0 takes a free
// one.
func Start(addr string, opts Options) (*Engine, error) {
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		opts: opts.withDefaults(), addr: addr, ctx: ctx, stop: stop,
		wake: make(chan struct{}, 1), incarnation: uint64(time.Now().UnixMicro()),
	}
	e.faults.slow = 1
	e.client = &http.Client{Timeout: importTimeout}
	e.reset()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		stop()
		return nil, fmt.Errorf("start engine on %s: %w", addr, err)
	}
	e.addr = ln.Addr().String()
	e.serve(ln)
	e.wg.Add(1)
	go e.schedule()
	return e, nil
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.addr }

// Close ends the engine at once.
func (e *Engine) Close() {
	e.stop()
	e.Die()
	e.wg.Wait()
	e.client.CloseIdleConnections()
}

// Leave makes the engine refuse new completions as not run and say in its
// reports that it is about to stop.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.record()
}

// Die ends the engine's process as a crash does: the listener and every
// connection close, and all state is lost.
func (e *Engine) Die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.die()
}

func (e *Engine) die() {
	if e.server == nil {
		return
	}
	e.server.Close()
	_ = e.listener.Close() // the server may not know it yet
	e.server = nil
	for _, list := range [][]*sequence{e.batch.running, e.batch.queue} {
		for _, s := range list {
			s.dropped = true
			s.signal()
		}
	}
	e.incarnation++
	e.reset()
}

// reset empties the engine's state, as a restart does.
func (e *Engine) reset() {
	e.events = &eventLog{
		lag: e.scaled(e.opts.EventLag), loss: e.opts.EventLoss,
		rng: rand.New(rand.NewPCG(e.opts.Seed, e.incarnation)), now: time.Now,
	}
	e.memory = newMemory(e.opts.KVCapacityTokens, e.events)
	e.batch = &batch{opts: e.opts, memory: e.memory}
	e.reservations = make(map[string]*reservation)
	e.models = e.initialModels()
	e.history = history{}
	e.leaving = false
	e.record()
}

// Return starts a dead engine again, with nothing kept.
func (e *Engine) Return() error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return fmt.Errorf("return engine on %s: %w", e.addr, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil || e.ctx.Err() != nil {
		_ = ln.Close()
		return nil
	}
	e.serve(ln)
	return nil
}

// returnRetry is the wait between attempts to listen again on the old address.
const returnRetry = 10 * time.Millisecond

// returnAfter starts a dead engine again after d.
func (e *Engine) returnAfter(d time.Duration) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		for e.sleep(d) && e.Return() != nil {
			d = returnRetry
		}
	}()
}

func (e *Engine) serve(ln net.Listener) {
	r := mux.NewRouter()
	e.dataRoutes(r)
	e.controlRoutes(r)
	srv := &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	e.server, e.listener = srv, ln
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			e.Die()
		}
	}()
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.opts.Speed)
}

// sleep waits; it returns false when the engine is closed.
func (e *Engine) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.ctx.Done():
		return false
	}
}
