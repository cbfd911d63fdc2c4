package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Timing and weights of the order among waiting requests.
const (
	// waitingSilence is how long after the last message of a peer its waiting requests go
	// before others; waitingRepeat is the time between two statements of what still waits.
	waitingSilence = time.Second
	waitingRepeat  = 400 * time.Millisecond
	// maxWaitingReports bounds the requests that one instance states.
	maxWaitingReports = 64
	// agingWeight is the weight of the time that a request has waited, in multiples of its
	// target latency, against the value that it earns for its engine time.
	agingWeight = 1.0
)

// WaitingReport states one request that waits for capacity at its sender.
type WaitingReport struct {
	_ struct{} `cbor:",toarray"`
	// Service is the service that the request waits for.
	Service string
	// Request identifies the request within the process of the sender.
	Request uint64
	// Ended says that the request does not wait any more.
	Ended bool
	// Priority is that of the request, 0 for the most urgent ones.
	Priority int
	// Value is that of TargetLoad, EngineMS the time of one idle engine for the prompt in
	// milliseconds.
	Value, EngineMS float64
	// WaitedMS is the time since the arrival, LeftMS the time until the caller disconnects,
	// and TargetLatencyMS the objective for the first event.
	WaitedMS, LeftMS, TargetLatencyMS int
	// Workspace is the name of the caller's workspace, empty on anonymous routes.
	Workspace string
}

// heardWaiting is a peer's report with the time at which it was heard.
type heardWaiting struct {
	WaitingReport
	heardAt time.Duration
}

// waitingRequest is one request in the order of those that wait.
type waitingRequest struct {
	WaitingReport
	instance string
	own      *activeRequest // nil for those of peers
	worth    float64
}

// beginWait records that a request waits, and tells the peers.
func (c *Core) beginWait(a *activeRequest) {
	id := a.arrival.Request
	if c.waiting[id] != nil {
		return
	}
	c.waiting[id] = a
	if len(c.waiting) <= maxWaitingReports {
		c.stateWaiting(c.waitingReport(a))
	}
	if len(c.waiting) == 1 && !c.waitingRepeated {
		c.waitingRepeated = true
		c.afterFunc(waitingRepeat, c.repeatWaiting)
	}
}

// endWait records that a request does not wait any more, and tells the peers.
func (c *Core) endWait(a *activeRequest) {
	id := a.arrival.Request
	if c.waiting[id] == nil {
		return
	}
	delete(c.waiting, id)
	c.stateWaiting(WaitingReport{Service: a.service, Request: uint64(id), Ended: true})
}

// stateWaiting adds a statement to the next message for services with engines, whose requests
// have an order.
func (c *Core) stateWaiting(report WaitingReport) {
	if c.peerCount() == 0 || !report.Ended && report.EngineMS == 0 {
		return
	}
	news := c.pendingNews()
	news.Waiting = append(news.Waiting, report)
}

// repeatWaiting tells the instances that share targets what still waits.
func (c *Core) repeatWaiting() {
	if len(c.waiting) == 0 {
		c.waitingRepeated = false
		return
	}
	c.afterFunc(waitingRepeat, c.repeatWaiting)
	if reports := c.waitingReports(); len(reports) > 0 && c.peerCount() > 0 {
		c.emit(SendGossip{Domain: c.gossipDomain(), Gossip: Gossip{News: &News{Waiting: reports}}})
	}
}

// waitingReports states the requests of this instance that wait, in the order of their ids.
func (c *Core) waitingReports() []WaitingReport {
	var reports []WaitingReport
	for _, a := range c.waiting {
		if report := c.waitingReport(a); report.EngineMS > 0 {
			reports = append(reports, report)
		}
	}
	slices.SortFunc(reports, func(a, b WaitingReport) int { return cmp.Compare(a.Request, b.Request) })
	return reports[:min(len(reports), maxWaitingReports)]
}

// waitingReport states a request of this instance.
func (c *Core) waitingReport(a *activeRequest) WaitingReport {
	report := WaitingReport{
		Service: a.service, Request: uint64(a.arrival.Request), Priority: a.priority(), Value: a.value,
		WaitedMS: int(toMS(c.now - a.arrivedAt)), LeftMS: int(toMS(a.firstEventDeadline() - c.now)),
		TargetLatencyMS: int(toMS(a.arrival.Route.TargetLatency)),
	}
	if e := c.engineOf(a); e != nil {
		report.EngineMS = e.prefillMS(a.arrival.PromptTokens, 1)
	}
	if a.arrival.Caller != nil {
		report.Workspace = a.arrival.Caller.Name
	}
	return report
}

// applyWaiting applies what a message of a peer's process says of its waiting requests. A full
// message names all of them.
func (c *Core) applyWaiting(process *peerProcess, g *Gossip) {
	if g.Full {
		clear(process.waiting)
	}
	if g.News != nil {
		for _, report := range g.News.Waiting {
			process.hearWaiting(report, c.now)
		}
	}
	if len(process.waiting) > 0 {
		c.waitingPeers[process] = true
	} else {
		delete(c.waitingPeers, process)
	}
}

// hearWaiting records one statement of the process.
func (p *peerProcess) hearWaiting(report WaitingReport, now time.Duration) {
	_, known := p.waiting[report.Request]
	switch {
	case report.Ended:
		delete(p.waiting, report.Request)
	case known || len(p.waiting) < maxWaitingReports:
		if p.waiting == nil {
			p.waiting = make(map[uint64]heardWaiting)
		}
		p.waiting[report.Request] = heardWaiting{report, now}
	}
}

// waitingOrder returns the requests that wait for a service here and at peers that were heard
// within waitingSilence, with a itself, in the order in which they are to be served. Instances
// that know the same requests have the same order.
func (c *Core) waitingOrder(a *activeRequest) []waitingRequest {
	var order []waitingRequest
	add := func(report WaitingReport, instance string, own *activeRequest) {
		if report.Service == a.service && report.EngineMS > 0 && report.LeftMS > 0 {
			order = append(order, waitingRequest{report, instance, own, report.worth()})
		}
	}
	for _, own := range c.waiting {
		if own != a {
			add(c.waitingReport(own), c.opts.Name, own)
		}
	}
	add(c.waitingReport(a), c.opts.Name, a)
	for process := range c.waitingPeers {
		if c.now-process.lastMessageAt > waitingSilence {
			delete(c.waitingPeers, process)
			clear(process.waiting)
			continue
		}
		for _, heard := range process.waiting {
			ageMS := int(toMS(c.now - heard.heardAt))
			heard.WaitedMS, heard.LeftMS = heard.WaitedMS+ageMS, heard.LeftMS-ageMS
			add(heard.WaitingReport, process.owner.peer, nil)
		}
	}
	shareByWorkspace(order)
	return order
}

// worth is the value that a request earns for its engine time, which rises while it waits.
func (w *WaitingReport) worth() float64 {
	return w.Value / w.EngineMS * (1 + agingWeight*float64(w.WaitedMS)/float64(max(1, w.TargetLatencyMS)))
}

// shareByWorkspace sorts requests by priority and worth. The worth of the second request of a
// workspace counts half, that of the third a third: a workspace with many waiting requests
// takes no more than its share from the others.
func shareByWorkspace(order []waitingRequest) {
	slices.SortFunc(order, compareWaiting)
	type share struct {
		priority  int
		workspace string
	}
	counts := make(map[share]int)
	for i := range order {
		key := share{order[i].Priority, order[i].Workspace}
		counts[key]++
		order[i].worth /= float64(counts[key])
	}
	slices.SortFunc(order, compareWaiting)
}

func compareWaiting(a, b waitingRequest) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.worth, a.worth), cmp.Compare(a.instance, b.instance),
		cmp.Compare(a.Request, b.Request))
}

// waitingBefore returns the waiting requests that go before a, in their order.
func (c *Core) waitingBefore(a *activeRequest) []waitingRequest {
	if len(c.waitingPeers) == 0 && (len(c.waiting) == 0 || len(c.waiting) == 1 && c.waiting[a.arrival.Request] == a) {
		return nil
	}
	order := c.waitingOrder(a)
	return order[:max(0, slices.IndexFunc(order, func(w waitingRequest) bool { return w.own == a }))]
}

// waitingBeforeMS is the time that the targets take for the prompts that go before a waiting
// request.
func (c *Core) waitingBeforeMS(a *activeRequest, targets int) float64 {
	var totalMS float64
	for _, w := range c.waitingBefore(a) {
		totalMS += w.EngineMS
	}
	return totalMS / float64(max(1, targets))
}

// isBehindOthers reports whether more requests with long prompts go before this one than the
// targets can prefill beside each other in preferredParts each.
func (c *Core) isBehindOthers(a *activeRequest) bool {
	before := 0
	for _, w := range c.waitingBefore(a) {
		if w.EngineMS >= a.maxShortPrefillMS() {
			before++
		}
	}
	return before > max(1, len(c.candidateTargets(a))/preferredParts)
}
