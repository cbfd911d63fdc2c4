package simulate

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The value of a request grows with its prompt: the kind's value is multiplied by
// sizeFactorBase plus sizeFactorSlope times the ratio of the prompt to the kind's
// mean, up to maxSizeFactor. The other constants belong to the histograms, to
// Group.Nines and to the worst windows of a day.
const (
	sizeFactorBase     = 0.3
	sizeFactorSlope    = 0.7
	maxSizeFactor      = 4.0
	histogramMaxMS     = 60_000
	histogramDigits    = 3
	minUnservedShare   = 0.001 // share not served at or below which Group.Nines is 1
	windowWidth        = 2 * time.Second
	worstWindowsPerDay = 2
)

// Report sums up the outcomes of the calls of one or more days.
type Report struct {
	Groups            []*Group  // all requests, then by kind, size and failure domain
	worstWindowShares []float64 // value shares of the worst windows of each day
	unfinished        int       // calls that had not ended
	// See Simulation.
	prefilledTokens, wastedTokens, cancelledAttempts int
}

// Group sums up the outcomes of a set of requests.
type Group struct {
	Name                                               string
	Requests, InTime, Late, Refused, Failed, Abandoned int
	earnedValue, possibleValue                         float64
	timeToFirstEvent, longestPause                     *hdrhistogram.Histogram
	firstEventRatio                                    *hdrhistogram.Histogram // observed to forecast, in hundredths
	lateFirstEvents, latePauses, lateEvents            int
	streamsLost                                        int // of those that had begun
}

func newGroup(name string) *Group {
	return &Group{
		Name: name, timeToFirstEvent: hdrhistogram.New(1, histogramMaxMS, histogramDigits), longestPause: hdrhistogram.New(1, histogramMaxMS, histogramDigits),
		firstEventRatio: hdrhistogram.New(1, histogramMaxMS, histogramDigits),
	}
}

// ValueShare returns the value of the answers as a share of the value that they would
// have had if all had been in time.
func (g *Group) ValueShare() float64 { return g.earnedValue / max(g.possibleValue, 1e-9) }

// Nines returns the share of requests served, in time or late, on a logarithmic scale:
// 0 if none was served, and 1 if at most one in a thousand was not.
func (g *Group) Nines() float64 {
	if g.Requests == 0 {
		return 0
	}
	unserved := max(minUnservedShare, float64(g.Refused+g.Failed+g.Abandoned)/float64(g.Requests))
	return math.Log(unserved) / math.Log(minUnservedShare)
}

// addCall adds the outcome of a call.
func (g *Group) addCall(c *call) {
	value := c.kind.InTimeValue * min(maxSizeFactor, sizeFactorBase+sizeFactorSlope*float64(c.promptTokens)/c.kind.MeanPromptTokens)
	g.Requests++
	g.lateEvents += c.lateEvents
	if c.hasFirstEvent && c.outcome != outcomeComplete {
		g.streamsLost++
	}
	g.possibleValue += value
	if c.firstEventRatio > 0 {
		_ = g.firstEventRatio.RecordValue(min(histogramMaxMS, max(1, int64(100*c.firstEventRatio))))
	}
	switch c.outcome {
	case outcomeComplete:
		if c.timeToFirstEvent <= c.kind.FirstEventTarget && c.longestPause <= c.kind.MaxEventGap {
			g.InTime++
			g.earnedValue += value
		} else {
			g.Late++
			g.earnedValue += value * c.kind.LateValue / c.kind.InTimeValue
		}
		if c.timeToFirstEvent > c.kind.FirstEventTarget {
			g.lateFirstEvents++
		} else if c.longestPause > c.kind.MaxEventGap {
			g.latePauses++
		}
		// Values above the histogram's range are recorded as its maximum.
		_ = g.timeToFirstEvent.RecordValue(min(histogramMaxMS, c.timeToFirstEvent.Milliseconds()))
		_ = g.longestPause.RecordValue(min(histogramMaxMS, c.longestPause.Milliseconds()))
	case outcomeRefused:
		g.Refused++
	case outcomeAbandoned:
		g.Abandoned++
	case outcomeFailed:
		g.Failed++
	case outcomePending: // counted by newReport
	}
}

func newReport(day Day, calls []*call) *Report {
	r := &Report{worstWindowShares: worstWindows(calls)}
	r.addCalls(day, calls)
	for _, c := range calls {
		if c.outcome == outcomePending {
			r.unfinished++
		}
	}
	return r
}

// findOrAddGroup returns the group of a name, which it adds if it doesn't exist.
func (r *Report) findOrAddGroup(name string) *Group {
	for _, g := range r.Groups {
		if g.Name == name {
			return g
		}
	}
	g := newGroup(name)
	r.Groups = append(r.Groups, g)
	return g
}

// addCalls adds calls to their groups: all, kind, the tenth with the largest prompts of
// each kind, and failure domain. The first groups are added in a fixed order, since the
// table follows it.
func (r *Report) addCalls(day Day, calls []*call) {
	r.findOrAddGroup("all")
	for _, k := range day.Kinds {
		r.findOrAddGroup(k.Name)
	}
	for _, k := range day.Kinds {
		var sizes []int
		for _, c := range calls {
			if c.kind.Name == k.Name {
				sizes = append(sizes, c.promptTokens)
			}
		}
		if len(sizes) == 0 {
			continue
		}
		slices.Sort(sizes)
		largeFrom := sizes[len(sizes)*9/10]
		for _, c := range calls {
			if c.kind.Name != k.Name {
				continue
			}
			r.findOrAddGroup("all").addCall(c)
			r.findOrAddGroup(k.Name).addCall(c)
			if c.promptTokens >= largeFrom {
				r.findOrAddGroup(k.Name + ", largest tenth").addCall(c)
			}
			r.findOrAddGroup(c.domain).addCall(c)
		}
	}
}

// Merge adds the results of another report.
func (r *Report) Merge(o *Report) {
	for _, g := range o.Groups {
		r.findOrAddGroup(g.Name).merge(g)
	}
	r.worstWindowShares = append(r.worstWindowShares, o.worstWindowShares...)
	r.unfinished += o.unfinished
	r.prefilledTokens, r.wastedTokens = r.prefilledTokens+o.prefilledTokens, r.wastedTokens+o.wastedTokens
	r.cancelledAttempts += o.cancelledAttempts
}

func (g *Group) merge(o *Group) {
	g.Requests, g.InTime, g.Late = g.Requests+o.Requests, g.InTime+o.InTime, g.Late+o.Late
	g.Refused, g.Failed, g.Abandoned = g.Refused+o.Refused, g.Failed+o.Failed, g.Abandoned+o.Abandoned
	g.lateFirstEvents, g.latePauses = g.lateFirstEvents+o.lateFirstEvents, g.latePauses+o.latePauses
	g.lateEvents, g.streamsLost = g.lateEvents+o.lateEvents, g.streamsLost+o.streamsLost
	g.earnedValue, g.possibleValue = g.earnedValue+o.earnedValue, g.possibleValue+o.possibleValue
	g.timeToFirstEvent.Merge(o.timeToFirstEvent)
	g.longestPause.Merge(o.longestPause)
	g.firstEventRatio.Merge(o.firstEventRatio)
}

// ratioAt returns a percentile of the ratios of observed to forecast times of first events.
func (g *Group) ratioAt(percentile float64) float64 {
	return float64(g.firstEventRatio.ValueAtQuantile(percentile)) / 100
}

// MeanWorstWindows returns the mean value share of the worst windows of each day.
func (r *Report) MeanWorstWindows() float64 {
	sum := 0.0
	for _, w := range r.worstWindowShares {
		sum += w
	}
	return sum / float64(max(1, len(r.worstWindowShares)))
}

// worstWindows returns the value shares of the worst windows of a day. A call belongs
// to the window of its arrival.
func worstWindows(calls []*call) []float64 {
	windows := make(map[int]*Group)
	for _, c := range calls {
		i := int(c.arrivedAt / windowWidth)
		if windows[i] == nil {
			windows[i] = newGroup("")
		}
		windows[i].addCall(c)
	}
	var shares []float64
	for _, w := range windows {
		shares = append(shares, w.ValueShare())
	}
	slices.Sort(shares)
	return shares[:min(worstWindowsPerDay, len(shares))]
}

// All returns the group of all requests.
func (r *Report) All() *Group { return r.Groups[0] }

// WriteText writes the report as a text table with a row for each group.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "requests\tasked\tin time\tlate first\tpaused\trefused\tfailed\tleft\tworth\tnines\tfirst p50 ms\tp99\tpause p50\tp99\tfirst/forecast p50\tp90\tp99\t")
	for _, g := range r.Groups {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.2f\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n", g.Name, g.Requests, g.InTime, g.lateFirstEvents, g.latePauses,
			g.Refused, g.Failed, g.Abandoned, g.ValueShare(), g.Nines(), g.timeToFirstEvent.ValueAtQuantile(50), g.timeToFirstEvent.ValueAtQuantile(99),
			g.longestPause.ValueAtQuantile(50), g.longestPause.ValueAtQuantile(99),
			g.ratioAt(50), g.ratioAt(90), g.ratioAt(99))
	}
	fmt.Fprintf(t, "two worst stretches\t\t\t\t\t\t\t\t%.3f\t\t\t\t\t\t\t\t\t\n", r.MeanWorstWindows())
	return t.Flush()
}
