package operatorapi

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/entry"
)

// fakeNode returns a fixed result for every command and records the last one.
type fakeNode struct {
	lastCommand entry.OperatorCommand
	result      entry.CommandResult
	err         error
}

func (n *fakeNode) Operate(_ context.Context, command entry.OperatorCommand) (entry.CommandResult, error) {
	n.lastCommand = command
	return n.result, n.err
}

func newTestHandler(n *fakeNode, log *[]string) http.Handler {
	return New(Options{
		Node: n, Operators: []Operator{{Name: "ana", TokenHash: HashToken("secret")}, {Name: "blas", TokenHash: HashToken("other")}},
		Metrics: http.NotFoundHandler(), Ready: func() bool { return false },
		Log: funcr.New(func(_, args string) { *log = append(*log, args) }, funcr.Options{}),
	})
}

func newRequest(method, path, token, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return r
}

func TestCommandsRequireAnOperatorAndAreLogged(t *testing.T) {
	certified := newRequest(http.MethodPost, "/v1/plans/00ff/confirmation", "", "")
	certified.TLS = &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{{Subject: pkix.Name{CommonName: "carla"}}}}}
	unverified := newRequest(http.MethodPost, "/v1/plans/00ff/confirmation", "", "")
	unverified.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{{Subject: pkix.Name{CommonName: "mallory"}}}}
	for _, tc := range []struct {
		name     string
		request  *http.Request
		operator string
	}{
		{"token", newRequest(http.MethodPost, "/v1/plans/00ff/confirmation", "secret", ""), "ana"},
		{"second token", newRequest(http.MethodPost, "/v1/plans/00ff/confirmation", "other", ""), "blas"},
		{"certificate", certified, "carla"},
		{"certificate that was not verified", unverified, ""},
		{"wrong token", newRequest(http.MethodPost, "/v1/plans/00ff/confirmation", "guess", ""), ""},
		{"hash in place of the token", newRequest(http.MethodGet, "/v1/status", HashToken("secret"), ""), ""},
		{"nothing", newRequest(http.MethodGet, "/v1/status", "", ""), ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var log []string
			n := &fakeNode{}
			w := httptest.NewRecorder()
			newTestHandler(n, &log).ServeHTTP(w, tc.request)
			must.Eq(t, tc.operator, n.lastCommand.Operator)
			if tc.operator == "" {
				must.Eq(t, http.StatusUnauthorized, w.Code)
				return
			}
			must.Eq(t, "00ff", n.lastCommand.Confirm)
			must.False(t, n.lastCommand.At.IsZero())
			must.StrContains(t, log[0], `"operator"="`+tc.operator+`"`)
			must.StrNotContains(t, log[0], "secret")
		})
	}
}

func TestResultsMapToHTTPStatus(t *testing.T) {
	confirmed := func(v configuration.Verdict) entry.CommandResult {
		return entry.CommandResult{Confirmation: &entry.Confirmation{Verdict: v}}
	}
	for _, tc := range []struct {
		answer entry.CommandResult
		err    error
		status int
	}{
		{confirmed(configuration.VerdictAccepted), nil, http.StatusOK},
		{confirmed(configuration.VerdictNotAccepted), nil, http.StatusConflict},
		{confirmed(configuration.VerdictStoreBehind), nil, http.StatusConflict},
		{confirmed(configuration.VerdictUnavailable), nil, http.StatusServiceUnavailable},
		{confirmed(configuration.VerdictUnknown), nil, http.StatusGatewayTimeout},
		{entry.CommandResult{}, errors.New("too slow"), http.StatusGatewayTimeout}, // the confirmation may still take effect
		{entry.CommandResult{Failure: entry.CommandFailureNoPlan}, nil, http.StatusNotFound},
		{entry.CommandResult{Failure: entry.CommandFailureBehind}, nil, http.StatusConflict},
		{entry.CommandResult{Failure: entry.CommandFailureUnavailable}, nil, http.StatusServiceUnavailable},
	} {
		var log []string
		w := httptest.NewRecorder()
		newTestHandler(&fakeNode{result: tc.answer, err: tc.err}, &log).ServeHTTP(w, newRequest(http.MethodPost, "/v1/plans/00ff/confirmation", "secret", ""))
		must.Eq(t, tc.status, w.Code, must.Sprintf("%+v", tc.answer))
	}
}

func TestInvalidRequestsDoNotReachTheNode(t *testing.T) {
	for path, body := range map[string]string{
		"/v1/plans":       `{"version":1,"pool":[]}`,
		"/v1/edits":       `{"drian":["x"]}`,
		"/v1/rollbacks/0": ``,
	} {
		var log []string
		n := &fakeNode{}
		w := httptest.NewRecorder()
		newTestHandler(n, &log).ServeHTTP(w, newRequest(http.MethodPost, path, "secret", body))
		must.Eq(t, http.StatusUnprocessableEntity, w.Code, must.Sprint(path))
		must.Eq(t, "", n.lastCommand.Operator)
	}
}

func TestParseOperatorsReportsEveryInvalidLine(t *testing.T) {
	got, err := ParseOperators(strings.NewReader("# people\n\nana " + HashToken("secret") + "\n"))
	must.NoError(t, err)
	must.Eq(t, []Operator{{Name: "ana", TokenHash: HashToken("secret")}}, got)
	_, err = ParseOperators(strings.NewReader("ana secret\nblas\n"))
	must.ErrorContains(t, err, "line 1")
	must.ErrorContains(t, err, "line 2")
}

func FuzzParseOperators(f *testing.F) {
	f.Add("ana " + HashToken("secret"))
	f.Add("# x\n\n a b c")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := ParseOperators(strings.NewReader(text))
		for _, op := range got {
			must.NoError(t, err)
			must.Eq(t, 64, len(op.TokenHash))
		}
	})
}
