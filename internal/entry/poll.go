package entry

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/target"
)

// Polling of load reports. The rate is limited so that polls stay a small part of
// the network budget with any number of engines; targets in use also report with
// their answers.
const (
	pollInterval      = 500 * time.Millisecond // between polls of one engine
	maxPollsPerSecond = 8                      // by one entry instance
)

// poller polls the engines for load reports, in turn.
type poller struct {
	targets    []string
	next       int
	unanswered map[string]bool // polls without a reply
	timerSet   bool            // a timer is set
}

// resetPolling polls the targets of a configuration that was adopted.
func (e *Entry) resetPolling() {
	p := &e.poller
	p.targets = p.targets[:0]
	e.targets.ForEachCandidate(func(tg *target.Target) { p.targets = append(p.targets, tg.Name) })
	p.unanswered = make(map[string]bool)
	if !p.timerSet && len(p.targets) > 0 {
		p.timerSet = true
		e.pollNext()
	}
}

// pollNext polls the next engine and sets the timer for the one after it.
func (e *Entry) pollNext() {
	p := &e.poller
	if len(p.targets) == 0 {
		p.timerSet = false
		return
	}
	p.next %= len(p.targets)
	name := p.targets[p.next]
	p.next++
	if tg := e.targets.Get(name); tg != nil && !p.unanswered[name] {
		p.unanswered[name] = true
		e.emit(Poll{Target: name, Address: tg.Address})
	}
	e.scheduleAfter(max(pollInterval/time.Duration(len(p.targets)), time.Second/maxPollsPerSecond), e.pollNext)
}

// recordPollReply records that the poll of a target was answered or failed.
func (e *Entry) recordPollReply(name string) { delete(e.poller.unanswered, name) }
