package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/entry"
)

// reservationBody is the JSON body of a reservation in the engine protocol.
type reservationBody struct {
	ID     string `json:"id,omitempty"`
	Tokens int    `json:"tokens"`
	TTLMS  int64  `json:"ttl_ms"`
}

// Group sends one call to a member of a group of engines and returns its outcome.
// segment is the part of the prompt to prefill; it is nil for other calls.
func (c *Client) Group(ctx context.Context, call entry.GroupCall, attempt string, segment Body) entry.GroupStatus {
	req, err := newGroupRequest(ctx, call, segment)
	if err != nil {
		return entry.GroupUnreached
	}
	req.GetBody = nil // keeps the transport from sending the body a second time
	req.Header.Set(HeaderAttempt, attempt)
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	req.Header[HeaderImport] = call.Imports
	resp, err := c.pooled.Do(req)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return entry.GroupUnreached
		}
		return entry.GroupBroke
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return entry.GroupOK
	case resp.StatusCode == http.StatusNotFound:
		return entry.GroupGone
	case resp.Header.Get(HeaderNotRun) != "":
		return entry.GroupRefused
	}
	return entry.GroupBroke
}

func newGroupRequest(ctx context.Context, call entry.GroupCall, segment Body) (*http.Request, error) {
	reservationsURL := "http://" + call.Address + "/control/reservations"
	reservationURL := reservationsURL + "/" + url.PathEscape(call.Reservation)
	body, err := json.Marshal(reservationBody{ID: call.Reservation, Tokens: call.Tokens, TTLMS: call.TTL.Milliseconds()})
	if err != nil {
		return nil, fmt.Errorf("encode reservation %s: %w", call.Reservation, err)
	}
	switch call.Op {
	case entry.GroupReserve:
		return http.NewRequestWithContext(ctx, http.MethodPost, reservationsURL, bytes.NewReader(body))
	case entry.GroupRenew:
		return http.NewRequestWithContext(ctx, http.MethodPut, reservationURL, bytes.NewReader(body))
	case entry.GroupRelease:
		return http.NewRequestWithContext(ctx, http.MethodDelete, reservationURL, nil)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, reservationURL+"/segment", segment.Reader())
	if err == nil {
		req.ContentLength = segment.Len()
	}
	return req, err
}

// GroupCallTimeout bounds every group call except the prefill of a segment, which is
// bounded by the deadline of its call.
const GroupCallTimeout = 2 * time.Second
