package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// span is the place of one top-level value in a body.
type span struct{ from, to int }

// bytes returns the value; the zero span has none.
func (s span) bytes(body []byte) []byte { return body[s.from:s.to] }

func (s span) empty() bool { return s.from == s.to }

// errNotObject says that a body is not one JSON object.
var errNotObject = errors.New("body is not a JSON object")

// topLevel finds the values of a JSON object without copying them. A name that
// occurs twice is an error, since readers differ in which one they take.
func topLevel(body []byte) (map[string]span, error) {
	if !json.Valid(body) {
		return nil, errNotObject
	}
	s := scanner{body: body}
	s.space()
	if s.peek() != '{' {
		return nil, errNotObject
	}
	s.pos++
	fields := make(map[string]span)
	for {
		s.space()
		if s.peek() == '}' {
			return fields, nil
		}
		name, err := s.name()
		if err != nil {
			return nil, err
		}
		if _, ok := fields[name]; ok {
			return nil, fmt.Errorf("field %q occurs twice", name)
		}
		fields[name] = s.value()
		s.space()
		if s.peek() == ',' {
			s.pos++
		}
	}
}

// scanner walks over JSON that is known to be valid.
type scanner struct {
	body []byte
	pos  int
}

func (s *scanner) peek() byte { return s.body[s.pos] }

func (s *scanner) space() {
	for bytes.IndexByte([]byte(" \t\r\n"), s.peek()) >= 0 {
		s.pos++
	}
}

// name reads a name and the colon behind it.
func (s *scanner) name() (string, error) {
	from := s.pos
	s.skipString()
	var name string
	if err := json.Unmarshal(s.body[from:s.pos], &name); err != nil {
		return "", fmt.Errorf("read field name: %w", err)
	}
	s.space()
	s.pos++ // colon
	return name, nil
}

func (s *scanner) value() span {
	s.space()
	from := s.pos
	switch s.peek() {
	case '"':
		s.skipString()
	case '{', '[':
		s.skipNested()
	default:
		for bytes.IndexByte([]byte(",} \t\r\n"), s.peek()) < 0 {
			s.pos++
		}
	}
	return span{from, s.pos}
}

func (s *scanner) skipString() {
	s.pos++
	for {
		s.pos += bytes.IndexAny(s.body[s.pos:], `"\`)
		if s.peek() == '"' {
			s.pos++
			return
		}
		s.pos += 2
	}
}

func (s *scanner) skipNested() {
	depth := 0
	for {
		switch s.peek() {
		case '"':
			s.skipString()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.pos++
		if depth == 0 {
			return
		}
	}
}
