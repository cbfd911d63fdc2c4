package main

import (
	"hash/fnv"
	"sync"
	"time"
)

// balancer is a stand-in for the platform's entry: it asks each instance of a zone once a second
// whether it is ready, takes it out after two misses, and uses all of them if fewer than half
// are in.
type balancer struct {
	instances []*instance
	mu        sync.Mutex
	misses    map[*instance]int
}

func newBalancer(instances []*instance) *balancer {
	b := &balancer{instances: instances, misses: make(map[*instance]int)}
	go func() {
		for {
			for _, i := range instances {
				go b.probe(i)
			}
			time.Sleep(time.Second)
		}
	}()
	return b
}

func (b *balancer) probe(i *instance) {
	ready := isReady(i.ready)
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.misses[i] = 0
	} else {
		b.misses[i]++
	}
}

// pick returns the instance for a new connection of a client, nil if none is in rotation.
func (b *balancer) pick(client string) *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*instance
	for _, i := range b.instances {
		if b.misses[i] < 2 {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return nil
	}
	if 2*len(in) < len(b.instances) {
		in = b.instances
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(client)) // writes to a hash cannot fail
	return in[int(h.Sum32()>>8)%len(in)]
}
