package filter

import (
	"context"
	"errors"
	"time"

	"cornelmux/internal/pool"
	"cornelmux/internal/task"
)

// replaceInterval is the time between two tries to place a silent send elsewhere.
const replaceInterval = 150 * time.Millisecond

// errSilence is the cause of the cancellation by the silence watch.
var errSilence = errors.New("silence timeout of the endpoint")

// silenceWatch is a task that watches one send. Once the send has been silent for too long, it reserves a placement at another
// endpoint and only then cancels the send. While none can be had, the send goes on, since its endpoint may do so too.
type silenceWatch struct {
	placer
	query pool.Query
	// first is the silence timeout until the first progress, gap the one between two.
	first, gap time.Duration
	// latest is when the last replacement may be sent; zero means no limit.
	latest time.Time
	cancel context.CancelCauseFunc
	// progress holds the newest signal.
	progress chan progress
	ends     chan task.End

	// What follows is read by the owner after the watch has ended: the reservation, or nil, the number of tries that found no
	// placement, and the error of the last.
	reserved *Reservation
	refused  int
	err      error
}

// progress says what a send does since its answer came on.
type progress int

const (
	// progressPassingOn means that the caller takes what came, which is no silence of the endpoint.
	progressPassingOn progress = iota + 1
	// progressWaiting means that the send waits for more.
	progressWaiting
)

// signal tells the watch of progress of the send, in place of a signal that it hasn't read yet. Only the owner of the watch
// calls it; w may be nil.
func (w *silenceWatch) signal(p progress) {
	if w == nil {
		return
	}
	select {
	case <-w.progress:
	default: // the watch has read the last one
	}
	w.progress <- p
}

// run watches until it has cancelled the send or ctx, the send's context, ends. It's the task of a watch.
func (w *silenceWatch) run(ctx context.Context) error {
	timer := time.NewTimer(w.first)
	defer timer.Stop()
	for {
		select {
		case p := <-w.progress:
			timer.Stop()
			if p == progressWaiting {
				timer.Reset(w.gap)
			}
		case <-timer.C:
			if w.tooLate() {
				return nil
			}
			if w.replace(ctx) {
				w.cancel(errSilence)
				return nil
			}
			timer.Reset(replaceInterval)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tooLate reports whether latest has passed.
func (w *silenceWatch) tooLate() bool { return !w.latest.IsZero() && time.Now().After(w.latest) }

// replace tries to reserve a placement for the silent send and reports whether the send is to be cancelled for it. run calls it
// when the timer fires.
func (w *silenceWatch) replace(ctx context.Context) bool {
	if len(w.progress) > 0 {
		return false
	}
	r, err := w.reserve(ctx, w.query)
	if err != nil {
		w.refused++
		w.err = err
		return false
	}
	if len(w.progress) > 0 || ctx.Err() != nil || w.tooLate() {
		w.release(ctx, r)
		return false
	}
	w.reserved = r
	return true
}

// stop ends the watch, whose context the caller has cancelled, and returns what it reserved. w may be nil.
func (w *silenceWatch) stop() *Reservation {
	if w == nil {
		return nil
	}
	<-w.ends
	return w.reserved
}
