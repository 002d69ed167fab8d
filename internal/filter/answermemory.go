package filter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/memory"
)

// answerMemoryTimeout bounds each wait of an answer for memory.
const answerMemoryTimeout = 2 * time.Second

// AnswerMemory accounts for the bytes that answers hold.
type AnswerMemory interface {
	// AnswerClaim returns the claim of an answer to the request, each wait of which is bounded by timeout.
	AnswerClaim(request string, timeout time.Duration) *memory.Claim
}

// answerClaim is the memory that the answer to one send holds. It implements endpoint.Memory for the task of the send; after that has
// ended, the owner of the request uses it. A nil one counts nothing.
type answerClaim struct {
	claim *memory.Claim
	// waits holds an element while the task asks for memory. Its endpoint isn't silent then.
	waits chan struct{}
}

// newAnswerClaim returns a claim that holds nothing yet; nil without an account.
func newAnswerClaim(m AnswerMemory, request string) *answerClaim {
	if m == nil {
		return nil
	}
	return &answerClaim{m.AnswerClaim(request, answerMemoryTimeout), make(chan struct{}, 1)}
}

// Reserve implements endpoint.Memory.
func (c *answerClaim) Reserve(ctx context.Context, n int64) error {
	if c == nil {
		return nil
	}
	c.waits <- struct{}{}
	defer func() { <-c.waits }()
	err := c.claim.Reserve(ctx, n)
	if errors.Is(err, memory.ErrFull) {
		return fmt.Errorf("%w: %w", endpoint.ErrNoMemory, err)
	}
	return err
}

// waiting reports whether the task asks for memory at present.
func (c *answerClaim) waiting() bool { return c != nil && len(c.waits) > 0 }

// holds reports whether memory is held.
func (c *answerClaim) holds() bool { return c != nil && c.claim.Held() > 0 }

// release gives back all that is held.
func (c *answerClaim) release() {
	if c != nil {
		c.claim.Release()
	}
}
