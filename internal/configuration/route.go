package configuration

import (
	"net/http"
	"strings"
)

// Matches reports whether the path is the route's prefix or lies below it.
func (r *Route) Matches(path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(r.Prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// Retryable reports whether a call with this method may be sent again even if
// the first one may have run.
func (r *Route) Retryable(method string) bool {
	switch r.Idempotency {
	case IdempotencyAlways:
		return true
	case IdempotencyNever:
		return false
	}
	switch method { // RFC 9110, section 9.2.2
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
