// Package pace divides long work into slices, so that other goroutines run in between even
// on a single processor.
package pace

import "time"

const (
	// sliceLength is the longest time without a rest.
	sliceLength = time.Millisecond
	// restLength is the time until the next slice. While any goroutine is runnable, the
	// scheduler polls the network only each 10 ms; a sleep lets it poll at once, which
	// runtime.Gosched does not.
	restLength = time.Millisecond
)

// Pacer divides the work of one goroutine into slices. The zero value is ready to use.
type Pacer struct {
	restedAt time.Time // zero before the first call of Pause
}

// Pause rests if the current slice is over. Work that is paced calls it often.
func (p *Pacer) Pause() {
	now := time.Now()
	if p.restedAt.IsZero() {
		p.restedAt = now
	}
	if now.Sub(p.restedAt) < sliceLength {
		return
	}
	time.Sleep(restLength)
	p.restedAt = time.Now()
}
