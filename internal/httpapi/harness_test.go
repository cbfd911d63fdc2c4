package httpapi

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
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
	"github.com/medlardeck/medlardeck/internal/node"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testKey = "key-museum"

// counts are the counters of a node under test.
type counts struct {
	mu     sync.Mutex
	values map[string]int
}

func (c *counts) Add(counter, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[counter+" "+reason]++
}

func (c *counts) get(counter, reason string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[counter+" "+reason]
}

// harness is one entry instance before engines and one service.
type harness struct {
	addr    string
	node    *node.Node
	engines []*engine.Engine
	client  *http.Client
	counts  *counts
}

func start(t testing.TB, opts Options, engines int, engineOpts engine.Options, service http.HandlerFunc) *harness {
	t.Helper()
	h := newHarness()
	in := configuration.Intent{
		Version: configuration.SchemaVersion,
		Models:  []configuration.Model{{Name: "draft", ContextTokens: 1 << 20}},
		Routes:  []configuration.Route{{Name: "desk", Prefix: "/desk", Pool: "desk"}},
	}
	for name, key := range map[string]string{"museum": testKey, "harbour": "key-harbour"} {
		sum := sha256.Sum256([]byte(key))
		in.Workspaces = append(in.Workspaces, configuration.Workspace{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}})
	}
	drafting := configuration.Pool{Name: "drafting", Kind: configuration.PoolEngine, Models: []string{"draft"}}
	for i := range engines {
		engineOpts.Models, engineOpts.Seed = drafting.Models, uint64(i)
		e, err := engine.Start("127.0.0.1:0", engineOpts)
		must.NoError(t, err)
		h.engines = append(h.engines, e)
		drafting.Targets = append(drafting.Targets, configuration.Target{Name: string(rune('a' + i)), Address: e.Addr()})
	}
	in.Pools = []configuration.Pool{drafting}
	if service != nil {
		desk := httptest.NewServer(service)
		t.Cleanup(desk.Close)
		in.Pools = append(in.Pools, configuration.Pool{
			Name: "desk", Kind: configuration.PoolService,
			Targets: []configuration.Target{{Name: "desk-0", Address: strings.TrimPrefix(desk.URL, "http://")}},
		})
	}
	h.run(t, opts, in)
	return h
}

func newHarness() *harness {
	return &harness{client: &http.Client{Transport: &http.Transport{}}, counts: &counts{values: map[string]int{}}}
}

// startAt is one entry instance before one target at an address.
func startAt(t testing.TB, address string) *harness {
	t.Helper()
	h := newHarness()
	sum := sha256.Sum256([]byte(testKey))
	h.run(t, Options{}, configuration.Intent{
		Version:    configuration.SchemaVersion,
		Models:     []configuration.Model{{Name: "draft", ContextTokens: 1 << 20}},
		Workspaces: []configuration.Workspace{{Name: "museum", KeyHashes: []string{hex.EncodeToString(sum[:])}}},
		Pools: []configuration.Pool{{
			Name: "drafting", Kind: configuration.PoolEngine, Models: []string{"draft"},
			Targets: []configuration.Target{{Name: "a", Address: address}},
		}},
	})
	return h
}

func (h *harness) run(t testing.TB, opts Options, in configuration.Intent) {
	client := engineclient.New(time.Second)
	h.node = node.New(node.Options{
		Entry: entry.Options{Name: "entry-0", Seed: 1}, Client: client, Log: logr.Discard(), Counter: h.counts,
	})
	h.node.AdoptConfiguration(configuration.Accepted{Revision: 1, Intent: in})
	opts.Counter = h.counts
	srv := httptest.NewUnstartedServer(New(h.node, opts))
	srv.Config.MaxHeaderBytes = MaxServerHeaderBytes
	srv.Config.ErrorLog = nil
	srv.Start()
	h.addr = srv.Listener.Addr().String()
	t.Cleanup(func() {
		h.client.CloseIdleConnections()
		srv.CloseClientConnections()
		h.node.Close()
		srv.Close()
		client.Close()
		for _, e := range h.engines {
			e.Close()
		}
	})
}

func fastEngine() engine.Options { return engine.Options{Speed: 100} }

// prompt returns the body of a completion and the raw value that the answer
// depends on.
func prompt(text string, limit int, more string) (body, raw string) {
	quoted, _ := json.Marshal(text)
	n, _ := json.Marshal(limit)
	return `{"model":"draft","max_tokens":` + string(n) + `,"prompt":` + string(quoted) + more + `}`, string(quoted)
}

// words is the answer that an engine gives, from one token to another.
func words(raw string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(engine.Word(engine.Digest([]byte(raw)), i))
	}
	return b.String()
}

func (h *harness) post(t testing.TB, path, body string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.addr+path, strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	return h.client.Do(req)
}

// errorCode returns the numbered result of an error answer.
func errorCode(t testing.TB, resp *http.Response) int {
	t.Helper()
	defer resp.Body.Close()
	var answer errorAnswer
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
	return answer.Error.Code
}

// eventText returns the text of streamed events, and whether the stream ended
// with its marker.
func eventText(t testing.TB, stream []byte) (text string, done bool) {
	t.Helper()
	events, done := bytes.CutSuffix(stream, doneEvent)
	var c collector
	must.NoError(t, c.add(events))
	return c.text.String(), done
}

// raw sends bytes over a plain connection.
func (h *harness) raw(t testing.TB, request string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.addr)
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, request)
	must.NoError(t, err)
	return conn
}

func rawRequest(proto, path, body string, headers ...string) string {
	length, _ := json.Marshal(len(body))
	return "POST " + path + " " + proto + "\r\nHost: x\r\nAuthorization: Bearer " + testKey +
		"\r\nContent-Length: " + string(length) + "\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n" + body
}

func readResponse(t testing.TB, conn net.Conn) (*http.Response, []byte) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	resp.Body.Close()
	return resp, body
}

// slow makes every step of the engines take so many times as long; 1 ends it.
func (h *harness) slow(times int) {
	for _, e := range h.engines {
		e.Command(engine.Faults{Slow: times})
	}
}

// until calls fn until it holds; each call gives other goroutines their turn.
func until(fn func() bool) {
	for !fn() {
		runtime.Gosched()
	}
}

// ownText returns the text of a stream that was cut short, before its error
// event.
func ownText(t testing.TB, stream []byte) string {
	t.Helper()
	events, _, _ := bytes.Cut(stream, []byte(`data: {"error"`))
	text, done := eventText(t, events)
	must.False(t, done)
	return text
}
