package filter

import (
	"context"

	"cornelmux/internal/drain"
	"cornelmux/pkg/result"
)

// Authenticate finds the client account by the bearer key and decodes the request.
type Authenticate struct {
	Configurations Configurations
}

// Handle implements Filter. The rest of the chain runs with the deadline of the request, if it has one.
func (f Authenticate) Handle(ctx context.Context, x *Exchange, next Next) error {
	s, err := f.Configurations.Current(ctx)
	if err != nil {
		return result.Errorf(result.NotReady, "read the configuration: %v", err)
	}
	if s.Revision == 0 {
		return result.Errorf(result.NotReady, "no configuration has been loaded yet")
	}
	if x.Credential == "" {
		return result.Errorf(result.BadKey, "the request has no bearer key")
	}
	a, ok := s.AccountByKey(x.Credential)
	if !ok {
		return result.Errorf(result.BadKey, "no client account has this key")
	}
	r, err := x.Decoder.Decode(a)
	if err != nil {
		return err
	}
	x.Snapshot, x.Account, x.Request = s, a, r
	x.Flight.progress(x, drain.StagePlacing)
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	return next(ctx, x)
}
