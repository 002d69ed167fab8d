package pool

import "time"

const (
	// typicalUpdateShare is the part of one answer, 0 to 1, in the moving means of TypicalLatency.
	typicalUpdateShare = 0.05
	// maxTypical bounds the typical latencies and engine models that are remembered; callers name the models.
	maxTypical = 1024
)

// latencyKey identifies the runs with a common typical latency; model is "" for a plain service.
type latencyKey struct {
	service string
	model   string
}

// updateTypical adds an answered run to the typical latency. A new key beyond maxTypical isn't remembered.
func (t *Table) updateTypical(key latencyKey, o *Outcome) {
	if o.TTFB <= 0 || o.End != EndAnswered {
		return
	}
	l, ok := t.typical[key]
	if !ok && len(t.typical) >= maxTypical {
		return
	}
	t.typical[key] = Latency{TTFB: movingMean(l.TTFB, o.TTFB), MeanGap: movingMean(l.MeanGap, o.MeanGap)}
}

// movingMean returns the moving mean after another value. A value of 0 is ignored. updateTypical calls it.
func movingMean(mean, value time.Duration) time.Duration {
	switch {
	case value <= 0:
		return mean
	case mean <= 0:
		return value
	default:
		return mean + time.Duration(typicalUpdateShare*float64(value-mean))
	}
}
