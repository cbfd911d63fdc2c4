package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingCounter keeps counts by counter name and reason, separated by a space.
type recordingCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *recordingCounter) Add(name, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name+" "+reason]++
}

// newTestNode returns a node whose configuration has the model "draft" on two
// targets, both at address.
func newTestNode(t testing.TB, address string) (*Node, *recordingCounter) {
	t.Helper()
	client := engineclient.New(time.Second)
	counts := &recordingCounter{counts: map[string]int{}}
	n := New(Options{Entry: entry.Options{Name: "entry-0", Seed: 1}, Client: client, Log: logr.Discard(), Counter: counts})
	t.Cleanup(func() {
		n.Close()
		client.Close()
	})
	n.AdoptConfiguration(configuration.Accepted{Revision: 1, Intent: configuration.Intent{
		Version:    configuration.SchemaVersion,
		Models:     []configuration.Model{{Name: "draft", ContextTokens: 1 << 20}},
		Workspaces: []configuration.Workspace{{Name: "museum"}},
		Pools: []configuration.Pool{{
			Name: "drafting", Kind: configuration.PoolEngine, Models: []string{"draft"},
			Targets: []configuration.Target{{Name: "a", Address: address}, {Name: "b", Address: address}},
		}},
	}})
	return n, counts
}

// readAll returns everything that the caller's reader gets until the request has
// its outcome.
func readAll(t *testing.T, x *Exchange) string {
	t.Helper()
	var b strings.Builder
	for {
		_, p, err := x.Reader().Next(nil)
		b.Write(p)
		if err != nil {
			must.ErrorIs(t, err, io.EOF)
			return b.String()
		}
	}
}

// TestSupersededAttemptIsNotDelivered guards against mixing two attempts into one
// answer: the first attempt's target keeps sending after the second attempt was
// started, and from then on only tokens of the second may reach the caller.
func TestSupersededAttemptIsNotDelivered(t *testing.T) {
	releaseFirst, releaseBoth := make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/v1/") {
			http.NotFound(w, r)
			return
		}
		rc := http.NewResponseController(w)
		if r.Header.Get(engineclient.HeaderResume) == "" {
			io.WriteString(w, "data: {\"t\":\"0 \"}\n\n")
			rc.Flush()
			<-releaseFirst
			io.WriteString(w, "data: {\"t\":\"late \"}\n\n")
			rc.Flush()
			<-releaseBoth
			return
		}
		<-releaseBoth
		io.WriteString(w, "data: {\"t\":\"1 \"}\n\ndata: [DONE]\n\n")
	}))
	defer srv.Close()
	n, counts := newTestNode(t, srv.Listener.Addr().String())
	x := n.Submit(entry.RequestArrived{Workspace: "museum", Model: "draft", PromptBytes: 4, MaxTokens: 2},
		Upstream{Completion: true, Method: http.MethodPost, Path: "/v1/completions"})
	_, p, err := x.Reader().Next(nil)
	must.NoError(t, err)
	got := string(p)
	n.Step(entry.AttemptEnd{Attempt: 1, Outcome: entry.OutcomeBroke}) // makes the entry start the second attempt while the first still runs
	close(releaseFirst)
	waitForCount(counts, "answers_dropped late-tokens")
	close(releaseBoth)
	got += readAll(t, x)
	must.Eq(t, "data: {\"t\":\"0 \"}\n\ndata: {\"t\":\"1 \"}\n\n", got)
	must.Eq(t, result.Complete, x.End().Code)
}

// waitForCount blocks until the counter under key is positive.
func waitForCount(c *recordingCounter, key string) {
	for {
		c.mu.Lock()
		n := c.counts[key]
		c.mu.Unlock()
		if n > 0 {
			return
		}
		runtime.Gosched()
	}
}

// TestAnswerBufferStaysWithinBounds checks that an answer far larger than the
// buffer limits reaches its reader whole, that the buffer stays bounded meanwhile,
// and that the target is held back once too much is unread.
func TestAnswerBufferStaysWithinBounds(t *testing.T) {
	n, _ := newTestNode(t, closedAddress(t))
	x := newExchange(n, 1, Upstream{})
	a := x.answer
	part := []byte(strings.Repeat("x", 1000))
	var got int
	for range 5000 {
		must.NoError(t, a.waitForReader(t.Context()))
		a.appendBytes(part)
		_, p, err := x.Reader().Next(nil)
		must.NoError(t, err)
		got += len(p)
		must.Less(t, maxUnreadBytes, len(a.buffer))
	}
	must.Eq(t, 5_000_000, got)
	must.Nil(t, a.addReader(x)) // the first byte is no longer buffered

	for a.unreadBytes() <= maxUnreadBytes {
		a.appendBytes(part)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.ErrorIs(t, a.waitForReader(ctx), context.Canceled)
}

// TestLaggingReaderIsCutOff guards against a reader that stalls the others: two
// requests read one answer, and one of them never reads. The other must get on,
// and the buffer must stay bounded.
func TestLaggingReaderIsCutOff(t *testing.T) {
	n, _ := newTestNode(t, closedAddress(t))
	x := newExchange(n, 1, Upstream{Completion: true})
	joined := newExchange(n, 2, Upstream{Completion: true})
	joined.joinAnswer(x)
	part := []byte(strings.Repeat("x", 1000))
	for range 3000 {
		must.NoError(t, x.answer.waitForReader(t.Context()))
		x.answer.appendBytes(part)
		_, _, err := joined.Reader().Next(nil)
		must.NoError(t, err)
	}
	_, _, err := x.Reader().Next(nil)
	must.ErrorIs(t, err, ErrSlow)
	must.Less(t, maxReaderLagBytes+maxUnreadBytes, len(x.answer.buffer))
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}
