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

// traffic returns requests of all kinds, half of them quotes.
func traffic(prefix string, count int) []call {
	kinds := []string{kindQuote, kindBooking, kindQuote, kindStock}
	calls := make([]call, count)
	for i := range calls {
		calls[i] = newCall(kinds[i%len(kinds)], fmt.Sprintf("%s%06x", prefix, i))
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
			// Each kind reaches each instance.
			o := calls[i].send(context.Background(), w.fronts[i/4%len(w.fronts)].address(), w.rec)
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
	trafficInterval = 50 * time.Millisecond
	callsBefore     = 40
	callsAfter      = 240
	// pauseAfterTrouble is longer than the window in which the store and the machines
	// count as out of touch.
	pauseAfterTrouble = 4 * time.Second
)

// starvedBy reports whether a kind of request is served far less than others after some
// trouble that should not concern it.
func (w *world) starvedBy(kind string, trouble func()) (broken bool, err error) {
	time.Sleep(2 * time.Second) // instances find each other
	before := w.sendAll(traffic("b1", callsBefore))
	w.rec.add("before    %s", before.String())
	if before.share("") < 0.9 {
		return false, errors.New("few requests are served without trouble")
	}
	trouble()
	time.Sleep(pauseAfterTrouble)
	after := w.sendAll(traffic("b3", callsAfter))
	w.rec.add("after     %s", after.String())
	return after.starves(kind), nil
}

// callersOfAnotherVersion sends requests that expect a version of the weights that no runner
// has, and judges how requests without such a wish are served afterwards.
func callersOfAnotherVersion(w *world) (broken bool, err error) {
	return w.starvedBy(kindQuote, func() {
		calls := make([]call, 32)
		for i := range calls {
			calls[i] = newCall(kindQuote, fmt.Sprintf("b2%06x", i))
			if w.trouble {
				calls[i].extra = map[string][]string{names["expectVersion"]: {"2"}}
			}
		}
		w.sendAll(calls)
	})
}

// entriesOfAnotherWriter lets another writer register the addresses of the runners of the
// plain service under a service that the platform does not name.
func entriesOfAnotherWriter(w *world) (broken bool, err error) {
	broken, err = w.starvedBy(kindBooking, func() {
		if !w.trouble {
			return
		}
		for _, r := range w.pool.all {
			if r.Service != "atelier" {
				continue
			}
			foreign := fmt.Sprintf(`{"service":"metrics-agent","addr":%q,"state":"ready","born":%d}`, r.Address, time.Now().UnixMilli())
			w.rec.add("trouble   entry agent-%s: %s", r.ID, foreign)
			w.store.put(names["keyRunners"]+"agent-"+r.ID, []byte(foreign))
		}
	})
	if err != nil {
		return false, err
	}
	// For the record only: whether a restart of all instances helps.
	for _, f := range w.fronts {
		f.kill()
	}
	if err := w.startFronts(); err != nil {
		return false, err
	}
	time.Sleep(pauseAfterTrouble)
	restarted := w.sendAll(traffic("b4", callsBefore))
	w.rec.add("restarted %s", restarted.String())
	return broken, nil
}
