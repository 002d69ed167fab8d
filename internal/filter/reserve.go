package filter

import (
	"context"
	"slices"
	"time"

	"cornelmux/internal/pool"
	"cornelmux/internal/shift"
)

// Reservation is a placement for a send that has not begun; the pool counts it as in flight until Done.
type Reservation struct {
	Placement pool.Placement
	Binding   shift.Binding
	// Query is that of the placement.
	Query pool.Query
	// Took is how long it took to get it.
	Took time.Duration
}

// placer reserves placements for the sends of one request.
type placer struct {
	Pool    Pool
	Shifts  Shifts
	session string
}

// reserve binds the session to a version and places the run. A filter calls it before it sends, and before it gives up a send
// or an answer for another one. A run that waited for room is placed anew if its session may no longer get the version, as after a
// roll-back.
func (p placer) reserve(ctx context.Context, q pool.Query) (*Reservation, error) {
	asked := time.Now()
	binding, err := p.bind(ctx, q.Service)
	for err == nil {
		q.Version, q.ExcludedVersions = binding.Version, binding.ExcludedVersions
		place, failure := p.Pool.Choose(ctx, q)
		if failure != nil {
			return nil, failure
		}
		r := &Reservation{Placement: place, Binding: binding, Query: q, Took: time.Since(asked)}
		if place.Waited == 0 {
			return r, nil
		}
		if binding, err = p.bind(ctx, q.Service); err == nil && allows(binding, place.Version) {
			r.Binding = binding
			return r, nil
		}
		p.release(ctx, r)
		q.Again = true // it keeps its place before those that came later
	}
	return nil, err
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
		Endpoint: r.Placement.ID, Incarnation: r.Placement.Incarnation, End: pool.EndUnused, Service: r.Query.Service,
		Model: r.Query.Model, Weight: r.Query.Weight,
	}
	if !r.Query.Retry {
		o.End = pool.EndAbandoned // the retry budget gets nothing back
	}
	_ = p.Pool.Done(ctx, o) // Done waits for room; if it fails even so, the run stays counted as in flight
}
