package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of an engine, as the configuration states them.
const (
	engineSlots   = 16
	engineMemory  = 232000 // tokens
	engineStride  = 43     // steps of a pass that writes
	engineChunk   = 2048   // tokens that a step reads
	stepMS        = 1.02
	perSeqMS      = 0.00226
	contextPerKMS = 0.00431
	readPerMS     = 206.0
	pairsPerMMS   = 0.138
)

// engine is a stand-in for a model engine. It reads and writes in passes, as the platform's page
// describes them.
type engine struct {
	mu      sync.Mutex
	wake    chan struct{}
	waiting []*job
	reading []*job // in the order in which they are read
	writing []*job
	// ended is called when the answer to a request has been written whole, or its caller has
	// left.
	ended func(id string, complete bool)
}

// job is a request at an engine, or a part of the prompt of another engine's request.
type job struct {
	isPart       bool
	toRead, read int    // tokens
	context      int    // tokens of the whole prompt
	answer       int    // tokens that are still to be written
	parts        []*job // of the same prompt at other engines
	written      int    // events
	events       chan int
	left         <-chan struct{} // closed when the caller leaves
	done         chan struct{}   // of a part: closed when it has been read
}

// engines are all engines by the addresses of their runners.
var engines sync.Map

func newEngine(ended func(id string, complete bool)) *engine {
	e := &engine{wake: make(chan struct{}, 1), ended: ended}
	go e.work()
	return e
}

// add takes a job. Parts of other engines' prompts are read ahead of other reads.
func (e *engine) add(j *job) {
	e.mu.Lock()
	if j.isPart {
		e.reading = slices.Insert(e.reading, 0, j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *engine) work() {
	for {
		e.mu.Lock()
		e.admit()
		isIdle := len(e.reading)+len(e.writing) == 0
		took := e.read()
		e.mu.Unlock()
		if isIdle {
			<-e.wake
			continue
		}
		time.Sleep(took)
		e.mu.Lock()
		e.write()
		e.mu.Unlock()
	}
}

// admit drops the requests whose callers have left, and begins with waiting ones while there
// is room.
func (e *engine) admit() {
	hasLeft := func(j *job) bool {
		select {
		case <-j.left:
			return true
		default:
			return false
		}
	}
	e.waiting, e.reading, e.writing = slices.DeleteFunc(e.waiting, hasLeft), slices.DeleteFunc(e.reading, hasLeft), slices.DeleteFunc(e.writing, hasLeft)
	slots, memory := engineSlots, engineMemory
	for _, j := range slices.Concat(e.reading, e.writing) {
		if !j.isPart {
			slots, memory = slots-1, memory-j.context-j.answer
		}
	}
	for len(e.waiting) > 0 && slots > 0 && memory >= e.waiting[0].context+e.waiting[0].answer {
		j := e.waiting[0]
		slots, memory = slots-1, memory-j.context-j.answer
		e.waiting, e.reading = e.waiting[1:], append(e.reading, j)
	}
}

// read reads as much of the prompts as one pass does, and returns the time of the pass.
func (e *engine) read() time.Duration {
	steps, step := 1, stepMS
	for _, j := range e.writing {
		steps = engineStride
		step += perSeqMS + contextPerKMS*float64(j.context)/1000
	}
	ms := float64(steps) * step
	for _, j := range e.reading {
		for ; steps > 0 && j.toRead > 0; steps-- {
			tokens := min(engineChunk, j.toRead)
			pairs := float64(tokens) * (float64(j.read) + float64(tokens)/2)
			ms += float64(tokens)/readPerMS + pairs/1e6*pairsPerMMS
			j.read, j.toRead = j.read+tokens, j.toRead-tokens
		}
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// write hands out the events of a pass: one for each request that writes, and the first one of
// each whose prompt has been read.
func (e *engine) write() {
	e.writing = slices.DeleteFunc(e.writing, func(j *job) bool {
		j.written++
		j.events <- j.written
		if j.answer -= engineStride; j.answer > 0 {
			return false
		}
		close(j.events)
		return true
	})
	e.reading = slices.DeleteFunc(e.reading, func(j *job) bool {
		if j.toRead > 0 || slices.ContainsFunc(j.parts, isUnread) {
			return false
		}
		if j.isPart {
			close(j.done)
			return true
		}
		j.written = 1
		j.events <- j.written
		e.writing = append(e.writing, j)
		return true
	})
}

func isUnread(part *job) bool {
	select {
	case <-part.done:
		return false
	default:
		return true
	}
}

// serve answers a request with a stream. It is a runner's serve function.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	prompt, longest, _ := strings.Cut(r.Header.Get(names["headerTokenCount"]), ",")
	promptTokens, _ := strconv.Atoi(prompt)  // the client's header, which this program writes
	answerTokens, _ := strconv.Atoi(longest) // likewise
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	j := &job{toRead: promptTokens, context: promptTokens, answer: answerTokens, events: make(chan int, 1024), left: r.Context().Done()}
	j.split(r.Header.Get(names["headerHelpers"]))
	e.add(j)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for {
		select {
		case <-r.Context().Done():
			e.ended(r.Header.Get(names["headerRequestId"]), false)
			return
		case n, ok := <-j.events:
			if !ok {
				e.ended(r.Header.Get(names["headerRequestId"]), true)
				return
			}
			if n > first {
				fmt.Fprintf(w, "id: %d\ndata: piece-%d\n\n", n, n)
				_ = rc.Flush() // the context tells of a caller that has left
			}
		}
	}
}

// split gives even parts of a prompt to the engines that a list of helpers names.
func (j *job) split(helpers string) {
	if helpers == "" {
		return
	}
	addresses := strings.Split(helpers, ",")
	part := j.context / (len(addresses) + 1)
	for _, address := range addresses {
		address, _, _ = strings.Cut(strings.TrimSpace(address), "/")
		if helper, ok := engines.Load(address); ok {
			p := &job{isPart: true, toRead: part, context: j.context, left: j.left, done: make(chan struct{})}
			j.parts = append(j.parts, p)
			j.toRead -= part
			helper.(*engine).add(p)
		}
	}
}
