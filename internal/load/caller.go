package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/httpapi"
	"github.com/medlardeck/medlardeck/internal/prefix"
	"github.com/medlardeck/medlardeck/internal/result"
)

// sample is what a caller saw of one request; times are engine time from the
// planned arrival.
type sample struct {
	arrival
	firstToken time.Duration // zero when there was none
	end        time.Duration
	code       result.Code // zero when the connection broke without one
}

// caller sends planned requests to a deployment.
type caller struct {
	deployment *dev.Deployment
	client     *http.Client
	speed      float64
	start      time.Time
	filler     string
	// lost returns whether the balancer no longer uses an entry instance.
	lost func(entry int) bool
}

func newCaller(d *dev.Deployment, speed float64) *caller {
	return &caller{
		deployment: d, speed: speed,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}},
		filler: strings.Repeat("the tank is made of acrylic glass ", 1_000_000*prefix.BytesPerToken/34+1),
		lost:   func(int) bool { return false },
	}
}

// since returns the engine time from the planned arrival until now.
func (c *caller) since(a arrival) time.Duration {
	return time.Duration(float64(time.Since(c.start))*c.speed) - a.at
}

// body returns the request's body: the prompt's size follows from its tokens,
// its first bytes make it unique.
func (c *caller) body(a arrival) (io.Reader, int64) {
	head := fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%016x `, a.maxTokens, a.unique)
	tail := `"}]}`
	size := max(0, a.tokens*prefix.BytesPerToken-len(`[{"role":"user","content":"`)-17-len(`"}]`))
	return io.MultiReader(strings.NewReader(head), strings.NewReader(c.filler[:size]), strings.NewReader(tail)),
		int64(len(head) + size + len(tail))
}

// call sends one request at its time and follows it to its end.
func (c *caller) call(ctx context.Context, a arrival) sample {
	s := sample{arrival: a}
	c.send(ctx, &s)
	s.end = c.since(a)
	return s
}

func (c *caller) send(ctx context.Context, s *sample) {
	a := s.arrival
	entry := a.entry
	for c.lost(entry) {
		entry = (entry + 1) % len(c.deployment.Callers)
	}
	body, size := c.body(a)
	c.post(ctx, s, entry, body, size)
}

// post sends a body to an entry instance and follows the answer.
func (c *caller) post(ctx context.Context, s *sample, entry int, body io.Reader, size int64) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.deployment.Callers[entry]+"/v1/chat/completions", body)
	if err != nil {
		return
	}
	req.ContentLength = size
	req.Header.Set("Authorization", "Bearer "+dev.DevelopmentKey(workspaceName(s.workspace)))
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		code, _ := strconv.Atoi(resp.Header.Get(httpapi.HeaderCode))
		s.code = result.Code(code)
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	c.stream(resp.Body, s)
}

// stream reads server-sent events up to the end marker or an error.
func (c *caller) stream(body io.Reader, s *sample) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), 1<<20)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			s.code = result.Complete
			continue
		}
		if bytes.HasPrefix(data, []byte(`{"error"`)) {
			s.code = errorCode(data)
			return
		}
		if s.firstToken == 0 {
			s.firstToken = c.since(s.arrival)
		}
	}
}

func errorCode(data []byte) result.Code {
	var body struct {
		Error struct {
			Code result.Code `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil {
		return 0
	}
	return body.Error.Code
}
