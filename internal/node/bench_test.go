package node

import (
	"net/http"
	"testing"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/request"
)

// BenchmarkToken passes one token at a time from an attempt to the reader. It
// includes the entry's step for each token but no sockets.
func BenchmarkToken(b *testing.B) {
	n, _ := newTestNode(b, closedAddress(b))
	x := n.Submit(entry.RequestArrived{Workspace: "museum", Model: "draft", PromptBytes: 4, MaxTokens: 1 << 20},
		Upstream{Completion: true, Method: http.MethodPost, Path: "/v1/completions"})
	var attempt request.AttemptID
	n.mu.Lock()
	attempt = x.answer.currentAttempt
	n.mu.Unlock()
	event := []byte(`data: {"id":"cmpl-1","object":"text_completion","created":0,"model":"draft","choices":[{"index":0,"text":"word ","finish_reason":null}]}` + "\n\n")
	sink := &attemptSink{ctx: b.Context(), node: n, answer: x.answer, send: entry.Send{Request: x.id, Attempt: attempt, Target: "a"}}
	b.ReportAllocs()
	for b.Loop() {
		_ = sink.Events(event, 1)
		if _, p, _ := x.Reader().Next(nil); len(p) == 0 {
			b.Fatal("no token passed")
		}
	}
}
