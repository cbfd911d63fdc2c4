package soak

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"regexp"
	"slices"

	"github.com/medlardeck/medlardeck/internal/entry"
)

// counterLine is one sample of a counter as /metrics serves it.
var counterLine = regexp.MustCompile(`^medlardeck_(\w+)_total\{reason="([^"]*)"`)

// checkMetrics checks that every counter and reason that the entry instances
// counted is documented.
func (s *soak) checkMetrics(ctx context.Context) {
	known := map[string][]string{}
	for _, c := range entry.Counters() {
		known[c.Name] = c.Reasons
		if len(c.Reasons) == 0 {
			known[c.Name] = []string{""}
		}
	}
	for i, url := range s.d.Operators {
		if err := eachCounter(ctx, url+"/metrics", func(name, reason string) {
			if !slices.Contains(known[name], reason) {
				s.violate("entry %d counted %s with reason %q, which is not documented", i, name, reason)
			}
		}); err != nil {
			s.violate("entry %d: %v", i, err)
		}
	}
}

func eachCounter(ctx context.Context, url string, fn func(name, reason string)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if m := counterLine.FindStringSubmatch(lines.Text()); m != nil {
			fn(m[1], m[2])
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	return nil
}
