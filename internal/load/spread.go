package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/entry"
)

// Sizes and times of the spread scenario.
const (
	spreadChanges = 20
	spreadSettle  = 12 * time.Second
	spreadIdle    = 10 * time.Second
	spreadLimit   = 60 * time.Second
	// spreadWorkspaces is the number of workspaces of the intent.
	spreadWorkspaces = 1000
)

// spreadSizes are the numbers of entry instances, with their failure domains.
var spreadSizes = []struct{ instances, domains int }{{4, 3}, {16, 3}, {64, 7}, {256, 7}}

func spreadScenarios() []Scenario {
	return []Scenario{{
		Name:    "spread",
		Summary: "how fast and at what cost a configuration reaches 4 to 256 entry instances",
		Run:     runSpread,
	}}
}

// SpreadRow is what was measured at one number of entry instances.
type SpreadRow struct {
	Instances int `json:"instances"`
	Domains   int `json:"failure_domains"`
	// StartMS is the time until all instances that start together are
	// configured; StartReads the store's reads in it.
	StartMS    int64 `json:"start_ms"`
	StartReads int   `json:"start_reads"`
	// Spread is the time from the acceptance of a change until it is in force
	// at an instance; Cut the same while one failure domain has no path to the
	// store. Both are over all instances and changes, in milliseconds.
	Spread, Cut SpreadTimes
	// StoreCalls is the store's calls a second without changes.
	StoreCalls float64 `json:"store_calls_per_second"`
	// CallsPerChange is the store's calls for one change, planned and
	// confirmed.
	CallsPerChange float64 `json:"store_calls_per_change"`
	// BytesMean and BytesMax are bytes a second sent and received by an
	// instance without changes; BytesPerChange what a change adds for each.
	BytesMean      float64 `json:"bytes_per_second_mean"`
	BytesMax       float64 `json:"bytes_per_second_max"`
	BytesPerChange float64 `json:"bytes_per_change"`
	// CorePercent is the processor time of the process for each instance, in
	// percent of a core, without changes; it includes the store's stand-in.
	CorePercent float64 `json:"core_percent"`
	// HeapBytes is the live heap of the process for each instance.
	HeapBytes float64 `json:"heap_bytes"`
}

// SpreadTimes are percentiles in milliseconds.
type SpreadTimes struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// SpreadResult is the result of the spread scenario.
type SpreadResult struct {
	Changes int         `json:"changes"`
	Rows    []SpreadRow `json:"rows"`
}

// WriteText implements Result.
func (r SpreadResult) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%d changes at each size, and %d with one failure domain cut from the store\n\n", r.Changes, r.Changes)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "instances\tdomains\tstart ms\tstart reads\tp50 ms\tp99 ms\tmax ms\tcut p99\tcut max\tcalls/s\tcalls/change\tB/s mean\tB/s max\tB/change\tcore %\theap KB\t")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t\n",
			x.Instances, x.Domains, x.StartMS, x.StartReads, x.Spread.P50, x.Spread.P99, x.Spread.Max, x.Cut.P99, x.Cut.Max,
			x.StoreCalls, x.CallsPerChange, x.BytesMean, x.BytesMax, x.BytesPerChange, x.CorePercent, x.HeapBytes/1024)
	}
	_ = t.Flush()
}

func runSpread(ctx context.Context, opts Options) (Result, error) {
	res := SpreadResult{Changes: spreadChanges}
	for _, size := range spreadSizes {
		if opts.Progress != nil {
			fmt.Fprintf(opts.Progress, "spread over %d instances\n", size.instances)
		}
		row, err := measureSpread(ctx, size.instances, size.domains, opts.Seed)
		if err != nil {
			return nil, fmt.Errorf("spread over %d instances: %w", size.instances, err)
		}
		res.Rows = append(res.Rows, row)
	}
	return res, nil
}

func measureSpread(ctx context.Context, instances, domains int, seed uint64) (SpreadRow, error) {
	row := SpreadRow{Instances: instances, Domains: domains}
	heap := liveHeap()
	f, err := startCluster(ctx, instances, domains, seed)
	defer f.close()
	if err != nil {
		return row, err
	}
	row.StartMS, row.StartReads = f.configured.Milliseconds(), f.reads()
	pause(ctx, spreadSettle)

	calls, cpu, before := f.calls(), processorTime(), f.bytes()
	pause(ctx, spreadIdle)
	seconds := spreadIdle.Seconds()
	row.StoreCalls = float64(f.calls()-calls) / seconds
	row.CorePercent = 100 * (processorTime() - cpu).Seconds() / seconds / float64(instances)
	row.BytesMean, row.BytesMax = perSecond(before, f.bytes(), seconds)

	rng := rand.New(rand.NewPCG(seed, uint64(instances)))
	calls, start, before := f.calls(), time.Now(), f.bytes()
	if row.Spread, err = f.changes(ctx, rng); err != nil {
		return row, err
	}
	took := time.Since(start).Seconds()
	row.CallsPerChange = max(0, float64(f.calls()-calls)-row.StoreCalls*took) / spreadChanges
	mean, _ := perSecond(before, f.bytes(), 1)
	row.BytesPerChange = max(0, mean-row.BytesMean*took) / spreadChanges

	f.cutDomain("domain-1")
	if row.Cut, err = f.changes(ctx, rng); err != nil {
		return row, err
	}
	row.HeapBytes = float64(liveHeap()-heap) / float64(instances)
	return row, nil
}

// changes makes changes one after another and measures their spread.
func (f *cluster) changes(ctx context.Context, rng *rand.Rand) (SpreadTimes, error) {
	hist := hdrhistogram.New(1, spreadLimit.Microseconds(), 3)
	for n := range spreadChanges {
		times, err := f.change(ctx, rng.IntN(len(f.nodes)), float64(rng.IntN(1e6)+n))
		if err != nil {
			return SpreadTimes{}, err
		}
		for _, d := range times {
			if err := hist.RecordValue(max(1, d.Microseconds())); err != nil {
				return SpreadTimes{}, fmt.Errorf("record spread: %w", err)
			}
		}
	}
	ms := func(q float64) float64 { return float64(hist.ValueAtQuantile(q)) / 1000 }
	return SpreadTimes{P50: ms(50), P99: ms(99), Max: float64(hist.Max()) / 1000}, nil
}

// change plans and confirms one edit and returns the time from its acceptance
// until it was in force, for each other instance.
func (f *cluster) change(ctx context.Context, at int, tokens float64) ([]time.Duration, error) {
	for f.isCut(at) {
		at = (at + 1) % len(f.nodes)
	}
	n := f.nodes[at]
	edit := &configuration.Edit{Limits: []configuration.WorkspaceLimit{{Workspace: "workspace-0", TokensPerSecond: tokens}}}
	planned, err := n.Operate(ctx, entry.OperatorCommand{Operator: "load", At: time.Now(), Edit: edit})
	if err != nil || planned.Plan == nil {
		return nil, fmt.Errorf("plan: %s %s: %w", planned.Failure, planned.Text, err)
	}
	f.watch.arm()
	confirmed, err := n.Operate(ctx, entry.OperatorCommand{Operator: "load", At: time.Now(), Confirm: planned.Plan.ID})
	if err != nil || confirmed.Confirmation == nil || confirmed.Confirmation.Verdict != configuration.VerdictAccepted {
		return nil, fmt.Errorf("confirm: %+v: %w", confirmed, err)
	}
	return f.watch.wait(ctx, len(f.nodes))
}

func perSecond(before, after []int64, seconds float64) (mean, most float64) {
	for i := range after {
		rate := float64(after[i]-before[i]) / seconds
		mean += rate / float64(len(after))
		most = max(most, rate)
	}
	return mean, most
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
