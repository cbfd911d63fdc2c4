package configuration

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// BenchmarkAdopt measures the adoption of a change of one workspace at an
// instance: apply the delta, decode and index.
func BenchmarkAdopt(b *testing.B) {
	for _, n := range []int{240, 2400, 24000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			base, _ := applyPlan(b, EmptySnapshot(), sampleIntent(n))
			in, err := base.Intent()
			must.NoError(b, err)
			in.Workspaces = append([]Workspace(nil), in.Workspaces...)
			in.Workspaces[7].TokensPerSecond = 5
			next, plan := applyPlan(b, base, in)
			d := Delta{Root: next.Root, Changes: plan.Changes}
			b.ReportAllocs()
			for b.Loop() {
				snap, err := base.Apply(d)
				must.NoError(b, err)
				to, err := snap.Intent()
				must.NoError(b, err)
				NewIndex(&to)
			}
		})
	}
}

// BenchmarkPlan measures the planning of a single change.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{240, 2400, 24000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			base, _ := applyPlan(b, EmptySnapshot(), sampleIntent(n))
			in, err := base.Intent()
			must.NoError(b, err)
			in.Drains.Targets = []string{"e0"}
			b.ReportAllocs()
			for b.Loop() {
				_, err := NewPlan(base, in, func(string) int { return 0 })
				must.NoError(b, err)
			}
		})
	}
}
