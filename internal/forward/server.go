package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlardeck/medlardeck/internal/fleet"
	"github.com/medlardeck/medlardeck/internal/result"
)

// Limits of requests; the default applies where the request sets none.
const (
	defaultTimeLeft = 60 * time.Second
	// firstConfigTimeout is how long a request waits for the first
	// configuration, which takes one call to the store.
	firstConfigTimeout = 300 * time.Millisecond
	// staleRetryAfter is the Retry-After value while this instance cannot tell
	// whether a route or key is known.
	staleRetryAfter = time.Second
)

// ServeHTTP handles one request of a caller.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) { n.serve(w, r, 0) }

// serve handles one request of a caller, or of a peer if it has attempts left.
func (n *Node) serve(w http.ResponseWriter, r *http.Request, attemptsLeft int) {
	n.unanswered.Add(1)
	defer n.unanswered.Add(-1)
	metadata := n.opts.HeaderCodec.ReadRequest(r.Header)
	n.awaitConfig(r.Context())
	config, stale := n.Config()
	var admitted *admission
	if config != nil { // else the body is read meanwhile, within the memory budget
		if admitted = n.admit(w, r, metadata, nil, config, stale); admitted == nil {
			return
		}
	}
	body, err := n.readBody(w, r, config)
	if err != nil {
		n.rejectUnreadableBody(w, r, metadata, err)
		return
	}
	defer body.release()
	if admitted == nil || r.ContentLength != 0 {
		// A body may take long to arrive: the configuration in force now decides.
		if config, stale = n.Config(); admitted == nil || config != admitted.config {
			if admitted = n.admit(w, r, metadata, body, config, stale); admitted == nil {
				return
			}
		}
	}
	x := newExchange(n, w, r, metadata, body, admitted.route)
	defer x.end()
	timeLeft := metadata.TimeLeft
	if timeLeft == 0 {
		timeLeft = defaultTimeLeft
	}
	n.submitRequest(fleet.RequestArrived{
		ID: metadata.ID, Route: admitted.route, Config: admitted.config, Caller: admitted.caller,
		PromptTokens: metadata.PromptTokens, MaxAnswerTokens: metadata.MaxAnswerTokens, SharedParts: metadata.SharedParts,
		WeightsVersion: metadata.WeightsVersion, LengthHint: metadata.LengthHint, ResumeAfter: x.lastEventID, Fingerprint: fingerprint(r, admitted.callerID(metadata), body),
		Relayed: attemptsLeft > 0, AttemptsLeft: attemptsLeft,
	}, timeLeft, x)
	defer context.AfterFunc(r.Context(), func() { n.Step(fleet.CallerLeft{Request: x.requestID}) })()
	x.runCommands()
}

// admission is what the configuration says of a request that it allows.
type admission struct {
	config *fleet.Config
	route  *fleet.Route
	caller *fleet.Workspace // nil for an anonymous request
}

// admit checks a request against a configuration, nil for none, which may be stale. It answers a request that is not
// allowed and returns nil. The body is nil if it has not been read.
func (n *Node) admit(w http.ResponseWriter, r *http.Request, metadata RequestMetadata, body *requestBody, config *fleet.Config, stale bool) *admission {
	if config == nil {
		closeUnlessRead(w, r, body)
		n.refuseRequest(w, r, metadata, result.NoConfiguration)
		return nil
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := config.Match(r.Host, path)
	if route == nil {
		closeUnlessRead(w, r, body)
		n.denyRequest(w, r, metadata, http.StatusNotFound, result.UnknownRoute, stale)
		return nil
	}
	var caller *fleet.Workspace
	if config.RequiresKeys() && !route.Anonymous {
		if caller = config.Authenticate(metadata.APIKey); caller == nil {
			closeUnlessRead(w, r, body)
			n.denyRequest(w, r, metadata, http.StatusUnauthorized, result.Unauthenticated, stale)
			return nil
		}
	}
	return &admission{config, route, caller}
}

// callerID returns what identifies a caller: its workspace, which may have several keys, or
// the key of an anonymous request, if it has one.
func (a *admission) callerID(metadata RequestMetadata) string {
	if a.caller != nil {
		return a.caller.Name
	}
	return metadata.APIKey
}

// fingerprint returns a hash that identifies a request when its caller sends it
// again.
func fingerprint(r *http.Request, callerID string, body *requestBody) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.RequestURI, callerID} {
		_, _ = d.WriteString(s) // writes to a digest cannot fail
		_, _ = d.Write([]byte{0})
	}
	_ = body.writeTo(d)
	return d.Sum64()
}

// denyRequest answers a request that the configuration does not allow. If the
// configuration may be out of date, the request is refused instead, so that the
// caller retries.
func (n *Node) denyRequest(w http.ResponseWriter, r *http.Request, metadata RequestMetadata, status int, code result.Code, stale bool) {
	n.refusals.info("request-denied", "request", metadata.ID, "code", int(code), "result", code.String(),
		"host", r.Host, "path", r.URL.Path, "configuration_stale", stale)
	if stale {
		n.refuseRequest(w, r, metadata, result.NoConfiguration)
		return
	}
	n.opts.Metrics.Add("refusals", code.String())
	n.writeError(w, metadata.ID, status, fleet.Finish{Code: code})
}

// RefuseHead records that a request is refused before its head has been read, and returns
// headers of the answer with the given status.
func (n *Node) RefuseHead(status int, code result.Code) http.Header {
	n.refusals.info("request-head-refused", "code", int(code), "result", code.String())
	n.opts.Metrics.Add("refusals", code.String())
	h := make(http.Header)
	h.Set(headerCode, strconv.Itoa(int(code)))
	setRetryAfter(h, status, staleRetryAfter)
	return h
}

// refuseRequest answers a request that is not passed to the decision core.
func (n *Node) refuseRequest(w http.ResponseWriter, r *http.Request, metadata RequestMetadata, code result.Code) {
	n.refusals.info("request-refused", "request", metadata.ID, "code", int(code), "result", code.String(), "host", r.Host)
	n.opts.Metrics.Add("refusals", code.String())
	n.writeError(w, metadata.ID, httpStatus(code), fleet.Finish{Code: code, RetryAfter: staleRetryAfter})
}
