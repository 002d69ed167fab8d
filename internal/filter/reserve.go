package filter

import (
	"context"
	"fmt"
	"slices"
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
// or an answer for another one. A run that waited for room is placed anew if it may no longer get the endpoint, because its version was
// rolled back or its homes are fewer.
func (p placer) reserve(ctx context.Context, q pool.Query) (*Reservation, error) {
	asked := time.Now()
	binding, err := p.limit(ctx, &q)
	for err == nil {
		place, failure := p.Pool.Choose(ctx, q)
		if failure != nil {
			return nil, failure
		}
		r := &Reservation{Placement: place, Binding: binding, Query: q, AskedAt: asked, Took: time.Since(asked)}
		if place.Waited == 0 {
			return r, nil
		}
		if binding, err = p.limit(ctx, &q); err == nil && allows(binding, place.Version) && q.Homes.Has(place.Region) {
			r.Binding, r.Query = binding, q
			return r, nil
		}
		p.release(ctx, r)
		q.Again = true // it keeps its place before those that came later
	}
	return nil, err
}

// limit sets the homes and versions of a run by the newest configuration, and returns the binding of its session.
func (p placer) limit(ctx context.Context, q *pool.Query) (shift.Binding, error) {
	homes, err := p.homes.narrow(ctx, q.Homes)
	if err != nil {
		return shift.Binding{}, err
	}
	binding, err := p.bind(ctx, q.Service)
	q.Homes, q.Version, q.ExcludedVersions = homes, binding.Version, binding.ExcludedVersions
	return binding, err
}

// bind returns the versions that the session may get now.
func (p placer) bind(ctx context.Context, service string) (shift.Binding, error) {
	binding, err := p.Shifts.Bind(ctx, service, p.session)
	if err != nil {
		return binding, ownerError("bind the session to a version", err)
	}
	return binding, nil
}

// allows reports whether the binding allows the version.
func allows(b shift.Binding, version string) bool {
	return (b.Version == "" || b.Version == version) && !slices.Contains(b.ExcludedVersions, version)
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

// release gives a reservation back that no send used; nil is none.
func (p placer) release(ctx context.Context, r *Reservation) {
	if r == nil {
		return
	}
	o := pool.Outcome{
		Endpoint: r.Placement.ID, Incarnation: r.Placement.Incarnation, Number: r.Placement.Number, End: pool.EndUnused, Service: r.Query.Service,
		Model: r.Query.Model, Weight: r.Query.Weight, SendBy: r.Placement.SendBy,
	}
	if !r.Query.Retry {
		o.End = pool.EndAbandoned // the retry budget gets nothing back
	}
	_ = p.Pool.Done(ctx, o) // Done waits for room; if it fails even so, the run stays counted as in flight
}
