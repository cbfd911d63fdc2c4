package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures the placement of one request among several numbers of
// targets that are half full.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{16, 60, 900} {
		for name, prompt := range map[string]int{"short": 3000, "long": 130_000} {
			b.Run(fmt.Sprintf("%s/%d", name, targets), func(b *testing.B) {
				h := newHarness(&testing.T{}, targets)
				for range 4 * targets {
					h.submit(routeShort, 3000)
					h.advance(10 * time.Millisecond)
				}
				route := h.config.Routes[routeLong]
				if name == "short" {
					route = h.config.Routes[routeShort]
				}
				a := &activeRequest{
					arrival: RequestArrived{Route: route, Config: h.config, PromptTokens: prompt, MaxAnswerTokens: 500},
					service: "pool", value: requestValue(prompt), arrivedAt: h.now, deadline: h.now + time.Minute,
				}
				b.ReportAllocs()
				for b.Loop() {
					h.core.choosePlacement(a)
				}
			})
		}
	}
}
