package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/node"
	"github.com/medlardeck/medlardeck/internal/result"
)

// maxWholeBytes bounds the text of an answer that is collected.
const maxWholeBytes = 8 << 20

var (
	eventPrefix = []byte("data: ")
	doneEvent   = []byte("data: [DONE]\n\n")

	errAnswerTooLarge = errors.New("collect answer: exceeds the limit")
	errEvent          = errors.New("collect answer: event is not a chunk")
)

// stream passes server-sent events. A stream that ends early gets an error
// event and then an aborted connection, so that every client can tell.
func (p *passer) stream() {
	started := false
	start := func() {
		if !started {
			started = true
			p.w.Header().Set("Content-Type", "text/event-stream")
			p.w.Header().Set("Cache-Control", "no-store")
		}
	}
	err := p.receive(func(_ *node.Head, part []byte) error {
		if len(part) == 0 {
			return nil
		}
		start()
		return p.flush(part)
	})
	switch {
	case err != nil:
		abort()
	case p.complete():
		start()
		_ = p.flush(doneEvent)
	case !started:
		writeError(p.w, p.x.End(), "")
	default:
		event := append(bytes.Clone(eventPrefix), errorBody(p.x.End().Code, "")...)
		_ = p.flush(append(event, "\n\n"...))
		abort()
	}
}

// chunk is the part of an engine's event that a whole answer needs.
type chunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// collector makes one answer of a stream's events.
type collector struct {
	text   strings.Builder
	finish *string
	last   chunk
	usage  json.RawMessage
}

// add takes whole events.
func (c *collector) add(events []byte) error {
	for line := range bytes.Lines(events) {
		data, ok := bytes.CutPrefix(line, eventPrefix)
		if !ok {
			continue
		}
		var ch chunk
		if err := json.Unmarshal(data, &ch); err != nil {
			return errEvent
		}
		for _, choice := range ch.Choices {
			c.text.WriteString(choice.Text)
			c.text.WriteString(choice.Delta.Content)
			if choice.FinishReason != nil {
				c.finish = choice.FinishReason
			}
		}
		if len(ch.Usage) > 0 && string(ch.Usage) != "null" {
			c.usage = ch.Usage
		}
		c.last = ch
		if c.text.Len() > maxWholeBytes {
			return errAnswerTooLarge
		}
	}
	return nil
}

// wholeAnswer is a completion that was not streamed.
type wholeAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *collector) answer(chat bool) []byte {
	text := c.text.String()
	whole := wholeAnswer{
		ID: c.last.ID, Object: "text_completion", Created: c.last.Created, Model: c.last.Model, Usage: c.usage,
		Choices: []wholeChoice{{Text: &text, FinishReason: c.finish}},
	}
	if chat {
		whole.Object = "chat.completion"
		whole.Choices[0].Text, whole.Choices[0].Message = nil, &message{Role: "assistant", Content: text}
	}
	body, _ := json.Marshal(whole)
	return body
}

// whole collects the events into one answer with a Content-Length.
func (p *passer) whole(chat bool) {
	var c collector
	err := p.receive(func(_ *node.Head, part []byte) error { return c.add(part) })
	switch {
	case errors.Is(err, errAnswerTooLarge):
		writeError(p.w, entry.Finish{Code: result.AnswerTooLarge}, "")
	case errors.Is(err, errEvent):
		writeError(p.w, entry.Finish{Code: result.TargetError}, "")
	case err != nil:
		abort()
	case !p.complete():
		writeError(p.w, p.x.End(), "")
	default:
		p.body(http.StatusOK, "application/json", c.answer(chat))
	}
}
