package pool

import (
	"context"
	"time"

	"cornelmux/internal/engine"
	"cornelmux/internal/task"
)

// Begin says that a run began to be answered: the head of the answer came.
type Begin struct {
	// Endpoint, Incarnation and Number are those of the Placement.
	Endpoint    string
	Incarnation int64
	Number      uint64
	// TTFB is the time to first byte.
	TTFB time.Duration
}

// waitingRun is a run whose answer hasn't begun.
type waitingRun struct {
	key  latencyKey
	work time.Duration
	run  engine.Run
}

// wait counts a run as waiting until its answer begins or it ends. work is the time that the engine needs for its prompt. Table.Choose
// calls it.
func (r *Record) wait(number uint64, w waitingRun) {
	r.waiting[number] = w
	r.waitingWork += w.work
}

// leave takes a run from those that wait; false if it had begun before. Began and Done call it.
func (r *Record) leave(number uint64) (waitingRun, bool) {
	w, ok := r.waiting[number]
	if ok {
		delete(r.waiting, number)
		r.waitingWork = max(r.waitingWork-w.work, 0)
	}
	return w, ok
}

// peerWork returns the time that the engine still needs for the prompts of the peers' runs that waited when they last reported: it has
// worked since.
func (r *Record) peerWork(now time.Time) time.Duration {
	var sum time.Duration
	var newest time.Time
	for _, v := range r.peerViews {
		if v.waitingWork > 0 && now.Sub(v.receivedAt) <= peerViewTTL {
			sum += v.waitingWork
			if v.receivedAt.After(newest) {
				newest = v.receivedAt
			}
		}
	}
	return max(sum-now.Sub(newest), 0)
}

type beganMessage struct{ begin Begin }

// Began implements filter.Pool: it records that the answer of a run began. The task of a send calls it once at most; a message that finds
// no room is lost, since Done tells the same later.
func (c *Controller) Began(_ context.Context, b Begin) error {
	return task.Tell(c.mailbox, message(beganMessage{b}))
}

func (m beganMessage) handle(_ context.Context, c *Controller) {
	c.table.Began(&m.begin, time.Now())
}
