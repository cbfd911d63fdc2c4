package slopes

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/target"
)

// Sizes at which decisions are measured.
var (
	targetSizes    = []int{15, 225, 900, 6300}
	workspaceSizes = []int{1000, 6000, 24000}
	inFlightSizes  = []int{100, 1000, 4000}
)

// numModels is the number of models in steady use at the design size.
const numModels = 10

// Decisions returns the measurements of the pure decisions of one instance.
func Decisions() []Measurement {
	return []Measurement{
		{Name: "request-cpu", Unit: "ns", Per: "target", Sizes: targetSizes, Run: requestCPU},
		{Name: "report-cpu", Unit: "ns", Per: "target", Sizes: targetSizes, Run: reportCPU},
		{Name: "delivered-cpu", Unit: "ns", Per: "request in flight", Sizes: inFlightSizes, Run: deliveredCPU},
		{Name: "target-memory", Unit: "bytes", Per: "target", Sizes: targetSizes, Run: targetMemory},
		{Name: "request-memory", Unit: "bytes", Per: "request in flight", Sizes: inFlightSizes, Run: requestMemory},
		{Name: "workspace-memory", Unit: "bytes", Per: "workspace", Sizes: workspaceSizes, Run: workspaceMemory},
		{Name: "adopt-cpu", Unit: "ns", Per: "workspace", Sizes: workspaceSizes, Run: adoptCPU},
		{Name: "configuration-bytes", Unit: "bytes", Per: "workspace", Sizes: workspaceSizes, Run: configurationBytes},
	}
}

// intent returns a configuration with so many engines and workspaces.
func intent(targets, workspaces int) configuration.Intent {
	in := configuration.Intent{Version: configuration.SchemaVersion}
	pool := configuration.Pool{Name: "engines", Kind: configuration.PoolEngine}
	for i := range numModels {
		name := fmt.Sprintf("model-%d", i)
		in.Models = append(in.Models, configuration.Model{Name: name, Version: "1", ContextTokens: 1 << 20, WeightBytes: 16 << 30, KVBytesPerToken: 128 << 10})
		pool.Models = append(pool.Models, name)
	}
	for i := range targets {
		pool.Targets = append(pool.Targets, configuration.Target{
			Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			FailureDomain: "domain-a", Models: []string{pool.Models[i%numModels]},
		})
	}
	for i := range workspaces {
		in.Workspaces = append(in.Workspaces, configuration.Workspace{
			Name: fmt.Sprintf("workspace-%05d", i), KeyHashes: []string{fmt.Sprintf("%064x", i)}, Weight: 1,
		})
	}
	in.Pools = []configuration.Pool{pool}
	return in
}

// loaded returns an entry with fresh reports of all its targets.
func loaded(targets, workspaces int) *entry.Entry {
	e := entry.New(entry.Options{Name: "entry-0", FailureDomain: "domain-a", Incarnation: 1, Seed: 1})
	e.Step(0, entry.AdoptConfiguration{Accepted: configuration.Accepted{Revision: 1, Intent: intent(targets, workspaces)}})
	for i := range targets {
		e.Step(0, report(i, 1))
	}
	return e
}

func report(i int, seq uint64) entry.LoadReported {
	return entry.LoadReported{Target: fmt.Sprintf("engine-%04d", i), Report: target.Report{
		Incarnation: 1, Sequence: seq, KVCapacityTokens: 500_000, KVUsedTokens: (i * 37 % 11) * 1000, Models: []string{"model-" + strconv.Itoa(i%numModels)},
	}}
}

func arrival(id int) entry.RequestArrived {
	return entry.RequestArrived{
		Request: entry.RequestID(id), Workspace: fmt.Sprintf("workspace-%05d", id%10), Caller: "c",
		Model: "model-" + strconv.Itoa(id%numModels), PromptBytes: 4000, MaxTokens: 100, Fingerprint: uint64(id),
	}
}

// sent returns the first attempt among effects.
func sent(effs []entry.Effect) (entry.Send, bool) {
	for _, eff := range effs {
		if s, ok := eff.(entry.Send); ok {
			return s, true
		}
	}
	return entry.Send{}, false
}

// requestCPU is the time of all decisions of one request without its tokens:
// arrival, first delivery and end.
func requestCPU(targets int) (float64, error) {
	e := loaded(targets, 10)
	id, now := 0, time.Duration(0)
	var failed error
	ns := nanoseconds(func() {
		id++
		now += time.Millisecond
		s, ok := sent(e.Step(now, arrival(id)))
		if !ok {
			failed = fmt.Errorf("request %d was not sent", id)
			return
		}
		e.Step(now, entry.Delivered{Attempt: s.Attempt, Tokens: 1})
		e.Step(now, entry.AttemptEnd{Attempt: s.Attempt, Outcome: entry.OutcomeComplete, Status: 200})
	})
	return ns, failed
}

func reportCPU(targets int) (float64, error) {
	e := loaded(targets, 10)
	seq, now := uint64(1), time.Duration(0)
	return nanoseconds(func() {
		seq++
		now += time.Millisecond
		e.Step(now, report(int(seq)%targets, seq))
	}), nil
}

// inFlight starts so many requests and returns their attempts.
func inFlight(e *entry.Entry, n int) ([]entry.Send, error) {
	sends := make([]entry.Send, 0, n)
	for id := 1; id <= n; id++ {
		s, ok := sent(e.Step(0, arrival(id)))
		if !ok {
			return nil, fmt.Errorf("request %d of %d was not sent", id, n)
		}
		e.Step(0, entry.Delivered{Attempt: s.Attempt, Tokens: 1})
		sends = append(sends, s)
	}
	return sends, nil
}

func deliveredCPU(n int) (float64, error) {
	e := loaded(6300, 10)
	sends, err := inFlight(e, n)
	if err != nil {
		return 0, err
	}
	i := 0
	return nanoseconds(func() {
		i++
		e.Step(0, entry.Delivered{Attempt: sends[i%n].Attempt, Tokens: 1})
	}), nil
}

func targetMemory(targets int) (float64, error) {
	return heapBytes(func() any { return loaded(targets, 10) }), nil
}

func requestMemory(n int) (float64, error) {
	e := loaded(6300, 10)
	var err error
	bytes := heapBytes(func() any {
		_, err = inFlight(e, n)
		return e
	})
	return bytes, err
}

func workspaceMemory(workspaces int) (float64, error) {
	return heapBytes(func() any { return loaded(15, workspaces) }), nil
}

func adoptCPU(workspaces int) (float64, error) {
	e := entry.New(entry.Options{Name: "entry-0", FailureDomain: "domain-a", Incarnation: 1, Seed: 1})
	in := intent(900, workspaces)
	rev := configuration.Revision(0)
	return nanoseconds(func() {
		rev++
		e.Step(0, entry.AdoptConfiguration{Accepted: configuration.Accepted{Revision: rev, Intent: in}})
	}), nil
}

func configurationBytes(workspaces int) (float64, error) {
	b, err := json.Marshal(intent(900, workspaces))
	if err != nil {
		return 0, fmt.Errorf("encode intent: %w", err)
	}
	return float64(len(b)), nil
}
