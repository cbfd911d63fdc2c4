package httpanswer

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// HeadError reports a response head that HTTP/1.1 does not allow.
type HeadError struct {
	Part  string // "status", for example
	Value string
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("invalid %s %q in the response", e.Part, e.Value)
}

// CheckHead returns a HeadError for a version, status, or name or value of a field that HTTP/1.1
// does not allow. No other field of such a head can be trusted: one whose name ends with a blank
// may have been the length. Status 101 is invalid too, since no request asks for an upgrade.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return &HeadError{"version", resp.Proto}
	case resp.StatusCode < 100 || resp.StatusCode > 599 || resp.StatusCode == http.StatusSwitchingProtocols:
		return &HeadError{"status", resp.Status}
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &HeadError{"field name", name}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &HeadError{"field " + name, value}
			}
		}
	}
	return nil
}

// Transport is an http.Transport that returns a HeadError for responses that fail CheckHead.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close() // the response is dropped in any case
		return nil, err
	}
	return resp, nil
}
