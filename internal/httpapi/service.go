package httpapi

import (
	"errors"
	"net/http"
	"path"
	"strconv"
	"strings"

	"github.com/medlardeck/medlardeck/internal/booking"
	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/node"
	"github.com/medlardeck/medlardeck/internal/result"
)

func (a *API) service(w http.ResponseWriter, r *http.Request) {
	caller, ok := a.authenticate(w, r)
	if !ok {
		return
	}
	if !plainPath(r) {
		a.refuse(w, result.BadRequest, "the path is not in its plain form")
		return
	}
	route := a.node.Index().RouteOfPath(r.URL.Path)
	if route == nil {
		a.refuse(w, result.UnknownRoute, "")
		return
	}
	limit, body, release, ok := a.readRequest(w, r)
	if !ok {
		return
	}
	defer release()
	header := forwardHeader(r.Header)
	sum := fingerprint(r.Method+" "+r.URL.RequestURI(), body)
	x := a.node.Submit(entry.RequestArrived{
		Workspace: caller.workspace, Caller: caller.id, Origin: origin(r), Route: route.Name, Method: r.Method,
		Fingerprint: sum, Limit: limit, Identity: booking.CallIdentity(route.Identity, r.Header.Get, body, caller.id, sum),
	}, node.Upstream{
		Method: r.Method, Path: r.URL.RequestURI(), Header: header, Body: engineclient.Body{body},
	})
	a.newPasser(w, r, x).service()
}

// plainPath reports whether every reader of the path sees the same one: a
// target that resolves dots or decodes slashes could leave the route's prefix.
func plainPath(r *http.Request) bool {
	p := r.URL.Path
	if r.URL.EscapedPath() != p && strings.ContainsAny(p, "/%") {
		encoded := strings.ToLower(r.URL.EscapedPath())
		if strings.Contains(encoded, "%2f") || strings.Contains(encoded, "%2e") || strings.Contains(encoded, "%5c") {
			return false
		}
	}
	clean := path.Clean(p)
	return strings.HasPrefix(p, "/") && (p == clean || p == clean+"/")
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1), are the
// caller's credentials, or belong to the dialect between the system and its
// targets.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "X-Api-Key", "Expect",
	engineclient.HeaderAttempt, engineclient.HeaderPriority, engineclient.HeaderResume,
	engineclient.HeaderNotRun, engineclient.HeaderReport, HeaderCode, HeaderLimit,
}

func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// service sends a service's answer as it comes. Callers that know no chunks
// get an answer of unknown length whole.
func (p *passer) service() {
	var held []byte
	hold := false
	started := false
	err := p.receive(func(head *node.Head, part []byte) error {
		if head != nil && !started {
			started = true
			hold = p.old && head.Header.Get("Content-Length") == ""
			for name, values := range forwardHeader(head.Header) {
				p.w.Header()[name] = values
			}
			if !hold {
				p.w.WriteHeader(head.Status)
			}
		}
		switch {
		case !started:
			return nil
		case hold:
			held = append(held, part...)
			if len(held) > maxWholeBytes {
				return errAnswerTooLarge
			}
			return nil
		default:
			return p.flush(part)
		}
	})
	switch {
	case errors.Is(err, errAnswerTooLarge):
		clear(p.w.Header())
		writeError(p.w, entry.Finish{Code: result.AnswerTooLarge}, "")
	case err != nil:
		abort()
	default:
		p.endService(started, hold, held)
	}
}

// endService ends the answer of a service by the outcome.
func (p *passer) endService(started, hold bool, held []byte) {
	end := p.x.End()
	switch {
	case !started && end.Answer != nil:
		p.w.Header().Set(HeaderCode, strconv.Itoa(int(end.Code)))
		p.body(end.Answer.Status, end.Answer.ContentType, end.Answer.Body)
	case !started || hold && !p.complete():
		clear(p.w.Header())
		writeError(p.w, end, "")
	case !p.complete():
		abort()
	case hold:
		p.body(p.x.Head().Status, "", held)
	}
}
