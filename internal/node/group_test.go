package node

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
)

// startEngines starts stand-in engines with the given memory in tokens, and returns
// them with an intent that has them in one pool.
func startEngines(t *testing.T, count, capacity int) ([]*engine.Engine, configuration.Intent) {
	pool := configuration.Pool{Name: "drafting", Kind: configuration.PoolEngine, Models: []string{"draft"}}
	var engines []*engine.Engine
	for i := range count {
		eng, err := engine.Start("127.0.0.1:0", engine.Options{
			Models: pool.Models, KVCapacityTokens: capacity, Speed: 500, Seed: uint64(i), StepTokens: 8192,
		})
		must.NoError(t, err)
		t.Cleanup(eng.Close)
		engines = append(engines, eng)
		pool.Targets = append(pool.Targets, configuration.Target{Name: fmt.Sprintf("e%d", i), Address: eng.Addr()})
	}
	return engines, configuration.Intent{
		Version:    configuration.SchemaVersion,
		Models:     []configuration.Model{{Name: "draft", ContextTokens: 1 << 21}},
		Workspaces: []configuration.Workspace{{Name: "museum"}},
		Pools:      []configuration.Pool{pool},
	}
}

// startNode starts a node whose reservations expire after 600 ms without renewal.
func startNode(t *testing.T, name string, intent configuration.Intent, c *recordingCounter) *Node {
	client := engineclient.New(time.Second)
	n := New(Options{
		Entry:  entry.Options{Name: name, Seed: 1, ReservationTTL: 600 * time.Millisecond},
		Client: client, Log: logr.Discard(), Counter: c,
	})
	t.Cleanup(func() {
		n.Close()
		client.Close()
	})
	n.AdoptConfiguration(configuration.Accepted{Revision: 1, Intent: intent})
	return n
}

// submitPrompt sends a prompt of the given length and returns the outcome and the
// text of the answer, or nothing if instanceLost is closed first.
func submitPrompt(n *Node, instanceLost <-chan struct{}, seed uint64, tokens, answerTokens int) (end entry.Finish, text string) {
	prompt := fmt.Sprintf("%q", strings.Repeat(fmt.Sprintf("%08x", seed), tokens/2))
	body := []byte(fmt.Sprintf(`{"model":"draft","max_tokens":%d,"prompt":%s}`, answerTokens, prompt))
	x := n.Submit(entry.RequestArrived{
		Workspace: "museum", Model: "draft", PromptBytes: len(body), MaxTokens: answerTokens, Fingerprint: seed,
	}, Upstream{Completion: true, Method: http.MethodPost, Path: "/v1/completions", Header: http.Header{}, Body: engineclient.Body{body}})
	var words strings.Builder
	for {
		_, p, err := x.Reader().Next(instanceLost)
		words.Write(p)
		if err != nil {
			break
		}
	}
	select {
	case <-x.Done():
		return x.End(), completionText(words.String())
	case <-instanceLost:
		return end, ""
	}
}

// completionText returns the text of the completion in server-sent events.
func completionText(events string) string {
	var text strings.Builder
	for line := range strings.Lines(events) {
		var ev struct {
			Choices []struct{ Text string }
		}
		data, _ := strings.CutPrefix(line, "data:")
		if json.Unmarshal([]byte(data), &ev) == nil && len(ev.Choices) > 0 {
			text.WriteString(ev.Choices[0].Text)
		}
	}
	return text.String()
}

// expectedAnswer returns the text that an engine generates for the prompt that
// submitPrompt sends.
func expectedAnswer(seed uint64, tokens, answerTokens int) string {
	digest := engine.Digest([]byte(fmt.Sprintf("%q", strings.Repeat(fmt.Sprintf("%08x", seed), tokens/2))))
	var words strings.Builder
	for i := range answerTokens {
		words.WriteString(engine.Word(digest, i))
	}
	return words.String()
}

// waitForNoMemoryHeld waits until every engine reports no reserved or used memory
// and no running sequence.
func waitForNoMemoryHeld(t *testing.T, engines []*engine.Engine) {
	must.Wait(t, wait.InitialSuccess(wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond), wait.ErrorFunc(func() error {
		for i, eng := range engines {
			if m := eng.Memory(); m.HeldTokens != 0 || m.UsedTokens != 0 || m.Sequences != 0 {
				return fmt.Errorf("engine %d: %+v", i, m)
			}
		}
		return nil
	})))
}

// waitForReports waits until the node knows the memory of its engines. Before
// that it assumes that any prompt fits on one engine.
func waitForReports(t *testing.T, n *Node, engines int) {
	must.Wait(t, wait.InitialSuccess(wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		return n.ReportingTargets() == engines
	})))
}

// TestGroupReleasesMemoryAfterMillionTokenPrompt runs a prompt that exceeds the
// memory of one engine on a group: the answer must be right, and every reservation
// released afterwards.
func TestGroupReleasesMemoryAfterMillionTokenPrompt(t *testing.T) {
	engines, intent := startEngines(t, 4, 400_000)
	c := &recordingCounter{counts: map[string]int{}}
	n := startNode(t, "n0", intent, c)
	waitForReports(t, n, len(engines))
	end, text := submitPrompt(n, nil, 1, 1_000_000, 20)
	must.Eq(t, result.Complete, end.Code)
	must.Eq(t, expectedAnswer(1, 1_000_000, 20), text)
	must.Eq(t, 1, c.counts["groups started"])
	waitForNoMemoryHeld(t, engines)
}

// crashEngineHoldingMemory crashes the first engine that it finds with reserved
// memory; the engine returns after 20 ms.
func crashEngineHoldingMemory(engines []*engine.Engine, rng *rand.Rand) {
	_ = wait.InitialSuccess(wait.Timeout(time.Second), wait.Gap(time.Millisecond), wait.BoolFunc(func() bool {
		eng := engines[rng.IntN(len(engines))]
		holds := eng.Memory().HeldTokens > 0
		if holds {
			eng.Command(engine.Faults{Die: true, ReturnAfterMS: 20})
		}
		return holds
	})).Run()
}

// TestEnginesHoldNoMemoryAfterCrashes guards against leaked reservations: two
// instances run prompts on groups while engines crash and return, and one instance
// ends without releasing its groups. Whatever the outcomes, no engine may still
// hold memory in the end.
func TestEnginesHoldNoMemoryAfterCrashes(t *testing.T) {
	engines, intent := startEngines(t, 6, 60_000)
	c := &recordingCounter{counts: map[string]int{}}
	survivor, lost := startNode(t, "n0", intent, c), startNode(t, "n1", intent, c)
	waitForReports(t, survivor, len(engines))
	waitForReports(t, lost, len(engines))
	rng := rand.New(rand.NewPCG(4, 4))
	const prompts = 18
	ends, instanceLost := make(chan result.Code, prompts), make(chan struct{})
	var promptsAtLost sync.WaitGroup
	for i := range prompts {
		go func() {
			end, _ := submitPrompt(survivor, nil, uint64(100+i), 110_000+1000*i, 30)
			ends <- end.Code
		}()
		if i%3 == 0 {
			promptsAtLost.Add(1)
			go func() {
				defer promptsAtLost.Done()
				submitPrompt(lost, instanceLost, uint64(200+i), 110_000+1000*i, 30)
			}()
		}
	}
	codes := map[result.Code]int{}
	for i := range prompts {
		codes[<-ends]++
		crashEngineHoldingMemory(engines, rng)
		if i == prompts/4 {
			lost.Close()
			close(instanceLost)
		}
	}
	promptsAtLost.Wait()
	waitForNoMemoryHeld(t, engines)
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Logf("ends: %v, counted: %v", codes, c.counts)
	must.Positive(t, codes[result.Complete])
}
