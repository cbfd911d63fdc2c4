package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/httpapi"
	"github.com/medlardeck/medlardeck/internal/prefix"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
)

// Sizes of prompts and answers, in tokens.
const (
	minPrompt, maxPrompt = 1000, 200_000
	maxAnswer            = 60
)

// errCut says that a stream ended without an end marker or an error event.
var errCut = errors.New("stream cut without an error event")

var filler = strings.Repeat("the tank is made of acrylic glass ", maxPrompt*prefix.BytesPerToken/34+1)

// prompt is one completion with the answer that it must get.
type prompt struct {
	messages string // raw JSON
	tokens   int
	answer   int // tokens
	stream   bool
}

func newPrompt(rng *rand.Rand, text string) prompt {
	tokens := int(minPrompt * math.Pow(float64(maxPrompt)/minPrompt, math.Pow(rng.Float64(), 3)))
	content := fmt.Sprintf("%016x %s%s", rng.Uint64(), text, filler[:tokens*prefix.BytesPerToken])
	return prompt{
		messages: `[{"role":"user","content":"` + content + `"}]`,
		tokens:   tokens, answer: 1 + rng.IntN(maxAnswer), stream: rng.IntN(4) > 0,
	}
}

func (p prompt) body() string {
	return fmt.Sprintf(`{"model":"draft","stream":%t,"max_tokens":%d,"messages":%s}`, p.stream, p.answer, p.messages)
}

// want returns the whole answer, which depends on the prompt alone.
func (p prompt) want() string {
	digest := engine.Digest([]byte(p.messages))
	var b strings.Builder
	for i := range p.answer {
		b.WriteString(engine.Word(digest, i))
	}
	return b.String()
}

// limit is that of the class in which the entry may see the prompt: its
// estimate can place it one class higher.
func (p prompt) limit() time.Duration {
	class := request.ClassOf(p.tokens + p.tokens/10)
	return time.Duration(limits.ForClass(class)) * time.Millisecond
}

func (t *traffic) completion(rng *rand.Rand, _ int) {
	p := newPrompt(rng, "")
	t.mu.Lock()
	t.report.Requests++
	t.mu.Unlock()
	t.complete(rng, p)
}

// crash sends one request that ends engines, again and again, as its caller
// would.
func (t *traffic) crash(rng *rand.Rand, n int) {
	if !t.crashing.Load() {
		return
	}
	fixed := rand.New(rand.NewPCG(t.opts.Seed, uint64(n/16)))
	p := newPrompt(fixed, crashMarker)
	t.complete(rng, p)
}

// complete sends a prompt and checks its end.
func (t *traffic) complete(rng *rand.Rand, p prompt) {
	i, from := t.pick(rng), time.Now()
	text, code, err := t.sendPrompt(i, p)
	if err != nil {
		t.dropped("completion", i, from, p.limit(), err)
		return
	}
	t.ended(code)
	t.onTime("completion with "+code.String(), from, p.limit())
	switch {
	case code == result.Complete && text != p.want():
		t.violate("completion of %d tokens at entry %d got an answer that is not its own or not whole", p.answer, i)
	case code != result.Complete && !strings.HasPrefix(p.want(), text):
		t.violate("completion at entry %d with %s got text that is not its own", i, code)
	case code.Family() == result.FamilyRefused && text != "":
		t.violate("completion at entry %d was refused as not run after %d bytes of answer", i, len(text))
	}
}

func (t *traffic) sendPrompt(i int, p prompt) (string, result.Code, error) {
	req, err := t.request(http.MethodPost, t.d.Callers[i]+"/v1/chat/completions")
	if err != nil {
		return "", 0, err
	}
	body := p.body()
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	resp, err := t.client.Do(req)
	if err != nil {
		return "", 0, fmt.Errorf("send prompt: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		return "", headerCode(resp), err
	}
	if p.stream {
		return readStream(resp.Body)
	}
	return readWhole(resp.Body)
}

func headerCode(resp *http.Response) result.Code {
	code, _ := strconv.Atoi(resp.Header.Get(httpapi.HeaderCode))
	return result.Code(code)
}

// answerChunk is what the checks need of an event or a whole answer.
type answerChunk struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Error struct{ Code result.Code }
}

func readStream(body io.Reader) (string, result.Code, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), 1<<20)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return text.String(), result.Complete, nil
		}
		var c answerChunk
		if err := json.Unmarshal(data, &c); err != nil {
			return text.String(), 0, fmt.Errorf("read event: %w", err)
		}
		if c.Error.Code != 0 {
			return text.String(), c.Error.Code, nil
		}
		for _, ch := range c.Choices {
			text.WriteString(ch.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return text.String(), 0, fmt.Errorf("read stream: %w", err)
	}
	return text.String(), 0, errCut
}

func readWhole(body io.Reader) (string, result.Code, error) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return "", 0, fmt.Errorf("read answer: %w", err)
	}
	var c answerChunk
	if err := json.Unmarshal(raw, &c); err != nil {
		return "", 0, fmt.Errorf("read answer: %w", err)
	}
	text := ""
	for _, ch := range c.Choices {
		text += ch.Message.Content
	}
	return text, result.Complete, nil
}
