// Package telemetry provides the metrics and the logger of a process.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// NewLog returns a logger that writes each event as one line of key=value pairs.
func NewLog(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(w, nil))
}

// Metrics holds counters, histograms and gauges and serves them in the Prometheus
// text format.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter

	mu         sync.Mutex
	counters   map[string]metric.Int64Counter
	histograms map[string]metric.Float64Histogram
}

// NewMetrics returns an empty set of metrics with a registry of its own.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("create metrics exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return &Metrics{
		registry: registry, meter: provider.Meter("medlardeck"),
		counters: make(map[string]metric.Int64Counter), histograms: make(map[string]metric.Float64Histogram),
	}, nil
}

// Add increments the counter medlardeck_<counter> for the label reason. The counter
// is created at its first use.
func (m *Metrics) Add(counter, reason string) {
	m.mu.Lock()
	c := m.counters[counter]
	if c == nil {
		c, _ = m.meter.Int64Counter("medlardeck_" + counter)
		m.counters[counter] = c
	}
	m.mu.Unlock()
	c.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// histogramBounds are the upper bucket bounds of all histograms, in seconds. 1.6 is
// the limit that the time to the first token is compared with.
var histogramBounds = []float64{0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 30, 60, 180, 900}

// Observe records a duration, in seconds, in the histogram medlardeck_<histogram>
// for the label class. The histogram is created at its first use.
func (m *Metrics) Observe(histogram, class string, value time.Duration) {
	m.mu.Lock()
	h := m.histograms[histogram]
	if h == nil {
		h, _ = m.meter.Float64Histogram("medlardeck_"+histogram, metric.WithExplicitBucketBoundaries(histogramBounds...))
		m.histograms[histogram] = h
	}
	m.mu.Unlock()
	h.Record(context.Background(), value.Seconds(), metric.WithAttributes(attribute.String("class", class)))
}

// Gauge registers the gauge medlardeck_<name>, whose value read returns at each
// scrape.
func (m *Metrics) Gauge(name string, read func() int) error {
	_, err := m.meter.Int64ObservableGauge("medlardeck_"+name, metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(read()))
			return nil
		}))
	if err != nil {
		return fmt.Errorf("create gauge %s: %w", name, err)
	}
	return nil
}

// CounterFunc registers the counter medlardeck_<name>, whose values read reports by reason at
// each scrape.
func (m *Metrics) CounterFunc(name string, read func(report func(reason string, value int64))) error {
	_, err := m.meter.Int64ObservableCounter("medlardeck_"+name, metric.WithInt64Callback(
		func(_ context.Context, o metric.Int64Observer) error {
			read(func(reason string, value int64) {
				o.Observe(value, metric.WithAttributes(attribute.String("reason", reason)))
			})
			return nil
		}))
	if err != nil {
		return fmt.Errorf("create counter %s: %w", name, err)
	}
	return nil
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
