package metric

import (
	"context"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/metric"

	"cornelmux/internal/journal"
)

// Journal provides the counts of the VM's journal.
type Journal interface {
	Counts(ctx context.Context) (journal.Counts, error)
}

// ObserveJournal adds the metrics of the journal, which is asked at each scrape. entry.New calls it once.
func (m *Metrics) ObserveJournal(j Journal, log logr.Logger) {
	b := &builder{meter: m.meter}
	outstanding := b.gauge("cornelmux.journal.outstanding", "{request}", "Requests that run or whose bill is not written.")
	kept := b.gauge("cornelmux.journal.kept", "{answer}", "Answers kept for resends.")
	size := b.gauge("cornelmux.journal.kept.size", "By", "Bytes of the answers kept for resends.")
	b.registerCallback(func(ctx context.Context, o metric.Observer) error {
		counts, err := j.Counts(ctx)
		if err != nil {
			return err
		}
		o.ObserveFloat64(outstanding, float64(counts.Outstanding))
		o.ObserveFloat64(kept, float64(counts.Kept))
		o.ObserveFloat64(size, float64(counts.KeptBytes))
		return nil
	}, outstanding, kept, size)
	b.logErrors(log)
}
