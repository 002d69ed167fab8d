// Package task runs goroutines that own their state and exchange messages through mailboxes.
package task

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrFull reports that a mailbox was full, so that the message was not accepted.
var ErrFull = errors.New("mailbox is full")

// End reports that a task ended, with its name and the error that it returned.
type End struct {
	Name string
	Err  error
}

// Start runs f in a goroutine and sends its End on ends. The owner of ends must receive one End for each task that it
// started.
func Start(ctx context.Context, name string, ends chan<- End, f func(context.Context) error) {
	go func() { ends <- End{Name: name, Err: f(ctx)} }()
}

// Tell puts m into the mailbox without waiting, or fails with ErrFull; the message is dropped then.
func Tell[M any](mailbox chan<- M, m M) error {
	select {
	case mailbox <- m:
		return nil
	default:
		return ErrFull
	}
}

// TellUntil puts m into the mailbox, and waits for room until ctx ends.
func TellUntil[M any](ctx context.Context, mailbox chan<- M, m M) error {
	select {
	case mailbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TellWithin puts m into the mailbox, and waits at most limit for room, also if ctx has ended. It is for messages whose loss
// would leave the receiver with wrong state for good. If there is no room by then, it fails with ErrFull.
func TellWithin[M any](ctx context.Context, mailbox chan<- M, m M, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	if TellUntil(ctx, mailbox, m) != nil {
		return ErrFull
	}
	return nil
}

// Named is a task with its name, for StartAll.
type Named struct {
	Name string
	Run  func(context.Context) error
}

// StartAll starts the tasks and returns the channel that receives their ends; it has room for all of them.
func StartAll(ctx context.Context, tasks []Named) chan End {
	ends := make(chan End, len(tasks))
	for _, t := range tasks {
		Start(ctx, t.Name, ends, t.Run)
	}
	return ends
}

// Ask puts the message that build makes with a reply channel into the mailbox, or fails with ErrFull, and waits for the
// reply until ctx ends. The channel has room for the reply, so that the receiver never blocks. If ctx ends first, the
// message is still handled and its reply is dropped.
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

// Stop cancels n tasks, receives their ends and returns the first error other than context.Canceled. A task that
// started others calls it before it ends.
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

// Sleep waits for d and returns true, or false if ctx ends first.
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
