package httpanswer

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// HeadError reports a head that is none of HTTP/1.1.
type HeadError struct {
	Part  string // of the head
	Value string
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("%s %q of the answer is not valid", e.Part, e.Value)
}

// CheckHead returns a HeadError for an answer whose version, status, or name or value of a field
// the protocol does not have. Its other fields are not to be believed: those of a name with a
// blank may have been its length. Nobody here asks for another protocol, so that status 101 is
// not valid either.
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

// Transport is an http.Transport that returns a HeadError for answers that CheckHead refuses.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close() // the answer is refused in any case
		return nil, err
	}
	return resp, nil
}
