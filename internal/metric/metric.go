// Package metric records the metrics of a VM with OpenTelemetry and serves them in the Prometheus text format.
package metric

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"cornelmux/internal/configuration"
	"cornelmux/internal/feed"
	"cornelmux/internal/filter"
	"cornelmux/internal/memory"
	"cornelmux/internal/peer"
	"cornelmux/internal/pool"
)

const (
	// scopeName is the name of the OpenTelemetry instrumentation scope.
	scopeName = "cornelmux"
	// scrapeTimeout bounds each callback of a scrape.
	scrapeTimeout = 2 * time.Second
)

// bucketBounds are the upper bounds of the histograms' buckets, in seconds. They include the latency targets of 63 ms and
// 0.86 s, so that the share of requests within a target can be read off.
var bucketBounds = []float64{0.001, 0.005, 0.01, 0.025, 0.063, 0.1, 0.25, 0.5, 0.86, 2, 5, 10, 30, 60, 120}

// messageBounds are those for the messages of the owners of state, in seconds.
var messageBounds = []float64{0.00001, 0.0001, 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5}

// Configurations provides the configuration in force.
type Configurations interface {
	Current(ctx context.Context) (configuration.Snapshot, error)
}

// Peers provides the known entry VMs and the counts of datagrams.
type Peers interface {
	Members(ctx context.Context) ([]peer.Member, error)
	Counts(ctx context.Context) (peer.Counts, error)
}

// Memory provides the memory that callers' bodies and endpoints' answers hold.
type Memory interface {
	State(ctx context.Context) (memory.State, error)
}

// Cold provides the endpoints that count as cold.
type Cold interface {
	ColdEndpoints(ctx context.Context) ([]pool.ColdEndpoint, error)
}

// Evacuations provides the evacuations in force.
type Evacuations interface {
	Evacuations(ctx context.Context) ([]pool.Evacuation, error)
}

// Restores provides what is known of restores of the store.
type Restores interface {
	RestoreStatus(ctx context.Context) (feed.RestoreStatus, error)
}

// Metrics holds the instruments. It implements filter.Meter and, for scrapes, http.Handler. Its methods may be called from
// any goroutine.
type Metrics struct {
	handler          http.Handler
	meter            metric.Meter
	requests         metric.Int64Counter
	inFlight         metric.Int64UpDownCounter
	requestDuration  metric.Float64Histogram
	timeToFirstChunk metric.Float64Histogram
	forecastError    metric.Float64Histogram
	sends            metric.Int64Counter
	answers          metric.Int64Counter
	runs             metric.Int64Counter
	tokens           metric.Int64Counter
	platformCalls    metric.Int64Counter
	platformDuration metric.Float64Histogram
	messageDuration  metric.Float64Histogram
	runsWaiting      metric.Int64UpDownCounter
	runWait          metric.Float64Histogram
	runsRefused      metric.Int64Counter
}

// New creates the instruments for a VM. One that can't be created is logged and records nothing, so that a VM serves without
// it. entry.New and platform.New call it.
func New(log logr.Logger) *Metrics {
	registry := prometheus.NewRegistry()
	var options []sdk.Option
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		log.Error(err, "failed to create the metrics exporter")
	} else {
		options = append(options, sdk.WithReader(reader))
	}
	b := &builder{meter: sdk.NewMeterProvider(options...).Meter(scopeName)}
	m := &Metrics{
		handler:          promhttp.HandlerFor(registry, promhttp.HandlerOpts{Timeout: 2 * scrapeTimeout}),
		requests:         b.counter("cornelmux.requests", "{request}", "Requests that ended, by result code."),
		inFlight:         b.upDown("cornelmux.requests.in_flight", "{request}", "Requests in flight."),
		requestDuration:  b.histogram("cornelmux.request.duration", "Time from arrival to the end of the answer.", bucketBounds),
		timeToFirstChunk: b.histogram("cornelmux.request.first_piece", "Time from arrival to the first piece of the answer.", bucketBounds),
		forecastError:    b.histogram("cornelmux.forecast.error", "Time between the expected and the seen begin of an answer at an endpoint, by which came first.", bucketBounds),
		sends:            b.counter("cornelmux.sends", "{send}", "Sends to endpoints, retries included."),
		answers:          b.counter("cornelmux.answers", "{answer}", "Answers passed on, by version and cascade level."),
		runs:             b.counter("cornelmux.runs", "{run}", "Runs at endpoints that answers were made of, rejected cascade levels included."),
		tokens:           b.counter("cornelmux.tokens", "{token}", "Tokens of all runs."),
		platformCalls:    b.counter("cornelmux.platform.calls", "{call}", "Calls of the platform, by method, area and status."),
		platformDuration: b.histogram("cornelmux.platform.duration", "Time of the platform's calls that are no watch.", bucketBounds),
		messageDuration:  b.histogram("cornelmux.message.duration", "Time that a message took the goroutine of its owner.", messageBounds),
		runsWaiting:      b.upDown("cornelmux.admission.waiting", "{run}", "Runs that wait for room at an endpoint, by priority."),
		runWait:          b.histogram("cornelmux.admission.wait", "Time that runs waited for room at an endpoint before they were placed.", bucketBounds),
		runsRefused:      b.counter("cornelmux.admission.refused", "{run}", "Runs refused for want of room, by reason and priority."),
	}
	b.logErrors(log)
	m.meter = b.meter
	return m
}

// Observe adds the metrics of the configuration and of the peers, which are asked at each scrape. It is called once, before
// the VM runs.
func (m *Metrics) Observe(configurations Configurations, peers Peers, log logr.Logger) {
	b := &builder{meter: m.meter}
	b.observeConfiguration(configurations)
	b.observePeers(peers)
	b.logErrors(log)
}

// ObserveMemory adds the metrics of the bytes that are held for callers, which are asked at each scrape. It is called once, before
// the VM runs.
func (m *Metrics) ObserveMemory(account Memory, log logr.Logger) {
	b := &builder{meter: m.meter}
	b.observeMemory(account)
	b.logErrors(log)
}

// ObserveCold adds the metrics of cold endpoints, which are asked at each scrape. It is called once, before the VM runs.
func (m *Metrics) ObserveCold(cold Cold, log logr.Logger) {
	b := &builder{meter: m.meter}
	b.observeCold(cold)
	b.logErrors(log)
}

// ObserveEvacuations adds the metrics of the availability zones that are evacuated, which are asked at each scrape. It is called once,
// before the VM runs.
func (m *Metrics) ObserveEvacuations(evacuations Evacuations, log logr.Logger) {
	b := &builder{meter: m.meter}
	b.observeEvacuations(evacuations)
	b.logErrors(log)
}

// ObserveRestores adds the metrics of restores of the store, which are asked at each scrape. It is called once, before the VM runs.
func (m *Metrics) ObserveRestores(restores Restores, log logr.Logger) {
	b := &builder{meter: m.meter}
	b.observeRestores(restores)
	b.logErrors(log)
}

// ServeHTTP implements http.Handler.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Started implements filter.Meter. It counts a request in flight.
func (m *Metrics) Started(ctx context.Context) { m.inFlight.Add(ctx, 1) }

// Ended implements filter.Meter. It records a request that ended: its result, durations, sends and runs, and the model,
// version or service that answered, if an answer began. Filter Observe calls it once for each request.
func (m *Metrics) Ended(ctx context.Context, o filter.Observation) {
	m.inFlight.Add(ctx, -1)
	kind := attribute.String("kind", kindName(o.Kind))
	m.requests.Add(ctx, 1, metric.WithAttributes(kind, attribute.Int("code", int(o.Code)), attribute.String("run", string(o.Run))))
	m.requestDuration.Record(ctx, o.Duration.Seconds(), metric.WithAttributes(kind))
	m.sends.Add(ctx, int64(o.Sends), metric.WithAttributes(kind))
	if o.TimeToFirstChunk > 0 {
		m.timeToFirstChunk.Record(ctx, o.TimeToFirstChunk.Seconds(), metric.WithAttributes(kind))
		m.answers.Add(ctx, 1, metric.WithAttributes(
			attribute.String("model", o.Model), attribute.String("version", o.Version),
			attribute.String("service", o.Service), attribute.Int("level", o.Level),
		))
	}
	for _, late := range o.ForecastErrors {
		m.forecastError.Record(ctx, late.Abs().Seconds(), metric.WithAttributes(kind, attribute.Bool("late", late > 0)))
	}
	for _, run := range o.Runs {
		attributes := metric.WithAttributes(attribute.String("model", run.Model), attribute.String("version", run.Version), attribute.String("service", run.Service))
		m.runs.Add(ctx, 1, attributes)
		m.tokens.Add(ctx, int64(run.Tokens), attributes)
	}
}

// PlatformCall records a call of the platform; status is 0 if there was no response. Watches are counted, but their
// durations aren't recorded, since they wait for changes. Transport and the store of package platform call it.
func (m *Metrics) PlatformCall(ctx context.Context, method, area string, status int, watch bool, duration time.Duration) {
	m.platformCalls.Add(ctx, 1, metric.WithAttributes(
		attribute.String("method", method), attribute.String("area", area), attribute.String("status", strconv.Itoa(status)),
	))
	if !watch {
		m.platformDuration.Record(ctx, duration.Seconds(), metric.WithAttributes(attribute.String("method", method)))
	}
}

// MessageRecorder implements task.Meter. The returned function may be called from any goroutine.
func (m *Metrics) MessageRecorder(owner, kind string) func(took time.Duration) {
	attributes := metric.WithAttributeSet(attribute.NewSet(attribute.String("owner", owner), attribute.String("kind", kind)))
	return func(took time.Duration) { m.messageDuration.Record(context.Background(), took.Seconds(), attributes) }
}

// kindName returns the label of a request kind; "unread" is for requests that ended before their kind was known.
func kindName(k filter.Kind) string {
	switch k {
	case filter.KindChat:
		return "chat"
	case filter.KindService:
		return "service"
	default:
		return "unread"
	}
}
