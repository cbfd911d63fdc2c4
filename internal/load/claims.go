package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
)

// Times of the scenario, on the wall clock.
const (
	claimsWarmUp  = 3 * time.Second
	claimsIdle    = 5 * time.Second
	claimsRun     = 10 * time.Second
	claimsSettle  = time.Second // until the last outcomes are written
	claimsHighest = time.Minute // of a recorded latency
)

// claimRates are the bookings per second that are compared.
var claimRates = []int{1, 10, 100, 1000}

// ClaimCosts is what claims cost at several rates on a healthy store.
type ClaimCosts struct {
	// IdleWritesPerSecond and IdleReadsPerSecond are calls at the store without
	// a booking.
	IdleWritesPerSecond float64     `json:"idle_writes_per_second"`
	IdleReadsPerSecond  float64     `json:"idle_reads_per_second"`
	Rates               []ClaimCost `json:"rates"`
}

// ClaimCost is the cost at one rate. Latencies are those of whole calls, in
// milliseconds, with a claim and without one.
type ClaimCost struct {
	Rate       int     `json:"bookings_per_second"`
	Bookings   int     `json:"bookings"`
	Complete   int     `json:"complete"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	PlainP50   float64 `json:"plain_p50_ms"`
	PlainP99   float64 `json:"plain_p99_ms"`
	Writes     float64 `json:"store_writes_per_booking"`
	Reads      float64 `json:"store_reads_per_booking"`
	WritesRate float64 `json:"store_writes_per_second"`
}

// WriteText implements Result.
func (c *ClaimCosts) WriteText(w io.Writer) {
	fmt.Fprintf(w, "idle store calls: %.1f writes/s, %.1f reads/s\n", c.IdleWritesPerSecond, c.IdleReadsPerSecond)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "RATE\tCOMPLETE\tP50 MS\tP99 MS\tPLAIN P50\tPLAIN P99\tWRITES/BOOKING\tREADS/BOOKING\tWRITES/S")
	for _, r := range c.Rates {
		fmt.Fprintf(t, "%d\t%d of %d\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.1f\n",
			r.Rate, r.Complete, r.Bookings, r.P50, r.P99, r.PlainP50, r.PlainP99, r.Writes, r.Reads, r.WritesRate)
	}
	_ = t.Flush()
}

func claimScenario() Scenario {
	return Scenario{
		Name:    "claim-costs",
		Summary: "latency and store calls of claims at 1, 10, 100 and 1,000 bookings per second on a healthy store",
		Run: func(ctx context.Context, opts Options) (Result, error) {
			return runClaimCosts(ctx, opts, claimRates, claimsRun)
		},
	}
}

func runClaimCosts(ctx context.Context, opts Options, rates []int, each time.Duration) (Result, error) {
	d, err := dev.Start(dev.Options{Log: logr.Discard(), Engines: 1, Engine: engine.Options{Seed: opts.Seed}})
	if err != nil {
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	defer d.Close()
	client := &http.Client{Timeout: bookingTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	sleep(ctx, claimsWarmUp)
	res := &ClaimCosts{}
	writes, reads := storeCalls(d.Platform)
	sleep(ctx, claimsIdle)
	idleWrites, idleReads := storeCalls(d.Platform)
	res.IdleWritesPerSecond = float64(idleWrites-writes) / claimsIdle.Seconds()
	res.IdleReadsPerSecond = float64(idleReads-reads) / claimsIdle.Seconds()
	for _, rate := range rates {
		cost := ClaimCost{Rate: rate}
		plain, _ := bookAtRate(ctx, d, client, rate, each, false)
		cost.PlainP50, cost.PlainP99 = milliseconds(plain, 50), milliseconds(plain, 99)
		writes, reads = storeCalls(d.Platform)
		claimed, complete := bookAtRate(ctx, d, client, rate, each, true)
		sleep(ctx, claimsSettle)
		laterWrites, laterReads := storeCalls(d.Platform)
		took := (each + claimsSettle).Seconds()
		cost.Bookings, cost.Complete = int(claimed.TotalCount()), complete
		cost.P50, cost.P99 = milliseconds(claimed, 50), milliseconds(claimed, 99)
		own := float64(laterWrites-writes) - res.IdleWritesPerSecond*took
		cost.Writes = own / float64(cost.Bookings)
		cost.WritesRate = own / each.Seconds()
		cost.Reads = (float64(laterReads-reads) - res.IdleReadsPerSecond*took) / float64(cost.Bookings)
		res.Rates = append(res.Rates, cost)
	}
	return res, ctx.Err()
}

// milliseconds returns a quantile of a histogram in microseconds.
func milliseconds(h *hdrhistogram.Histogram, q float64) float64 { return quantile(h, q) / 1000 }

// bookAtRate sends bookings evenly and returns their latencies, in
// microseconds from the planned time, and how many were complete.
func bookAtRate(ctx context.Context, d *dev.Deployment, client *http.Client, rate int, each time.Duration, identity bool) (*hdrhistogram.Histogram, int) {
	r := &bookingRun{
		d: d, client: client, confirmed: map[string]bool{}, anonymous: !identity,
		res: Bookings{Codes: map[string]int{}},
	}
	h := hdrhistogram.New(1, claimsHighest.Microseconds(), 3)
	var mu sync.Mutex
	var callers sync.WaitGroup
	start := time.Now()
	for n := range int(each.Seconds() * float64(rate)) {
		planned := start.Add(time.Duration(n) * time.Second / time.Duration(rate))
		sleep(ctx, time.Until(planned))
		callers.Add(1)
		go func() {
			defer callers.Done()
			name := fmt.Sprintf("cost-%d-%d", rate, n)
			r.book(ctx, n%len(d.Callers), name, name)
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(time.Since(planned).Microseconds())
		}()
	}
	callers.Wait()
	return h, r.res.Codes[result.Complete.String()]
}
