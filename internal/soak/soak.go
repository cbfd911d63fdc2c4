// Package soak runs a whole deployment on loopback under a seeded schedule of
// faults, singly and in pairs, and checks afterwards what must always hold:
// every request ended in time with a true outcome, no booking ran twice, no
// answer was mixed up, no engine holds memory, and every entry instance is at
// the last accepted revision.
//
// Engines and the clocks of the entry instances run faster than the wall clock
// by a factor; times are engine time unless said otherwise.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/dev"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
)

// Options of a soak. Zero values take the defaults.
type Options struct {
	Seed uint64
	// Speed is how much faster than the wall clock the deployment runs.
	Speed float64
	// Pairs is the number of phases with two faults, after one phase for each
	// single fault; negative is none.
	Pairs int
	// Faults limits the single faults to these names; empty takes all.
	Faults []string
	// Progress gets a line for each phase; nil discards them.
	Progress io.Writer
	Log      logr.Logger
}

// Defaults and times of a soak.
const (
	defaultSpeed = 5
	defaultPairs = 12
	warmUp       = 8 * time.Second
	phaseTime    = 16 * time.Second
	// faultTime is how long a fault lasts within its phase.
	faultTime = 8 * time.Second
	// settleTime bounds the time, after the last fault, until all entry
	// instances have the last revision.
	settleTime = 9 * time.Second
	// settleBound is when a revision that is not in force counts as lost.
	settleBound = 2 * time.Minute
	// memoryTime bounds the time until engines gave back all memory: the
	// longest life of a hold that nobody renews, with room.
	memoryTime = 60 * time.Second
)

// limits of requests in milliseconds, short enough for a phase to see them pass.
var limits = configuration.ClassValues{Short: 10_000, Medium: 20_000, Long: 30_000, Huge: 60_000}

// serviceLimit is the limit of a service call.
const serviceLimit = 5 * time.Second

// Report is the result of a soak.
type Report struct {
	Seed     uint64         `json:"seed"`
	Speed    float64        `json:"speed"`
	Phases   []string       `json:"phases"`
	Requests int            `json:"completions"`
	Bookings int            `json:"bookings"`
	Lookups  int            `json:"lookups"`
	Codes    map[string]int `json:"codes"`
	// Dropped counts connections that broke because their entry instance died.
	Dropped  int                    `json:"dropped"`
	Revision configuration.Revision `json:"revision"`
	// Violations are the promises that did not hold, Late the requests that
	// ended past their limit; both empty is a pass. On a machine that is short
	// of processor time, requests can end late without a fault of the product.
	Violations []string `json:"violations"`
	Late       []string `json:"late"`
}

// Failed returns an error when a promise did not hold.
func (r *Report) Failed() error {
	if len(r.Violations)+len(r.Late) == 0 {
		return nil
	}
	return fmt.Errorf("soak with seed %d: %d violations, %d late", r.Seed, len(r.Violations), len(r.Late))
}

// WriteText prints the report for people.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "seed %d, speed %g, %d phases, revision %d\n", r.Seed, r.Speed, len(r.Phases), r.Revision)
	fmt.Fprintf(w, "completions %d, bookings %d, look-ups %d, dropped by deaths of their entry %d\n", r.Requests, r.Bookings, r.Lookups, r.Dropped)
	codes := make([]string, 0, len(r.Codes))
	for c := range r.Codes {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	for _, c := range codes {
		fmt.Fprintf(w, "  %-22s %d\n", c, r.Codes[c])
	}
	fmt.Fprintf(w, "violations %d, late %d\n", len(r.Violations), len(r.Late))
	for _, v := range slices.Concat(r.Violations, r.Late) {
		fmt.Fprintln(w, "  "+v)
	}
}

// soak is one run.
type soak struct {
	opts  Options
	d     *dev.Deployment
	start time.Time
	rng   *rand.Rand // of the schedule; the traffic has its own

	lost     [dev.Entries]atomic.Bool // the balancer no longer uses it
	crashing atomic.Bool              // send requests that end engines

	mu     sync.Mutex
	report Report
	deaths [dev.Entries][]outage
	ledger map[string]*identity
}

// Run runs a soak. The error says that it could not run; what did not hold is
// in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts = opts.withDefaults()
	s := &soak{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0x736f616b)), ledger: make(map[string]*identity),
		report: Report{Seed: opts.Seed, Speed: opts.Speed, Codes: map[string]int{}},
	}
	d, err := dev.Start(dev.Options{
		Log: opts.Log, Configure: configure,
		Engine: engine.Options{Speed: opts.Speed, Seed: opts.Seed},
	})
	if err != nil {
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	defer d.Close()
	s.d = d
	s.start = time.Now()
	s.sleep(ctx, warmUp)
	phases, err := s.schedule()
	if err != nil {
		return nil, err
	}
	traffic := s.startTraffic(ctx)
	for _, p := range phases {
		s.phase(ctx, p)
	}
	s.checkSettled(ctx)
	traffic.stop()
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	s.checkMemory(ctx)
	s.checkLedger()
	s.checkMetrics(ctx)
	return &s.report, nil
}

func (o Options) withDefaults() Options {
	if o.Speed == 0 {
		o.Speed = defaultSpeed
	}
	if o.Pairs == 0 {
		o.Pairs = defaultPairs
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	return o
}

func configure(in *configuration.Intent) {
	in.Serving.LimitsMS = limits
	in.Serving.ServiceLimitMS = int(serviceLimit.Milliseconds())
}

// sleep waits for an engine time or the end of ctx.
func (s *soak) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(s.wall(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// wall converts an engine time to wall time.
func (s *soak) wall(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.opts.Speed)
}

// engineTime converts a wall time to engine time.
func (s *soak) engineTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.opts.Speed)
}

func (s *soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}

// outage is the wall time from an entry instance's death to its return; until
// is zero while it is away.
type outage struct{ from, until time.Time }

func (s *soak) late(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Late = append(s.report.Late, fmt.Sprintf(format, args...))
}

func (s *soak) ended(code result.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Codes[code.String()]++
}
