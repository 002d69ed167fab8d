package cascade

import "time"

const (
	// breakerThreshold is the number of consecutive requests to the rating service without a usable rating that opens
	// the breaker.
	breakerThreshold = 3
	// minProbeBackoff and maxProbeBackoff bound the time between two probes.
	minProbeBackoff = time.Second
	maxProbeBackoff = 30 * time.Second
)

// Breaker is a circuit breaker for the rating service. While it is open, no request waits for a rating.
type Breaker struct {
	// Failures counts consecutive requests to the rating service without a usable rating.
	Failures int
	// Backoff is the time between two probes while the breaker is open.
	Backoff time.Duration
	// ProbeAt is when the next probe is due: the rating of an answer that no caller waits for.
	ProbeAt time.Time
}

// Closed reports whether requests may wait for ratings.
func (b Breaker) Closed() bool { return b.Failures < breakerThreshold }

// ProbeDue reports whether the breaker is open and a probe is due.
func (b Breaker) ProbeDue(now time.Time) bool { return !b.Closed() && !now.Before(b.ProbeAt) }

// AfterProbe returns the breaker after a probe was sent at now; the next one is due after the backoff.
func (b Breaker) AfterProbe(now time.Time) Breaker {
	b.ProbeAt = now.Add(b.Backoff)
	return b
}

// AfterRating returns the breaker after a request to the rating service; ok says whether it gave a usable rating. Each
// further failure while the breaker is open doubles the backoff. The Controller calls it for each answer whose rating
// was asked for.
func (b Breaker) AfterRating(ok bool, now time.Time) Breaker {
	if ok {
		return Breaker{}
	}
	b.Failures++
	switch {
	case b.Failures < breakerThreshold:
		return b
	case b.Failures == breakerThreshold:
		b.Backoff = minProbeBackoff
	default:
		b.Backoff = min(2*b.Backoff, maxProbeBackoff)
	}
	b.ProbeAt = now.Add(b.Backoff)
	return b
}
