package entry

import (
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/result"
)

var updateTraces = flag.Bool("update-traces", false, "write the traces of the scenarios to testdata/traces")

// scenarios are runs that are recorded as traces for the replay command. Each
// returns the expected results of its arrivals, zero for one whose instance ended
// first.
var scenarios = []struct {
	name, about string
	run         func(sim *bookingSim) map[arrivalID]result.Code
}{
	{"lost-answer", "the store takes a claim and its answer is lost", func(sim *bookingSim) map[arrivalID]result.Code {
		sim.lostReplyShare = 1
		first := sim.submitBooking(0, "cut-1")
		sim.advance(10 * time.Millisecond)
		sim.lostReplyShare = 0
		sim.advance(2 * time.Second)
		return map[arrivalID]result.Code{first: result.Complete}
	}},
	{"paused-owner", "an instance is paused while its claim is under way and wakes long after", func(sim *bookingSim) map[arrivalID]result.Code {
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			sim.submitBooking(0, name)
		}
		sim.advance(time.Second)
		first := sim.submitBooking(0, "cut-1")
		sim.pauseEntry(0)
		sim.advance(time.Second)
		second := sim.submitBooking(1, "cut-1")
		sim.advance(time.Minute)
		sim.resumeEntry(0)
		sim.advance(5 * time.Second)
		third := sim.submitBooking(1, "cut-1")
		sim.advance(2 * time.Second)
		return map[arrivalID]result.Code{first: result.ClaimTimeout, second: result.StillRunning, third: result.Complete}
	}},
	{"double-resend", "a caller resends twice, here and elsewhere, while its call runs", func(sim *bookingSim) map[arrivalID]result.Code {
		first := sim.submitBooking(0, "cut-1")
		sim.advance(20 * time.Millisecond)
		here, there := sim.submitBooking(0, "cut-1"), sim.submitBooking(1, "cut-1")
		sim.advance(3 * time.Second)
		return map[arrivalID]result.Code{first: result.Complete, here: result.Replayed, there: result.Replayed}
	}},
	{"store-outage", "the store is down, then back", func(sim *bookingSim) map[arrivalID]result.Code {
		sim.storeOutage = true
		during := sim.submitBooking(0, "cut-1")
		sim.advance(5 * time.Second)
		sim.storeOutage = false
		sim.advance(10 * time.Second)
		after := sim.submitBooking(0, "cut-1")
		sim.advance(2 * time.Second)
		return map[arrivalID]result.Code{during: result.StoreUnavailable, after: result.Complete}
	}},
	{"planned-stop", "an instance stops as planned while its call runs", func(sim *bookingSim) map[arrivalID]result.Code {
		first := sim.submitBooking(0, "cut-1")
		sim.advance(20 * time.Millisecond)
		sim.stepEntry(0, Stop{})
		refused := sim.submitBooking(0, "cut-2")
		sim.advance(5 * time.Second)
		resend := sim.submitBooking(1, "cut-1")
		sim.advance(2 * time.Second)
		return map[arrivalID]result.Code{first: result.Complete, refused: result.Stopping, resend: result.Replayed}
	}},
	{"late-answer", "the target answers after the time limit", func(sim *bookingSim) map[arrivalID]result.Code {
		sim.serviceTime = 12 * time.Second
		first := sim.submitBooking(0, "cut-1")
		sim.advance(15 * time.Second)
		resend := sim.submitBooking(1, "cut-1")
		sim.advance(2 * time.Second)
		return map[arrivalID]result.Code{first: result.DeadlineAfterSend, resend: result.NotRepeated}
	}},
	{"domain-cut-off", "neither the store nor a peer can be reached", func(sim *bookingSim) map[arrivalID]result.Code {
		sim.storeOutage, sim.peersPartitioned = true, true
		claimed := sim.submitBooking(0, "cut-1")
		plain := sim.submitCall(0, "plain", RequestArrived{Method: "POST"})
		lookUp := sim.submitCall(0, "look-up", RequestArrived{Method: "GET"})
		sim.advance(5 * time.Second)
		return map[arrivalID]result.Code{claimed: result.StoreUnavailable, plain: result.Complete, lookUp: result.Complete}
	}},
	{"crash-between-claim-and-send", "the instance ends when its claim is written and nothing is sent", func(sim *bookingSim) map[arrivalID]result.Code {
		first := sim.submitBooking(0, "cut-1")
		for sim.store.Calls()["world"]["cas"] == 0 {
			sim.advance(time.Millisecond)
		}
		sim.startEntry(0, false)
		early := sim.submitBooking(1, "cut-1")
		sim.advance(15 * time.Second)
		late := sim.submitBooking(0, "cut-1")
		sim.advance(2 * time.Second)
		return map[arrivalID]result.Code{first: 0, early: result.StillRunning, late: result.NotRepeated}
	}},
	{"crash-between-send-and-record", "the instance ends when the call is sent", func(sim *bookingSim) map[arrivalID]result.Code {
		first := sim.submitBooking(0, "cut-1")
		sim.advance(20 * time.Millisecond)
		sim.startEntry(0, false)
		early := sim.submitBooking(1, "cut-1")
		sim.advance(15 * time.Second)
		late := sim.submitBooking(0, "cut-1")
		sim.advance(2 * time.Second)
		return map[arrivalID]result.Code{first: 0, early: result.StillRunning, late: result.NotRepeated}
	}},
}

func TestScenariosEndAsExpected(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			sim := newBookingSim(t, 2, 1, false)
			for id, code := range sc.run(sim) {
				must.Eq(t, code, sim.resultOf(id), must.Sprintf("%v %s", id, sim.identities[id]))
			}
			if *updateTraces {
				path := filepath.Join("..", "..", "testdata", "traces", sc.name+".jsonl")
				must.NoError(t, os.WriteFile(path, sim.encodeTrace(sc.name, sc.about), 0o644))
			}
		})
	}
}

// encodeTrace returns JSON lines for the replay command: a header, the recorded trace
// and the outcome of each arrival, ordered by instance, incarnation and request.
func (sim *bookingSim) encodeTrace(name, about string) []byte {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	must.NoError(sim.t, enc.Encode(traceLine{Trace: name, About: about}))
	for _, line := range sim.trace {
		must.NoError(sim.t, enc.Encode(line))
	}
	ids := slices.SortedFunc(maps.Keys(sim.identities), func(a, b arrivalID) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.request, b.request))
	})
	for _, id := range ids {
		must.NoError(sim.t, enc.Encode(traceLine{Outcome: map[string]any{
			"instance": sim.nodes[id.node].entry.opts.Name, "incarnation": id.incarnation, "request": id.request,
			"code": sim.resultOf(id), "sends": sim.sendCounts[id],
		}}))
	}
	return out.Bytes()
}
