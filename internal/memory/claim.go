package memory

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cornelmux/internal/task"
)

// Claim is the memory that one body or answer holds. One goroutine at a time uses it.
type Claim struct {
	controller *Controller
	request    string
	timeout    time.Duration
	// small and large are the kinds of its pools, kind is that of the pool that it holds bytes of.
	small, large, kind kind
	held               int64
	waited             time.Duration
}

// Reserve waits until n bytes in all may be held, which is no less than before. It fails with ErrFull if there was no memory within
// the claim's timeout, and with the cause of ctx if that ends before.
func (c *Claim) Reserve(ctx context.Context, n int64) error {
	if n <= max(c.held, FreeBytes) {
		return nil
	}
	kind := c.small
	if n > SmallBytes {
		kind = c.large
	}
	more := n
	if kind == c.kind {
		more -= c.held
	}
	began := time.Now()
	granted, err := c.ask(ctx, kind, more)
	c.waited += time.Since(began)
	switch {
	case ctx.Err() != nil && !granted:
		return context.Cause(ctx)
	case err != nil && !errors.Is(err, context.DeadlineExceeded):
		return fmt.Errorf("%w: %w", ErrFull, err)
	case !granted:
		return fmt.Errorf("%w: no %d bytes in %v", ErrFull, n, c.waited)
	}
	if kind != c.kind {
		c.Release()
	}
	c.held, c.kind = n, kind
	return nil
}

// ask asks for n bytes more, for the time of the claim's timeout.
func (c *Claim) ask(ctx context.Context, kind kind, n int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	granted, err := task.AskOrLeave(ctx, c.controller.stopped, c.controller.mailbox, func(reply task.Reply[bool]) message {
		return takeMessage{question{kind, n, reply}}
	})
	if !granted {
		c.controller.tell(leftMessage{c.request, kind, n, c.timeout})
	}
	return granted, err
}

// Linger takes the room for a refused body that is read and dropped, so that its caller gets the answer, and reports whether there is
// any. The claim holds nothing before.
func (c *Claim) Linger(ctx context.Context) bool {
	granted, err := task.AskOrLeave(ctx, c.controller.stopped, c.controller.mailbox, func(reply task.Reply[bool]) message {
		return tryMessage{question{refusedBodies, SocketBytes, reply}}
	})
	if !granted || err != nil {
		return false
	}
	c.held, c.kind = SocketBytes, refusedBodies
	return true
}

// Shrink gives back what is held beyond n bytes. No more than that is held afterwards.
func (c *Claim) Shrink(n int64) {
	if n >= c.held {
		return
	}
	c.controller.tell(giveMessage{c.kind, c.held - n})
	c.held = n
}

// Release gives back all that is held.
func (c *Claim) Release() { c.Shrink(0) }

// Held returns the bytes held.
func (c *Claim) Held() int64 { return c.held }

// Waited returns how long it took to get the memory in all.
func (c *Claim) Waited() time.Duration { return c.waited }
