package filter

import (
	"context"
	"errors"
	"time"

	"cornelmux/internal/drain"
	"cornelmux/pkg/result"
)

// defaultBodyLimit is the limit of a body in bytes if the route table sets none.
const defaultBodyLimit = 4 << 20

// ErrBodyTooLarge reports a body over the limit.
var ErrBodyTooLarge = errors.New("the body exceeds the limit")

// Body is the body of a request that the front end has not read yet.
type Body interface {
	// Read returns the whole body, or ErrBodyTooLarge if it exceeds limit bytes. If ctx ends before the body, it returns the cause.
	Read(ctx context.Context, limit int64) ([]byte, error)
}

// ReadBody reads the body of a request that a route table decides on, up to the table's limit. A body that hasn't ended shortly
// before the request's deadline is given up, so that the error reaches the caller.
type ReadBody struct{}

// Handle implements Filter.
func (ReadBody) Handle(ctx context.Context, x *Exchange, next Next) error {
	limit := x.Routed.Table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := readBody(ctx, x, limit)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return result.Errorf(result.DeadlinePassed, "the body hasn't ended by the deadline")
	case errors.Is(err, ErrBodyTooLarge):
		return result.Errorf(result.TooLarge, "the body exceeds %d bytes", limit)
	case err != nil:
		return result.Errorf(result.BadRequest, "read the body: %v", err)
	}
	x.Request.Body = body
	x.Flight.progress(x, drain.StagePlacing)
	return next(ctx, x)
}

// readBody reads the body until answerMargin before the request's deadline. Handle calls it.
func readBody(ctx context.Context, x *Exchange, limit int64) ([]byte, error) {
	if end := x.Request.Deadline; !end.IsZero() {
		margin := min(answerMargin, time.Duration(maxAnswerMarginShare*float64(end.Sub(x.Arrived))))
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(-margin))
		defer cancel()
	}
	return x.Routed.Body.Read(ctx, limit)
}
