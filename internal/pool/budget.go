package pool

import "time"

const (
	// budgetSlots is the number of time slots that the window of a budget is divided into.
	budgetSlots = 20
	// escalationShare is the part of the budget, 0 to 1, that escalations may use, so that some is left for failures.
	escalationShare = 0.9
)

// RetryLimit bounds the retries in each Window to Ratio times the requests in it, plus Slack retries.
type RetryLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// RetryBudget counts the requests and retries of one service on this VM in time slots. The current slot counts in full
// for retries, and the oldest one not at all for requests, so that no window of the limit's length has too many
// retries.
type RetryBudget struct {
	limit RetryLimit
	// slot is the number of the current time slot since the Unix epoch, each the window divided by budgetSlots long;
	// slot n is at index n modulo budgetSlots+1.
	slot     int64
	requests [budgetSlots + 1]int
	retries  [budgetSlots + 1]int
}

// NewRetryBudget makes an empty RetryBudget.
func NewRetryBudget(l RetryLimit) *RetryBudget { return &RetryBudget{limit: l} }

// CountRequest counts the first attempt of a request.
func (b *RetryBudget) CountRequest(now time.Time) { b.requests[b.advance(now)]++ }

// CountRetry counts a retry without a check. The Controller calls it for an escalation, which AllowsEscalation has checked.
func (b *RetryBudget) CountRetry(now time.Time) { b.retries[b.advance(now)]++ }

// TakeRetry reports whether a retry is allowed now, and if so counts it.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	allowed := b.remaining(now) >= 1
	if allowed {
		b.CountRetry(now)
	}
	return allowed
}

// ReturnRetry takes one counted retry back, because nothing was sent. It uncounts the oldest, so that later windows never
// have fewer counted than sent. The Controller calls it for a retry that couldn't be placed.
func (b *RetryBudget) ReturnRetry(now time.Time) {
	current := b.advance(now)
	for i := range b.retries {
		oldest := (current + 1 + i) % len(b.retries)
		if b.retries[oldest] > 0 {
			b.retries[oldest]--
			return
		}
	}
}

// AllowsEscalation reports whether the budget has room for an escalation. It leaves a part of the budget for retries
// after failures. The Controller calls it with each placement.
func (b *RetryBudget) AllowsEscalation(now time.Time) bool {
	return b.remaining(now) >= 1+(1-escalationShare)*b.allowed(now)
}

// remaining returns how many more retries are allowed.
func (b *RetryBudget) remaining(now time.Time) float64 {
	return b.allowed(now) - float64(sum(b.retries, -1))
}

// allowed returns how many retries the requests of the window allow.
func (b *RetryBudget) allowed(now time.Time) float64 {
	b.advance(now)
	oldest := int((b.slot + 1) % (budgetSlots + 1))
	return b.limit.Slack + b.limit.Ratio*float64(sum(b.requests, oldest))
}

// advance moves to the current slot, clears the slots since the last call and returns the index of the current one.
// Every other method calls it first.
func (b *RetryBudget) advance(now time.Time) int {
	slot := now.UnixNano() / max(int64(b.limit.Window)/budgetSlots, 1)
	for range min(max(slot-b.slot, 0), budgetSlots+1) {
		b.slot++
		index := b.slot % (budgetSlots + 1)
		b.requests[index], b.retries[index] = 0, 0
	}
	b.slot = max(b.slot, slot)
	return int(b.slot % (budgetSlots + 1))
}

// sum adds all counts except that at index skip; a skip of -1 excludes none.
func sum(counts [budgetSlots + 1]int, skip int) int {
	total := 0
	for i, n := range counts {
		if i != skip {
			total += n
		}
	}
	return total
}
