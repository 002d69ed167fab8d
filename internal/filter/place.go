package filter

import (
	"context"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
)

// Endpoints knows where a version or service runs.
type Endpoints interface {
	// Choose picks an endpoint and counts the request as in flight there until Done.
	Choose(ctx context.Context, q endpoint.Query) (endpoint.Endpoint, error)
	Done(ctx context.Context, o endpoint.Outcome) error
}

// Place picks an endpoint for the attempt, and another one where the first fails before it did anything that counts.
type Place struct {
	Endpoints Endpoints
	// MaxAttempts bounds the sends of one run.
	MaxAttempts int
}

// Handle implements Filter.
func (f Place) Handle(ctx context.Context, x *Exchange, next Next) error {
	var last error
	var tried []string
	for range f.MaxAttempts {
		e, err := f.Endpoints.Choose(ctx, query(x, tried))
		if err != nil {
			return firstError(last, err)
		}
		x.Attempt.Endpoint = e
		x.Relayed = x.Relayed && !x.Held
		last = next(ctx, x)
		_ = f.Endpoints.Done(ctx, endpoint.Outcome{Endpoint: e.ID, Failed: blamesEndpoint(last)}) // load figures age out
		if last == nil || !mayRetry(ctx, x, last) {
			return last
		}
		tried = append(tried, e.ID)
	}
	return last
}

func query(x *Exchange, tried []string) endpoint.Query {
	q := endpoint.Query{
		Model: x.Attempt.Model, Version: x.Attempt.Version,
		Affinity: x.Request.Session, CrossRegion: x.Account.CrossRegion, Exclude: tried,
	}
	if x.Request.Kind == KindService {
		q = endpoint.Query{Service: x.Request.Service, CrossRegion: x.Account.CrossRegion, Exclude: tried}
	}
	return q
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func blamesEndpoint(err error) bool {
	if err == nil {
		return false
	}
	switch result.From(err).Code {
	case result.EndpointFailed, result.AnswerBroken:
		return true
	default:
		return false
	}
}

// mayRetry allows another endpoint where nothing was sent, or the request is idempotent and the caller has no piece yet.
func mayRetry(ctx context.Context, x *Exchange, err error) bool {
	if ctx.Err() != nil || (x.Relayed && !x.Held) || !blamesEndpoint(err) {
		return false
	}
	return x.Idempotent || !x.Sent
}
