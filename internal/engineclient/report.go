package engineclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"

	"github.com/medlardeck/medlardeck/internal/target"
)

// maxReportBytes is the maximum size of a load report or of the answer to an order.
const maxReportBytes = 256 << 10

// FetchReport requests the load report of a target. connRefused is true if the connection
// was refused, that is if no process listens at the address.
func (c *Client) FetchReport(ctx context.Context, address string) (report target.Report, connRefused bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/control/report", nil)
	if err != nil {
		return report, false, fmt.Errorf("poll target %s: %w", address, err)
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return report, errors.Is(err, syscall.ECONNREFUSED), fmt.Errorf("poll target %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, false, fmt.Errorf("poll target %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report); err != nil {
		return report, false, fmt.Errorf("poll target %s: %w", address, err)
	}
	return report, false, nil
}

// reportFromHeader returns the load report in the headers of an answer. ok is false if
// there is none or it is invalid.
func reportFromHeader(h http.Header) (report target.Report, ok bool) {
	value := h.Get(HeaderReport)
	if value == "" || len(value) > maxReportBytes {
		return report, false
	}
	return report, json.Unmarshal([]byte(value), &report) == nil
}
