package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/result"
)

// Limits on callers where the configuration names none.
const (
	defaultMaxBody  = 4 << 20
	defaultTimeLeft = 60 * time.Second
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 15 * time.Second
	// configPatience is how long a request waits for the first configuration,
	// which takes one call to the store.
	configPatience = 300 * time.Millisecond
	// staleRetryAfter is the wait asked of callers while this instance cannot
	// tell whether their route or key is known.
	staleRetryAfter = time.Second
)

// ServeHTTP serves one request of a caller.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	facts := n.opts.Dialect.ReadRequest(r.Header)
	n.awaitConfig(r.Context())
	config, stale := n.Config()
	body, err := readBody(w, r, config)
	if err != nil {
		n.rejectBody(w, facts, err)
		return
	}
	if config == nil {
		n.refuse(w, r, facts, result.NoConfiguration)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := config.Match(r.Host, path)
	if route == nil {
		n.deny(w, r, facts, http.StatusNotFound, result.UnknownRoute, stale)
		return
	}
	var caller *fleet.Workspace
	if config.Authenticates() && !route.Anonymous {
		if caller = config.Authenticate(facts.Key); caller == nil {
			n.deny(w, r, facts, http.StatusUnauthorized, result.Unauthenticated, stale)
			return
		}
	}
	x := newExchange(n, w, r, facts, body, route)
	left := facts.TimeLeft
	if left == 0 {
		left = defaultTimeLeft
	}
	n.submit(fleet.Arrive{
		ID: facts.ID, Route: route, Config: config, Caller: caller,
		PromptTokens: facts.PromptTokens, MaxAnswerTokens: facts.MaxAnswerTokens,
		ResumeAfter: x.lastID, Fingerprint: fingerprint(r, facts.Key, body),
	}, left, x)
	defer context.AfterFunc(r.Context(), func() { n.Step(fleet.CallerLeft{Request: x.id}) })()
	x.run()
}

// fingerprint identifies a request that its caller sends again.
func fingerprint(r *http.Request, key string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.RequestURI, key} {
		_, _ = d.WriteString(s) // a digest takes every write
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

func readBody(w http.ResponseWriter, r *http.Request, config *fleet.Config) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(defaultMaxBody)
	if config != nil && config.Limits.MaxBodyBytes > 0 {
		limit = int64(config.Limits.MaxBodyBytes)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

func (n *Node) rejectBody(w http.ResponseWriter, facts Facts, err error) {
	var tooLarge *http.MaxBytesError
	status, code := http.StatusBadRequest, result.BadRequest
	if errors.As(err, &tooLarge) {
		status, code = http.StatusRequestEntityTooLarge, result.BodyTooLarge
	}
	n.opts.Log.Info("request-rejected", "request", facts.ID, "code", int(code), "result", code.String(), "cause", err.Error())
	n.opts.Metrics.Add("refusals", code.String())
	w.Header().Set("Connection", "close")
	n.fail(w, facts.ID, status, fleet.Finish{Code: code})
}

// deny answers a request that the configuration does not allow. An instance
// whose configuration may be out of date refuses it instead.
func (n *Node) deny(w http.ResponseWriter, r *http.Request, facts Facts, status int, code result.Code, stale bool) {
	n.opts.Log.Info("request-denied", "request", facts.ID, "code", int(code), "result", code.String(),
		"host", r.Host, "path", r.URL.Path, "configuration_stale", stale)
	if stale {
		n.refuse(w, r, facts, result.NoConfiguration)
		return
	}
	n.opts.Metrics.Add("refusals", code.String())
	n.fail(w, facts.ID, status, fleet.Finish{Code: code})
}

// refuse answers a request before it reaches the decisions.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, facts Facts, code result.Code) {
	n.opts.Log.Info("request-refused", "request", facts.ID, "code", int(code), "result", code.String(), "host", r.Host)
	n.opts.Metrics.Add("refusals", code.String())
	n.fail(w, facts.ID, statusOf(code), fleet.Finish{Code: code, RetryAfter: staleRetryAfter})
}
