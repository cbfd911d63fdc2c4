package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision is the choice for one request before fleets of several sizes
// whose targets are half full.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{16, 60, 900} {
		for name, prompt := range map[string]int{"short": 3000, "long": 130_000} {
			b.Run(fmt.Sprintf("%s/%d", name, targets), func(b *testing.B) {
				w := newWorld(&testing.T{}, targets)
				for range 4 * targets {
					w.arrive(routeShort, 3000)
					w.wait(10 * time.Millisecond)
				}
				route := &w.config.Routes[routeLong]
				if name == "short" {
					route = &w.config.Routes[routeShort]
				}
				a := &active{
					arrive:  Arrive{Route: route, Config: w.config, PromptTokens: prompt, MaxAnswerTokens: 500},
					service: "pool", value: value(prompt), arrivedAt: w.now, deadline: w.now + time.Minute,
				}
				b.ReportAllocs()
				for b.Loop() {
					w.core.choose(a)
				}
			})
		}
	}
}
