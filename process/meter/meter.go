// Package meter derives OpenTelemetry metrics from timeline entries and exports
// them to Prometheus.
package meter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"mulberrybeam"
)

// maxWorkspaces limits the workspaces with time series of their own. The others
// share one label value, so that 2,200 workspaces cannot fill the memory of the
// process with series.
const maxWorkspaces = 100

// otherWorkspaces is the label value of workspaces beyond maxWorkspaces.
const otherWorkspaces = "other"

// secondsBuckets has boundaries at the latency targets: 0.85 s to the first
// token and 30 ms between tokens.
var secondsBuckets = []float64{0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 1, 1.5, 2.5, 5, 10, 30}

// Meter updates metrics from timeline entries. It is safe for concurrent use.
type Meter struct {
	meter           metric.Meter
	events          metric.Int64Counter
	refusals        metric.Int64Counter
	firstToken      metric.Float64Histogram
	tokenGap        metric.Float64Histogram
	duration        metric.Float64Histogram
	controlWait     metric.Float64Histogram
	contextTokens   metric.Int64Counter
	generatedTokens metric.Int64Counter
	feedResults     metric.Int64Counter
	confirmationAge metric.Float64Gauge
	mutex           sync.Mutex
	workspaces      map[mulberrybeam.WorkspaceName]bool
	environment     attribute.KeyValue
	zone            attribute.KeyValue
}

// New returns a meter, the handler of its Prometheus endpoint, and a function
// that shuts the meter down.
func New(environment mulberrybeam.EnvironmentName, zone mulberrybeam.ZoneName) (*Meter, http.Handler, func(), error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, nil, nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Meter{
		meter:       provider.Meter("mulberrybeam"),
		workspaces:  map[mulberrybeam.WorkspaceName]bool{},
		environment: attribute.String("environment", string(environment)),
		zone:        attribute.String("zone", string(zone)),
	}
	if err := m.createInstruments(m.meter); err != nil {
		return nil, nil, nil, err
	}
	cleanup := func() { _ = provider.Shutdown(context.Background()) }
	return m, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), cleanup, nil
}

func (m *Meter) createInstruments(meter metric.Meter) error {
	builder := &instrumentBuilder{meter: meter}
	m.events = builder.counter("mulberrybeam.events", "Entries of the time line by kind.")
	m.refusals = builder.counter("mulberrybeam.refusals", "Refused requests by code.")
	m.firstToken = builder.seconds("mulberrybeam.first-token", "Time from arrival to first token.")
	m.tokenGap = builder.seconds("mulberrybeam.token-gap", "Longest time between two tokens of a request.")
	m.duration = builder.seconds("mulberrybeam.duration", "Time from arrival to the end of the answer.")
	m.controlWait = builder.seconds("mulberrybeam.control-wait", "Time that events waited for the control goroutine by lane.")
	m.contextTokens = builder.counter("mulberrybeam.context-tokens", "Prompt tokens by where their context came from.")
	m.generatedTokens = builder.counter("mulberrybeam.generated-tokens", "Generated tokens.")
	m.feedResults = builder.counter("mulberrybeam.feed-results", "Results of calls for changes by kind of object and source.")
	m.confirmationAge = builder.gauge("mulberrybeam.confirmation-age", "Age of the confirmation in the last result by kind of object.")
	return builder.err
}

// instrumentBuilder creates metrics and keeps the first error.
type instrumentBuilder struct {
	meter metric.Meter
	err   error
}

func (b *instrumentBuilder) counter(name, description string) metric.Int64Counter {
	counter, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	if b.err == nil {
		b.err = err
	}
	return counter
}

func (b *instrumentBuilder) seconds(name, description string) metric.Float64Histogram {
	histogram, err := b.meter.Float64Histogram(name, metric.WithDescription(description),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(secondsBuckets...))
	if b.err == nil {
		b.err = err
	}
	return histogram
}

// Gauge is a value that is read when the metrics are fetched.
type Gauge struct {
	Name, Description, Unit string
	Read                    func() int64
}

// AddGauges adds gauges to the metrics.
func (m *Meter) AddGauges(gauges ...Gauge) error {
	for _, gauge := range gauges {
		callback := func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(gauge.Read(), m.attributes())
			return nil
		}
		_, err := m.meter.Int64ObservableGauge(gauge.Name, metric.WithDescription(gauge.Description),
			metric.WithUnit(gauge.Unit), metric.WithInt64Callback(callback))
		if err != nil {
			return err
		}
	}
	return nil
}

func (b *instrumentBuilder) gauge(name, description string) metric.Float64Gauge {
	gauge, err := b.meter.Float64Gauge(name, metric.WithDescription(description), metric.WithUnit("s"))
	if b.err == nil {
		b.err = err
	}
	return gauge
}

// ObserveFeed updates the metrics for one result of a call for the changes of a kind
// of objects, which the source confirmed with the given age.
func (m *Meter) ObserveFeed(kind mulberrybeam.ObjectKind, source string, age time.Duration) {
	ctx, label := context.Background(), attribute.String("kind", string(kind))
	m.feedResults.Add(ctx, 1, m.attributes(label, attribute.String("source", source)))
	m.confirmationAge.Record(ctx, age.Seconds(), m.attributes(label))
}

// Observe updates the metrics for one entry.
func (m *Meter) Observe(entry mulberrybeam.Entry) {
	ctx := context.Background()
	m.events.Add(ctx, 1, m.attributes(attribute.String("kind", string(entry.Kind))))
	if entry.Code != "" {
		m.refusals.Add(ctx, 1, m.attributes(attribute.String("code", string(entry.Code))))
	}
	if entry.Stats != nil {
		m.recordStats(ctx, entry.Stats)
	}
}

// ObserveControlWait records how long an event waited for the control goroutine.
func (m *Meter) ObserveControlWait(lane string, wait time.Duration) {
	m.controlWait.Record(context.Background(), wait.Seconds(), m.attributes(attribute.String("lane", lane)))
}

func (m *Meter) recordStats(ctx context.Context, stats *mulberrybeam.RequestStats) {
	labels := []attribute.KeyValue{
		attribute.String("workspace", m.workspaceLabel(stats.Workspace)),
		attribute.String("model", string(stats.Model)),
		attribute.String("service", string(stats.Service)),
	}
	m.duration.Record(ctx, stats.Duration.Seconds(), m.attributes(labels...))
	if stats.Model == "" {
		return
	}
	m.firstToken.Record(ctx, stats.FirstToken.Seconds(), m.attributes(labels...))
	m.tokenGap.Record(ctx, stats.TokenGap.Seconds(), m.attributes(labels...))
	m.generatedTokens.Add(ctx, int64(stats.GeneratedTokens), m.attributes(labels...))
	for source, tokens := range map[mulberrybeam.Source]int{
		mulberrybeam.SourceCache:     stats.CachedTokens,
		mulberrybeam.SourceImport:    stats.ImportedTokens,
		mulberrybeam.SourceRecompute: stats.RecomputedTokens,
	} {
		withSource := append([]attribute.KeyValue{attribute.String("source", string(source))}, labels...)
		m.contextTokens.Add(ctx, int64(tokens), m.attributes(withSource...))
	}
}

func (m *Meter) attributes(labels ...attribute.KeyValue) metric.MeasurementOption {
	return metric.WithAttributes(append(labels, m.environment, m.zone)...)
}

// workspaceLabel returns the label value of a workspace, otherWorkspaces beyond
// the limit.
func (m *Meter) workspaceLabel(workspace mulberrybeam.WorkspaceName) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.workspaces[workspace] {
		if len(m.workspaces) >= maxWorkspaces {
			return otherWorkspaces
		}
		m.workspaces[workspace] = true
	}
	return string(workspace)
}
