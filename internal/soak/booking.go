package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// maxArrivals is how often a caller sends one booking before it gives up.
const maxArrivals = 4

// resendPause is how long a caller waits before it sends a booking again.
const resendPause = 2 * time.Second

// A share of the callers sends a booking again, without waiting for the first
// answer, after a random part of their patience.
const (
	impatient = 0.25
	patience  = 500 * time.Millisecond
)

// identity is what callers know of one booking.
type identity struct {
	confirmed bool // a success was answered
	uncertain bool // an arrival may have run: it broke, failed or is unknown
}

// booking sends one booking as an old caller does: again after a status that
// says so or a broken connection, at whatever instance the balancer picks.
func (t *traffic) booking(rng *rand.Rand, n int) {
	name := fmt.Sprintf("booking-%d-%d", t.opts.Seed, n)
	id := &identity{}
	t.mu.Lock()
	t.report.Bookings++
	t.ledger[name] = id
	t.mu.Unlock()
	if rng.Float64() < impatient {
		own, pause := rand.New(rand.NewPCG(t.opts.Seed, rng.Uint64())), time.Duration(rng.Int64N(int64(patience)))
		t.wg.Go(func() {
			t.sleep(t.ctx, pause)
			t.book(own, name, id)
		})
	}
	for range maxArrivals {
		if !t.book(rng, name, id) {
			return
		}
		t.sleep(t.ctx, resendPause)
	}
}

// book sends one arrival and reports whether the caller sends another.
func (t *traffic) book(rng *rand.Rand, name string, id *identity) (again bool) {
	i, from := t.pick(rng), time.Now()
	status, code, err := t.call(http.MethodPost, i, "/bookings", name)
	if err != nil {
		t.dropped("booking", i, from, serviceLimit, err)
		t.settle(id, false, true)
		return true
	}
	t.ended(code)
	t.onTime("booking with "+code.String(), from, serviceLimit)
	t.settle(id, code.Family() == result.FamilyComplete && status/100 == 2,
		code.Family() == result.FamilyFailed || code.Family() == result.FamilyUnknown)
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (t *traffic) settle(id *identity, confirmed, uncertain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id.confirmed = id.confirmed || confirmed
	id.uncertain = id.uncertain || uncertain
}

func (t *traffic) lookup(rng *rand.Rand, n int) {
	t.mu.Lock()
	t.report.Lookups++
	t.mu.Unlock()
	i, from := t.pick(rng), time.Now()
	_, code, err := t.call(http.MethodGet, i, fmt.Sprintf("/status/booking-%d-%d", t.opts.Seed, n), "")
	if err != nil {
		t.dropped("look-up", i, from, serviceLimit, err)
		return
	}
	t.ended(code)
	t.onTime("look-up with "+code.String(), from, serviceLimit)
}

// call makes a service call. A success without a code of ours is complete.
func (t *traffic) call(method string, i int, path, key string) (int, result.Code, error) {
	req, err := t.request(method, t.d.Callers[i]+path)
	if err != nil {
		return 0, 0, err
	}
	if method == http.MethodPost {
		body := fmt.Sprintf(`{"cut":%q}`, key)
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		req.Header["Idempotency-Key"] = []string{key}
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, 0, fmt.Errorf("call service: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, fmt.Errorf("read answer: %w", err)
	}
	code := headerCode(resp)
	if code == 0 && resp.StatusCode/100 == 2 {
		code = result.Complete
	}
	return resp.StatusCode, code, nil
}
