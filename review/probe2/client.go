package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	method, path, id, key string
	deadline              time.Duration
	body                  string
	// promptTokens and answerTokens are zero for a request to a plain service.
	promptTokens, answerTokens int
}

// text returns the request as it is sent.
func (q *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n", q.method, q.path, q.key)
	fmt.Fprintf(&b, "%s: %s\r\n%s: %d\r\n", names["headerRequestId"], q.id, names["headerDeadlineMs"], q.deadline.Milliseconds())
	if q.promptTokens > 0 {
		fmt.Fprintf(&b, "%s: m\r\n%s: %d,%d\r\n", names["headerModel"], names["headerTokenCount"], q.promptTokens, q.answerTokens)
		fmt.Fprintf(&b, "%s: 5c1e07a2:40,%x:%d\r\n", names["headerPrefixHash"], 0x91bd3f06+q.promptTokens, q.promptTokens-40)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n" + q.body
}

// answer is what a client has got.
type answer struct {
	status int // zero for none
	body   string
	err    error // nil for a complete answer
}

// errNotConnected says that the connection was not made, so that nothing was read.
var errNotConnected = errors.New("not connected")

// send sends a request over a connection of its own and reads the answer.
func (q *request) send(rec *record, address string) answer {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		rec.add("not-connected", q.id, "to", address)
		return answer{err: errNotConnected}
	}
	defer func() { _ = conn.Close() }()
	rec.add("send", q.id, "to", address, "method", q.method, "path", q.path, "prompt", q.promptTokens, "answer", q.answerTokens)
	began := time.Now()
	a := q.exchange(conn, bufio.NewReader(conn))
	cause := "none"
	if a.err != nil {
		cause = strconv.Quote(a.err.Error())
	}
	rec.add("answer", q.id, "status", a.status, "bytes", len(a.body), "after_ms", time.Since(began).Milliseconds(), "error", cause)
	return a
}

// exchange writes the request and reads the answer.
func (q *request) exchange(conn net.Conn, br *bufio.Reader) answer {
	if err := conn.SetDeadline(time.Now().Add(q.deadline)); err != nil {
		return answer{err: err}
	}
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(raw), err}
}
