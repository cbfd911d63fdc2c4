package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/result"
	platformstandin "github.com/medlardeck/medlardeck/internal/standin/platform"
	"github.com/medlardeck/medlardeck/internal/store"
)

// claimInput is one call with an identity, claimOutput its result.
type (
	claimInput  struct{ identity string }
	claimOutput struct {
		code   result.Code
		answer string
	}
)

// claimModel models the claim of one identity as a register that holds the answer
// of its only run. The first call completes and sets the answer; later calls get
// the same answer replayed. A refused call changes nothing. A call may end with an
// unknown outcome only after another call has completed.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byIdentity := map[string][]porcupine.Operation{}
		for _, op := range history {
			id := op.Input.(claimInput).identity
			byIdentity[id] = append(byIdentity[id], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byIdentity {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		out := output.(claimOutput)
		switch {
		case out.code == result.Complete && state == "":
			return []any{out.answer}
		case out.code == result.Replayed && state == out.answer:
			return []any{state}
		case out.code.Family() == result.FamilyRefused, out.code.Family() == result.FamilyUnknown && state != "":
			return []any{state}
		}
		return nil
	},
}

// TestConcurrentClaimsAreLinearizable guards against a call that runs twice: several
// callers send calls with the same identities through three instances while the
// store loses answers and refuses calls. At the end it checks that the model
// rejects a history in which one identity completed twice.
func TestConcurrentClaimsAreLinearizable(t *testing.T) {
	platform := platformstandin.New(platformstandin.Options{Seed: 3})
	storeServer := httptest.NewServer(platform.Handler())
	defer storeServer.Close()
	var runs sync.Map
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "run of %s", r.Header.Get("X-Arrival"))
		_, ranBefore := runs.LoadOrStore(r.Header.Get("Idempotency-Key"), true)
		if ranBefore {
			t.Errorf("%s ran twice", r.Header.Get("Idempotency-Key"))
		}
	}))
	defer service.Close()
	var nodes []*Node
	for i := range 3 {
		adapter := store.NewHTTP(storeServer.URL, fmt.Sprintf("entry-%d", i))
		defer adapter.Close()
		n := New(Options{
			Entry:   entry.Options{Name: fmt.Sprintf("entry-%d", i), Incarnation: 1, Seed: uint64(i)},
			Client:  engineclient.New(time.Second),
			Store:   store.NewClient(adapter, store.ClientOptions{Seed: uint64(i), CallsPerSecond: 1000, Burst: 1000}),
			Log:     logr.Discard(),
			Counter: discardCounter{},
		})
		defer n.Close()
		n.AdoptConfiguration(configuration.Accepted{Revision: 1, Intent: configuration.Intent{
			Version:    configuration.SchemaVersion,
			Workspaces: []configuration.Workspace{{Name: "museum"}},
			Routes:     []configuration.Route{{Name: "desk", Prefix: "/desk", Pool: "desk"}},
			Pools: []configuration.Pool{{Name: "desk", Kind: configuration.PoolService, Targets: []configuration.Target{
				{Name: "d0", Address: strings.TrimPrefix(service.URL, "http://")},
			}}},
		}})
		nodes = append(nodes, n)
	}
	platform.SetFaults(platformstandin.Faults{LostAnswers: 0.2, Refusals: 0.1, Prefix: "claims/"})
	history := submitConcurrently(nodes, 6, 10)
	must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(claimModel.ToModel(), history, time.Minute))
	history[len(history)-1].Output = claimOutput{code: result.Complete, answer: "another run"}
	history[0].Output = claimOutput{code: result.Complete, answer: "one run"}
	history[0].Input = history[len(history)-1].Input
	must.Eq(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(claimModel.ToModel(), history, time.Minute))
}

// submitConcurrently lets each caller submit every identity once, spread over the
// nodes, and returns the history of calls.
func submitConcurrently(nodes []*Node, callers, identities int) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	start := time.Now()
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range identities {
				in := claimInput{fmt.Sprintf("cut-%d", i)}
				call := time.Since(start).Nanoseconds()
				out := submitClaim(nodes[(c+i)%len(nodes)], in.identity, fmt.Sprintf("%d/%d", c, i))
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: c, Input: in, Call: call, Output: out, Return: time.Since(start).Nanoseconds(),
				})
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return history
}

// submitClaim sends one service call with an identity and returns its result.
func submitClaim(n *Node, identity, arrival string) claimOutput {
	x := n.Submit(entry.RequestArrived{
		Workspace: "museum", Route: "desk", Method: http.MethodPost, Identity: "key:" + identity, Fingerprint: 1,
	}, Upstream{Method: http.MethodPost, Path: "/desk", Header: http.Header{
		"Idempotency-Key": {identity}, "X-Arrival": {arrival},
	}})
	<-x.Done()
	end := x.End()
	out := claimOutput{code: end.Code, answer: "run of " + arrival}
	if end.Answer != nil {
		out.answer = string(end.Answer.Body)
	}
	return out
}

// discardCounter is a Counter that drops all counts.
type discardCounter struct{}

func (discardCounter) Add(string, string) {}
