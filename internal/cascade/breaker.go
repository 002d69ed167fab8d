package cascade

import "time"

const (
	// breakerFailures is how many ratings in a row have to fail until requests stop waiting for them.
	breakerFailures = 3
	breakerMinWait  = time.Second
	breakerMaxWait  = 30 * time.Second
)

// Breaker tells whether the rating service is worth waiting for.
type Breaker struct {
	Failures int
	Wait     time.Duration
	// ProbeAt is when the service is tried again, with an answer that nobody waits for.
	ProbeAt time.Time
}

// Closed reports whether requests may wait for ratings.
func (b Breaker) Closed() bool { return b.Failures < breakerFailures }

// ProbeDue reports whether the service should be tried again.
func (b Breaker) ProbeDue(now time.Time) bool { return !b.Closed() && !now.Before(b.ProbeAt) }

// Probed returns the breaker after a probe was sent; the next one is a wait away.
func (b Breaker) Probed(now time.Time) Breaker {
	b.ProbeAt = now.Add(b.Wait)
	return b
}

// After returns the breaker after a rating that succeeded or failed. Each failure while open doubles the wait.
func (b Breaker) After(ok bool, now time.Time) Breaker {
	if ok {
		return Breaker{}
	}
	b.Failures++
	switch {
	case b.Failures < breakerFailures:
		return b
	case b.Failures == breakerFailures:
		b.Wait = breakerMinWait
	default:
		b.Wait = min(2*b.Wait, breakerMaxWait)
	}
	b.ProbeAt = now.Add(b.Wait)
	return b
}
