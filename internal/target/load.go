package target

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/request"
)

// Priorities holds the engine priority of each length class.
type Priorities [request.NumClasses]int

// DefaultPriorities gives shorter classes higher priorities.
func DefaultPriorities() Priorities {
	var p Priorities
	for c := range p {
		p[c] = request.NumClasses - c
	}
	return p
}

// AttemptLoad describes the load that one attempt of this entry instance puts on a
// target.
type AttemptLoad struct {
	Attempt request.AttemptID
	Class   request.Class
	// PrefillTokens counts the prompt tokens that the target has to prefill,
	// without those expected in its cache.
	PrefillTokens int
	// MemoryTokens is the KV memory for the prompt and the longest answer.
	MemoryTokens int
}

// inFlightAttempt is an attempt in flight with its progress.
type inFlightAttempt struct {
	AttemptLoad
	sentAt         time.Duration
	firstTokenSeen bool
	firstTokenAt   time.Duration // valid if firstTokenSeen
	tokensAhead    float64       // prefill tokens predicted ahead of it when it was sent
	inReport       bool          // the last report was taken after it was sent
}

// loadEstimate adjusts the last report for the attempts of this entry instance since
// then. An element of an array by class sums the prefill tokens that run before a
// request of that class: those of the same or a higher priority.
type loadEstimate struct {
	inFlight             []inFlightAttempt
	reportedAt           time.Duration
	reportedQueue        [request.NumClasses]float64 // queued according to the report
	sentSinceReport      [request.NumClasses]float64 // sent after the report and not prefilled yet
	prefilledSinceReport [request.NumClasses]float64 // counted in the report and prefilled after it
	memoryDelta          int                         // KV tokens taken since the report minus those released
	longPrefillTokens    int                         // own unfinished prefill tokens of long classes
}

// RecordSent records that an attempt was sent to the target.
func (t *Table) RecordSent(now time.Duration, tg *Target, f AttemptLoad) {
	w := &tg.load
	tg.Outstanding++
	w.inFlight = append(w.inFlight, inFlightAttempt{AttemptLoad: f, sentAt: now, tokensAhead: t.PrefillTokensAhead(now, tg, f.Class)})
	t.addTokensAhead(&w.sentSinceReport, f.Class, f.PrefillTokens)
	w.memoryDelta += f.MemoryTokens
	if f.Class >= request.ClassLong {
		w.longPrefillTokens += f.PrefillTokens
	}
}

// RecordFirstToken records the first token of an attempt and updates the learnt prefill
// rate. It ignores unknown attempts and further calls for the same attempt.
func (t *Table) RecordFirstToken(now time.Duration, tg *Target, id request.AttemptID) {
	f := tg.load.findAttempt(id)
	if f == nil || f.firstTokenSeen {
		return
	}
	f.firstTokenSeen, f.firstTokenAt = true, now
	t.removePrefill(tg, f)
	t.recordPrefillSample(tg, f.Class, f.tokensAhead+float64(f.PrefillTokens), now-f.sentAt)
}

// RecordEnd records that an attempt ended after it delivered so many tokens. It ignores
// unknown attempts.
func (t *Table) RecordEnd(now time.Duration, tg *Target, id request.AttemptID, tokens int) {
	w := &tg.load
	f := w.findAttempt(id)
	if f == nil {
		return
	}
	tg.Outstanding--
	if !f.firstTokenSeen {
		t.removePrefill(tg, f)
	} else if tokens > 1 {
		t.recordStepSample(tg, (now-f.firstTokenAt)/time.Duration(tokens-1))
	}
	w.memoryDelta -= f.MemoryTokens
	*f = w.inFlight[len(w.inFlight)-1]
	w.inFlight = w.inFlight[:len(w.inFlight)-1]
}

// removePrefill removes an attempt's prompt from the work ahead of other attempts.
func (t *Table) removePrefill(tg *Target, f *inFlightAttempt) {
	w := &tg.load
	if f.inReport {
		t.addPrefilledSinceReport(tg, f)
	} else {
		t.addTokensAhead(&w.sentSinceReport, f.Class, -f.PrefillTokens)
	}
	if f.Class >= request.ClassLong {
		w.longPrefillTokens -= f.PrefillTokens
	}
}

// SetReport stores a load report that arrived now and recomputes the load estimate.
// It returns false and drops the report if it is older than the last one.
func (t *Table) SetReport(now time.Duration, tg *Target, r Report) bool {
	old := tg.Report
	if old.Incarnation == r.Incarnation && old.Sequence > r.Sequence {
		return false
	}
	tg.Report = r
	w := &tg.load
	w.reportedAt = now - r.Age
	if old.Incarnation == r.Incarnation && r.QueuedPrefillTokens < old.QueuedPrefillTokens {
		tg.RecordProgress(w.reportedAt)
	}
	w.reportedQueue = t.reportedTokensAhead(r)
	w.sentSinceReport = [request.NumClasses]float64{}
	w.prefilledSinceReport = [request.NumClasses]float64{}
	w.memoryDelta = 0
	for i := range w.inFlight {
		f := &w.inFlight[i]
		f.inReport = f.sentAt < w.reportedAt
		if f.inReport {
			if f.firstTokenSeen && f.firstTokenAt > w.reportedAt {
				t.addPrefilledSinceReport(tg, f)
			}
			continue
		}
		w.memoryDelta += f.MemoryTokens
		if !f.firstTokenSeen {
			t.addTokensAhead(&w.sentSinceReport, f.Class, f.PrefillTokens)
		}
	}
	return true
}

// reportedTokensAhead returns the queued tokens of a report that run before a request
// of each class.
func (t *Table) reportedTokensAhead(r Report) (ahead [request.NumClasses]float64) {
	for c := range ahead {
		if len(r.QueuedByPriority) == 0 {
			ahead[c] = float64(r.QueuedPrefillTokens)
		}
		for _, q := range r.QueuedByPriority {
			if q.Priority >= t.priorities[c] {
				ahead[c] += float64(q.Tokens)
			}
		}
	}
	return ahead
}

// addTokensAhead adds tokens of a class to the sums of all classes that do not have
// a higher priority.
func (t *Table) addTokensAhead(sums *[request.NumClasses]float64, c request.Class, tokens int) {
	for i := range sums {
		if t.priorities[c] >= t.priorities[i] {
			sums[i] += float64(tokens)
		}
	}
}

// addPrefilledSinceReport subtracts the prompt of an attempt from the reported queue.
// If the report does not split its queue by priority, the whole queue counts as ahead
// of every class, and so does the attempt.
func (t *Table) addPrefilledSinceReport(tg *Target, f *inFlightAttempt) {
	if len(tg.Report.QueuedByPriority) > 0 {
		t.addTokensAhead(&tg.load.prefilledSinceReport, f.Class, f.PrefillTokens)
		return
	}
	for c := range tg.load.prefilledSinceReport {
		tg.load.prefilledSinceReport[c] += float64(f.PrefillTokens)
	}
}

// PrefillTokensAhead predicts the prefill tokens that run before a new request of the
// class: the reported queue minus what was prefilled since, plus what this entry
// instance has sent since.
func (t *Table) PrefillTokensAhead(now time.Duration, tg *Target, c request.Class) float64 {
	w := &tg.load
	prefilled := w.prefilledSinceReport[c]
	if w.reportedQueue[c] > 0 {
		prefilled = max(prefilled, t.PrefillRate(tg, request.ClassShort)*(now-w.reportedAt).Seconds())
	}
	return max(0, w.reportedQueue[c]-prefilled) + max(0, w.sentSinceReport[c])
}

// ReportedAt returns the time at which the values of the last report were taken.
func (t *Target) ReportedAt() time.Duration { return t.load.reportedAt }

// FreeTokens predicts the free KV memory of the target, in tokens; ok is false if
// the target has not reported its capacity.
func (t *Target) FreeTokens() (free int, ok bool) {
	r := &t.Report
	if r.KVCapacityTokens == 0 {
		return 0, false
	}
	return r.KVCapacityTokens - r.KVUsedTokens - r.KVHeldTokens - max(0, t.load.memoryDelta), true
}

// LongPrefillTokens returns the tokens of long classes that this entry instance has
// sent to the target and that are not prefilled yet.
func (t *Target) LongPrefillTokens() int { return t.load.longPrefillTokens }

func (w *loadEstimate) findAttempt(id request.AttemptID) *inFlightAttempt {
	for i := range w.inFlight {
		if w.inFlight[i].Attempt == id {
			return &w.inFlight[i]
		}
	}
	return nil
}
