package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/settings"
	platformstandin "github.com/medlardeck/medlardeck/internal/standin/platform"
)

func TestServeListsEveryFault(t *testing.T) {
	t.Setenv("MEDLARDECK_STOP_LAG", "soon")
	var stderr bytes.Buffer
	code := Main([]string{"serve", "-peers-address", "10.0.0.1:1", "-callers-cert", "c.pem", "-max-body-bytes", "many", "-join", "nowhere"}, &stderr, &stderr)
	must.Eq(t, exitUsage, code)
	for _, want := range []string{
		"-name or MEDLARDECK_NAME is required", "-failure-domain or", "-platform or", "-callers-cert needs -callers-key",
		"MEDLARDECK_STOP_LAG", "-max-body-bytes", `address "nowhere"`, "-peers-cert is required",
	} {
		must.StrContains(t, stderr.String(), want)
	}
}

func TestServeFaultsOfFilesAreListed(t *testing.T) {
	var stderr bytes.Buffer
	c := &serveSettings{callers: files{cert: "missing-cert.pem"}, operatorsFile: "missing-operators"}
	must.Eq(t, exitError, c.serve(t.Context(), &stderr))
	must.StrContains(t, stderr.String(), "missing-cert.pem")
	must.StrContains(t, stderr.String(), "missing-operators")
}

func TestServeStopsWithoutAFault(t *testing.T) {
	store := httptest.NewServer(platformstandin.New(platformstandin.Options{}).Handler())
	defer store.Close()
	operators := filepath.Join(t.TempDir(), "operators")
	must.NoError(t, os.WriteFile(operators, []byte("owner "+strings.Repeat("0", 64)+"\n"), 0o600))
	var c serveSettings
	var stderr bytes.Buffer
	set := settings.New("serve", &stderr)
	c.define(set)
	must.NoError(t, set.Parse([]string{
		"-name", "entry-0", "-failure-domain", "domain-a", "-platform", store.URL, "-operators-file", operators, "-stop-lag", "0s",
		"-callers-address", "127.0.0.1:0", "-operators-address", "127.0.0.1:0", "-peers-address", "127.0.0.1:0",
	}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.Eq(t, exitOK, c.serve(ctx, &stderr))
	for _, event := range []string{"msg=serving", "msg=stopping", "msg=stopped"} {
		must.StrContains(t, stderr.String(), event)
	}
}

// output is a buffer that is written and read at the same time.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) contains(text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Contains(o.buf.String(), text)
}

// Failure: a second signal ends the process in the middle of a planned stop, and with it
// the requests in flight.
func TestSecondSignalDoesNotCutAPlannedStop(t *testing.T) {
	const stopLag = 300 * time.Millisecond
	store := httptest.NewServer(platformstandin.New(platformstandin.Options{}).Handler())
	defer store.Close()
	var stderr output
	ended := make(chan int, 1)
	go func() {
		ended <- Main([]string{
			"serve", "-name", "entry-0", "-failure-domain", "domain-a", "-platform", store.URL, "-stop-lag", stopLag.String(),
			"-callers-address", "127.0.0.1:0", "-operators-address", "127.0.0.1:0", "-peers-address", "127.0.0.1:0",
		}, io.Discard, &stderr)
	}()
	for deadline := time.Now().Add(10 * time.Second); !stderr.contains("msg=serving"); time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline))
	}
	begin := time.Now()
	for range 2 {
		must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		time.Sleep(50 * time.Millisecond)
	}
	must.Eq(t, exitOK, <-ended)
	must.Greater(t, 2*stopLag, time.Since(begin)) // refusals after the lag have a lag of their own
}

func TestStandinNeedsAKnownName(t *testing.T) {
	var stderr bytes.Buffer
	must.Eq(t, exitUsage, Main([]string{"standin", "printer"}, &stderr, &stderr))
	must.Eq(t, exitUsage, Main([]string{"standin", "engine"}, &stderr, &stderr))
	must.StrContains(t, stderr.String(), "-models or MEDLARDECK_MODELS is required")
}

func TestExampleIntentIsValid(t *testing.T) {
	raw, err := os.ReadFile("../../examples/loopback.json")
	must.NoError(t, err)
	var in configuration.Intent
	must.NoError(t, json.Unmarshal(raw, &in))
	must.Len(t, 0, configuration.Validate(&in))
}
