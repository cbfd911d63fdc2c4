// Package engineclient sends attempts to targets over HTTP. The answers of
// completions by model engines are read as server-sent events, those of plain
// services are passed through. The package classifies how each attempt ended and
// makes no decisions such as retries.
package engineclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/httpanswer"
	"github.com/medlardeck/medlardeck/internal/target"
)

// HTTP headers of the engine protocol.
const (
	HeaderAttempt  = "X-Request-Id"      // attempt ID, unique across instances
	HeaderPriority = "X-Priority"        // integer; higher values run first
	HeaderResume   = "X-Resume-Offset"   // number of answer tokens to omit
	HeaderNotRun   = "X-Request-Not-Run" // set if the target did not run the request
	HeaderReport   = "X-Load-Report"     // load report as JSON, set on answers
	// HeaderReservation identifies the reserved memory in which a completion runs.
	// HeaderImport names the preceding segments of its prompt, one value for each.
	HeaderReservation = "X-Reservation"
	HeaderImport      = "X-Import"
)

// Limits on idle connections to targets.
const (
	maxIdleConnsPerTarget = 64
	idleConnTimeout       = 30 * time.Second
)

// Call is one attempt to send to a target.
type Call struct {
	Attempt  string // unique ID
	Address  string // host:port
	Method   string
	Path     string // path and query
	Header   http.Header
	Body     Body
	Resume   int // number of answer tokens already delivered to the caller
	Priority int
	// Once is set if the call must run at most once. It is then sent on a new
	// connection, because a reused one that the target closed while idle would leave
	// the outcome unknown.
	Once bool
	// Reservation and Imports are set for the decode on a group of engines; see
	// HeaderReservation and HeaderImport.
	Reservation string
	Imports     []string
}

// Sink receives the answer of a target. Its methods are called from one goroutine;
// an error ends the attempt.
type Sink interface {
	// Header receives the status and headers of a service's answer.
	Header(status int, h http.Header) error
	// Events receives complete server-sent events and the number of tokens in them.
	// p is valid only during the call.
	Events(p []byte, tokens int) error
	// Body receives a part of the body of a service's answer. p is valid only during
	// the call.
	Body(p []byte) error
	// Report receives the load report from the headers of an answer.
	Report(report target.Report)
}

// Client sends calls to targets. It is safe for concurrent use.
type Client struct {
	pooled   *http.Client
	unpooled *http.Client // opens a new connection for each call
}

// New returns a client whose connection attempts time out after dialTimeout.
func New(dialTimeout time.Duration) *Client {
	var dialer net.Dialer
	return NewWithDialer(dialer.DialContext, dialTimeout)
}

// NewWithDialer is New with a custom dial function.
func NewWithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error), dialTimeout time.Duration) *Client {
	dialWithTimeout := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	newClient := func(reuseConns bool) *http.Client {
		return &http.Client{
			Transport: httpanswer.Transport{Transport: &http.Transport{
				DialContext:         dialWithTimeout,
				MaxIdleConnsPerHost: maxIdleConnsPerTarget,
				IdleConnTimeout:     idleConnTimeout,
				DisableCompression:  true,
				DisableKeepAlives:   !reuseConns,
			}},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &Client{pooled: newClient(true), unpooled: newClient(false)}
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Complete runs one completion attempt and passes its events to sink. For an answer
// other than 200 it returns the status and no events.
func (c *Client) Complete(ctx context.Context, call Call, sink Sink) entry.AttemptEnd {
	resp, end := c.sendCall(ctx, call)
	if resp == nil {
		return entry.AttemptEnd{Outcome: end}
	}
	defer resp.Body.Close()
	if report, ok := reportFromHeader(resp.Header); ok {
		sink.Report(report)
	}
	if resp.StatusCode != http.StatusOK {
		return entry.AttemptEnd{Outcome: endOfErrorResponse(resp), Status: resp.StatusCode}
	}
	events := newEventStream(resp.Body)
	end = events.forwardEvents(sink)
	return entry.AttemptEnd{
		Outcome: end, Status: resp.StatusCode,
		PromptTokens: events.usage.PromptTokens, CachedTokens: events.usage.PromptDetails.CachedTokens,
	}
}

// Serve runs one call to a plain service and passes its answer to sink, whatever the
// status, unless the service states that it did not run the request.
func (c *Client) Serve(ctx context.Context, call Call, sink Sink) entry.AttemptEnd {
	resp, end := c.sendCall(ctx, call)
	if resp == nil {
		return entry.AttemptEnd{Outcome: end}
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderNotRun) != "" {
		return entry.AttemptEnd{Outcome: entry.OutcomeNotRun, Status: resp.StatusCode}
	}
	if err := sink.Header(resp.StatusCode, resp.Header); err != nil {
		return entry.AttemptEnd{Outcome: entry.OutcomeCallerSlow, Status: resp.StatusCode}
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if sinkErr := sink.Body(buf[:n]); sinkErr != nil {
				return entry.AttemptEnd{Outcome: entry.OutcomeCallerSlow, Status: resp.StatusCode}
			}
		}
		if errors.Is(err, io.EOF) {
			return entry.AttemptEnd{Outcome: entry.OutcomeComplete, Status: resp.StatusCode}
		}
		if err != nil {
			return entry.AttemptEnd{Outcome: entry.OutcomeBroke, Status: resp.StatusCode}
		}
	}
}

// sendCall sends the request of a call and returns the response once its headers have
// arrived, or nil and how the attempt ended.
func (c *Client) sendCall(ctx context.Context, call Call) (*http.Response, entry.AttemptOutcome) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, nil)
	if err != nil {
		return nil, entry.OutcomeNotConnected
	}
	for k, v := range call.Header {
		req.Header[k] = v
	}
	client := c.pooled
	if call.Once {
		client = c.unpooled
	}
	if n := call.Body.Len(); n > 0 {
		req.Body, req.ContentLength = call.Body.Reader(), n
		if !call.Once {
			// GetBody lets the transport retry on another connection if the reused
			// one was closed before any byte of the request was written.
			req.GetBody = func() (io.ReadCloser, error) { return call.Body.Reader(), nil }
		}
	}
	req.Header.Set(HeaderAttempt, call.Attempt)
	if call.Priority != 0 {
		req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	}
	if call.Reservation != "" {
		req.Header.Set(HeaderReservation, call.Reservation)
		req.Header[HeaderImport] = call.Imports
	}
	if call.Resume > 0 {
		req.Header.Set(HeaderResume, strconv.Itoa(call.Resume))
	}
	var written atomic.Pointer[httpanswer.RequestWrite] // on the connection in use; the transport may try another
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { written.Store(httpanswer.NewRequestWrite()) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Load().End(info.Err) },
	})))
	if err == nil {
		httpanswer.Guard(resp, written.Load())
		return resp, ""
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return nil, entry.OutcomeNotConnected
	}
	return nil, entry.OutcomeBroke
}

// endOfErrorResponse classifies an answer to a completion other than 200.
func endOfErrorResponse(resp *http.Response) entry.AttemptOutcome {
	if resp.Header.Get(HeaderNotRun) != "" {
		return entry.OutcomeNotRun
	}
	return entry.OutcomeError
}
