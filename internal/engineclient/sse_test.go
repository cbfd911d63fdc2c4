package engineclient

import (
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/target"
)

type fakeSink struct {
	events strings.Builder
	tokens int
	calls  int
}

func (s *fakeSink) Header(int, http.Header) error { return nil }
func (s *fakeSink) Body([]byte) error             { return nil }
func (s *fakeSink) Report(target.Report)          {}
func (s *fakeSink) Events(p []byte, tokens int) error {
	s.events.Write(p)
	s.tokens += tokens
	s.calls++
	return nil
}

func TestEventStreamForwardsOnlyCompleteEvents(t *testing.T) {
	long := strings.Repeat("x", 3*readBufferBytes)
	for name, tc := range map[string]struct {
		in, out string
		tokens  int
		end     entry.AttemptOutcome
	}{
		"whole":         {"data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n", "data: {\"a\":1}\n\ndata: {\"b\":2}\n\n", 2, entry.OutcomeComplete},
		"other spacing": {":hi\r\nevent: x\r\ndata:{\"a\":1}\r\n\r\ndata:[DONE]", "data: {\"a\":1}\n\n", 1, entry.OutcomeComplete},
		"cut event":     {"data: {\"a\":1}\n\ndata: {\"b\":", "data: {\"a\":1}\n\n", 1, entry.OutcomeBroke},
		"cut blank":     {"data: {\"a\":1}\n\ndata: {\"b\":2}\n", "data: {\"a\":1}\n\n", 1, entry.OutcomeBroke},
		"several lines": {"data: {\"a\":\ndata: 1}\n\ndata: [DONE]\n\n", "data: {\"a\":\ndata: 1}\n\n", 1, entry.OutcomeComplete},
		"long line":     {"data: " + long + "\n\ndata: [DONE]\n\n", "data: " + long + "\n\n", 1, entry.OutcomeComplete},
		"usage only":    {"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5}}\n\ndata: [DONE]\n\n", "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5}}\n\n", 0, entry.OutcomeComplete},
		"error event":   {"data: {\"a\":1}\n\ndata: {\"error\":{}}\n\n", "data: {\"a\":1}\n\n", 1, entry.OutcomeError},
		"empty":         {"", "", 0, entry.OutcomeBroke},
		"huge event":    {"data: " + strings.Repeat("y", maxEventBytes+1) + "\n\n", "", 0, entry.OutcomeBroke},
	} {
		for _, slow := range []bool{false, true} {
			if slow && len(tc.in) > 1<<16 {
				continue
			}
			stream := newEventStream(strings.NewReader(tc.in))
			if slow {
				stream = newEventStream(iotest.OneByteReader(strings.NewReader(tc.in)))
			}
			var sink fakeSink
			must.Eq(t, tc.end, stream.forwardEvents(&sink), must.Sprint(name, slow))
			must.Eq(t, tc.out, sink.events.String(), must.Sprint(name, slow))
			must.Eq(t, tc.tokens, sink.tokens, must.Sprint(name, slow))
		}
	}
}

func TestBufferedEventsAreForwardedInOneCall(t *testing.T) {
	var sink fakeSink
	stream := newEventStream(strings.NewReader(strings.Repeat("data: {}\n\n", 100) + "data: {\"usage\":{\"prompt_tokens\":7,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n\ndata: [DONE]\n\n"))
	must.Eq(t, entry.OutcomeComplete, stream.forwardEvents(&sink))
	must.Eq(t, 101, sink.tokens)
	must.Eq(t, 1, sink.calls)
	must.Eq(t, 7, stream.usage.PromptTokens)
	must.Eq(t, 3, stream.usage.PromptDetails.CachedTokens)
}

func FuzzEventStream(f *testing.F) {
	for _, seed := range []string{"data: {}\n\ndata: [DONE]\n\n", "data:\r\n\r\n", ":\n\n\n", "data: a\ndata: b\n\n", "\x00data"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		var whole, slow fakeSink
		end := newEventStream(strings.NewReader(in)).forwardEvents(&whole)
		must.Eq(t, end, newEventStream(iotest.OneByteReader(strings.NewReader(in))).forwardEvents(&slow))
		must.Eq(t, whole.events.String(), slow.events.String())
		must.Eq(t, whole.tokens, slow.tokens)
		for event := range strings.SplitSeq(strings.TrimSuffix(whole.events.String(), "\n\n"), "\n\n") {
			must.True(t, event == "" || strings.HasPrefix(event, "data: "))
		}
	})
}
