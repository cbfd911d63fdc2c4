package httpapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/prefix"
)

// Limits of completions.
const (
	// defaultMaxTokens bounds the answer of a caller that set no bound.
	defaultMaxTokens = 256
	// maxPrefixBlocks bounds the hashed blocks of a prompt.
	maxPrefixBlocks = 128
)

// completion is what a completion's body says, and the body as it goes to
// engines: always streamed, with a bound.
type completion struct {
	model       string
	stream      bool
	maxTokens   int
	promptBytes int
	promptHash  uint64 // of the model and the prompt alone
	prefix      []uint64
	upstream    engineclient.Body
}

// Names of fields that are read. Others pass to the engine as they are.
const (
	fieldModel     = "model"
	fieldStream    = "stream"
	fieldMessages  = "messages"
	fieldPrompt    = "prompt"
	fieldMaxTokens = "max_tokens"
	// fieldMaxCompletionTokens is the newer name of fieldMaxTokens.
	fieldMaxCompletionTokens = "max_completion_tokens"
)

// singleFields count answers; only one is served.
var singleFields = []string{"n", "best_of"}

// unsupportedFields change the form of the answer in ways that are not passed
// on; a request that sets one is refused and not answered wrongly.
var unsupportedFields = []string{"tools", "functions", "tool_choice", "function_call", "logprobs", "audio", "modalities"}

var knownFields = slices.Concat(
	[]string{fieldModel, fieldStream, fieldMessages, fieldPrompt, fieldMaxTokens, fieldMaxCompletionTokens},
	singleFields, unsupportedFields)

// parseCompletion reads the body of a completion; chat tells the two forms
// apart. The result refers to body and takes no copy of the prompt.
func parseCompletion(body []byte, chat bool) (completion, error) {
	var c completion
	fields, err := topLevel(body)
	if err != nil {
		return c, err
	}
	p := bodyParser{body: body, fields: fields}
	if err := p.checkNames(); err != nil {
		return c, err
	}
	if err := errors.Join(
		p.read(fieldModel, &c.model), p.read(fieldStream, &c.stream), p.checkSingle(), p.checkUnsupported(),
	); err != nil {
		return c, err
	}
	if c.model == "" {
		return c, fmt.Errorf("field %q is missing", fieldModel)
	}
	limitField, limit, err := p.maxTokens()
	if err != nil {
		return c, err
	}
	prompt, err := p.prompt(chat)
	if err != nil {
		return c, err
	}
	c.maxTokens, c.promptBytes = limit, len(prompt)
	c.promptHash = hashPrompt(c.model, prompt)
	c.prefix = prefix.Hashes(c.model, prompt, maxPrefixBlocks)
	c.upstream = splice(body, []replacement{
		{fields[fieldStream], fieldStream, "true"},
		{fields[limitField], limitField, strconv.Itoa(limit)},
	})
	return c, nil
}

// bodyParser reads single fields of a body.
type bodyParser struct {
	body   []byte
	fields map[string]span
}

// checkNames refuses names that differ from a known one in case only: engines
// differ in whether they take them for the same.
func (p bodyParser) checkNames() error {
	for name := range p.fields {
		for _, known := range knownFields {
			if name != known && strings.EqualFold(name, known) {
				return fmt.Errorf("field %q is not %q", name, known)
			}
		}
	}
	return nil
}

// read decodes a field; an absent one leaves the value as it is.
func (p bodyParser) read(name string, value any) error {
	s := p.fields[name]
	if s.empty() {
		return nil
	}
	if err := json.Unmarshal(s.bytes(p.body), value); err != nil {
		return fmt.Errorf("field %q: %w", name, err)
	}
	return nil
}

func (p bodyParser) checkSingle() error {
	for _, name := range singleFields {
		count := 1
		if err := p.read(name, &count); err != nil {
			return err
		}
		if count != 1 {
			return fmt.Errorf("field %q: only 1 is served", name)
		}
	}
	return nil
}

func (p bodyParser) checkUnsupported() error {
	for _, name := range unsupportedFields {
		switch string(p.fields[name].bytes(p.body)) {
		case "", "null", "false", "[]":
		default:
			return fmt.Errorf("field %q is not supported", name)
		}
	}
	return nil
}

// maxTokens returns the bound of the answer and the field that holds it.
func (p bodyParser) maxTokens() (field string, limit int, err error) {
	var older, newer int
	if err := errors.Join(p.read(fieldMaxTokens, &older), p.read(fieldMaxCompletionTokens, &newer)); err != nil {
		return "", 0, err
	}
	switch {
	case older < 0 || newer < 0:
		return "", 0, fmt.Errorf("field %q is negative", fieldMaxTokens)
	case older > 0 && newer > 0:
		return "", 0, fmt.Errorf("fields %q and %q exclude each other", fieldMaxTokens, fieldMaxCompletionTokens)
	case newer > 0:
		return fieldMaxCompletionTokens, newer, nil
	case older > 0:
		return fieldMaxTokens, older, nil
	}
	return fieldMaxTokens, defaultMaxTokens, nil
}

// prompt returns the raw value that holds the prompt: an array of messages, or
// one text.
func (p bodyParser) prompt(chat bool) ([]byte, error) {
	name, other, first := fieldPrompt, fieldMessages, byte('"')
	if chat {
		name, other, first = fieldMessages, fieldPrompt, '['
	}
	value := p.fields[name].bytes(p.body)
	if len(value) == 0 || value[0] != first {
		return nil, fmt.Errorf("field %q is missing or of the wrong type", name)
	}
	if !p.fields[other].empty() {
		return nil, fmt.Errorf("field %q does not belong to this call", other)
	}
	return value, nil
}

// replacement puts a value in the place of a field's, or adds the field.
type replacement struct {
	span  span
	name  string
	value string
}

// splice returns the body with replacements, in parts of the original.
func splice(body []byte, reps []replacement) engineclient.Body {
	open := slices.Index(body, '{') + 1
	added := ""
	var inPlace []replacement
	for _, r := range reps {
		if r.span.empty() {
			added += strconv.Quote(r.name) + ":" + r.value + ","
			continue
		}
		inPlace = append(inPlace, r)
	}
	slices.SortFunc(inPlace, func(a, b replacement) int { return a.span.from - b.span.from })
	parts := engineclient.Body{body[:open], []byte(added)}
	for _, r := range inPlace {
		parts = append(parts, body[open:r.span.from], []byte(r.value))
		open = r.span.to
	}
	return append(parts, body[open:])
}

// hashPrompt hashes what an engine makes of a request before its first token.
func hashPrompt(model string, prompt []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(prompt)
	return d.Sum64()
}
