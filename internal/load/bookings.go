package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
	platformstandin "github.com/medlardeck/medlardeck/internal/standin/platform"
	"github.com/medlardeck/medlardeck/internal/standin/service"
	"github.com/medlardeck/medlardeck/internal/store"
)

// Sizes and times of the scenario, on the wall clock.
const (
	bookingCount   = 3000
	bookingRate    = 50 // identities per second
	bookingFault   = 2 * time.Second
	bookingResends = 4 // arrivals of one identity at most
	bookingTimeout = 15 * time.Second
)

// headerCode carries the numbered result.
const headerCode = "X-Medlardeck-Code"

// Bookings is what became of bookings under faults.
type Bookings struct {
	Identities int `json:"identities"`
	Arrivals   int `json:"arrivals"`
	// Codes counts arrivals by result; "broken" had none.
	Codes map[string]int `json:"codes"`
	// Ran counts identities that ran, Confirmed those whose caller got the
	// answer.
	Ran       int `json:"ran"`
	Confirmed int `json:"confirmed"`
	// Doubled counts identities that ran more than once; Untrue counts arrivals
	// that were refused as not run and ran.
	Doubled int `json:"doubled"`
	Untrue  int `json:"untrue_refusals"`
	// Faults counts the faults by kind.
	Faults map[string]int `json:"faults"`
	// StoreWrites and StoreReads are calls at the store; Recovery is the most
	// calls in a second after an outage.
	StoreWrites int `json:"store_writes"`
	StoreReads  int `json:"store_reads"`
	Recovery    int `json:"recovery_calls_per_second"`
	// LookUps counts status look-ups, LookUpsFailed those without an answer.
	LookUps       int `json:"look_ups"`
	LookUpsFailed int `json:"look_ups_failed"`
}

// WriteText implements Result.
func (b *Bookings) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%d identities in %d arrivals: %d ran, %d confirmed, %d doubled, %d untrue refusals\n",
		b.Identities, b.Arrivals, b.Ran, b.Confirmed, b.Doubled, b.Untrue)
	fmt.Fprintf(w, "results: %s\nfaults: %s\n", codesText(b.Codes), codesText(b.Faults))
	fmt.Fprintf(w, "store: %d writes, %d reads, at most %d calls/s after an outage\n", b.StoreWrites, b.StoreReads, b.Recovery)
	fmt.Fprintf(w, "look-ups: %d, without an answer %d\n", b.LookUps, b.LookUpsFailed)
}

func bookingScenario() Scenario {
	return Scenario{
		Name:    "bookings-faults",
		Summary: "bookings and blind resends under deaths, pauses, outages and lost answers; counts runs for each identity",
		Run: func(ctx context.Context, opts Options) (Result, error) {
			return runBookings(ctx, opts, bookingCount, bookingRate, bookingFault)
		},
	}
}

// bookingRun is one run of the scenario.
type bookingRun struct {
	d      *dev.Deployment
	client *http.Client
	// anonymous bookings carry no identity.
	anonymous bool

	mu  sync.Mutex
	res Bookings
	// refused holds arrivals that were refused as not run.
	refused   []string
	confirmed map[string]bool
}

func runBookings(ctx context.Context, opts Options, count, rate int, fault time.Duration) (Result, error) {
	d, err := dev.Start(dev.Options{Log: logr.Discard(), Engines: 1, Engine: engine.Options{Seed: opts.Seed}})
	if err != nil {
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	defer d.Close()
	r := &bookingRun{
		d: d, confirmed: map[string]bool{},
		client: &http.Client{Timeout: bookingTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		res:    Bookings{Identities: count, Codes: map[string]int{}, Faults: map[string]int{}},
	}
	defer r.client.CloseIdleConnections()
	faultCtx, stopFaults := context.WithCancel(ctx)
	var faults, callers sync.WaitGroup
	faults.Add(1)
	go func() {
		defer faults.Done()
		r.disturb(faultCtx, rand.New(rand.NewPCG(opts.Seed, 11)), fault)
	}()
	rng := rand.New(rand.NewPCG(opts.Seed, 12))
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := 0; n < count && ctx.Err() == nil; n++ {
		<-tick.C
		seed := rng.Uint64()
		callers.Add(1)
		go func() {
			defer callers.Done()
			r.customer(ctx, "booking-"+strconv.Itoa(n), rand.New(rand.NewPCG(seed, 13)))
		}()
	}
	callers.Wait()
	stopFaults()
	faults.Wait()
	r.audit()
	return &r.res, ctx.Err()
}

// customer books once and resends blindly, as old callers do.
func (r *bookingRun) customer(ctx context.Context, identity string, rng *rand.Rand) {
	var parallel sync.WaitGroup
	for n := range bookingResends {
		arrival := identity + "/" + strconv.Itoa(n)
		entry := rng.IntN(len(r.d.Callers))
		if n > 0 && rng.IntN(3) == 0 { // does not wait for the one before
			parallel.Add(1)
			go func() {
				defer parallel.Done()
				r.book(ctx, entry, identity, arrival)
			}()
			continue
		}
		code := r.book(ctx, entry, identity, arrival)
		done := code.Family() == result.FamilyComplete
		if done && rng.IntN(3) > 0 || code.Family() == result.FamilyUnknown && rng.IntN(2) > 0 {
			break
		}
		sleep(ctx, rand.N(time.Second))
	}
	parallel.Wait()
	r.lookUp(ctx, rng.IntN(len(r.d.Callers)), identity)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// book sends one arrival and returns its result, zero when it got none.
func (r *bookingRun) book(ctx context.Context, entry int, identity, arrival string) result.Code {
	code, confirmed := r.post(ctx, entry, identity, arrival)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Arrivals++
	r.res.Codes[codeName(code)]++
	if code.Family() == result.FamilyRefused {
		r.refused = append(r.refused, arrival)
	}
	if confirmed {
		r.confirmed[identity] = true
	}
	return code
}

func (r *bookingRun) post(ctx context.Context, entry int, identity, arrival string) (result.Code, bool) {
	body := strings.NewReader(`{"glass":"19mm"}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.d.Callers[entry]+"/bookings", body)
	if err != nil {
		return 0, false
	}
	req.GetBody = nil // the caller itself resends, not its library
	req.Header.Set("Authorization", "Bearer "+dev.DevelopmentKey("museum"))
	if !r.anonymous {
		req.Header.Set("Idempotency-Key", identity)
	}
	req.Header.Set(service.HeaderArrival, arrival)
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, false
	}
	code := result.Complete
	if v, err := strconv.Atoi(resp.Header.Get(headerCode)); err == nil {
		code = result.Code(v)
	}
	return code, resp.StatusCode == http.StatusCreated && strings.Contains(string(answer), `"`+identity+`"`)
}

// lookUp asks for the state of a booking; the call is idempotent.
func (r *bookingRun) lookUp(ctx context.Context, entry int, identity string) {
	answered := false
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.d.Callers[entry]+"/status/"+identity, nil)
	if err == nil {
		req.Header.Set("Authorization", "Bearer "+dev.DevelopmentKey("museum"))
		if resp, err := r.client.Do(req); err == nil {
			answered = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.LookUps++
	if !answered {
		r.res.LookUpsFailed++
	}
}

// audit compares what callers were told with the ledger.
func (r *bookingRun) audit() {
	for _, runs := range r.d.Ledger.All() {
		r.res.Ran++
		if runs > 1 {
			r.res.Doubled++
		}
	}
	for _, arrival := range r.refused {
		if r.d.Ledger.Ran(arrival) {
			r.res.Untrue++
		}
	}
	r.res.Confirmed = len(r.confirmed)
	r.res.StoreWrites, r.res.StoreReads = storeCalls(r.d.Platform)
}

func storeCalls(s *platformstandin.Service) (writes, reads int) {
	for _, ops := range s.Calls() {
		for op, n := range ops {
			switch op {
			case store.OpCAS, store.OpDelete, store.OpLeaseGrant, store.OpLeaseRenew, store.OpLeaseRevoke:
				writes += n
			case store.OpGet, store.OpRange, store.OpWatch, store.OpInstances:
				reads += n
			}
		}
	}
	return writes, reads
}
