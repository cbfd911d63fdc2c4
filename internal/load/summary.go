package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/result"
)

// Range and precision of histograms, in milliseconds.
const (
	maxLatencyMS = 3_600_000
	precision    = 3 // significant digits
)

// lateGrace is how far past its limit a request may end, for the last bytes to
// reach the caller.
const lateGrace = time.Second

// Comparison is the result of one scenario under several policies.
type Comparison struct {
	Scenario          string                    `json:"scenario"`
	Seed              uint64                    `json:"seed"`
	Engines           int                       `json:"engines"`
	Entries           int                       `json:"entries"`
	Speed             float64                   `json:"speed"`
	Load              float64                   `json:"load"`
	RequestsPerSecond float64                   `json:"requests_per_second"`
	DurationSeconds   float64                   `json:"duration_s"`
	LimitsMS          configuration.ClassValues `json:"limits_ms"`
	Policies          []Summary                 `json:"policies"`
}

// Summary is what callers saw under one policy.
type Summary struct {
	Policy  string         `json:"policy"`
	Classes []ClassSummary `json:"classes"`
	Codes   map[string]int `json:"codes"`
	Alone   *ClassSummary  `json:"short_alone,omitempty"`
	Slower  *Slowdown      `json:"short_slowdown,omitempty"`
	Held    int            `json:"memory_held_tokens"`
	byClass []*hdrhistogram.Histogram
}

// ClassSummary is one length class. Times to first token count from the planned
// arrival, over the requests that got one.
type ClassSummary struct {
	Class   string `json:"class"`
	Offered int    `json:"offered"`
	// Complete is the number answered whole within the limit: the goodput.
	Complete int `json:"complete"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Late is the number admitted that ended past the limit.
	Late  int     `json:"late"`
	P50MS float64 `json:"ttft_p50_ms"`
	P95MS float64 `json:"ttft_p95_ms"`
	P99MS float64 `json:"ttft_p99_ms"`
	// Within is the share of all offered whose first token came in 1.6 s.
	Within float64 `json:"ttft_within_1600ms"`
}

// Slowdown is a quantile with others sharing the engines, divided by the same
// alone.
type Slowdown struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// firstTokenTarget is the users' bound for 95 in 100.
const firstTokenTarget = 1600 * time.Millisecond

func summarize(policy string, samples []sample, held int) Summary {
	out := Summary{Policy: policy, Held: held, Codes: make(map[string]int)}
	for c := range request.NumClasses {
		class := request.Class(c)
		sum, hist := summarizeClass(class, samples)
		out.Classes = append(out.Classes, sum)
		out.byClass = append(out.byClass, hist)
	}
	for _, s := range samples {
		out.Codes[codeName(s.code)]++
	}
	return out
}

func codeName(code result.Code) string {
	if code == 0 {
		return "connection-lost"
	}
	return code.String()
}

func summarizeClass(class request.Class, samples []sample) (ClassSummary, *hdrhistogram.Histogram) {
	hist := hdrhistogram.New(1, maxLatencyMS, precision)
	sum := ClassSummary{Class: class.String()}
	within := 0
	limit := time.Duration(limits.ForClass(class)) * time.Millisecond
	for _, s := range samples {
		if s.class != class {
			continue
		}
		sum.Offered++
		if s.firstToken > 0 {
			_ = hist.RecordValue(min(max(1, s.firstToken.Milliseconds()), maxLatencyMS))
			if s.firstToken <= firstTokenTarget {
				within++
			}
		}
		refused := s.code.Family() == result.FamilyRefused
		switch {
		case refused:
			sum.Refused++
		case s.code == result.Complete && s.end <= limit+lateGrace:
			sum.Complete++
		default:
			sum.Failed++
		}
		if !refused && s.end > limit+lateGrace {
			sum.Late++
		}
	}
	sum.P50MS, sum.P95MS, sum.P99MS = quantile(hist, 50), quantile(hist, 95), quantile(hist, 99)
	if sum.Offered > 0 {
		sum.Within = float64(within) / float64(sum.Offered)
	}
	return sum, hist
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtPercentile(q))
}

// compareAlone adds the slowdown against a run of the short requests alone.
func (s *Summary) compareAlone(alone Summary) {
	with, base := s.Classes[request.ClassShort], alone.Classes[request.ClassShort]
	s.Alone = &base
	s.Slower = &Slowdown{P50: ratio(with.P50MS, base.P50MS), P95: ratio(with.P95MS, base.P95MS), P99: ratio(with.P99MS, base.P99MS)}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteText implements Result.
func (c *Comparison) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%s: seed %d, %d engines, %d entry instances, load %.2f (%.1f requests/s for %.0f s), clock x%g\n",
		c.Scenario, c.Seed, c.Engines, c.Entries, c.Load, c.RequestsPerSecond, c.DurationSeconds, c.Speed)
	for _, p := range c.Policies {
		fmt.Fprintf(w, "\n%s\n", p.Policy)
		fmt.Fprintf(w, "  %-7s %7s %8s %7s %6s %5s %9s %9s %9s %7s\n",
			"class", "offered", "complete", "refused", "failed", "late", "p50 ms", "p95 ms", "p99 ms", "<1.6 s")
		for _, k := range p.Classes {
			fmt.Fprintf(w, "  %-7s %7d %8d %7d %6d %5d %9.0f %9.0f %9.0f %7.3f\n",
				k.Class, k.Offered, k.Complete, k.Refused, k.Failed, k.Late, k.P50MS, k.P95MS, k.P99MS, k.Within)
		}
		if p.Slower != nil {
			fmt.Fprintf(w, "  short slowdown: p50 %.2f, p95 %.2f, p99 %.2f (alone p95 %.0f ms)\n",
				p.Slower.P50, p.Slower.P95, p.Slower.P99, p.Alone.P95MS)
		}
		fmt.Fprintf(w, "  results: %s; memory held at the end: %d tokens\n", codesText(p.Codes), p.Held)
	}
}

func codesText(codes map[string]int) string {
	names := make([]string, 0, len(codes))
	for name := range codes {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, codes[name])
	}
	return strings.Join(names, ", ")
}
