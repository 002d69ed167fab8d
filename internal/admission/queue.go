// Package admission decides what waits for room at the endpoints, in which order it leaves, and what is refused at once. It takes the
// time as an argument and does no I/O.
package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxUrgency is the greatest urgency that is told apart, which is the least urgent.
	maxUrgency = 9
	// lastChance is how long before its deadline a request that is late goes before those of its account that are in time: after so
	// long a wait, it still gets an answer.
	lastChance = 500 * time.Millisecond
	// never is the time of what has no objective or no deadline.
	never = time.Duration(math.MaxInt64)
)

// Request is what the order and the refusals depend on. But for the deadline, all of it comes from the configuration and from measured
// times, so that no caller gets ahead of others by what it says of itself.
type Request struct {
	// Account is the client account, Urgency its rank or the route's, where 0 goes first.
	Account string
	Urgency int
	// Again says that the request was sent before and has to be sent once more; it goes before new ones of its urgency.
	Again bool
	// Objective is when the answer should begin, Deadline when the caller or the route gives up; zero if there is none.
	Objective time.Time
	Deadline  time.Time
	// Begin is the typical time from the send to the head of the answer; 0 if unknown.
	Begin time.Duration
}

// Waiter is a request that waits. Value is the caller's own.
type Waiter[T any] struct {
	Request
	// Since is when the request began to wait.
	Since time.Time
	Value T

	account *account
	number  uint64
	// onTime and last are the latest times, since the queue's first request, at which the request can be sent to begin by its objective
	// and by its deadline; onTime is never after last.
	onTime time.Duration
	last   time.Duration
}

// account is a client account with requests that wait, or that had some since the queue was last empty.
type account struct {
	// waiting is how many of its requests wait, by urgency.
	waiting [maxUrgency + 1]int
	// turn grows with each request of the account that leaves to be sent; the account with the least goes first.
	turn float64
	pace pace
}

// total returns how many of its requests wait.
func (a *account) total() (n int) {
	for _, waiting := range a.waiting {
		n += waiting
	}
	return n
}

// Limits bound a queue.
type Limits struct {
	// Length is how many requests wait at most, Wait for how long one does.
	Length int
	Wait   time.Duration
}

// Queue holds the requests that wait for the same endpoints. The most urgent goes first; among those, what was sent before, then
// what can still begin by its objective; among those, the client accounts take turns; within an account the one with the least time
// to spare goes first. What can only be late goes behind, as it loses nothing more by waiting, until its deadline is near.
type Queue[T any] struct {
	limits   Limits
	waiters  []*Waiter[T]
	accounts map[string]*account
	// epoch is when the first request came.
	epoch time.Time
	// turn is the account's turn that was taken last. A further account begins there, so that none saves turns up while it's idle.
	turn  float64
	count uint64
	drain drain
}

// NewQueue makes an empty Queue.
func NewQueue[T any](l Limits) *Queue[T] {
	return &Queue[T]{limits: l, accounts: map[string]*account{}}
}

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int { return len(q.waiters) }

// HoldsBack reports whether a request that waits goes before a new one of the urgency, so that this one has to wait as well.
func (q *Queue[T]) HoldsBack(urgency int) bool {
	urgency = clampUrgency(urgency)
	return slices.ContainsFunc(q.waiters, func(w *Waiter[T]) bool { return w.Urgency <= urgency })
}

// Push adds a request, or returns why not. If the queue is full, the newest of the least urgent requests, of the client account
// that has most of them, makes room and is returned, unless the new request would be that one.
func (q *Queue[T]) Push(r Request, value T, now time.Time) (dropped *Waiter[T], refusal *Refusal) {
	r.Urgency = clampUrgency(r.Urgency)
	if len(q.waiters) == 0 {
		q.epoch, q.drain = now, drain{waitingSince: now}
	}
	q.drain.arrived(r.Urgency, now)
	if refusal := q.refuse(&r, now); refusal != nil {
		return nil, refusal
	}
	a := q.account(r.Account)
	q.count++
	w := &Waiter[T]{
		Request: r, Since: now, Value: value, account: a, number: q.count,
		onTime: min(q.latest(r.Objective, r.Begin), q.latest(r.Deadline, r.Begin)), last: q.latest(r.Deadline, r.Begin),
	}
	if a.total() == 0 {
		a.pace = pace{since: now}
	}
	a.waiting[r.Urgency]++
	q.waiters = append(q.waiters, w)
	if len(q.waiters) <= q.limits.Length {
		return nil, nil
	}
	last := q.leastMissed()
	q.Remove(last)
	if last == w {
		return nil, &Refusal{Reason: ReasonLength, RetryAfter: q.expectedWait(&r, now), Waiting: len(q.waiters)}
	}
	return last, nil
}

// account returns the account, whose turn isn't before the one that was taken last. Accounts that wait for nothing are forgotten when there
// are many, which costs others a turn at most. Push calls it.
func (q *Queue[T]) account(name string) *account {
	if len(q.accounts) > 2*q.limits.Length {
		maps.DeleteFunc(q.accounts, func(_ string, a *account) bool { return a.waiting == [maxUrgency + 1]int{} })
	}
	a := q.accounts[name]
	if a == nil {
		a = &account{}
		q.accounts[name] = a
	}
	a.turn = max(a.turn, q.turn)
	return a
}

// latest returns the time, since epoch, at which a request has to be sent whose answer takes so long to begin.
func (q *Queue[T]) latest(by time.Time, begin time.Duration) time.Duration {
	if by.IsZero() {
		return never
	}
	return by.Sub(q.epoch) - begin
}

// leastMissed returns the request that makes room in a full queue. Push calls it.
func (q *Queue[T]) leastMissed() *Waiter[T] {
	return slices.MaxFunc(q.waiters, func(a, b *Waiter[T]) int {
		return cmp.Or(
			cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.account.waiting[a.Urgency], b.account.waiting[b.Urgency]), cmp.Compare(a.number, b.number),
		)
	})
}

// Next returns the request that goes first at the time among those that skip doesn't leave out, or nil. It still waits; Sent or Remove
// takes it out.
func (q *Queue[T]) Next(now time.Time, skip func(*Waiter[T]) bool) *Waiter[T] {
	at := now.Sub(q.epoch)
	var first *Waiter[T]
	for _, w := range q.waiters {
		if (first == nil || w.before(first, at)) && (skip == nil || !skip(w)) {
			first = w
		}
	}
	return first
}

// before reports whether w goes before o, as described at Queue.
func (w *Waiter[T]) before(o *Waiter[T], at time.Duration) bool {
	if w.Urgency != o.Urgency {
		return w.Urgency < o.Urgency
	}
	groupW, groupO := w.group(at), o.group(at)
	switch {
	case groupW != groupO:
		return groupW < groupO
	case w.account.turn != o.account.turn:
		return w.account.turn < o.account.turn
	case groupW == groupLate && w.last != o.last:
		return w.last < o.last
	case w.onTime != o.onTime:
		return w.onTime < o.onTime
	}
	return w.number < o.number
}

// The groups of requests of one urgency, in the order in which they go.
const (
	groupAgain = iota
	groupInTime
	groupLate
)

// group returns the group of the request. One that is late and has its last chance goes with those in time, and before those of its account.
func (w *Waiter[T]) group(at time.Duration) int {
	switch {
	case w.Again:
		return groupAgain
	case at <= w.onTime, at >= w.last-lastChance:
		return groupInTime
	}
	return groupLate
}

// Sent takes a request out that is sent now, and moves its account's turn on.
func (q *Queue[T]) Sent(w *Waiter[T], now time.Time) {
	q.turn = max(q.turn, w.account.turn)
	w.account.turn++
	w.account.pace.sent(now)
	q.drain.sent(now)
	q.Remove(w)
}

// Remove takes a request out, for example because its caller has left. The accounts are forgotten once nothing waits.
func (q *Queue[T]) Remove(w *Waiter[T]) {
	at := slices.Index(q.waiters, w)
	if at < 0 {
		return
	}
	q.waiters = slices.Delete(q.waiters, at, at+1)
	w.account.waiting[w.Urgency]--
	if len(q.waiters) == 0 {
		clear(q.accounts)
		q.turn = 0
	}
}

// Filter takes out and returns the requests for which drop returns true.
func (q *Queue[T]) Filter(drop func(*Waiter[T]) bool) (out []*Waiter[T]) {
	for _, w := range q.waiters {
		if drop(w) {
			out = append(out, w)
		}
	}
	for _, w := range out {
		q.Remove(w)
	}
	return out
}

// Expire takes out and returns the requests that can no longer begin before their deadline, or have waited for too long.
func (q *Queue[T]) Expire(now time.Time) []*Waiter[T] {
	at := now.Sub(q.epoch)
	return q.Filter(func(w *Waiter[T]) bool { return at >= w.last || now.Sub(w.Since) >= q.limits.Wait })
}

// clampUrgency returns the urgency within its bounds.
func clampUrgency(n int) int { return min(max(n, 0), maxUrgency) }
