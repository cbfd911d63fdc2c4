// Package httpapi answers callers: the completions and chat completions API
// with server-sent events, and plain services by route prefix. It turns
// requests into events and answers into bytes; it decides nothing.
package httpapi

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/medlardeck/medlardeck/internal/node"
	"github.com/medlardeck/medlardeck/internal/result"
)

// Defaults of Options.
const (
	// DefaultMaxBodyBytes holds a million tokens with room to spare.
	DefaultMaxBodyBytes = 16 << 20
	// DefaultMaxBufferedBytes holds a hundred prompts of a million tokens.
	DefaultMaxBufferedBytes = 512 << 20
	DefaultBodyTimeout      = time.Minute
	DefaultWriteTimeout     = 30 * time.Second
)

// Limits of a caller's headers, in bytes. The server's own limit, without a
// coded answer, has to lie above.
const (
	MaxHeaderBytes       = 32 << 10
	MaxServerHeaderBytes = 64 << 10
)

// Options bound what callers may take; zero values take the defaults.
type Options struct {
	// MaxBodyBytes bounds one body.
	MaxBodyBytes int64
	// MaxBufferedBytes bounds all bodies in memory; more are refused.
	MaxBufferedBytes int64
	// BodyTimeout is the time in which a body has to arrive.
	BodyTimeout time.Duration
	// WriteTimeout is the time in which a caller has to take one write.
	WriteTimeout time.Duration
	// Counter counts refusals of requests that the decisions never see; nil
	// counts none.
	Counter Counter
}

// Counter takes counts under a reason.
type Counter interface {
	Add(counter, reason string)
}

func (o Options) withDefaults() Options {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.MaxBufferedBytes == 0 {
		o.MaxBufferedBytes = DefaultMaxBufferedBytes
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = DefaultBodyTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	return o
}

// API answers callers through one node.
type API struct {
	node     *node.Node
	opts     Options
	buffered atomic.Int64 // bytes of bodies in memory
}

// New returns the callers' handler.
func New(n *node.Node, opts Options) http.Handler {
	a := &API{node: n, opts: opts.withDefaults()}
	// A path is never cleaned by a redirect: old callers would repeat a POST
	// as a GET.
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", a.completion).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", a.completion).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", a.models).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(a.service)
	r.NotFoundHandler = http.HandlerFunc(a.unknownRoute)
	r.MethodNotAllowedHandler = http.HandlerFunc(a.methodNotAllowed)
	return a.prepare(r)
}

func (a *API) unknownRoute(w http.ResponseWriter, _ *http.Request) {
	a.refuse(w, result.UnknownRoute, "")
}

func (a *API) methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	a.refuse(w, result.BadRequest, "the method is not allowed here")
}

// prepare refuses requests whose headers are too large. While the instance
// stops, each connection ends with the answer that it carries, so that none is
// left on which a request could cross its end.
func (a *API) prepare(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.node.Ready() {
			w.Header().Set("Connection", "close")
		}
		size := len(r.RequestURI)
		for name, values := range r.Header {
			for _, v := range values {
				size += len(name) + len(v)
			}
		}
		if size > MaxHeaderBytes {
			a.refuse(w, result.HeadersTooLarge, "")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// identified is a caller whose key was recognised.
type identified struct {
	workspace string
	id        string // a hash of the key
}

// authenticate identifies the caller by its key, or writes a refusal.
func (a *API) authenticate(w http.ResponseWriter, r *http.Request) (identified, bool) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		key = r.Header.Get("X-Api-Key")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	workspace := a.node.Index().WorkspaceOfKey(hash)
	if workspace == "" && !a.configured() {
		a.refuse(w, result.NoConfiguration, "")
		return identified{}, false
	}
	if key == "" || workspace == "" {
		a.refuse(w, result.Unauthenticated, "")
		return identified{}, false
	}
	return identified{workspace: workspace, id: hash[:16]}, true
}

// configured reports whether the node knows any key yet.
func (a *API) configured() bool {
	select {
	case <-a.node.Configured():
		return true
	default:
		return false
	}
}

// origin tells devices that share a key from one another: the address that a
// balancer forwards, else that of the connection, and the user agent.
func origin(r *http.Request) string {
	addr := r.Header.Get("X-Forwarded-For")
	if addr == "" {
		addr, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	return addr + " " + r.UserAgent()
}

func (a *API) models(w http.ResponseWriter, r *http.Request) {
	if _, ok := a.authenticate(w, r); !ok {
		return
	}
	type item struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string `json:"object"`
		Data   []item `json:"data"`
	}{Object: "list", Data: []item{}}
	for _, m := range a.node.Index().Models() {
		list.Data = append(list.Data, item{ID: m.Name, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}
