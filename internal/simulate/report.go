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

// Bounds of a request's worth by its size, and of the histograms.
const (
	sizeBase    = 0.3
	sizeSlope   = 0.7
	maxWorth    = 4.0
	histMaxMS   = 60_000
	histDigits  = 3
	bestNines   = 0.001 // share not served that counts as perfect
	windowWidth = 2 * time.Second
)

// Report is what the callers of one or more days got.
type Report struct {
	Groups []*Group  // all, then by kind, by size and by failure domain
	worst  []float64 // worths of the worst stretches of each day
	open   int       // requests that had not ended
}

// Group sums up some requests.
type Group struct {
	Name                                       string
	Asked, InTime, Late, Refused, Failed, Left int
	earned, owed                               float64
	first, pause                               *hdrhistogram.Histogram
	lateByFirst, lateByPause                   int
}

func newGroup(name string) *Group {
	return &Group{
		Name: name, first: hdrhistogram.New(1, histMaxMS, histDigits), pause: hdrhistogram.New(1, histMaxMS, histDigits),
	}
}

// Worth is the share of what answers in time would have been worth.
func (g *Group) Worth() float64 { return g.earned / max(g.owed, 1e-9) }

// Nines is the share served at all on a logarithmic scale: 1 where one in a
// thousand was not.
func (g *Group) Nines() float64 {
	if g.Asked == 0 {
		return 0
	}
	lost := max(bestNines, float64(g.Refused+g.Failed+g.Left)/float64(g.Asked))
	return math.Log(lost) / math.Log(bestNines)
}

func (g *Group) add(c *call) {
	worth := c.kind.Worth * min(maxWorth, sizeBase+sizeSlope*float64(c.prompt)/c.kind.Prompt)
	g.Asked++
	g.owed += worth
	switch c.outcome {
	case outcomeComplete:
		if c.first <= c.kind.Target && c.pause <= c.kind.Pause {
			g.InTime++
			g.earned += worth
		} else {
			g.Late++
			g.earned += worth * c.kind.Late / c.kind.Worth
		}
		if c.first > c.kind.Target {
			g.lateByFirst++
		} else if c.pause > c.kind.Pause {
			g.lateByPause++
		}
		// Values beyond the histogram's range count as its largest.
		_ = g.first.RecordValue(min(histMaxMS, c.first.Milliseconds()))
		_ = g.pause.RecordValue(min(histMaxMS, c.pause.Milliseconds()))
	case outcomeRefused:
		g.Refused++
	case outcomeLeft:
		g.Left++
	case outcomeFailed:
		g.Failed++
	case outcomeOpen: // counted by newReport
	}
}

func newReport(day Day, calls []*call) *Report {
	r := &Report{worst: worstWindows(calls)}
	r.collect(day, calls)
	for _, c := range calls {
		if c.outcome == outcomeOpen {
			r.open++
		}
	}
	return r
}

func (r *Report) group(name string) *Group {
	for _, g := range r.Groups {
		if g.Name == name {
			return g
		}
	}
	g := newGroup(name)
	r.Groups = append(r.Groups, g)
	return g
}

func (r *Report) collect(day Day, calls []*call) {
	r.group("all")
	for _, k := range day.Kinds {
		r.group(k.Name)
	}
	for _, k := range day.Kinds {
		var sizes []int
		for _, c := range calls {
			if c.kind.Name == k.Name {
				sizes = append(sizes, c.prompt)
			}
		}
		if len(sizes) == 0 {
			continue
		}
		slices.Sort(sizes)
		largest := sizes[len(sizes)*9/10]
		for _, c := range calls {
			if c.kind.Name != k.Name {
				continue
			}
			r.group("all").add(c)
			r.group(k.Name).add(c)
			if c.prompt >= largest {
				r.group(k.Name + ", largest tenth").add(c)
			}
			r.group(c.domain).add(c)
		}
	}
}

// Merge adds another day's report.
func (r *Report) Merge(o *Report) {
	for _, g := range o.Groups {
		r.group(g.Name).merge(g)
	}
	r.worst = append(r.worst, o.worst...)
	r.open += o.open
}

func (g *Group) merge(o *Group) {
	g.Asked, g.InTime, g.Late = g.Asked+o.Asked, g.InTime+o.InTime, g.Late+o.Late
	g.Refused, g.Failed, g.Left = g.Refused+o.Refused, g.Failed+o.Failed, g.Left+o.Left
	g.lateByFirst, g.lateByPause = g.lateByFirst+o.lateByFirst, g.lateByPause+o.lateByPause
	g.earned, g.owed = g.earned+o.earned, g.owed+o.owed
	g.first.Merge(o.first)
	g.pause.Merge(o.pause)
}

// WorstWindows is the mean worth of the worst stretches of each day.
func (r *Report) WorstWindows() float64 {
	sum := 0.0
	for _, w := range r.worst {
		sum += w
	}
	return sum / float64(max(1, len(r.worst)))
}

// worstWindows returns the worths of the two worst stretches of a day.
func worstWindows(calls []*call) []float64 {
	windows := make(map[int]*Group)
	for _, c := range calls {
		i := int(c.born / windowWidth)
		if windows[i] == nil {
			windows[i] = newGroup("")
		}
		windows[i].add(c)
	}
	var worths []float64
	for _, w := range windows {
		worths = append(worths, w.Worth())
	}
	slices.Sort(worths)
	return worths[:min(2, len(worths))]
}

// All returns the group of all requests.
func (r *Report) All() *Group { return r.Groups[0] }

// WriteText prints a table.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "requests\tasked\tin time\tlate first\tpaused\trefused\tfailed\tleft\tworth\tnines\tfirst p50 ms\tp99\tpause p50\tp99\t")
	for _, g := range r.Groups {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.2f\t%d\t%d\t%d\t%d\t\n", g.Name, g.Asked, g.InTime, g.lateByFirst, g.lateByPause,
			g.Refused, g.Failed, g.Left, g.Worth(), g.Nines(), g.first.ValueAtQuantile(50), g.first.ValueAtQuantile(99),
			g.pause.ValueAtQuantile(50), g.pause.ValueAtQuantile(99))
	}
	fmt.Fprintf(t, "two worst stretches\t\t\t\t\t\t\t\t%.3f\t\t\t\t\t\t\n", r.WorstWindows())
	return t.Flush()
}
