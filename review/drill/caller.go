package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one request of a caller.
type call struct {
	id, path     string
	method       string
	body         []byte
	deadline     time.Duration
	prompt, most int // tokens, none for a plain call
	extra        http.Header
}

// kind is the first part of the path.
func (c *call) kind() string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(c.path, "/"), "/")
	return kind
}

// outcome is how a call ended at its caller.
type outcome struct {
	status int // zero without an answer
	stamp  string
	whole  bool
	bytes  int
	err    error
	took   time.Duration
}

const apiKey = "n2ctnfzs989anu6wsjnb"

// send sends a call on a connection of its own and waits for its end.
func (c *call) send(ctx context.Context, address string, rec *record) outcome {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return outcome{err: err}
	}
	c.addHeaders(request)
	rec.add("sent      %s %s %s to %s, %d tokens", c.id, c.method, c.path, address, c.prompt)
	answer, err := transport.RoundTrip(request)
	if err != nil {
		rec.add("no answer %s: %v", c.id, err)
		return outcome{err: err, took: time.Since(begun)}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	o := outcome{
		status: answer.StatusCode, stamp: answer.Header.Get(names["stamp"]), whole: err == nil, bytes: len(body), err: err,
		took: time.Since(begun),
	}
	rec.add("answered  %s: status %d, stamp %q, %d bytes, whole %t, after %d ms, retry after %q", c.id, o.status, o.stamp, o.bytes, o.whole,
		o.took.Milliseconds(), answer.Header.Get("Retry-After"))
	return o
}

func (c *call) addHeaders(r *http.Request) {
	r.Host = "desk.example"
	r.Close = false
	r.Header.Set(names["requestID"], c.id)
	r.Header.Set(names["deadline"], strconv.FormatInt(c.deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	if c.prompt > 0 {
		r.Header.Set(names["model"], "m")
		r.Header.Set(names["tokens"], strconv.Itoa(c.prompt)+","+strconv.Itoa(c.most))
		r.Header.Set(names["prefix"], "5c1e07a2:40,"+c.id+":"+strconv.Itoa(c.prompt-40))
	}
	for name, values := range c.extra {
		r.Header[name] = values
	}
}
