package filter

import (
	"context"
	"errors"
	"time"

	"cornelmux/internal/task"
	"cornelmux/pkg/result"
)

// ownerTimeout is how long a request waits at most for the reply of an owner of state while its deadline isn't known.
const ownerTimeout = time.Second

// ownerContext returns ctx for a question to an owner of state. It ends early enough before the caller's timeout that the refusal still
// reaches the caller, and after ownerTimeout if nothing else bounds it.
func ownerContext(ctx context.Context, x *Exchange) (context.Context, context.CancelFunc) {
	if timeout := x.Routed.CallerTimeout; timeout > 0 {
		margin := min(answerMargin, time.Duration(maxAnswerMarginShare*float64(timeout)))
		return context.WithDeadline(ctx, x.Arrived.Add(timeout-margin))
	}
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, ownerTimeout)
}

// ownerError returns the error of a request whose question, which what names, got no reply: its mailbox was full, or the time was over.
func ownerError(what string, err error) error {
	if errors.Is(err, task.ErrFull) {
		return result.Errorf(result.QueueFull, "%s: %v", what, err).WithRetryAfter(retryAfter)
	}
	return result.Errorf(result.DeadlinePassed, "%s: %v", what, err)
}
