package endpoint

import (
	"slices"
	"time"
)

// Waiter is a run that waits for an endpoint. ID names it.
type Waiter struct {
	ID    chan<- chooseReply
	Query Query
	Until time.Time
}

// Queue holds waiting runs, the highest priority first and within it the oldest first.
type Queue struct {
	limit   int
	waiters []Waiter
}

// NewQueue makes a Queue that holds up to limit runs.
func NewQueue(limit int) *Queue { return &Queue{limit: limit} }

// Len returns how many runs wait.
func (q *Queue) Len() int { return len(q.waiters) }

// Push adds w. Where the queue is full, the last of a lower priority gives way and is returned, or w itself.
func (q *Queue) Push(w Waiter) (refused Waiter, ok bool) {
	at := len(q.waiters)
	for at > 0 && q.waiters[at-1].Query.Priority < w.Query.Priority {
		at--
	}
	if len(q.waiters) >= q.limit && at == len(q.waiters) {
		return w, true
	}
	q.waiters = slices.Insert(q.waiters, at, w)
	if len(q.waiters) <= q.limit {
		return Waiter{}, false
	}
	last := len(q.waiters) - 1
	refused = q.waiters[last]
	q.waiters = q.waiters[:last]
	return refused, true
}

// Remove drops the named waiter and reports whether it was there.
func (q *Queue) Remove(id chan<- chooseReply) bool {
	before := len(q.waiters)
	q.waiters = slices.DeleteFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
	return len(q.waiters) < before
}

// Sweep offers each waiter in order to admit, and drops those that it takes.
func (q *Queue) Sweep(admit func(Waiter) bool) {
	q.waiters = slices.DeleteFunc(q.waiters, admit)
}
