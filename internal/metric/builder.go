package metric

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"cornelmux/internal/peer"
)

// builder makes instruments and collects what goes wrong.
type builder struct {
	meter metric.Meter
	errs  []error
}

func (b *builder) keep(err error) {
	if err != nil {
		b.errs = append(b.errs, err)
	}
}

func (b *builder) report(log logr.Logger) {
	if err := errors.Join(b.errs...); err != nil {
		log.Error(err, "metrics are incomplete")
	}
}

func (b *builder) counter(name, unit, text string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.keep(err)
	return c
}

func (b *builder) upDown(name, unit, text string) metric.Int64UpDownCounter {
	c, err := b.meter.Int64UpDownCounter(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.keep(err)
	return c
}

func (b *builder) seconds(name, text string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(text),
		metric.WithExplicitBucketBoundaries(secondsBounds...))
	b.keep(err)
	return h
}

// observed makes a counter that is read when the metrics are.
func (b *builder) observed(name, unit, text string) metric.Int64ObservableCounter {
	c, err := b.meter.Int64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.keep(err)
	return c
}

func (b *builder) gauge(name, unit, text string) metric.Float64ObservableGauge {
	g, err := b.meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.keep(err)
	return g
}

func (b *builder) callback(f metric.Callback, of ...metric.Observable) {
	limited := func(ctx context.Context, o metric.Observer) error {
		ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
		defer cancel()
		return f(ctx, o)
	}
	_, err := b.meter.RegisterCallback(limited, of...)
	b.keep(err)
}

func (b *builder) observeConfiguration(configurations Configurations) {
	revision := b.gauge("cornelmux.configuration.revision", "{revision}", "Revision of the configuration in force.")
	age := b.gauge("cornelmux.configuration.age", "s", "Time since the revision was last proved to be the newest.")
	b.callback(func(ctx context.Context, o metric.Observer) error {
		s, err := configurations.Current(ctx)
		if err != nil || s.Revision == 0 {
			return err
		}
		o.ObserveFloat64(revision, float64(s.Revision))
		o.ObserveFloat64(age, time.Since(s.ConfirmedAt).Seconds())
		return nil
	}, revision, age)
}

func (b *builder) observePeers(peers Peers) {
	members := b.gauge("cornelmux.members", "{vm}", "Entry VMs known, by health.")
	datagrams := b.observed("cornelmux.datagrams", "{datagram}", "Datagrams between entry VMs, by what became of them.")
	size := b.observed("cornelmux.datagrams.size", "By", "Bytes of the datagrams sent and taken in.")
	b.callback(func(ctx context.Context, o metric.Observer) error {
		list, err := peers.Members(ctx)
		if err != nil {
			return err
		}
		for health, n := range countHealth(list) {
			o.ObserveFloat64(members, float64(n), metric.WithAttributes(attribute.String("health", health)))
		}
		counts, err := peers.Counts(ctx)
		if err != nil {
			return err
		}
		for _, row := range outcomes(counts) {
			o.ObserveInt64(datagrams, int64(row.n), metric.WithAttributes(attribute.String("outcome", row.name)))
		}
		o.ObserveInt64(size, int64(counts.SentBytes), metric.WithAttributes(attribute.String("outcome", "sent")))
		o.ObserveInt64(size, int64(counts.ReceivedBytes), metric.WithAttributes(attribute.String("outcome", "received")))
		return nil
	}, members, datagrams, size)
}

func countHealth(list []peer.Member) map[string]int {
	counts := map[string]int{"alive": 0, "suspect": 0, "dead": 0}
	for _, m := range list {
		counts[m.Health.String()]++
	}
	return counts
}

type outcome struct {
	name string
	n    uint64
}

func outcomes(c peer.Counts) []outcome {
	return []outcome{
		{"sent", c.Sent},
		{"send_failed", c.SendFailed},
		{"received", c.Received},
		{"bad_size", c.BadSize},
		{"bad_version", c.BadVersion},
		{"bad_mac", c.BadMAC},
		{"malformed", c.Malformed},
		{"replayed", c.Replayed},
		{"own_name", c.OwnName},
		{"mailbox_full", c.MailboxFull},
		{"sections_full", c.SectionQueueFull},
	}
}
