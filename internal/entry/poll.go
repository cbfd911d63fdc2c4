package entry

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/target"
)

// Polling of load reports. The rate is bounded so that it stays a small part
// of the network budget however many engines there are; reports carried by
// answers fill the gaps for targets in use.
const (
	pollInterval      = 500 * time.Millisecond // between polls of one engine
	maxPollsPerSecond = 8                      // of one entry instance
)

// poller asks the engines for load reports, in turn.
type poller struct {
	targets []string
	next    int
	pending map[string]bool // polls without a reply
	running bool            // a timer is set
}

// pollEngines takes up the targets of an adopted configuration.
func (e *Entry) pollEngines() {
	p := &e.poller
	p.targets = p.targets[:0]
	e.targets.Candidates(func(tg *target.Target) { p.targets = append(p.targets, tg.Name) })
	p.pending = make(map[string]bool)
	if !p.running && len(p.targets) > 0 {
		p.running = true
		e.poll()
	}
}

// poll asks the next engine and sets the timer for the one after it.
func (e *Entry) poll() {
	p := &e.poller
	if len(p.targets) == 0 {
		p.running = false
		return
	}
	p.next %= len(p.targets)
	name := p.targets[p.next]
	p.next++
	if tg := e.targets.Get(name); tg != nil && !p.pending[name] {
		p.pending[name] = true
		e.emit(Poll{Target: name, Address: tg.Address})
	}
	e.scheduleAfter(max(pollInterval/time.Duration(len(p.targets)), time.Second/maxPollsPerSecond), e.poll)
}

// polled notes that a poll has its reply.
func (e *Entry) polled(name string) { delete(e.poller.pending, name) }
