package filter

import (
	"context"
	"fmt"
	"time"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/shift"
)

// Reservation is a placement for a send that has not begun; the pool counts it as in flight until Done.
type Reservation struct {
	Placement pool.Placement
	Binding   shift.Binding
	// Query is that of the placement.
	Query pool.Query
	// AskedAt is when it was asked for, Took how long it took to get it.
	AskedAt time.Time
	Took    time.Duration
}

// placer reserves placements for the sends of one request.
type placer struct {
	Pool    Pool
	Shifts  Shifts
	session string
	homes   homeKeeper
}

// reserve binds the session to a version and places the run. A filter calls it before it sends, and before it gives up a send
// or an answer for another one.
func (p placer) reserve(ctx context.Context, q pool.Query) (*Reservation, error) {
	asked := time.Now()
	homes, err := p.homes.narrow(ctx, q.Homes)
	if err != nil {
		return nil, err
	}
	q.Homes = homes
	binding, err := p.Shifts.Bind(ctx, q.Service, p.session)
	if err != nil {
		return nil, ownerError("bind the session to a version", err)
	}
	q.Version, q.ExcludedVersions = binding.Version, binding.ExcludedVersions
	place, err := p.Pool.Choose(ctx, q)
	if err != nil {
		return nil, err
	}
	return &Reservation{Placement: place, Binding: binding, Query: q, AskedAt: asked, Took: time.Since(asked)}, nil
}

// errOutdated ends a send whose endpoint may no longer get it: nothing was sent, and the endpoint isn't to blame.
var errOutdated = fmt.Errorf("%w: the placement is out of date", endpoint.ErrNotSent)

// confirm checks immediately before a send that its endpoint may still get it, if its placement has aged. It fails with errOutdated if
// the endpoint may not. The task of the send calls it.
func (p placer) confirm(ctx context.Context, r *Reservation) error {
	if time.Since(r.AskedAt) < freshFor {
		return nil
	}
	q := r.Query
	homes, err := p.homes.narrow(ctx, q.Homes)
	if err != nil {
		return err
	}
	q.Homes = homes
	ok, err := p.Pool.Confirm(ctx, q, r.Placement.ID)
	if err != nil {
		return err
	}
	if !ok {
		return errOutdated
	}
	return nil
}

// reserveNext reserves a placement for which the request waits, and notes how long, also if it gets none.
func (f *forwardRun) reserveNext(ctx context.Context, q pool.Query) (*Reservation, error) {
	asked := time.Now()
	r, err := f.reserve(ctx, q)
	f.x.Routed.Placing += time.Since(asked)
	return r, err
}

// release gives a retry's reservation back that no send used; nil is none.
func (p placer) release(ctx context.Context, r *Reservation) {
	if r == nil {
		return
	}
	o := pool.Outcome{
		Endpoint: r.Placement.ID, Incarnation: r.Placement.Incarnation, End: pool.EndUnused, Service: r.Query.Service,
		Model: r.Query.Model, Weight: r.Query.Weight, SendBy: r.Placement.SendBy,
	}
	_ = p.Pool.Done(ctx, o) // Done waits for room; if it fails even so, the run stays counted as in flight
}
