package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/entry"
	standin "github.com/medlardeck/medlardeck/internal/standin/platform"
)

// run carries out a command line and returns its exit code and output.
func run(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = Main(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func planOf(t *testing.T, args ...string) configuration.Plan {
	t.Helper()
	code, out, errs := run(append([]string{"plan", "-o", "json"}, args...)...)
	must.Eq(t, exitOK, code, must.Sprint(errs))
	var p configuration.Plan
	must.NoError(t, json.Unmarshal([]byte(out), &p))
	return p
}

func TestOperatorsCommandsEndToEnd(t *testing.T) {
	d, err := dev.Start(dev.Options{Log: logr.Discard()})
	must.NoError(t, err)
	defer d.Close()
	t.Setenv(envOperators, d.Operators[0]+","+d.Operators[1])
	t.Setenv(envToken, dev.OperatorToken)

	code, out, errs := run("plan", "drain", "engine-00")
	must.Eq(t, exitOK, code, must.Sprint(errs))
	must.StrContains(t, out, "drains/targets/engine-00")
	must.StrContains(t, out, "capacity lost: 1 of 5 targets of pool drafting in domain-a")

	drain, limit := planOf(t, "drain", "engine-00"), planOf(t, "limit", "museum", "500")
	code, out, _ = run("confirm", drain.ID)
	must.Eq(t, exitOK, code)
	must.StrContains(t, out, "is revision 2")
	must.StrContains(t, out, "in force at 4 of 4 instances")
	code, out, _ = run("confirm", limit.ID)
	must.Eq(t, exitConflict, code)
	must.StrContains(t, out, "engine-00") // the other's change
	code, _, errs = run("confirm", "0123456789abcdef")
	must.Eq(t, exitInvalid, code, must.Sprint(errs))

	_, out, _ = run("status")
	must.StrContains(t, out, "leaving")
	code, out, _ = run("rollback", "1", "-o", "json")
	must.Eq(t, exitOK, code)
	var back configuration.Plan
	must.NoError(t, json.Unmarshal([]byte(out), &back))
	code, _, _ = run("confirm", back.ID)
	must.Eq(t, exitOK, code)
	_, out, _ = run("history")
	must.Eq(t, 4, strings.Count(out, "\n")) // a heading and three revisions

	file := filepath.Join(t.TempDir(), "intent.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"version":1,"workspace":[]}`), 0o600))
	code, _, errs = run("plan", "-f", file)
	must.Eq(t, exitInvalid, code)
	must.StrContains(t, errs, "workspace: unknown field")

	d.Platform.SetFaults(standin.Faults{Outage: true})
	code, _, errs = run("plan", "drain", "engine-01")
	must.Eq(t, exitUnavailable, code, must.Sprint(errs))

	t.Setenv(envToken, "guess")
	code, _, errs = run("status")
	must.Eq(t, exitError, code)
	must.StrContains(t, errs, "unauthenticated")
}

func TestLostAnswerOfAConfirmationIsUnknown(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, entry.CommandResult{Confirmation: &entry.Confirmation{Verdict: configuration.VerdictUnavailable}})
	}))
	defer refusing.Close()
	for _, urls := range []string{broken.URL, broken.URL + "," + refusing.URL} {
		code, out, _ := run("confirm", "-operators", urls, "0123456789abcdef")
		must.Eq(t, exitUnknown, code)
		must.StrContains(t, out, "unknown")
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close() // refuses connections, so nothing was sent to it
	code, out, _ := run("confirm", "-operators", gone.URL+","+refusing.URL, "0123456789abcdef")
	must.Eq(t, exitUnavailable, code)
	must.StrContains(t, out, "not sent")
}

func TestKeysAreMadeAndHashed(t *testing.T) {
	code, out, _ := run("keys", "-o", "json", "new")
	must.Eq(t, exitOK, code)
	var pair struct{ Key, Hash string }
	must.NoError(t, json.Unmarshal([]byte(out), &pair))
	var hashed bytes.Buffer
	must.Eq(t, exitOK, hashKeys(strings.NewReader(pair.Key+"\n"), &hashed, &hashed))
	must.Eq(t, pair.Hash+"\n", hashed.String())
}
