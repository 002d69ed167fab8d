package filter

import (
	"context"
	"errors"

	"cornelmux/internal/drain"
	"cornelmux/pkg/result"
)

// defaultBodyLimit is the limit of a body in bytes if the route table sets none.
const defaultBodyLimit = 4 << 20

// ErrBodyTooLarge reports a body over the limit.
var ErrBodyTooLarge = errors.New("the body exceeds the limit")

// Body is the body of a request that the front end has not read yet.
type Body interface {
	// Read returns the whole body, or ErrBodyTooLarge if it exceeds limit bytes.
	Read(limit int64) ([]byte, error)
}

// ReadBody reads the body of a request that a route table decides on, up to the table's limit.
type ReadBody struct{}

// Handle implements Filter.
func (ReadBody) Handle(ctx context.Context, x *Exchange, next Next) error {
	limit := x.Routed.Table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := x.Routed.Body.Read(limit)
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return result.Errorf(result.TooLarge, "the body exceeds %d bytes", limit)
	case err != nil:
		return result.Errorf(result.BadRequest, "read the body: %v", err)
	}
	x.Request.Body = body
	x.Flight.progress(drain.StagePlacing, 0)
	return next(ctx, x)
}
