package filter

import (
	"context"

	"cornelmux/pkg/catalog"
)

// Limits counts requests against the limits of client accounts.
type Limits interface {
	// Take fails with result.LimitReached if the limit is reached; the error says when to retry.
	Take(ctx context.Context, a catalog.ClientAccount) error
}

// Limit refuses requests over the client account's limit.
type Limit struct {
	Limits Limits
}

// Handle implements Filter.
func (f Limit) Handle(ctx context.Context, x *Exchange, next Next) error {
	if err := f.Limits.Take(ctx, x.Account); err != nil {
		return err
	}
	return next(ctx, x)
}
