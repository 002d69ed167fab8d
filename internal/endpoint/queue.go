package endpoint

import (
	"slices"
	"time"
)

// Waiter is a queued run. ID is the channel for its reply, which identifies it.
type Waiter struct {
	ID    chan<- chooseReply
	Query Query
	// ExpiresAt is when the run is refused if no endpoint was free before.
	ExpiresAt time.Time
}

// Queue holds the runs that wait for an endpoint, the greatest priority first and then the oldest.
type Queue struct {
	// capacity is the maximum number of runs.
	capacity int
	waiters  []Waiter
}

// NewQueue makes a Queue for up to capacity runs.
func NewQueue(capacity int) *Queue { return &Queue{capacity: capacity} }

// Len returns the number of queued runs.
func (q *Queue) Len() int { return len(q.waiters) }

// Push adds w. If the queue is full, it returns the run that was dropped and true: the last one of a lower priority, or
// w itself. The Controller calls it for a run that finds no free endpoint.
func (q *Queue) Push(w Waiter) (refused Waiter, ok bool) {
	at := len(q.waiters)
	for at > 0 && q.waiters[at-1].Query.Priority < w.Query.Priority {
		at--
	}
	if len(q.waiters) >= q.capacity && at == len(q.waiters) {
		return w, true
	}
	q.waiters = slices.Insert(q.waiters, at, w)
	if len(q.waiters) <= q.capacity {
		return Waiter{}, false
	}
	last := len(q.waiters) - 1
	refused = q.waiters[last]
	q.waiters = q.waiters[:last]
	return refused, true
}

// Remove removes the run and reports whether it was queued.
func (q *Queue) Remove(id chan<- chooseReply) bool {
	before := len(q.waiters)
	q.waiters = slices.DeleteFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
	return len(q.waiters) < before
}

// Admit calls place for each run in order and removes those for which it returns true. The Controller calls it after
// each event that may free an endpoint.
func (q *Queue) Admit(place func(Waiter) bool) {
	q.waiters = slices.DeleteFunc(q.waiters, place)
}
