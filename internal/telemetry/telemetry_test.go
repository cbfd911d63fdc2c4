package telemetry

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestMetricsAreServedByReasonAndClass(t *testing.T) {
	m, err := NewMetrics()
	must.NoError(t, err)
	m.Add("refusals", "queue-full")
	m.Add("refusals", "queue-full")
	m.Observe("first_token_seconds", "short", 1500*time.Millisecond)
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`medlardeck_refusals_total{reason="queue-full"} 2`,
		`medlardeck_first_token_seconds_bucket{class="short",le="0.8"} 0`,
		`medlardeck_first_token_seconds_bucket{class="short",le="1.6"} 1`,
	} {
		must.StrContains(t, rec.Body.String(), want)
	}
}

func TestLogWritesOneLinePerEvent(t *testing.T) {
	var out bytes.Buffer
	NewLog(&out).Info("target-ejected", "target", "engine-03", "reason", "two words\nand lines")
	must.Eq(t, 1, strings.Count(out.String(), "\n"))
	must.StrContains(t, out.String(), `msg=target-ejected target=engine-03 reason="two words\nand lines"`)
}
