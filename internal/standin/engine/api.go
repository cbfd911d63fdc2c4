package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/prefix"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Limits and defaults of the completions API.
const (
	maxBodyBytes     = 32 << 20
	defaultMaxTokens = 16
)

func (e *Engine) dataRoutes(r *mux.Router) {
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
}

// Word returns token i of the answer to a prompt with this digest.
func Word(digest uint64, i int) string {
	return strconv.FormatUint(digest&0xffffff, 16) + "." + strconv.Itoa(i) + " "
}

// Digest returns the digest of a prompt: the raw JSON value of messages or
// prompt.
func Digest(prompt []byte) uint64 { return xxhash.Sum64(prompt) }

// completionRequest is what the engine reads of a body.
type completionRequest struct {
	Model               string          `json:"model"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return // the rest of the request never came
	}
	e.waitHang(r)
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	seq := e.newSequence(r, req)
	if !e.enterReservation(w, r, seq) {
		return
	}
	if status, reason := e.accept(seq, req.Model); status != 0 {
		refuse(w, status, reason)
		return
	}
	defer e.abandon(seq)
	e.answer(w, r, seq, req.Model)
}

func (e *Engine) newSequence(r *http.Request, req completionRequest) *sequence {
	prompt := req.Messages
	if prompt == nil {
		prompt = req.Prompt
	}
	resume, _ := strconv.Atoi(r.Header.Get(engineclient.HeaderResume))
	priority, _ := strconv.Atoi(r.Header.Get(engineclient.HeaderPriority))
	limit := max(req.MaxTokens, req.MaxCompletionTokens)
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	e.mu.Lock()
	marker := e.faults.marker
	e.mu.Unlock()
	return &sequence{
		id: r.Header.Get(engineclient.HeaderAttempt), digest: Digest(prompt),
		blocks: prefix.Hashes(req.Model, prompt, 0), prompt: max(1, prefix.Tokens(len(prompt))),
		start: max(0, min(resume, limit)), max: limit, priority: priority,
		marked: marker != "" && strings.Contains(string(prompt), marker),
		notify: make(chan struct{}, 1),
	}
}

// accept queues a sequence or returns why it does not run.
func (e *Engine) accept(seq *sequence, model string) (status int, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.server == nil || e.leaving:
		return http.StatusServiceUnavailable, "the engine is leaving"
	case !e.serves(model):
		return http.StatusNotFound, "the model is not loaded"
	case !seq.reserved && seq.prompt+seq.max > e.memory.capacity:
		return http.StatusRequestEntityTooLarge, "the prompt exceeds the engine's memory"
	case !e.batch.add(seq):
		return http.StatusServiceUnavailable, "the queue is full"
	}
	e.record()
	e.wakeUp()
	return 0, ""
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(engineclient.HeaderNotRun, "1")
	http.Error(w, reason, status)
}

// abandon returns the memory of a sequence whose caller left.
func (e *Engine) abandon(seq *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !seq.done && !seq.dropped {
		e.batch.remove(seq)
		e.record()
		e.wakeUp()
	}
}

// answer streams the tokens of a sequence as they come.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, seq *sequence, model string) {
	rc := http.NewResponseController(w)
	events := newEventWriter(strings.HasPrefix(r.URL.Path, "/v1/chat/"), model, seq)
	drop, breakAt := e.takeAnswerFaults(seq)
	var buf []byte
	for sent := seq.start; ; {
		select {
		case <-seq.notify:
		case <-r.Context().Done():
			return
		}
		e.waitHang(r)
		next, done, dropped, report := e.progress(seq, sent == seq.start)
		if dropped || done && drop {
			panic(http.ErrAbortHandler)
		}
		if drop {
			continue
		}
		if sent == seq.start {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(engineclient.HeaderReport, report)
		}
		buf = buf[:0]
		for ; sent < next && sent != breakAt; sent++ {
			buf = events.append(buf, sent)
		}
		if done && sent != breakAt {
			buf = append(buf, "data: [DONE]\n\n"...)
		}
		if _, err := w.Write(buf); err != nil || rc.Flush() != nil || done && sent != breakAt {
			return
		}
		if sent == breakAt {
			panic(http.ErrAbortHandler)
		}
	}
}

// takeAnswerFaults returns the faults that befall this answer: whether it is
// dropped, and the token index before which its connection breaks, or -1.
func (e *Engine) takeAnswerFaults(seq *sequence) (drop bool, breakAt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	breakAt = -1
	if e.faults.drops > 0 {
		e.faults.drops--
		drop = true
	}
	if e.faults.breakAfter > 0 {
		breakAt = seq.start + e.faults.breakAfter
		e.faults.breakAfter = 0
	}
	return drop, breakAt
}

// progress returns how far a sequence is, and a load report for the first part
// of its answer.
func (e *Engine) progress(seq *sequence, first bool) (next int, done, dropped bool, report string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if first && !seq.dropped {
		report = encodeReport(e.report())
	}
	return seq.next, seq.done, seq.dropped, report
}

func encodeReport(report target.Report) string {
	body, _ := json.Marshal(report)
	return string(body)
}

// eventWriter writes the server-sent events of one answer.
type eventWriter struct {
	seq  *sequence
	head string // of each event, up to the text
	mid  string // from the text to the finish reason
}

func newEventWriter(chat bool, model string, seq *sequence) *eventWriter {
	name, _ := json.Marshal(model)
	object, open, end := "text_completion", `"text":"`, `"`
	if chat {
		object, open, end = "chat.completion.chunk", `"delta":{"content":"`, `"}`
	}
	return &eventWriter{
		seq: seq,
		head: `data: {"id":"cmpl-` + strconv.FormatUint(seq.digest, 16) + `","object":"` + object +
			`","created":0,"model":` + string(name) + `,"choices":[{"index":0,` + open,
		mid: end + `,"finish_reason":`,
	}
}

// append adds the event of token i; the last one carries the usage.
func (w *eventWriter) append(buf []byte, i int) []byte {
	buf = append(buf, w.head...)
	buf = strconv.AppendUint(buf, w.seq.digest&0xffffff, 16)
	buf = append(buf, '.')
	buf = strconv.AppendInt(buf, int64(i), 10)
	buf = append(buf, ' ')
	buf = append(buf, w.mid...)
	if i < w.seq.max-1 {
		return append(buf, "null}]}\n\n"...)
	}
	buf = append(buf, `"length"}],"usage":{"prompt_tokens":`...)
	buf = strconv.AppendInt(buf, int64(w.seq.prompt), 10)
	buf = append(buf, `,"completion_tokens":`...)
	buf = strconv.AppendInt(buf, int64(w.seq.max), 10)
	buf = append(buf, `,"total_tokens":`...)
	buf = strconv.AppendInt(buf, int64(w.seq.prompt+w.seq.max), 10)
	buf = append(buf, `,"prompt_tokens_details":{"cached_tokens":`...)
	buf = strconv.AppendInt(buf, int64(w.seq.shared*blockTokens), 10)
	return append(buf, "}}}\n\n"...)
}
