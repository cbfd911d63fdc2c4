package entry

// Gauge documents one gauge of an entry instance: /metrics serves it as
// medlardeck_NAME.
type Gauge struct {
	Name    string
	Meaning string
	read    func(*Entry) int
}

// Gauges returns every gauge in the order of the documentation.
func Gauges() []Gauge {
	return []Gauge{
		{"configuration_revision", "revision in force", func(e *Entry) int { return int(e.accepted.Revision) }},
		{"requests", "requests in progress", func(e *Entry) int { return len(e.requests) }},
		{"requests_waiting", "requests in the queues of their classes", func(e *Entry) int { return e.queues.Len() }},
		{"claim_records", "records of claims in the shards in memory", func(e *Entry) int { return e.ClaimStats().Records }},
		{"claim_bytes", "their size in the store, in bytes", func(e *Entry) int { return e.ClaimStats().Bytes }},
		{"claims_pending", "claims and outcomes not yet written", func(e *Entry) int { return e.ClaimStats().Pending }},
		{"claim_shards_failing", "shards whose last call to the store failed", func(e *Entry) int { return e.ClaimStats().Failing }},
	}
}

// GaugeValue returns the current value of a gauge.
func (e *Entry) GaugeValue(g Gauge) int { return g.read(e) }
