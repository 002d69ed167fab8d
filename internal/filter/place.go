package filter

import (
	"cmp"
	"context"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
)

// Endpoints tracks where each version and service runs.
type Endpoints interface {
	// Choose places the request on an endpoint and counts it as in flight there until Done.
	Choose(ctx context.Context, q endpoint.Query) (endpoint.Endpoint, error)
	Done(ctx context.Context, o endpoint.Outcome) error
}

// Place places the attempt on an endpoint, and retries at another one if it failed and may be sent again.
type Place struct {
	Endpoints Endpoints
	// MaxAttempts is the maximum number of placements per level of a cascade, or per request without one.
	MaxAttempts int
}

// Handle implements Filter. If no endpoint is found for a retry, it returns the error of the attempt before.
func (f Place) Handle(ctx context.Context, x *Exchange, next Next) error {
	var last error
	var tried []string
	lost := 0
	for range f.MaxAttempts {
		e, err := f.Endpoints.Choose(ctx, placementQuery(x, tried))
		if err != nil {
			return correctNotRun(x, cmp.Or(last, err))
		}
		x.Attempt.Endpoint = e
		x.Relayed = x.Relayed && !x.Buffered
		last = next(ctx, x)
		o := endpointOutcome(x, last)
		_ = f.Endpoints.Done(ctx, o) // Done waits for room; if it fails even so, the run stays counted as in flight
		if o.ConnectionLost {
			lost++
		}
		if last == nil || lost >= maxLostEndpoints || !mayRetry(ctx, x, last) {
			break
		}
		tried = append(tried, e.ID)
	}
	return correctNotRun(x, last)
}

// maxLostEndpoints bounds how many endpoints may fail during one request after it was sent to them, since the request
// itself may crash them.
const maxLostEndpoints = 2

// endpointOutcome describes how the attempt ended, for the load and health of its endpoint.
func endpointOutcome(x *Exchange, err error) endpoint.Outcome {
	failed := isEndpointFailure(err)
	return endpoint.Outcome{
		Endpoint: x.Attempt.Endpoint.ID, Incarnation: x.Attempt.Endpoint.Incarnation,
		Failed: failed, ConnectionLost: failed && result.From(err).Run != result.NotRun, Fingerprints: Fingerprints(x),
	}
}

// correctNotRun changes the run state of err from "not run" to "unknown" if an earlier attempt was sent. Handle calls
// it at its end.
func correctNotRun(x *Exchange, err error) error {
	if err == nil || !x.Sent {
		return err
	}
	e := *result.From(err)
	if e.Run == result.NotRun {
		e.Run = result.Unknown
	}
	return &e
}

// affinityPrefixBytes is the length in bytes of the prompt prefix that requests must share to prefer the same endpoint.
const affinityPrefixBytes = 256

// placementQuery describes the attempt for placement; tried lists the endpoints to leave out. Handle calls it before
// each send.
func placementQuery(x *Exchange, tried []string) endpoint.Query {
	q := endpoint.Query{
		Priority: x.Account.Priority, CrossRegion: x.Account.CrossRegion, Exclude: tried, Deadline: x.Request.Deadline,
	}
	if x.Request.Kind == KindService {
		q.Service = x.Request.Service
		return q
	}
	q.Model, q.Version, q.Affinity = x.Attempt.Model, x.Attempt.Version, affinityKey(x)
	return q
}

// affinityKey identifies the cached prefix that the request may reuse: that of its session, or else that of prompts
// with the same beginning.
func affinityKey(x *Exchange) string {
	if x.Request.Session != "" && !x.Request.Transient {
		return x.Account.Name + " session " + x.Request.Session
	}
	return x.Account.Name + " prompt " + x.Request.Prompt[:min(len(x.Request.Prompt), affinityPrefixBytes)]
}

// isEndpointFailure reports whether err is a failure of the endpoint rather than a refusal or a deadline.
// endpointOutcome and mayRetry call it after each attempt.
func isEndpointFailure(err error) bool {
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

// mayRetry reports whether the attempt may be sent to another endpoint after err: the endpoint failed or refused, the
// caller has no chunk yet, and the request is idempotent or was not sent.
func mayRetry(ctx context.Context, x *Exchange, err error) bool {
	relayed := x.Relayed && !x.Buffered
	if ctx.Err() != nil || relayed || !(isEndpointFailure(err) || isRefusal(err)) {
		return false
	}
	return x.Idempotent || !x.Sent
}
