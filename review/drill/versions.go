package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// sendAll sends calls at intervals, in turn to all instances, and returns how many got a
// whole answer of a runner.
func (w *world) sendAll(calls []call, interval time.Duration) (served int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range calls {
		all.Add(1)
		go func() {
			defer all.Done()
			o := calls[i].send(context.Background(), w.fronts[i%len(w.fronts)].address(), w.rec)
			mu.Lock()
			defer mu.Unlock()
			if o.status == 200 && o.stamp != "" && o.whole {
				served++
			}
		}()
		time.Sleep(interval)
	}
	all.Wait()
	return served
}

func quotes(prefix string, count int) []call {
	calls := make([]call, count)
	for i := range calls {
		calls[i] = call{
			id: fmt.Sprintf("%s%06x", prefix, i), path: "/quote/draft", method: "POST", body: []byte("quote"), deadline: 10 * time.Second,
			prompt: 5000, most: 200,
		}
	}
	return calls
}

// callersOfAnotherVersion sends a few requests that expect a version of the weights that no
// runner has, and then the usual ones.
func callersOfAnotherVersion(w *world) (broken bool, err error) {
	time.Sleep(2 * time.Second)
	before := w.sendAll(quotes("b1", 20), 50*time.Millisecond)
	w.rec.add("before: %d of 20 quotes are served", before)
	if before < 18 {
		return false, fmt.Errorf("only %d of 20 quotes are served at first", before)
	}
	if w.trouble {
		expecting := quotes("b2", 20)
		for i := range expecting {
			expecting[i].extra = map[string][]string{names["expectVersion"]: {"2"}}
		}
		w.sendAll(expecting, 50*time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	after := w.sendAll(quotes("b3", 100), 200*time.Millisecond)
	w.rec.add("after: %d of 100 quotes are served", after)
	return after < 25, nil
}
