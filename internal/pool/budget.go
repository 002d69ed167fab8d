package pool

import "time"

const (
	// budgetSlots divides the window of a budget.
	budgetSlots = 20
	// climbPart is the part of the budget that climbs may use up, so that failures keep some of it.
	climbPart = 0.9
)

// RetryLimit bounds repeats by requests: in each Window, Share of the requests and Saved more may be repeats.
type RetryLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget counts the requests and repeats of one service at this VM. The present slot counts as a whole one for repeats
// and the oldest not at all for requests, so that no window of the limit's length holds too many repeats.
type Budget struct {
	limit    RetryLimit
	slot     int64
	requests [budgetSlots + 1]int
	repeats  [budgetSlots + 1]int
}

// NewBudget makes a Budget that has counted nothing.
func NewBudget(l RetryLimit) *Budget { return &Budget{limit: l} }

// Request counts a request.
func (b *Budget) Request(now time.Time) { b.requests[b.at(now)]++ }

// Count counts a repeat whether or not it was allowed.
func (b *Budget) Count(now time.Time) { b.repeats[b.at(now)]++ }

// Repeat reports whether a repeat is allowed now, and counts it.
func (b *Budget) Repeat(now time.Time) bool {
	allowed := b.left(now) >= 1
	if allowed {
		b.Count(now)
	}
	return allowed
}

// Spare reports whether the budget has room for a climb.
func (b *Budget) Spare(now time.Time) bool { return b.left(now) >= 1+(1-climbPart)*b.allowed(now) }

func (b *Budget) left(now time.Time) float64 { return b.allowed(now) - float64(sum(b.repeats, -1)) }

// allowed is how many repeats the requests of the window allow.
func (b *Budget) allowed(now time.Time) float64 {
	b.at(now)
	oldest := int((b.slot + 1) % (budgetSlots + 1))
	return b.limit.Slack + b.limit.Ratio*float64(sum(b.requests, oldest))
}

// at returns the place of the present slot, and empties the places of the slots since the last call.
func (b *Budget) at(now time.Time) int {
	slot := now.UnixNano() / max(int64(b.limit.Window)/budgetSlots, 1)
	for range min(max(slot-b.slot, 0), budgetSlots+1) {
		b.slot++
		place := b.slot % (budgetSlots + 1)
		b.requests[place], b.repeats[place] = 0, 0
	}
	b.slot = max(b.slot, slot)
	return int(b.slot % (budgetSlots + 1))
}

func sum(counts [budgetSlots + 1]int, without int) int {
	total := 0
	for i, n := range counts {
		if i != without {
			total += n
		}
	}
	return total
}
