package filter

import (
	"context"
	"errors"
	"time"

	"cornelmux/internal/drain"
	"cornelmux/internal/memory"
	"cornelmux/pkg/result"
)

const (
	// defaultBodyLimit is the limit of a body in bytes if the route table sets none.
	defaultBodyLimit = 4 << 20
	// idempotentMemoryTimeout and memoryTimeout are how long a body waits at most for its memory. Callers of idempotent requests leave soon if
	// their bodies aren't read.
	idempotentMemoryTimeout = 700 * time.Millisecond
	memoryTimeout           = 3 * time.Second
	// idempotentMemoryTimeoutShare and memoryTimeoutShare bound the same by a share of the time left, 0 to 1.
	idempotentMemoryTimeoutShare = 0.25
	memoryTimeoutShare           = 0.34
	// memoryRetryAfter is the Retry-After of requests whose bodies got no memory.
	memoryRetryAfter = time.Second
)

// Body is the body of a request that the front end has not read yet.
type Body interface {
	// Read returns the whole body, or memory.ErrTooLong if it exceeds limit bytes. If ctx ends before the body, it returns the cause.
	// Before it holds any bytes it reserves them. After an error it releases the claim, once it doesn't hold them any more.
	Read(ctx context.Context, limit int64, claim Claim) ([]byte, error)
}

// Claim is the memory that a body holds.
type Claim interface {
	// Reserve waits until the body may hold n bytes in all. It fails with memory.ErrFull, or with the cause of ctx.
	Reserve(ctx context.Context, n int64) error
	// Shrink gives back what is beyond n bytes, Release all.
	Shrink(n int64)
	Release()
	// Linger takes the room for a refused body that is read and dropped, and reports whether there is any.
	Linger(ctx context.Context) bool
}

// Memory accounts for the bytes that bodies hold.
type Memory interface {
	// BodyClaim returns the claim of the request's body, each wait of which is bounded by timeout.
	BodyClaim(request string, timeout time.Duration) *memory.Claim
}

// ReadBody reads the body of a request that a route table decides on, up to the table's limit, into memory that it reserves. A body
// that hasn't ended shortly before the request's deadline is given up, so that the error reaches the caller.
type ReadBody struct {
	Memory Memory
}

// Handle implements Filter.
func (f ReadBody) Handle(ctx context.Context, x *Exchange, next Next) error {
	limit := x.Routed.Table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	claim := f.Memory.BodyClaim(x.Request.ID, bodyMemoryTimeout(x, time.Now()))
	body, err := readBody(ctx, x, limit, claim)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return result.Errorf(result.DeadlinePassed, "the body hasn't ended by the deadline")
	case errors.Is(err, memory.ErrFull):
		x.Routed.MemoryWait = claim.Waited()
		return result.Errorf(result.QueueFull, "read the body: %v", err).WithRetryAfter(memoryRetryAfter)
	case errors.Is(err, memory.ErrTooLong):
		return result.Errorf(result.TooLarge, "the body exceeds %d bytes", limit)
	case err != nil:
		return result.Errorf(result.BadRequest, "read the body: %v", err)
	}
	defer claim.Release()
	x.Request.Body = body
	x.Routed.MemoryWait = claim.Waited()
	x.Flight.progress(x, drain.StagePlacing)
	return next(ctx, x)
}

// bodyMemoryTimeout returns how long the request's body waits at most for its memory. Handle calls it once.
func bodyMemoryTimeout(x *Exchange, now time.Time) time.Duration {
	most, share := memoryTimeout, memoryTimeoutShare
	if x.Idempotent {
		most, share = idempotentMemoryTimeout, idempotentMemoryTimeoutShare
	}
	if x.Request.Deadline.IsZero() {
		return most
	}
	return min(most, time.Duration(share*float64(x.Request.Deadline.Sub(now))))
}

// readBody reads the body until answerMargin before the request's deadline. Handle calls it.
func readBody(ctx context.Context, x *Exchange, limit int64, claim Claim) ([]byte, error) {
	if end := x.Request.Deadline; !end.IsZero() {
		margin := min(answerMargin, time.Duration(maxAnswerMarginShare*float64(end.Sub(x.Arrived))))
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(-margin))
		defer cancel()
	}
	return x.Routed.Body.Read(ctx, limit, claim)
}
