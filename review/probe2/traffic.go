package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// kind is a kind of request of the traffic.
type kind struct {
	name, method, path string
	perSecond          float64
	deadline           time.Duration
	promptTokens       int // the mean; zero for a plain service
	answerEvents       int // the mean
}

// The kinds of requests of the site's sheet. Their rates are those of the sheet for each of its
// 16 engines.
var (
	drafts   = kind{"draft", http.MethodPost, "/draft/2f", 34.0 / 16, 10 * time.Second, 4960, 32}
	specs    = kind{"spec", http.MethodPost, "/draft/2f", 1.86 / 16, 10 * time.Second, 45000, 19}
	dossiers = kind{"dossier", http.MethodPost, "/dossier/2f", 1.56 / 16, 15 * time.Second, 133000, 16}
	bookings = kind{"book", http.MethodPost, "/book/2f", 3.21 / 16, 4 * time.Second, 0, 0}
)

// newRequest returns a request of the kind, with a size between a half and one and a half times
// the mean.
func (k *kind) newRequest(number int) *request {
	vary := func(mean int) int { return int(float64(mean) * (0.5 + rand.Float64())) }
	return &request{
		method: k.method, path: k.path, id: fmt.Sprintf("%s-%04d", k.name, number), key: lastingKey, deadline: k.deadline,
		body: strings.Repeat("x", 600), promptTokens: vary(k.promptTokens), answerTokens: vary(k.answerEvents) * engineStride,
	}
}

// play sends requests of the kind at random times, at its rate times a factor, until the end.
func (k *kind) play(factor float64, end time.Time, wg *sync.WaitGroup, send func(*request)) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		for number := 0; time.Now().Before(end); number++ {
			time.Sleep(time.Duration(rand.ExpFloat64() / (factor * k.perSecond) * float64(time.Second)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				send(k.newRequest(number))
			}()
		}
	}()
}
