package admission

import "time"

const (
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = 200 * time.Millisecond
	// maxWaitShare is the share of the time until its deadline that a request is expected to wait at most, 0 to 1: requests that come
	// later may go before it.
	maxWaitShare = 0.25
)

// Reason says why a request is refused.
type Reason int

// The values of Reason.
const (
	// ReasonLength means that too many requests wait that go first.
	ReasonLength Reason = iota + 1
	// ReasonDeadline means that the request isn't expected to begin before its deadline.
	ReasonDeadline
	// ReasonExpired means that the request waited and can no longer begin before its deadline.
	ReasonExpired
)

var reasonNames = map[Reason]string{ReasonLength: "length", ReasonDeadline: "deadline", ReasonExpired: "expired"}

// String implements fmt.Stringer.
func (r Reason) String() string { return reasonNames[r] }

// Refusal says why a request doesn't wait, and what is known that speaks for it.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the request is expected to be served, from now.
	RetryAfter time.Duration
	// Waiting is how many requests wait.
	Waiting int
}

// refuse returns why the request can't wait, or nil. It answers a burst: what would wait for most of the time that it has is told so at
// once, while its caller can still go elsewhere. Push calls it.
func (q *Queue[T]) refuse(r *Request, now time.Time) *Refusal {
	if r.Deadline.IsZero() {
		return nil
	}
	left := r.Deadline.Sub(now) - r.Begin
	wait := q.expectedWait(r, now)
	if left > 0 && (r.Again || wait <= time.Duration(maxWaitShare*float64(left))) {
		return nil
	}
	return &Refusal{Reason: ReasonDeadline, RetryAfter: wait, Waiting: len(q.waiters)}
}

// expectedWait returns how long a new request waits at the rate at which requests left lately, less what more urgent ones take of it; 0
// if too little is known. Of another client account only as many requests go before it as its own account has, as they take turns; and it
// waits at least as long as its account's own requests take to leave.
func (q *Queue[T]) expectedWait(r *Request, now time.Time) time.Duration {
	rate, ok := q.drain.rate(r.Urgency, now)
	if !ok {
		return 0
	}
	own, least := 1, time.Duration(0)
	if a := q.accounts[r.Account]; a != nil && a.total() > 0 {
		own += a.waiting[r.Urgency]
		least = a.pace.wait(own, now)
	}
	ahead := 0
	for _, a := range q.accounts {
		for _, n := range a.waiting[:r.Urgency] {
			ahead += n
		}
		ahead += min(a.waiting[r.Urgency], own)
	}
	return max(time.Duration(float64(ahead)/rate*float64(time.Second)), least)
}

// Spread returns a Retry-After between the given one and half as much more, by a number from 0 to 1, so that callers that were refused
// together don't come back together.
func Spread(after time.Duration, random float64) time.Duration {
	after = max(after, minRetryAfter)
	return after + time.Duration(random/2*float64(after))
}
