package memory

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cornelmux/internal/task"
)

// Claim is the memory that one body holds. One goroutine at a time uses it.
type Claim struct {
	controller *Controller
	request    string
	patience   time.Duration
	held       int64
	large      bool
	waited     time.Duration
}

// Reserve waits until the body may hold n bytes in all, which is no less than before. It fails with ErrFull if it got no memory within
// the claim's patience, and with the cause of ctx if that ends before.
func (c *Claim) Reserve(ctx context.Context, n int64) error {
	if n <= max(c.held, FreeBytes) {
		return nil
	}
	large := n > SmallBytes
	more := n
	if large == c.large {
		more -= c.held
	}
	began := time.Now()
	granted, err := c.ask(ctx, large, more)
	c.waited += time.Since(began)
	switch {
	case ctx.Err() != nil && !granted:
		return context.Cause(ctx)
	case err != nil && !errors.Is(err, context.DeadlineExceeded):
		return fmt.Errorf("%w: %w", ErrFull, err)
	case !granted:
		return fmt.Errorf("%w: no %d bytes in %v", ErrFull, n, c.waited)
	}
	if large == c.large {
		c.held += more
		return nil
	}
	c.Release()
	c.held, c.large = n, large
	return nil
}

// ask asks for n bytes more, for the time of the claim's patience.
func (c *Claim) ask(ctx context.Context, large bool, n int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.patience)
	defer cancel()
	granted, err := task.AskOrLeave(ctx, c.controller.stopped, c.controller.mailbox, func(reply task.Reply[bool]) message {
		return takeMessage{question{large, n, reply}}
	})
	if !granted {
		c.controller.tell(leftMessage{c.request, large, n, c.patience})
	}
	return granted, err
}

// Shrink gives back what is held beyond n bytes. The body holds no more than that afterwards.
func (c *Claim) Shrink(n int64) {
	if n >= c.held {
		return
	}
	c.controller.tell(giveMessage{c.large, c.held - n})
	c.held = n
}

// Release gives back all that is held.
func (c *Claim) Release() { c.Shrink(0) }

// Waited returns how long the body waited for its memory in all.
func (c *Claim) Waited() time.Duration { return c.waited }
