package httpapi

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/node"
	"github.com/medlardeck/medlardeck/internal/result"
)

func (a *API) completion(w http.ResponseWriter, r *http.Request) {
	caller, ok := a.authenticate(w, r)
	if !ok {
		return
	}
	limit, body, release, ok := a.readRequest(w, r)
	if !ok {
		return
	}
	defer release()
	chat := strings.HasPrefix(r.URL.Path, "/v1/chat/")
	c, err := parseCompletion(body, chat)
	if err != nil {
		a.refuse(w, result.BadRequest, err.Error())
		return
	}
	x := a.node.Submit(entry.RequestArrived{
		Workspace: caller.workspace, Caller: caller.id, Origin: origin(r), Model: c.model,
		PromptBytes: c.promptBytes, MaxTokens: c.maxTokens, Prefix: c.prefix,
		Fingerprint: fingerprint(r.URL.Path, body), PromptHash: c.promptHash, Limit: limit,
	}, node.Upstream{
		Completion: true, Method: http.MethodPost, Path: r.URL.Path,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: c.upstream,
	})
	p := a.newPasser(w, r, x)
	if c.stream && r.ProtoAtLeast(1, 1) {
		p.stream()
		return
	}
	p.whole(chat)
}

// fingerprint hashes what reaches the target: the path and the body.
func fingerprint(path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}
