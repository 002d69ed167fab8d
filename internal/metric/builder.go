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

// builder creates instruments and collects the errors; logErrors reports them at the end.
type builder struct {
	meter metric.Meter
	errs  []error
}

// addError collects err unless it is nil.
func (b *builder) addError(err error) {
	if err != nil {
		b.errs = append(b.errs, err)
	}
}

// logErrors logs the collected errors, if any.
func (b *builder) logErrors(log logr.Logger) {
	if err := errors.Join(b.errs...); err != nil {
		log.Error(err, "failed to create some metrics")
	}
}

func (b *builder) counter(name, unit, text string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.addError(err)
	return c
}

func (b *builder) upDown(name, unit, text string) metric.Int64UpDownCounter {
	c, err := b.meter.Int64UpDownCounter(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.addError(err)
	return c
}

// histogram creates a histogram of durations in seconds with the upper bounds of its buckets.
func (b *builder) histogram(name, text string, bounds []float64) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(text),
		metric.WithExplicitBucketBoundaries(bounds...))
	b.addError(err)
	return h
}

// observableCounter creates a counter whose value is set by a callback at each scrape.
func (b *builder) observableCounter(name, unit, text string) metric.Int64ObservableCounter {
	c, err := b.meter.Int64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.addError(err)
	return c
}

// gauge creates a gauge whose value is set by a callback at each scrape.
func (b *builder) gauge(name, unit, text string) metric.Float64ObservableGauge {
	g, err := b.meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.addError(err)
	return g
}

// registerCallback registers f to observe the instruments at each scrape, with scrapeTimeout as its limit.
func (b *builder) registerCallback(f metric.Callback, observables ...metric.Observable) {
	withTimeout := func(ctx context.Context, o metric.Observer) error {
		ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
		defer cancel()
		return f(ctx, o)
	}
	_, err := b.meter.RegisterCallback(withTimeout, observables...)
	b.addError(err)
}

// observeConfiguration creates the gauges of the configuration in force. They are absent until there is one. The age is
// about 292 years until a new revision is first confirmed, because ConfirmedAt is zero then. Observe calls it.
func (b *builder) observeConfiguration(configurations Configurations) {
	revision := b.gauge("cornelmux.configuration.revision", "{revision}", "Revision of the configuration in force.")
	age := b.gauge("cornelmux.configuration.age", "s", "Time since the revision was last proved to be the newest.")
	b.registerCallback(func(ctx context.Context, o metric.Observer) error {
		s, err := configurations.Current(ctx)
		if err != nil || s.Revision == 0 {
			return err
		}
		o.ObserveFloat64(revision, float64(s.Revision))
		o.ObserveFloat64(age, time.Since(s.ConfirmedAt).Seconds())
		return nil
	}, revision, age)
}

// observePeers creates the metrics of the known entry VMs and of the datagrams exchanged with them. Observe calls it.
func (b *builder) observePeers(peers Peers) {
	members := b.gauge("cornelmux.members", "{vm}", "Entry VMs known, by health.")
	datagrams := b.observableCounter("cornelmux.datagrams", "{datagram}", "Datagrams between entry VMs, by what became of them.")
	size := b.observableCounter("cornelmux.datagrams.size", "By", "Bytes of the datagrams sent and taken in.")
	b.registerCallback(func(ctx context.Context, o metric.Observer) error {
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
		for _, row := range datagramCounts(counts) {
			o.ObserveInt64(datagrams, int64(row.n), metric.WithAttributes(attribute.String("outcome", row.name)))
		}
		o.ObserveInt64(size, int64(counts.SentBytes), metric.WithAttributes(attribute.String("outcome", "sent")))
		o.ObserveInt64(size, int64(counts.ReceivedBytes), metric.WithAttributes(attribute.String("outcome", "received")))
		return nil
	}, members, datagrams, size)
}

// observeMemory creates the gauges of the bytes that are held for callers. ObserveMemory calls it.
func (b *builder) observeMemory(account Memory) {
	held := b.gauge("cornelmux.memory.held", "By", "Bytes held for callers, by kind.")
	waiting := b.gauge("cornelmux.memory.waiting", "{request}", "Bodies and answers that wait for memory.")
	b.registerCallback(func(ctx context.Context, o metric.Observer) error {
		s, err := account.State(ctx)
		if err != nil {
			return err
		}
		for _, row := range []struct {
			kind  string
			bytes int64
		}{
			{"small_bodies", s.SmallBodies},
			{"large_bodies", s.LargeBodies},
			{"answers", s.SmallAnswers + s.LargeAnswers},
		} {
			o.ObserveFloat64(held, float64(row.bytes), metric.WithAttributes(attribute.String("kind", row.kind)))
		}
		o.ObserveFloat64(waiting, float64(s.Waiting))
		return nil
	}, held, waiting)
}

// observeCold creates the gauges of cold endpoints: for each, the time that is left and the runs that this VM may place now. ObserveCold
// calls it.
func (b *builder) observeCold(cold Cold) {
	left := b.gauge("cornelmux.cold.left", "s", "Time until the endpoint counts as warm, by endpoint and service.")
	runs := b.gauge("cornelmux.cold.runs_left", "{run}", "Runs that this VM may place at the cold endpoint now.")
	b.registerCallback(func(ctx context.Context, o metric.Observer) error {
		list, err := cold.ColdEndpoints(ctx)
		if err != nil {
			return err
		}
		for _, e := range list {
			attributes := metric.WithAttributes(attribute.String("endpoint", e.Endpoint), attribute.String("service", e.Service))
			o.ObserveFloat64(left, e.Left.Seconds(), attributes)
			o.ObserveFloat64(runs, float64(e.RunsLeft), attributes)
		}
		return nil
	}, left, runs)
}

// observeEvacuations creates the gauge of the evacuations in force, by zone. ObserveEvacuations calls it.
func (b *builder) observeEvacuations(evacuations Evacuations) {
	age := b.gauge("cornelmux.evacuation.age", "s", "Time since this VM learned of an evacuation that is in force, by zone.")
	b.registerCallback(func(ctx context.Context, o metric.Observer) error {
		list, err := evacuations.Evacuations(ctx)
		if err != nil {
			return err
		}
		for _, e := range list {
			o.ObserveFloat64(age, time.Since(e.Since).Seconds(), metric.WithAttributes(attribute.String("zone", e.Zone)))
		}
		return nil
	}, age)
}

// observeRestores creates the metrics of restores of the store. ObserveRestores calls it.
func (b *builder) observeRestores(restores Restores) {
	era := b.gauge("cornelmux.store.era", "{era}", "Era of the store that this VM goes by; it rises with each restore.")
	kept := b.gauge("cornelmux.store.kept_items", "{item}", "Items that stay in force in place of those of the restored store.")
	count := b.observableCounter("cornelmux.store.restores", "{restore}", "Restores of the store since the start of this VM.")
	b.registerCallback(func(ctx context.Context, o metric.Observer) error {
		s, err := restores.RestoreStatus(ctx)
		if err != nil {
			return err
		}
		o.ObserveFloat64(era, float64(s.Era))
		o.ObserveFloat64(kept, float64(s.Kept))
		o.ObserveInt64(count, int64(s.Restores))
		return nil
	}, era, kept, count)
}

// countHealth returns the number of members for each health, zeros included.
func countHealth(list []peer.Member) map[string]int {
	counts := map[string]int{"alive": 0, "suspect": 0, "dead": 0}
	for _, m := range list {
		counts[m.Health.String()]++
	}
	return counts
}

// datagramCount is the number of datagrams with an outcome.
type datagramCount struct {
	name string
	n    uint64
}

// datagramCounts lists the datagram counters under their labels, for each scrape.
func datagramCounts(c peer.Counts) []datagramCount {
	return []datagramCount{
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
