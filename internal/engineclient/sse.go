package engineclient

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/medlardeck/medlardeck/internal/entry"
)

const (
	// maxEventBytes is the maximum size of one server-sent event.
	maxEventBytes = 1 << 20
	// readBufferBytes is the size of the read buffer of a stream.
	readBufferBytes = 4 << 10
)

var (
	dataField    = []byte("data:")
	doneData     = []byte("[DONE]")
	errorPrefix  = []byte(`{"error"`)
	usageField   = []byte(`"usage":{`)
	emptyChoices = []byte(`"choices":[]`)

	errEventTooLarge = errors.New("read event: line exceeds the size limit")
)

// usage is the token count that an engine sends with its last event.
type usage struct {
	PromptTokens  int `json:"prompt_tokens"`
	PromptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// eventStream parses the server-sent events of one completion. Events that are
// buffered at the same time are forwarded in one call.
type eventStream struct {
	reader        *bufio.Reader
	longLine      []byte // the current line if it exceeds the read buffer
	batch         []byte // complete events, then the lines of the next one
	completeBytes int    // length of the complete events in batch
	// completeTokens is the number of tokens in the complete events, partialTokens
	// that in the next one.
	completeTokens, partialTokens int
	usage                         usage
}

func newEventStream(body io.Reader) *eventStream {
	return &eventStream{reader: bufio.NewReaderSize(body, readBufferBytes)}
}

// forwardEvents passes events to the sink until the end marker, an error event or the
// end of the stream, and returns how the attempt ended. An incomplete event at the end
// is dropped.
func (s *eventStream) forwardEvents(sink Sink) entry.AttemptOutcome {
	for {
		line, err := s.readLine()
		if err != nil {
			if s.flushEvents(sink) != nil {
				return entry.OutcomeCallerSlow
			}
			return entry.OutcomeBroke
		}
		if end := s.addLine(line); end != "" {
			if s.flushEvents(sink) != nil {
				return entry.OutcomeCallerSlow
			}
			return end
		}
		if s.nextLineIncomplete() && s.flushEvents(sink) != nil {
			return entry.OutcomeCallerSlow
		}
	}
}

// addLine adds a line to the current event; an empty line completes it. If the line
// ends the stream, it returns how, otherwise the empty string. An event counts as one
// token unless its choices are empty.
func (s *eventStream) addLine(line []byte) entry.AttemptOutcome {
	if len(line) == 0 {
		if len(s.batch) > s.completeBytes {
			s.batch = append(s.batch, '\n')
			s.completeBytes = len(s.batch)
			s.completeTokens, s.partialTokens = s.completeTokens+s.partialTokens, 0
		}
		return ""
	}
	data, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		return "" // comments and other fields
	}
	data = bytes.TrimPrefix(data, []byte(" "))
	switch {
	case bytes.Equal(data, doneData):
		return entry.OutcomeComplete
	case bytes.HasPrefix(data, errorPrefix):
		return entry.OutcomeError
	}
	if len(s.batch) == s.completeBytes && !bytes.Contains(data, emptyChoices) {
		s.partialTokens = 1
	}
	s.readUsage(data)
	s.batch = append(s.batch, "data: "...)
	s.batch = append(s.batch, data...)
	s.batch = append(s.batch, '\n')
	if len(s.batch)-s.completeBytes > maxEventBytes {
		return entry.OutcomeBroke
	}
	return ""
}

// readUsage stores the token count if an event has one.
func (s *eventStream) readUsage(data []byte) {
	if !bytes.Contains(data, usageField) {
		return
	}
	var event struct {
		Usage usage `json:"usage"`
	}
	if json.Unmarshal(data, &event) == nil {
		s.usage = event.Usage
	}
}

// nextLineIncomplete reports whether the next line is not yet fully buffered, so that
// reading it could block.
func (s *eventStream) nextLineIncomplete() bool {
	buffered, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.IndexByte(buffered, '\n') < 0
}

// flushEvents passes the complete events in batch to the sink and removes them.
func (s *eventStream) flushEvents(sink Sink) error {
	if s.completeBytes == 0 {
		return nil
	}
	err := sink.Events(s.batch[:s.completeBytes], s.completeTokens)
	s.batch = append(s.batch[:0], s.batch[s.completeBytes:]...)
	s.completeBytes, s.completeTokens = 0, 0
	return err
}

// readLine returns the next line without its line ending. The slice is valid until the
// next call.
func (s *eventStream) readLine() ([]byte, error) {
	chunk, err := s.reader.ReadSlice('\n')
	if err == nil {
		return trimLineEnd(chunk), nil
	}
	s.longLine = s.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		s.longLine = append(s.longLine, chunk...)
		if len(s.longLine) > maxEventBytes {
			return nil, errEventTooLarge
		}
		chunk, err = s.reader.ReadSlice('\n')
	}
	if errors.Is(err, io.EOF) && len(chunk)+len(s.longLine) > 0 {
		err = nil // the last line may have no line ending
	}
	s.longLine = append(s.longLine, chunk...)
	return trimLineEnd(s.longLine), err
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
