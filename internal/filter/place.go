package filter

import (
	"cmp"
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
	lost := 0
	for range f.MaxAttempts {
		e, err := f.Endpoints.Choose(ctx, query(x, tried))
		if err != nil {
			return truthful(x, cmp.Or(last, err))
		}
		x.Attempt.Endpoint = e
		x.Relayed = x.Relayed && !x.Held
		last = next(ctx, x)
		o := outcome(x, last)
		_ = f.Endpoints.Done(ctx, o) // load figures age out
		if o.ConnectionLost {
			lost++
		}
		if last == nil || lost >= maxLost || !mayRetry(ctx, x, last) {
			break
		}
		tried = append(tried, e.ID)
	}
	return truthful(x, last)
}

// maxLost bounds the endpoints that one request may lose a connection on, since it may be what crashes them.
const maxLost = 2

func outcome(x *Exchange, err error) endpoint.Outcome {
	failed := blamesEndpoint(err)
	return endpoint.Outcome{
		Endpoint: x.Attempt.Endpoint.ID, Incarnation: x.Attempt.Endpoint.Incarnation,
		Failed: failed, ConnectionLost: failed && result.From(err).Run != result.NotRun, Fingerprint: Fingerprint(x),
	}
}

// truthful keeps a refusal from saying that the request didn't run where an earlier attempt may have.
func truthful(x *Exchange, err error) error {
	if err == nil || !x.Sent {
		return err
	}
	e := *result.From(err)
	if e.Run == result.NotRun {
		e.Run = result.Unknown
	}
	return &e
}

// prefixBytes is how much of a prompt tells which endpoint may have its prefix cached.
const prefixBytes = 256

func query(x *Exchange, tried []string) endpoint.Query {
	q := endpoint.Query{
		Priority: x.Account.Priority, CrossRegion: x.Account.CrossRegion, Exclude: tried, Deadline: x.Request.Deadline,
	}
	if x.Request.Kind == KindService {
		q.Service = x.Request.Service
		return q
	}
	q.Model, q.Version, q.Affinity = x.Attempt.Model, x.Attempt.Version, affinity(x)
	return q
}

// affinity names the cached prefix that helps the request: its session's, or that of the prompts which begin alike.
func affinity(x *Exchange) string {
	if x.Request.Session != "" && !x.Request.Transient {
		return x.Account.Name + " session " + x.Request.Session
	}
	return x.Account.Name + " prompt " + x.Request.Prompt[:min(len(x.Request.Prompt), prefixBytes)]
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
	relayed := x.Relayed && !x.Held
	if ctx.Err() != nil || relayed || !(blamesEndpoint(err) || neverRan(err)) {
		return false
	}
	return x.Idempotent || !x.Sent
}
