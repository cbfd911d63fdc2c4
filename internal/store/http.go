package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/httpanswer"
)

// HeaderCaller is the header with the name of the calling instance, by which
// the platform accounts for calls.
const HeaderCaller = "X-Caller"

// maxReplyBytes bounds the body of a response: one page of a range, including
// its encoding overhead.
const maxReplyBytes = 16 << 20

// HTTP is a Store that sends calls as conditional HTTP requests. It is safe for
// concurrent use. It neither retries nor limits calls; Client does.
type HTTP struct {
	base   string
	caller string
	client *http.Client
}

// NewHTTP returns a client of the service at base, a URL without a path.
func NewHTTP(base, caller string) *HTTP {
	var direct net.Dialer
	return NewHTTPWithDialer(direct.DialContext, base, caller)
}

// NewHTTPWithDialer is NewHTTP with a custom dial function.
func NewHTTPWithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error), base, caller string) *HTTP {
	return &HTTP{base: strings.TrimSuffix(base, "/"), caller: caller, client: &http.Client{
		Transport: httpanswer.Transport{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}},
	}}
}

// Close closes idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// ETag returns the entity tag of a revision.
func ETag(revision int64) string { return `"` + strconv.FormatInt(revision, 10) + `"` }

// ParseETag returns the revision in an entity tag.
func ParseETag(tag string) (int64, error) {
	rev, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse entity tag %q: %w", tag, err)
	}
	return rev, nil
}

// UnescapeKey returns the key in an escaped path segment.
func UnescapeKey(segment string) (string, error) {
	key, err := url.PathUnescape(segment)
	if err != nil {
		return "", fmt.Errorf("unescape key %q: %w", segment, err)
	}
	return key, nil
}

// Do implements Store.
func (h *HTTP) Do(ctx context.Context, call Call) Reply {
	req, err := h.newRequest(ctx, call)
	if err != nil {
		return Reply{Status: StatusUnsent}
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return Reply{Status: statusFromError(err)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return Reply{Status: StatusUnknown}
	}
	return parseReply(call, resp, body)
}

// statusFromError returns the status of a call without a response.
func statusFromError(err error) Status {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return StatusRefused // not connected, so the store has not received the call
	}
	return StatusUnknown
}

// newRequest converts a call to an HTTP request.
func (h *HTTP) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	method, target := http.MethodGet, "/v1/kv/"+url.PathEscape(call.Key)
	var body io.Reader
	q := url.Values{}
	switch call.Op {
	case OpGet:
	case OpCAS:
		method, body = http.MethodPut, bytes.NewReader(call.Value)
		if call.Lease != 0 {
			q.Set("lease", strconv.FormatInt(call.Lease, 10))
		}
	case OpDelete:
		method = http.MethodDelete
	case OpRange:
		target = "/v1/range"
		q.Set("prefix", call.Key)
		q.Set("after", call.After)
	case OpWatch:
		target = "/v1/watch"
		q.Set("prefix", call.Key)
		q.Set("after", strconv.FormatInt(call.Revision, 10))
		q.Set("wait", call.Budget.String())
	case OpLeaseGrant:
		method, target = http.MethodPost, "/v1/leases"
		q.Set("ttl", call.TTL.String())
	case OpLeaseRenew, OpLeaseRevoke:
		target = "/v1/leases/" + strconv.FormatInt(call.Lease, 10)
		method = http.MethodPut
		if call.Op == OpLeaseRevoke {
			method = http.MethodDelete
		}
	case OpInstances:
		target = "/v1/instances"
	}
	if len(q) > 0 {
		target += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, h.base+target, body)
	if err != nil {
		return nil, fmt.Errorf("build %s of %s: %w", call.Op, call.Key, err)
	}
	h.setHeaders(req, call)
	return req, nil
}

// setHeaders sets the caller's name and, for writes, the expected revision.
func (h *HTTP) setHeaders(req *http.Request, call Call) {
	req.Header.Set(HeaderCaller, h.caller)
	// Without GetBody the transport does not repeat a write. If a write gets no
	// response, its caller reads the key to learn whether it took effect.
	req.GetBody = nil
	if call.Op != OpCAS && call.Op != OpDelete {
		return
	}
	if call.Revision == 0 {
		req.Header.Set("If-None-Match", "*")
		return
	}
	req.Header.Set("If-Match", ETag(call.Revision))
}

// parseReply converts an HTTP response to the reply to a call.
func parseReply(call Call, resp *http.Response, body []byte) Reply {
	rev, _ := ParseETag(resp.Header.Get("ETag"))
	switch {
	case resp.StatusCode == http.StatusPreconditionFailed:
		return Reply{Status: StatusConflict, Revision: rev}
	case resp.StatusCode == http.StatusNotFound:
		return Reply{Status: StatusNotFound, Revision: rev}
	case resp.StatusCode >= http.StatusInternalServerError:
		return Reply{Status: StatusUnknown}
	case resp.StatusCode >= http.StatusMultipleChoices:
		return Reply{Status: StatusRefused}
	}
	switch call.Op {
	case OpGet:
		return Reply{Status: StatusOK, Revision: rev, KVs: []KV{{Key: call.Key, Value: body, Revision: rev}}}
	case OpCAS, OpDelete:
		return Reply{Status: StatusOK, Revision: rev}
	case OpRange, OpWatch, OpInstances, OpLeaseGrant, OpLeaseRenew, OpLeaseRevoke:
	}
	var reply Reply
	if err := json.Unmarshal(body, &reply); err != nil && len(body) > 0 {
		return Reply{Status: StatusUnknown}
	}
	reply.Status = StatusOK
	return reply
}
