package metric

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"cornelmux/internal/pool"
)

// RunsWaiting implements pool.AdmissionMeter.
func (m *Metrics) RunsWaiting(ctx context.Context, service string, priority, change int) {
	m.runsWaiting.Add(ctx, int64(change), metric.WithAttributes(attribute.String("service", service), attribute.Int("priority", priority)))
}

// RunWaited implements pool.AdmissionMeter.
func (m *Metrics) RunWaited(ctx context.Context, service string, priority int, waited time.Duration) {
	m.runWait.Record(ctx, waited.Seconds(), metric.WithAttributes(attribute.String("service", service), attribute.Int("priority", priority)))
}

// RunRefused implements pool.AdmissionMeter.
func (m *Metrics) RunRefused(ctx context.Context, service string, priority int, reason string) {
	m.runsRefused.Add(ctx, 1, metric.WithAttributes(
		attribute.String("service", service), attribute.Int("priority", priority), attribute.String("reason", reason),
	))
}

var _ pool.AdmissionMeter = (*Metrics)(nil)
