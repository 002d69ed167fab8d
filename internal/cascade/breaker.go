package cascade

import "time"

const (
	// breakerThreshold is how many ratings in a row have to fail until requests stop waiting for them.
	breakerThreshold = 3
	minProbeBackoff  = time.Second
	maxProbeBackoff  = 30 * time.Second
)

// Breaker tells whether the rating service is worth waiting for.
type Breaker struct {
	Failures int
	Backoff  time.Duration
	// ProbeAt is when the service is tried again, with an answer that nobody waits for.
	ProbeAt time.Time
}

// Closed reports whether requests may wait for ratings.
func (b Breaker) Closed() bool { return b.Failures < breakerThreshold }

// ProbeDue reports whether the service should be tried again.
func (b Breaker) ProbeDue(now time.Time) bool { return !b.Closed() && !now.Before(b.ProbeAt) }

// AfterProbe returns the breaker after a probe was sent; the next one is a wait away.
func (b Breaker) AfterProbe(now time.Time) Breaker {
	b.ProbeAt = now.Add(b.Backoff)
	return b
}

// AfterRating returns the breaker after a rating that succeeded or failed. Each failure while open doubles the wait.
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
