package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/task"
	"cornelmux/pkg/routing"
)

// oneTable implements Routes with a table that doesn't change.
type oneTable struct{ table *routing.Table }

func (r oneTable) Current(context.Context) (*routing.Table, error) { return r.table, nil }

// noBody implements Body without a byte.
type noBody struct{}

func (noBody) Read(context.Context, int64, Claim) ([]byte, error) { return nil, nil }

// refusingSender is a Sender whose endpoints refuse each request after a time.
type refusingSender struct {
	after time.Duration
	to    []string
}

func (s *refusingSender) Open(ctx context.Context, e endpoint.Endpoint, _ endpoint.Call, check endpoint.SendCheck) (endpoint.Stream, error) {
	if err := check(); err != nil {
		return nil, err
	}
	s.to = append(s.to, e.ID)
	if !task.Sleep(ctx, s.after) {
		return nil, endpoint.ErrBroken
	}
	return nil, &endpoint.RefusedError{Status: 503}
}

// TestRequestWhoseCallerLeftReachesNoFurtherEndpoint lets endpoints refuse a request after its caller has left.
func TestRequestWhoseCallerLeftReachesNoFurtherEndpoint(t *testing.T) {
	const left, refused = 500 * time.Millisecond, 2 * time.Second
	tests := []struct {
		name      string
		kind      routing.Kind
		resumable bool
	}{
		{"idempotent", routing.KindIdempotent, false},
		{"non-idempotent", routing.KindNonIdempotent, false},
		{"stream that may be resumed", routing.KindStream, true},
		{"stream that may not be resumed", routing.KindStream, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, f := requestOfRoute(test.kind, test.resumable)
				ctx, cancel := context.WithTimeout(t.Context(), left)
				defer cancel()
				sender := &refusingSender{after: refused}
				_ = Chain(f, Forward{&fakePool{}, noShift{}, sender, noQuarantine{}, nil, nil})(ctx, x)
				qt.Check(t, sender.to, qt.DeepEquals, []string{"e1"})
			})
		})
	}
}

// TestRunEndsSoonAfterItsCallerLeft lets the caller leave while the endpoint is silent. Only a run that can't be repeated goes
// on.
func TestRunEndsSoonAfterItsCallerLeft(t *testing.T) {
	const left, silent = 500 * time.Millisecond, 5 * time.Second
	tests := []struct {
		name      string
		kind      routing.Kind
		resumable bool
		took      time.Duration
	}{
		{"idempotent", routing.KindIdempotent, false, left},
		{"non-idempotent", routing.KindNonIdempotent, false, silent},
		{"stream that may be resumed", routing.KindStream, true, left},
		{"stream that may not be resumed", routing.KindStream, false, left},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, f := requestOfRoute(test.kind, test.resumable)
				x.Routed.Table.Routes[0].Objective = time.Minute
				ctx, cancel := context.WithTimeout(t.Context(), left)
				defer cancel()
				sender := &pausingSender{script: []pausingSend{{silent, []time.Duration{0}, []endpoint.Chunk{last("x")}}}}
				_ = Chain(f, Forward{&fakePool{}, noShift{}, sender, noQuarantine{}, nil, nil})(ctx, x)
				qt.Check(t, time.Since(x.Arrived), qt.Equals, test.took)
			})
		})
	}
}

// requestOfRoute returns a request with a deadline on a route of the kind, and the filter that finds the route.
func requestOfRoute(kind routing.Kind, resumable bool) (*Exchange, Route) {
	x, _ := routedExchange(kind)
	loaded := make(chan struct{})
	close(loaded)
	route := *x.Routed.Route
	route.PathPrefix, route.Resumable, route.Targets = "/", resumable, []routing.Target{{Service: "s", Weight: 1}}
	table := (&routing.Table{Routes: []routing.Route{route}}).Index()
	x.Request.Path, x.Routed.Body, x.Routed.CallerTimeout = "/", noBody{}, time.Minute
	x.Routed.Table = table
	return x, Route{Routes: oneTable{table}, Loaded: loaded, Rand: func() float64 { return 0 }}
}
