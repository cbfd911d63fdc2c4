package target

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
)

func fleetIntent(domains, perDomain int) *configuration.Intent {
	pool := configuration.Pool{Name: "p", Kind: configuration.PoolEngine, Models: []string{"m"}}
	for d := range domains {
		for i := range perDomain {
			name := fmt.Sprintf("engine-%d-%d", d, i)
			pool.Targets = append(pool.Targets, configuration.Target{Name: name, Address: name, FailureDomain: fmt.Sprintf("domain-%d", d)})
		}
	}
	return &configuration.Intent{Pools: []configuration.Pool{pool}}
}

func candidatesOf(in *configuration.Intent, instance, domain string) []*Target {
	t := NewTable()
	t.ApplyIntent(in, CandidateSelector{Instance: instance, FailureDomain: domain})
	return t.ServingModel("m")
}

func TestSmallFleetUsesAllTargets(t *testing.T) {
	must.Len(t, 20, candidatesOf(fleetIntent(4, 5), "entry-0", "domain-0"))
}

func TestCandidatesPreferOwnFailureDomain(t *testing.T) {
	for _, tg := range candidatesOf(fleetIntent(3, 90), "entry-0", "domain-1") {
		must.Eq(t, "domain-1", tg.FailureDomain)
	}
	local := 0
	got := candidatesOf(fleetIntent(6, 5), "entry-0", "domain-1")
	for _, tg := range got {
		if tg.FailureDomain == "domain-1" {
			local++
		}
	}
	must.Len(t, MaxCandidates, got)
	must.Eq(t, 5, local)
}

func TestRemovingATargetChangesFewCandidates(t *testing.T) {
	before := candidatesOf(fleetIntent(1, 90), "entry-0", "domain-0")
	after := candidatesOf(fleetIntent(1, 89), "entry-0", "domain-0")
	names := map[string]bool{}
	for _, tg := range before {
		names[tg.Name] = true
	}
	kept := 0
	for _, tg := range after {
		if names[tg.Name] {
			kept++
		}
	}
	must.GreaterEq(t, MaxCandidates-1, kept)
}

// Checks the distribution of candidates in one failure domain at design size: 300
// instances and 90 engines of a model.
func TestEveryTargetIsACandidateOfSomeInstance(t *testing.T) {
	in := fleetIntent(1, 90)
	uses := map[string]int{}
	for i := range 300 {
		for _, tg := range candidatesOf(in, fmt.Sprintf("entry-%d", i), "domain-0") {
			uses[tg.Name]++
		}
	}
	least, most := 300, 0
	for _, n := range uses {
		least, most = min(least, n), max(most, n)
	}
	t.Logf("each engine is a candidate of %d to %d instances, 80 on average", least, most)
	must.MapLen(t, 90, uses)
	must.Greater(t, 40, least)
	must.Less(t, 160, most)
}
