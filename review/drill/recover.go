package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Kinds of request in the traffic of the drills.
const (
	kindQuote   = "quote"
	kindBooking = "booking"
	kindStock   = "stock"
)

// newCall returns a request of a kind.
func newCall(kind, id string) call {
	c := call{id: id, path: "/" + kind + "/" + id, method: "POST", body: []byte(kind), deadline: 4 * time.Second}
	switch kind {
	case kindQuote:
		c.deadline, c.prompt, c.most = 10*time.Second, 5000, 200
	case kindStock:
		c.method, c.body = "GET", nil
	}
	return c
}

// traffic returns requests of all kinds: six of seven are quotes, as most are at the site.
func traffic(prefix string, count int) []call {
	kinds := []string{kindQuote, kindQuote, kindQuote, kindBooking, kindQuote, kindQuote, kindQuote}
	calls := make([]call, count)
	for i := range calls {
		kind := kinds[i%len(kinds)]
		if kind == kindBooking && i/len(kinds)%2 == 1 {
			kind = kindStock
		}
		calls[i] = newCall(kind, fmt.Sprintf("%s%06x", prefix, i))
	}
	return calls
}

// shares counts requests and those that got a whole answer of a runner, by kind.
type shares struct{ sent, served map[string]int }

// sendAll sends calls at intervals of trafficInterval, by turns to all instances.
func (w *world) sendAll(calls []call) shares {
	s := shares{make(map[string]int), make(map[string]int)}
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range calls {
		all.Add(1)
		go func() {
			defer all.Done()
			o := calls[i].send(context.Background(), w.fronts[i%len(w.fronts)].address(), w.rec)
			mu.Lock()
			defer mu.Unlock()
			for _, kind := range []string{calls[i].kind(), ""} {
				s.sent[kind]++
				if o.status == 200 && o.stamp != "" && o.whole {
					s.served[kind]++
				}
			}
		}()
		time.Sleep(trafficInterval)
	}
	all.Wait()
	return s
}

// share is the share of a kind that was served; of all requests if it is empty.
func (s *shares) share(kind string) float64 { return float64(s.served[kind]) / float64(s.sent[kind]) }

// starves reports whether a kind is served less than a quarter as often as all requests.
func (s *shares) starves(kind string) bool { return s.share(kind) < s.share("")/4 }

func (s *shares) String() string {
	text := ""
	for _, kind := range []string{kindQuote, kindBooking, kindStock, ""} {
		name := kind
		if kind == "" {
			name = "all"
		}
		text += name + " " + strconv.Itoa(s.served[kind]) + " of " + strconv.Itoa(s.sent[kind]) + "  "
	}
	return text
}

// Figures of the drills.
const (
	trafficInterval = 30 * time.Millisecond
	callsBefore     = 112
	callsAfter      = 140
	// pauseAfterTrouble is longer than the window in which machines count as out of touch.
	pauseAfterTrouble = 6 * time.Second
	// recoveryTime is the time after which requests have to be served again.
	recoveryTime = 12 * time.Second
	// minShare is the share of requests that has to be served.
	minShare = 0.25
)

// recoversBeside reports whether requests are served after a final fault, which kills all
// processes, beside some trouble that should not concern them. It also records whether the
// quotes starve before that fault.
func (w *world) recoversBeside(trouble func(context.Context)) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(2 * time.Second) // instances find each other
	before := w.sendAll(traffic("b1", callsBefore))
	w.rec.add("before    %s", before.String())
	if before.share("") < 0.9 {
		return false, errors.New("few requests are served without trouble")
	}
	if w.trouble {
		trouble(ctx)
	}
	time.Sleep(pauseAfterTrouble)
	steady := w.sendAll(traffic("b3", callsAfter))
	w.rec.add("steady    %s", steady.String())
	if steady.starves(kindQuote) {
		w.rec.add("steady    the quotes starve")
	}
	w.rec.add("fault     all processes are killed")
	for _, f := range w.fronts {
		f.kill()
	}
	if err := w.startFronts(); err != nil {
		return false, err
	}
	w.rec.add("fault     all processes are back")
	time.Sleep(recoveryTime)
	after := w.sendAll(traffic("b4", callsAfter))
	w.rec.add("after     %s", after.String())
	servedBefore := float64(before.served[""]+steady.served[""]) / float64(before.sent[""]+steady.sent[""])
	w.rec.add("served before the fault %.2f, after it %.2f", servedBefore, after.share(""))
	return servedBefore >= minShare && after.share("") < minShare, nil
}

// Callers that are pinned to a version: one request a second at each instance, about one in
// ten of all.
const pinnedInterval = 250 * time.Millisecond

// callersOfAnotherVersion sends some requests that expect a version of the weights that no
// runner has.
func callersOfAnotherVersion(w *world) (broken bool, err error) {
	return w.recoversBeside(func(ctx context.Context) {
		w.rec.add("trouble   callers expect another version of the weights")
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				c := newCall(kindQuote, fmt.Sprintf("b2%06x", i))
				c.extra = map[string][]string{names["expectVersion"]: {"2"}}
				go c.send(ctx, w.fronts[i%len(w.fronts)].address(), w.rec)
				time.Sleep(pinnedInterval)
			}
		}()
	})
}

// entriesOfAnotherWriter lets another writer register the addresses of the model runners
// under a service that the platform does not name.
func entriesOfAnotherWriter(w *world) (broken bool, err error) {
	return w.recoversBeside(func(context.Context) {
		for _, r := range w.pool.all {
			if r.Service != "pool" {
				continue
			}
			foreign := fmt.Sprintf(`{"service":"metrics-agent","addr":%q,"state":"ready","born":%d}`, r.Address, time.Now().UnixMilli())
			w.rec.add("trouble   entry agent-%s: %s", r.ID, foreign)
			w.store.put(names["keyRunners"]+"agent-"+r.ID, []byte(foreign))
		}
	})
}
