package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/order"
)

// orderBody is the JSON body of an order in the engine protocol.
type orderBody struct {
	Models []order.Model `json:"models"`
	Fence  uint64        `json:"fence"`
	Holder string        `json:"holder"`
}

// Order reads the models of a target or sends it an order, and returns the outcome
// and the state in the answer. token is sent only if the target authenticates the
// sender of orders (call.Authenticated).
func (c *Client) Order(ctx context.Context, call entry.OrderCall, token string) (entry.OrderStatus, entry.OrderState) {
	req, err := newOrderRequest(ctx, call, token)
	if err != nil {
		return entry.OrderUnreached, entry.OrderState{}
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return entry.OrderUnreached, entry.OrderState{}
		}
		return entry.OrderUnknown, entry.OrderState{}
	}
	defer resp.Body.Close()
	var state entry.OrderState
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&state)
	switch {
	case resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusForbidden:
		return entry.OrderDenied, state
	case resp.StatusCode == http.StatusConflict:
		return entry.OrderStale, state
	case resp.StatusCode >= http.StatusInternalServerError:
		return entry.OrderUnknown, state
	case resp.StatusCode >= http.StatusBadRequest:
		return entry.OrderRefused, state
	case err != nil:
		return entry.OrderUnknown, state
	}
	return entry.OrderOK, state
}

func newOrderRequest(ctx context.Context, call entry.OrderCall, token string) (*http.Request, error) {
	modelsURL := "http://" + call.Address + "/control/models"
	if call.Read {
		return http.NewRequestWithContext(ctx, http.MethodGet, modelsURL, nil)
	}
	body, err := json.Marshal(orderBody{Models: call.Models, Fence: call.Fence, Holder: call.Holder})
	if err != nil {
		return nil, fmt.Errorf("encode order to %s: %w", call.Target, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, modelsURL, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps the transport from sending the body a second time
	if call.Authenticated {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return req, nil
}
