package fleet

import "github.com/medlardeck/medlardeck/internal/quarantine"

// News is what instances tell one another besides loads and failed targets. Statements
// that are repeated change nothing.
type News struct {
	_         struct{} `cbor:",toarray"`
	Crashes   []quarantine.Crash
	Verdicts  []quarantine.Verdict
	Survivals []quarantine.Survival
	Limits    []LimitReport
	// Evacuations are what the sender knows of evacuated failure domains.
	Evacuations []EvacuationReport
	// Costs are what the sender has learned about the cost of requests.
	Costs []CostReport
	// Waiting are the sender's requests that wait for capacity.
	Waiting []WaitingReport
	// CrashedRuns are runs at the targets that Crashes name.
	CrashedRuns []quarantine.CrashedRuns
}

// addCrash adds a crash with the runs that it ended.
func (n *News) addCrash(crash quarantine.Crash, runs quarantine.CrashedRuns) {
	n.Crashes = append(n.Crashes, crash)
	if len(runs.Runs) > 0 {
		n.CrashedRuns = append(n.CrashedRuns, runs)
	}
}

// crashedRuns returns the runs that ended with a target.
func (n *News) crashedRuns(death quarantine.Death) []quarantine.CrashedRun {
	for _, runs := range n.CrashedRuns {
		if runs.Death == death {
			return runs.Runs
		}
	}
	return nil
}

// pendingNews returns the pending news for all peers and schedules their message.
func (c *Core) pendingNews() *News {
	if c.outbox.pending.News == nil {
		c.outbox.pending.News = &News{}
	}
	c.scheduleGossip()
	return c.outbox.pending.News
}

// addSurvivals adds survivals to a message.
func (g *Gossip) addSurvivals(survivals ...quarantine.Survival) {
	if len(survivals) == 0 {
		return
	}
	if g.News == nil {
		g.News = &News{}
	}
	g.News.Survivals = append(g.News.Survivals, survivals...)
}

// addCosts adds reports of costs to a message.
func (g *Gossip) addCosts(costs []CostReport) {
	if len(costs) == 0 {
		return
	}
	if g.News == nil {
		g.News = &News{}
	}
	g.News.Costs = costs
}

// stateNews adds what this instance knows to a full message.
func (c *Core) stateNews(g *Gossip) {
	for len(c.reportedCrashes) > maxRepeatedCrashes || len(c.reportedCrashes) > 0 && c.now-c.reportedCrashes[0].at > crashRepeatTime {
		c.reportedCrashes = c.reportedCrashes[1:]
	}
	news := News{Verdicts: c.culprits.Verdicts(c.now), Limits: c.limitReports(), Evacuations: c.repeatedEvacuations(), Waiting: c.waitingReports()}
	for _, reported := range c.reportedCrashes {
		crash := reported.Crash
		crash.Age = c.now - reported.at
		news.addCrash(crash, reported.runs)
	}
	if len(news.Crashes)+len(news.Verdicts)+len(news.Limits)+len(news.Evacuations)+len(news.Waiting) > 0 {
		g.News = &news
	}
}

// applyNews applies a peer's news. A verdict against a fingerprint with which a
// run has survived since is answered by that survival.
func (c *Core) applyNews(from string, news *News) {
	for _, survival := range news.Survivals {
		fps := []quarantine.Fingerprint{survival.Fingerprint}
		c.recordReleases(c.culprits.RecordSurvival(c.now-survival.Age, fps), false)
	}
	for _, crash := range news.Crashes {
		c.recordCrash(crash, news.crashedRuns(crash.Death))
	}
	for _, report := range news.Limits {
		c.applyLimit(report)
	}
	c.applyCosts(news.Costs)
	c.applyEvacuations(news.Evacuations, EvacuationToldByPeer)
	var answer Gossip
	for _, v := range news.Verdicts {
		survival, adopted := c.culprits.AdoptVerdict(c.now, v)
		if survival != nil {
			answer.addSurvivals(*survival)
		}
		if adopted {
			c.log("fingerprint-blocked", "fingerprint", formatFingerprint(v.Fingerprint), "told_by", from)
			c.incrementCounter("fingerprints", "adopted")
		}
	}
	if answer.News != nil {
		c.emit(SendGossip{Peer: from, Gossip: answer})
	}
}
