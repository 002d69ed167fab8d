// Package task runs goroutines that own their state and exchange messages.
package task

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrFull reports that a bounded mailbox had no room, so that the message was not accepted.
var ErrFull = errors.New("mailbox is full")

// End reports that the task called Name ended, with the error that ended it or nil.
type End struct {
	Name string
	Err  error
}

// Start runs f in a goroutine and reports its end on ends.
// The owner of ends has to read one End for each task it started.
func Start(ctx context.Context, name string, ends chan<- End, f func(context.Context) error) {
	go func() { ends <- End{Name: name, Err: f(ctx)} }()
}

// Tell puts m into the mailbox without waiting.
func Tell[M any](mailbox chan<- M, m M) error {
	select {
	case mailbox <- m:
		return nil
	default:
		return ErrFull
	}
}

// TellUntil waits for room in the mailbox until ctx ends.
func TellUntil[M any](ctx context.Context, mailbox chan<- M, m M) error {
	select {
	case mailbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TellWithin waits at most limit for room in the mailbox, also where ctx has ended: for messages whose loss would leave a
// wrong belief for good.
func TellWithin[M any](ctx context.Context, mailbox chan<- M, m M, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	if TellUntil(ctx, mailbox, m) != nil {
		return ErrFull
	}
	return nil
}

// Named is a task that an owner starts with others.
type Named struct {
	Name string
	Run  func(context.Context) error
}

// StartAll starts the tasks and returns the channel that their ends come on, with room for all of them.
func StartAll(ctx context.Context, tasks []Named) chan End {
	ends := make(chan End, len(tasks))
	for _, t := range tasks {
		Start(ctx, t.Name, ends, t.Run)
	}
	return ends
}

// Ask puts the message that build makes around a reply channel into the mailbox, and waits for the reply.
// The reply channel has room for one value, so that the receiver never waits.
func Ask[M, R any](ctx context.Context, mailbox chan<- M, build func(chan<- R) M) (R, error) {
	var zero R
	reply := make(chan R, 1)
	if err := Tell(mailbox, build(reply)); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Stop cancels n tasks, reads their ends and returns the first error that isn't the cancellation.
func Stop(cancel context.CancelFunc, ends <-chan End, n int) error {
	cancel()
	var first error
	for range n {
		end := <-ends
		if end.Err != nil && !errors.Is(end.Err, context.Canceled) && first == nil {
			first = fmt.Errorf("task %s: %w", end.Name, end.Err)
		}
	}
	return first
}

// Sleep waits for d and reports true, or false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
