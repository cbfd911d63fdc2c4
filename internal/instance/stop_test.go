package instance

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/httpapi"
	"github.com/medlardeck/medlardeck/internal/operatorapi"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
	platformstandin "github.com/medlardeck/medlardeck/internal/standin/platform"
)

// answered is what a caller got: the error is that of the connection.
type answered struct {
	name       string
	status     int
	code       string
	retryAfter string
	body       string
	err        error
}

// readAnswer sends a request and reads its answer to the end.
func readAnswer(name string, req *http.Request) answered {
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return answered{name: name, err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answered{name, resp.StatusCode, resp.Header.Get(httpapi.HeaderCode), resp.Header.Get("Retry-After"), string(body), err}
}

func newPost(t *testing.T, url, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer key")
	return req
}

// startSilentTarget accepts requests and answers none; received gets a value for each.
func startSilentTarget(t *testing.T) (address string, received <-chan struct{}) {
	t.Helper()
	ln := listen(t)
	arrivals := make(chan struct{}, 16)
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrivals <- struct{}{}
		<-r.Context().Done()
	})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String(), arrivals
}

// startBusyInstance starts an instance with an engine that has memory for two long
// completions, and a route to a target that never answers.
func startBusyInstance(t *testing.T, stopLag time.Duration) (inst *Instance, url string, booked <-chan struct{}) {
	t.Helper()
	intent := testIntent()
	addEngine(t, &intent, engine.Options{KVCapacityTokens: 12_000})
	silent, booked := startSilentTarget(t)
	intent.Routes = []configuration.Route{{Name: "bookings", Prefix: "/bookings", Pool: "booking"}}
	intent.Pools = append(intent.Pools, configuration.Pool{
		Name: "booking", Kind: configuration.PoolService, Targets: []configuration.Target{{Name: "booking-0", Address: silent}},
	})
	inst, address := startInstanceWithIntent(t, intent, Options{Entry: entry.Options{StopLag: stopLag}})
	time.Sleep(300 * time.Millisecond) // until the engine has reported its memory
	return inst, "http://" + address, booked
}

// awaitGauge waits until a gauge of the instance has the value.
func awaitGauge(t *testing.T, inst *Instance, name string, value int) {
	t.Helper()
	for _, g := range entry.Gauges() {
		if g.Name != name {
			continue
		}
		for deadline := time.Now().Add(5 * time.Second); inst.Node.GaugeValue(g) != value; time.Sleep(10 * time.Millisecond) {
			must.True(t, time.Now().Before(deadline), must.Sprintf("%s is %d, not %d", name, inst.Node.GaugeValue(g), value))
		}
	}
}

// longCompletion returns the body of a completion whose prompt takes 2,500 tokens of an
// engine's memory and whose answer takes a minute.
func longCompletion(stream bool, name string) string {
	return fmt.Sprintf(`{"model":"draft","stream":%t,"max_tokens":3000,"prompt":"%s"}`, stream, strings.Repeat(fmt.Sprintf("%-10s", name), 1000))
}

// startUpload sends the head of a completion and half of its body.
func startUpload(t *testing.T, url string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	must.NoError(t, err)
	body := longCompletion(false, "upload")
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
	must.NoError(t, err)
	return conn
}

// Failure: when the time of a stop is over, the connections of everything that is still
// open are closed without an answer: of requests that wait, that were sent, that stream
// and that are being read.
func TestRequestsThatOutlastAStopGetAnAnswer(t *testing.T) {
	inst, url, booked := startBusyInstance(t, 200*time.Millisecond)
	answers := make(chan answered, 8)
	ask := func(name string, req *http.Request) { go func() { answers <- readAnswer(name, req) }() }

	streaming := newPost(t, url+"/v1/completions", longCompletion(true, "streaming"))
	ask("streaming", streaming)
	time.Sleep(500 * time.Millisecond) // until the engine has reported what it takes
	ask("whole", newPost(t, url+"/v1/completions", longCompletion(false, "whole")))
	awaitGauge(t, inst, "requests", 2)
	awaitGauge(t, inst, "requests_waiting", 0)
	time.Sleep(500 * time.Millisecond)
	ask("waiting", newPost(t, url+"/v1/completions", longCompletion(false, "waiting")))
	ask("booking", newPost(t, url+"/bookings/1", "{}"))
	<-booked
	awaitGauge(t, inst, "requests_waiting", 1)
	upload := startUpload(t, url)
	defer upload.Close()

	const timeout = 2 * time.Second
	begin := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	must.ErrorIs(t, inst.Stop(ctx), context.DeadlineExceeded)
	took := time.Since(begin)

	got := map[string]answered{}
	for range 4 {
		a := <-answers
		got[a.name] = a
		t.Logf("%s: status %d code %s retry-after %s: %v", a.name, a.status, a.code, a.retryAfter, a.err)
	}
	must.NoError(t, got["waiting"].err)
	must.Eq(t, fmt.Sprint(int(result.Stopping)), got["waiting"].code)
	must.Eq(t, http.StatusServiceUnavailable, got["waiting"].status)
	must.NotEq(t, "", got["waiting"].retryAfter)
	must.NoError(t, got["booking"].err)
	must.Eq(t, fmt.Sprint(int(result.StopAfterSend)), got["booking"].code)
	must.NoError(t, got["whole"].err)
	must.Eq(t, fmt.Sprint(int(result.StopRunning)), got["whole"].code)
	must.True(t, errors.Is(got["streaming"].err, io.ErrUnexpectedEOF), must.Sprintf("%v", got["streaming"].err))
	must.StrContains(t, got["streaming"].body, fmt.Sprint(int(result.StopRunning)))
	must.StrNotContains(t, got["streaming"].body, "[DONE]")
	resp, err := http.ReadResponse(bufio.NewReader(upload), nil)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, fmt.Sprint(int(result.Stopping)), resp.Header.Get(httpapi.HeaderCode))
	must.Less(t, timeout, took)
}

// Failure: a request whose body begins to arrive when nothing else is in flight any more
// is cut without an answer at the end of the stop.
func TestUploadAfterTheLastRequestOfAStopIsRefused(t *testing.T) {
	inst, address := startInstanceWithIntent(t, testIntent(), Options{Entry: entry.Options{StopLag: 200 * time.Millisecond}})
	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	go func() { stopped <- inst.Stop(ctx) }()
	<-inst.Node.Stopped()
	upload := startUpload(t, "http://"+address)
	defer upload.Close()
	must.Eq(t, fmt.Sprint(int(result.Stopping)), readResponse(t, bufio.NewReader(upload)).Header.Get(httpapi.HeaderCode))
	must.ErrorIs(t, <-stopped, context.DeadlineExceeded)
}

// Failure: a stop closes the connection of an operator whose command is being carried
// out, so that nobody learns its outcome.
func TestStopAnswersOperatorsCommandsInProgress(t *testing.T) {
	const storeLatency = 500 * time.Millisecond
	platform := platformstandin.New(platformstandin.Options{}).Handler()
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		platform.ServeHTTP(w, r)
	}))
	defer store.Close()
	operators := listen(t)
	opts := Options{Operators: operators, PlatformURL: store.URL, OperatorKeys: []operatorapi.Operator{{Name: "ana", TokenHash: operatorapi.HashToken("token")}}}
	inst, _ := startInstanceWithIntent(t, testIntent(), opts)
	answers := make(chan answered, 1)
	req, err := http.NewRequest(http.MethodGet, "http://"+operators.Addr().String()+"/v1/history", nil)
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer token")
	go func() { answers <- readAnswer("history", req) }()
	time.Sleep(storeLatency / 2) // the command waits for the store
	must.NoError(t, inst.Stop(t.Context()))
	got := <-answers
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
}
